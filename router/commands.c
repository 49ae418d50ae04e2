#include "router/commands.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "backend/engine.h"
#include "base/clock.h"

static void
write_engine_request (const struct eg_command_context *context,
                      uint64_t id,
                      char *text,
                      size_t capacity)
{
  snprintf (text, capacity, "%s-%" PRIx64, context->incarnation, id);
}

static void
fill_generate (const struct eg_command_context *context,
               const struct eg_call *call,
               const struct eg_action *action,
               struct eg_backend_command *command)
{
  char request[EG_ENGINE_REQUEST_BYTES];
  const struct eg_engine_generate generate = {
      .request = request,
      .attempt = action->attempt,
      .priority = call->priority,
      .prompt = eg_buffer_view (&call->prompt),
      .tokens = eg_buffer_view (&call->tokens),
      .max_tokens = call->max_tokens,
      .chain = &action->chain,
      .servers = context->servers,
  };

  write_engine_request (context, call->id, request, sizeof request);
  eg_engine_write_generate (&command->body, &generate);
  command->has_body = true;
  snprintf (command->content_type, sizeof command->content_type,
            "application/json");
}

static void
fill_service_call (const struct eg_call *call,
                   struct eg_backend_command *command,
                   int64_t now_us)
{
  memcpy (command->method, call->method, sizeof command->method);
  eg_buffer_append (&command->target, eg_buffer_view (&call->path));
  eg_buffer_append (&command->body, eg_buffer_view (&call->body));
  command->has_body = call->body.len > 0;
  memcpy (command->content_type, call->content_type,
          sizeof command->content_type);
  memcpy (command->organisation, call->organisation,
          sizeof command->organisation);
  memcpy (command->key, call->key, sizeof command->key);
  command->timeout_us = call->arrived_us + call->budget_us - now_us;
}

struct eg_backend_command *
eg_command_start (const struct eg_command_context *context,
                  const struct eg_call *call,
                  const struct eg_action *action,
                  int64_t now_us)
{
  bool plain = call->kind == EG_CALL_SERVICE;
  uint32_t head = action->chain.stages[0].server;
  struct eg_backend_command *command =
      eg_backend_command_new (plain ? EG_BACKEND_CALL : EG_BACKEND_GENERATE);

  command->request = call->id;
  command->attempt = action->attempt;
  command->at_most_once = !call->idempotent;
  command->send_by_us = call->send_by_us == INT64_MAX ? 0 : call->send_by_us;
  memcpy (command->address, eg_servers_get (context->servers, head)->address,
          sizeof command->address);
  memcpy (command->request_id, call->request_id, sizeof command->request_id);
  if (plain)
    fill_service_call (call, command, now_us);
  else
    fill_generate (context, call, action, command);
  return command;
}

struct eg_backend_command *
eg_command_cancel (const struct eg_command_context *context,
                   const struct eg_action *action)
{
  struct eg_backend_command *command =
      eg_backend_command_new (EG_BACKEND_CANCEL);
  char request[EG_ENGINE_REQUEST_BYTES];
  const struct eg_chain_stage *head = &action->chain.stages[0];

  command->request = action->request;
  command->attempt = action->attempt;
  /* Plain services have no cancel request; closing the connection is enough. */
  if (head->first_layer == 0)
    return command;
  memcpy (command->address,
          eg_servers_get (context->servers, head->server)->address,
          sizeof command->address);
  write_engine_request (context, action->request, request, sizeof request);
  eg_engine_write_cancel (&command->body, request, action->attempt);
  command->has_body = true;
  command->timeout_us = EG_US_PER_S;
  return command;
}

struct eg_backend_command *
eg_command_forward (const struct eg_call *call,
                    const char *address,
                    int64_t now_us)
{
  struct eg_backend_command *command = eg_backend_command_new (EG_BACKEND_CALL);

  fill_service_call (call, command, now_us);
  if (call->kind == EG_CALL_SERVICE)
    {
      eg_buffer_clear (&command->target);
      eg_buffer_printf (&command->target, "/services/%s%.*s", call->target,
                        EG_STR_ARGS (eg_buffer_view (&call->path)));
    }
  else
    {
      eg_buffer_append (&command->target, EG_STR ("/v1/completions"));
      snprintf (command->method, sizeof command->method, "POST");
    }
  command->request = call->id;
  command->attempt = 1;
  command->at_most_once = true;
  eg_str_copy (eg_str_from (address), command->address,
               sizeof command->address);
  memcpy (command->request_id, call->request_id, sizeof command->request_id);
  memcpy (command->ticket, call->ticket, sizeof command->ticket);
  return command;
}
