/* Unit tests of the load tool without network access. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "standin/load_arrivals.h"
#include "standin/load_audit.h"
#include "standin/load_check.h"
#include "standin/load_recovery.h"
#include "standin/load_scenario.h"
#include "standin/load_sse.h"
#include "standin/load_targets.h"
#include "standin/token.h"

#define PROMPT "Where does the name come from?"
#define STREAM(extra)                                                          \
  "{\"name\":\"s\",\"organisation\":\"o\",\"rate_per_s\":100" extra "}"
#define SCENARIO(streams, extra)                                               \
  "{\"name\":\"n\",\"duration_ms\":5000,\"targets\":[{\"address\":"            \
  "\"127.0.0.1:8000\"}],\"streams\":[" streams "]" extra "}"

static void
record_event (void *context, struct eg_str event, struct eg_str data)
{
  eg_buffer_printf (context, "<%.*s|%.*s>", EG_STR_ARGS (event),
                    EG_STR_ARGS (data));
}

static void
test_sse_split_input (void **state)
{
  static const char text[] = "data: one\n\n: comment\r\nevent: error\r\n"
                             "data:two\r\n\r\ndata: a\ndata: b\n\n\ndata: cut";

  (void) state;
  for (size_t i = 0; i <= sizeof text - 1; i++)
    for (size_t j = i; j <= sizeof text - 1; j++)
      {
        struct eg_load_sse sse;
        struct eg_buffer seen = {0};

        eg_load_sse_init (&sse, record_event, &seen);
        eg_load_sse_feed (&sse, (struct eg_str){text, i});
        eg_load_sse_feed (&sse, (struct eg_str){text + i, j - i});
        eg_load_sse_feed (&sse, (struct eg_str){text + j, sizeof text - 1 - j});
        assert_string_equal (eg_buffer_text (&seen),
                             "<|one><error|two><|a\nb>");
        assert_true (eg_load_sse_is_partial (&sse));
        eg_load_sse_finish (&sse);
        eg_buffer_finish (&seen);
      }
}

static void
feed_token (struct eg_load_check *check,
            int64_t position,
            int64_t text_position)
{
  char token[EG_TOKEN_BYTES];
  char data[64];

  eg_token_text (EG_STR (PROMPT), text_position, token);
  snprintf (data, sizeof data, "{\"position\":%d,\"token\":\"%s\"}",
            (int) position, token);
  eg_load_check_event (check, EG_STR (""), eg_str_from (data));
}

/* Checks a response of three expected tokens that consists of the tokens at
   the given positions, terminated by 0, and of the event `last`. */
static struct eg_load_verdict
verdict_of (const int64_t *positions,
            const char *last,
            const char *transport_error)
{
  struct eg_load_check check;
  struct eg_load_verdict verdict;

  eg_load_check_init (&check, EG_LOAD_RESPONSE_STREAM, EG_STR (PROMPT), 3);
  for (; *positions; positions++)
    feed_token (&check, *positions, *positions);
  if (last)
    eg_load_check_event (&check, EG_STR (""), eg_str_from (last));
  eg_load_check_end (&check, 200, transport_error, EG_STR (""), &verdict);
  return verdict;
}

static void
test_check_causes (void **state)
{
  static const struct
  {
    int64_t positions[5];
    const char *last;
    const char *transport_error;
    enum eg_load_outcome outcome;
    const char *cause;
  } cases[] = {
      {{1, 2, 3}, "[DONE]", NULL, EG_LOAD_COMPLETE, ""},
      {{1, 3}, "[DONE]", NULL, EG_LOAD_WRONG, "gap"},
      {{2}, "[DONE]", NULL, EG_LOAD_WRONG, "gap"},
      {{1, 2, 2, 3}, "[DONE]", NULL, EG_LOAD_WRONG, "repeat"},
      {{1, 2, 3}, NULL, NULL, EG_LOAD_WRONG, "missing-end"},
      {{1, 2}, "[DONE]", NULL, EG_LOAD_WRONG, "wrong-length"},
      {{1, 2, 3, 4}, "[DONE]", NULL, EG_LOAD_WRONG, "wrong-length"},
      {{1, 2}, NULL, "connection-lost", EG_LOAD_TRANSPORT, "connection-lost"},
      {{1, 3}, NULL, "connection-lost", EG_LOAD_WRONG, "gap"},
      {{1},
       "{\"position\":2,\"token\":\"t00000000 \"}",
       NULL,
       EG_LOAD_WRONG,
       "foreign-token"},
      {{1}, "{}", NULL, EG_LOAD_WRONG, "malformed-event"},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct eg_load_verdict verdict = verdict_of (
          cases[i].positions, cases[i].last, cases[i].transport_error);

      assert_int_equal (verdict.outcome, cases[i].outcome);
      assert_string_equal (verdict.cause, cases[i].cause);
    }
}

static void
test_check_error_events (void **state)
{
  struct eg_load_check check;
  struct eg_load_verdict verdict;
  struct eg_str problem = EG_STR ("{\"type\":\"deadline\",\"ran\":\"yes\"}");

  (void) state;
  eg_load_check_init (&check, EG_LOAD_RESPONSE_STREAM, EG_STR (PROMPT), 3);
  feed_token (&check, 1, 1);
  eg_load_check_event (&check, EG_STR ("error"), problem);
  eg_load_check_end (&check, 200, NULL, EG_STR (""), &verdict);
  assert_int_equal (verdict.outcome, EG_LOAD_ABORTED);
  assert_string_equal (verdict.cause, "deadline");
  assert_string_equal (verdict.ran, "yes");

  eg_load_check_event (&check, EG_STR (""), EG_STR ("[DONE]"));
  eg_load_check_end (&check, 200, NULL, EG_STR (""), &verdict);
  assert_int_equal (verdict.outcome, EG_LOAD_WRONG);
  assert_string_equal (verdict.cause, "event-after-end");

  eg_load_check_init (&check, EG_LOAD_RESPONSE_STREAM, EG_STR (PROMPT), 3);
  eg_load_check_end (&check, 429, NULL, problem, &verdict);
  assert_int_equal (verdict.outcome, EG_LOAD_REFUSED);
  assert_int_equal (verdict.http_status, 429);
}

static struct eg_load_verdict
object_verdict (const char *text, int tokens)
{
  struct eg_load_check check;
  struct eg_load_verdict verdict;
  char body[256];

  snprintf (body, sizeof body, "{\"text\":\"%s\",\"tokens\":%d}", text, tokens);
  eg_load_check_init (&check, EG_LOAD_RESPONSE_OBJECT, EG_STR (PROMPT), 2);
  eg_load_check_end (&check, 200, NULL, eg_str_from (body), &verdict);
  return verdict;
}

static void
test_check_object (void **state)
{
  char first[EG_TOKEN_BYTES];
  char second[EG_TOKEN_BYTES];
  char text[64];

  (void) state;
  eg_token_text (EG_STR (PROMPT), 1, first);
  eg_token_text (EG_STR (PROMPT), 2, second);
  snprintf (text, sizeof text, "%s%s", first, second);
  assert_int_equal (object_verdict (text, 2).outcome, EG_LOAD_COMPLETE);
  assert_string_equal (object_verdict (text, 3).cause, "wrong-length");
  assert_string_equal (object_verdict (first, 1).cause, "wrong-length");
  snprintf (text, sizeof text, "%s%s", second, first);
  assert_string_equal (object_verdict (text, 2).cause, "foreign-token");
  snprintf (text, sizeof text, "%s%s.", first, second);
  assert_string_equal (object_verdict (text, 2).cause, "foreign-token");
  assert_string_equal (object_verdict ("\",\"text\":1,\"x\":\"", 2).cause,
                       "malformed-object");
}

static size_t
list_arrivals (const char *scenario_text,
               uint64_t seed,
               int64_t *times,
               size_t capacity)
{
  struct eg_load_scenario scenario;
  struct eg_load_arrivals arrivals;
  struct eg_error error;
  size_t count = 0;

  assert_int_equal (eg_load_scenario_init (&scenario, scenario_text, &error),
                    EG_OK);
  eg_load_arrivals_init (&arrivals, &scenario, 0, seed);
  for (; arrivals.next_us != EG_LOAD_NEVER && count < capacity; count++)
    {
      times[count] = arrivals.next_us;
      eg_load_arrivals_advance (&arrivals);
    }
  eg_load_scenario_finish (&scenario);
  return count;
}

static void
test_arrivals_seed_and_rate (void **state)
{
  static const char poisson[] = SCENARIO (STREAM (",\"model\":\"m\""), "");
  int64_t first[1000] = {0};
  int64_t second[1000] = {0};
  size_t count = list_arrivals (poisson, 7, first, 1000);

  (void) state;
  /* 500 expected, with a standard deviation of 22; 3 deviations allowed. */
  assert_in_range (count, 430, 570);
  assert_int_equal (list_arrivals (poisson, 7, second, 1000), count);
  assert_memory_equal (first, second, count * sizeof *first);
  list_arrivals (poisson, 8, second, 1000);
  assert_memory_not_equal (first, second, sizeof *first);
}

static void
test_arrivals_phases (void **state)
{
  static const char ramp[] =
      SCENARIO (STREAM (",\"model\":\"m\",\"arrivals\":\"uniform\""),
                ",\"phases\":[{\"at_ms\":1005,\"rate_factor\":0},"
                "{\"at_ms\":2000,\"rate_factor\":2}]");
  int64_t times[1000] = {0};
  size_t count = list_arrivals (ramp, 1, times, 1000);
  size_t last = 0;

  (void) state;
  assert_int_equal (times[0], 10 * EG_US_PER_MS);
  while (last + 1 < count && times[last + 1] < 1005 * EG_US_PER_MS)
    last++;
  /* The phase ends at 1 s + 5 ms, in the middle of an interval of 10 ms; the
     second half passes from 2 s on, in 2.5 ms as the rate is doubled. */
  assert_in_range (times[last], 999990, 1000010);
  assert_in_range (times[last + 1], 2002490, 2002510);
  assert_in_range (count - last, 600, 601); /* 200 per second for 3 s */
}

#define BUCKETS 200

static void
fill_buckets (struct eg_load_bucket *buckets,
              size_t from,
              size_t to,
              uint32_t complete,
              uint32_t tokens)
{
  for (size_t i = from; i < to; i++)
    buckets[i] = (struct eg_load_bucket){10, complete, 10, complete, tokens};
}

static struct eg_load_recovery
recovery_of (const struct eg_load_bucket *buckets)
{
  static const struct eg_load_recovery_criteria criteria = {
      EG_US_PER_S, 3 * EG_US_PER_S, 0.95};
  struct eg_load_series series = {buckets, BUCKETS};
  struct eg_load_recovery recovery;

  eg_load_recovery_compute (&series, &criteria, EG_US_PER_S, 5 * EG_US_PER_S,
                            20 * EG_US_PER_S, &recovery);
  return recovery;
}

static void
test_recovery_time (void **state)
{
  struct eg_load_bucket buckets[BUCKETS];
  struct eg_load_recovery recovery;

  (void) state;
  fill_buckets (buckets, 0, BUCKETS, 10, 100);
  recovery = recovery_of (buckets);
  assert_true (recovery.measured && recovery.recovered);
  assert_int_equal (recovery.time_us, 0);

  /* No responses for 2 s, and too few tokens for 3 s: a window of ten buckets
     with one of them at 40 % is below 95 %. */
  fill_buckets (buckets, 50, 70, 0, 0);
  fill_buckets (buckets, 70, 80, 10, 40);
  recovery = recovery_of (buckets);
  assert_true (recovery.recovered);
  assert_int_equal (recovery.time_us, 3 * EG_US_PER_S);
  assert_true (recovery.lowest_success == 0);
  assert_true (recovery.tokens_per_s_before == 1000);

  /* Windows must stay healthy for another window length to count. */
  fill_buckets (buckets, 80, 95, 10, 100);
  fill_buckets (buckets, 95, 100, 4, 100);
  assert_int_equal (recovery_of (buckets).time_us, 5 * EG_US_PER_S);

  fill_buckets (buckets, 50, BUCKETS, 9, 100);
  assert_false (recovery_of (buckets).recovered);
}

static json_t *
record_json (const char *runs)
{
  char text[1024];
  json_t *record;

  snprintf (text, sizeof text, "{\"runs\":[%s]}", runs);
  record = json_loads (text, 0, NULL);
  assert_non_null (record);
  return record;
}

#define EXECUTION(attempt, position, first, last, sequence)                    \
  "{\"request\":\"r\",\"server\":\"e\",\"attempt\":" #attempt                  \
  ",\"position\":" #position ",\"first\":" #first ",\"last\":" #last           \
  ",\"sequence\":" #sequence "}"

/* Audits request "r" on a model of four layers, of which clients received the
   given number of tokens. */
static struct eg_load_audit_result
audit_received (const char *head_runs, const char *tail_runs, uint64_t received)
{
  struct eg_load_audit *audit = eg_load_audit_new (4);
  json_t *head = record_json (head_runs);
  json_t *tail = tail_runs ? record_json (tail_runs) : NULL;
  struct eg_load_audit_result result;
  struct eg_error error;

  assert_int_equal (eg_load_audit_add_engine (audit, head, &error), EG_OK);
  assert_int_equal (eg_load_audit_add_engine (audit, tail, &error), EG_OK);
  eg_load_audit_check (audit, received);
  result = *eg_load_audit_result (audit);
  eg_load_audit_free (audit);
  json_decref (head);
  json_decref (tail);
  return result;
}

static struct eg_load_audit_result
audit_of (const char *head_runs, const char *tail_runs)
{
  return audit_received (head_runs, tail_runs, 2);
}

static void
test_audit_layers (void **state)
{
  static const char head[] =
      EXECUTION (1, 1, 1, 2, 1) "," EXECUTION (1, 2, 1, 2, 3);
  static const char tail[] =
      EXECUTION (1, 1, 3, 4, 2) "," EXECUTION (1, 2, 3, 4, 4);
  struct eg_load_audit_result result = audit_of (head, tail);

  (void) state;
  assert_int_equal (result.tokens, 2);
  assert_false (eg_load_audit_failed (&result));
  assert_int_equal (audit_of (head, EXECUTION (1, 1, 3, 4, 2)).missing, 1);
  assert_int_equal (
      audit_of (head, EXECUTION (1, 1, 3, 4, 2) "," EXECUTION (1, 2, 4, 4, 4))
          .missing,
      1);
  assert_int_equal (
      audit_of (head, EXECUTION (1, 1, 3, 4, 2) "," EXECUTION (1, 2, 2, 4, 4))
          .repeated,
      1);
  result = audit_of (head, NULL);
  assert_int_equal (result.unverified, 2);
  assert_int_equal (result.missing, 0);
  /* Attempt 2 restarted at position 1 and reached only the head engine. */
  result = audit_of (EXECUTION (1, 1, 1, 2, 1) "," EXECUTION (
                         1, 2, 1, 2, 3) "," EXECUTION (2, 1, 1, 2, 5),
                     tail);
  assert_int_equal (result.tokens, 1);
  assert_int_equal (result.missing, 1); /* as clients received two */
  result = audit_received (EXECUTION (1, 1, 1, 2, 1) "," EXECUTION (
                               1, 2, 1, 2, 3) "," EXECUTION (2, 1, 1, 2, 5),
                           tail, 1);
  assert_false (eg_load_audit_failed (&result));
  /* Position 2 depends on position 1, which the tail did not execute. */
  assert_int_equal (audit_received (head, EXECUTION (1, 2, 3, 4, 4), 0).missing,
                    1);
  /* The head executed position 2 for an attempt that lost its tail engine. */
  result = audit_of (EXECUTION (1, 1, 1, 2, 1) "," EXECUTION (
                         1, 2, 1, 2, 3) "," EXECUTION (2, 2, 1, 2, 4),
                     EXECUTION (1, 1, 3, 4, 2) "," EXECUTION (2, 2, 3, 4, 5));
  assert_false (eg_load_audit_failed (&result));
  assert_int_equal (result.other_attempts, 1);
}

static void
test_audit_order (void **state)
{
  static const char head[] =
      EXECUTION (1, 1, 1, 2, 1) "," EXECUTION (1, 2, 1, 2, 3);

  (void) state;
  /* The tail executed position 1 after the head had executed position 2. */
  assert_int_equal (
      audit_of (head, EXECUTION (1, 1, 3, 4, 4) "," EXECUTION (1, 2, 3, 4, 5))
          .out_of_order,
      1);
  /* The tail executed position 1 before the head did. */
  assert_int_equal (
      audit_of (head, EXECUTION (1, 1, 3, 4, 0) "," EXECUTION (1, 2, 3, 4, 4))
          .out_of_order,
      1);
}

static void
test_targets_skip_unhealthy (void **state)
{
  struct eg_load_target list[] = {{"127.0.0.1:1"}, {"127.0.0.1:2"}};
  struct eg_load_scenario scenario = {
      .targets = list, .n_targets = 2, .health_interval_us = 1};
  struct eg_load_targets *targets = eg_load_targets_new (&scenario, NULL, 1);

  (void) state;
  assert_int_not_equal (eg_load_targets_choose (targets),
                        eg_load_targets_choose (targets));
  eg_load_targets_mark_refused (targets, 0);
  assert_int_equal (eg_load_targets_choose (targets), 1);
  assert_int_equal (eg_load_targets_choose (targets), 1);
  eg_load_targets_mark_refused (targets, 1);
  assert_int_not_equal (eg_load_targets_choose (targets),
                        eg_load_targets_choose (targets));
  eg_load_targets_free (targets);
}

static void
test_scenario_errors (void **state)
{
  static const struct
  {
    const char *text;
    const char *message;
  } cases[] = {
      {"{", "line 1"},
      {"{\"name\":\"n\",\"duration_ms\":1}", "streams: must be given"},
      {SCENARIO ("", ""), "streams: must not be empty"},
      {SCENARIO (STREAM (""), ""), "streams[0]: expected exactly one of"},
      {SCENARIO (STREAM (",\"model\":1"), ""), "streams[0].model: expected"},
      {SCENARIO (STREAM (",\"modle\":\"m\""), ""),
       "streams[0].modle: unknown key"},
      {SCENARIO (STREAM (",\"model\":\"m\",\"max_tokens\":{\"min\":3,"
                         "\"max\":2}"),
                 ""),
       "streams[0].max_tokens: expected a count"},
      {SCENARIO (STREAM (",\"direct\":{\"chain\":[{\"address\":"
                         "\"127.0.0.1:1\",\"layers\":[2,1]}]}"),
                 ""),
       "streams[0].direct.chain[0].layers: expected [FIRST, LAST]"},
      {SCENARIO (STREAM (",\"model\":\"m\""),
                 ",\"faults\":[{\"at_ms\":1,\"label\":\"x\"}]"),
       "faults[0]: expected exactly one of \"post\", \"delete\" and \"kill\""},
      {SCENARIO (STREAM (",\"model\":\"m\""),
                 ",\"faults\":[{\"at_ms\":1,\"label\":\"x\",\"kill\":"
                 "{\"pid_file\":\"p\",\"signal\":\"HUP\"}}]"),
       "faults[0].kill.signal: expected \"TERM\""},
      {SCENARIO (STREAM (",\"model\":\"m\""), ",\"warm_up_ms\":-1"),
       "warm_up_ms: expected an integer of milliseconds from 0"},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct eg_load_scenario scenario;
      struct eg_error error = {0};

      assert_int_equal (
          eg_load_scenario_init (&scenario, cases[i].text, &error), EG_INVALID);
      if (!strstr (error.message, cases[i].message))
        fail_msg ("%s: got \"%s\"", cases[i].message, error.message);
      eg_load_scenario_finish (&scenario);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_sse_split_input),
      cmocka_unit_test (test_check_causes),
      cmocka_unit_test (test_check_error_events),
      cmocka_unit_test (test_check_object),
      cmocka_unit_test (test_arrivals_seed_and_rate),
      cmocka_unit_test (test_arrivals_phases),
      cmocka_unit_test (test_recovery_time),
      cmocka_unit_test (test_audit_layers),
      cmocka_unit_test (test_audit_order),
      cmocka_unit_test (test_targets_skip_unhealthy),
      cmocka_unit_test (test_scenario_errors),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
