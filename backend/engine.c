#include "backend/engine.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "http/json.h"

static void
write_chain (struct eg_buffer *body,
             const struct eg_chain *chain,
             const struct eg_servers *servers)
{
  for (size_t i = 0; i < chain->count; i++)
    {
      const struct eg_chain_stage *stage = &chain->stages[i];

      eg_buffer_printf (body, "%s{\"address\":\"%s\",\"layers\":[%u,%u]}",
                        i > 0 ? "," : "",
                        eg_servers_get (servers, stage->server)->address,
                        stage->first_layer, stage->last_layer);
    }
}

void
eg_engine_write_generate (struct eg_buffer *body,
                          const struct eg_engine_generate *generate)
{
  eg_buffer_printf (body,
                    "{\"request\":\"%s\",\"attempt\":%u,\"priority\":%" PRId64
                    ",\"max_tokens\":%" PRId64 ",\"prompt\":",
                    generate->request, generate->attempt, generate->priority,
                    generate->max_tokens);
  eg_json_append_string (body, generate->prompt);
  eg_buffer_printf (body, ",\"tokens\":[%.*s],\"chain\":[",
                    EG_STR_ARGS (generate->tokens));
  write_chain (body, generate->chain, generate->servers);
  eg_buffer_append (body, EG_STR ("]}"));
}

void
eg_engine_write_cancel (struct eg_buffer *body,
                        const char *request,
                        uint32_t attempt)
{
  eg_buffer_printf (body, "{\"request\":\"%s\",\"attempt\":%u}", request,
                    attempt);
}

void
eg_engine_write_order (struct eg_buffer *body,
                       const struct eg_order *order,
                       uint64_t fencing)
{
  static const char *const kinds[] = {
      [EG_ORDER_LOAD] = "load",
      [EG_ORDER_UNLOAD] = "unload",
  };

  eg_buffer_printf (body, "{\"order\":\"%s\",\"model\":", kinds[order->kind]);
  eg_json_append_string (body, eg_str_from (order->model));
  eg_buffer_append (body, EG_STR (",\"version\":"));
  eg_json_append_string (body, eg_str_from (order->version));
  eg_buffer_printf (body, ",\"layers\":[%u,%u],\"fencing\":%" PRIu64 "}",
                    order->first_layer, order->last_layer, fencing);
}

static void
read_token (json_t *object, struct eg_engine_event *event)
{
  struct eg_str token = {0};
  bool done = false;
  const struct eg_json_member members[] = {
      {"position", EG_JSON_INTEGER, false, &event->position, 0},
      {"token", EG_JSON_VIEW, false, &token, 0},
      {"done", EG_JSON_BOOLEAN, false, &done, 0},
  };

  event->position = 0;
  if (eg_json_read (object, members, 3, NULL) != EG_OK)
    return;
  if (done)
    event->kind = EG_ENGINE_DONE;
  else if (event->position > 0 && token.data)
    {
      event->kind = EG_ENGINE_TOKEN;
      eg_buffer_append (&event->token, token);
    }
}

static void
read_stage_failure (json_t *object, struct eg_engine_event *event)
{
  const char *address = json_string_value (json_object_get (object, "address"));
  const char *cause = json_string_value (json_object_get (object, "cause"));

  event->away = cause && strcmp (cause, "unreachable") == 0;
  if (address
      && eg_str_copy (eg_str_from (address), event->address,
                      sizeof event->address))
    event->kind = EG_ENGINE_STAGE_FAILED;
}

void
eg_engine_read_event (struct eg_str name,
                      struct eg_str data,
                      struct eg_engine_event *event)
{
  json_t *object = eg_json_parse (data, NULL);

  event->kind = EG_ENGINE_INVALID;
  eg_buffer_clear (&event->token);
  if (!json_is_object (object))
    goto out;
  if (eg_str_equal (name, EG_STR ("error")))
    read_stage_failure (object, event);
  else
    read_token (object, event);
out:
  json_decref (object);
}

bool
eg_engine_refusal_not_executed (struct eg_str body)
{
  json_t *object = eg_json_parse (body, NULL);
  const char *ran = json_string_value (json_object_get (object, "ran"));
  bool result = ran && strcmp (ran, "no") == 0;

  json_decref (object);
  return result;
}

static bool
read_layers (json_t *layers, struct eg_server_report *report)
{
  json_int_t first = json_integer_value (json_array_get (layers, 0));
  json_int_t last = json_integer_value (json_array_get (layers, 1));

  if (json_array_size (layers) != 2 || first < 1 || last < first
      || last > (json_int_t) report->model_layers)
    return false;
  report->first_layer = (uint32_t) first;
  report->last_layer = (uint32_t) last;
  return true;
}

enum eg_status
eg_engine_read_load (struct eg_str body,
                     int64_t now_us,
                     int64_t wall_us,
                     struct eg_server_report *report,
                     struct eg_error *error)
{
  char server[EG_NAME_BYTES];
  int64_t model_layers = 0;
  int64_t running = 0;
  int64_t queued = 0;
  int64_t slots = 0;
  int64_t kv_free = 0;
  int64_t kv_total = 0;
  int64_t as_of_ms = 0;
  json_t *layers = NULL;
  json_t *object = eg_json_parse (body, error);
  enum eg_status status = EG_INVALID;
  const struct eg_json_member members[] = {
      {"server", EG_JSON_TEXT, true, server, sizeof server},
      {"service", EG_JSON_TEXT, true, report->service, EG_NAME_BYTES},
      {"model", EG_JSON_TEXT, true, report->model, EG_NAME_BYTES},
      {"version", EG_JSON_TEXT, true, report->version, EG_NAME_BYTES},
      {"layers", EG_JSON_ARRAY, true, &layers, 0},
      {"model_layers", EG_JSON_INTEGER, true, &model_layers, 0},
      {"accelerator", EG_JSON_TEXT, true, report->accelerator, EG_NAME_BYTES},
      {"running", EG_JSON_INTEGER, true, &running, 0},
      {"queued", EG_JSON_INTEGER, true, &queued, 0},
      {"slots", EG_JSON_INTEGER, false, &slots, 0},
      {"kv_free", EG_JSON_INTEGER, true, &kv_free, 0},
      {"kv_total", EG_JSON_INTEGER, true, &kv_total, 0},
      {"draining", EG_JSON_BOOLEAN, true, &report->draining, 0},
      {"as_of_ms", EG_JSON_INTEGER, true, &as_of_ms, 0},
  };

  if (!object)
    goto out;
  status =
      eg_json_read (object, members, sizeof members / sizeof members[0], error);
  if (status != EG_OK)
    goto out;
  report->model_layers = (uint32_t) model_layers;
  report->running = (uint32_t) running;
  report->queued = (uint32_t) queued;
  report->slots = (uint32_t) slots;
  report->kv_free = (uint64_t) kv_free;
  report->kv_total = (uint64_t) kv_total;
  report->as_of_us = now_us - (wall_us - as_of_ms * EG_US_PER_MS);
  /* Clocks differ between VMs: a report is never newer than its arrival. */
  if (report->as_of_us > now_us)
    report->as_of_us = now_us;
  report->unloaded = *report->model == '\0';
  if (report->unloaded)
    report->model_layers = 0;
  else if (!read_layers (layers, report))
    status = eg_error_set (error, EG_INVALID,
                           "field 'layers': expected [first, last] within "
                           "1 to model_layers");
out:
  json_decref (object);
  return status;
}
