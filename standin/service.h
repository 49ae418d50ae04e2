/**
 * @file
 * Plain service stand-in, which responds with the body of the request.
 */
#ifndef EG_STANDIN_SERVICE_H
#define EG_STANDIN_SERVICE_H

#include <pthread.h>

#include "base/decls.h"
#include "standin/config.h"
#include "standin/slot_pool.h"
#include "standin/standin.h"

EG_BEGIN_DECLS

/** A service; @c lock protects all but @c config and the listener. */
struct eg_service
{
  struct eg_standin standin;
  const struct eg_service_config *config;
  pthread_mutex_t lock;
  uint64_t generation; /**< Incremented by each crash. */
  bool is_crashed;
  bool is_hung;
  bool is_draining;
  double slow;             /**< Factor on the latency. */
  int64_t replies_to_drop; /**< Responses that will be dropped. */
  struct eg_slot_pool slot_pool;
  int64_t running;
  int64_t queued;
  int64_t calls;
  int64_t health_calls;
  int64_t refused;
  json_t *runs;
  int64_t dropped; /**< Runs over the limit of the record. */
};

/** Initializes a service; @p config must outlive it. */
void eg_service_init (struct eg_service *self,
                      const struct eg_service_config *config);

/** Stops and frees a service. */
void eg_service_finish (struct eg_service *self);

EG_END_DECLS

#endif
