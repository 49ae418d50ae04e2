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
struct note
{
  enum
  {
    END,
    SENDING, /* attempt with its outcome */
    RUN,
  } what;
  bool other_body;
  struct eg_once_end end;
  size_t sending; /* index of the attempt of an execution */
};

#define ANSWER                                                                 \
  {                                                                            \
    .status = 200, .own_body = true                                            \
  }
#define REFUSAL(code, word)                                                    \
  {                                                                            \
    .status = (code), .ran = EG_ONCE_RAN_##word                                \
  }

static const struct
{
  const char *name;
  struct note notes[6];
  enum eg_once_violation violation; /* EG_ONCE_VIOLATION_COUNT: none */
} books[] = {
    {"repeat returns the stored response",
     {{SENDING, false, ANSWER, 0},
      {RUN, false, {0}, 0},
      {SENDING, false, ANSWER, 0},
      {SENDING, true, REFUSAL (422, NO), 0}},
     EG_ONCE_VIOLATIONS},
    {"`no`, then a later attempt is executed",
     {{SENDING, false, REFUSAL (503, NO), 0},
      {SENDING, false, {0}, 0},
      {RUN, false, {0}, 1}},
     EG_ONCE_VIOLATIONS},
    {"two executions",
     {{SENDING, false, ANSWER, 0},
      {RUN, false, {0}, 0},
      {SENDING, false, ANSWER, 0},
      {RUN, false, {0}, 1}},
     EG_ONCE_RAN_TWICE},
    {"response without an execution",
     {{SENDING, false, ANSWER, 0}},
     EG_ONCE_ANSWER_NO_RUN},
    {"`yes` without an execution",
     {{SENDING, false, REFUSAL (409, YES), 0}},
     EG_ONCE_YES_NO_RUN},
    {"`no` to the executed attempt",
     {{SENDING, false, REFUSAL (503, NO), 0}, {RUN, false, {0}, 0}},
     EG_ONCE_NO_BUT_RAN},
    {"`no` after an execution",
     {{SENDING, false, {0}, 0},
      {RUN, false, {0}, 0},
      {SENDING, false, REFUSAL (503, NO), 0}},
     EG_ONCE_NO_AFTER_RUN},
    {"`no` after a response whose execution is recorded later",
     {{SENDING, false, ANSWER, 0},
      {SENDING, false, REFUSAL (503, NO), 0},
      {RUN, false, {0}, 0}},
     EG_ONCE_NO_AFTER_RUN},
    {"response to a different body",
     {{SENDING, false, {.status = 200}, 0}, {RUN, false, {0}, 0}},
     EG_ONCE_OTHERS_ANSWER},
    {"responses to two bodies",
     {{SENDING, false, ANSWER, 0},
      {SENDING, true, ANSWER, 0},
      {RUN, false, {0}, 0}},
     EG_ONCE_ANSWERS_DIFFER},
    {"422 without a different body",
     {{SENDING, false, REFUSAL (422, NO), 0}},
     EG_ONCE_REUSED_NO_CAUSE},
    {"422 to the body that got a response",
     {{SENDING, true, REFUSAL (422, NO), 0},
      {SENDING, false, REFUSAL (422, NO), 0},
      {SENDING, false, ANSWER, 0},
      {RUN, false, {0}, 2}},
     EG_ONCE_REUSED_BUT_TAKEN},
    {"execution without an attempt",
     {{RUN, false, {0}, 7}},
     EG_ONCE_FOREIGN_RUN},
};

static void
write_book (struct eg_once_book *book, const struct note *notes)
{
  int64_t now_us = 0;

  for (; notes->what != END; notes++, now_us += 2)
    if (notes->what == RUN)
      eg_once_book_run (book, 0, notes->sending, now_us);
    else
      eg_once_book_end (
          book, eg_once_book_send (book, 0, 0, notes->other_body, now_us),
          &notes->end, now_us + 1);
}

static void
test_book (void **state)
{
  (void) state;
  for (size_t i = 0; i < sizeof books / sizeof *books; i++)
    {
      struct eg_once_book book;
      struct eg_once_findings findings;
      bool sound = books[i].violation == EG_ONCE_VIOLATIONS;

      eg_once_book_init (&book, 1);
      write_book (&book, books[i].notes);
      eg_once_book_check (&book, &findings);
      print_message ("%s\n", books[i].name);
      assert_int_equal (findings.total, sound ? 0 : 1);
      if (!sound)
        assert_int_equal (findings.violations[books[i].violation], 1);
      eg_once_book_finish (&book);
    }
}

#define AT(ms, of, fault)                                                      \
  {                                                                            \
    .at_us = (ms) *EG_US_PER_MS, .label = "fault", .url = CONTROL (of),        \
    .body = (fault)                                                            \
  }
#define HEAL(ms, of)                                                           \
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
      AT (100, PLATFORM, "{\"fault\":\"lose-reply\",\"count\":8}"),
      AT (250, SERVICE, "{\"fault\":\"lose-reply\",\"count\":4}"),
      AT (450, PLATFORM, "{\"fault\":\"down\"}"),
      HEAL (650, PLATFORM),
      AT (750, SERVICE, "{\"fault\":\"die\"}"),
      HEAL (850, SERVICE),
      AT (950, PLATFORM, "{\"fault\":\"slow\",\"ms\":50}"),
      HEAL (1150, PLATFORM),
  };
  static struct eg_load_record_source records[] = {
      {"http://" ADMIN "/standin/" SERVICE "/record"}};
  static const struct eg_once_scenario scenario = {
      .base = {.name = "test",
               .targets = targets,
               .n_targets = 2,
               .faults = faults,
               .n_faults = sizeof faults / sizeof *faults,
               .audited = records,
               .n_audited = 1,
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
  size_t answers = 0;

  (void) state;
  path_fixture_init (&fixture);
  assert_int_equal (eg_once_run (&scenario, "test", SEED, &results, &error),
                    EG_OK);
  for (size_t i = 0; i < scenario.base.n_faults; i++)
    assert_true (results.load.faults[i].done);
  assert_true (results.records_are_whole);
  for (size_t i = 0; i < results.book.n_sendings; i++)
    answers += results.book.sendings[i].end.status == 200;
  assert_true (answers > 0);
  for (int i = 0; i < EG_ONCE_VIOLATIONS; i++)
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
      cmocka_unit_test (test_book),
      cmocka_unit_test (test_faults),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
