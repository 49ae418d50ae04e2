#include "entry/call_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

/* Silence of a stream from which its engine is asked for the cause: several
 * passes long, and well below the pause that callers bear. */
#define STREAM_SILENCE_US (150 * EG_US_PER_MS)
/* The same before the first event, when the prompt has to be read. */
#define FIRST_SILENCE_US (180 * EG_US_PER_MS)
/* Silence after which a stream moves on even if no engine names a cause:
 * callers leave after 2 s. */
#define STREAM_GIVE_UP_US (1300 * EG_US_PER_MS)
/* Moves of one request within one run. */
#define MOVES_MAX 4
/* Orders of one run that may be refused: several servers die at once, and each
 * refusal names one of them. */
#define MOVE_REFUSALS_MAX 4
/* A refusal is a few fields. */
#define MOVE_BODY_MAX 4096
/* An order to move is answered within milliseconds; a stream that waits for one
 * longer than this is late anyway. */
#define MOVE_TIMEOUT_US (300 * EG_US_PER_MS)
/* Tokens of one event of an engine's stream, as the users' sheets tell. */
#define TOKENS_PER_EVENT 2
/* A leaving server goes on for two seconds at least: streams that take longer
 * than this are moved before. */
#define LEAVING_PATIENCE_US (1200 * EG_US_PER_MS)

/* What is wrong with the path of the present send. */
enum path_state
{
  PATH_SOUND,
  PATH_LEAVING, /**< A server behind the first is leaving. */
  PATH_BROKEN,  /**< A server behind the first is suspected. */
  HEAD_LEAVING,
  HEAD_BROKEN,
};

void
eg_attempt_cancel_move (struct eg_attempt *send)
{
  eg_exchange_cancel (&send->move);
  if (send->moving)
    eg_attempt_release_placement (send, &send->next);
  send->moving = false;
}

static enum path_state
look_at_path (const struct eg_call *self, int64_t now_us)
{
  enum path_state state = PATH_SOUND;

  for (uint32_t i = 0; i < self->send.place.count; i++)
    {
      const struct eg_backend *backend = self->send.place.stages[i];
      enum path_state found = PATH_SOUND;

      if (eg_backend_is_suspect (backend, now_us))
        found = i == 0 ? HEAD_BROKEN : PATH_BROKEN;
      else if (backend->draining_us > 0)
        found = i == 0 ? HEAD_LEAVING : PATH_LEAVING;
      if (found > state)
        state = found;
    }
  return state;
}

static void
move_failed (struct eg_call *self, const char *cause)
{
  eg_attempt_cancel_move (&self->send);
  /* A path that is merely left still serves what it has begun. */
  if (look_at_path (self, eg_clock_now_us ()) >= PATH_BROKEN)
    eg_call_replace_attempt (self, cause);
}

static enum eg_exchange_verdict
on_move_head (void *context, const struct eg_http_head *head)
{
  struct eg_call *self = context;

  self->send.move_status = head->status;
  return EG_EXCHANGE_ACCEPT;
}

static void
on_move_body (void *context, struct eg_str bytes)
{
  struct eg_call *self = context;

  if (self->send.move_body.len + bytes.len <= MOVE_BODY_MAX)
    eg_buffer_append (&self->send.move_body, bytes);
}

static bool begin_move (struct eg_call *self, int64_t now_us);

/* A path that could not be taken names the server at fault: another one may be
 * found without it. */
static void
move_refused (struct eg_call *self, int64_t now_us)
{
  struct eg_attempt *send = &self->send;
  struct eg_endpoint endpoint;
  struct eg_backend *culprit = NULL;

  if (eg_order_refusal_decode (eg_buffer_view (&send->move_body), &endpoint))
    culprit = eg_fleet_find_by_endpoint (&self->entry->fleet, endpoint);
  if (culprit)
    {
      eg_backend_record_fault (culprit, EG_SERVER_FAULT_NO_CAPACITY,
                               self->facts.id, now_us);
      eg_backend_probe (culprit, now_us);
    }
  eg_attempt_cancel_move (send);
  if (!culprit || ++send->move_refusals > MOVE_REFUSALS_MAX
      || !begin_move (self, now_us))
    move_failed (self, "move-refused");
}

static void
on_move_done (void *context)
{
  struct eg_call *self = context;
  struct eg_attempt *send = &self->send;
  bool moved = send->move_status == 200 || send->move_status == 202;

  eg_log (EG_LOG_INFO, "call",
          "event=request-moved request=%.*s status=%u stages=%u events=%" PRIu64
          " took_ms=%" PRId64,
          EG_STR_ARGS (self->facts.id), send->move_status, send->next.count,
          self->relay.events,
          (eg_clock_now_us () - send->move_us) / EG_US_PER_MS);
  if (!moved)
    {
      move_refused (self, eg_clock_now_us ());
      return;
    }
  eg_attempt_release_placement (send, &send->place);
  send->place = send->next;
  send->next.count = 0;
  send->moving = false;
  self->moves++;
  eg_metrics_count (&self->entry->metrics, EG_COUNT_REPATHS);
}

static void
on_move_failed (void *context, enum eg_exchange_fault fault)
{
  struct eg_call *self = context;

  (void) fault; /* Whether the order is carried out or not, another run is. */
  move_failed (self, "move-lost");
}

static const struct eg_exchange_events move_events = {
    on_move_head, on_move_body, on_move_done, on_move_failed};

/* Orders the first server to go on by another path; false if there is none. */
static bool
begin_move (struct eg_call *self, int64_t now_us)
{
  const struct eg_service_config *service = eg_call_service (self);
  struct eg_attempt *send = &self->send;
  struct eg_backend *head = eg_call_first_server (self);
  struct eg_exchange_request request = {.endpoint = head->entry.endpoint,
                                        .fresh = true};
  struct eg_buffer path = {0};
  struct eg_buffer body = {0};
  struct eg_buffer text = {0};
  struct eg_placement_request need;

  if (!service || self->moves >= MOVES_MAX)
    return false;
  need = eg_call_placement_request (self, service);
  if (!eg_placement_move (self->entry, &need, &send->place, now_us,
                          &send->next))
    return false;
  eg_attempt_hold_placement (send, &send->next);
  send->moving = true;
  send->move_us = now_us;
  eg_call_write_path (&send->next, &path);
  eg_order_write_repath (&body, self->facts.id, eg_buffer_view (&path));
  eg_request_write_own (&text, "POST", eg_order_path,
                        eg_str_from (head->entry.id), body.len);
  request.head = eg_buffer_view (&text);
  request.body = eg_buffer_view (&body);
  eg_buffer_clear (&send->move_body);
  eg_exchange_init (&send->move, &move_events, self);
  if (!eg_exchange_start (&send->move, &self->entry->pool, &request))
    eg_attempt_cancel_move (send);
  eg_buffer_finish (&path);
  eg_buffer_finish (&body);
  eg_buffer_finish (&text);
  return send->moving;
}

/* Tells whether a stream has so much left that its servers may end first. */
static bool
has_long_to_go (const struct eg_call *self, int64_t now_us)
{
  int64_t ran_us = now_us - self->first_event_us;
  uint64_t expected = self->facts.answer_tokens_max / TOKENS_PER_EVENT;

  if (self->first_event_us == 0 || self->relay.events == 0)
    return true;
  if (expected <= self->relay.events)
    return false;
  return (int64_t) (expected - self->relay.events) * ran_us
         > LEAVING_PATIENCE_US * (int64_t) self->relay.events;
}

void
eg_call_servers_changed (struct eg_call *self, int64_t now_us)
{
  enum path_state state;

  if (!self->send.active || self->send.moving
      || self->route.kind != EG_ROUTE_STREAM)
    return;
  state = look_at_path (self, now_us);
  if (state == PATH_SOUND || state == HEAD_LEAVING
      || (state == PATH_LEAVING && !has_long_to_go (self, now_us)))
    return;
  if ((state == PATH_BROKEN || state == PATH_LEAVING)
      && begin_move (self, now_us))
    return;
  /* A leaving server serves what it has begun; only a broken path is left. */
  if (state == PATH_BROKEN || state == HEAD_BROKEN)
    eg_call_replace_attempt (self, "stage-suspect");
}

/* Asks every server of the path whether it is there: a dead one refuses the
 * connection at once, long before an engine or the store would tell. */
static void
probe_path (struct eg_call *self, int64_t now_us)
{
  for (uint32_t i = 0; i < self->send.place.count; i++)
    eg_backend_probe (self->send.place.stages[i], now_us);
}

void
eg_call_check_stream (struct eg_call *self, int64_t now_us)
{
  struct eg_attempt *send = &self->send;
  int64_t silence_us = now_us - send->heard_us;
  int64_t limit_us =
      self->relay.run_begun ? STREAM_SILENCE_US : FIRST_SILENCE_US;

  if (silence_us < limit_us)
    return;
  if (silence_us >= STREAM_GIVE_UP_US)
    {
      eg_call_replace_attempt (self, "stream-silent");
      return;
    }
  if (send->moving)
    {
      if (now_us - send->move_us >= MOVE_TIMEOUT_US)
        on_move_failed (self, EG_EXCHANGE_NO_ANSWER);
      return;
    }
  if (look_at_path (self, now_us) >= PATH_BROKEN)
    eg_call_servers_changed (self, now_us);
  else
    probe_path (self, now_us);
}

void
eg_call_stream_stalled (struct eg_call *self,
                        const struct eg_stalled_stream *stalled,
                        int64_t now_us)
{
  if (stalled->names_culprit)
    {
      struct eg_backend *culprit =
          eg_fleet_find_by_endpoint (&self->entry->fleet, stalled->culprit);

      if (culprit)
        eg_backend_record_fault (culprit, EG_SERVER_FAULT_REPORTED,
                                 self->facts.id, now_us);
    }
  /* The report is late by its lag: the stream may have moved on since. */
  if (now_us - self->send.heard_us < STREAM_SILENCE_US || self->send.moving)
    return;
  if (!stalled->names_culprit || !begin_move (self, now_us))
    eg_call_replace_attempt (self, "stream-stalled");
}
