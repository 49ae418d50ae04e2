#include "entry/call_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

/* A stream that has lost its server waits this long for another path; its
 * caller leaves after a gap of 2 s. */
#define RESUME_WAIT_US (1700 * EG_US_PER_MS)
/* A connection within a region stands after a millisecond; one lost packet is
 * sent again after a second, so a second connection is the quicker way. */
#define CONNECT_TIMEOUT_US (250 * EG_US_PER_MS)
/* An answer up to this long is kept until it is whole, so that a broken one can
 * be replaced. */
#define GATHER_BYTES_MAX (256U << 10)
/* Tokens of an answer that says nothing of its length. */
#define ANSWER_TOKENS_DEFAULT 150
/* A repeatable request waits for its first server for this many times its
 * latency goal before another is asked. */
#define PATIENCE_GOALS 4
/* Refused requests come back after this while a configuration is awaited. */
#define RETRY_AFTER_CONFIGURATION_MS 500
/* A refusal that took this share of the engines' stall comes from waiting for a
 * dead server; one for want of room comes at once. */
#define STALL_SIGN_SHARE 0.5
/* A process that starts again does not know what it has sent before: half of
 * the extra retries are left for that. */
#define RETRY_EXTRA_SHARE 0.5
/* Priority classes of engines go from 0 to this. */
#define PRIORITY_CLASS_MAX 9
/* Time kept back from what a server is told, for the way back. */
#define DEADLINE_MARGIN_MS 2

static void begin_send (struct eg_call *self, int64_t now_us);

void
eg_call_init (struct eg_call *self,
              struct eg_entry *entry,
              struct eg_connection *caller)
{
  memset (self, 0, sizeof *self);
  self->entry = entry;
  self->caller = caller;
  eg_buffer_init (&self->answer_head);
  eg_buffer_init (&self->answer_body);
  eg_buffer_init (&self->send.move_body);
  eg_event_relay_init (&self->relay, EG_STR (""));
}

void
eg_call_finish (struct eg_call *self)
{
  eg_buffer_finish (&self->answer_head);
  eg_buffer_finish (&self->answer_body);
  eg_buffer_finish (&self->send.move_body);
  eg_event_relay_finish (&self->relay);
}

void
eg_attempt_hold_placement (const struct eg_attempt *send,
                           const struct eg_placement *place)
{
  for (uint32_t i = 0; i < place->count; i++)
    {
      eg_backend_ref (place->stages[i]);
      place->stages[i]->running++;
      place->stages[i]->first_running += i == 0;
      place->stages[i]->kv_running +=
          send->kv_tokens * (place->layers[i].to - place->layers[i].from);
    }
}

void
eg_attempt_release_placement (const struct eg_attempt *send,
                              struct eg_placement *place)
{
  for (uint32_t i = 0; i < place->count; i++)
    {
      struct eg_backend *backend = place->stages[i];

      backend->running--;
      backend->first_running -= i == 0;
      backend->kv_running -=
          send->kv_tokens * (place->layers[i].to - place->layers[i].from);
      eg_backend_unref (backend);
    }
  place->count = 0;
}

/* Lets go of the servers of the present send. */
static void
end_send (struct eg_call *self)
{
  struct eg_attempt *send = &self->send;

  eg_attempt_cancel_move (send);
  eg_exchange_cancel (&send->exchange);
  if (!send->active)
    return;
  send->active = false;
  eg_attempt_release_placement (send, &send->place);
}

/* Ends the call; the answer, or its lack, is settled by the caller of this. */
void
eg_call_close (struct eg_call *self)
{
  end_send (self);
  for (size_t i = 0; i < self->head_count; i++)
    eg_backend_unref (self->heads[i]);
  self->head_count = 0;
  self->active = false;
  eg_buffer_clear (&self->answer_head);
  eg_buffer_clear (&self->answer_body);
}

void
eg_call_cancel (struct eg_call *self)
{
  eg_metrics_count (&self->entry->metrics, EG_COUNT_ABANDONED);
  eg_call_log_end (self, "caller-left", 0);
  eg_call_close (self);
}

static bool
is_engine (const struct eg_service_config *service)
{
  return service->has_engine && service->engine.layers > 0;
}

bool
eg_call_is_repeatable (const struct eg_call *self)
{
  return self->route.kind == EG_ROUTE_IDEMPOTENT
         || (self->route.kind == EG_ROUTE_STREAM && self->route.resumable);
}

static struct eg_resend_context
ask_resend (const struct eg_call *self, int64_t now_us)
{
  return (struct eg_resend_context){
      .repeatable = eg_call_is_repeatable (self),
      .may_have_run = self->may_have_run,
      .response_started = self->head_sent,
      .resumable = self->route.kind == EG_ROUTE_STREAM && self->route.resumable,
      .sends = self->sends,
      .tries = self->tries,
      .now_us = now_us,
      .deadline_us = self->deadline_us,
  };
}

static void
give_up (struct eg_call *self, const char *cause)
{
  struct eg_resend_context question = ask_resend (self, eg_clock_now_us ());

  eg_call_fail (self, eg_resend_give_up (&question), cause);
}

struct eg_backend *
eg_call_first_server (const struct eg_call *self)
{
  return self->send.place.stages[0];
}

static enum eg_exchange_verdict
on_head (void *context, const struct eg_http_head *head)
{
  struct eg_call *self = context;
  struct eg_attempt *send = &self->send;
  int64_t now_us = eg_clock_now_us ();

  eg_response_headers_decode (&send->facts, head, self->facts.id);
  if (send->facts.other_request)
    {
      eg_log (EG_LOG_WARNING, "call",
              "event=foreign-answer request=%.*s server=%s status=%u",
              EG_STR_ARGS (self->facts.id),
              eg_call_first_server (self)->entry.id, head->status);
      return EG_EXCHANGE_SKIP;
    }
  send->heard_us = now_us;
  send->status = head->status;
  if (send->facts.tells_load)
    eg_backend_update_load (eg_call_first_server (self),
                            send->facts.running + send->facts.waiting,
                            send->facts.slots, now_us);
  send->mode = EG_RESPONSE_BUFFERED;
  if (self->route.kind == EG_ROUTE_STREAM && head->status == 200
      && send->facts.sealed && send->facts.names_request)
    send->mode = EG_RESPONSE_EVENTS;
  if (!self->head_sent
      && (send->mode != EG_RESPONSE_EVENTS || self->relay.events == 0))
    {
      eg_buffer_clear (&self->answer_head);
      eg_buffer_clear (&self->answer_body);
      eg_response_write_forwarded (&self->answer_head, head);
      self->answer_status = head->status;
    }
  return EG_EXCHANGE_ACCEPT;
}

void
eg_call_resume_reading (struct eg_call *self)
{
  eg_exchange_set_paused (&self->send.exchange, false);
}

static void
take_events (struct eg_call *self, struct eg_str bytes)
{
  struct eg_buffer events = {0};
  enum eg_relay_result result =
      eg_event_relay_feed (&self->relay, bytes, &events);
  int64_t now_us = eg_clock_now_us ();

  if (events.len > 0)
    {
      if (self->first_event_us == 0)
        {
          self->first_event_us = now_us;
          eg_metrics_observe (&self->entry->metrics, EG_TIME_FIRST_EVENT,
                              now_us - self->arrived_us);
        }
      else
        {
          int64_t gap_us = now_us - self->last_event_us;

          eg_metrics_observe (&self->entry->metrics, EG_TIME_EVENT_GAP, gap_us);
          if (gap_us > self->longest_gap_us)
            self->longest_gap_us = gap_us;
        }
      self->send.heard_us = now_us;
      self->last_event_us = now_us;
      eg_call_forward_body (self, eg_buffer_view (&events));
    }
  eg_buffer_finish (&events);
  if (result == EG_RELAY_OK)
    return;
  eg_backend_record_fault (eg_call_first_server (self),
                           EG_SERVER_FAULT_BAD_RESPONSE, self->facts.id,
                           now_us);
  eg_call_attempt_failed (self, result == EG_RELAY_OUT_OF_ORDER
                                    ? "events-misplaced"
                                    : "event-too-long");
}

static bool
is_proper_success (const struct eg_call *self)
{
  return self->send.status < 300 && self->send.facts.sealed
         && self->send.facts.names_request;
}

static void
on_body (void *context, struct eg_str bytes)
{
  struct eg_call *self = context;

  if (self->send.mode == EG_RESPONSE_EVENTS)
    {
      take_events (self, bytes);
      return;
    }
  self->send.heard_us = eg_clock_now_us ();
  if (self->head_sent && self->send.mode == EG_RESPONSE_BUFFERED)
    return; /* A failure of a later run, whose text nobody reads. */
  if (self->send.mode == EG_RESPONSE_BUFFERED
      && self->answer_body.len + bytes.len > GATHER_BYTES_MAX
      && is_proper_success (self))
    {
      self->send.mode = EG_RESPONSE_FORWARDED;
      eg_call_forward_body (self, eg_buffer_view (&self->answer_body));
    }
  if (self->send.mode == EG_RESPONSE_FORWARDED)
    eg_call_forward_body (self, bytes);
  else if (self->answer_body.len + bytes.len <= GATHER_BYTES_MAX)
    eg_buffer_append (&self->answer_body, bytes);
}

/* The server says that it has not run the request. */
static void
take_not_run (struct eg_call *self)
{
  struct eg_attempt *send = &self->send;
  struct eg_backend *culprit = eg_call_first_server (self);
  bool misdirected = send->status == 421;
  enum eg_server_fault blame = EG_SERVER_FAULT_NO_CAPACITY;
  int64_t stall_sign_us = (int64_t) ((double) self->entry->settings->stall_ms
                                     * EG_US_PER_MS * STALL_SIGN_SHARE);
  int64_t now_us = eg_clock_now_us ();

  if (send->facts.names_culprit)
    {
      struct eg_backend *named =
          eg_fleet_find_by_endpoint (&self->entry->fleet, send->facts.culprit);

      if (named)
        culprit = named;
    }
  /* An engine waits for a dead server before it refuses, and refuses at once
   * where one has no room. */
  if (misdirected || now_us - send->begun_us >= stall_sign_us)
    blame = EG_SERVER_FAULT_REPORTED;
  eg_backend_record_fault (culprit, blame, self->facts.id, now_us);
  /* A server that another one could not use may be dead rather than full. */
  if (culprit != eg_call_first_server (self))
    eg_backend_probe (culprit, now_us);
  self->may_have_run = send->ran_before;
  eg_call_attempt_failed (self, misdirected ? "misdirected" : "server-refused");
}

static bool
is_promise (unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
on_done (void *context)
{
  struct eg_call *self = context;
  struct eg_attempt *send = &self->send;
  int64_t now_us = eg_clock_now_us ();

  if (send->mode == EG_RESPONSE_FORWARDED
      || (send->mode == EG_RESPONSE_EVENTS
          && !eg_event_relay_is_partial (&self->relay)))
    eg_call_end_response (self);
  else if (send->mode == EG_RESPONSE_EVENTS)
    {
      eg_backend_record_fault (eg_call_first_server (self),
                               EG_SERVER_FAULT_BAD_RESPONSE, self->facts.id,
                               now_us);
      eg_call_attempt_failed (self, "event-unfinished");
    }
  else if (send->facts.not_run)
    take_not_run (self);
  else if (is_proper_success (self) && !self->head_sent)
    eg_call_send_buffered_response (self);
  else if (send->status < 300 || self->head_sent)
    {
      eg_backend_record_fault (eg_call_first_server (self),
                               EG_SERVER_FAULT_BAD_RESPONSE, self->facts.id,
                               now_us);
      eg_call_attempt_failed (self, "answer-unsigned");
    }
  else
    {
      if (send->status >= 500)
        eg_backend_record_fault (eg_call_first_server (self),
                                 EG_SERVER_FAULT_ERROR_STATUS, self->facts.id,
                                 now_us);
      if (send->status >= 500 && eg_call_is_repeatable (self))
        eg_call_attempt_failed (self, "server-error");
      else if (is_promise (send->status) && !eg_call_is_repeatable (self))
        eg_call_reject (self, 502, "server-error");
      else
        eg_call_send_buffered_response (self);
    }
}

static void
on_failed (void *context, enum eg_exchange_fault fault)
{
  struct eg_call *self = context;
  struct eg_backend *head = eg_call_first_server (self);
  int64_t now_us = eg_clock_now_us ();

  if (fault == EG_EXCHANGE_UNREACHABLE)
    {
      self->sends--;
      self->may_have_run = self->send.ran_before;
    }
  if (fault != EG_EXCHANGE_STALE)
    eg_backend_record_fault (head,
                             fault == EG_EXCHANGE_UNREACHABLE
                                 ? EG_SERVER_FAULT_UNREACHABLE
                                 : EG_SERVER_FAULT_BAD_RESPONSE,
                             self->facts.id, now_us);
  if (self->entry->configuration.now && head->entry.has_engine
      && fault != EG_EXCHANGE_STALE)
    eg_backend_probe (head, now_us);
  eg_call_attempt_failed (self, eg_exchange_fault_name (fault));
}

static const struct eg_exchange_events exchange_events = {on_head, on_body,
                                                          on_done, on_failed};

static bool
remember_head (struct eg_call *self, struct eg_backend *head)
{
  for (size_t i = 0; i < self->head_count; i++)
    if (self->heads[i] == head)
      return true;
  if (self->head_count == EG_CALL_FIRST_SERVERS_MAX)
    return false;
  eg_backend_ref (head);
  self->heads[self->head_count++] = head;
  return true;
}

void
eg_call_write_path (const struct eg_placement *place, struct eg_buffer *path)
{
  for (uint32_t i = 0; i < place->count; i++)
    {
      struct eg_path_stage stage = {i, place->layers[i].from,
                                    place->layers[i].to};

      eg_path_text_append (path, eg_str_from (place->stages[i]->entry.address),
                           &stage);
    }
}

static uint32_t
expected_answer_tokens (const struct eg_call *self,
                        const struct eg_engine_model *engine)
{
  uint32_t most = self->facts.answer_tokens_max;
  uint32_t expected = self->facts.answer_tokens_hint;

  if (expected == 0)
    expected = engine->mean_answer_tokens ? engine->mean_answer_tokens
                                          : ANSWER_TOKENS_DEFAULT;
  return most > 0 && most < expected ? most : expected;
}

/* Sends the request to the servers of @p place. */
static void
send_to (struct eg_call *self,
         const struct eg_service_config *service,
         const struct eg_placement *place,
         int64_t now_us)
{
  struct eg_attempt *send = &self->send;
  struct eg_backend *head = place->stages[0];
  struct eg_exchange_request request = {.endpoint = head->entry.endpoint,
                                        .body = self->body};
  struct eg_buffer path = {0};
  struct eg_buffer text = {0};
  struct eg_forward_headers facts = {
      .patience_ms =
          (self->deadline_us - now_us) / EG_US_PER_MS - DEADLINE_MARGIN_MS,
      .server_id = eg_str_from (head->entry.id),
      .organisation = eg_str_from (self->organisation),
      .last_event_id = eg_str_from (self->relay.last_id),
      .priority = self->priority,
      .has_priority = service->has_engine,
      .body_len = self->body.len,
      .has_body = self->head->has_body || self->body.len > 0,
  };

  self->tries++;
  if (is_engine (service))
    eg_call_write_path (place, &path);
  facts.path = eg_buffer_view (&path);
  eg_request_write_forwarded (&text, self->head, &facts);
  request.head = eg_buffer_view (&text);
  request.no_body = strcmp (self->head->method, "HEAD") == 0;
  request.fresh = !eg_call_is_repeatable (self) || self->tries > 1;
  eg_exchange_init (&send->exchange, &exchange_events, self);
  eg_exchange_init (&send->move, NULL, NULL);
  send->moving = false;
  send->move_refusals = 0;
  send->begun_us = now_us;
  send->heard_us = now_us;
  send->mode = EG_RESPONSE_PENDING;
  send->status = 0;
  send->kv_tokens = (double) self->facts.prompt_tokens
                    + expected_answer_tokens (self, &service->engine);
  send->place = *place;
  send->active = true;
  eg_attempt_hold_placement (send, place);
  self->sends++;
  send->ran_before = self->may_have_run;
  self->may_have_run = true;
  eg_metrics_count (&self->entry->metrics, EG_COUNT_SENDS);
  eg_log (EG_LOG_INFO, "call",
          "event=request-sent request=%.*s server=%s failure_domain=%s "
          "stages=%u load=%.2f servers=%zu try=%u left_ms=%" PRId64
          " path=%.*s",
          EG_STR_ARGS (self->facts.id), head->entry.id, head->entry.domain,
          place->count, place->load, self->entry->fleet.count, self->tries,
          facts.patience_ms, EG_STR_ARGS (facts.path));
  if (!eg_exchange_start (&send->exchange, &self->entry->pool, &request))
    on_failed (self, EG_EXCHANGE_UNREACHABLE);
  eg_buffer_finish (&path);
  eg_buffer_finish (&text);
}

struct eg_placement_request
eg_call_placement_request (const struct eg_call *self,
                           const struct eg_service_config *service)
{
  return (struct eg_placement_request){
      .service = service,
      .prompt_tokens = self->facts.prompt_tokens,
      .answer_tokens = expected_answer_tokens (self, &service->engine),
      .used = self->heads,
      .used_count = self->head_count,
      .only_used = self->head_count >= self->route.servers_max,
      .avoid_used = true,
  };
}

const struct eg_service_config *
eg_call_service (const struct eg_call *self)
{
  const struct eg_configuration *configuration = self->entry->configuration.now;
  size_t index = eg_configuration_find_service (configuration,
                                                eg_str_from (self->service));

  return index == SIZE_MAX ? NULL : &configuration->services[index];
}

/* Chooses where the request goes next; false if there is nothing. */
static bool
choose_place (const struct eg_call *self,
              int64_t now_us,
              struct eg_placement *place)
{
  const struct eg_service_config *service = eg_call_service (self);
  struct eg_placement_request need;

  if (!service)
    return false;
  need = eg_call_placement_request (self, service);
  return eg_placement_choose (self->entry, &need, now_us, place) == EG_PLACED;
}

static bool
spend_retry (struct eg_call *self, const char *cause, int64_t now_us)
{
  const struct eg_entry_settings *settings = self->entry->settings;
  double extra = (double) settings->retry_extra * RETRY_EXTRA_SHARE
                 / eg_members_count (&self->entry->members);

  if (eg_retry_window_spend (eg_entry_retry_window (self->entry, self->service),
                             settings->retry_ratio, extra, now_us))
    return true;
  eg_log (EG_LOG_DEBUG, "call",
          "event=retry-budget-spent request=%.*s service=%s cause=%s",
          EG_STR_ARGS (self->facts.id), self->service, cause);
  return false;
}

static void
log_again (struct eg_call *self, const char *cause, int64_t now_us)
{
  eg_log (EG_LOG_INFO, "call",
          "event=request-resent request=%.*s cause=%s sends=%u events=%" PRIu64
          " left_ms=%" PRId64,
          EG_STR_ARGS (self->facts.id), cause, self->sends, self->relay.events,
          (self->deadline_us - now_us) / EG_US_PER_MS);
  if (self->head_sent)
    eg_metrics_count (&self->entry->metrics, EG_COUNT_RESUMES);
  if (self->sends > 0)
    eg_metrics_count (&self->entry->metrics, EG_COUNT_RETRIES);
}

/* The present send has come to nothing: another one, or the end. */
void
eg_call_attempt_failed (struct eg_call *self, const char *cause)
{
  int64_t now_us = eg_clock_now_us ();
  struct eg_resend_context question;
  enum eg_resend_decision answer;

  end_send (self);
  eg_event_relay_restart (&self->relay);
  question = ask_resend (self, now_us);
  answer = eg_resend_decide (&question);
  if (answer == EG_RESEND && self->sends > 0
      && !spend_retry (self, cause, now_us))
    answer = eg_resend_give_up (&question);
  if (answer == EG_RESEND)
    {
      log_again (self, cause, now_us);
      begin_send (self, now_us);
    }
  /* A repeatable request whose servers answered gets what they said. */
  else if (answer == EG_RESEND_FAIL && self->answer_head.len > 0
           && self->answer_status >= 500 && strcmp (cause, "server-error") == 0)
    eg_call_send_buffered_response (self);
  else
    eg_call_fail (self, answer, cause);
}

/* Keys are asked again at each send: they may have become too old since. */
static bool
may_use_key (const struct eg_call *self, int64_t now_us)
{
  return !self->keyed || eg_entry_keys_are_fresh (self->entry, now_us);
}

bool
eg_call_replace_attempt (struct eg_call *self, const char *cause)
{
  int64_t now_us = eg_clock_now_us ();
  struct eg_resend_context question = ask_resend (self, now_us);
  struct eg_placement place;

  question.in_flight = true;
  if (eg_resend_decide (&question) != EG_RESEND || !may_use_key (self, now_us)
      || !choose_place (self, now_us, &place)
      || !spend_retry (self, cause, now_us)
      || !remember_head (self, place.stages[0]))
    return false;
  end_send (self);
  eg_event_relay_restart (&self->relay);
  log_again (self, cause, now_us);
  send_to (self, eg_call_service (self), &place, now_us);
  return true;
}

/* A begun stream without a path waits for one as long as its caller does. */
static bool
may_wait (const struct eg_call *self, int64_t now_us)
{
  return self->head_sent && self->route.kind == EG_ROUTE_STREAM
         && self->route.resumable
         && now_us - self->last_event_us < RESUME_WAIT_US;
}

static void
begin_send (struct eg_call *self, int64_t now_us)
{
  const struct eg_service_config *service = eg_call_service (self);
  struct eg_placement place;

  if (!service)
    give_up (self, "service-removed");
  else if (!may_use_key (self, now_us))
    give_up (self, "keys-too-old");
  else if (choose_place (self, now_us, &place)
           && remember_head (self, place.stages[0]))
    send_to (self, service, &place, now_us);
  else if (!may_wait (self, now_us))
    give_up (self, "no-server");
}

static void
lower_case (char *text)
{
  for (; *text; text++)
    if (*text >= 'A' && *text <= 'Z')
      *text = (char) (*text - 'A' + 'a');
}

static const struct eg_route *
find_route (const struct eg_call *self)
{
  char host[EG_CONFIG_PATH_BYTES];
  struct eg_str path = eg_http_head_target (self->head);

  if (!eg_str_copy (self->facts.host, host, sizeof host))
    return NULL;
  lower_case (host);
  path = eg_str_cut (&path, '?');
  return eg_configuration_route (self->entry->configuration.now,
                                 eg_str_from (host), path);
}

/* Finds out who the request is made for; false if it was answered. */
static bool
identify (struct eg_call *self, int64_t now_us)
{
  const struct eg_configuration *configuration = self->entry->configuration.now;
  const struct eg_organisation *organisation;

  *self->organisation = '\0';
  self->keyed = configuration->has_organisations && !self->route.is_public;
  self->priority = self->route.priority;
  if (!self->keyed)
    return true;
  if (!eg_entry_keys_are_fresh (self->entry, now_us))
    {
      eg_call_refuse (self, "keys-too-old", RETRY_AFTER_CONFIGURATION_MS);
      return false;
    }
  organisation =
      self->facts.key.len > 0 && !self->facts.key_repeated
          ? eg_configuration_find_key (configuration, self->facts.key)
          : NULL;
  if (!organisation)
    {
      eg_call_reject (self, 401, "key-unknown");
      return false;
    }
  eg_str_copy (eg_str_from (organisation->name), self->organisation,
               sizeof self->organisation);
  if (organisation->priority >= 0)
    self->priority = (unsigned) organisation->priority;
  return true;
}

static void
set_deadline (struct eg_call *self)
{
  int64_t patience_us = self->route.timeout_us;

  if (self->facts.patience_us >= 0 && self->facts.patience_us < patience_us)
    patience_us = self->facts.patience_us;
  self->deadline_us = self->arrived_us + patience_us;
}

static void
start (struct eg_call *self, int64_t now_us)
{
  const struct eg_configuration *configuration = self->entry->configuration.now;
  const struct eg_route *route;
  uint32_t service;

  if (!configuration)
    {
      eg_call_refuse (self, "no-configuration", RETRY_AFTER_CONFIGURATION_MS);
      return;
    }
  if (self->facts.id.len == 0 || self->facts.host.len == 0)
    {
      eg_call_reject (self, 400, "no-id-or-host");
      return;
    }
  route = find_route (self);
  if (!route)
    {
      eg_call_reject (self, 404, "no-route");
      return;
    }
  self->route = *route;
  if (!identify (self, now_us))
    return;
  set_deadline (self);
  if (self->priority > PRIORITY_CLASS_MAX)
    self->priority = PRIORITY_CLASS_MAX;
  service = eg_route_choose (route, eg_random_next (&self->entry->random));
  eg_str_copy (eg_str_from (configuration->services[service].name),
               self->service, sizeof self->service);
  eg_retry_window_request (eg_entry_retry_window (self->entry, self->service),
                           now_us);
  begin_send (self, now_us);
}

void
eg_call_start (struct eg_call *self,
               const struct eg_http_head *head,
               struct eg_str body)
{
  int64_t now_us = eg_clock_now_us ();

  self->active = true;
  self->head = head;
  self->body = body;
  self->arrived_us = now_us;
  self->first_event_us = 0;
  self->longest_gap_us = 0;
  self->sends = 0;
  self->tries = 0;
  self->moves = 0;
  self->may_have_run = false;
  self->head_sent = false;
  self->answer_status = 0;
  memset (&self->route, 0, sizeof self->route);
  *self->service = '\0';
  *self->organisation = '\0';
  eg_request_headers_decode (&self->facts, head);
  eg_event_relay_finish (&self->relay);
  eg_event_relay_init (&self->relay, self->facts.last_event_id);
  start (self, now_us);
}

void
eg_call_abort (struct eg_call *self)
{
  if (self->head_sent)
    eg_call_abort_response (self, "stopping");
  else if (self->may_have_run)
    eg_call_reject (self, 502, "stopping");
  else
    eg_call_refuse (self, "stopping", EG_RETRY_AFTER_SERVER_MS);
}

static void
check_plain (struct eg_call *self, int64_t now_us)
{
  int64_t waited_us = now_us - self->send.begun_us;
  int64_t patience_us = self->route.latency_goal_us * PATIENCE_GOALS;
  int64_t half_us = (self->deadline_us - self->arrived_us) / 2;

  if (patience_us > half_us)
    patience_us = half_us;
  if (!eg_call_is_repeatable (self) || self->sends > 1 || self->head_sent
      || waited_us < patience_us)
    return;
  if (eg_call_replace_attempt (self, "server-slow"))
    eg_backend_record_fault (self->heads[0], EG_SERVER_FAULT_ERROR_STATUS,
                             self->facts.id, now_us);
}

void
eg_call_check (struct eg_call *self, int64_t now_us)
{
  if (!self->active)
    return;
  if (now_us >= self->deadline_us)
    {
      give_up (self, "deadline");
      return;
    }
  if (!self->send.active)
    {
      begin_send (self, now_us);
      return;
    }
  if (!eg_exchange_is_connected (&self->send.exchange))
    {
      if (now_us - self->send.begun_us >= CONNECT_TIMEOUT_US)
        {
          eg_exchange_cancel (&self->send.exchange);
          on_failed (self, EG_EXCHANGE_UNREACHABLE);
        }
      return;
    }
  if (self->route.kind == EG_ROUTE_STREAM)
    eg_call_check_stream (self, now_us);
  else
    check_plain (self, now_us);
}
