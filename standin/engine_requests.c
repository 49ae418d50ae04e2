#include "standin/engine_requests.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"
#include "base/str.h"

#define MAX_REQUESTS 50000

void
eg_engine_requests_init (struct eg_engine_requests *self, int64_t kv_total)
{
  memset (self, 0, sizeof *self);
  for (int i = 0; i < EG_REQUEST_BUCKETS; i++)
    LIST_INIT (&self->buckets[i]);
  TAILQ_INIT (&self->lru);
  self->kv_total = kv_total;
}

static void
destroy_request (struct eg_engine_request *request)
{
  free (request->name);
  free (request);
}

static void
detach (struct eg_engine_requests *self, struct eg_engine_request *request)
{
  LIST_REMOVE (request, bucket_link);
  TAILQ_REMOVE (&self->lru, request, lru_link);
  self->count--;
  self->kv_used -= request->kv_prompt + request->kv_upto;
  request->kv_prompt = 0;
  request->kv_upto = 0;
  request->is_detached = true;
  if (request->active_runs == 0)
    destroy_request (request);
}

void
eg_engine_requests_clear (struct eg_engine_requests *self)
{
  struct eg_engine_request *request = TAILQ_FIRST (&self->lru);

  while (request)
    {
      struct eg_engine_request *next = TAILQ_NEXT (request, lru_link);

      detach (self, request);
      request = next;
    }
}

static struct eg_request_bucket *
get_bucket (const struct eg_engine_requests *self, const char *name)
{
  uint64_t hash = eg_hash_str (eg_str_from (name));

  return (struct eg_request_bucket *) &self->buckets[hash % EG_REQUEST_BUCKETS];
}

struct eg_engine_request *
eg_engine_requests_find (const struct eg_engine_requests *self,
                         const char *name)
{
  struct eg_engine_request *request;

  LIST_FOREACH (request, get_bucket (self, name), bucket_link)
  if (strcmp (request->name, name) == 0)
    return request;
  return NULL;
}

static void
evict_oldest (struct eg_engine_requests *self)
{
  struct eg_engine_request *request;

  TAILQ_FOREACH (request, &self->lru, lru_link)
  {
    if (request->active_runs > 0)
      continue;
    detach (self, request);
    return;
  }
}

static struct eg_engine_request *
add_request (struct eg_engine_requests *self, const char *name)
{
  struct eg_engine_request *request = calloc (1, sizeof *request);

  EG_INVARIANT (request != NULL);
  request->name = strdup (name);
  EG_INVARIANT (request->name != NULL);
  if (self->count >= MAX_REQUESTS)
    evict_oldest (self);
  LIST_INSERT_HEAD (get_bucket (self, name), request, bucket_link);
  TAILQ_INSERT_TAIL (&self->lru, request, lru_link);
  self->count++;
  return request;
}

struct eg_engine_request *
eg_engine_requests_acquire (struct eg_engine_requests *self, const char *name)
{
  struct eg_engine_request *request = eg_engine_requests_find (self, name);

  if (!request)
    request = add_request (self, name);
  request->active_runs++;
  return request;
}

void
eg_engine_requests_release (struct eg_engine_requests *self,
                            struct eg_engine_request *request)
{
  request->active_runs--;
  if (request->is_detached)
    {
      if (request->active_runs == 0)
        destroy_request (request);
      return;
    }
  TAILQ_REMOVE (&self->lru, request, lru_link);
  TAILQ_INSERT_TAIL (&self->lru, request, lru_link);
}

static void
evict_kv (struct eg_engine_requests *self)
{
  struct eg_engine_request *request;

  TAILQ_FOREACH (request, &self->lru, lru_link)
  {
    if (self->kv_used <= self->kv_total)
      return;
    if (request->active_runs > 0)
      continue;
    self->kv_used -= request->kv_prompt + request->kv_upto;
    request->kv_prompt = 0;
    request->kv_upto = 0;
  }
}

void
eg_engine_requests_set_kv (struct eg_engine_requests *self,
                           struct eg_engine_request *request,
                           int64_t prompt,
                           int64_t upto)
{
  int64_t before = request->kv_prompt + request->kv_upto;

  if (request->is_detached)
    return;
  request->kv_prompt = prompt;
  request->kv_upto = upto;
  self->kv_used += prompt + upto - before;
  if (self->kv_used > self->kv_total)
    evict_kv (self);
}

bool
eg_engine_requests_fits (const struct eg_engine_requests *self, int64_t tokens)
{
  const struct eg_engine_request *request;
  int64_t held = 0;

  if (self->kv_used + tokens <= self->kv_total)
    return true;
  TAILQ_FOREACH (request, &self->lru, lru_link)
  if (request->active_runs > 0)
    held += request->kv_prompt + request->kv_upto;
  return held + tokens <= self->kv_total;
}
