#include "standin/engine_calls.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/str.h"
#include "standin/fields.h"

#define QUERY_BYTES 32
#define N_ELEMENTS(array) (sizeof (array) / sizeof *(array))

/* Parses the body into @target; responds with 400 if it is invalid. */
static bool
parse_body (struct eg_server_exchange *exchange,
            const struct eg_field *fields,
            size_t count,
            void *target)
{
  struct eg_error error = {0};

  if (!eg_server_exchange_parse_json (exchange))
    return false;
  if (eg_fields_read (fields, count, exchange->json, target, "body", &error)
      == EG_OK)
    return true;
  eg_server_exchange_respond_error (exchange, 400, "%s", error.message);
  return false;
}

void
eg_engine_handle_load (struct eg_engine *self,
                       struct eg_server_exchange *exchange)
{
  const struct eg_engine_config *config = self->config;
  int64_t lag_us;
  struct eg_engine_load load;
  json_t *report;

  pthread_mutex_lock (&self->lock);
  lag_us = self->faults.load_lag_ms * EG_US_PER_MS;
  load =
      eg_engine_load_history_at (&self->history, eg_clock_now_us () - lag_us);
  report =
      json_pack ("{s:s,s:s,s:s,s:s,s:[I,I],s:I,s:s,s:I,s:I,s:I,s:I,s:b,s:I}",
                 "server", config->server, "service", config->service, "model",
                 self->loaded.model ? self->loaded.model : "", "version",
                 self->loaded.version, "layers", self->loaded.layers.first,
                 self->loaded.layers.last, "model_layers", config->model_layers,
                 "accelerator", config->accelerator, "running", load.running,
                 "queued", load.queued, "kv_free", load.kv_free, "kv_total",
                 config->kv_total, "draining", load.draining, "as_of_ms",
                 (eg_clock_wall_us () - lag_us) / EG_US_PER_MS);
  pthread_mutex_unlock (&self->lock);
  eg_server_exchange_respond_json (exchange, 200, report);
}

/* Body of a cancellation or a KV export. */
struct request_body
{
  const char *request;
  int64_t attempt;
  int64_t upto;
};

static const struct eg_field cancel_fields[] = {
    {"request", EG_FIELD_STRING, true, 1, EG_FIELD_NAME_MAX,
     offsetof (struct request_body, request)},
    {"attempt", EG_FIELD_INTEGER, true, 1, UINT32_MAX,
     offsetof (struct request_body, attempt)},
};

static const struct eg_field export_fields[] = {
    {"request", EG_FIELD_STRING, true, 1, EG_FIELD_NAME_MAX,
     offsetof (struct request_body, request)},
    {"upto", EG_FIELD_INTEGER, true, 0, EG_FIELD_INTEGER_MAX,
     offsetof (struct request_body, upto)},
};

void
eg_engine_handle_cancel (struct eg_engine *self,
                         struct eg_server_exchange *exchange)
{
  struct request_body body = {0};
  struct eg_engine_request *request;
  bool is_stale = false;
  bool is_running = false;

  if (!parse_body (exchange, cancel_fields, N_ELEMENTS (cancel_fields), &body))
    return;
  pthread_mutex_lock (&self->lock);
  request = eg_engine_requests_find (&self->requests, body.request);
  if (request && body.attempt < request->attempt)
    is_stale = true;
  else if (request)
    {
      is_running = request->active_runs > 0;
      request->cancelled = body.attempt;
      eg_slot_pool_wake (&self->slot_pool);
      pthread_cond_broadcast (&self->changed);
    }
  pthread_mutex_unlock (&self->lock);
  if (is_stale)
    eg_server_exchange_respond_error (exchange, 409,
                                      "superseded by a higher attempt");
  else
    eg_server_exchange_respond_json (
        exchange, 200, json_pack ("{s:b}", "cancelled", is_running));
}

/* KV cache of a request, as exported and imported. */
struct kv_object
{
  const char *request;
  int64_t upto;
  int64_t attempt;
  int64_t prompt_tokens;
  struct eg_layers layers;
  const char *model;
  const char *version;
};

static const struct eg_field kv_fields[] = {
    {"request", EG_FIELD_STRING, true, 1, EG_FIELD_NAME_MAX,
     offsetof (struct kv_object, request)},
    {"upto", EG_FIELD_INTEGER, true, 0, EG_FIELD_INTEGER_MAX,
     offsetof (struct kv_object, upto)},
    {"attempt", EG_FIELD_INTEGER, true, 1, UINT32_MAX,
     offsetof (struct kv_object, attempt)},
    {"prompt_tokens", EG_FIELD_INTEGER, true, 0, EG_FIELD_INTEGER_MAX,
     offsetof (struct kv_object, prompt_tokens)},
    {"layers", EG_FIELD_LAYERS, true, 1, 10000,
     offsetof (struct kv_object, layers)},
    {"model", EG_FIELD_STRING, true, 0, EG_FIELD_NAME_MAX,
     offsetof (struct kv_object, model)},
    {"version", EG_FIELD_STRING, true, 0, EG_FIELD_NAME_MAX,
     offsetof (struct kv_object, version)},
};

void
eg_engine_handle_kv_export (struct eg_engine *self,
                            struct eg_server_exchange *exchange)
{
  struct request_body body = {0};
  struct eg_engine_request *request;
  json_t *kv_object = NULL;

  if (!parse_body (exchange, export_fields, N_ELEMENTS (export_fields), &body))
    return;
  pthread_mutex_lock (&self->lock);
  request = eg_engine_requests_find (&self->requests, body.request);
  if (request && self->loaded.model && request->kv_prompt > 0
      && request->kv_upto >= body.upto)
    kv_object = json_pack (
        "{s:s,s:I,s:I,s:I,s:[I,I],s:s,s:s}", "request", request->name, "upto",
        body.upto, "attempt", (json_int_t) request->attempt, "prompt_tokens",
        request->kv_prompt, "layers", self->loaded.layers.first,
        self->loaded.layers.last, "model", self->loaded.model, "version",
        self->loaded.version);
  pthread_mutex_unlock (&self->lock);
  if (kv_object)
    eg_server_exchange_respond_json (exchange, 200, kv_object);
  else
    eg_server_exchange_respond_error (
        exchange, 404, "no KV cache of this request up to this position");
}

/* Imports @kv_object, locked. Returns NULL or the reason for the refusal. */
static const char *
import_kv (struct eg_engine *self, const struct kv_object *kv_object)
{
  struct eg_engine_request *request;
  const char *reason = NULL;

  if (!self->loaded.model || strcmp (kv_object->model, self->loaded.model) != 0
      || strcmp (kv_object->version, self->loaded.version) != 0
      || kv_object->layers.first != self->loaded.layers.first
      || kv_object->layers.last != self->loaded.layers.last)
    return "KV cache of another model, version or range of layers";
  if (!eg_engine_requests_fits (&self->requests,
                                kv_object->upto + kv_object->prompt_tokens))
    return "the KV cache is full";
  request = eg_engine_requests_acquire (&self->requests, kv_object->request);
  if (kv_object->attempt < request->attempt)
    reason = "superseded by a higher attempt";
  else if (request->active_runs > 1)
    reason = "the request is running on this engine";
  else
    eg_engine_requests_set_kv (&self->requests, request,
                               kv_object->prompt_tokens, kv_object->upto);
  eg_engine_requests_release (&self->requests, request);
  eg_engine_sample_load (self);
  return reason;
}

void
eg_engine_handle_kv_import (struct eg_engine *self,
                            struct eg_server_exchange *exchange)
{
  struct kv_object kv_object = {0};
  const char *reason;

  if (!parse_body (exchange, kv_fields, N_ELEMENTS (kv_fields), &kv_object))
    return;
  pthread_mutex_lock (&self->lock);
  reason = import_kv (self, &kv_object);
  pthread_mutex_unlock (&self->lock);
  if (reason)
    eg_server_exchange_respond_error (exchange, 409, "%s", reason);
  else
    eg_server_exchange_respond_json (exchange, 200, json_object ());
}

/* Body of an order. */
struct order
{
  const char *order;
  const char *model;
  const char *version;
  struct eg_layers layers;
  int64_t fencing;
};

static const struct eg_field order_fields[] = {
    {"order", EG_FIELD_STRING, true, 1, EG_FIELD_NAME_MAX,
     offsetof (struct order, order)},
    {"model", EG_FIELD_STRING, true, 1, EG_FIELD_NAME_MAX,
     offsetof (struct order, model)},
    {"version", EG_FIELD_STRING, true, 1, EG_FIELD_NAME_MAX,
     offsetof (struct order, version)},
    {"layers", EG_FIELD_LAYERS, true, 1, 10000,
     offsetof (struct order, layers)},
    {"fencing", EG_FIELD_INTEGER, true, 0, EG_FIELD_INTEGER_MAX,
     offsetof (struct order, fencing)},
};

static void
load_model (struct eg_engine *self, const struct order *order)
{
  free (self->loaded.model);
  free (self->loaded.version);
  self->loaded.model = strdup (order->model);
  self->loaded.version = strdup (order->version);
  self->loaded.layers = order->layers;
}

static void
unload_model (struct eg_engine *self, const struct order *order)
{
  (void) order;
  free (self->loaded.model);
  self->loaded.model = NULL;
}

/* Adapter and role orders are recorded without further effect. */
static const struct
{
  const char *name;
  void (*apply) (struct eg_engine *self, const struct order *order);
} order_kinds[] = {
    {"load", load_model},
    {"unload", unload_model},
    {"adapter", NULL},
    {"role", NULL},
};

static bool
apply_order (struct eg_engine *self,
             const struct order *order,
             size_t kind,
             const json_t *body)
{
  bool is_outdated = order->fencing < self->loaded.highest_fencing;

  if (is_outdated && self->config->checks_fencing)
    return false;
  if (!is_outdated)
    self->loaded.highest_fencing = order->fencing;
  if (order_kinds[kind].apply)
    order_kinds[kind].apply (self, order);
  json_array_append_new (self->loaded.orders, json_deep_copy (body));
  return true;
}

void
eg_engine_handle_order (struct eg_engine *self,
                        struct eg_server_exchange *exchange)
{
  struct order order = {0};
  size_t kind = 0;
  bool is_applied;

  if (!parse_body (exchange, order_fields, N_ELEMENTS (order_fields), &order))
    return;
  while (kind < N_ELEMENTS (order_kinds)
         && strcmp (order_kinds[kind].name, order.order) != 0)
    kind++;
  if (kind == N_ELEMENTS (order_kinds)
      || order.layers.last > self->config->model_layers)
    {
      eg_server_exchange_respond_error (
          exchange, 400, "body: %s",
          kind == N_ELEMENTS (order_kinds)
              ? "order must be load, unload, adapter or role"
              : "layers exceed model_layers");
      return;
    }
  pthread_mutex_lock (&self->lock);
  is_applied = apply_order (self, &order, kind, exchange->json);
  pthread_mutex_unlock (&self->lock);
  if (is_applied)
    eg_server_exchange_respond_json (exchange, 200, json_object ());
  else
    eg_server_exchange_respond_error (
        exchange, 409, "fencing number is lower than that of an earlier order");
}

void
eg_engine_handle_cache_events (struct eg_engine *self,
                               struct eg_server_exchange *exchange)
{
  static const char *const names[] = {"after"};
  char text[QUERY_BYTES];
  int64_t after;
  json_t *events;

  if (!eg_server_exchange_check_query (exchange, names, N_ELEMENTS (names)))
    return;
  if (!eg_server_exchange_get_query (exchange, "after", text, sizeof text)
      || !eg_str_to_int64 (eg_str_from (text), &after) || after < 0)
    {
      eg_server_exchange_respond_error (exchange, 400,
                                        "query: after must be an integer");
      return;
    }
  pthread_mutex_lock (&self->lock);
  events = eg_engine_cache_events (
      &self->cache, after,
      eg_clock_now_us () - self->faults.load_lag_ms * EG_US_PER_MS);
  pthread_mutex_unlock (&self->lock);
  eg_server_exchange_respond_json (exchange, 200,
                                   json_pack ("{s:o}", "events", events));
}
