/**
 * @file
 * What an engine knows of each request: its attempt, position and KV.
 *
 * The engine's lock guards all of it.
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
  _Atomic int64_t attempt;   /**< The highest seen; read without the lock. */
  _Atomic int64_t cancelled; /**< The highest attempt cancelled; 0: none. */
  int64_t last_position; /**< Run by that attempt, or committed before it. */
  int64_t kv_prompt;     /**< Prompt tokens in the KV cache. */
  int64_t kv_upto;       /**< Generated positions in the KV cache. */
  int runs;              /**< Streams that hold this entry. */
  bool is_detached;      /**< The engine died; no longer in the table. */
  bool is_recorded;
  uint32_t record_index;           /**< Set where is_recorded. */
  struct eg_stage_run *remote_run; /**< Of a head elsewhere, between steps. */
  LIST_ENTRY (eg_engine_request) bucket_link;
  TAILQ_ENTRY (eg_engine_request) lru_link;
};

LIST_HEAD (eg_request_bucket, eg_engine_request);
TAILQ_HEAD (eg_request_lru, eg_engine_request);

/** The table, with a bound on entries and on tokens in KV. */
struct eg_engine_requests
{
  struct eg_request_bucket buckets[EG_REQUEST_BUCKETS];
  struct eg_request_lru lru; /**< Least recently used first. */
  int64_t count;
  int64_t kv_total;
  int64_t kv_used;
};

/** Makes an empty table for a cache of @p kv_total tokens. */
void eg_engine_requests_init (struct eg_engine_requests *self,
                              int64_t kv_total);

/** Forgets all requests; entries that runs hold are freed with the last. */
void eg_engine_requests_clear (struct eg_engine_requests *self);

/** Finds a request; NULL if it isn't known. */
struct eg_engine_request *
eg_engine_requests_find (const struct eg_engine_requests *self,
                         const char *name);

/** Finds a request or adds it, and holds it for a run. */
struct eg_engine_request *
eg_engine_requests_acquire (struct eg_engine_requests *self, const char *name);

/** Ends a hold. */
void eg_engine_requests_release (struct eg_engine_requests *self,
                                 struct eg_engine_request *request);

/** Sets a request's KV; that of requests without a run gives way. */
void eg_engine_requests_set_kv (struct eg_engine_requests *self,
                                struct eg_engine_request *request,
                                int64_t prompt,
                                int64_t upto);

/** Tells whether @p tokens would fit beside the requests that run. */
bool eg_engine_requests_fits (const struct eg_engine_requests *self,
                              int64_t tokens);

EG_END_DECLS

#endif
