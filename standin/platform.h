/**
 * @file
 * Platform stand-in: an object store with watches, and the VM list.
 */
#ifndef EG_STANDIN_PLATFORM_H
#define EG_STANDIN_PLATFORM_H

#include <pthread.h>

#include "base/decls.h"
#include "standin/config.h"
#include "standin/platform_store.h"
#include "standin/standin.h"

EG_BEGIN_DECLS

/** Counted operations; a watch counts once, however long it waits. */
enum eg_platform_op
{
  EG_PLATFORM_OP_GET,
  EG_PLATFORM_OP_PUT,
  EG_PLATFORM_OP_DELETE,
  EG_PLATFORM_OP_WATCH,
  EG_PLATFORM_OP_VMS,
  EG_PLATFORM_OP_REFUSED, /**< Any of the above with status 429 or 503. */
  EG_PLATFORM_OP_COUNT,
};

/** Limit of operations in each second of the clock. */
struct eg_rate_limit
{
  int64_t limit_per_s; /**< 0: unlimited. */
  int64_t second;
  int64_t count;
};

/** A platform; @c lock protects all but @c config and the listener. */
struct eg_platform
{
  struct eg_standin standin;
  const struct eg_platform_config *config;
  pthread_mutex_t lock;
  pthread_cond_t changed; /**< Signalled by writes and changes of faults. */
  struct eg_object_store *store;
  json_t *vms;
  struct eg_rate_limit reads;
  struct eg_rate_limit writes;
  bool is_down;
  bool is_silent;
  bool is_closing;
  int64_t slow_ms;
  int64_t replies_to_drop; /**< Responses to writes that will be dropped. */
  int64_t op_counts[EG_PLATFORM_OP_COUNT];
};

/** Initializes a platform; @p config must outlive it. */
void eg_platform_init (struct eg_platform *self,
                       const struct eg_platform_config *config);

/** Stops and frees a platform. */
void eg_platform_finish (struct eg_platform *self);

EG_END_DECLS

#endif
