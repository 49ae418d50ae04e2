#include "router/decision.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "backend/engine.h"
#include "backend/worker.h"
#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/map.h"
#include "http/json.h"
#include "platform/worker.h"
#include "router/defaults.h"
#include "router/keyed.h"
#include "router/message.h"
#include "router/poller.h"

#define RING_SLOTS 32768
#define TICK_US (10 * EG_US_PER_MS)
#define IDLE_TICK_US (50 * EG_US_PER_MS)
#define MESSAGES_AT_ONCE 512
#define FULL_RING_WAIT_NS 200000
#define VMS_TIMEOUT_US (2 * EG_US_PER_S)
#define READY_AFTER_US (5 * EG_US_PER_S)
#define PRIORITY_TOP 100
#define COST_BYTES_PER_TOKEN 4
/* Prompts that share this much of their start share cached keys and values. */
#define PREFIX_BYTES 256

struct eg_decision
{
  const struct eg_router_settings *settings;
  struct eg_ring ring;
  pthread_t thread;
  bool started;
  unsigned stopping; /* The thread itself is to end. */
  unsigned busy;
  unsigned ready;
  int64_t started_us;

  /* The decision thread's own from here on. */
  struct eg_lifecycle_config config;
  struct eg_lifecycle *lifecycle;
  struct eg_servers *servers;
  struct eg_metrics metrics;
  struct eg_map calls;
  struct eg_poller poller;
  struct eg_backend_worker *backend;
  struct eg_platform_worker *platform;
  struct eg_keyed *keyed;
  uint64_t seed; /* Random, drawn at the start: names this incarnation. */
  char incarnation[24];
  int64_t next_tick_us;
  int64_t next_vms_us;
  bool vms_under_way;
  bool draining;
};

/* Sending to this thread. */

static bool
push_message (struct eg_decision *self, const struct eg_message *message)
{
  struct eg_message *copy = malloc (sizeof *copy);

  EG_INVARIANT (copy != NULL);
  *copy = *message;
  if (eg_ring_push (&self->ring, copy))
    return true;
  free (copy);
  return false;
}

/* Gives up what an unhandled message owns. */
static void
release_message (const struct eg_message *message)
{
  switch (message->kind)
    {
    case EG_MESSAGE_CALL:
    case EG_MESSAGE_ABANDON:
      eg_call_unref (message->call);
      break;
    case EG_MESSAGE_BACKEND:
      eg_backend_event_free (message->backend);
      break;
    case EG_MESSAGE_PLATFORM:
      eg_platform_reply_free (message->platform);
      break;
    case EG_MESSAGE_INQUIRY:
      sem_post (&message->inquiry->answered);
      break;
    case EG_MESSAGE_STOP:
    case EG_MESSAGE_COUNT:
      break;
    }
}

/* Reports must not get lost, so the thread that reads from sockets waits: that
   slows the senders down instead. */
static void
push_message_waiting (struct eg_decision *self,
                      const struct eg_message *message)
{
  const struct timespec pause = {.tv_nsec = FULL_RING_WAIT_NS};

  while (!push_message (self, message))
    {
      if (ck_pr_load_uint (&self->stopping))
        {
          release_message (message);
          return;
        }
      nanosleep (&pause, NULL);
    }
}

static void
on_backend_event (void *context, struct eg_backend_event *event)
{
  const struct eg_message message = {.kind = EG_MESSAGE_BACKEND,
                                     .backend = event};

  push_message_waiting (context, &message);
}

static void
on_platform_reply (void *context, struct eg_platform_reply *reply)
{
  const struct eg_message message = {.kind = EG_MESSAGE_PLATFORM,
                                     .platform = reply};

  push_message_waiting (context, &message);
}

bool
eg_decision_submit (struct eg_decision *self, struct eg_call *call)
{
  const struct eg_message message = {.kind = EG_MESSAGE_CALL,
                                     .call = eg_call_ref (call)};

  if (push_message (self, &message))
    return true;
  eg_call_unref (call);
  return false;
}

void
eg_decision_abandon (struct eg_decision *self, struct eg_call *call)
{
  const struct eg_message message = {.kind = EG_MESSAGE_ABANDON,
                                     .call = eg_call_ref (call)};

  push_message_waiting (self, &message);
}

void
eg_decision_stop (struct eg_decision *self)
{
  const struct eg_message message = {.kind = EG_MESSAGE_STOP};

  ck_pr_store_uint (&self->ready, 0);
  push_message_waiting (self, &message);
}

bool
eg_decision_inquire (struct eg_decision *self,
                     void (*inquire) (void *context,
                                      const struct eg_decision_view *view),
                     void *context)
{
  struct eg_inquiry inquiry = {.inquire = inquire, .context = context};
  const struct eg_message message = {.kind = EG_MESSAGE_INQUIRY,
                                     .inquiry = &inquiry};
  bool taken;

  sem_init (&inquiry.answered, 0, 0);
  taken = push_message (self, &message);
  while (taken && sem_wait (&inquiry.answered) != 0)
    ;
  sem_destroy (&inquiry.answered);
  return taken;
}

bool
eg_decision_is_busy (struct eg_decision *self)
{
  return ck_pr_load_uint (&self->busy) != 0 || eg_ring_count (&self->ring) != 0;
}

bool
eg_decision_is_ready (struct eg_decision *self)
{
  return ck_pr_load_uint (&self->ready) != 0;
}

int
eg_decision_class_index (struct eg_decision *self, struct eg_str name)
{
  const struct eg_admission_config *admission = &self->config.admission;

  if (name.len == 0)
    return EG_DEFAULT_CLASS;
  for (size_t i = 0; i < admission->class_count; i++)
    if (eg_str_equal (eg_str_from (admission->classes[i].name), name))
      return (int) i;
  return -1;
}

/* Replies to callers. */

static struct eg_metrics_series *
series_of (struct eg_decision *self, const struct eg_call *call)
{
  const char *class_name =
      self->config.admission.classes[call->class_index].name;

  return eg_metrics_series (&self->metrics, eg_str_from (call->organisation),
                            eg_str_from (class_name));
}

static void
end_call (struct eg_decision *self,
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
count_token (struct eg_decision *self, struct eg_call *call, int64_t now_us)
{
  struct eg_metrics_series *series = series_of (self, call);

  series->tokens++;
  if (call->token_count++ == 0)
    eg_histogram_add (&series->first_token_us, now_us - call->arrived_us);
  else
    eg_histogram_add (&series->between_tokens_us, now_us - call->last_token_us);
  call->last_token_us = now_us;
}

/* Actions of the lifecycle. */

static void
write_engine_request (const struct eg_decision *self,
                      uint64_t id,
                      char *text,
                      size_t capacity)
{
  snprintf (text, capacity, "%s-%" PRIx64, self->incarnation, id);
}

static void
fill_generate (struct eg_decision *self,
               const struct eg_call *call,
               const struct eg_action *action,
               struct eg_backend_command *command)
{
  char request[EG_ENGINE_REQUEST_BYTES];
  const struct eg_engine_generate generate = {
      .request = request,
      .attempt = action->attempt,
      .priority = PRIORITY_TOP
                  - self->config.admission.classes[call->class_index].priority,
      .prompt = eg_buffer_view (&call->prompt),
      .tokens = eg_buffer_view (&call->tokens),
      .max_tokens = call->max_tokens,
      .chain = &action->chain,
      .servers = self->servers,
  };

  write_engine_request (self, call->id, request, sizeof request);
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

static void
apply_start (struct eg_decision *self,
             struct eg_call *call,
             const struct eg_action *action)
{
  bool plain = call->kind == EG_CALL_SERVICE;
  struct eg_backend_command *command =
      eg_backend_command_new (plain ? EG_BACKEND_CALL : EG_BACKEND_GENERATE);
  const struct eg_attempt_failure not_sent = {.cause = EG_ATTEMPT_NOT_SENT};
  int64_t now_us = eg_clock_now_us ();

  command->request = call->id;
  command->attempt = action->attempt;
  command->at_most_once = !call->idempotent;
  command->send_by_us = call->send_by_us == INT64_MAX ? 0 : call->send_by_us;
  memcpy (
      command->address,
      eg_servers_get (self->servers, action->chain.stages[0].server)->address,
      sizeof command->address);
  memcpy (command->request_id, call->request_id, sizeof command->request_id);
  if (plain)
    fill_service_call (call, command, now_us);
  else
    fill_generate (self, call, action, command);
  if (eg_backend_worker_push (self->backend, command))
    return;
  eg_backend_command_free (command);
  eg_lifecycle_attempt_failed (self->lifecycle, call->id, action->attempt,
                               &not_sent, now_us);
}

static void
apply_cancel (struct eg_decision *self, const struct eg_action *action)
{
  struct eg_backend_command *command =
      eg_backend_command_new (EG_BACKEND_CANCEL);
  char request[EG_ENGINE_REQUEST_BYTES];
  const struct eg_chain_stage *head = &action->chain.stages[0];

  command->request = action->request;
  command->attempt = action->attempt;
  /* A plain service knows no cancellation; its connection is closed. */
  if (head->first_layer > 0)
    {
      memcpy (command->address,
              eg_servers_get (self->servers, head->server)->address,
              sizeof command->address);
      write_engine_request (self, action->request, request, sizeof request);
      eg_engine_write_cancel (&command->body, request, action->attempt);
      command->has_body = true;
      command->timeout_us = EG_US_PER_S;
    }
  /* A full ring loses the cancellation; the engine finds the closed stream. */
  if (!eg_backend_worker_push (self->backend, command))
    eg_backend_command_free (command);
}

static void
refuse_call (struct eg_decision *self,
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
answer_call (struct eg_decision *self,
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
keep_completion (struct eg_decision *self, struct eg_call *call)
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
finish_completion (struct eg_decision *self, struct eg_call *call)
{
  if (*call->key)
    keep_completion (self, call);
  end_call (self, call, eg_reply_new (EG_REPLY_DONE), EG_REFUSAL_NONE);
}

static void
apply_action (struct eg_decision *self, const struct eg_action *action)
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
apply_actions (struct eg_decision *self)
{
  struct eg_action action;

  while (eg_lifecycle_next_action (self->lifecycle, &action))
    apply_action (self, &action);
}

/* Messages. */

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
place_call (struct eg_decision *self, struct eg_call *call, int64_t send_by_us)
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

static void
handle_call (struct eg_decision *self, struct eg_message *message)
{
  struct eg_call *call = message->call;

  eg_map_put (&self->calls, call->id, call);
  series_of (self, call)->requests++;
  if (*call->key)
    {
      eg_keyed_arrive (self->keyed, call, eg_clock_now_us ());
      return;
    }
  eg_outcome_init (&call->outcome, call->idempotent
                                       ? EG_OUTCOME_IDEMPOTENT
                                       : EG_OUTCOME_NON_IDEMPOTENT);
  place_call (self, call, INT64_MAX);
}

static void
handle_abandon (struct eg_decision *self, struct eg_message *message)
{
  struct eg_call *call = message->call;

  /* A request with a key goes on, so that a repeat finds its answer. */
  if (!*call->key && eg_map_remove (&self->calls, call->id))
    {
      series_of (self, call)->abandoned++;
      eg_lifecycle_abandon (self->lifecycle, call->id, eg_clock_now_us ());
      eg_call_unref (call);
    }
  eg_call_unref (call);
}

static void
handle_tokens (struct eg_decision *self, struct eg_backend_event *event)
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
handle_done (struct eg_decision *self, struct eg_backend_event *event)
{
  struct eg_call *call = eg_map_get (&self->calls, event->request);

  eg_lifecycle_attempt_done (self->lifecycle, event->request, event->attempt,
                             eg_clock_now_us ());
  if (!call || call->kind != EG_CALL_SERVICE)
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
handle_failed (struct eg_decision *self, struct eg_backend_event *event)
{
  const struct eg_attempt_failure failure = {
      .cause = event->cause, .server = eg_str_from (event->server)};

  eg_log (EG_LOG_INFO, "backend",
          "event=attempt-failed request=%" PRIu64 " attempt=%u server=%s "
          "stage=%s cause=%d",
          event->request, event->attempt, event->address, event->server,
          (int) event->cause);
  eg_lifecycle_attempt_failed (self->lifecycle, event->request, event->attempt,
                               &failure, eg_clock_now_us ());
}

static void
handle_load (struct eg_decision *self, struct eg_backend_event *event)
{
  int64_t now_us = eg_clock_now_us ();
  uint32_t server =
      eg_servers_find (self->servers, eg_str_from (event->address));

  if (server == EG_SERVER_NONE)
    return;
  eg_poller_ended (&self->poller, server, event);
  eg_servers_report (self->servers, server, &event->report, now_us);
  eg_servers_stop (self->servers, server, EG_SERVER_LEAVING_REPORT,
                   event->report.draining);
  eg_lifecycle_servers_changed (self->lifecycle, now_us);
  if (!self->draining)
    ck_pr_store_uint (&self->ready, 1);
}

static void
handle_poll_failed (struct eg_decision *self, struct eg_backend_event *event)
{
  int64_t now_us = eg_clock_now_us ();
  uint32_t server =
      eg_servers_find (self->servers, eg_str_from (event->address));

  if (server == EG_SERVER_NONE)
    return;
  if (!event->not_found)
    eg_servers_failed (self->servers, server, now_us);
  if (!eg_poller_ended (&self->poller, server, event))
    return;
  eg_log (EG_LOG_WARNING, "poller", "event=server-silent server=%s",
          event->address);
  eg_lifecycle_server_silent (self->lifecycle, server, now_us);
}

static void (*const backend_handlers[]) (struct eg_decision *self,
                                         struct eg_backend_event *event) = {
    [EG_BACKEND_TOKENS] = handle_tokens,
    [EG_BACKEND_DONE] = handle_done,
    [EG_BACKEND_FAILED] = handle_failed,
    [EG_BACKEND_LOAD] = handle_load,
    [EG_BACKEND_POLL_FAILED] = handle_poll_failed,
};

static void
handle_backend (struct eg_decision *self, struct eg_message *message)
{
  backend_handlers[message->backend->kind](self, message->backend);
  eg_backend_event_free (message->backend);
}

static bool
list_has (const struct eg_vm_list *list, const char *address)
{
  for (size_t i = 0; i < list->count; i++)
    if (!list->vms[i].entry && strcmp (list->vms[i].address, address) == 0)
      return true;
  return false;
}

static void
take_vm_list (struct eg_decision *self, const struct eg_vm_list *list)
{
  for (size_t i = 0; i < list->count; i++)
    {
      const struct eg_vm *vm = &list->vms[i];
      uint32_t server;

      if (vm->entry)
        continue;
      server = eg_servers_add (self->servers, eg_str_from (vm->address),
                               eg_str_from (vm->failure_domain));
      eg_servers_stop (self->servers, server, EG_SERVER_LEAVING_LIST,
                       vm->leaving);
      eg_servers_stop (self->servers, server, EG_SERVER_GONE, false);
    }
  for (uint32_t i = 0; i < eg_servers_count (self->servers); i++)
    {
      const struct eg_server *server = eg_servers_get (self->servers, i);

      if (server && *server->address && !list_has (list, server->address))
        eg_servers_stop (self->servers, i, EG_SERVER_GONE, true);
    }
}

static void
handle_platform (struct eg_decision *self, struct eg_message *message)
{
  struct eg_platform_reply *reply = message->platform;

  if (reply->call != EG_PLATFORM_VMS)
    eg_keyed_reply (self->keyed, reply, eg_clock_now_us ());
  else
    {
      self->vms_under_way = false;
      if (reply->status == EG_OK)
        take_vm_list (self, &reply->vms);
      else
        eg_log (EG_LOG_WARNING, "platform", "event=vm-list-failed status=%s",
                eg_status_name (reply->status));
    }
  eg_platform_reply_free (reply);
}

static void
handle_inquiry (struct eg_decision *self, struct eg_message *message)
{
  const struct eg_decision_view view = {
      .lifecycle = self->lifecycle,
      .servers = self->servers,
      .metrics = &self->metrics,
      .now_us = eg_clock_now_us (),
  };

  message->inquiry->inquire (message->inquiry->context, &view);
  sem_post (&message->inquiry->answered);
}

static void
handle_stop (struct eg_decision *self, struct eg_message *message)
{
  (void) message;
  self->draining = true;
  eg_lifecycle_stop (self->lifecycle);
}

static void (*const message_handlers[EG_MESSAGE_COUNT]) (
    struct eg_decision *self,
    struct eg_message *message) = {
    [EG_MESSAGE_CALL] = handle_call,
    [EG_MESSAGE_ABANDON] = handle_abandon,
    [EG_MESSAGE_BACKEND] = handle_backend,
    [EG_MESSAGE_PLATFORM] = handle_platform,
    [EG_MESSAGE_INQUIRY] = handle_inquiry,
    [EG_MESSAGE_STOP] = handle_stop,
};

/* Time. */

static void
poll_servers (struct eg_decision *self, int64_t now_us)
{
  struct eg_backend_command *command;

  while ((command = eg_poller_next (&self->poller, self->servers, now_us)))
    if (!eg_backend_worker_push (self->backend, command))
      {
        eg_backend_command_free (command);
        return;
      }
}

static void
read_vm_list (struct eg_decision *self, int64_t now_us)
{
  struct eg_platform_command *command;

  if (self->vms_under_way || now_us < self->next_vms_us)
    return;
  self->next_vms_us = now_us + self->settings->vms_interval_ms * EG_US_PER_MS;
  command = eg_platform_command_new (EG_PLATFORM_VMS, 0);
  command->timeout_us = VMS_TIMEOUT_US;
  self->vms_under_way = eg_platform_worker_push (self->platform, command);
  if (!self->vms_under_way)
    eg_platform_command_free (command);
}

static void
tick (struct eg_decision *self, int64_t now_us)
{
  struct eg_lifecycle_counts counts;

  eg_lifecycle_tick (self->lifecycle, now_us);
  eg_keyed_tick (self->keyed, now_us);
  poll_servers (self, now_us);
  read_vm_list (self, now_us);
  /* Without a list a node still answers, with honest refusals. */
  if (!self->draining && now_us - self->started_us > READY_AFTER_US)
    ck_pr_store_uint (&self->ready, 1);
  counts = eg_lifecycle_counts (self->lifecycle);
  ck_pr_store_uint (&self->busy, counts.queued + counts.running > 0
                                     || eg_keyed_count (self->keyed) > 0);
  self->next_tick_us =
      now_us + (counts.queued + counts.running > 0 ? TICK_US : IDLE_TICK_US);
}

static void *
run (void *context)
{
  struct eg_decision *self = context;

  while (!ck_pr_load_uint (&self->stopping))
    {
      struct eg_message *message;
      int64_t now_us;

      for (int i = 0;
           i < MESSAGES_AT_ONCE && (message = eg_ring_pop (&self->ring)); i++)
        {
          message_handlers[message->kind](self, message);
          free (message);
          apply_actions (self);
        }
      now_us = eg_clock_now_us ();
      if (now_us >= self->next_tick_us)
        {
          tick (self, now_us);
          apply_actions (self);
        }
      eg_ring_wait (&self->ring, self->next_tick_us - eg_clock_now_us ());
    }
  return NULL;
}

/* Construction. */

static bool
start_workers (struct eg_decision *self)
{
  const struct eg_router_settings *settings = self->settings;
  const struct eg_backend_config backend = {
      .connect_timeout_us = settings->connect_timeout_ms * EG_US_PER_MS,
      .poll_timeout_us = settings->poll_timeout_ms * EG_US_PER_MS,
      .answer_max = (size_t) settings->body_max,
  };
  const struct eg_backend_sink backend_sink = {on_backend_event, self};
  const struct eg_keyed_callbacks keyed_callbacks = {
      .dispatch = on_keyed_dispatch,
      .answer = on_keyed_answer,
      .refuse = on_keyed_refuse,
      .context = self,
  };
  const struct eg_platform_sink platform_sink = {on_platform_reply, self};

  self->backend = eg_backend_worker_new (&backend, &backend_sink);
  self->platform =
      eg_platform_worker_new (settings->platform_address, &platform_sink);
  if (!self->backend || !self->platform)
    return false;
  self->keyed =
      eg_keyed_new (self->platform, self->seed, ~self->seed, &keyed_callbacks);
  return pthread_create (&self->thread, NULL, run, self) == 0;
}

struct eg_decision *
eg_decision_new (const struct eg_router_settings *settings,
                 struct eg_error *error)
{
  struct eg_decision *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->settings = settings;
  self->seed = eg_random_system_seed ();
  self->ring.event_fd = -1;
  self->started_us = eg_clock_now_us ();
  self->poller.interval_us = settings->poll_interval_ms * EG_US_PER_MS;
  snprintf (self->incarnation, sizeof self->incarnation, "%016" PRIx64,
            self->seed);
  eg_defaults_lifecycle (settings, &self->config);
  self->servers = eg_servers_new ();
  if (self->servers)
    self->lifecycle = eg_lifecycle_new (&self->config, self->servers,
                                        eg_hash_mix (self->seed));
  if (self->lifecycle && eg_ring_init (&self->ring, RING_SLOTS))
    self->started = start_workers (self);
  if (self->started)
    return self;
  eg_error_set (error, EG_SYSTEM, "threads could not be started");
  eg_decision_free (self);
  return NULL;
}

void
eg_decision_free (struct eg_decision *self)
{
  struct eg_message *message;
  struct eg_call *call;
  size_t cursor = 0;

  if (!self)
    return;
  ck_pr_store_uint (&self->stopping, 1);
  if (self->started)
    {
      eg_ring_wake (&self->ring);
      pthread_join (self->thread, NULL);
    }
  eg_backend_worker_free (self->backend);
  eg_platform_worker_free (self->platform);
  while (self->ring.slots && (message = eg_ring_pop (&self->ring)))
    {
      release_message (message);
      free (message);
    }
  while ((call = eg_map_next (&self->calls, &cursor)))
    eg_call_unref (call);
  eg_map_finish (&self->calls);
  eg_keyed_free (self->keyed);
  eg_lifecycle_free (self->lifecycle);
  eg_servers_free (self->servers);
  eg_metrics_finish (&self->metrics);
  eg_poller_finish (&self->poller);
  eg_ring_finish (&self->ring);
  free (self);
}
