/* Tests of requests that wait for room before they begin, with a real daemon.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/clock.h"
#include "test/streams_fixture.h"

#define STREAM_TIMEOUT_MS 10000
/* A server that has refused is asked again after 250 ms, so that only a longer
 * wait shows whether it has room. */
#define GOAL_MS 1000
/* The longest time that a stream may wait. */
#define WAIT_MS (GOAL_MS / 2)
/* A refusal must reach its caller before the goal is over: the other half of it
 * is left for a daemon that gets no processor time meanwhile. */
#define SLACK_MS (GOAL_MS - WAIT_MS)
/* Until lines of the log are written. */
#define LOG_MS 60
/* Shortest time in which callers of streams come back. */
#define RETURN_S 2.0

static struct streams_fixture fixture;

/* The start of the fixture sends requests, too. */
static struct
{
  unsigned queued;
  unsigned off;
  unsigned expired;
} before;

static int
start (void **state, const char *settings, int retry_extra)
{
  const struct streams_options options = {.retry_ratio = 0,
                                          .retry_extra = retry_extra,
                                          .retry_window_ms = 60000,
                                          .engines = 2,
                                          .stream_goal_ms = GOAL_MS,
                                          .settings = settings};

  streams_fixture_init (&fixture, &options);
  before.queued = streams_count_log (&fixture, 0, "event=request-queued");
  before.off = streams_count_log (&fixture, 0, "shedding=off");
  before.expired = streams_count_log (&fixture, 0, "shedding=expired");
  *state = &fixture;
  return 0;
}

static int
start_with_shedding (void **state)
{
  return start (state, "[shedding]\nmode = \"on\"\n", 200);
}

static int
start_with_one_place (void **state)
{
  return start (state, "[shedding]\nmode = \"on\"\nqueue_requests = 1\n", 200);
}

static int
start_without_retries (void **state)
{
  return start (state, "[shedding]\nmode = \"on\"\n", 0);
}

/* With "auto", the queue is used because the routes differ in priority. */
static int
start_with_bulk_route (void **state)
{
  const struct streams_options options = {.retry_ratio = 0,
                                          .retry_extra = 200,
                                          .retry_window_ms = 60000,
                                          .engines = 1,
                                          .stream_goal_ms = GOAL_MS,
                                          .bulk_route = true};

  streams_fixture_init (&fixture, &options);
  before.queued = streams_count_log (&fixture, 0, "event=request-queued");
  *state = &fixture;
  return 0;
}

static int
start_with_plain_server (void **state)
{
  const struct streams_options options = {.retry_ratio = 0,
                                          .retry_extra = 200,
                                          .retry_window_ms = 60000,
                                          .engines = 1,
                                          .plain = 1,
                                          .settings =
                                              "[shedding]\nmode = \"on\"\n"};

  streams_fixture_init (&fixture, &options);
  before.queued = streams_count_log (&fixture, 0, "event=request-queued");
  *state = &fixture;
  return 0;
}

/* The routes of the fixture are alike, so that the queue is not used. */
static int
start_with_defaults (void **state)
{
  return start (state, NULL, 200);
}

static int
stop (void **state)
{
  streams_fixture_finish (*state);
  return 0;
}

static void
set_full (struct streams_fixture *self, bool full)
{
  self->engines[0].full = full;
  self->engines[1].full = full;
}

static bool
first_has_begun (const struct streams_fixture *self)
{
  return self->clients[0].relay.events > 0;
}

static bool
first_has_ended (const struct streams_fixture *self)
{
  return streams_client_has_ended (self, 0);
}

static bool
first_two_have_ended (const struct streams_fixture *self)
{
  return streams_client_has_ended (self, 0)
         && streams_client_has_ended (self, 1);
}

static bool
first_waits (const struct streams_fixture *self)
{
  return streams_count_log (self, 0, "event=request-queued") > before.queued;
}

static unsigned
count_arrivals (const struct streams_fixture *self)
{
  return self->engines[0].arrivals + self->engines[1].arrivals;
}

/* Guards against a refusal although room returns within the wait. */
static void
test_stream_waits_for_room_and_is_served (void **state)
{
  struct streams_fixture *self = *state;

  set_full (self, true);
  streams_client_start (self, 0);
  streams_run (self, 80);
  assert_false (streams_client_has_ended (self, 0));
  set_full (self, false);
  assert_true (streams_wait (self, first_has_begun, WAIT_MS));
  assert_true (streams_wait (self, first_has_ended, STREAM_TIMEOUT_MS));
  assert_int_equal (self->clients[0].status, 200);
  assert_int_equal (self->clients[0].relay.events, STREAMS_EVENTS);
  streams_run (self, LOG_MS);
  assert_int_equal (streams_count_log (self, 0, "shedding=served"), 1);
}

/* Guards against a request that a server has refused and that is given up at
 * once because no retry is left. */
static void
test_stream_without_a_retry_waits_for_its_goal (void **state)
{
  struct streams_fixture *self = *state;

  set_full (self, true);
  streams_client_start (self, 0);
  assert_true (streams_wait (self, first_waits, WAIT_MS));
  assert_false (streams_client_has_ended (self, 0));
  assert_true (streams_wait (self, first_has_ended, WAIT_MS + SLACK_MS));
  assert_int_equal (self->clients[0].status, 503);
  streams_run (self, LOG_MS);
  assert_int_equal (streams_count_log (self, 0, "shedding=expired"),
                    before.expired + 1);
}

/* Guards against a wait that outlasts the goal, and a refusal that tells the
 * caller to come back before anything can have changed. */
static void
test_stream_that_finds_no_room_is_refused_in_time (void **state)
{
  struct streams_fixture *self = *state;
  int64_t started_us = eg_clock_now_us ();

  set_full (self, true);
  streams_client_start (self, 0);
  assert_true (streams_wait (self, first_has_ended, STREAM_TIMEOUT_MS));
  assert_int_equal (self->clients[0].status, 503);
  assert_in_range (eg_clock_now_us () - started_us, 0,
                   (WAIT_MS + SLACK_MS) * EG_US_PER_MS);
  assert_true (self->clients[0].retry_after_s >= RETURN_S);
  streams_run (self, LOG_MS);
  assert_int_equal (streams_count_log (self, 0, "shedding=expired"),
                    before.expired + 1);
}

/* Guards against a request that is sent for a caller that has gone. */
static void
test_waiting_stream_is_not_sent_after_its_client_left (void **state)
{
  struct streams_fixture *self = *state;
  unsigned arrivals;

  set_full (self, true);
  streams_client_start (self, 0);
  assert_true (streams_wait (self, first_waits, WAIT_MS));
  streams_client_leave (self, 0);
  streams_run (self, 40);
  arrivals = count_arrivals (self);
  set_full (self, false);
  streams_run (self, WAIT_MS + SLACK_MS);
  assert_int_equal (count_arrivals (self), arrivals);
  assert_int_equal (streams_count_runs (self), 0);
}

/* Guards against a full queue that holds more requests than its bound. */
static void
test_request_beyond_the_bound_is_refused_at_once (void **state)
{
  struct streams_fixture *self = *state;

  set_full (self, true);
  streams_client_start (self, 0);
  assert_true (streams_wait (self, first_waits, WAIT_MS));
  streams_client_start (self, 1);
  assert_true (streams_wait (self, first_two_have_ended, WAIT_MS + SLACK_MS));
  assert_int_equal (self->clients[0].status, 503);
  assert_int_equal (self->clients[1].status, 503);
  streams_run (self, LOG_MS);
  assert_int_equal (streams_count_log (self, 0, "shedding=full")
                        + streams_count_log (self, 0, "shedding=displaced"),
                    1);
}

/* Guards against a planned stop that leaves a waiting request without a
 * response. */
static void
test_waiting_stream_is_answered_when_the_daemon_stops (void **state)
{
  struct streams_fixture *self = *state;

  set_full (self, true);
  streams_client_start (self, 0);
  assert_true (streams_wait (self, first_waits, WAIT_MS));
  streams_vm_stop (self, 0);
  assert_true (streams_wait (self, first_has_ended, STREAM_TIMEOUT_MS));
  assert_false (self->clients[0].failed);
  assert_int_equal (self->clients[0].status, 503);
}

static bool
one_runs (const struct streams_fixture *self)
{
  return self->engines[0].runs > 0;
}

/* Guards against a place that goes to the request that has waited longest
 * although a more urgent one waits. */
static void
test_more_urgent_stream_gets_the_first_place (void **state)
{
  struct streams_fixture *self = *state;

  self->engines[0].full = true;
  streams_client_send (
      self, 0, &(struct streams_request){.body = "body", .path = "/bulk/x"});
  assert_true (streams_wait (self, first_waits, WAIT_MS));
  streams_client_start (self, 1);
  self->engines[0].full = false;
  assert_true (streams_wait (self, one_runs, WAIT_MS));
  self->engines[0].full = true;
  streams_run (self, WAIT_MS + SLACK_MS);
  assert_int_equal (self->engines[0].runs, 1);
  assert_int_equal (self->clients[1].status, 200);
  assert_int_equal (self->clients[0].status, 503);
}

/* Guards against a request that is sent with a key that the configuration has
 * removed while it waited. */
static void
test_waiting_request_is_not_sent_with_a_removed_key (void **state)
{
  struct streams_fixture *self = *state;
  struct streams_engine *server = &self->engines[STREAMS_ENGINES];

  server->full = true;
  streams_client_send (self, 0,
                       &(struct streams_request){
                           .plain = true, .body = "body", .path = "/keyed/x"});
  assert_true (streams_wait (self, first_waits, WAIT_MS));
  self->key = "other";
  streams_publish_configuration (self, 2);
  assert_true (streams_wait (self, first_has_ended, STREAM_TIMEOUT_MS));
  assert_int_equal (self->clients[0].status, 401);
  assert_int_equal (server->arrivals, 1);
  assert_int_equal (server->runs, 0);
}

/* Guards against a change for deployments whose routes are alike. */
static void
test_stream_of_like_routes_does_not_wait (void **state)
{
  struct streams_fixture *self = *state;

  set_full (self, true);
  streams_client_start (self, 0);
  assert_true (streams_wait (self, first_has_ended, STREAM_TIMEOUT_MS));
  assert_int_equal (self->clients[0].status, 503);
  streams_run (self, LOG_MS);
  assert_int_equal (streams_count_log (self, 0, "event=request-queued"),
                    before.queued);
  assert_int_equal (streams_count_log (self, 0, "shedding=off"),
                    before.off + 1);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown (test_stream_waits_for_room_and_is_served,
                                       start_with_shedding, stop),
      cmocka_unit_test_setup_teardown (
          test_stream_without_a_retry_waits_for_its_goal, start_without_retries,
          stop),
      cmocka_unit_test_setup_teardown (
          test_stream_that_finds_no_room_is_refused_in_time,
          start_with_shedding, stop),
      cmocka_unit_test_setup_teardown (
          test_waiting_stream_is_not_sent_after_its_client_left,
          start_with_shedding, stop),
      cmocka_unit_test_setup_teardown (
          test_request_beyond_the_bound_is_refused_at_once,
          start_with_one_place, stop),
      cmocka_unit_test_setup_teardown (
          test_waiting_stream_is_answered_when_the_daemon_stops,
          start_with_shedding, stop),
      cmocka_unit_test_setup_teardown (
          test_more_urgent_stream_gets_the_first_place, start_with_bulk_route,
          stop),
      cmocka_unit_test_setup_teardown (
          test_waiting_request_is_not_sent_with_a_removed_key,
          start_with_plain_server, stop),
      cmocka_unit_test_setup_teardown (test_stream_of_like_routes_does_not_wait,
                                       start_with_defaults, stop),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
