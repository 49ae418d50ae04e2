/* Tests of requests that crash backend servers, with real daemons. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/clock.h"
#include "test/streams_fixture.h"

/* Time after the last crash that counts within which all VMs know of it. */
#define SPREAD_MS 2000
/* Requests sent after that, which no server may receive. */
#define REPEATS 5
#define SENDS_MAX 12
/* Time until the VMs know each other. */
#define MEMBERS_READ_MS 1500
/* Time until they read again who the others are. */
#define MEMBERS_INTERVAL_MS 11500
/* From the start of a cut until its VM sends requests through the other. */
#define CUT_NOTICED_MS 1500
/* What was served longer ago is not trusted any more. */
#define LONG_CUT_MS 2500
/* Longer than a request waits to be cleared after a short run. */
#define RESTART_DELAY_MS 2500
/* Runs are shorter than those that show that a request is sound. */
#define CRASH_INTERVAL_MS 130

static struct streams_fixture fixture;

static int
start_one_vm (void **state)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = STREAMS_ENGINES,
                                          .plain = 3};

  streams_fixture_init (&fixture, &options);
  *state = &fixture;
  return 0;
}

static int
start_two_vms (void **state)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = STREAMS_ENGINES,
                                          .plain = 3,
                                          .vms = 2};

  streams_fixture_init (&fixture, &options);
  *state = &fixture;
  return 0;
}

static int
start_two_vms_with_paths (void **state)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = STREAMS_ENGINES,
                                          .plain = 3,
                                          .vms = 2,
                                          .cuts = true};

  streams_fixture_init (&fixture, &options);
  streams_run (&fixture, MEMBERS_READ_MS);
  *state = &fixture;
  return 0;
}

/* Cuts the second VM off from the servers. */
static void
cut_and_notice (struct streams_fixture *self)
{
  streams_cut (self, SOAK_CUT_RESET);
  streams_client_request (
      self, 0, &(struct streams_request){.vm = 1, .plain = true, .body = ""});
  streams_run (self, CUT_NOTICED_MS);
}

/* With a single engine, a request crashes one server and then finds none. */
static int
start_two_vms_with_one_engine (void **state)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = 1,
                                          .vms = 2};

  streams_fixture_init (&fixture, &options);
  *state = &fixture;
  return 0;
}

static int
stop (void **state)
{
  streams_fixture_finish (*state);
  return 0;
}

static void
assert_served (struct streams_fixture *self,
               const struct streams_request *request)
{
  assert_int_equal (streams_client_request (self, 1, request), 200);
  assert_true (self->clients[1].done);
  if (!request->plain)
    assert_int_equal (self->clients[1].relay.events, STREAMS_EVENTS);
}

/* Sends a request until servers have crashed under it @p crashes times. */
static void
send_until_crashed (struct streams_fixture *self,
                    const struct streams_request *request,
                    unsigned crashes)
{
  for (int i = 0; i < SENDS_MAX && self->crashes < crashes; i++)
    {
      streams_client_request (self, 0, request);
      /* Until the servers are back. */
      streams_run (self, 600);
    }
  assert_true (self->crashes >= crashes);
}

/* Requires that a request is refused at once and reaches no server. */
static void
assert_refused (struct streams_fixture *self,
                const struct streams_request *request)
{
  unsigned arrivals = self->deadly_arrivals;

  for (int i = 0; i < REPEATS; i++)
    {
      int64_t sent_us = eg_clock_now_us ();

      assert_int_equal (streams_client_request (self, 0, request), 503);
      assert_true (self->clients[0].retry_after_s > 0);
      assert_in_range (eg_clock_now_us () - sent_us, 0, 200 * EG_US_PER_MS);
    }
  assert_int_equal (self->deadly_arrivals, arrivals);
}

static void
test_stream_that_crashed_three_servers_is_not_sent_again (void **state)
{
  const struct streams_request deadly = {.body = "deadly"};
  const struct streams_request sound = {.body = "sound"};

  send_until_crashed (*state, &deadly, 3);
  streams_run (*state, SPREAD_MS);
  assert_refused (*state, &deadly);
  assert_served (*state, &sound);
}

static void
test_plain_request_that_crashed_three_servers_is_not_sent_again (void **state)
{
  const struct streams_request deadly = {.plain = true, .body = "deadly"};
  const struct streams_request sound = {.plain = true, .body = "sound"};

  send_until_crashed (*state, &deadly, 3);
  streams_run (*state, SPREAD_MS);
  assert_refused (*state, &deadly);
  assert_served (*state, &sound);
}

static void
test_other_vm_refuses_what_crashed_three_servers_while_store_is_away (
    void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request deadly = {.body = "deadly"};
  const struct streams_request deadly_at_other = {.vm = 1, .body = "deadly"};
  const struct streams_request sound_at_other = {.vm = 1, .body = "sound"};

  streams_run (self, MEMBERS_READ_MS);
  self->store.mode = SOAK_STORE_UNAVAILABLE;
  send_until_crashed (self, &deadly, 3);
  streams_run (self, SPREAD_MS);
  assert_refused (self, &deadly_at_other);
  self->store.mode = SOAK_STORE_HEALTHY;
  streams_run (self, SPREAD_MS);
  assert_served (self, &sound_at_other);
}

static void
test_stream_that_crashes_servers_through_a_peer_is_not_sent_again (void **state)
{
  const struct streams_request deadly = {.vm = 1, .body = "deadly"};
  const struct streams_request deadly_at_peer = {.body = "deadly"};
  const struct streams_request sound = {.vm = 1, .body = "sound"};

  cut_and_notice (*state);
  send_until_crashed (*state, &deadly, 4);
  streams_run (*state, SPREAD_MS);
  assert_refused (*state, &deadly);
  assert_refused (*state, &deadly_at_peer);
  assert_served (*state, &sound);
}

static bool
has_path_back (const struct streams_fixture *self)
{
  return streams_count_log (self, 1, "event=reach-back") > 0;
}

/* Of those that have not ended yet. */
static void
crash_busiest_engine (struct streams_fixture *self)
{
  struct streams_engine *busiest = NULL;

  for (unsigned i = 0; i < STREAMS_ENGINES; i++)
    {
      struct streams_engine *engine = &self->engines[i];

      if (engine->start_ms == 1 && engine->restart_us == 0
          && (!busiest || engine->runs > busiest->runs))
        busiest = engine;
    }
  assert_true (busiest && busiest->runs > 0);
  if (busiest)
    busiest->crash_us = eg_clock_now_us ();
}

static void
test_stream_that_was_served_before_a_lost_path_is_not_blamed_after_it (
    void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request sound = {.vm = 1, .body = "sound"};

  assert_served (self, &sound);
  cut_and_notice (self);
  streams_run (self, LONG_CUT_MS);
  streams_cut (self, SOAK_CUT_NONE);
  assert_true (streams_wait (self, has_path_back, 2000));
  for (unsigned i = 0; i < STREAMS_ENGINES; i++)
    self->engines[i].runs = 0;
  for (unsigned n = 0; n < STREAMS_CLIENTS; n++)
    streams_client_send (self, n, &sound);
  for (unsigned i = 0; i < STREAMS_ENGINES; i++)
    {
      streams_run (self, CRASH_INTERVAL_MS);
      crash_busiest_engine (self);
    }
  streams_run (self, CRASH_INTERVAL_MS);
  for (unsigned n = 0; n < STREAMS_CLIENTS; n++)
    streams_client_leave (self, n);
  streams_run (self, SPREAD_MS);
  assert_served (self, &sound);
}

static void
test_crashes_seen_by_two_vms_are_counted_together (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request deadly[] = {{.body = "deadly"},
                                           {.vm = 1, .body = "deadly"}};

  streams_run (self, MEMBERS_READ_MS);
  for (unsigned i = 0; i < SENDS_MAX && self->crashes < 3; i++)
    {
      streams_client_send (self, 0, &deadly[i % 2]);
      streams_run (self, 200);
      streams_client_leave (self, 0);
      streams_run (self, 600);
    }
  assert_int_equal (self->crashes, 3);
  streams_run (self, SPREAD_MS);
  assert_refused (self, &deadly[0]);
  assert_refused (self, &deadly[1]);
}

static void
test_restarted_vm_refuses_what_crashed_three_servers (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request deadly = {.body = "deadly"};

  streams_run (self, MEMBERS_READ_MS);
  send_until_crashed (self, &deadly, 3);
  streams_run (self, SPREAD_MS);
  streams_vm_restart (self, 0);
  streams_run (self, SPREAD_MS);
  assert_refused (self, &deadly);
}

static void
test_vms_that_restart_together_refuse_what_crashed_three_servers (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request deadly[] = {{.body = "deadly"},
                                           {.vm = 1, .body = "deadly"}};
  const struct streams_request sound = {.body = "sound"};

  streams_run (self, MEMBERS_READ_MS);
  send_until_crashed (self, &deadly[0], 3);
  streams_run (self, SPREAD_MS);
  streams_vms_restart (self);
  streams_run (self, SPREAD_MS);
  assert_refused (self, &deadly[0]);
  assert_refused (self, &deadly[1]);
  assert_served (self, &sound);
}

/* One undecodable quarantine in the store hid all others from VMs that start.
 */
static void
test_undecodable_quarantine_leaves_the_others (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request deadly = {.body = "deadly"};
  const struct streams_request sound = {.body = "sound"};

  streams_run (self, MEMBERS_READ_MS);
  send_until_crashed (self, &deadly, 3);
  streams_run (self, SPREAD_MS);
  self->store.undecodable = "18446744073709551615";
  soak_store_put (&self->store, "eelgrasswood-quarantines",
                  "part-0000000000000001",
                  json_pack ("{s:s}", "blamed_ms", "undecodable"));
  soak_store_put (&self->store, "eelgrasswood-quarantines",
                  "part-0000000000000002",
                  json_pack ("{s:I}", "blamed_ms", (json_int_t) INT64_MAX));
  streams_vms_restart (self);
  streams_run (self, SPREAD_MS);
  assert_refused (self, &deadly);
  assert_served (self, &sound);
  assert_true (streams_count_log (self, 0, "event=quarantine-unreadable") > 1);
}

static void
test_vms_that_do_not_hear_each_other_share_quarantines_by_the_store (
    void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request deadly = {.body = "deadly"};
  const struct streams_request deadly_at_other = {.vm = 1, .body = "deadly"};

  streams_vms_separate (self);
  streams_run (self, MEMBERS_INTERVAL_MS);
  send_until_crashed (self, &deadly, 3);
  streams_run (self, SPREAD_MS);
  assert_refused (self, &deadly);
  assert_refused (self, &deadly_at_other);
}

static void
test_sound_streams_on_crashed_servers_are_served_again (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request deadly = {.body = "deadly"};
  const struct streams_request sound = {.body = "sound"};
  char bodies[STREAMS_CLIENTS][32];

  for (int i = 0; i < SENDS_MAX && self->crashes < 4; i++)
    {
      for (unsigned n = 1; n < STREAMS_CLIENTS; n++)
        {
          snprintf (bodies[n], sizeof bodies[n], "sound %d %u", i, n);
          streams_client_send (self, n,
                               &(struct streams_request){.body = bodies[n]});
        }
      streams_client_send (self, 0, &deadly);
      streams_run (self, 800);
    }
  assert_true (self->crashes >= 3);
  streams_run (self, SPREAD_MS);
  assert_refused (self, &deadly);
  assert_served (self, &sound);
  for (unsigned n = 1; n < STREAMS_CLIENTS; n++)
    assert_served (self, &(struct streams_request){.body = bodies[n]});
}

/* Stream requests of which no two are alike but for parts of their prompts. */
struct varied_request
{
  char body[32];
  char parts[96];
  struct streams_request request;
};

/* Makes a request with @p part between a part that all have and its own. */
static const struct streams_request *
vary (struct varied_request *self, unsigned vm, const char *part)
{
  static unsigned number;

  number++;
  snprintf (self->body, sizeof self->body, "body %u", number);
  snprintf (self->parts, sizeof self->parts, "aa:40,%s:100,%x:200", part,
            0x1000 + number);
  self->request = (struct streams_request){
      .vm = vm, .body = self->body, .parts = self->parts};
  return &self->request;
}

static void
test_stream_that_was_reset_before_its_servers_ended_is_served (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request sound = {.body = "sound"};

  for (int i = 0; i < SENDS_MAX && self->crashes < 4; i++)
    {
      for (unsigned n = 0; n < STREAMS_ENGINES; n++)
        self->engines[n].aborting = self->engines[n].aborting_reports = true;
      streams_client_send (self, 0, &sound);
      streams_run (self, 800);
    }
  for (unsigned n = 0; n < STREAMS_ENGINES; n++)
    self->engines[n].aborting = self->engines[n].aborting_reports = false;
  assert_true (self->crashes >= 4);
  streams_run (self, SPREAD_MS);
  assert_served (self, &sound);
}

/* Lets a request crash one server, and waits until that is back. */
static void
crash_once (struct streams_fixture *self, const struct streams_request *request)
{
  unsigned crashes = self->crashes;

  streams_client_send (self, 0, request);
  streams_run (self, 200);
  streams_client_leave (self, 0);
  assert_int_equal (self->crashes, crashes + 1);
  streams_run (self, 1000);
}

/* Guards against a request that crashes its servers and is taken for a sound
 * one, as one run was complete before its server ended: the end was not proved
 * yet, as no other server could be connected to. */
static void
test_stream_that_ends_just_before_its_server_is_not_cleared (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request deadly = {.body = "deadly"};
  const struct streams_request rest = {.body = "deadly",
                                       .last_event_id = "149"};

  streams_run (self, MEMBERS_READ_MS);
  crash_once (self, &deadly);
  crash_once (self, &deadly);
  streams_client_send (self, 0, &rest);
  streams_run (self, 150);
  assert_int_equal (self->clients[0].relay.events, 1);
  assert_true (self->clients[0].done);
  assert_int_equal (self->crashes, 3);
  /* The record of a new start would tell of the end at once. */
  self->engines[0].restart_us =
      eg_clock_now_us () + RESTART_DELAY_MS * EG_US_PER_MS;
  streams_run (self, RESTART_DELAY_MS + 1500);
  crash_once (self, &deadly);
  streams_run (self, SPREAD_MS);
  assert_refused (self, &deadly);
}

static void
test_stream_that_was_reset_soon_after_a_probe_is_served (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request sound = {.body = "sound"};
  struct varied_request other;

  self->engines[0].aborting = true;
  for (int i = 0; i < SENDS_MAX && self->crashes < 4; i++)
    {
      streams_client_send (self, 0, vary (&other, 0, "50"));
      streams_run (self, 50);
      streams_client_send (self, 1, &sound);
      streams_run (self, 5);
      /* No run begins after these two. */
      self->engines[0].full = true;
      streams_run (self, 400);
      self->engines[0].full = false;
      streams_client_leave (self, 0);
      streams_client_leave (self, 1);
      streams_run (self, 1000);
    }
  self->engines[0].aborting = false;
  assert_true (self->crashes >= 4);
  streams_run (self, SPREAD_MS);
  assert_served (self, &sound);
}

static void
assert_part_refused (struct streams_fixture *self, unsigned vm)
{
  unsigned arrivals = self->deadly_arrivals;
  struct varied_request varied;

  for (int i = 0; i < REPEATS; i++)
    assert_int_equal (
        streams_client_request (self, 0, vary (&varied, vm, "dead")), 503);
  assert_true (self->clients[0].retry_after_s > 0);
  assert_int_equal (self->deadly_arrivals, arrivals);
}

/* Sends requests with the deadly part, made by @p make, to each VM in turn
 * until servers have crashed under them @p crashes times. */
static void
send_part_until_crashed (
    struct streams_fixture *self,
    unsigned crashes,
    const struct streams_request *(*make) (struct varied_request *request,
                                           unsigned vm,
                                           const char *part))
{
  struct varied_request varied;

  self->deadly_part = "dead";
  for (unsigned i = 0; i < SENDS_MAX && self->crashes < crashes; i++)
    {
      streams_client_send (self, 0, make (&varied, i % self->vm_count, "dead"));
      streams_run (self, 200);
      streams_client_leave (self, 0);
      streams_run (self, 400);
    }
  assert_true (self->crashes >= crashes);
}

static void
test_requests_with_a_part_that_crashed_five_servers_are_not_sent (void **state)
{
  struct streams_fixture *self = *state;
  struct varied_request varied;

  streams_run (self, MEMBERS_READ_MS);
  assert_served (self, vary (&varied, 0, "50"));
  self->store.mode = SOAK_STORE_UNAVAILABLE;
  send_part_until_crashed (self, 5, vary);
  streams_run (self, SPREAD_MS);
  assert_part_refused (self, 0);
  assert_part_refused (self, 1);
}

static void
test_requests_that_share_the_sound_parts_of_crashing_ones_are_served (
    void **state)
{
  struct streams_fixture *self = *state;
  struct varied_request varied;

  streams_run (self, MEMBERS_READ_MS);
  assert_served (self, vary (&varied, 0, "50"));
  assert_served (self, vary (&varied, 1, "51"));
  send_part_until_crashed (self, 5, vary);
  streams_run (self, SPREAD_MS);
  assert_part_refused (self, 0);
  for (unsigned vm = 0; vm < 2; vm++)
    {
      assert_served (self, vary (&varied, vm, "50"));
      assert_served (self, vary (&varied, vm, "52"));
    }
}

/* Guards against a route that is refused as a whole because nothing was served
 * before its servers crashed, as after a restart of all VMs. */
static void
test_requests_that_share_a_part_not_served_before_are_served (void **state)
{
  struct streams_fixture *self = *state;
  struct varied_request varied;

  streams_run (self, MEMBERS_READ_MS);
  send_part_until_crashed (self, 5, vary);
  streams_run (self, SPREAD_MS);
  for (unsigned vm = 0; vm < 2; vm++)
    assert_served (self, vary (&varied, vm, "50"));
  assert_part_refused (self, 0);
  assert_part_refused (self, 1);
}

/* Makes a request with @p part between two parts that all have. */
static const struct streams_request *
vary_between (struct varied_request *self, unsigned vm, const char *part)
{
  static unsigned number = 0x10000;

  number++;
  snprintf (self->body, sizeof self->body, "body %u", number);
  snprintf (self->parts, sizeof self->parts, "aa:40,%s:100,cc:100,%x:200", part,
            number);
  self->request = (struct streams_request){
      .vm = vm, .body = self->body, .parts = self->parts};
  return &self->request;
}

/* Guards against a route that is refused as a whole after all VMs have started
 * again: of a quarantine in the store it was not known what else may have
 * crashed the servers, so that the wrong part could not be cleared. */
static void
test_part_blamed_in_place_of_another_is_cleared_after_a_restart (void **state)
{
  struct streams_fixture *self = *state;
  struct varied_request varied;
  unsigned arrivals;

  streams_run (self, MEMBERS_READ_MS);
  send_part_until_crashed (self, 5, vary_between);
  streams_run (self, SPREAD_MS);
  assert_true (
      streams_count_log (self, 0, "event=quarantined kind=part subject=cc")
      > 0);
  streams_vms_restart (self);
  streams_run (self, SPREAD_MS);
  arrivals = self->deadly_arrivals;
  assert_int_equal (
      streams_client_request (self, 0, vary_between (&varied, 0, "dead")), 503);
  for (unsigned vm = 0; vm < 2; vm++)
    assert_served (self, vary_between (&varied, vm, "50"));
  for (unsigned i = 0; i < 2 * REPEATS; i++)
    assert_int_equal (
        streams_client_request (self, 0, vary_between (&varied, i % 2, "dead")),
        503);
  assert_int_equal (self->deadly_arrivals, arrivals);
}

/* A request with thirteen parts, of which the tenth crashes servers. */
struct long_request
{
  char body[32];
  char parts[256];
  struct streams_request request;
};

static const struct streams_request *
vary_long (struct long_request *self, unsigned vm, const char *tenth)
{
  static unsigned number;
  size_t len;

  number++;
  snprintf (self->body, sizeof self->body, "long body %u", number);
  len = (size_t) snprintf (self->parts, sizeof self->parts, "aa:40");
  for (unsigned i = 2; i <= 13; i++)
    if (i == 10)
      len += (size_t) snprintf (self->parts + len, sizeof self->parts - len,
                                ",%s:100", tenth);
    else
      len += (size_t) snprintf (self->parts + len, sizeof self->parts - len,
                                ",%x:100", 0x100000 + 16 * number + i);
  self->request = (struct streams_request){
      .vm = vm, .body = self->body, .parts = self->parts};
  return &self->request;
}

/* Guards against parts that are ignored because of their place. */
static void
test_requests_with_a_deadly_part_at_place_ten_are_not_sent (void **state)
{
  struct streams_fixture *self = *state;
  struct long_request varied;
  unsigned arrivals;

  streams_run (self, MEMBERS_READ_MS);
  self->deadly_part = "dead";
  for (unsigned i = 0; i < SENDS_MAX && self->crashes < 5; i++)
    {
      streams_client_send (self, 0, vary_long (&varied, i % 2, "dead"));
      streams_run (self, 200);
      streams_client_leave (self, 0);
      streams_run (self, 400);
    }
  assert_true (self->crashes >= 5);
  streams_run (self, SPREAD_MS);
  arrivals = self->deadly_arrivals;
  for (unsigned i = 0; i < 2 * REPEATS; i++)
    assert_int_equal (
        streams_client_request (self, 0, vary_long (&varied, i % 2, "dead")),
        503);
  assert_int_equal (self->deadly_arrivals, arrivals);
  for (unsigned vm = 0; vm < 2; vm++)
    assert_served (self, vary_long (&varied, vm, "50"));
}

/* Servers end 60 ms after the run began. */
#define IMPATIENCE_MS 30

/* Lets servers that have ended stay away for longer. */
static void
delay_restarts (struct streams_fixture *self)
{
  for (unsigned n = 0; n < STREAMS_ENGINES; n++)
    if (self->engines[n].restart_us > 0)
      self->engines[n].restart_us = eg_clock_now_us () + 1500 * EG_US_PER_MS;
}

/* Guards against runs that are not counted because their callers left just
 * before the servers ended: such requests ended servers without end. */
static void
test_part_is_found_though_callers_leave_before_servers_end (void **state)
{
  struct streams_fixture *self = *state;
  struct varied_request varied;

  streams_run (self, MEMBERS_READ_MS);
  self->deadly_part = "dead";
  for (unsigned i = 0; i < SENDS_MAX && self->crashes < 5; i++)
    {
      streams_client_send (self, 0, vary (&varied, i % 2, "dead"));
      streams_run (self, IMPATIENCE_MS);
      streams_client_leave (self, 0);
      streams_run (self, 100);
      delay_restarts (self);
      streams_run (self, 2500);
    }
  assert_true (self->crashes >= 5);
  streams_run (self, SPREAD_MS);
  assert_part_refused (self, 0);
  assert_part_refused (self, 1);
  for (unsigned vm = 0; vm < 2; vm++)
    assert_served (self, vary (&varied, vm, "50"));
}

/* Guards against runs that count as crashed because their callers left just
 * before the servers left, too, without announcing it. */
static void
test_server_that_leaves_after_a_caller_has_not_crashed (void **state)
{
  struct streams_fixture *self = *state;
  struct varied_request varied;

  streams_run (self, MEMBERS_READ_MS);
  for (unsigned i = 0; i < 5; i++)
    {
      streams_client_send (self, 0, vary (&varied, 0, "50"));
      streams_run (self, 100);
      streams_client_leave (self, 0);
      streams_run (self, 100);
      for (unsigned n = 0; n < STREAMS_ENGINES; n++)
        streams_engine_withdraw (&self->engines[n]);
      streams_run (self, 500);
      for (unsigned n = 0; n < STREAMS_ENGINES; n++)
        {
          self->engines[n].start_ms++;
          streams_engine_publish (&self->engines[n], false);
        }
      streams_run (self, 500);
    }
  assert_int_equal (streams_count_log (self, 0, "event=suspected"), 0);
  assert_served (self, vary (&varied, 0, "50"));
}

#define BURST 3
#define BURSTS 5
#define BURST_INTERVAL_MS 4500
/* The verdict must be in force everywhere so long after the fifth crash. */
#define STABLE_WINDOW_US (3 * EG_US_PER_S)
/* Requests that may still be sent after that. */
#define LATE_MAX 3

/* Guards against crashes at the same moment that count as one, so that each
 * burst costs all servers. */
static void
test_bursts_of_requests_with_a_deadly_part_are_not_sent (void **state)
{
  struct streams_fixture *self = *state;
  struct varied_request varied[BURST];
  unsigned arrivals = 0;
  int64_t fifth_us = 0;

  streams_run (self, MEMBERS_READ_MS);
  self->deadly_part = "dead";
  for (unsigned i = 0; i < BURSTS; i++)
    {
      if (fifth_us > 0 && arrivals == 0
          && eg_clock_now_us () >= fifth_us + STABLE_WINDOW_US)
        arrivals = self->deadly_arrivals;
      for (unsigned n = 0; n < BURST; n++)
        streams_client_send (self, n, vary (&varied[n], n % 2, "dead"));
      for (unsigned waited_ms = 0; waited_ms < BURST_INTERVAL_MS;
           waited_ms += 50)
        {
          streams_run (self, 50);
          if (fifth_us == 0 && self->crashes >= 5)
            fifth_us = eg_clock_now_us ();
        }
      for (unsigned n = 0; n < BURST; n++)
        streams_client_leave (self, n);
    }
  assert_true (arrivals > 0);
  assert_in_range (self->deadly_arrivals - arrivals, 0, LATE_MAX);
  for (unsigned vm = 0; vm < 2; vm++)
    assert_served (self, vary (&varied[0], vm, "50"));
}

#define CRASH_TEST(name, start)                                                \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      CRASH_TEST (stream_that_crashed_three_servers_is_not_sent_again,
                  start_one_vm),
      CRASH_TEST (plain_request_that_crashed_three_servers_is_not_sent_again,
                  start_one_vm),
      CRASH_TEST (
          other_vm_refuses_what_crashed_three_servers_while_store_is_away,
          start_two_vms),
      CRASH_TEST (stream_that_crashes_servers_through_a_peer_is_not_sent_again,
                  start_two_vms_with_paths),
      CRASH_TEST (
          stream_that_was_served_before_a_lost_path_is_not_blamed_after_it,
          start_two_vms_with_paths),
      CRASH_TEST (crashes_seen_by_two_vms_are_counted_together,
                  start_two_vms_with_one_engine),
      CRASH_TEST (restarted_vm_refuses_what_crashed_three_servers,
                  start_two_vms),
      CRASH_TEST (vms_that_restart_together_refuse_what_crashed_three_servers,
                  start_two_vms),
      CRASH_TEST (undecodable_quarantine_leaves_the_others, start_two_vms),
      CRASH_TEST (part_is_found_though_callers_leave_before_servers_end,
                  start_two_vms),
      CRASH_TEST (server_that_leaves_after_a_caller_has_not_crashed,
                  start_one_vm),
      CRASH_TEST (part_blamed_in_place_of_another_is_cleared_after_a_restart,
                  start_two_vms),
      CRASH_TEST (
          vms_that_do_not_hear_each_other_share_quarantines_by_the_store,
          start_two_vms),
      CRASH_TEST (sound_streams_on_crashed_servers_are_served_again,
                  start_one_vm),
      CRASH_TEST (stream_that_was_reset_before_its_servers_ended_is_served,
                  start_one_vm),
      CRASH_TEST (stream_that_ends_just_before_its_server_is_not_cleared,
                  start_two_vms_with_one_engine),
      CRASH_TEST (stream_that_was_reset_soon_after_a_probe_is_served,
                  start_two_vms_with_one_engine),
      CRASH_TEST (requests_with_a_part_that_crashed_five_servers_are_not_sent,
                  start_two_vms),
      CRASH_TEST (
          requests_that_share_the_sound_parts_of_crashing_ones_are_served,
          start_two_vms),
      CRASH_TEST (requests_that_share_a_part_not_served_before_are_served,
                  start_two_vms),
      CRASH_TEST (requests_with_a_deadly_part_at_place_ten_are_not_sent,
                  start_two_vms),
      CRASH_TEST (bursts_of_requests_with_a_deadly_part_are_not_sent,
                  start_two_vms),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
