#include "standin/engine_generate.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/engine_chain.h"
#include "standin/engine_stage.h"
#include "standin/fields.h"
#include "standin/token.h"

#define MAX_STAGES 64
#define WHERE_BYTES 32

/* Body of `POST /v1/generate`. */
struct generate_call
{
  const char *request;
  int64_t attempt;
  int64_t priority;
  const char *prompt;
  json_t *tokens;
  int64_t max_tokens;
  json_t *chain;
};

/* One field per line. */
/* clang-format off */
#define FIELD(member, type, min, max)                                          \
  {                                                                            \
    #member, type, true, min, max, offsetof (struct generate_call, member)     \
  }

static const struct eg_field generate_fields[] = {
    FIELD (request, EG_FIELD_STRING, 1, EG_FIELD_NAME_MAX),
    FIELD (attempt, EG_FIELD_INTEGER, 1, UINT32_MAX),
    FIELD (priority, EG_FIELD_INTEGER, -1000000, 1000000),
    FIELD (prompt, EG_FIELD_STRING, 0, EG_FIELD_LONG_STRING_MAX),
    FIELD (tokens, EG_FIELD_ARRAY, 0, 0),
    FIELD (max_tokens, EG_FIELD_INTEGER, 0, 10000000),
    FIELD (chain, EG_FIELD_ARRAY, 0, 0),
};
/* clang-format on */

/* Element of the body's chain. */
struct stage_spec
{
  const char *address;
  struct eg_layers layers;
};

static const struct eg_field stage_spec_fields[] = {
    {"address", EG_FIELD_ADDRESS, true, 0, 0,
     offsetof (struct stage_spec, address)},
    {"layers", EG_FIELD_LAYERS, true, 1, 10000,
     offsetof (struct stage_spec, layers)},
};

static enum eg_status
check_tokens (const struct generate_call *call, struct eg_error *error)
{
  struct eg_str prompt = eg_str_from (call->prompt);
  size_t i;
  json_t *token;

  if (eg_fields_check_strings (call->tokens, EG_FIELD_NAME_MAX, "tokens", error)
      != EG_OK)
    return EG_INVALID;
  if ((int64_t) json_array_size (call->tokens) > call->max_tokens)
    return eg_error_set (error, EG_INVALID, "tokens: more than max_tokens");
  json_array_foreach (call->tokens, i, token)
  {
    char text[EG_TOKEN_BYTES];

    eg_token_text (prompt, (int64_t) i + 1, text);
    if (strcmp (text, json_string_value (token)) != 0)
      return eg_error_set (
          error, EG_INVALID,
          "tokens[%zu]: differs from the token generated there", i);
  }
  return EG_OK;
}

static enum eg_status
parse_chain (const struct eg_engine *engine,
             const struct generate_call *call,
             struct stage_spec *stage_specs,
             struct eg_error *error)
{
  int64_t next = 1;
  size_t i;
  json_t *stage_spec;

  if (json_array_size (call->chain) == 0
      || json_array_size (call->chain) > MAX_STAGES)
    return eg_error_set (error, EG_INVALID, "chain: must have 1 to %d stages",
                         MAX_STAGES);
  json_array_foreach (call->chain, i, stage_spec)
  {
    char where[WHERE_BYTES];

    snprintf (where, sizeof where, "chain[%zu]", i);
    if (eg_fields_read (stage_spec_fields, 2, stage_spec, &stage_specs[i],
                        where, error)
        != EG_OK)
      return EG_INVALID;
    if (stage_specs[i].layers.first != next)
      return eg_error_set (error, EG_INVALID,
                           "%s: layers must start at %" PRId64, where, next);
    next = stage_specs[i].layers.last + 1;
  }
  if (next != engine->config->model_layers + 1)
    return eg_error_set (error, EG_INVALID,
                         "chain: layers must end at %" PRId64,
                         engine->config->model_layers);
  if (!stage_specs[0].address
      || strcmp (stage_specs[0].address, engine->config->listen) != 0)
    return eg_error_set (error, EG_INVALID,
                         "chain[0]: the head must be this engine, %s",
                         engine->config->listen);
  return EG_OK;
}

static void
respond_open_failure (struct eg_server_exchange *exchange, enum eg_step step)
{
  const char *cause = eg_step_cause (step);

  if (step == EG_STEP_REFUSED)
    eg_server_exchange_respond_json (
        exchange, 409,
        json_pack ("{s:s,s:s}", "error",
                   "this attempt or a higher one was seen before", "cause",
                   cause));
  else
    eg_server_exchange_respond_json (exchange, 503,
                                     json_pack ("{s:s,s:s,s:s}", "ran", "no",
                                                "error", cause, "cause",
                                                cause));
}

static bool
send_token (struct eg_server_exchange *exchange,
            struct eg_buffer *event,
            struct eg_str prompt,
            int64_t position)
{
  char text[EG_TOKEN_BYTES];

  eg_token_text (prompt, position, text);
  eg_buffer_clear (event);
  eg_buffer_printf (event,
                    "data: {\"position\":%" PRId64 ",\"token\":\"%s\"}\n\n",
                    position, text);
  return eg_server_exchange_send_chunk (exchange, eg_buffer_view (event));
}

static void
send_error_event (struct eg_server_exchange *exchange,
                  struct eg_buffer *event,
                  const struct eg_stage_chain *chain,
                  int64_t position)
{
  eg_buffer_clear (event);
  eg_buffer_printf (event,
                    "event: error\ndata: {\"stage\":%zu,\"address\":\"%s\","
                    "\"position\":%" PRId64 ",\"cause\":\"%s\"}\n\n",
                    chain->failed_stage,
                    chain->stages[chain->failed_stage].address, position,
                    eg_step_cause (chain->failure));
  eg_server_exchange_send_chunk (exchange, eg_buffer_view (event));
  eg_server_exchange_end_chunked (exchange);
}

static void
run_stream (struct eg_server_exchange *exchange,
            struct eg_stage_chain *chain,
            const struct generate_call *call)
{
  struct eg_str prompt = eg_str_from (call->prompt);
  int64_t position = (int64_t) json_array_size (call->tokens) + 1;
  struct eg_buffer event = {0};

  eg_server_exchange_begin_chunked (exchange, "text/event-stream");
  for (; position <= call->max_tokens; position++)
    {
      if (!eg_stage_chain_run (chain, position))
        break;
      if (!send_token (exchange, &event, prompt, position))
        goto out;
    }
  if (chain->failure == EG_STEP_DONE)
    {
      eg_server_exchange_send_chunk (exchange,
                                     EG_STR ("data: {\"done\":true}\n\n"));
      eg_server_exchange_end_chunked (exchange);
    }
  else if (chain->failed_stage == 0 && chain->failure == EG_STEP_DIED)
    eg_server_exchange_abort (exchange);
  else
    send_error_event (exchange, &event, chain, position);
out:
  eg_buffer_finish (&event);
}

void
eg_engine_handle_generate (struct eg_engine *self,
                           struct eg_server_exchange *exchange)
{
  struct eg_error error = {0};
  struct generate_call call = {0};
  struct stage_spec stage_specs[MAX_STAGES] = {0};
  struct eg_stage_chain chain = {0};
  enum eg_step step;

  if (!eg_server_exchange_parse_json (exchange))
    return;
  if (eg_fields_read (generate_fields,
                      sizeof generate_fields / sizeof *generate_fields,
                      exchange->json, &call, "body", &error)
          != EG_OK
      || check_tokens (&call, &error) != EG_OK
      || parse_chain (self, &call, stage_specs, &error) != EG_OK)
    {
      eg_server_exchange_respond_error (exchange, 400, "%s", error.message);
      return;
    }
  eg_stage_chain_init (&chain, self, exchange, json_array_size (call.chain));
  chain.params = (struct eg_stage_params){
      .request = call.request,
      .attempt = call.attempt,
      .priority = call.priority,
      .prompt = eg_str_from (call.prompt),
      .committed = (int64_t) json_array_size (call.tokens),
      .max_tokens = call.max_tokens,
  };
  for (size_t i = 0; i < chain.count; i++)
    eg_stage_chain_set_entry (&chain, i, stage_specs[i].address,
                              stage_specs[i].layers);
  step = eg_stage_chain_open_head (&chain);
  if (step == EG_STEP_DONE)
    run_stream (exchange, &chain, &call);
  else
    respond_open_failure (exchange, step);
  eg_stage_chain_finish (&chain);
}
