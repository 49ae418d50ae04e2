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
#include "router/keyed_requests.h"
#include "router/policy.h"
#include "router/ticket_requests.h"

#define ENGINE_PRIORITY_MAX 100
#define SWEEP_INTERVAL_US EG_US_PER_S
#define COST_BYTES_PER_TOKEN 4
/* Prompts with a common prefix of this length can share a KV cache. */
#define PREFIX_BYTES 256

struct eg_dispatcher
{
  struct eg_dispatcher_deps deps;
  struct eg_policy policy;
  const struct eg_rules *rules; /* In force; NULL until rules are read. */
  struct eg_lifecycle *lifecycle;
  struct eg_metrics metrics;
  struct eg_map calls;
  struct eg_keyed_requests *keyed_requests;
  struct eg_ticket_requests *ticket_requests;
  int64_t next_sweep_us;
  struct eg_command_context command_context;
};

/* Replies to clients. */

static struct eg_metrics_series *
find_series (struct eg_dispatcher *self, const struct eg_call *call)
{
  return eg_metrics_series (&self->metrics, eg_str_from (call->organisation),
                            eg_str_from (call->class_name));
}

static void
end_call (struct eg_dispatcher *self,
          struct eg_call *call,
          struct eg_reply *reply,
          enum eg_refusal outcome)
{
  struct eg_metrics_series *series = call->series;

  series->outcomes[outcome]++;
  if (outcome == EG_REFUSAL_NONE)
    eg_histogram_add (&series->total_us, eg_clock_now_us () - call->arrived_us);
  eg_call_end (call, reply);
  eg_map_remove (&self->calls, call->id);
  eg_call_unref (call);
}

/* Returns whether repeated requests are given the first one's answer. */
static bool
is_repeatable (const struct eg_call *call)
{
  return *call->key || *call->ticket;
}

static void
append_token (struct eg_call *call, int64_t position, struct eg_str token)
{
  struct eg_reply *reply = call->pending_tokens;
  size_t start;

  if (!reply)
    reply = call->pending_tokens = eg_reply_new (EG_REPLY_TOKENS);
  if (call->tokens.len > 0)
    eg_buffer_append (&call->tokens, EG_STR (","));
  start = call->tokens.len;
  eg_json_append_string (&call->tokens, token);
  if (is_repeatable (call))
    eg_buffer_append (&call->answer, token);
  if (call->stream)
    eg_buffer_printf (
        &reply->events, "data: {\"position\":%" PRId64 ",\"token\":%.*s}\n\n",
        position, (int) (call->tokens.len - start), call->tokens.data + start);
  else
    eg_buffer_append (&reply->text, token);
  reply->token_count++;
}

static void
count_token (struct eg_call *call, int64_t now_us)
{
  struct eg_metrics_series *series = call->series;

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

/* Stores the answer to a request with a key or a ticket, for its repeats. */
static void
store_answer (struct eg_dispatcher *self,
              struct eg_call *call,
              const struct eg_claim_answer *answer)
{
  if (*call->key)
    eg_keyed_requests_answered (self->keyed_requests, call->id, answer,
                                eg_clock_now_us ());
  else
    eg_ticket_requests_complete (self->ticket_requests, call, answer,
                                 eg_clock_now_us ());
}

/* Repeats get the complete text, even if the first request was streamed. */
static void
store_completion (struct eg_dispatcher *self, struct eg_call *call)
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
  store_answer (self, call, &answer);
  eg_buffer_finish (&json);
}

static void
finish_completion (struct eg_dispatcher *self, struct eg_call *call)
{
  if (is_repeatable (call))
    store_completion (self, call);
  end_call (self, call, eg_reply_new (EG_REPLY_DONE), EG_REFUSAL_NONE);
}

/* Lifecycle actions. */

static void
apply_start (struct eg_dispatcher *self,
             struct eg_call *call,
             const struct eg_action *action)
{
  const struct eg_attempt_failure not_sent = {.cause = EG_ATTEMPT_NOT_SENT};
  int64_t now_us = eg_clock_now_us ();
  struct eg_backend_command *command =
      eg_command_start (&self->command_context, call, action, now_us);

  if (eg_backend_worker_push (self->deps.backend, command))
    return;
  eg_backend_command_free (command);
  eg_lifecycle_attempt_failed (self->lifecycle, call->id, action->attempt,
                               &not_sent, now_us);
}

static void
apply_cancel (struct eg_dispatcher *self, const struct eg_action *action)
{
  struct eg_backend_command *command =
      eg_command_cancel (&self->command_context, action);

  /* If the ring is full the cancellation is lost: the attempt runs on, unless
     the request's next attempt replaces it, and its events are ignored. */
  if (!eg_backend_worker_push (self->deps.backend, command))
    eg_backend_command_free (command);
}

static void
apply_refuse (struct eg_dispatcher *self,
              struct eg_call *call,
              const struct eg_action *action)
{
  int64_t now_us = eg_clock_now_us ();

  if (*call->key)
    {
      eg_keyed_requests_refused (self->keyed_requests, call->id,
                                 action->refusal, now_us);
      return;
    }
  if (*call->ticket)
    eg_ticket_requests_complete (self->ticket_requests, call, NULL, now_us);
  refuse_call (self, call, action->refusal, action->ran,
               action->retry_after_us);
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
      if (call)
        apply_refuse (self, call, action);
      return;
    case EG_ACTION_QUARANTINE:
      eg_log (EG_LOG_WARNING, "lifecycle",
              "event=quarantine fingerprint=%016" PRIx64, action->fingerprint);
      if (self->deps.on_quarantine)
        self->deps.on_quarantine (self->deps.context, action->fingerprint,
                                  action->until_us);
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
request_fingerprint (const struct eg_call *call)
{
  struct eg_str path = call->kind == EG_CALL_SERVICE
                           ? eg_buffer_view (&call->path)
                           : EG_STR ("/v1/completions");

  return eg_quarantine_fingerprint (eg_str_from (call->organisation), path,
                                    eg_buffer_view (&call->body));
}

static uint64_t
prompt_prefix_hash (const struct eg_call *call)
{
  struct eg_str prefix = {call->prompt.data, PREFIX_BYTES};

  if (call->kind != EG_CALL_COMPLETION || call->prompt.len < PREFIX_BYTES)
    return 0;
  return eg_hash_str (prefix) ^ eg_hash_str (eg_str_from (call->target));
}

static void
submit_to_lifecycle (struct eg_dispatcher *self,
                     struct eg_call *call,
                     int64_t send_by_us)
{
  const struct eg_lifecycle_request request = {
      .id = call->id,
      .organisation = eg_str_from (call->organisation),
      .class_index = call->class_index,
      .plain = call->kind == EG_CALL_SERVICE,
      .target = eg_str_from (call->target),
      .fingerprint = request_fingerprint (call),
      .prefix_hash = prompt_prefix_hash (call),
      .tokens_max = call->kind == EG_CALL_COMPLETION ? call->max_tokens : 0,
      .cost = (uint64_t) call->max_tokens
              + call->prompt.len / COST_BYTES_PER_TOKEN + 1,
      .outcome = &call->outcome,
      .arrived_us = call->arrived_us,
      .deadline_us = call->arrived_us + call->budget_us,
      .send_by_us = send_by_us,
  };

  call->send_by_us = send_by_us;
  eg_lifecycle_submit (self->lifecycle, &request, eg_clock_now_us ());
}

static void
on_keyed_dispatch (void *context, struct eg_call *call, int64_t send_by_us)
{
  submit_to_lifecycle (context, call, send_by_us);
}

static void
on_stored_answer (void *context,
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

static void
on_ticket_forward (void *context, struct eg_call *call, const char *address)
{
  struct eg_dispatcher *self = context;
  struct eg_backend_command *command =
      eg_command_forward (call, address, eg_clock_now_us ());

  call->forwarded = true;
  if (eg_backend_worker_push (self->deps.backend, command))
    return;
  eg_backend_command_free (command);
  refuse_call (self, call, EG_REFUSAL_NO_CAPACITY,
               eg_outcome_ran (&call->outcome), EG_US_PER_S);
}

static void
on_ticket_run (void *context, struct eg_call *call)
{
  submit_to_lifecycle (context, call, INT64_MAX);
}

static void
on_ticket_refuse (void *context,
                  struct eg_call *call,
                  enum eg_refusal refusal,
                  enum eg_ran ran,
                  int64_t retry_after_us)
{
  refuse_call (context, call, refusal, ran, retry_after_us);
}

static void
submit_unkeyed (struct eg_dispatcher *self, struct eg_call *call)
{
  eg_outcome_init (&call->outcome, call->idempotent
                                       ? EG_OUTCOME_IDEMPOTENT
                                       : EG_OUTCOME_NON_IDEMPOTENT);
  submit_to_lifecycle (self, call, INT64_MAX);
}

/* Resolves class, deadline and idempotence from the rules; false if the class
   does not exist. */
static bool
classify (struct eg_dispatcher *self, struct eg_call *call)
{
  const struct eg_policy *policy = &self->policy;
  int index = eg_policy_class (policy, eg_str_from (call->class_name));
  const struct eg_admission_class *class;

  if (index < 0)
    return false;
  class = &policy->config.admission.classes[index];
  call->class_index = (unsigned) index;
  memcpy (call->class_name, class->name, sizeof call->class_name);
  call->priority = ENGINE_PRIORITY_MAX - class->priority;
  if (call->budget_us == 0)
    call->budget_us = policy->class_deadline_us[index];
  call->idempotent =
      !is_repeatable (call)
      && (call->kind != EG_CALL_SERVICE
          || eg_policy_is_idempotent (policy, eg_str_from (call->target),
                                      eg_str_from (call->method),
                                      eg_buffer_view (&call->path)));
  return true;
}

static void
refuse_unknown_class (struct eg_dispatcher *self, struct eg_call *call)
{
  struct eg_reply *reply = eg_reply_new (EG_REPLY_REFUSAL);

  reply->refusal = EG_REFUSAL_MALFORMED;
  reply->ran = EG_RAN_NO;
  snprintf (reply->detail, sizeof reply->detail,
            "header X-Class: no class '%s' in the rules", call->class_name);
  /* Arbitrary text from clients must not become a metric label. */
  call->class_name[0] = '\0';
  call->series = find_series (self, call);
  end_call (self, call, reply, EG_REFUSAL_MALFORMED);
}

void
eg_dispatcher_submit (struct eg_dispatcher *self, struct eg_call *call)
{
  eg_map_put (&self->calls, call->id, call);
  if (!classify (self, call))
    {
      refuse_unknown_class (self, call);
      return;
    }
  call->series = find_series (self, call);
  call->series->requests++;
  if (call->kind == EG_CALL_TICKET)
    eg_ticket_requests_issue (self->ticket_requests, call, eg_clock_now_us ());
  else if (*call->ticket)
    eg_ticket_requests_redeem (self->ticket_requests, call, eg_clock_now_us ());
  else if (*call->key)
    eg_keyed_requests_submit (self->keyed_requests, call, eg_clock_now_us ());
  else
    submit_unkeyed (self, call);
  apply_actions (self);
}

void
eg_dispatcher_abandon (struct eg_dispatcher *self, struct eg_call *call)
{
  /* Requests that may be repeated keep running, so that a repeat finds the
     answer. */
  if (is_repeatable (call) || !eg_map_remove (&self->calls, call->id))
    return;
  call->series->abandoned++;
  eg_lifecycle_cancel (self->lifecycle, call->id, eg_clock_now_us ());
  eg_call_unref (call);
  apply_actions (self);
}

/* Attempt events. */

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
      count_token (call, now_us);
    }
  if (call)
    eg_call_flush_tokens (call);
}

static void
handle_done (struct eg_dispatcher *self, struct eg_backend_event *event)
{
  struct eg_call *call = eg_map_get (&self->calls, event->request);
  const struct eg_claim_answer answer = {
      .kept = true,
      .status = event->http_status,
      .content_type = eg_str_from (event->content_type),
      .body = eg_buffer_view (&event->text),
  };

  if (call && call->forwarded)
    {
      answer_call (self, call, answer.status, answer.content_type, answer.body);
      return;
    }
  if (!eg_lifecycle_attempt_done (self->lifecycle, event->request,
                                  event->attempt, eg_clock_now_us ())
      || !call || call->kind != EG_CALL_SERVICE)
    return;
  if (is_repeatable (call))
    store_answer (self, call, &answer);
  answer_call (self, call, answer.status, answer.content_type, answer.body);
}

static void
handle_failed (struct eg_dispatcher *self, struct eg_backend_event *event)
{
  struct eg_call *call = eg_map_get (&self->calls, event->request);
  const struct eg_attempt_failure failure = {
      .cause = event->cause, .server = eg_str_from (event->server)};

  eg_log (EG_LOG_INFO, "backend",
          "event=attempt-failed request=%" PRIu64 " attempt=%u server=%s "
          "stage=%s cause=%d",
          event->request, event->attempt, event->address, event->server,
          (int) event->cause);
  if (call && call->forwarded)
    {
      refuse_call (self, call, EG_REFUSAL_BACKEND_FAILED,
                   eg_outcome_ran (&call->outcome), EG_US_PER_S);
      return;
    }
  if (event->cause == EG_ATTEMPT_REFUSED)
    eg_fleet_server_refused (self->deps.fleet, eg_str_from (event->address));
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
  eg_keyed_requests_store_reply (self->keyed_requests, reply,
                                 eg_clock_now_us ());
  apply_actions (self);
}

void
eg_dispatcher_servers_changed (struct eg_dispatcher *self,
                               uint32_t unresponsive)
{
  int64_t now_us = eg_clock_now_us ();

  if (unresponsive != EG_SERVER_NONE)
    eg_lifecycle_server_unresponsive (self->lifecycle, unresponsive, now_us);
  else
    eg_lifecycle_servers_changed (self->lifecycle, now_us);
  apply_actions (self);
}

void
eg_dispatcher_apply_rules (struct eg_dispatcher *self,
                           const struct eg_rules *rules)
{
  struct eg_policy policy;
  int64_t now_us = eg_clock_now_us ();

  eg_policy_init (&policy, self->deps.settings, rules);
  eg_policy_apply (&policy, self->rules, rules, self->lifecycle,
                   self->deps.fleet->servers, now_us);
  /* The lifecycle no longer refers to the old links and accelerators. */
  eg_policy_finish (&self->policy);
  self->policy = policy;
  self->rules = rules;
  eg_lifecycle_servers_changed (self->lifecycle, now_us);
  apply_actions (self);
}

void
eg_dispatcher_vm_list_changed (struct eg_dispatcher *self)
{
  eg_policy_apply_drains (self->rules, self->deps.fleet->servers);
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
  eg_keyed_requests_tick (self->keyed_requests, now_us);
  if (now_us >= self->next_sweep_us)
    {
      self->next_sweep_us = now_us + SWEEP_INTERVAL_US;
      eg_ticket_requests_sweep (self->ticket_requests, now_us);
      eg_lifecycle_sweep (self->lifecycle, now_us);
    }
  apply_actions (self);
}

bool
eg_dispatcher_is_busy (const struct eg_dispatcher *self)
{
  return self->calls.count > 0
         || eg_keyed_requests_count (self->keyed_requests) > 0;
}

const struct eg_lifecycle *
eg_dispatcher_lifecycle (const struct eg_dispatcher *self)
{
  return self->lifecycle;
}

struct eg_lifecycle *
eg_dispatcher_mutable_lifecycle (struct eg_dispatcher *self)
{
  return self->lifecycle;
}

const struct eg_metrics *
eg_dispatcher_metrics (const struct eg_dispatcher *self)
{
  return &self->metrics;
}

struct eg_dispatcher *
eg_dispatcher_new (const struct eg_dispatcher_deps *deps)
{
  struct eg_dispatcher *self = calloc (1, sizeof *self);
  const struct eg_keyed_requests_callbacks keyed_callbacks = {
      .dispatch = on_keyed_dispatch,
      .answer = on_stored_answer,
      .refuse = on_keyed_refuse,
      .context = self,
  };

  const struct eg_ticket_requests_callbacks ticket_callbacks = {
      .run = on_ticket_run,
      .forward = on_ticket_forward,
      .answer = on_stored_answer,
      .refuse = on_ticket_refuse,
      .context = self,
  };

  if (!self)
    return NULL;
  self->deps = *deps;
  eg_policy_init (&self->policy, deps->settings, NULL);
  self->command_context.servers = deps->fleet->servers;
  snprintf (self->command_context.incarnation,
            sizeof self->command_context.incarnation, "%016" PRIx64,
            deps->incarnation);
  self->lifecycle =
      eg_lifecycle_new (&self->policy.config, deps->fleet->servers,
                        eg_hash_mix (deps->incarnation));
  if (self->lifecycle)
    self->keyed_requests =
        eg_keyed_requests_new (deps->platform, deps->incarnation,
                               ~deps->incarnation, &keyed_callbacks);
  self->ticket_requests =
      eg_ticket_requests_new (deps->settings->listen_callers, deps->incarnation,
                              deps->fleet, &ticket_callbacks);
  if (self->keyed_requests && self->ticket_requests)
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
  eg_keyed_requests_free (self->keyed_requests);
  eg_ticket_requests_free (self->ticket_requests);
  eg_lifecycle_free (self->lifecycle);
  eg_metrics_finish (&self->metrics);
  eg_policy_finish (&self->policy);
  free (self);
}
