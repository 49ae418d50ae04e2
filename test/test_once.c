#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/clock.h"
#include "standin/once_run.h"
#include "test/path_fixture.h"

#define SEED 20261203
#define CONTROL(address) "http://" ADMIN "/standin/" address "/faults"

/* Events of the history of one request with two bodies; ends with END. */
struct history_event
{
  enum
  {
    END,
    ATTEMPT, /* attempt with its outcome */
    EXECUTION,
  } type;
  bool other_body;
  struct eg_once_outcome outcome;
  size_t attempt; /* index of the attempt of an execution */
};

#define OK_RESPONSE                                                            \
  {                                                                            \
    .status = 200, .own_body = true                                            \
  }
#define ERROR_RESPONSE(code, word)                                             \
  {                                                                            \
    .status = (code), .ran = EG_ONCE_RAN_##word                                \
  }

static const struct
{
  const char *name;
  struct history_event events[6];
  enum eg_once_violation violation; /* EG_ONCE_VIOLATION_COUNT: none */
} cases[] = {
    {"repeat returns the stored response",
     {{ATTEMPT, false, OK_RESPONSE, 0},
      {EXECUTION, false, {0}, 0},
      {ATTEMPT, false, OK_RESPONSE, 0},
      {ATTEMPT, true, ERROR_RESPONSE (422, NO), 0}},
     EG_ONCE_VIOLATION_COUNT},
    {"`no`, then a later attempt is executed",
     {{ATTEMPT, false, ERROR_RESPONSE (503, NO), 0},
      {ATTEMPT, false, {0}, 0},
      {EXECUTION, false, {0}, 1}},
     EG_ONCE_VIOLATION_COUNT},
    {"two executions",
     {{ATTEMPT, false, OK_RESPONSE, 0},
      {EXECUTION, false, {0}, 0},
      {ATTEMPT, false, OK_RESPONSE, 0},
      {EXECUTION, false, {0}, 1}},
     EG_ONCE_DUPLICATE_EXECUTION},
    {"response without an execution",
     {{ATTEMPT, false, OK_RESPONSE, 0}},
     EG_ONCE_RESPONSE_WITHOUT_EXECUTION},
    {"`yes` without an execution",
     {{ATTEMPT, false, ERROR_RESPONSE (409, YES), 0}},
     EG_ONCE_YES_WITHOUT_EXECUTION},
    {"`no` to the executed attempt",
     {{ATTEMPT, false, ERROR_RESPONSE (503, NO), 0},
      {EXECUTION, false, {0}, 0}},
     EG_ONCE_NO_BUT_EXECUTED},
    {"`no` after an execution",
     {{ATTEMPT, false, {0}, 0},
      {EXECUTION, false, {0}, 0},
      {ATTEMPT, false, ERROR_RESPONSE (503, NO), 0}},
     EG_ONCE_NO_AFTER_EXECUTION},
    {"`no` after a response whose execution is recorded later",
     {{ATTEMPT, false, OK_RESPONSE, 0},
      {ATTEMPT, false, ERROR_RESPONSE (503, NO), 0},
      {EXECUTION, false, {0}, 0}},
     EG_ONCE_NO_AFTER_EXECUTION},
    {"response to a different body",
     {{ATTEMPT, false, {.status = 200}, 0}, {EXECUTION, false, {0}, 0}},
     EG_ONCE_BODY_MISMATCH},
    {"responses to two bodies",
     {{ATTEMPT, false, OK_RESPONSE, 0},
      {ATTEMPT, true, OK_RESPONSE, 0},
      {EXECUTION, false, {0}, 0}},
     EG_ONCE_CONFLICTING_RESPONSES},
    {"422 without a different body",
     {{ATTEMPT, false, ERROR_RESPONSE (422, NO), 0}},
     EG_ONCE_KEY_REUSE_WITHOUT_CAUSE},
    {"422 to the body that got a response",
     {{ATTEMPT, true, ERROR_RESPONSE (422, NO), 0},
      {ATTEMPT, false, ERROR_RESPONSE (422, NO), 0},
      {ATTEMPT, false, OK_RESPONSE, 0},
      {EXECUTION, false, {0}, 2}},
     EG_ONCE_KEY_REUSE_OF_SAME_BODY},
    {"execution without an attempt",
     {{EXECUTION, false, {0}, 7}},
     EG_ONCE_UNKNOWN_EXECUTION},
};

static void
fill_history (struct eg_once_history *history,
              const struct history_event *events)
{
  int64_t now_us = 0;

  for (; events->type != END; events++, now_us += 2)
    if (events->type == EXECUTION)
      eg_once_history_add_execution (history, 0, events->attempt, now_us);
    else
      eg_once_history_end_attempt (
          history,
          eg_once_history_add_attempt (history, 0, 0, events->other_body,
                                       now_us),
          &events->outcome, now_us + 1);
}

static void
test_history (void **state)
{
  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct eg_once_history history;
      struct eg_once_findings findings;
      bool is_consistent = cases[i].violation == EG_ONCE_VIOLATION_COUNT;

      eg_once_history_init (&history, 1);
      fill_history (&history, cases[i].events);
      eg_once_history_check (&history, &findings);
      print_message ("%s\n", cases[i].name);
      assert_int_equal (findings.total, is_consistent ? 0 : 1);
      if (!is_consistent)
        assert_int_equal (findings.violations[cases[i].violation], 1);
      eg_once_history_finish (&history);
    }
}

#define FAULT_AT(ms, of, fault)                                                \
  {                                                                            \
    .at_us = (ms) *EG_US_PER_MS, .label = "fault", .url = CONTROL (of),        \
    .body = (fault)                                                            \
  }
#define HEAL_AT(ms, of)                                                        \
  {                                                                            \
    .at_us = (ms) *EG_US_PER_MS, .label = "heal", .url = CONTROL (of)          \
  }

/* Asserts only what holds for any scheduling of the processes: faults of the
   platform and of the service must cause no violation. */
static void
test_faults (void **state)
{
  static struct eg_load_target targets[] = {{CALLERS}, {OTHER_CALLERS}};
  static struct eg_load_fault faults[] = {
      FAULT_AT (100, PLATFORM, "{\"fault\":\"lose-reply\",\"count\":8}"),
      FAULT_AT (250, SERVICE, "{\"fault\":\"lose-reply\",\"count\":4}"),
      FAULT_AT (450, PLATFORM, "{\"fault\":\"down\"}"),
      HEAL_AT (650, PLATFORM),
      FAULT_AT (750, SERVICE, "{\"fault\":\"die\"}"),
      HEAL_AT (850, SERVICE),
      FAULT_AT (950, PLATFORM, "{\"fault\":\"slow\",\"ms\":50}"),
      HEAL_AT (1150, PLATFORM),
  };
  static struct eg_load_record_source records[] = {
      {"http://" ADMIN "/standin/" SERVICE "/record"}};
  static const struct eg_once_scenario scenario = {
      .base = {.name = "test",
               .targets = targets,
               .n_targets = 2,
               .faults = faults,
               .n_faults = sizeof faults / sizeof *faults,
               .record_sources = records,
               .n_record_sources = 1,
               .duration_us = 1200 * EG_US_PER_MS,
               .drain_us = 1500 * EG_US_PER_MS,
               .request_timeout_us = 2 * EG_US_PER_S},
      .service = "app",
      .organisation = "temple",
      .requests = 60,
      .ticket_share = 0.25,
      .plain_share = 0.15,
      .other_body_share = 0.25,
      .duplicates = true,
      .repeats = true,
      .repeat_us = 200 * EG_US_PER_MS,
      .deadline_us = 500 * EG_US_PER_MS,
      .record_interval_us = 50 * EG_US_PER_MS,
  };
  struct path_fixture fixture;
  struct eg_once_results results;
  struct eg_error error = {0};
  size_t responses = 0;

  (void) state;
  path_fixture_init (&fixture);
  assert_int_equal (eg_once_run (&scenario, "test", SEED, &results, &error),
                    EG_OK);
  for (size_t i = 0; i < scenario.base.n_faults; i++)
    assert_true (results.load.faults[i].done);
  assert_true (results.records_are_complete);
  for (size_t i = 0; i < results.history.n_attempts; i++)
    responses += results.history.attempts[i].outcome.status == 200;
  assert_true (responses > 0);
  for (int i = 0; i < EG_ONCE_VIOLATION_COUNT; i++)
    if (results.findings.violations[i] > 0)
      print_error ("%s: request %zu\n",
                   eg_once_violation_name ((enum eg_once_violation) i),
                   results.findings.first_request[i]);
  assert_int_equal (results.findings.total, 0);
  eg_once_results_finish (&results);
  path_fixture_finish (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_history),
      cmocka_unit_test (test_faults),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
