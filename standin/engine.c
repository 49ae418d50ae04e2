#include "standin/engine.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standin/engine_calls.h"
#include "standin/engine_generate.h"
#include "standin/timed_wait.h"

/* Threads for calls other than streams: load, orders, cancellations. */
#define EXTRA_THREADS 32
#define RECORD_CHUNK_ENTRIES 512
#define HANG_POLL_US (50 * EG_US_PER_MS)

static const char *const call_names[EG_ENGINE_CALL_COUNT] = {
    [EG_ENGINE_LOAD] = "load",
    [EG_ENGINE_GENERATE] = "generate",
    [EG_ENGINE_CANCEL] = "cancel",
    [EG_ENGINE_KV_EXPORT] = "kv_export",
    [EG_ENGINE_KV_IMPORT] = "kv_import",
    [EG_ENGINE_ORDERS] = "orders",
    [EG_ENGINE_CACHE_EVENTS] = "cache_events",
    [EG_ENGINE_STAGE] = "stage",
    [EG_ENGINE_REFUSED] = "refused",
};

void
eg_engine_sample_load (struct eg_engine *self)
{
  struct eg_engine_load load = {
      .running = self->running,
      .queued = self->queued,
      .kv_free = self->requests.kv_total - self->requests.kv_used,
      .draining = self->faults.is_draining,
  };

  eg_engine_load_history_add (&self->history, load, eg_clock_now_us ());
}

/* Drops the runs of heads in other processes that are between two steps. */
static void
end_remote_runs (struct eg_engine *self)
{
  struct eg_engine_request *request;

  TAILQ_FOREACH (request, &self->requests.lru, lru_link)
  {
    if (!request->remote_run)
      continue;
    free (request->remote_run);
    request->remote_run = NULL;
    request->active_runs--;
  }
}

void
eg_engine_crash (struct eg_engine *self)
{
  if (self->faults.is_crashed)
    return;
  self->faults.is_crashed = true;
  self->faults.crash_after_tokens = -1;
  self->generation++;
  self->running = 0;
  self->queued = 0;
  end_remote_runs (self);
  eg_engine_requests_clear (&self->requests);
  eg_engine_cache_clear (&self->cache);
  eg_engine_sample_load (self);
  eg_slot_pool_wake (&self->slot_pool);
  pthread_cond_broadcast (&self->changed);
  eg_listener_abort (&self->standin.listener);
}

static void
reset_faults (struct eg_engine *self)
{
  free (self->faults.crash_prompt);
  self->faults = (struct eg_engine_faults){
      .slow = 1,
      .load_lag_ms = self->config->load_lag_ms,
      .crash_after_tokens = -1,
  };
}

static enum eg_status
revive (struct eg_engine *self, struct eg_error *error)
{
  pthread_mutex_lock (&self->lock);
  self->faults.is_crashed = false;
  self->faults.is_hung = false;
  self->faults.crash_after_tokens = -1;
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->lock);
  /* Unlocked: opening joins the threads of the closed listener, and these may
     be waiting for the lock. */
  return eg_listener_open (&self->standin.listener, error);
}

static void
apply_fault_locked (struct eg_engine *self, const struct eg_fault *fault)
{
  struct eg_engine_faults *faults = &self->faults;

  switch (fault->kind)
    {
    case EG_FAULT_DIE:
      faults->crash_after_tokens = fault->after_tokens;
      if (fault->after_tokens <= 0)
        eg_engine_crash (self);
      break;
    case EG_FAULT_HANG:
      faults->is_hung = true;
      break;
    case EG_FAULT_SLOW:
      faults->slow = fault->factor;
      break;
    case EG_FAULT_LOAD_LAG:
      faults->load_lag_ms = fault->ms;
      break;
    case EG_FAULT_DRAIN:
      faults->is_draining = true;
      eg_engine_sample_load (self);
      break;
    case EG_FAULT_CRASH_ON:
      free (faults->crash_prompt);
      faults->crash_prompt = strdup (fault->prompt);
      break;
    default:
      break;
    }
}

static enum eg_status
apply_fault (void *context,
             const struct eg_fault *fault,
             struct eg_error *error)
{
  struct eg_engine *self = context;

  if (fault->kind == EG_FAULT_REVIVE)
    return revive (self, error);
  pthread_mutex_lock (&self->lock);
  apply_fault_locked (self, fault);
  pthread_mutex_unlock (&self->lock);
  return EG_OK;
}

static enum eg_status
clear_faults (void *context, struct eg_error *error)
{
  struct eg_engine *self = context;

  pthread_mutex_lock (&self->lock);
  reset_faults (self);
  eg_engine_sample_load (self);
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->lock);
  return eg_listener_open (&self->standin.listener, error);
}

/*
 * Appends up to RECORD_CHUNK_ENTRIES entries, starting at @index. Returns the
 * index of the first entry that is left.
 */
static int64_t
append_record_chunk (struct eg_engine *self,
                     int64_t index,
                     const char *server_json,
                     struct eg_buffer *out)
{
  pthread_mutex_lock (&self->lock);
  for (int i = 0; i < RECORD_CHUNK_ENTRIES && index < self->record.count; i++)
    {
      if (index > 0)
        eg_buffer_append (out, EG_STR (","));
      eg_record_print (&self->record, index++, server_json, out);
    }
  pthread_mutex_unlock (&self->lock);
  return index;
}

static void
append_record_end (struct eg_engine *self, struct eg_buffer *out)
{
  char *orders;

  pthread_mutex_lock (&self->lock);
  orders = json_dumps (self->loaded.orders, JSON_COMPACT);
  eg_buffer_printf (out, "],\"dropped\":%lld,\"orders\":%s}",
                    (long long) self->record.dropped, orders);
  pthread_mutex_unlock (&self->lock);
  free (orders);
}

static void
write_record (void *context, struct eg_server_exchange *exchange)
{
  struct eg_engine *self = context;
  json_t *server = json_string (self->config->server);
  char *server_json = json_dumps (server, JSON_ENCODE_ANY);
  struct eg_buffer chunk = {0};
  int64_t index = 0;

  eg_server_exchange_begin_chunked (exchange, "application/json");
  eg_buffer_append (&chunk, EG_STR ("{\"runs\":["));
  for (;;)
    {
      int64_t next = append_record_chunk (self, index, server_json, &chunk);

      if (next == index)
        break;
      index = next;
      if (!eg_server_exchange_send_chunk (exchange, eg_buffer_view (&chunk)))
        goto out;
      eg_buffer_clear (&chunk);
    }
  append_record_end (self, &chunk);
  eg_server_exchange_send_chunk (exchange, eg_buffer_view (&chunk));
  eg_server_exchange_end_chunked (exchange);
out:
  eg_buffer_finish (&chunk);
  free (server_json);
  json_decref (server);
}

static void
clear_record (void *context)
{
  struct eg_engine *self = context;
  struct eg_engine_request *request;

  pthread_mutex_lock (&self->lock);
  eg_record_finish (&self->record);
  eg_record_init (&self->record, self->config->record_max);
  TAILQ_FOREACH (request, &self->requests.lru, lru_link)
  request->is_recorded = false;
  json_array_clear (self->loaded.orders);
  pthread_mutex_unlock (&self->lock);
}

static json_t *
get_counts (void *context)
{
  struct eg_engine *self = context;
  json_t *object = json_object ();

  pthread_mutex_lock (&self->lock);
  for (int i = 0; i < EG_ENGINE_CALL_COUNT; i++)
    json_object_set_new (object, call_names[i], json_integer (self->calls[i]));
  pthread_mutex_unlock (&self->lock);
  return object;
}

static void
wait_while_hung (struct eg_engine *self, struct eg_server_exchange *exchange)
{
  uint64_t generation = self->generation;

  pthread_mutex_lock (&self->lock);
  while (self->faults.is_hung && self->generation == generation)
    {
      eg_cond_wait_for (&self->changed, &self->lock, HANG_POLL_US);
      if (eg_server_exchange_is_disconnected (exchange))
        break;
    }
  pthread_mutex_unlock (&self->lock);
}

static void
count_call (struct eg_engine *self, enum eg_engine_call call)
{
  pthread_mutex_lock (&self->lock);
  self->calls[call]++;
  pthread_mutex_unlock (&self->lock);
}

static void
handle_request (void *context, struct eg_server_exchange *exchange)
{
  static const struct
  {
    const char *method;
    const char *path;
    enum eg_engine_call call;
    void (*handle) (struct eg_engine *self,
                    struct eg_server_exchange *exchange);
  } routes[] = {
      {"GET", "/v1/load", EG_ENGINE_LOAD, eg_engine_handle_load},
      {"POST", "/v1/generate", EG_ENGINE_GENERATE, eg_engine_handle_generate},
      {"POST", "/v1/cancel", EG_ENGINE_CANCEL, eg_engine_handle_cancel},
      {"POST", "/v1/kv/export", EG_ENGINE_KV_EXPORT,
       eg_engine_handle_kv_export},
      {"POST", "/v1/kv/import", EG_ENGINE_KV_IMPORT,
       eg_engine_handle_kv_import},
      {"POST", "/v1/orders", EG_ENGINE_ORDERS, eg_engine_handle_order},
      {"GET", "/v1/cache-events", EG_ENGINE_CACHE_EVENTS,
       eg_engine_handle_cache_events},
      {"POST", "/standin/stage", EG_ENGINE_STAGE, eg_engine_handle_stage},
      {"POST", "/standin/stage/close", EG_ENGINE_STAGE,
       eg_engine_handle_stage_close},
  };
  struct eg_engine *self = context;

  for (size_t i = 0; i < sizeof routes / sizeof *routes; i++)
    {
      if (!eg_server_exchange_matches (exchange, routes[i].method,
                                       routes[i].path))
        continue;
      count_call (self, routes[i].call);
      wait_while_hung (self, exchange);
      if (!exchange->failed)
        routes[i].handle (self, exchange);
      if (exchange->status != 200)
        count_call (self, EG_ENGINE_REFUSED);
      return;
    }
  eg_server_exchange_respond_error (exchange, 404, "no route for %s %.200s",
                                    exchange->method, exchange->path);
}

static const struct eg_standin_ops ops = {
    .kind = EG_STANDIN_ENGINE,
    .name = "engine",
    .handle = handle_request,
    .apply_fault = apply_fault,
    .clear_faults = clear_faults,
    .write_record = write_record,
    .clear_record = clear_record,
    .counts = get_counts,
};

void
eg_engine_init (struct eg_engine *self,
                const struct eg_engine_config *config,
                struct eg_engine *(*find) (void *context, const char *address),
                void *find_context)
{
  int64_t threads = config->threads;

  memset (self, 0, sizeof *self);
  self->config = config;
  self->find = find;
  self->find_context = find_context;
  pthread_mutex_init (&self->lock, NULL);
  pthread_cond_init (&self->changed, NULL);
  self->loaded.model = strdup (config->model);
  self->loaded.version = strdup (config->version);
  self->loaded.layers = config->layers;
  self->loaded.orders = json_array ();
  reset_faults (self);
  eg_slot_pool_init (&self->slot_pool, config->slots, &self->lock);
  eg_engine_requests_init (&self->requests, config->kv_total);
  eg_engine_cache_init (&self->cache, config->cache_blocks);
  eg_record_init (&self->record, config->record_max);
  eg_engine_sample_load (self);
  if (threads == 0)
    threads = config->slots + config->queue_max + EXTRA_THREADS;
  eg_standin_init (&self->standin, &ops, self, config->listen, threads);
}

void
eg_engine_stop (struct eg_engine *self)
{
  pthread_mutex_lock (&self->lock);
  self->faults.is_hung = false;
  eg_engine_crash (self);
  pthread_mutex_unlock (&self->lock);
}

void
eg_engine_finish (struct eg_engine *self)
{
  eg_record_finish (&self->record);
  free (self->faults.crash_prompt);
  free (self->loaded.model);
  free (self->loaded.version);
  json_decref (self->loaded.orders);
  pthread_cond_destroy (&self->changed);
  pthread_mutex_destroy (&self->lock);
}
