/**
 * @file
 * A plain service: it answers each call with the body that it got.
 */
#ifndef EG_STANDIN_SERVICE_H
#define EG_STANDIN_SERVICE_H

#include <pthread.h>

#include "base/decls.h"
#include "standin/config.h"
#include "standin/engine_batch.h"
#include "standin/standin.h"

EG_BEGIN_DECLS

/** A service; the lock guards all but config and listener. */
struct eg_service
{
  struct eg_standin standin;
  const struct eg_service_config *config;
  pthread_mutex_t lock;
  uint64_t generation; /**< Rises with each death. */
  bool is_crashed;
  bool is_hung;
  bool is_draining;
  double slow;
  int64_t replies_to_drop; /**< How many answers are still to be lost. */
  struct eg_slot_pool batch;
  int64_t running;
  int64_t queued;
  int64_t calls;
  int64_t health_calls;
  int64_t refused;
  json_t *runs;
  int64_t dropped; /**< Runs beyond the record's bound. */
};

/** Prepares a service; @p config must outlive it. */
void eg_service_init (struct eg_service *self,
                      const struct eg_service_config *config);

/** Ends a service. */
void eg_service_finish (struct eg_service *self);

EG_END_DECLS

#endif
