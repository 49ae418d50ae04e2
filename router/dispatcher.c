#include "router/dispatcher.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/map.h"
#include "http/json.h"
#include "router/commands.h"
#include "router/defaults.h"
#include "router/keyed.h"

#define COST_BYTES_PER_TOKEN 4
/* Prompts that share this much of their start share cached keys and values. */
#define PREFIX_BYTES 256

struct eg_dispatcher
{
  struct eg_dispatcher_parts parts;
  struct eg_lifecycle_config config;
  struct eg_lifecycle *lifecycle;
  struct eg_metrics metrics;
  struct eg_map calls;
  struct eg_keyed *keyed;
  struct eg_command_maker maker;
};

/* Replies to callers. */

static struct eg_metrics_series *
series_of (struct eg_dispatcher *self, const struct eg_call *call)
{
  const char *class_name =
      self->config.admission.classes[call->class_index].name;

  return eg_metrics_series (&self->metrics, eg_str_from (call->organisation),
                            eg_str_from (class_name));
}

static void
end_call (struct eg_dispatcher *self,
          struct eg_call *call,
          struct eg_reply *reply,
          enum eg_refusal outcome)
{
  struct eg_metrics_series *series = series_of (self, call);

  series->outcomes[outcome]++;
  if (outcome == EG_REFUSAL_NONE)
    eg_histogram_add (&series->total_us, eg_clock_now_us () - call->arrived_us);
  eg_call_end (call, reply);
  eg_map_remove (&self->calls, call->id);
  eg_call_unref (call);
}

static void
append_token (struct eg_call *call, int64_t position, struct eg_str token)
{
  struct eg_reply *reply = call->gathered;
  struct eg_buffer json = {0};

  if (!reply)
    reply = call->gathered = eg_reply_new (EG_REPLY_TOKENS);
  eg_json_append_string (&json, token);
  if (call->tokens.len > 0)
    eg_buffer_append (&call->tokens, EG_STR (","));
  eg_buffer_append (&call->tokens, eg_buffer_view (&json));
  if (*call->key)
    eg_buffer_append (&call->answer, token);
  if (call->stream)
    eg_buffer_printf (&reply->events,
                      "data: {\"position\":%" PRId64 ",\"token\":%.*s}\n\n",
                      position, EG_STR_ARGS (eg_buffer_view (&json)));
  else
    eg_buffer_append (&reply->text, token);
  reply->token_count++;
  eg_buffer_finish (&json);
}

static void
count_token (struct eg_dispatcher *self, struct eg_call *call, int64_t now_us)
{
  struct eg_metrics_series *series = series_of (self, call);

  series->tokens++;
  if (call->token_count++ == 0)
    eg_histogram_add (&series->first_token_us, now_us - call->arrived_us);
  else
    eg_histogram_add (&series->between_tokens_us, now_us - call->last_token_us);
  call->last_token_us = now_us;
}

static void
refuse_call (struct eg_dispatcher *self,
             struct eg_call *call,
             enum eg_refusal refusal,
             enum eg_ran ran,
             int64_t retry_after_us)
{
  struct eg_reply *reply = eg_reply_new (EG_REPLY_REFUSAL);

  reply->refusal = refusal;
  reply->ran = ran;
  reply->retry_after_us = retry_after_us;
  end_call (self, call, reply, refusal);
}

static void
answer_call (struct eg_dispatcher *self,
             struct eg_call *call,
             int status,
             struct eg_str content_type,
             struct eg_str body)
{
  struct eg_reply *reply = eg_reply_new (EG_REPLY_ANSWER);

  reply->http_status = status;
  eg_str_copy (content_type, reply->content_type, sizeof reply->content_type);
  eg_buffer_append (&reply->text, body);
  end_call (self, call, reply, EG_REFUSAL_NONE);
}

/* Keeps the text of a completion with a key, which a repeat gets as a whole
   even where the first sending asked for a stream. */
static void
keep_completion (struct eg_dispatcher *self, struct eg_call *call)
{
  struct eg_buffer json = {0};
  struct eg_claim_answer answer = {
      .kept = true,
      .status = 200,
      .content_type = EG_STR ("application/json"),
  };

  eg_call_write_completion (call, eg_buffer_view (&call->answer),
                            call->token_count, &json);
  answer.body = eg_buffer_view (&json);
  eg_keyed_answered (self->keyed, call->id, &answer, eg_clock_now_us ());
  eg_buffer_finish (&json);
}

static void
finish_completion (struct eg_dispatcher *self, struct eg_call *call)
{
  if (*call->key)
    keep_completion (self, call);
  end_call (self, call, eg_reply_new (EG_REPLY_DONE), EG_REFUSAL_NONE);
}

/* Actions of the lifecycle. */

static void
apply_start (struct eg_dispatcher *self,
             struct eg_call *call,
             const struct eg_action *action)
{
  const struct eg_attempt_failure not_sent = {.cause = EG_ATTEMPT_NOT_SENT};
  int64_t now_us = eg_clock_now_us ();
  struct eg_backend_command *command =
      eg_command_start (&self->maker, call, action, now_us);

  if (eg_backend_worker_push (self->parts.backend, command))
    return;
  eg_backend_command_free (command);
  eg_lifecycle_attempt_failed (self->lifecycle, call->id, action->attempt,
                               &not_sent, now_us);
}

static void
apply_cancel (struct eg_dispatcher *self, const struct eg_action *action)
{
  struct eg_backend_command *command = eg_command_cancel (&self->maker, action);

  /* A full ring loses the cancellation; the engine finds the closed stream. */
  if (!eg_backend_worker_push (self->parts.backend, command))
    eg_backend_command_free (command);
}

static void
apply_action (struct eg_dispatcher *self, const struct eg_action *action)
{
  struct eg_call *call = eg_map_get (&self->calls, action->request);

  switch (action->kind)
    {
    case EG_ACTION_START:
      if (call)
        apply_start (self, call, action);
      return;
    case EG_ACTION_CANCEL:
      apply_cancel (self, action);
      return;
    case EG_ACTION_FINISH:
      if (call && call->kind == EG_CALL_COMPLETION)
        finish_completion (self, call);
      return;
    case EG_ACTION_REFUSE:
      if (call && *call->key)
        eg_keyed_refused (self->keyed, call->id, action->refusal,
                          eg_clock_now_us ());
      else if (call)
        refuse_call (self, call, action->refusal, action->ran,
                     action->retry_after_us);
      return;
    case EG_ACTION_QUARANTINE:
      eg_log (EG_LOG_WARNING, "lifecycle",
              "event=quarantine fingerprint=%016" PRIx64, action->fingerprint);
      return;
    }
}

static void
apply_actions (struct eg_dispatcher *self)
{
  struct eg_action action;

  while (eg_lifecycle_next_action (self->lifecycle, &action))
    apply_action (self, &action);
}

/* Requests. */

static uint64_t
fingerprint_of (const struct eg_call *call)
{
  struct eg_str path = call->kind == EG_CALL_SERVICE
                           ? eg_buffer_view (&call->path)
                           : EG_STR ("/v1/completions");

  return eg_quarantine_fingerprint (eg_str_from (call->organisation), path,
                                    eg_buffer_view (&call->body));
}

static uint64_t
prefix_hash_of (const struct eg_call *call)
{
  struct eg_str prefix = {call->prompt.data, PREFIX_BYTES};

  if (call->kind != EG_CALL_COMPLETION || call->prompt.len < PREFIX_BYTES)
    return 0;
  return eg_hash_str (prefix) ^ eg_hash_str (eg_str_from (call->target));
}

static void
place_call (struct eg_dispatcher *self,
            struct eg_call *call,
            int64_t send_by_us)
{
  const struct eg_lifecycle_request request = {
      .id = call->id,
      .organisation = eg_str_from (call->organisation),
      .class_index = call->class_index,
      .plain = call->kind == EG_CALL_SERVICE,
      .target = eg_str_from (call->target),
      .fingerprint = fingerprint_of (call),
      .prefix_hash = prefix_hash_of (call),
      .cost = (uint64_t) call->max_tokens
              + call->prompt.len / COST_BYTES_PER_TOKEN + 1,
      .outcome = &call->outcome,
      .arrived_us = call->arrived_us,
      .deadline_us = call->arrived_us + call->budget_us,
      .send_by_us = send_by_us,
  };

  call->send_by_us = send_by_us;
  eg_lifecycle_arrive (self->lifecycle, &request, eg_clock_now_us ());
}

static void
on_keyed_dispatch (void *context, struct eg_call *call, int64_t send_by_us)
{
  place_call (context, call, send_by_us);
}

static void
on_keyed_answer (void *context,
                 struct eg_call *call,
                 const struct eg_claim_answer *answer)
{
  answer_call (context, call, answer->status, answer->content_type,
               answer->body);
}

static void
on_keyed_refuse (void *context,
                 struct eg_call *call,
                 const struct eg_claim_action *refusal)
{
  refuse_call (context, call, refusal->refusal, refusal->ran,
               refusal->retry_after_us);
}

void
eg_dispatcher_arrive (struct eg_dispatcher *self, struct eg_call *call)
{
  eg_map_put (&self->calls, call->id, call);
  series_of (self, call)->requests++;
  if (*call->key)
    eg_keyed_arrive (self->keyed, call, eg_clock_now_us ());
  else
    {
      eg_outcome_init (&call->outcome, call->idempotent
                                           ? EG_OUTCOME_IDEMPOTENT
                                           : EG_OUTCOME_NON_IDEMPOTENT);
      place_call (self, call, INT64_MAX);
    }
  apply_actions (self);
}

void
eg_dispatcher_abandon (struct eg_dispatcher *self, struct eg_call *call)
{
  /* A request with a key goes on, so that a repeat finds its answer. */
  if (*call->key || !eg_map_remove (&self->calls, call->id))
    return;
  series_of (self, call)->abandoned++;
  eg_lifecycle_abandon (self->lifecycle, call->id, eg_clock_now_us ());
  eg_call_unref (call);
  apply_actions (self);
}

/* Reports on attempts. */

static void
handle_tokens (struct eg_dispatcher *self, struct eg_backend_event *event)
{
  struct eg_call *call = eg_map_get (&self->calls, event->request);
  int64_t now_us = eg_clock_now_us ();

  for (size_t i = 0; i < event->token_count; i++)
    {
      const struct eg_backend_token *token = &event->tokens[i];
      struct eg_str text = {event->text.data + token->offset, token->len};

      if (!eg_lifecycle_token (self->lifecycle, event->request, event->attempt,
                               token->position, now_us))
        continue;
      append_token (call, token->position, text);
      count_token (self, call, now_us);
    }
  if (call)
    eg_call_send_tokens (call);
}

static void
handle_done (struct eg_dispatcher *self, struct eg_backend_event *event)
{
  struct eg_call *call = eg_map_get (&self->calls, event->request);

  if (!eg_lifecycle_attempt_done (self->lifecycle, event->request,
                                  event->attempt, eg_clock_now_us ())
      || !call || call->kind != EG_CALL_SERVICE)
    return;
  if (*call->key)
    {
      const struct eg_claim_answer answer = {
          .kept = true,
          .status = event->http_status,
          .content_type = eg_str_from (event->content_type),
          .body = eg_buffer_view (&event->text),
      };

      eg_keyed_answered (self->keyed, call->id, &answer, eg_clock_now_us ());
    }
  answer_call (self, call, event->http_status,
               eg_str_from (event->content_type),
               eg_buffer_view (&event->text));
}

static void
handle_failed (struct eg_dispatcher *self, struct eg_backend_event *event)
{
  const struct eg_attempt_failure failure = {
      .cause = event->cause, .server = eg_str_from (event->server)};

  eg_log (EG_LOG_INFO, "backend",
          "event=attempt-failed request=%" PRIu64 " attempt=%u server=%s "
          "stage=%s cause=%d",
          event->request, event->attempt, event->address, event->server,
          (int) event->cause);
  if (event->cause == EG_ATTEMPT_REFUSED)
    eg_fleet_refused (self->parts.fleet, eg_str_from (event->address));
  eg_lifecycle_attempt_failed (self->lifecycle, event->request, event->attempt,
                               &failure, eg_clock_now_us ());
}

static void (*const attempt_handlers[]) (struct eg_dispatcher *self,
                                         struct eg_backend_event *event) = {
    [EG_BACKEND_TOKENS] = handle_tokens,
    [EG_BACKEND_DONE] = handle_done,
    [EG_BACKEND_FAILED] = handle_failed,
};

void
eg_dispatcher_attempt_event (struct eg_dispatcher *self,
                             struct eg_backend_event *event)
{
  attempt_handlers[event->kind](self, event);
  apply_actions (self);
}

void
eg_dispatcher_store_reply (struct eg_dispatcher *self,
                           const struct eg_platform_reply *reply)
{
  eg_keyed_reply (self->keyed, reply, eg_clock_now_us ());
  apply_actions (self);
}

void
eg_dispatcher_servers_changed (struct eg_dispatcher *self, uint32_t silent)
{
  int64_t now_us = eg_clock_now_us ();

  if (silent != EG_SERVER_NONE)
    eg_lifecycle_server_silent (self->lifecycle, silent, now_us);
  else
    eg_lifecycle_servers_changed (self->lifecycle, now_us);
  apply_actions (self);
}

void
eg_dispatcher_stop (struct eg_dispatcher *self)
{
  eg_lifecycle_stop (self->lifecycle);
}

void
eg_dispatcher_tick (struct eg_dispatcher *self, int64_t now_us)
{
  eg_lifecycle_tick (self->lifecycle, now_us);
  eg_keyed_tick (self->keyed, now_us);
  apply_actions (self);
}

bool
eg_dispatcher_is_busy (const struct eg_dispatcher *self)
{
  struct eg_lifecycle_counts counts = eg_lifecycle_counts (self->lifecycle);

  return counts.queued + counts.running > 0 || eg_keyed_count (self->keyed) > 0;
}

const struct eg_lifecycle *
eg_dispatcher_lifecycle (const struct eg_dispatcher *self)
{
  return self->lifecycle;
}

const struct eg_metrics *
eg_dispatcher_metrics (const struct eg_dispatcher *self)
{
  return &self->metrics;
}

struct eg_dispatcher *
eg_dispatcher_new (const struct eg_dispatcher_parts *parts)
{
  struct eg_dispatcher *self = calloc (1, sizeof *self);
  const struct eg_keyed_callbacks keyed_callbacks = {
      .dispatch = on_keyed_dispatch,
      .answer = on_keyed_answer,
      .refuse = on_keyed_refuse,
      .context = self,
  };

  if (!self)
    return NULL;
  self->parts = *parts;
  eg_defaults_lifecycle (parts->settings, &self->config);
  self->maker.admission = &self->config.admission;
  self->maker.servers = parts->fleet->servers;
  snprintf (self->maker.incarnation, sizeof self->maker.incarnation,
            "%016" PRIx64, parts->incarnation);
  self->lifecycle = eg_lifecycle_new (&self->config, parts->fleet->servers,
                                      eg_hash_mix (parts->incarnation));
  if (self->lifecycle)
    self->keyed = eg_keyed_new (parts->platform, parts->incarnation,
                                ~parts->incarnation, &keyed_callbacks);
  if (self->keyed)
    return self;
  eg_dispatcher_free (self);
  return NULL;
}

void
eg_dispatcher_free (struct eg_dispatcher *self)
{
  struct eg_call *call;
  size_t cursor = 0;

  if (!self)
    return;
  while ((call = eg_map_next (&self->calls, &cursor)))
    eg_call_unref (call);
  eg_map_finish (&self->calls);
  eg_keyed_free (self->keyed);
  eg_lifecycle_free (self->lifecycle);
  eg_metrics_finish (&self->metrics);
  free (self);
}
