/**
 * @file
 * Table of the requests of an engine: attempts, positions and KV cache use.
 *
 * Protected by the engine's lock.
 */
#ifndef EG_STANDIN_ENGINE_REQUESTS_H
#define EG_STANDIN_ENGINE_REQUESTS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/decls.h"

EG_BEGIN_DECLS

#define EG_REQUEST_BUCKETS 4096

struct eg_stage_run;

/** One request at one stage. */
struct eg_engine_request
{
  char *name;
  _Atomic int64_t attempt;   /**< Highest seen; also read without the lock. */
  _Atomic int64_t cancelled; /**< Highest cancelled attempt; 0: none. */
  int64_t last_position;     /**< Run by @c attempt or committed before it. */
  int64_t kv_prompt;         /**< Prompt tokens in the KV cache. */
  int64_t kv_upto;           /**< Generated positions in the KV cache. */
  int active_runs;           /**< References held by runs. */
  bool is_detached;          /**< No longer in the table, after a crash. */
  bool is_recorded;
  uint32_t record_index;           /**< Valid if is_recorded. */
  struct eg_stage_run *remote_run; /**< Idle run of a remote head. */
  LIST_ENTRY (eg_engine_request) bucket_link;
  TAILQ_ENTRY (eg_engine_request) lru_link;
};

LIST_HEAD (eg_request_bucket, eg_engine_request);
TAILQ_HEAD (eg_request_lru, eg_engine_request);

/** Hash table with limits on entries and on tokens in the KV cache. */
struct eg_engine_requests
{
  struct eg_request_bucket buckets[EG_REQUEST_BUCKETS];
  struct eg_request_lru lru; /**< Least recently used first. */
  int64_t count;
  int64_t kv_total;
  int64_t kv_used;
};

/** Initializes an empty table with a KV cache of @p kv_total tokens. */
void eg_engine_requests_init (struct eg_engine_requests *self,
                              int64_t kv_total);

/** Removes all requests; those in use are freed with their last reference. */
void eg_engine_requests_clear (struct eg_engine_requests *self);

/** Returns the request @p name, or NULL if it is unknown. */
struct eg_engine_request *
eg_engine_requests_find (const struct eg_engine_requests *self,
                         const char *name);

/** Finds or adds a request and takes a reference for a run. */
struct eg_engine_request *
eg_engine_requests_acquire (struct eg_engine_requests *self, const char *name);

/** Releases a reference. */
void eg_engine_requests_release (struct eg_engine_requests *self,
                                 struct eg_engine_request *request);

/**
 * Sets the KV cache use of a request, in tokens.
 *
 * If the cache is over its capacity, the KV of requests without a run is
 * evicted, least recently used first.
 */
void eg_engine_requests_set_kv (struct eg_engine_requests *self,
                                struct eg_engine_request *request,
                                int64_t prompt,
                                int64_t upto);

/** Returns whether @p tokens fit in the KV cache beside running requests. */
bool eg_engine_requests_fits (const struct eg_engine_requests *self,
                              int64_t tokens);

EG_END_DECLS

#endif
