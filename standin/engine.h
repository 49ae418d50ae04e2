/**
 * @file
 * Engine stand-in: a stage of chains, and the head of those that start with it.
 */
#ifndef EG_STANDIN_ENGINE_H
#define EG_STANDIN_ENGINE_H

#include <jansson.h>
#include <pthread.h>

#include "base/decls.h"
#include "standin/config.h"
#include "standin/engine_cache.h"
#include "standin/engine_load.h"
#include "standin/engine_record.h"
#include "standin/engine_requests.h"
#include "standin/faults.h"
#include "standin/slot_pool.h"
#include "standin/standin.h"

EG_BEGIN_DECLS

/** Counters of an engine's API calls. */
enum eg_engine_call
{
  EG_ENGINE_LOAD,
  EG_ENGINE_GENERATE,
  EG_ENGINE_CANCEL,
  EG_ENGINE_KV_EXPORT,
  EG_ENGINE_KV_IMPORT,
  EG_ENGINE_ORDERS,
  EG_ENGINE_CACHE_EVENTS,
  EG_ENGINE_STAGE,
  EG_ENGINE_REFUSED, /**< Any of the above with a status other than 200. */
  EG_ENGINE_CALL_COUNT,
};

/** Faults in effect at an engine. */
struct eg_engine_faults
{
  bool is_crashed;
  bool is_hung;
  bool is_draining;
  double slow;                /**< Factor on processing times. */
  int64_t load_lag_ms;        /**< Age of load reports and cache events. */
  int64_t crash_after_tokens; /**< Tokens left until a crash; -1: none. */
  char *crash_prompt;         /**< Prompt that crashes the engine, or NULL. */
};

/** The loaded model, as configured or set by an order. */
struct eg_engine_loaded
{
  char *model; /**< NULL: no model is loaded. */
  char *version;
  struct eg_layers layers;
  int64_t highest_fencing;
  json_t *orders; /**< Bodies of all orders that were applied. */
};

/**
 * An engine.
 *
 * @c lock protects all members but @c config, @c find, @c find_context and the
 * listener.
 */
struct eg_engine
{
  struct eg_standin standin;
  const struct eg_engine_config *config;
  pthread_mutex_t lock;
  pthread_cond_t changed;      /**< Signalled when a fault is set or cleared. */
  _Atomic uint64_t generation; /**< Incremented by each crash. */
  struct eg_engine_faults faults;
  struct eg_engine_loaded loaded;
  struct eg_slot_pool slot_pool;
  struct eg_engine_requests requests;
  struct eg_engine_cache cache;
  struct eg_record record;
  struct eg_engine_load_history history;
  int64_t running; /**< Streams that have been granted a slot. */
  int64_t queued;  /**< Streams waiting for their first slot. */
  int64_t calls[EG_ENGINE_CALL_COUNT];
  /** Returns the engine of this process at @p address, or NULL. */
  struct eg_engine *(*find) (void *context, const char *address);
  void *find_context;
};

/** Initializes an engine; @p config must outlive it. */
void eg_engine_init (struct eg_engine *self,
                     const struct eg_engine_config *config,
                     struct eg_engine *(*find) (void *context,
                                                const char *address),
                     void *find_context);

/** Closes the listener and ends all streams, without waiting for them. */
void eg_engine_stop (struct eg_engine *self);

/**
 * Frees a stopped engine.
 *
 * Finish the listeners of all engines first: streams served by other engines
 * may use this one as a stage.
 */
void eg_engine_finish (struct eg_engine *self);

/**
 * Simulates a crash: drops all state and connections.
 *
 * Call with the lock held.
 */
void eg_engine_crash (struct eg_engine *self);

/** Samples the load for later reports. Call with the lock held. */
void eg_engine_sample_load (struct eg_engine *self);

EG_END_DECLS

#endif
