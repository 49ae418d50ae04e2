/**
 * @file
 * The platform: an object store with watches, and the list of VMs.
 */
#ifndef EG_STANDIN_PLATFORM_H
#define EG_STANDIN_PLATFORM_H

#include <pthread.h>

#include "base/decls.h"
#include "standin/config.h"
#include "standin/platform_store.h"
#include "standin/standin.h"

EG_BEGIN_DECLS

/** The calls that the platform counts; a waiting watch is one. */
enum eg_platform_op
{
  EG_PLATFORM_OP_GET,
  EG_PLATFORM_OP_PUT,
  EG_PLATFORM_OP_DELETE,
  EG_PLATFORM_OP_WATCH,
  EG_PLATFORM_OP_VMS,
  EG_PLATFORM_OP_REFUSED, /**< Not a further kind: 429 and 503 answers. */
  EG_PLATFORM_OP_COUNT,
};

/** A bound on calls for each second. */
struct eg_rate_limit
{
  int64_t limit_per_s; /**< 0: no bound. */
  int64_t second;
  int64_t count;
};

/** A platform; the lock guards all but config and listener. */
struct eg_platform
{
  struct eg_standin standin;
  const struct eg_platform_config *config;
  pthread_mutex_t lock;
  pthread_cond_t changed; /**< A write, or a fault that came or went. */
  struct eg_object_store *store;
  json_t *vms;
  struct eg_rate_limit reads;
  struct eg_rate_limit writes;
  bool is_down;
  bool is_silent;
  bool is_closing;
  int64_t slow_ms;
  int64_t replies_to_drop; /**< How many answers to writes are to be lost. */
  int64_t op_counts[EG_PLATFORM_OP_COUNT];
};

/** Prepares a platform; @p config must outlive it. */
void eg_platform_init (struct eg_platform *self,
                       const struct eg_platform_config *config);

/** Ends a platform. */
void eg_platform_finish (struct eg_platform *self);

EG_END_DECLS

#endif
