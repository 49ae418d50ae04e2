#include "entry/call_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

/* Time without events after which the servers of a stream are probed:
 * several forward passes, and far below the gap that clients tolerate. */
#define STREAM_SILENCE_US (150 * EG_US_PER_MS)
/* The same before the first event, while the prompt is processed. */
#define FIRST_SILENCE_US (180 * EG_US_PER_MS)
/* Time without events after which a stream is retried even if no engine
 * reports a cause. Clients give up after 2 s. */
#define STREAM_TIMEOUT_US (1300 * EG_US_PER_MS)
/* Maximum number of moves per request, over all its attempts. */
#define MOVES_MAX 4
/* Maximum number of refused moves per attempt: several servers may fail at
 * once, and each refusal names one of them. */
#define MOVE_REFUSALS_MAX 4
/* Maximum size of a refusal, which consists of a few fields. */
#define MOVE_BODY_MAX 4096
/* Time-out of a move request, which is normally answered within
 * milliseconds; after that the stream is late in any case. */
#define MOVE_TIMEOUT_US (300 * EG_US_PER_MS)
/* Tokens per event of an engine's stream, as in the users' data sheets. */
#define TOKENS_PER_EVENT 2
/* A draining server runs for at least two more seconds. Streams whose expected
 * remaining time exceeds this value, well below the two seconds, are moved
 * away. */
#define DRAIN_TIME_MIN_US (1200 * EG_US_PER_MS)

/* State of the path of the current attempt, in order of severity. */
enum path_state
{
  PATH_HEALTHY,
  PATH_DRAINING, /**< A server after the first one is draining. */
  FIRST_DRAINING,
  PATH_SUSPECT, /**< A server after the first one is suspect. */
  FIRST_SUSPECT,
};

struct path_check
{
  enum path_state state;
  enum eg_run_doubt doubt; /**< If a server is suspect. */
};

void
eg_attempt_cancel_move (struct eg_attempt *attempt)
{
  eg_exchange_cancel (&attempt->move);
  if (attempt->moving)
    eg_attempt_release_placement (attempt, &attempt->next_placement);
  attempt->moving = false;
}

/* Returns whether stage @p i of a path is suspect for its run. The connection
 * to the first server ends with its process, so that its refusal of new
 * connections while it leaves says nothing about the run. */
static bool
is_stage_suspect (const struct eg_backend *backend, uint32_t i, int64_t now_us)
{
  return eg_backend_is_suspect (backend, now_us)
         && (i > 0 || !eg_backend_refuses_while_leaving (backend, now_us));
}

static struct path_check
check_path (const struct eg_call *self, int64_t now_us)
{
  struct path_check check = {PATH_HEALTHY, EG_DOUBT_SERVER_SUSPECT};

  for (uint32_t i = 0; i < self->attempt.placement.count; i++)
    {
      const struct eg_backend *backend = self->attempt.placement.stages[i];
      enum path_state found = PATH_HEALTHY;

      if (is_stage_suspect (backend, i, now_us))
        found = i == 0 ? FIRST_SUSPECT : PATH_SUSPECT;
      else if (backend->draining_us > 0)
        found = i == 0 ? FIRST_DRAINING : PATH_DRAINING;
      if (found > check.state)
        check.state = found;
      /* The connection to the first server ends with its process. */
      if (i > 0 && eg_backend_has_ended (backend, now_us))
        check.doubt = EG_DOUBT_SERVER_ENDED;
    }
  return check;
}

/* Returns whether the servers of the path are suspect and the run itself gives
 * no sign to the contrary. */
static bool
is_broken (const struct eg_call *self, struct path_check check, int64_t now_us)
{
  return check.state >= PATH_SUSPECT
         && !eg_run_progress_is_live (&self->attempt.progress, check.doubt,
                                      now_us);
}

static void
move_failed (struct eg_call *self, const char *cause)
{
  int64_t now_us = eg_clock_now_us ();

  eg_attempt_cancel_move (&self->attempt);
  /* Draining servers still complete the requests they have started. */
  if (is_broken (self, check_path (self, now_us), now_us))
    eg_call_replace_attempt (self, cause);
}

static enum eg_exchange_verdict
on_move_head (void *context, const struct eg_http_head *head)
{
  struct eg_call *self = context;
  struct eg_server_notice notice = eg_server_notice_decode (head);

  eg_backend_notice (eg_call_first_server (self), &notice, eg_clock_now_us ());
  self->attempt.move_status = head->status;
  return EG_EXCHANGE_ACCEPT;
}

static void
on_move_body (void *context, struct eg_str bytes)
{
  struct eg_call *self = context;

  if (self->attempt.move_body.len + bytes.len <= MOVE_BODY_MAX)
    eg_buffer_append (&self->attempt.move_body, bytes);
}

static bool begin_move (struct eg_call *self, int64_t now_us);

/* The refusal names the server at fault; look for another path without it. */
static void
move_refused (struct eg_call *self, int64_t now_us)
{
  struct eg_attempt *attempt = &self->attempt;
  struct eg_endpoint endpoint;
  struct eg_backend *faulty_server = NULL;

  if (eg_order_refusal_decode (eg_buffer_view (&attempt->move_body), &endpoint))
    faulty_server = eg_fleet_find_by_endpoint (&self->entry->fleet, endpoint);
  if (faulty_server)
    {
      eg_backend_record_fault (faulty_server, EG_SERVER_FAULT_NO_CAPACITY,
                               self->headers.id, now_us);
      eg_backend_probe (faulty_server, now_us);
    }
  eg_attempt_cancel_move (attempt);
  if (!faulty_server || ++attempt->move_refusals > MOVE_REFUSALS_MAX
      || !begin_move (self, now_us))
    move_failed (self, "move-refused");
}

static void
on_move_done (void *context)
{
  struct eg_call *self = context;
  struct eg_attempt *attempt = &self->attempt;
  bool moved = attempt->move_status == 200 || attempt->move_status == 202;

  eg_log (EG_LOG_INFO, "call",
          "event=request-moved request=%.*s status=%u stages=%u events=%" PRIu64
          " took_ms=%" PRId64,
          EG_STR_ARGS (self->headers.id), attempt->move_status,
          attempt->next_placement.count, self->relay.events,
          (eg_clock_now_us () - attempt->move_started_us) / EG_US_PER_MS);
  if (!moved)
    {
      move_refused (self, eg_clock_now_us ());
      return;
    }
  eg_attempt_release_placement (attempt, &attempt->placement);
  attempt->placement = attempt->next_placement;
  attempt->next_placement.count = 0;
  attempt->moving = false;
  self->moves++;
  eg_metrics_count (&self->entry->metrics, EG_COUNT_REPATHS);
}

static void
on_move_failed (void *context, enum eg_exchange_fault fault)
{
  struct eg_call *self = context;

  (void) fault; /* A new attempt is safe whether or not the engine has moved
                 * the stream. */
  move_failed (self, "move-lost");
}

static const struct eg_exchange_events move_events = {
    on_move_head, on_move_body, on_move_done, on_move_failed};

/* Asks the first server to continue on another path; false if there is none. */
static bool
begin_move (struct eg_call *self, int64_t now_us)
{
  const struct eg_service_config *service = eg_call_service (self);
  struct eg_attempt *attempt = &self->attempt;
  struct eg_backend *first = eg_call_first_server (self);
  struct eg_exchange_request request = {.endpoint = first->record.endpoint,
                                        .fresh = true};
  struct eg_buffer path = {0};
  struct eg_buffer body = {0};
  struct eg_buffer text = {0};
  struct eg_placement_request placement_request;

  if (!service || self->moves >= MOVES_MAX
      || eg_server_room_is_paused (&first->room, now_us)
      || !eg_server_limits_may_send (self->entry, first, now_us))
    return false;
  placement_request = eg_call_placement_request (self, service);
  if (!eg_placement_move (self->entry, &placement_request, &attempt->placement,
                          now_us, &attempt->next_placement))
    return false;
  eg_attempt_hold_placement (attempt, &attempt->next_placement);
  eg_server_rate_spend (&first->rate);
  attempt->moving = true;
  attempt->move_started_us = now_us;
  eg_call_write_path (&attempt->next_placement, &path);
  eg_order_write_repath (&body, self->headers.id, eg_buffer_view (&path));
  eg_request_write_own (&text, "POST", eg_order_path,
                        eg_str_from (first->record.id), body.len);
  request.head = eg_buffer_view (&text);
  request.body = eg_buffer_view (&body);
  eg_buffer_clear (&attempt->move_body);
  eg_exchange_init (&attempt->move, &move_events, self);
  if (!eg_exchange_start (&attempt->move, &self->entry->pool, &request))
    eg_attempt_cancel_move (attempt);
  eg_buffer_finish (&path);
  eg_buffer_finish (&body);
  eg_buffer_finish (&text);
  return attempt->moving;
}

/* Returns whether a stream may outlast its draining servers. */
static bool
may_outlast_servers (const struct eg_call *self, int64_t now_us)
{
  int64_t ran_us = now_us - self->first_event_us;
  uint64_t expected = self->headers.answer_tokens_max / TOKENS_PER_EVENT;

  if (self->first_event_us == 0 || self->relay.events == 0)
    return true;
  if (expected <= self->relay.events)
    return false;
  return (int64_t) (expected - self->relay.events) * ran_us
         > DRAIN_TIME_MIN_US * (int64_t) self->relay.events;
}

void
eg_call_servers_changed (struct eg_call *self, int64_t now_us)
{
  struct path_check check;
  bool broken;
  bool leaving;

  if (!self->attempt.active || self->attempt.moving
      || self->route.kind != EG_ROUTE_STREAM)
    return;
  check = check_path (self, now_us);
  broken = is_broken (self, check, now_us);
  leaving = check.state == PATH_DRAINING && may_outlast_servers (self, now_us);
  if ((leaving || (broken && check.state == PATH_SUSPECT))
      && begin_move (self, now_us))
    return;
  /* A draining server completes its requests; only a broken path is
   * abandoned. */
  if (broken)
    eg_call_replace_attempt (self, "stage-suspect");
}

/* Probes the servers of the path, but for those that have shown since the last
 * event that they run. A dead one refuses the connection at once, long before
 * an engine or the store would report it. */
static void
probe_path (struct eg_call *self, int64_t now_us)
{
  const struct eg_attempt *attempt = &self->attempt;
  uint32_t count = attempt->placement.count;
  uint32_t start = (uint32_t) eg_random_below (&self->entry->random, count);

  /* VMs with a small share of probes begin at different servers. */
  for (uint32_t i = 0; i < count; i++)
    {
      struct eg_backend *backend =
          attempt->placement.stages[(start + i) % count];

      if (!eg_backend_is_seen (backend, attempt->received_us))
        eg_backend_probe (backend, now_us);
    }
}

void
eg_call_check_stream (struct eg_call *self, int64_t now_us)
{
  struct eg_attempt *attempt = &self->attempt;
  int64_t silence_us = now_us - attempt->received_us;
  int64_t probe_after_us =
      attempt->progress.begun ? STREAM_SILENCE_US : FIRST_SILENCE_US;

  if (eg_exchange_is_paused (&attempt->exchange)
      || eg_run_progress_is_live (&attempt->progress, EG_DOUBT_SERVER_ENDED,
                                  now_us)
      || (!attempt->progress.begun && silence_us < FIRST_SILENCE_US))
    return;
  if (silence_us >= STREAM_TIMEOUT_US)
    {
      eg_call_replace_attempt (self, "stream-silent");
      return;
    }
  if (attempt->moving)
    {
      if (now_us - attempt->move_started_us >= MOVE_TIMEOUT_US)
        on_move_failed (self, EG_EXCHANGE_NO_ANSWER);
      return;
    }
  if (check_path (self, now_us).state >= PATH_SUSPECT)
    eg_call_servers_changed (self, now_us);
  else if (silence_us >= probe_after_us)
    probe_path (self, now_us);
}

void
eg_call_stream_stalled (struct eg_call *self,
                        const struct eg_stalled_stream *stalled,
                        int64_t now_us)
{
  if (stalled->has_faulty_server)
    {
      struct eg_backend *faulty_server = eg_fleet_find_by_endpoint (
          &self->entry->fleet, stalled->faulty_server);

      if (faulty_server)
        eg_backend_record_fault (faulty_server, EG_SERVER_FAULT_REPORTED,
                                 self->headers.id, now_us);
    }
  /* Reports lag, so the stream may have continued since. */
  if (now_us - self->attempt.received_us < STREAM_SILENCE_US
      || self->attempt.moving)
    return;
  if (!stalled->has_faulty_server || !begin_move (self, now_us))
    eg_call_replace_attempt (self, "stream-stalled");
}
