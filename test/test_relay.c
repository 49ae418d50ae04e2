/* Tests of the event relay, the retry window, the resend decision, the route
 * table, token buckets and the assignment of watched servers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "policy/configuration.h"
#include "policy/event_relay.h"
#include "policy/resend.h"
#include "policy/retry_window.h"
#include "policy/run_progress.h"
#include "policy/server_room.h"
#include "policy/token_bucket.h"
#include "policy/watch_assignment.h"

#define SECOND_US INT64_C (1000000)

static void
feed (struct eg_event_relay *relay, const char *text, struct eg_buffer *out)
{
  assert_int_equal (eg_event_relay_feed (relay, eg_str_from (text), out),
                    EG_RELAY_OK);
}

static void
test_events_pass_whole (void **state)
{
  struct eg_event_relay relay;
  struct eg_buffer out = {0};

  (void) state;
  eg_event_relay_init (&relay, EG_STR (""));
  feed (&relay, "id: 1\ndata: a", &out);
  assert_int_equal (out.len, 0);
  feed (&relay, "b\n", &out);
  feed (&relay, "\nid: 2\r\ndata: c\r\n\r\nid: 3\nda", &out);
  assert_string_equal (eg_buffer_text (&out),
                       "id: 1\ndata: ab\n\nid: 2\r\ndata: c\r\n\r\n");
  assert_string_equal (relay.last_id, "2");
  assert_true (eg_event_relay_is_partial (&relay));
  eg_buffer_finish (&out);
  eg_event_relay_finish (&relay);
}

/* An attempt that fails within an event must not forward a part of it. */
static void
test_second_attempt_resumes (void **state)
{
  struct eg_event_relay relay;
  struct eg_buffer out = {0};

  (void) state;
  eg_event_relay_init (&relay, EG_STR ("4"));
  feed (&relay, "id: 5\ndata: a\n\nid: 6\ndata: half", &out);
  eg_event_relay_restart (&relay);
  feed (&relay, "id: 6\ndata: whole\n\n", &out);
  assert_string_equal (eg_buffer_text (&out),
                       "id: 5\ndata: a\n\nid: 6\ndata: whole\n\n");
  eg_buffer_clear (&out);
  assert_int_equal (
      eg_event_relay_feed (&relay, EG_STR ("id: 6\ndata: twice\n\n"), &out),
      EG_RELAY_OUT_OF_ORDER);
  assert_int_equal (out.len, 0);
  eg_buffer_finish (&out);
  eg_event_relay_finish (&relay);
}

/* Guards against a relay that requires ids to increase by one: servers may
 * leave some out. */
static void
test_ids_increase_by_any_step (void **state)
{
  struct eg_event_relay relay;
  struct eg_buffer out = {0};

  (void) state;
  eg_event_relay_init (&relay, EG_STR (""));
  feed (&relay, "id: 3\ndata: a\n\nid: 8\ndata: b\n\n", &out);
  eg_event_relay_restart (&relay);
  feed (&relay, "id: 20\ndata: c\n\n", &out);
  /* Beyond 64 bits, and with zeros in front. */
  feed (&relay, "id: 18446744073709551617\ndata: d\n\n", &out);
  feed (&relay, "id: 018446744073709551618\ndata: e\n\n", &out);
  assert_string_equal (relay.last_id, "018446744073709551618");
  assert_int_equal (relay.events, 5);
  eg_buffer_finish (&out);
  eg_event_relay_finish (&relay);
}

/* Guards against streams that are cut because their ids are no numbers: such
 * ids have no order, and only the one before can be recognised. */
static void
test_ids_that_are_no_numbers_differ (void **state)
{
  struct eg_event_relay relay;
  struct eg_buffer out = {0};

  (void) state;
  eg_event_relay_init (&relay, EG_STR (""));
  feed (&relay, "id: b-9\ndata: a\n\nid: b-10\ndata: b\n\n", &out);
  eg_event_relay_restart (&relay);
  feed (&relay, "data: without\n\nid: a\ndata: c\n\n", &out);
  assert_string_equal (relay.last_id, "a");
  assert_int_equal (relay.events, 4);
  eg_buffer_clear (&out);
  eg_event_relay_restart (&relay);
  assert_int_equal (
      eg_event_relay_feed (&relay, EG_STR ("id: a\ndata: c\n\n"), &out),
      EG_RELAY_OUT_OF_ORDER);
  eg_event_relay_restart (&relay);
  assert_int_equal (
      eg_event_relay_feed (&relay, EG_STR ("id: 11\ndata: d\n\n"), &out),
      EG_RELAY_OUT_OF_ORDER);
  assert_int_equal (out.len, 0);
  assert_string_equal (relay.last_id, "a");
  eg_buffer_finish (&out);
  eg_event_relay_finish (&relay);
}

/* A client may name any id to resume its own stream, but the event with that
 * id is not sent again. */
static void
test_first_id_follows_that_of_the_client (void **state)
{
  static const struct
  {
    const char *named;
    const char *event;
    enum eg_relay_result result;
  } cases[] = {
      {"x", "id: 1\n\n", EG_RELAY_OK},
      {"4", "id: x\n\n", EG_RELAY_OK},
      {"x", "id: y\n\n", EG_RELAY_OK},
      {"x", "id: x\n\n", EG_RELAY_OUT_OF_ORDER},
      {"4", "id: 5\n\n", EG_RELAY_OK},
      {"4", "id: 4\n\n", EG_RELAY_OUT_OF_ORDER},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct eg_event_relay relay;
      struct eg_buffer out = {0};

      eg_event_relay_init (&relay, eg_str_from (cases[i].named));
      assert_int_equal (
          eg_event_relay_feed (&relay, eg_str_from (cases[i].event), &out),
          cases[i].result);
      eg_buffer_finish (&out);
      eg_event_relay_finish (&relay);
    }
}

/* Guards against events that are sent twice, because the server that resumes
 * does not continue after the last id, and against a change from numbers to
 * other ids, from which that cannot be told. */
static void
test_ids_that_do_not_increase_are_detected (void **state)
{
  static const char *const ids[] = {"8",  "7",  "08",  "0", "-9",
                                    "+9", "9a", "0x9", "a", "9 9"};

  (void) state;
  for (size_t i = 0; i < sizeof ids / sizeof ids[0]; i++)
    {
      struct eg_event_relay relay;
      struct eg_buffer out = {0};
      char event[64];

      eg_event_relay_init (&relay, EG_STR (""));
      feed (&relay, "id: 8\ndata: a\n\n", &out);
      eg_buffer_clear (&out);
      eg_event_relay_restart (&relay);
      snprintf (event, sizeof event, "id: %s\ndata: b\n\n", ids[i]);
      assert_int_equal (eg_event_relay_feed (&relay, eg_str_from (event), &out),
                        EG_RELAY_OUT_OF_ORDER);
      assert_int_equal (out.len, 0);
      assert_string_equal (relay.last_id, "8");
      eg_buffer_finish (&out);
      eg_event_relay_finish (&relay);
    }
}

static void
test_window_bounds_any_span (void **state)
{
  struct eg_retry_window window;
  unsigned spent = 0;

  (void) state;
  eg_retry_window_init (&window, 10 * SECOND_US);
  for (int64_t t = 0; t < 9; t++)
    {
      eg_retry_window_request (&window, t * SECOND_US);
      for (int i = 0; i < 10; i++)
        spent += eg_retry_window_spend (&window, 0.2, 5, t * SECOND_US);
    }
  assert_int_equal (spent, 6);
  /* All earlier requests and retries have left the window. */
  spent = 0;
  for (int i = 0; i < 10; i++)
    spent += eg_retry_window_spend (&window, 0.2, 5, 25 * SECOND_US);
  assert_int_equal (spent, 5);
}

static void
test_refund_takes_a_retry_back_where_it_was_spent (void **state)
{
  struct eg_retry_window window;

  (void) state;
  eg_retry_window_init (&window, 10 * SECOND_US);
  assert_true (eg_retry_window_spend (&window, 0, 2, SECOND_US));
  assert_true (eg_retry_window_spend (&window, 0, 2, 5 * SECOND_US));
  assert_false (eg_retry_window_spend (&window, 0, 2, 5 * SECOND_US));
  eg_retry_window_refund (&window, SECOND_US);
  assert_true (eg_retry_window_spend (&window, 0, 2, 6 * SECOND_US));
  /* The retry of second 1 has left the window, and the refund with it. */
  assert_false (eg_retry_window_spend (&window, 0, 2, 13 * SECOND_US));
  eg_retry_window_refund (&window, SECOND_US);
  assert_false (eg_retry_window_spend (&window, 0, 2, 13 * SECOND_US));
}

/* Sends as many requests as are allowed in each millisecond, which the server
 * refuses after two. */
static unsigned
count_refused (struct eg_server_room *room, int64_t from_us, int64_t to_us)
{
  const int64_t step_us = 1000;
  const int64_t answer_us = 2 * step_us;
  int64_t sent_us = -1;
  unsigned count = 0;

  for (int64_t now_us = from_us; now_us < to_us; now_us += step_us)
    {
      if (sent_us >= 0 && now_us - sent_us >= answer_us)
        {
          eg_server_room_refused (room, now_us);
          sent_us = -1;
        }
      for (int i = 0; i < 20 && eg_server_room_is_open (room, now_us); i++)
        {
          eg_server_room_sent (room, now_us);
          sent_us = now_us;
          count++;
        }
    }
  return count;
}

static void
test_full_server_is_asked_by_one_request_at_a_time (void **state)
{
  struct eg_server_room room = {0};
  unsigned open = 0;

  (void) state;
  eg_server_room_refused (&room, 0);
  assert_false (eg_server_room_is_open (&room, 1));
  assert_in_range (count_refused (&room, 0, 2 * SECOND_US), 4, 9);
  /* Not refused: all may follow. */
  for (int64_t now_us = 3 * SECOND_US; now_us < 4 * SECOND_US; now_us += 1000)
    if (eg_server_room_is_open (&room, now_us))
      {
        eg_server_room_sent (&room, now_us);
        open++;
      }
  assert_in_range (open, 900, 1000);
}

static void
test_pause_lasts_as_long_as_the_longest_asked_for (void **state)
{
  struct eg_server_room room = {0};

  (void) state;
  assert_false (eg_server_room_is_paused (&room, 0));
  eg_server_room_pause (&room, 2 * SECOND_US, 0);
  eg_server_room_pause (&room, SECOND_US / 2, SECOND_US);
  assert_true (eg_server_room_is_paused (&room, 2 * SECOND_US - 1));
  assert_false (eg_server_room_is_paused (&room, 2 * SECOND_US));
  /* Then one request tells. */
  assert_true (eg_server_room_is_open (&room, 2 * SECOND_US));
  eg_server_room_sent (&room, 2 * SECOND_US);
  assert_false (eg_server_room_is_open (&room, 2 * SECOND_US));
  eg_server_room_pause (&room, INT64_MAX, 3 * SECOND_US);
  assert_true (eg_server_room_is_paused (
      &room, 3 * SECOND_US + EG_SERVER_PAUSE_MAX_US - 1));
  assert_false (
      eg_server_room_is_paused (&room, 3 * SECOND_US + EG_SERVER_PAUSE_MAX_US));
}

static struct eg_resend_context
after_one_send (void)
{
  return (struct eg_resend_context){
      .sends = 1, .tries = 1, .now_us = 0, .deadline_us = 1000000};
}

static void
test_resend_once_at_most (void **state)
{
  struct eg_resend_context context = after_one_send ();

  (void) state;
  context.may_have_run = true;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND_FAIL);
  context.may_have_run = false;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND);
  context.deadline_us = 0;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND_REFUSE);
  context.may_have_run = true;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND_TIMEOUT);
}

static void
test_resend_repeatable (void **state)
{
  struct eg_resend_context context = after_one_send ();

  (void) state;
  context.repeatable = true;
  context.may_have_run = true;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND);
  context.response_started = true;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND_ABORT);
  context.resumable = true;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND);
  context.sends = 6;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND_ABORT);
}

static void
test_started_stream_waits_for_what_may_pass (void **state)
{
  struct eg_resend_context context = after_one_send ();

  (void) state;
  context.repeatable = true;
  context.may_have_run = true;
  assert_int_equal (eg_resend_give_up (&context, EG_LIMIT_NO_SERVER),
                    EG_RESEND_FAIL);
  context.response_started = true;
  assert_int_equal (eg_resend_give_up (&context, EG_LIMIT_NO_SERVER),
                    EG_RESEND_ABORT);
  context.resumable = true;
  assert_int_equal (eg_resend_give_up (&context, EG_LIMIT_NO_SERVER),
                    EG_RESEND_LATER);
  assert_int_equal (eg_resend_give_up (&context, EG_LIMIT_KEYS),
                    EG_RESEND_LATER);
  assert_int_equal (eg_resend_give_up (&context, EG_LIMIT_RETRY_BUDGET),
                    EG_RESEND_LATER);
  assert_int_equal (eg_resend_give_up (&context, EG_LIMIT_DEADLINE),
                    EG_RESEND_ABORT);
  assert_int_equal (eg_resend_give_up (&context, EG_LIMIT_NO_SERVICE),
                    EG_RESEND_ABORT);
}

static void
test_refusals_do_not_end_a_started_stream (void **state)
{
  struct eg_resend_context context = after_one_send ();

  (void) state;
  context.repeatable = true;
  context.resumable = true;
  context.may_have_run = true;
  context.sends = 40;
  context.tries = 50;
  context.refusals = 39;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND_FAIL);
  context.response_started = true;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND);
  assert_int_equal (eg_resend_give_up (&context, EG_LIMIT_REFUSALS),
                    EG_RESEND_LATER);
  context.refusals = 34;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND_ABORT);
  assert_int_equal (eg_resend_pause_us (1), 0);
  for (unsigned i = 1; i < 50; i++)
    assert_in_range (eg_resend_pause_us (i), eg_resend_pause_us (i - 1),
                     SECOND_US / 2);
}

static void
test_run_is_live_until_its_next_event_is_overdue (void **state)
{
  const int64_t interval_us = 80000;
  struct eg_run_progress progress;
  int64_t now_us = SECOND_US;

  (void) state;
  eg_run_progress_init (&progress);
  assert_false (
      eg_run_progress_is_live (&progress, EG_DOUBT_SERVER_SUSPECT, now_us));
  for (int i = 0; i < 20; i++)
    {
      now_us += interval_us;
      eg_run_progress_received (&progress, now_us);
      eg_run_progress_received (&progress, now_us + 2000);
    }
  for (int i = 0; i < EG_RUN_DOUBTS; i++)
    {
      enum eg_run_doubt doubt = (enum eg_run_doubt) i;

      assert_true (
          eg_run_progress_is_live (&progress, doubt, now_us + interval_us));
      assert_false (
          eg_run_progress_is_live (&progress, doubt, now_us + 4 * interval_us));
    }
  /* A pause of twice the average is usual; only an ended server makes it
   * suspicious. */
  assert_true (eg_run_progress_is_live (&progress, EG_DOUBT_SERVER_SUSPECT,
                                        now_us + 2 * interval_us));
  assert_false (eg_run_progress_is_live (&progress, EG_DOUBT_SERVER_ENDED,
                                         now_us + 2 * interval_us));
  eg_run_progress_resumed (&progress, now_us + 2 * interval_us);
  assert_true (eg_run_progress_is_live (&progress, EG_DOUBT_SERVER_ENDED,
                                        now_us + 3 * interval_us));
}

/* Guards against the loss of a running stream: it was ended in order to move to
 * another server, which then refused it. */
static void
test_running_stream_is_ended_only_for_a_resend (void **state)
{
  struct eg_resend_context context = after_one_send ();

  (void) state;
  context.repeatable = true;
  context.resumable = true;
  context.may_have_run = true;
  context.response_started = true;
  context.in_flight = true;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND);
  context.sends = 6;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND_WAIT);
  context.resumable = false;
  context.sends = 1;
  assert_int_equal (eg_resend_decide (&context), EG_RESEND_WAIT);
}

static void
set_route (struct eg_route *route, const char *host, const char *prefix)
{
  route->host = eg_str_from (host);
  route->path_prefix = eg_str_from (prefix);
}

static void
test_longest_prefix_wins (void **state)
{
  struct eg_configuration self;

  (void) state;
  eg_configuration_init (&self, 3, 0, 1);
  self.route_count = 3;
  set_route (&self.routes[0], "a.example", "/x/");
  set_route (&self.routes[1], "a.example", "/x/y/");
  set_route (&self.routes[2], "b.example", "/");
  assert_ptr_equal (
      eg_configuration_route (&self, EG_STR ("a.example"), EG_STR ("/x/y/z")),
      &self.routes[1]);
  assert_ptr_equal (
      eg_configuration_route (&self, EG_STR ("a.example"), EG_STR ("/x/z")),
      &self.routes[0]);
  assert_null (
      eg_configuration_route (&self, EG_STR ("a.example"), EG_STR ("/x")));
  assert_null (
      eg_configuration_route (&self, EG_STR ("c.example"), EG_STR ("/x/")));
  eg_configuration_add_key (&self, EG_STR ("secret"), 0);
  assert_ptr_equal (eg_configuration_find_key (&self, EG_STR ("secret")),
                    &self.organisations[0]);
  assert_null (eg_configuration_find_key (&self, EG_STR ("secre")));
  eg_configuration_finish (&self);
}

static void
test_bucket_grants_burst_and_rate (void **state)
{
  struct eg_token_bucket bucket = {0};
  int granted = 0;

  (void) state;
  for (int i = 0; i < 10; i++)
    granted += eg_token_bucket_take (&bucket, 1, 2, 4, SECOND_US);
  assert_int_equal (granted, 4);
  granted = 0;
  for (int i = 1; i <= 30; i++)
    granted +=
        eg_token_bucket_take (&bucket, 1, 2, 4, SECOND_US + i * SECOND_US / 10);
  assert_int_equal (granted, 6);
  assert_false (eg_token_bucket_take (&bucket, 5, 2, 4, 100 * SECOND_US));
}

/* The loss of any one member leaves no server without a watcher. */
static void
test_each_server_has_two_watchers (void **state)
{
  (void) state;
  for (unsigned members = 2; members < 50; members++)
    for (uint64_t server = 0; server < 200; server++)
      {
        unsigned watchers = 0;

        for (unsigned rank = 0; rank < members; rank++)
          watchers +=
              eg_watch_assignment_includes (server * 7919, rank, members);
        assert_int_equal (watchers, EG_WATCHERS_PER_SERVER);
      }
  assert_true (eg_watch_assignment_includes (3, 0, 1));
  assert_true (eg_watch_assignment_includes (3, 0, 0));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_events_pass_whole),
      cmocka_unit_test (test_second_attempt_resumes),
      cmocka_unit_test (test_ids_increase_by_any_step),
      cmocka_unit_test (test_ids_that_are_no_numbers_differ),
      cmocka_unit_test (test_first_id_follows_that_of_the_client),
      cmocka_unit_test (test_ids_that_do_not_increase_are_detected),
      cmocka_unit_test (test_window_bounds_any_span),
      cmocka_unit_test (test_refund_takes_a_retry_back_where_it_was_spent),
      cmocka_unit_test (test_full_server_is_asked_by_one_request_at_a_time),
      cmocka_unit_test (test_pause_lasts_as_long_as_the_longest_asked_for),
      cmocka_unit_test (test_resend_once_at_most),
      cmocka_unit_test (test_resend_repeatable),
      cmocka_unit_test (test_running_stream_is_ended_only_for_a_resend),
      cmocka_unit_test (test_started_stream_waits_for_what_may_pass),
      cmocka_unit_test (test_refusals_do_not_end_a_started_stream),
      cmocka_unit_test (test_run_is_live_until_its_next_event_is_overdue),
      cmocka_unit_test (test_longest_prefix_wins),
      cmocka_unit_test (test_bucket_grants_burst_and_rate),
      cmocka_unit_test (test_each_server_has_two_watchers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
