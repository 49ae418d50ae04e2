/**
 * @file
 * A model engine: one stage of a chain, and the head of chains.
 */
#ifndef EG_STANDIN_ENGINE_H
#define EG_STANDIN_ENGINE_H

#include <jansson.h>
#include <pthread.h>

#include "base/decls.h"
#include "standin/config.h"
#include "standin/engine_batch.h"
#include "standin/engine_cache.h"
#include "standin/engine_load.h"
#include "standin/engine_record.h"
#include "standin/engine_requests.h"
#include "standin/faults.h"
#include "standin/standin.h"

EG_BEGIN_DECLS

/** The calls that an engine counts. */
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
  EG_ENGINE_REFUSED, /**< Not a further kind: answers other than 200. */
  EG_ENGINE_CALL_COUNT,
};

/** What is wrong with an engine at present. */
struct eg_engine_faults
{
  bool is_crashed;
  bool is_hung;
  bool is_draining;
  double slow;
  int64_t load_lag_ms;
  int64_t crash_after_tokens; /**< Tokens until death; -1: none. */
  char *crash_prompt;
};

/** What an order has put on an engine. */
struct eg_engine_loaded
{
  char *model; /**< NULL: unloaded. */
  char *version;
  struct eg_layers layers;
  int64_t highest_fencing;
  json_t *orders; /**< All that took effect. */
};

/** An engine; the lock guards all but config, find and listener. */
struct eg_engine
{
  struct eg_standin standin;
  const struct eg_engine_config *config;
  pthread_mutex_t lock;
  pthread_cond_t changed;      /**< A fault came or went. */
  _Atomic uint64_t generation; /**< Rises with each death. */
  struct eg_engine_faults faults;
  struct eg_engine_loaded loaded;
  struct eg_slot_pool batch;
  struct eg_engine_requests requests;
  struct eg_engine_cache cache;
  struct eg_record record;
  struct eg_engine_load_history history;
  int64_t running; /**< Streams that have had a slot. */
  int64_t queued;  /**< Streams that wait for their first slot. */
  int64_t calls[EG_ENGINE_CALL_COUNT];
  /** Finds an engine of this process by address; NULL if it has none. */
  struct eg_engine *(*find) (void *context, const char *address);
  void *find_context;
};

/** Prepares an engine; @p config must outlive it. */
void eg_engine_init (struct eg_engine *self,
                     const struct eg_engine_config *config,
                     struct eg_engine *(*find) (void *context,
                                                const char *address),
                     void *find_context);

/** Closes the listener and ends all streams, without waiting for them. */
void eg_engine_stop (struct eg_engine *self);

/** Frees a stopped engine, once the listeners of all engines are finished. */
void eg_engine_finish (struct eg_engine *self);

/** Forgets all state and cuts all connections; with the lock held. */
void eg_engine_crash (struct eg_engine *self);

/** Takes a sample for the load report; with the lock held. */
void eg_engine_sample_load (struct eg_engine *self);

EG_END_DECLS

#endif
