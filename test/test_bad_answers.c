/* Tests of what a client gets if a server breaks off its answer, sends one
 * without length and chunks, one without end, or one with no valid status. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/clock.h"
#include "test/streams_fixture.h"

/* An answer that will not do is replaced in this time, far below the deadline
 * of the requests. */
#define REPLACED_MS 2000
#define PLAIN_BODY_LEN 4
#define MEMBERS_READ_MS 1500

static struct streams_fixture fixture;

static int
start (void **state)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = STREAMS_ENGINES,
                                          .plain = 3};

  streams_fixture_init (&fixture, &options);
  /* Until then, the retry budget is shared with VMs that might exist. */
  streams_run (&fixture, MEMBERS_READ_MS);
  *state = &fixture;
  return 0;
}

static int
stop (void **state)
{
  streams_fixture_finish (*state);
  return 0;
}

/* Sends a request to which the first server answers as given, and the others
 * well; returns the time until the answer is complete. */
static int64_t
request_with_first_answer (struct streams_fixture *self,
                           bool plain,
                           enum streams_answer answer)
{
  const struct streams_request request = {.plain = plain, .body = "body"};
  int64_t sent_us = eg_clock_now_us ();

  for (unsigned i = 0; i < STREAMS_SERVERS; i++)
    self->engines[i].runs = 0;
  self->next_answer = answer;
  streams_client_request (self, 0, &request);
  return eg_clock_now_us () - sent_us;
}

static void
assert_whole (const struct streams_fixture *self)
{
  const struct streams_client *client = &self->clients[0];

  assert_true (client->done);
  assert_int_equal (client->status, 200);
  if (client->plain)
    assert_int_equal (client->body_len, PLAIN_BODY_LEN);
  else
    assert_int_equal (client->relay.events, STREAMS_EVENTS);
}

static void
test_answer_that_ends_with_its_connection_is_whole (void **state)
{
  for (int plain = 0; plain < 2; plain++)
    {
      request_with_first_answer (*state, plain, STREAMS_ANSWER_UNFRAMED);
      assert_whole (*state);
      assert_int_equal (streams_count_runs (*state), 1);
    }
}

static void
test_answer_without_length_that_is_reset_is_not_whole (void **state)
{
  request_with_first_answer (*state, true, STREAMS_ANSWER_UNFRAMED_RESET);
  assert_whole (*state);
  assert_int_equal (streams_count_runs (*state), 2);
}

static void
test_stream_that_ends_inside_an_event_goes_on_elsewhere (void **state)
{
  request_with_first_answer (*state, false, STREAMS_ANSWER_ENDS_INSIDE_EVENT);
  assert_whole (*state);
  assert_int_equal (streams_count_runs (*state), 2);
  request_with_first_answer (*state, false,
                             STREAMS_ANSWER_CHUNKS_END_INSIDE_EVENT);
  assert_whole (*state);
  assert_int_equal (streams_count_runs (*state), 2);
}

static void
test_stream_that_ends_without_an_event_is_not_whole (void **state)
{
  request_with_first_answer (*state, false, STREAMS_ANSWER_EMPTY);
  assert_whole (*state);
  assert_int_equal (streams_count_runs (*state), 2);
}

static void
test_body_without_end_that_is_no_answer_is_replaced (void **state)
{
  int64_t took_us =
      request_with_first_answer (*state, true, STREAMS_ANSWER_ENDLESS);

  assert_whole (*state);
  assert_in_range (took_us, 0, REPLACED_MS * EG_US_PER_MS);
  request_with_first_answer (*state, false, STREAMS_ANSWER_ENDLESS);
  assert_whole (*state);
  assert_int_equal (streams_count_runs (*state), 2);
}

/* Values that are no status (RFC 9110, 15), and one that only a request for an
 * upgrade may get. */
static const char *const bad_statuses[] = {
    "000 Nothing", "099 X", "20 X", "101 Switching Protocols", "600 X", "999 X",
};

#define BAD_STATUSES (sizeof bad_statuses / sizeof bad_statuses[0])

/* Guards against an answer with status 000 that is passed on, or that is taken
 * for an interim one while the request waits until its deadline. */
static void
test_answer_without_a_valid_status_is_replaced (void **state)
{
  struct streams_fixture *self = *state;

  for (size_t i = 0; i < BAD_STATUSES; i++)
    for (int plain = 0; plain < 2; plain++)
      {
        int64_t took_us;

        self->bad_status = bad_statuses[i];
        took_us =
            request_with_first_answer (self, plain, STREAMS_ANSWER_BAD_STATUS);
        assert_whole (self);
        assert_int_equal (streams_count_runs (self), 2);
        if (plain)
          assert_in_range (took_us, 0, REPLACED_MS * EG_US_PER_MS);
      }
}

static void
test_request_that_ran_without_a_valid_status_fails_at_once (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request request = {.once = true, .body = "body"};

  for (size_t i = 0; i < BAD_STATUSES; i++)
    {
      int64_t sent_us = eg_clock_now_us ();

      self->bad_status = bad_statuses[i];
      self->next_answer = STREAMS_ANSWER_BAD_STATUS;
      assert_int_equal (streams_client_request (self, 0, &request), 502);
      assert_in_range (eg_clock_now_us () - sent_us, 0,
                       REPLACED_MS * EG_US_PER_MS);
    }
}

static bool
answer_is_taken (const struct streams_fixture *self)
{
  return self->next_answer == STREAMS_ANSWER_WELL;
}

static void
test_stream_is_resumed_after_a_resumption_without_a_valid_status (void **state)
{
  struct streams_fixture *self = *state;

  for (unsigned i = 0; i < STREAMS_SERVERS; i++)
    self->engines[i].runs = 0;
  self->bad_status = bad_statuses[0];
  self->next_answer = STREAMS_ANSWER_ENDS_INSIDE_EVENT;
  streams_client_start (self, 0);
  assert_true (streams_wait (self, answer_is_taken, REPLACED_MS));
  self->next_answer = STREAMS_ANSWER_BAD_STATUS;
  while (!streams_client_has_ended (self, 0))
    streams_run (self, 10);
  assert_whole (self);
  assert_int_equal (streams_count_runs (self), 3);
}

#define ANSWER_TEST(name)                                                      \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      ANSWER_TEST (answer_that_ends_with_its_connection_is_whole),
      ANSWER_TEST (answer_without_length_that_is_reset_is_not_whole),
      ANSWER_TEST (stream_that_ends_inside_an_event_goes_on_elsewhere),
      ANSWER_TEST (stream_that_ends_without_an_event_is_not_whole),
      ANSWER_TEST (body_without_end_that_is_no_answer_is_replaced),
      ANSWER_TEST (answer_without_a_valid_status_is_replaced),
      ANSWER_TEST (request_that_ran_without_a_valid_status_fails_at_once),
      ANSWER_TEST (stream_is_resumed_after_a_resumption_without_a_valid_status),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
