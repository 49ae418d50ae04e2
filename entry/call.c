#include "entry/call_state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/entry.h"
#include "policy/quarantine.h"

/* Interval at which a waiting request looks for a server: each search for a
 * path takes some of the VM's processor time. */
#define WAIT_INTERVAL_US (50 * EG_US_PER_MS)
/* Interval at which a request looks for a peer that serves, after the first
 * ones have been asked. */
#define PEER_WAIT_US (25 * EG_US_PER_MS)
/* From its arrival, a request waits at most this long for the outcome of
 * another one that is on trial: a run shows within EG_SOUND_RUN_US whether it
 * is sound.
 */
#define TRIAL_WAIT_MAX_US (1000 * EG_US_PER_MS)
/* Connecting within a region takes about a millisecond. A lost SYN is
 * retransmitted only after a second, so opening another connection is
 * faster. */
#define CONNECT_TIMEOUT_US (250 * EG_US_PER_MS)
/* Responses up to this size are buffered until complete, so that a broken
 * one can be replaced by a retry. */
#define RESPONSE_BUFFER_MAX (256U << 10)
/* An idle connection keeps no larger buffer. */
#define KEPT_BUFFER_BYTES 4096
/* Assumed number of tokens of a response if neither the request nor the
 * configuration states one. */
#define ANSWER_TOKENS_DEFAULT 150
/* A repeatable request that has run for this multiple of its latency goal is
 * sent to another server. */
#define SLOW_LATENCY_GOALS 4
/* Fraction of the engines' stall time-out from which a refusal is attributed
 * to a dead server. Refusals for lack of capacity are immediate. */
#define STALL_REFUSAL_FRACTION 0.5
/* Fraction of the extra retries that may be used. The other half is reserved
 * because a restarted process does not know its earlier retries. */
#define RETRY_EXTRA_FRACTION 0.5
/* Engines have priority classes from 0, the most urgent, to this one. */
#define PRIORITY_CLASS_MAX 9
/* Part of the remaining time reserved for the response's way back; not
 * offered to the server. */
#define DEADLINE_MARGIN_MS 2

static void begin_attempt (struct eg_call *self, int64_t now_us);

void
eg_call_init (struct eg_call *self,
              struct eg_entry *entry,
              struct eg_connection *connection)
{
  memset (self, 0, sizeof *self);
  self->entry = entry;
  self->connection = connection;
  eg_buffer_init (&self->response_head);
  eg_buffer_init (&self->response_body);
  eg_buffer_init (&self->attempt.move_body);
  eg_event_relay_init (&self->relay, EG_STR (""));
}

static void
free_parts (struct eg_call *self)
{
  free (self->parts);
  self->parts = NULL;
  self->subjects.parts = NULL;
  self->subjects.part_count = 0;
}

static void
drop_configuration (struct eg_call *self)
{
  self->route = (struct eg_route){0};
  self->service = EG_STR ("");
  self->organisation = EG_STR ("");
  eg_configuration_unref (self->configuration);
  self->configuration = NULL;
}

void
eg_call_finish (struct eg_call *self)
{
  drop_configuration (self);
  eg_buffer_finish (&self->response_head);
  eg_buffer_finish (&self->response_body);
  eg_buffer_finish (&self->attempt.move_body);
  eg_event_relay_finish (&self->relay);
  free_parts (self);
}

void
eg_attempt_hold_placement (const struct eg_attempt *attempt,
                           const struct eg_placement *placement)
{
  for (uint32_t i = 0; i < placement->count; i++)
    {
      eg_backend_ref (placement->stages[i]);
      placement->stages[i]->running++;
      placement->stages[i]->first_running += i == 0;
      placement->stages[i]->kv_running +=
          attempt->kv_tokens
          * (placement->layers[i].to - placement->layers[i].from);
    }
}

void
eg_attempt_release_placement (const struct eg_attempt *attempt,
                              struct eg_placement *placement)
{
  for (uint32_t i = 0; i < placement->count; i++)
    {
      struct eg_backend *backend = placement->stages[i];

      backend->running--;
      backend->first_running -= i == 0;
      backend->kv_running -=
          attempt->kv_tokens
          * (placement->layers[i].to - placement->layers[i].from);
      eg_backend_unref (backend);
    }
  placement->count = 0;
}

/* Releases the servers of the current attempt. */
static void
end_attempt (struct eg_call *self)
{
  struct eg_attempt *attempt = &self->attempt;

  eg_attempt_cancel_move (attempt);
  eg_exchange_cancel (&attempt->exchange);
  if (!attempt->active)
    return;
  attempt->active = false;
  eg_attempt_release_placement (attempt, &attempt->placement);
  if (attempt->lent)
    eg_backend_unref (attempt->lent);
  attempt->lent = NULL;
}

/* Ends the call. The response must be handled by the code that calls this. */
void
eg_call_close (struct eg_call *self)
{
  end_attempt (self);
  eg_call_wait_leave (self);
  free_parts (self);
  for (size_t i = 0; i < self->first_server_count; i++)
    eg_backend_unref (self->first_servers[i]);
  self->first_server_count = 0;
  self->active = false;
  drop_configuration (self);
  eg_buffer_clear (&self->response_head);
  if (self->response_body.capacity > KEPT_BUFFER_BYTES)
    eg_buffer_finish (&self->response_body);
  eg_buffer_clear (&self->response_body);
}

size_t
eg_call_memory (const struct eg_call *self)
{
  return self->response_head.capacity + self->response_body.capacity
         + self->relay.partial.capacity + self->attempt.move_body.capacity
         + self->subjects.part_count * sizeof *self->parts;
}

/* Returns whether the run has delivered too little to show that the request
 * does not crash its servers. */
static bool
is_young (const struct eg_attempt *attempt, int64_t now_us)
{
  return !attempt->progress.begun
         || now_us - attempt->first_event_us < EG_SOUND_RUN_US;
}

/* The server may end under a run though its caller has left. */
static void
watch_left_run (struct eg_call *self)
{
  const struct eg_attempt *attempt = &self->attempt;
  int64_t now_us = eg_clock_now_us ();

  if (attempt->active && !attempt->by_peer && is_young (attempt, now_us))
    eg_crash_watch_run_left (&self->entry->crash_watch,
                             eg_call_first_server (self), &self->subjects,
                             attempt->progress.begun, now_us);
}

void
eg_call_cancel (struct eg_call *self)
{
  eg_metrics_count (&self->entry->metrics, EG_COUNT_ABANDONED);
  eg_call_log_end (self, "caller-left", 0);
  watch_left_run (self);
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
get_resend_context (const struct eg_call *self, int64_t now_us)
{
  return (struct eg_resend_context){
      .repeatable = eg_call_is_repeatable (self),
      .may_have_run = self->may_have_run,
      .response_started = self->head_sent,
      .resumable = self->route.kind == EG_ROUTE_STREAM && self->route.resumable,
      .sends = self->sends,
      .refusals = self->refusals,
      .tries = self->tries,
      .now_us = now_us,
      .deadline_us = self->deadline_us,
  };
}

enum eg_resend_decision
eg_call_give_up (const struct eg_call *self,
                 enum eg_resend_limit limit,
                 int64_t now_us)
{
  struct eg_resend_context context = get_resend_context (self, now_us);

  return eg_resend_give_up (&context, limit);
}

/* Handles a request that cannot be sent now: it waits, if it may, or ends. */
static void
cannot_send (struct eg_call *self,
             const char *cause,
             enum eg_resend_limit limit)
{
  struct eg_resend_context context =
      get_resend_context (self, eg_clock_now_us ());
  enum eg_resend_decision decision = eg_resend_give_up (&context, limit);

  self->limit = limit;
  /* For a repeatable request, forward the error response of the server. */
  if (decision == EG_RESEND_FAIL && self->response_head.len > 0
      && self->response_status >= 500
      && !eg_call_implies_not_executed (self->response_status)
      && strcmp (self->cause, "server-error") == 0)
    {
      eg_call_send_buffered_response (self);
      return;
    }
  if (decision == EG_RESEND_REFUSE
      && eg_call_wait_hold (self, limit, context.now_us))
    return;
  if (decision != EG_RESEND_LATER)
    {
      eg_call_fail (self, decision, cause);
      return;
    }
  self->resume_us =
      context.now_us
      + (limit == EG_LIMIT_REFUSALS ? eg_resend_pause_us (self->refusals_in_row)
                                    : WAIT_INTERVAL_US);
  self->tried_peer_count = 0;
  if (!self->waiting)
    {
      self->waiting = true;
      eg_log (EG_LOG_INFO, "call",
              "event=request-waiting request=%.*s limit=%s sends=%u "
              "events=%" PRIu64 " left_ms=%" PRId64,
              EG_STR_ARGS (self->headers.id), eg_resend_limit_name (limit),
              self->sends, self->relay.events,
              (self->deadline_us - context.now_us) / EG_US_PER_MS);
    }
}

struct eg_backend *
eg_call_first_server (const struct eg_call *self)
{
  return self->attempt.placement.stages[0];
}

/* Takes note of what a response tells of the server that sent it. */
static void
note_server (struct eg_call *self,
             const struct eg_http_head *head,
             int64_t now_us)
{
  const struct eg_attempt *attempt = &self->attempt;
  struct eg_backend *first = eg_call_first_server (self);
  struct eg_server_notice notice = eg_server_notice_decode (head);

  if (eg_exchange_is_fresh (&attempt->exchange))
    eg_fleet_reached (&self->entry->fleet, eg_backend_hash (first),
                      attempt->started_us, now_us);
  eg_backend_notice (first, &notice, now_us);
  if (attempt->headers.has_request_id && head->status != 421)
    eg_server_limits_responded (first, &notice, attempt->started_us, now_us);
  if (attempt->headers.has_load)
    eg_backend_update_load (first,
                            attempt->headers.running + attempt->headers.waiting,
                            attempt->headers.slots, now_us);
}

enum eg_exchange_verdict
eg_call_on_head (void *context, const struct eg_http_head *head)
{
  struct eg_call *self = context;
  struct eg_attempt *attempt = &self->attempt;
  int64_t now_us = eg_clock_now_us ();

  eg_response_headers_decode (&attempt->headers, head, self->headers.id);
  if (attempt->headers.request_id_mismatch)
    {
      eg_log (EG_LOG_WARNING, "call",
              "event=foreign-answer request=%.*s from=%s status=%u",
              EG_STR_ARGS (self->headers.id),
              attempt->by_peer ? self->peer_name
                               : eg_call_first_server (self)->record.id,
              head->status);
      return EG_EXCHANGE_SKIP;
    }
  attempt->received_us = now_us;
  attempt->status = head->status;
  if (!attempt->by_peer)
    note_server (self, head, now_us);
  if (head->status == 200)
    {
      eg_shortage_served (
          &eg_entry_service (self->entry, self->service)->shortage, now_us);
      eg_call_wait_served (self, now_us);
    }
  attempt->mode = EG_RESPONSE_BUFFERED;
  if (self->route.kind == EG_ROUTE_STREAM && head->status == 200
      && attempt->headers.has_signature && attempt->headers.has_request_id)
    attempt->mode = EG_RESPONSE_EVENTS;
  if (!self->head_sent
      && (attempt->mode != EG_RESPONSE_EVENTS || self->relay.events == 0))
    {
      eg_buffer_clear (&self->response_head);
      eg_buffer_clear (&self->response_body);
      eg_response_write_forwarded (&self->response_head, head);
      self->response_status = head->status;
    }
  return EG_EXCHANGE_ACCEPT;
}

void
eg_call_resume_reading (struct eg_call *self)
{
  struct eg_attempt *attempt = &self->attempt;
  int64_t now_us = eg_clock_now_us ();

  if (!eg_exchange_is_paused (&attempt->exchange))
    return;
  /* The silence until now was this VM's, for a slow client. */
  attempt->received_us = now_us;
  eg_run_progress_resumed (&attempt->progress, now_us);
  eg_exchange_set_paused (&attempt->exchange, false);
}

/* The request has not crashed its server. */
static void
record_served (const struct eg_call *self, int64_t now_us)
{
  eg_crash_watch_served (&self->entry->crash_watch, &self->subjects, now_us);
}

/* A run that has delivered for some time shows that its request is sound. What
 * a peer delivers may come from several runs, each lost with its server. */
static void
check_delivering (struct eg_call *self, int64_t now_us)
{
  struct eg_attempt *attempt = &self->attempt;

  if (attempt->by_peer)
    return;
  if (!attempt->progress.begun)
    {
      attempt->first_event_us = now_us;
      attempt->proved_us = now_us;
    }
  if (now_us - attempt->proved_us < EG_SOUND_RUN_US)
    return;
  attempt->proved_us = now_us;
  record_served (self, now_us);
}

/* The response of the server is not what it should be. */
static void
blame_response (struct eg_call *self, int64_t now_us)
{
  if (self->attempt.by_peer)
    eg_peer_paths_failed (&self->entry->peer_paths, self->attempt.peer, now_us);
  else
    eg_backend_record_fault (eg_call_first_server (self),
                             EG_SERVER_FAULT_BAD_RESPONSE, self->headers.id,
                             now_us);
}

static void
handle_events (struct eg_call *self, struct eg_str bytes)
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
      self->attempt.received_us = now_us;
      self->refusals_in_row = 0;
      check_delivering (self, now_us);
      eg_run_progress_received (&self->attempt.progress, now_us);
      for (uint32_t i = 0; i < self->attempt.placement.count; i++)
        eg_backend_seen (self->attempt.placement.stages[i], now_us);
      self->last_event_us = now_us;
      eg_call_forward_body (self, eg_buffer_view (&events));
    }
  eg_buffer_finish (&events);
  if (result == EG_RELAY_OK)
    return;
  blame_response (self, now_us);
  eg_call_attempt_failed (self, result == EG_RELAY_OUT_OF_ORDER
                                    ? "events-misplaced"
                                    : "event-too-long");
}

static bool
is_valid_success (const struct eg_call *self)
{
  return self->attempt.status < 300 && self->attempt.headers.has_signature
         && self->attempt.headers.has_request_id;
}

bool
eg_call_implies_not_executed (unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Returns whether a response that is too large to buffer is the one that the
 * client is to get, whatever the rest of it. */
static bool
is_forwardable (const struct eg_call *self)
{
  return !self->head_sent
         && (is_valid_success (self)
             || (self->attempt.status >= 300 && self->attempt.status < 500
                 && !self->attempt.headers.not_executed
                 && !eg_call_implies_not_executed (self->attempt.status)));
}

static void
handle_oversized_body (struct eg_call *self)
{
  blame_response (self, eg_clock_now_us ());
  eg_call_attempt_failed (self, "answer-too-long");
}

void
eg_call_on_body (void *context, struct eg_str bytes)
{
  struct eg_call *self = context;

  if (self->attempt.mode == EG_RESPONSE_EVENTS)
    {
      handle_events (self, bytes);
      return;
    }
  self->attempt.received_us = eg_clock_now_us ();
  self->attempt.body_bytes += bytes.len;
  if (self->attempt.mode == EG_RESPONSE_BUFFERED
      && self->attempt.body_bytes > RESPONSE_BUFFER_MAX)
    {
      if (!is_forwardable (self))
        {
          handle_oversized_body (self);
          return;
        }
      self->attempt.mode = EG_RESPONSE_FORWARDED;
      eg_call_forward_body (self, eg_buffer_view (&self->response_body));
    }
  if (self->attempt.mode == EG_RESPONSE_FORWARDED)
    eg_call_forward_body (self, bytes);
  /* Ignore the error body of a later attempt: the response has already
   * started. */
  else if (!self->head_sent)
    eg_buffer_append (&self->response_body, bytes);
}

void
eg_call_undo_trial (struct eg_call *self)
{
  eg_crash_watch_not_run (&self->entry->crash_watch, &self->subjects,
                          self->attempt.started_us);
}

/* Handles a response that says the request was not executed. */
static void
handle_not_executed (struct eg_call *self)
{
  struct eg_attempt *attempt = &self->attempt;
  struct eg_backend *faulty_server = eg_call_first_server (self);
  bool misdirected = attempt->status == 421;
  enum eg_server_fault fault = EG_SERVER_FAULT_NO_CAPACITY;
  int64_t stall_refusal_us =
      (int64_t) ((double) self->entry->settings->stall_ms * EG_US_PER_MS
                 * STALL_REFUSAL_FRACTION);
  int64_t now_us = eg_clock_now_us ();

  if (attempt->headers.has_faulty_server)
    {
      struct eg_backend *named = eg_fleet_find_by_endpoint (
          &self->entry->fleet, attempt->headers.faulty_server);

      if (named)
        faulty_server = named;
    }
  /* An engine waits for a dead server before it refuses, but refuses at once
   * if a server lacks capacity. */
  if (misdirected || now_us - attempt->started_us >= stall_refusal_us)
    fault = EG_SERVER_FAULT_REPORTED;
  eg_backend_record_fault (faulty_server, fault, self->headers.id, now_us);
  /* A server that another one could not use may be down rather than full. */
  if (faulty_server != eg_call_first_server (self))
    eg_backend_probe (faulty_server, now_us);
  eg_call_undo_trial (self);
  self->may_have_run = attempt->earlier_may_have_run;
  self->refusals++;
  self->refusals_in_row++;
  eg_call_attempt_failed (self, misdirected ? "misdirected" : "server-refused");
}

/* The server may have ended under a run. */
static void
suspect_young_run (struct eg_call *self, int64_t now_us)
{
  if (is_young (&self->attempt, now_us))
    eg_crash_watch_run_lost (&self->entry->crash_watch,
                             eg_call_first_server (self), &self->subjects,
                             self->attempt.progress.begun, now_us);
}

const char *
eg_call_find_stream_fault (const struct eg_call *self)
{
  if (eg_event_relay_is_partial (&self->relay))
    return "event-unfinished";
  /* A server that ends before its first event closes the connection, too. */
  if (!self->attempt.headers.framed && self->relay.events == 0
      && self->headers.last_event_id.len == 0)
    return "stream-empty";
  return NULL;
}

static void
handle_stream_end (struct eg_call *self, int64_t now_us)
{
  const char *fault = eg_call_find_stream_fault (self);

  if (!is_young (&self->attempt, now_us))
    record_served (self, now_us);
  else if (self->attempt.headers.framed)
    eg_crash_watch_run_ended (&self->entry->crash_watch,
                              eg_call_first_server (self), &self->subjects,
                              now_us);
  else
    suspect_young_run (self, now_us);
  if (!fault)
    {
      eg_call_end_response (self);
      return;
    }
  eg_backend_record_fault (eg_call_first_server (self),
                           EG_SERVER_FAULT_BAD_RESPONSE, self->headers.id,
                           now_us);
  eg_call_attempt_failed (self, fault);
}

static void
on_done (void *context)
{
  struct eg_call *self = context;
  struct eg_attempt *attempt = &self->attempt;
  int64_t now_us = eg_clock_now_us ();

  if (attempt->mode == EG_RESPONSE_EVENTS)
    {
      handle_stream_end (self, now_us);
      return;
    }
  if (attempt->headers.framed && is_valid_success (self))
    record_served (self, now_us);
  if (attempt->mode == EG_RESPONSE_FORWARDED)
    eg_call_end_response (self);
  else if (attempt->headers.not_executed)
    handle_not_executed (self);
  else if (is_valid_success (self) && !self->head_sent)
    eg_call_send_buffered_response (self);
  else if (attempt->status < 300 || self->head_sent)
    {
      eg_backend_record_fault (eg_call_first_server (self),
                               EG_SERVER_FAULT_BAD_RESPONSE, self->headers.id,
                               now_us);
      eg_call_attempt_failed (self, "answer-unsigned");
    }
  else
    {
      if (attempt->status >= 500)
        eg_backend_record_fault (eg_call_first_server (self),
                                 EG_SERVER_FAULT_ERROR_STATUS, self->headers.id,
                                 now_us);
      if (attempt->status >= 500 && eg_call_is_repeatable (self))
        eg_call_attempt_failed (self, "server-error");
      else if (eg_call_implies_not_executed (attempt->status)
               && !eg_call_is_repeatable (self))
        eg_call_reject (self, 502, "server-error");
      else
        eg_call_send_buffered_response (self);
    }
}

static bool
is_first_server (const struct eg_call *self, const struct eg_backend *backend)
{
  for (size_t i = 0; i < self->first_server_count; i++)
    if (self->first_servers[i] == backend)
      return true;
  return false;
}

static bool
can_add_first_server (const struct eg_call *self,
                      const struct eg_backend *backend)
{
  return self->first_server_count < EG_CALL_FIRST_SERVERS_MAX
         || is_first_server (self, backend);
}

static void
add_first_server (struct eg_call *self, struct eg_backend *backend)
{
  self->attempt.first_is_new = !is_first_server (self, backend);
  if (!self->attempt.first_is_new)
    return;
  eg_backend_ref (backend);
  self->first_servers[self->first_server_count++] = backend;
}

/* Takes back what start_attempt() has counted for its first server. */
static void
undo_first_server (struct eg_call *self)
{
  struct eg_attempt *attempt = &self->attempt;

  if (!attempt->is_lent)
    eg_server_rate_refund (&eg_call_first_server (self)->rate);
  if (attempt->first_is_new)
    eg_backend_unref (self->first_servers[--self->first_server_count]);
  attempt->first_is_new = false;
}

void
eg_call_undo_send (struct eg_call *self)
{
  struct eg_attempt *attempt = &self->attempt;

  eg_call_undo_trial (self);
  self->sends--;
  self->may_have_run = attempt->earlier_may_have_run;
  if (attempt->charged)
    eg_retry_window_refund (
        &eg_entry_service (self->entry, self->service)->retries,
        attempt->started_us);
  attempt->charged = false;
  if (attempt->by_peer)
    eg_call_undo_hop (self);
  else
    undo_first_server (self);
}

/* The server may have ended under the request, or while it ran it. */
static void
handle_lost_run (struct eg_call *self,
                 enum eg_exchange_fault fault,
                 int64_t now_us)
{
  const struct eg_attempt *attempt = &self->attempt;
  struct eg_backend *first = eg_call_first_server (self);
  struct eg_buffer parts = {0};

  for (size_t i = 0; i < self->subjects.part_count; i++)
    eg_buffer_printf (&parts, "%s%" PRIx64, i > 0 ? "," : "",
                      self->subjects.parts[i]);
  eg_metrics_count (&self->entry->metrics, EG_COUNT_RUNS_LOST);
  eg_log (EG_LOG_NOTICE, "call",
          "event=run-lost request=%.*s fingerprint=%016" PRIx64
          " server=%s start_ms=%" PRId64 " cause=%s sent_ms=%" PRId64
          " delivering_ms=%" PRId64 " parts=%.*s",
          EG_STR_ARGS (self->headers.id), self->subjects.request,
          first->record.id, first->record.start_ms,
          eg_exchange_fault_name (fault),
          (now_us - attempt->started_us) / EG_US_PER_MS,
          attempt->progress.begun
              ? (now_us - attempt->first_event_us) / EG_US_PER_MS
              : -1,
          EG_STR_ARGS (eg_buffer_view (&parts)));
  eg_buffer_finish (&parts);
  if (fault != EG_EXCHANGE_MALFORMED)
    suspect_young_run (self, now_us);
}

static void
on_failed (void *context, enum eg_exchange_fault fault)
{
  struct eg_call *self = context;
  struct eg_backend *first = eg_call_first_server (self);
  int64_t now_us = eg_clock_now_us ();

  if (fault == EG_EXCHANGE_UNREACHABLE)
    {
      eg_fleet_not_reached (&self->entry->fleet, eg_backend_hash (first),
                            self->attempt.started_us, now_us);
      eg_call_undo_send (self);
    }
  else
    handle_lost_run (self, fault, now_us);
  if (fault != EG_EXCHANGE_STALE)
    eg_backend_record_fault (first,
                             fault == EG_EXCHANGE_UNREACHABLE
                                 ? EG_SERVER_FAULT_UNREACHABLE
                                 : EG_SERVER_FAULT_BAD_RESPONSE,
                             self->headers.id, now_us);
  if (self->entry->configuration.current && first->record.has_engine
      && fault != EG_EXCHANGE_STALE)
    eg_backend_probe (first, now_us);
  eg_call_attempt_failed (self, eg_exchange_fault_name (fault));
}

static const struct eg_exchange_events exchange_events = {
    eg_call_on_head, eg_call_on_body, on_done, on_failed};

void
eg_call_write_path (const struct eg_placement *placement,
                    struct eg_buffer *path)
{
  for (uint32_t i = 0; i < placement->count; i++)
    {
      struct eg_path_stage stage = {i, placement->layers[i].from,
                                    placement->layers[i].to};

      eg_path_text_append (
          path, eg_str_from (placement->stages[i]->record.address), &stage);
    }
}

static uint32_t
expected_answer_tokens (const struct eg_call *self,
                        const struct eg_engine_model *engine)
{
  uint32_t most = self->headers.answer_tokens_max;
  uint32_t expected = self->headers.answer_tokens_hint;

  if (expected == 0)
    expected = engine->mean_answer_tokens ? engine->mean_answer_tokens
                                          : ANSWER_TOKENS_DEFAULT;
  return most > 0 && most < expected ? most : expected;
}

int64_t
eg_call_timeout_ms (const struct eg_call *self, int64_t now_us)
{
  return (self->deadline_us - now_us) / EG_US_PER_MS - DEADLINE_MARGIN_MS;
}

void
eg_call_prepare_attempt (struct eg_call *self,
                         const struct eg_exchange_events *events,
                         int64_t now_us)
{
  struct eg_attempt *attempt = &self->attempt;

  self->tries++;
  self->waiting = false;
  self->limit = EG_LIMIT_NONE;
  eg_exchange_init (&attempt->exchange, events, self);
  eg_exchange_init (&attempt->move, NULL, NULL);
  attempt->moving = false;
  attempt->move_refusals = 0;
  attempt->started_us = now_us;
  attempt->received_us = now_us;
  eg_run_progress_init (&attempt->progress);
  attempt->mode = EG_RESPONSE_PENDING;
  attempt->status = 0;
  attempt->body_bytes = 0;
  attempt->active = true;
  self->sends++;
  attempt->earlier_may_have_run = self->may_have_run;
  self->may_have_run = true;
  eg_metrics_count (&self->entry->metrics, EG_COUNT_SENDS);
}

/* Returns the server of whose limit a peer has given up a request. It holds for
 * the first attempt: later ones would add to what the peer sends meanwhile. */
static const struct eg_backend *
find_lent_server (const struct eg_call *self)
{
  if (self->lent_server.len == 0 || self->tries > 0)
    return NULL;
  return eg_fleet_find_id (&self->entry->fleet, self->lent_server);
}

/* Starts an attempt on the servers of @p placement. */
static void
start_attempt (struct eg_call *self,
               const struct eg_service_config *service,
               const struct eg_placement *placement,
               int64_t now_us)
{
  struct eg_attempt *attempt = &self->attempt;
  struct eg_backend *first = placement->stages[0];
  struct eg_exchange_request request = {.endpoint = first->record.endpoint,
                                        .body = self->body,
                                        .body_is_held = true};
  struct eg_buffer path = {0};
  struct eg_buffer text = {0};
  struct eg_forward_headers headers = {
      .timeout_ms = eg_call_timeout_ms (self, now_us),
      .server_id = eg_str_from (first->record.id),
      .organisation = self->organisation,
      .last_event_id = eg_str_from (self->relay.last_id),
      .priority = self->priority,
      .has_priority = service->has_engine,
      .body_len = self->body.len,
      .has_body = self->head->has_body || self->body.len > 0,
  };

  attempt->is_lent = first == find_lent_server (self);
  eg_call_prepare_attempt (self, &exchange_events, now_us);
  attempt->by_peer = false;
  if (is_engine (service))
    eg_call_write_path (placement, &path);
  headers.path = eg_buffer_view (&path);
  eg_request_write_forwarded (&text, self->head, &headers);
  request.head = eg_buffer_view (&text);
  request.no_body = strcmp (self->head->method, "HEAD") == 0;
  request.fresh = !eg_call_is_repeatable (self) || self->tries > 1;
  attempt->kv_tokens = (double) self->headers.prompt_tokens
                       + expected_answer_tokens (self, &service->engine);
  attempt->placement = *placement;
  eg_attempt_hold_placement (attempt, placement);
  for (uint32_t i = 0; i < placement->count; i++)
    eg_server_room_sent (&placement->stages[i]->room, now_us);
  if (!attempt->is_lent)
    eg_server_rate_spend (&first->rate);
  eg_log (
      EG_LOG_INFO, "call",
      "event=request-sent request=%.*s server=%s failure_domain=%s "
      "stages=%u load=%.2f servers=%zu try=%u left_ms=%" PRId64 " path=%.*s",
      EG_STR_ARGS (self->headers.id), first->record.id, first->record.domain,
      placement->count, placement->load, self->entry->fleet.count, self->tries,
      headers.timeout_ms, EG_STR_ARGS (headers.path));
  if (!eg_exchange_start (&attempt->exchange, &self->entry->pool, &request))
    on_failed (self, EG_EXCHANGE_UNREACHABLE);
  eg_buffer_finish (&path);
  eg_buffer_finish (&text);
}

/* One to which a connection is not established yet does not count, either. */
size_t
eg_call_count_first_servers (const struct eg_call *self, int64_t now_us)
{
  const struct eg_attempt *attempt = &self->attempt;
  size_t sent = self->first_server_count;
  size_t count = 0;

  if (attempt->active && !attempt->by_peer && attempt->first_is_new
      && !eg_exchange_is_connected (&attempt->exchange))
    sent--;
  for (size_t i = 0; i < sent; i++)
    count += eg_backend_is_present (self->first_servers[i], now_us)
             && !eg_backend_has_ended (self->first_servers[i], now_us)
             && !eg_backend_is_cut_off (self->first_servers[i], now_us);
  return count;
}

struct eg_placement_request
eg_call_placement_request (const struct eg_call *self,
                           const struct eg_service_config *service)
{
  return (struct eg_placement_request){
      .service = service,
      .prompt_tokens = self->headers.prompt_tokens,
      .answer_tokens = expected_answer_tokens (self, &service->engine),
      .used = self->first_servers,
      .used_count = self->first_server_count,
      .only_used = eg_call_count_servers_left (self, eg_clock_now_us ()) == 0,
      .avoid_used = true,
      .lent = find_lent_server (self),
  };
}

const struct eg_service_config *
eg_call_service (const struct eg_call *self)
{
  const struct eg_configuration *configuration =
      self->entry->configuration.current;
  size_t index = eg_configuration_find_service (configuration, self->service);

  return index == SIZE_MAX ? NULL : &configuration->services[index];
}

/* Selects servers for the next attempt; false if there are none. */
static bool
choose_placement (const struct eg_call *self,
                  int64_t now_us,
                  struct eg_placement *placement)
{
  const struct eg_service_config *service = eg_call_service (self);
  struct eg_placement_request placement_request;

  if (!service)
    return false;
  placement_request = eg_call_placement_request (self, service);
  return eg_placement_choose (self->entry, &placement_request, now_us,
                              placement)
         == EG_PLACED;
}

/* Chooses a server, or a peer if this VM may not reach servers; false if there
 * is neither. */
static bool
choose_target (struct eg_call *self,
               struct eg_peer_paths *peers,
               int64_t now_us,
               struct eg_call_target *target)
{
  const struct eg_server_reach *reach = &self->entry->fleet.reach;

  target->peer = NULL;
  if (reach->state != EG_REACH_OK)
    target->peer = eg_call_choose_peer (self, peers, now_us);
  if (target->peer)
    return true;
  if (choose_placement (self, now_us, &target->placement)
      && can_add_first_server (self, target->placement.stages[0]))
    return true;
  if (reach->state == EG_REACH_OK)
    target->peer = eg_call_choose_peer (self, peers, now_us);
  return target->peer != NULL;
}

/* Starts an attempt; @p charged: a retry was taken from the budget for it. */
static void
start_on_target (struct eg_call *self,
                 const struct eg_call_target *target,
                 bool charged,
                 int64_t now_us)
{
  self->attempt.charged = charged;
  eg_crash_watch_sent (&self->entry->crash_watch, &self->subjects, now_us);
  if (target->peer)
    {
      eg_call_start_hop (self, target->peer, now_us);
      return;
    }
  add_first_server (self, target->placement.stages[0]);
  start_attempt (self, eg_call_service (self), &target->placement, now_us);
}

static bool
spend_retry (struct eg_call *self, const char *cause, int64_t now_us)
{
  const struct eg_entry_settings *settings = self->entry->settings;
  double extra = (double) settings->retry_extra * RETRY_EXTRA_FRACTION
                 / eg_members_count (&self->entry->members);

  if (eg_retry_window_spend (
          &eg_entry_service (self->entry, self->service)->retries,
          settings->retry_ratio, extra, now_us))
    return true;
  eg_log (EG_LOG_DEBUG, "call",
          "event=retry-budget-spent request=%.*s service=%.*s cause=%s",
          EG_STR_ARGS (self->headers.id), EG_STR_START_ARGS (self->service),
          cause);
  return false;
}

static void
log_retry (struct eg_call *self,
           const char *cause,
           const char *ended_by,
           int64_t now_us)
{
  eg_log (EG_LOG_INFO, "call",
          "event=request-resent request=%.*s cause=%s ended_by=%s "
          "silent_ms=%" PRId64 " waited_ms=%" PRId64 " sends=%u events=%" PRIu64
          " left_ms=%" PRId64,
          EG_STR_ARGS (self->headers.id), cause, ended_by,
          (self->attempt_ended_us - self->attempt.received_us) / EG_US_PER_MS,
          (now_us - self->attempt_ended_us) / EG_US_PER_MS, self->sends,
          self->relay.events, (self->deadline_us - now_us) / EG_US_PER_MS);
  if (self->head_sent)
    eg_metrics_count (&self->entry->metrics, EG_COUNT_RESUMES);
  if (self->sends > 0)
    eg_metrics_count (&self->entry->metrics, EG_COUNT_RETRIES);
}

void
eg_call_attempt_failed (struct eg_call *self, const char *cause)
{
  int64_t now_us = eg_clock_now_us ();
  struct eg_resend_context context;
  enum eg_resend_limit limit;

  end_attempt (self);
  eg_event_relay_restart (&self->relay);
  self->cause = cause;
  self->attempt_ended_us = now_us;
  context = get_resend_context (self, now_us);
  limit = eg_resend_check (&context);
  if (limit == EG_LIMIT_NONE && self->head_sent
      && eg_resend_pause_us (self->refusals_in_row) > 0)
    limit = EG_LIMIT_REFUSALS;
  if (limit == EG_LIMIT_NONE)
    begin_attempt (self, now_us);
  else
    cannot_send (self, cause, limit);
}

static enum eg_crash_ruling
judge_crashes (const struct eg_call *self, int64_t now_us)
{
  return eg_crash_watch_judge (&self->entry->crash_watch, &self->subjects,
                               now_us)
      .ruling;
}

/* API keys are checked again for each attempt, because the configuration may
 * have become too old in the meantime. */
bool
eg_call_may_use_key (const struct eg_call *self, int64_t now_us)
{
  return !self->needs_key || eg_entry_keys_are_fresh (self->entry, now_us);
}

/* Chooses where a request is sent in place of an attempt, and takes a retry
 * from the budget; false if it is not. An attempt without a connection is no
 * reason to hold the request: it has not been sent. */
static bool
choose_replacement (struct eg_call *self,
                    const char *cause,
                    int64_t now_us,
                    struct eg_call_target *target)
{
  bool is_unsent = !eg_exchange_is_connected (&self->attempt.exchange);

  if (is_unsent)
    eg_call_undo_trial (self);
  if (judge_crashes (self, now_us) <= EG_CRASH_TRY
      && choose_target (self, &self->entry->peer_paths, now_us, target)
      && spend_retry (self, cause, now_us))
    return true;
  if (is_unsent)
    eg_crash_watch_sent (&self->entry->crash_watch, &self->subjects,
                         self->attempt.started_us);
  return false;
}

bool
eg_call_replace_attempt (struct eg_call *self, const char *cause)
{
  int64_t now_us = eg_clock_now_us ();
  struct eg_resend_context context = get_resend_context (self, now_us);
  struct eg_call_target target;

  context.in_flight = true;
  if (eg_resend_decide (&context) != EG_RESEND
      || !eg_call_may_use_key (self, now_us)
      || !choose_replacement (self, cause, now_us, &target))
    return false;
  if (!eg_exchange_is_connected (&self->attempt.exchange))
    eg_call_undo_send (self);
  else if (self->attempt.by_peer)
    self->servers_used_by_peers += self->attempt.peer_servers_max;
  end_attempt (self);
  eg_event_relay_restart (&self->relay);
  self->attempt_ended_us = now_us;
  log_retry (self, cause, "vm", now_us);
  start_on_target (self, &target, true, now_us);
  return true;
}

/* Returns why no server takes the request. */
static enum eg_resend_limit
find_missing_room (const struct eg_call *self, int64_t now_us)
{
  bool limited;

  return eg_server_limits_wait_us (self->entry, self->service, now_us, &limited)
                     > 0
                 && limited
             ? EG_LIMIT_SERVER_LIMITS
             : EG_LIMIT_NO_SERVER;
}

/* A request that finds neither a server nor a peer waits a moment if this VM
 * has only just begun to need peers, also for this request. */
static bool
may_ask_peers (const struct eg_call *self,
               const struct eg_peer_choice *peers,
               int64_t now_us)
{
  return !self->is_from_peer && !self->head_sent && peers->needed_us == now_us
         && eg_peer_choice_may_learn (peers, now_us);
}

/* Returns the step of a request that cannot be sent. */
static struct eg_call_step
give_up_step (const char *cause, enum eg_resend_limit limit)
{
  return (struct eg_call_step){
      .action = EG_CALL_GIVES_UP, .cause = cause, .limit = limit};
}

struct eg_call_step
eg_call_decide (struct eg_call *self,
                struct eg_peer_paths *peers,
                int64_t now_us)
{
  struct eg_call_step step = {.action = EG_CALL_SENDS};
  enum eg_crash_ruling ruling = judge_crashes (self, now_us);

  if (!eg_call_service (self))
    return give_up_step ("service-removed", EG_LIMIT_NO_SERVICE);
  if (!eg_call_may_use_key (self, now_us))
    return give_up_step ("keys-too-old", EG_LIMIT_KEYS);
  if (ruling == EG_CRASH_REFUSE)
    return give_up_step ("quarantined", EG_LIMIT_QUARANTINED);
  if (ruling == EG_CRASH_HOLD)
    {
      /* The outcome of a trial is not waited for long. */
      if (self->head_sent || now_us - self->arrived_us >= TRIAL_WAIT_MAX_US)
        return give_up_step ("trial", EG_LIMIT_TRIAL);
      step.action = EG_CALL_HOLDS;
      step.cause = "trial";
    }
  else if (!choose_target (self, peers, now_us, &step.target))
    {
      if (!may_ask_peers (self, &peers->choice, now_us))
        return give_up_step ("no-server", find_missing_room (self, now_us));
      step.action = EG_CALL_ASKS_PEERS;
      step.cause = "asks-peers";
    }
  return step;
}

static void
begin_attempt (struct eg_call *self, int64_t now_us)
{
  struct eg_call_step step =
      eg_call_decide (self, &self->entry->peer_paths, now_us);
  bool is_retry = self->sends > 0;

  switch (step.action)
    {
    case EG_CALL_GIVES_UP:
      if (step.limit == EG_LIMIT_QUARANTINED)
        eg_metrics_count (&self->entry->metrics, EG_COUNT_QUARANTINED);
      cannot_send (self, step.cause, step.limit);
      return;
    case EG_CALL_HOLDS:
      self->resume_us = now_us + WAIT_INTERVAL_US;
      return;
    case EG_CALL_ASKS_PEERS:
      self->tried_peer_count = 0;
      self->resume_us = now_us + PEER_WAIT_US;
      return;
    case EG_CALL_SENDS:
      break;
    }
  if (is_retry && !spend_retry (self, self->cause, now_us))
    {
      cannot_send (self, self->cause, EG_LIMIT_RETRY_BUDGET);
      return;
    }
  if (self->tries > 0)
    log_retry (self, self->cause, self->attempt.by_peer ? "peer" : "server",
               now_us);
  start_on_target (self, &step.target, is_retry, now_us);
}

const struct eg_route *
eg_call_find_route (const struct eg_call *self)
{
  struct eg_str path = eg_http_head_target (self->head);

  path = eg_str_cut (&path, '?');
  return eg_configuration_route (self->configuration, self->headers.host, path);
}

void
eg_call_set_route (struct eg_call *self, const struct eg_route *route)
{
  self->route = *route;
  self->servers_max = route->servers_max;
  self->needs_key = self->configuration->has_organisations && !route->is_public;
  self->priority = route->priority;
}

void
eg_call_set_organisation (struct eg_call *self,
                          const struct eg_organisation *organisation)
{
  self->organisation = organisation->name;
  if (organisation->priority >= 0)
    self->priority = (unsigned) organisation->priority;
}

bool
eg_call_check_key (struct eg_call *self,
                   const struct eg_configuration *configuration,
                   const struct eg_organisation **organisation)
{
  struct eg_str key =
      self->headers.key_repeated ? EG_STR ("") : self->headers.key;

  switch (eg_configuration_rule_on_key (configuration, key, organisation))
    {
    case EG_KEY_UNKNOWN:
      eg_call_reject (self, 401, "key-unknown");
      return false;
    case EG_KEY_UNDECIDED:
      eg_call_refuse (self, "key-undecided", EG_RETRY_AFTER_CONFIGURATION_MS);
      return false;
    default:
      return true;
    }
}

/* Determines the organisation; false if the request was answered with an
 * error. */
static bool
identify (struct eg_call *self, int64_t now_us)
{
  const struct eg_organisation *organisation;

  if (!self->needs_key)
    return true;
  if (!eg_call_may_use_key (self, now_us))
    {
      eg_call_refuse (self, "keys-too-old", EG_RETRY_AFTER_CONFIGURATION_MS);
      return false;
    }
  if (!eg_call_check_key (self, self->configuration, &organisation))
    return false;
  eg_call_set_organisation (self, organisation);
  return true;
}

/* Reads the parts of the prompt twice: first for their number. */
static void
set_parts (struct eg_call *self)
{
  struct eg_str text = self->headers.parts;
  size_t count = 0;
  uint64_t id;

  while (eg_prompt_parts_next (&text, &id))
    count++;
  if (count > 0)
    {
      self->parts = calloc (count, sizeof *self->parts);
      EG_INVARIANT (self->parts);
    }
  text = self->headers.parts;
  for (size_t i = 0; i < count; i++)
    eg_prompt_parts_next (&text, &self->parts[i]);
  self->subjects.parts = self->parts;
  self->subjects.part_count = count;
}

/* The id is left out: it differs for each copy of a request. */
static void
set_subjects (struct eg_call *self)
{
  uint64_t hash = eg_quarantine_fingerprint (
      self->organisation, eg_http_head_target (self->head), self->body);

  hash = eg_hash_add (hash, self->headers.host);
  hash = eg_hash_add (hash, eg_str_from (self->head->method));
  self->subjects.request = eg_hash_mix (hash);
  set_parts (self);
}

static void
set_deadline (struct eg_call *self)
{
  int64_t timeout_us = self->route.timeout_us;

  if (self->headers.timeout_us >= 0 && self->headers.timeout_us < timeout_us)
    timeout_us = self->headers.timeout_us;
  self->deadline_us = self->arrived_us + timeout_us;
}

void
eg_call_prepare (struct eg_call *self)
{
  uint32_t service;

  set_subjects (self);
  set_deadline (self);
  if (self->priority > PRIORITY_CLASS_MAX)
    self->priority = PRIORITY_CLASS_MAX;
  service =
      eg_route_choose (&self->route, eg_random_next (&self->entry->random));
  self->service = self->configuration->services[service].name;
}

/* Returns why this VM does not take a request that another one has sent, or
 * NULL. A request is not served by an older configuration than its first VM
 * has. */
static const char *
find_hop_refusal (const struct eg_call *self,
                  const struct eg_hop_headers *hop,
                  int64_t now_us)
{
  const char *refusal =
      eg_peer_paths_refusal (&self->entry->peer_paths, now_us);

  if (refusal)
    return refusal;
  return self->entry->configuration.current->version < hop->configuration
             ? "configuration-behind"
             : NULL;
}

static void
start (struct eg_call *self, const struct eg_hop_headers *hop, int64_t now_us)
{
  const struct eg_route *route;
  const char *refusal = hop ? find_hop_refusal (self, hop, now_us) : NULL;

  if (refusal)
    {
      eg_call_refuse (self, refusal, EG_RETRY_AFTER_SERVER_MS);
      return;
    }
  if (!eg_entry_has_configuration (self->entry))
    {
      eg_call_refuse (self, "no-configuration",
                      EG_RETRY_AFTER_CONFIGURATION_MS);
      return;
    }
  if (self->headers.id.len == 0 || self->headers.host.len == 0)
    {
      eg_call_reject (self, 400, "no-id-or-host");
      return;
    }
  self->configuration =
      eg_configuration_ref (self->entry->configuration.current);
  route = eg_call_find_route (self);
  if (!route)
    {
      eg_call_reject (self, 404, "no-route");
      return;
    }
  eg_call_set_route (self, route);
  if (route->unusable)
    {
      eg_call_refuse (self, "route-unusable", EG_RETRY_AFTER_CONFIGURATION_MS);
      return;
    }
  if (hop && hop->servers_max < self->servers_max)
    self->servers_max = hop->servers_max;
  if (!identify (self, now_us))
    return;
  eg_call_prepare (self);
  self->is_credited = !hop || hop->is_credited;
  if (self->is_credited)
    eg_retry_window_request (
        &eg_entry_service (self->entry, self->service)->retries, now_us);
  if (!eg_call_wait_arrive (self, now_us))
    begin_attempt (self, now_us);
}

void
eg_call_start (struct eg_call *self,
               const struct eg_http_head *head,
               struct eg_str body,
               const struct eg_hop_headers *hop)
{
  int64_t now_us = eg_clock_now_us ();

  self->active = true;
  self->head = head;
  self->body = body;
  self->arrived_us = now_us;
  self->first_event_us = 0;
  self->longest_gap_us = 0;
  self->sends = 0;
  self->refusals = 0;
  self->refusals_in_row = 0;
  self->tries = 0;
  self->moves = 0;
  self->cause = "";
  self->limit = EG_LIMIT_NONE;
  self->waiting = false;
  self->wait = (struct eg_call_wait){0};
  self->may_have_run = false;
  self->is_from_peer = hop != NULL;
  self->is_credited = false;
  self->lent_server = hop ? hop->lent_server : EG_STR ("");
  self->tried_peer_count = 0;
  self->servers_used_by_peers = 0;
  self->peer_retry_after_us = 0;
  *self->peer_name = '\0';
  self->attempt.by_peer = false;
  self->head_sent = false;
  self->response_status = 0;
  self->subjects = (struct eg_crash_subjects){0};
  drop_configuration (self);
  eg_request_headers_decode (&self->headers, head);
  eg_event_relay_finish (&self->relay);
  eg_event_relay_init (&self->relay, self->headers.last_event_id);
  start (self, hop, now_us);
}

void
eg_call_abort (struct eg_call *self)
{
  self->limit = EG_LIMIT_STOPPING;
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
  int64_t waited_us = now_us - self->attempt.started_us;
  int64_t timeout_us = self->route.latency_goal_us * SLOW_LATENCY_GOALS;
  int64_t half_us = (self->deadline_us - self->arrived_us) / 2;
  struct eg_backend *slow;

  if (timeout_us > half_us)
    timeout_us = half_us;
  if (!eg_call_is_repeatable (self) || self->sends > 1 || self->head_sent
      || waited_us < timeout_us)
    return;
  /* The call may end here. */
  slow = eg_call_first_server (self);
  eg_backend_ref (slow);
  if (eg_call_replace_attempt (self, "server-slow"))
    eg_backend_record_fault (slow, EG_SERVER_FAULT_ERROR_STATUS,
                             self->active ? self->headers.id : EG_STR ("-"),
                             now_us);
  eg_backend_unref (slow);
}

/* Ends an attempt that gets no connection: at once if this VM has found out
 * that it reaches no server. */
static void
check_connecting (struct eg_call *self, int64_t now_us)
{
  bool by_peer = self->attempt.by_peer;

  if (now_us - self->attempt.started_us < CONNECT_TIMEOUT_US
      && (by_peer || !eg_server_reach_is_lost (&self->entry->fleet.reach)))
    return;
  eg_exchange_cancel (&self->attempt.exchange);
  if (by_peer)
    eg_call_hop_not_connected (self);
  else
    on_failed (self, EG_EXCHANGE_UNREACHABLE);
}

void
eg_call_check (struct eg_call *self, int64_t now_us)
{
  if (!self->active)
    return;
  if (now_us >= self->deadline_us)
    {
      cannot_send (self, "deadline", EG_LIMIT_DEADLINE);
      return;
    }
  if (!self->attempt.active)
    {
      if (now_us >= self->resume_us)
        begin_attempt (self, now_us);
      return;
    }
  if (!eg_exchange_is_connected (&self->attempt.exchange))
    {
      check_connecting (self, now_us);
      return;
    }
  if (self->attempt.by_peer)
    eg_call_check_hop (self, now_us);
  else if (self->route.kind == EG_ROUTE_STREAM)
    eg_call_check_stream (self, now_us);
  else
    check_plain (self, now_us);
}
