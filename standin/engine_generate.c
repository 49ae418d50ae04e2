#include "standin/engine_generate.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/engine_chain.h"
#include "standin/engine_stage.h"
#include "standin/fields.h"
#include "standin/token.h"

#define MAX_CHAIN 64
#define WHERE_BYTES 32

/* The body of the call. */
struct generate
{
  const char *request;
  int64_t attempt;
  int64_t priority;
  const char *prompt;
  json_t *tokens;
  int64_t max_tokens;
  json_t *chain;
};

/* clang-format off: one field a line. */
#define ROW(member, type, min, max)                                            \
  {                                                                            \
#member, type, true, min, max, offsetof(struct generate, member)           \
  }

static const struct eg_field generate_fields[] = {
    ROW (request, EG_FIELD_TEXT, 1, EG_FIELD_NAME_MAX),
    ROW (attempt, EG_FIELD_INTEGER, 1, UINT32_MAX),
    ROW (priority, EG_FIELD_INTEGER, -1000000, 1000000),
    ROW (prompt, EG_FIELD_TEXT, 0, EG_FIELD_TEXT_MAX),
    ROW (tokens, EG_FIELD_ARRAY, 0, 0),
    ROW (max_tokens, EG_FIELD_INTEGER, 0, 10000000),
    ROW (chain, EG_FIELD_ARRAY, 0, 0),
};
/* clang-format on */

/* One link of the chain, as given. */
struct link
{
  const char *address;
  struct eg_layers layers;
};

static const struct eg_field link_fields[] = {
    {"address", EG_FIELD_ADDRESS, true, 0, 0, offsetof (struct link, address)},
    {"layers", EG_FIELD_LAYERS, true, 1, 10000, offsetof (struct link, layers)},
};

static enum eg_status
check_tokens (const struct generate *call, struct eg_error *error)
{
  struct eg_str prompt = eg_str_from (call->prompt);
  size_t i;
  json_t *token;

  if (eg_fields_check_texts (call->tokens, EG_FIELD_NAME_MAX, "tokens", error)
      != EG_OK)
    return EG_INVALID;
  if ((int64_t) json_array_size (call->tokens) > call->max_tokens)
    return eg_error_set (error, EG_INVALID,
                         "tokens: more than max_tokens are committed");
  json_array_foreach (call->tokens, i, token)
  {
    char text[EG_TOKEN_BYTES];

    eg_token_text (prompt, (int64_t) i + 1, text);
    if (strcmp (text, json_string_value (token)) != 0)
      return eg_error_set (error, EG_INVALID,
                           "tokens[%zu]: not what the model gives there", i);
  }
  return EG_OK;
}

static enum eg_status
read_links (const struct eg_engine *engine,
            const struct generate *call,
            struct link *links,
            struct eg_error *error)
{
  int64_t next = 1;
  size_t i;
  json_t *link;

  if (json_array_size (call->chain) == 0
      || json_array_size (call->chain) > MAX_CHAIN)
    return eg_error_set (error, EG_INVALID, "chain: must have 1 to %d stages",
                         MAX_CHAIN);
  json_array_foreach (call->chain, i, link)
  {
    char where[WHERE_BYTES];

    snprintf (where, sizeof where, "chain[%zu]", i);
    if (eg_fields_read (link_fields, 2, link, &links[i], where, error) != EG_OK)
      return EG_INVALID;
    if (links[i].layers.first != next)
      return eg_error_set (error, EG_INVALID,
                           "%s: layers must start at %" PRId64, where, next);
    next = links[i].layers.last + 1;
  }
  if (next != engine->config->model_layers + 1)
    return eg_error_set (error, EG_INVALID,
                         "chain: layers must end at %" PRId64,
                         engine->config->model_layers);
  if (!links[0].address
      || strcmp (links[0].address, engine->config->listen) != 0)
    return eg_error_set (error, EG_INVALID,
                         "chain[0]: the head must be %s itself",
                         engine->config->listen);
  return EG_OK;
}

static void
refuse_opening (struct eg_exchange *exchange, enum eg_step step)
{
  const char *cause = eg_step_cause (step);

  if (step == EG_STEP_REFUSED)
    eg_exchange_answer_json (
        exchange, 409,
        json_pack ("{s:s,s:s}", "error",
                   "a higher attempt, or this one, was seen", "cause", cause));
  else
    eg_exchange_answer_json (exchange, 503,
                             json_pack ("{s:s,s:s,s:s}", "ran", "no", "error",
                                        cause, "cause", cause));
}

static bool
send_token (struct eg_exchange *exchange,
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
  return eg_exchange_send (exchange, eg_buffer_view (event));
}

static void
send_failure (struct eg_exchange *exchange,
              struct eg_buffer *event,
              const struct eg_chain *chain,
              int64_t position)
{
  eg_buffer_clear (event);
  eg_buffer_printf (event,
                    "event: error\ndata: {\"stage\":%zu,\"address\":\"%s\","
                    "\"position\":%" PRId64 ",\"cause\":\"%s\"}\n\n",
                    chain->failed_stage,
                    chain->stages[chain->failed_stage].address, position,
                    eg_step_cause (chain->failure));
  eg_exchange_send (exchange, eg_buffer_view (event));
  eg_exchange_end (exchange);
}

static void
run_stream (struct eg_exchange *exchange,
            struct eg_chain *chain,
            const struct generate *call)
{
  struct eg_str prompt = eg_str_from (call->prompt);
  int64_t position = (int64_t) json_array_size (call->tokens) + 1;
  struct eg_buffer event = {0};

  eg_exchange_begin (exchange, "text/event-stream");
  for (; position <= call->max_tokens; position++)
    {
      if (!eg_chain_run (chain, position))
        break;
      if (!send_token (exchange, &event, prompt, position))
        goto out;
    }
  if (chain->failure == EG_STEP_DONE)
    {
      eg_exchange_send (exchange, EG_STR ("data: {\"done\":true}\n\n"));
      eg_exchange_end (exchange);
    }
  else if (chain->failed_stage == 0 && chain->failure == EG_STEP_DIED)
    eg_exchange_cut (exchange);
  else
    send_failure (exchange, &event, chain, position);
out:
  eg_buffer_finish (&event);
}

void
eg_engine_generate (struct eg_engine *self, struct eg_exchange *exchange)
{
  struct eg_error error = {0};
  struct generate call = {0};
  struct link links[MAX_CHAIN] = {0};
  struct eg_chain chain = {0};
  enum eg_step step;

  if (!eg_exchange_read_json (exchange))
    return;
  if (eg_fields_read (generate_fields,
                      sizeof generate_fields / sizeof *generate_fields,
                      exchange->json, &call, "body", &error)
          != EG_OK
      || check_tokens (&call, &error) != EG_OK
      || read_links (self, &call, links, &error) != EG_OK)
    {
      eg_exchange_refuse (exchange, 400, "%s", error.message);
      return;
    }
  eg_chain_init (&chain, self, exchange, json_array_size (call.chain));
  chain.params = (struct eg_stage_params){
      .request = call.request,
      .attempt = call.attempt,
      .priority = call.priority,
      .prompt = eg_str_from (call.prompt),
      .committed = (int64_t) json_array_size (call.tokens),
      .max_tokens = call.max_tokens,
  };
  for (size_t i = 0; i < chain.count; i++)
    eg_chain_set_stage (&chain, i, links[i].address, links[i].layers);
  step = eg_chain_open_head (&chain);
  if (step == EG_STEP_DONE)
    run_stream (exchange, &chain, &call);
  else
    refuse_opening (exchange, step);
  eg_chain_finish (&chain);
}
