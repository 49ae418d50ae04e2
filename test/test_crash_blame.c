/* Tests of which requests are blamed for crashes of their servers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "base/random.h"
#include "policy/crash_blame.h"

#define MS INT64_C (1000)
#define SECOND (1000 * MS)
#define SETTLE_US (500 * MS)

static const struct eg_crash_blame_config config = {.crashes_min = {3, 4},
                                                    .trust_us = 2 * SECOND,
                                                    .settle_us = SETTLE_US,
                                                    .window_us = 600 * SECOND,
                                                    .duration_us = 600 * SECOND,
                                                    .suspects_max = 8192};

#define REQUEST(id) ((struct eg_subject){EG_SUBJECT_REQUEST, (id)})
#define PART(id) ((struct eg_subject){EG_SUBJECT_PART, (id)})
#define DEADLY REQUEST (1)
#define SOUND REQUEST (2)

static void
record_crash (struct eg_crash_blame *self,
              struct eg_subject subject,
              const struct eg_crash *crash)
{
  eg_crash_blame_record_crash (self, subject, crash, crash->at_us);
  eg_crash_blame_check (self, crash->at_us);
}

static void
crash (struct eg_crash_blame *self,
       struct eg_subject subject,
       uint64_t server,
       int64_t at_us)
{
  record_crash (self, subject, &(struct eg_crash){server, at_us, false});
}

/* As crash(), where a run had delivered something. */
static void
crash_after_delivery (struct eg_crash_blame *self,
                      struct eg_subject subject,
                      uint64_t server,
                      int64_t at_us)
{
  record_crash (self, subject, &(struct eg_crash){server, at_us, true});
}

static bool
is_blamed (const struct eg_crash_blame *self,
           struct eg_subject subject,
           int64_t now_us)
{
  return eg_crash_blame_is_blamed (self, subject, now_us, NULL);
}

static void
test_three_crashes_blame_after_the_settling_time (void **state)
{
  struct eg_crash_blame self;
  int64_t retry_after_us;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 1; i <= 3; i++)
    crash (&self, DEADLY, i, i * SECOND);
  crash (&self, DEADLY, 3, 3 * SECOND);
  eg_crash_blame_check (&self, 3 * SECOND + SETTLE_US - 1);
  assert_false (is_blamed (&self, DEADLY, 3 * SECOND + SETTLE_US - 1));
  eg_crash_blame_check (&self, 3 * SECOND + SETTLE_US);
  assert_true (
      eg_crash_blame_is_blamed (&self, DEADLY, 4 * SECOND, &retry_after_us));
  assert_int_equal (retry_after_us, 602 * SECOND + SETTLE_US - 3 * SECOND);
  assert_false (is_blamed (&self, SOUND, 4 * SECOND));
  assert_false (is_blamed (&self, DEADLY, 700 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_request_that_was_served_since_is_not_blamed (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 1; i <= 3; i++)
    crash (&self, SOUND, i, i * SECOND);
  eg_crash_blame_record_served (&self, SOUND, 3 * SECOND + 200 * MS);
  eg_crash_blame_check (&self, 4 * SECOND);
  assert_false (is_blamed (&self, SOUND, 4 * SECOND));
  crash (&self, SOUND, 4, 5 * SECOND);
  crash (&self, SOUND, 5, 6 * SECOND);
  eg_crash_blame_check (&self, 9 * SECOND);
  assert_false (is_blamed (&self, SOUND, 9 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_blamed_request_that_is_served_elsewhere_is_cleared (void **state)
{
  struct eg_crash_blame self;
  const struct eg_suspect served = {.subject = SOUND, .served_us = 5 * SECOND};
  const struct eg_suspect stale = {.subject = SOUND,
                                   .blamed_us = 3 * SECOND + SETTLE_US,
                                   .crash_count = 1,
                                   .crashes = {{1, SECOND}}};

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 1; i <= 3; i++)
    crash (&self, SOUND, i, i * SECOND);
  eg_crash_blame_check (&self, 4 * SECOND);
  assert_true (is_blamed (&self, SOUND, 4 * SECOND));
  assert_true (eg_crash_blame_merge (&self, &served, 5 * SECOND));
  assert_false (is_blamed (&self, SOUND, 5 * SECOND));
  assert_false (eg_crash_blame_merge (&self, &stale, 6 * SECOND));
  assert_false (is_blamed (&self, SOUND, 6 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_servers_that_lose_power_together_blame_nothing (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 9; i++)
    crash (&self, SOUND, i, SECOND + 3 * MS * i);
  eg_crash_blame_check (&self, 3 * SECOND);
  assert_false (is_blamed (&self, SOUND, 3 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_victims_of_a_blamed_request_are_not_blamed (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 1; i <= 4; i++)
    {
      crash (&self, DEADLY, i, 100 * MS * i);
      if (i > 1)
        crash (&self, SOUND, i, 100 * MS * i);
    }
  eg_crash_blame_check (&self, 2 * SECOND);
  assert_true (is_blamed (&self, DEADLY, 2 * SECOND));
  assert_false (is_blamed (&self, SOUND, 2 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_two_requests_at_the_same_crashes_wait_for_the_next (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 1; i <= 3; i++)
    {
      crash (&self, DEADLY, i, 100 * MS * i);
      crash (&self, SOUND, i, 100 * MS * i);
    }
  eg_crash_blame_check (&self, 2 * SECOND);
  assert_false (is_blamed (&self, DEADLY, 2 * SECOND));
  assert_false (is_blamed (&self, SOUND, 2 * SECOND));
  crash (&self, DEADLY, 4, 3 * SECOND);
  eg_crash_blame_check (&self, 3 * SECOND + SETTLE_US);
  assert_true (is_blamed (&self, DEADLY, 4 * SECOND));
  assert_false (is_blamed (&self, SOUND, 4 * SECOND));
  eg_crash_blame_finish (&self);
}

/* Streams that are resumed meet the deadly one on one server after another. */
static void
test_streams_that_deliver_at_the_same_crashes_are_not_blamed (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 1; i <= 3; i++)
    {
      crash_after_delivery (&self, SOUND, i, 200 * MS * i);
      crash (&self, DEADLY, i, 200 * MS * i);
      crash_after_delivery (&self, REQUEST (3), i, 200 * MS * i);
      /* Another run of it on the same server had not begun. */
      crash (&self, REQUEST (3), i, 200 * MS * i);
    }
  eg_crash_blame_check (&self, 600 * MS + SETTLE_US);
  assert_true (is_blamed (&self, DEADLY, 2 * SECOND));
  assert_false (is_blamed (&self, SOUND, 2 * SECOND));
  assert_false (is_blamed (&self, REQUEST (3), 2 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_requests_that_nothing_tells_apart_are_blamed_together (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 1; i <= 4; i++)
    for (unsigned id = 1; id <= 3; id++)
      crash (&self, REQUEST (id), i, 200 * MS * i);
  eg_crash_blame_check (&self, 2 * SECOND);
  for (unsigned id = 1; id <= 3; id++)
    assert_true (is_blamed (&self, REQUEST (id), 2 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_full_table_keeps_what_is_blamed (void **state)
{
  struct eg_crash_blame_config small = config;
  struct eg_crash_blame self;

  (void) state;
  small.suspects_max = 4;
  assert_true (eg_crash_blame_init (&self, &small, NULL));
  for (unsigned i = 1; i <= 3; i++)
    crash (&self, DEADLY, i, i * SECOND);
  eg_crash_blame_check (&self, 4 * SECOND);
  for (unsigned i = 0; i < 20; i++)
    crash (&self, REQUEST (100 + i), 100 + i, 5 * SECOND + 100 * MS * i);
  assert_int_equal (self.suspects.count, 4);
  assert_true (is_blamed (&self, DEADLY, 8 * SECOND));
  eg_crash_blame_finish (&self);
}

/* Records a crash under a request with two parts. */
static void
crash_parts (struct eg_crash_blame *self,
             uint64_t request,
             uint64_t shared,
             uint64_t part,
             uint64_t server,
             int64_t at_us)
{
  crash (self, REQUEST (request), server, at_us);
  crash (self, PART (shared), server, at_us);
  crash (self, PART (part), server, at_us);
}

#define SHARED_PART 50
#define DEADLY_PART 51

static void
test_part_of_different_requests_is_blamed_but_not_their_shared_one (
    void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  eg_crash_blame_record_served (&self, PART (SHARED_PART), SECOND);
  for (unsigned i = 0; i < 6; i++)
    crash_parts (&self, 10 + i / 2, SHARED_PART, DEADLY_PART, i,
                 10 * SECOND + 200 * MS * i);
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 12 * SECOND));
  assert_false (is_blamed (&self, PART (SHARED_PART), 12 * SECOND));
  for (unsigned i = 10; i < 13; i++)
    assert_false (is_blamed (&self, REQUEST (i), 12 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_part_is_not_blamed_for_what_one_request_does (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 8; i++)
    {
      crash_parts (&self, 10, SHARED_PART, DEADLY_PART, i,
                   SECOND + 200 * MS * i);
      /* Victims with the same parts. */
      crash_parts (&self, 20 + i, SHARED_PART, DEADLY_PART, i,
                   SECOND + 200 * MS * i);
    }
  eg_crash_blame_check (&self, 5 * SECOND);
  assert_true (is_blamed (&self, REQUEST (10), 5 * SECOND));
  assert_false (is_blamed (&self, PART (SHARED_PART), 5 * SECOND));
  assert_false (is_blamed (&self, PART (DEADLY_PART), 5 * SECOND));
  eg_crash_blame_finish (&self);
}

/* What a request would be told, with up to three parts. */
static enum eg_crash_ruling
judge (const struct eg_crash_blame *self,
       uint64_t request,
       const uint64_t *parts,
       size_t part_count,
       int64_t now_us)
{
  const struct eg_crash_subjects subjects = {request, parts, part_count};

  return eg_crash_blame_judge (self, &subjects, now_us).ruling;
}

static void
record_sent (struct eg_crash_blame *self,
             uint64_t request,
             const uint64_t *parts,
             size_t part_count,
             int64_t now_us)
{
  const struct eg_crash_subjects subjects = {request, parts, part_count};

  eg_crash_blame_record_sent (self, &subjects, now_us);
}

/* Records a crash under a request, with its parts in order. */
static void
crash_prompt (struct eg_crash_blame *self,
              uint64_t request,
              const uint64_t *parts,
              size_t part_count,
              uint64_t server,
              int64_t at_us)
{
  const struct eg_crash crash = {server, at_us, false};

  eg_crash_blame_record_crash (self, REQUEST (request), &crash, at_us);
  for (size_t i = 0; i < part_count; i++)
    eg_crash_blame_record_part_crash (
        self, parts[i], &(struct eg_part_use){request, (uint32_t) i + 1},
        &crash, at_us);
  eg_crash_blame_check (self, at_us);
}

#define LATER_PART 52

/* Guards against a route that is refused as a whole after a restart, when
 * nothing that was served is remembered. */
static void
test_shared_part_is_not_blamed_beside_a_deadly_one_after_a_restart (
    void **state)
{
  const uint64_t deadly[] = {SHARED_PART, DEADLY_PART};
  const uint64_t sound[] = {SHARED_PART, LATER_PART};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 6; i++)
    crash_prompt (&self, 10 + i / 2, deadly, 2, i, 10 * SECOND + 200 * MS * i);
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 12 * SECOND));
  assert_false (is_blamed (&self, PART (SHARED_PART), 12 * SECOND));
  assert_int_equal (judge (&self, 20, deadly, 2, 12 * SECOND), EG_CRASH_REFUSE);
  /* One request shows that the shared part is sound; the others wait. */
  assert_int_equal (judge (&self, 21, sound, 2, 12 * SECOND), EG_CRASH_TRY);
  record_sent (&self, 21, sound, 2, 12 * SECOND);
  assert_int_equal (judge (&self, 22, sound, 2, 12 * SECOND + 100 * MS),
                    EG_CRASH_HOLD);
  eg_crash_blame_record_served (&self, PART (SHARED_PART),
                                12 * SECOND + 500 * MS);
  assert_int_equal (judge (&self, 22, sound, 2, 12 * SECOND + 500 * MS),
                    EG_CRASH_SEND);
  assert_int_equal (judge (&self, 23, deadly, 2, 13 * SECOND), EG_CRASH_REFUSE);
  eg_crash_blame_finish (&self);
}

/* Guards against a sound part that is refused for the whole quarantine because
 * it stands behind the deadly one in the prompts. */
static void
test_sound_part_that_is_blamed_is_cleared_by_one_request (void **state)
{
  const uint64_t deadly[] = {DEADLY_PART, LATER_PART};
  const uint64_t sound[] = {SHARED_PART, LATER_PART};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 6; i++)
    crash_prompt (&self, 10 + i / 2, deadly, 2, i, 10 * SECOND + 200 * MS * i);
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_true (is_blamed (&self, PART (LATER_PART), 12 * SECOND));
  assert_int_equal (judge (&self, 20, deadly, 2, 12 * SECOND), EG_CRASH_REFUSE);
  assert_int_equal (judge (&self, 21, sound, 2, 12 * SECOND), EG_CRASH_TRY);
  record_sent (&self, 21, sound, 2, 12 * SECOND);
  assert_int_equal (judge (&self, 22, sound, 2, 12 * SECOND + 100 * MS),
                    EG_CRASH_HOLD);
  eg_crash_blame_record_served (&self, PART (LATER_PART),
                                12 * SECOND + 500 * MS);
  eg_crash_blame_check (&self, 12 * SECOND + 500 * MS);
  assert_int_equal (judge (&self, 22, sound, 2, 12 * SECOND + 500 * MS),
                    EG_CRASH_SEND);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 13 * SECOND));
  eg_crash_blame_finish (&self);
}

/* Guards against a deadly part that goes on because its crashes count as
 * explained by a sound part that was blamed in its place. */
static void
test_part_at_all_crashes_of_a_blamed_one_and_more_is_blamed (void **state)
{
  const uint64_t first[] = {SHARED_PART, DEADLY_PART, LATER_PART};
  const uint64_t other[] = {SHARED_PART, DEADLY_PART, LATER_PART + 1};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 6; i++)
    crash_prompt (&self, 10 + i / 2, first, 3, i, 10 * SECOND + 200 * MS * i);
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_true (is_blamed (&self, PART (LATER_PART), 12 * SECOND));
  assert_int_equal (judge (&self, 20, other, 3, 15 * SECOND), EG_CRASH_TRY);
  record_sent (&self, 20, other, 3, 15 * SECOND);
  crash_prompt (&self, 20, other, 3, 20, 15 * SECOND + 60 * MS);
  eg_crash_blame_check (&self, 15 * SECOND + 70 * MS);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 16 * SECOND));
  assert_false (is_blamed (&self, PART (SHARED_PART), 16 * SECOND));
  eg_crash_blame_finish (&self);
}

/* Guards against a limit of the parts that are followed. */
static void
test_deadly_part_at_place_ten_of_thirteen_is_blamed (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 6; i++)
    {
      uint64_t parts[12];

      for (unsigned at = 0; at < 12; at++)
        parts[at] = 1000 * (i / 2 + 1) + at;
      parts[0] = SHARED_PART;
      parts[9] = DEADLY_PART;
      crash_prompt (&self, 10 + i / 2, parts, 12, i,
                    10 * SECOND + 200 * MS * i);
    }
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 12 * SECOND));
  assert_false (is_blamed (&self, PART (SHARED_PART), 12 * SECOND));
  for (unsigned i = 1; i <= 3; i++)
    for (unsigned at = 1; at < 12; at++)
      assert_false (is_blamed (&self, PART (1000 * i + at), 12 * SECOND));
  eg_crash_blame_finish (&self);
}

/* Guards against prompts of very many parts, which push the deadly one out of
 * the table between its crashes. */
static void
test_deadly_part_of_very_long_prompts_is_blamed (void **state)
{
  struct eg_crash_blame_config small = config;
  struct eg_crash_blame self;
  static uint64_t parts[900];

  (void) state;
  small.suspects_max = 1000;
  assert_true (eg_crash_blame_init (&self, &small, NULL));
  for (unsigned i = 0; i < 6; i++)
    {
      for (unsigned at = 0; at < 900; at++)
        parts[at] = 10000 * (i + 1) + at;
      parts[i % 2 == 0 ? 100 : 800] = DEADLY_PART;
      crash_prompt (&self, 10 + i, parts, 900, i, 10 * SECOND + 200 * MS * i);
    }
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 12 * SECOND));
  assert_true (self.suspects.count <= small.suspects_max);
  eg_crash_blame_finish (&self);
}

/* Guards against bursts that cost a server for each of their requests before
 * they count for more than one crash. */
static void
test_part_of_a_burst_that_crashes_servers_at_once_is_blamed (void **state)
{
  const uint64_t parts[] = {SHARED_PART, DEADLY_PART};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 6; i++)
    crash_prompt (&self, 10 + i, parts, 2, i, 10 * SECOND + 3 * MS * i);
  eg_crash_blame_check (&self, 10 * SECOND + SETTLE_US + 20 * MS);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 11 * SECOND));
  assert_false (is_blamed (&self, PART (SHARED_PART), 11 * SECOND));
  /* A loss of power may have hit just these requests: one VM tries one. */
  assert_int_equal (judge (&self, 20, parts, 2, 14 * SECOND), EG_CRASH_TRY);
  record_sent (&self, 20, parts, 2, 14 * SECOND);
  for (unsigned i = 1; i < 6; i++)
    assert_int_equal (judge (&self, 20 + i, parts, 2, 14 * SECOND),
                      EG_CRASH_HOLD);
  crash_prompt (&self, 20, parts, 2, 20, 14 * SECOND + 60 * MS);
  assert_int_equal (judge (&self, 21, parts, 2, 14 * SECOND + 70 * MS),
                    EG_CRASH_REFUSE);
  eg_crash_blame_finish (&self);
}

/* Guards against two small bursts that count as two crashes. */
static void
test_part_of_two_bursts_of_three_is_blamed (void **state)
{
  const uint64_t parts[] = {SHARED_PART, DEADLY_PART};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 6; i++)
    crash_prompt (&self, 10 + i, parts, 2, i,
                  10 * SECOND + 4 * SECOND * (i / 3) + 3 * MS * i);
  eg_crash_blame_check (&self, 15 * SECOND);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 15 * SECOND));
  assert_false (is_blamed (&self, PART (SHARED_PART), 15 * SECOND));
  eg_crash_blame_finish (&self);
}

/* Guards against a part that is blamed for a loss of power: it was on some of
 * the servers that ended. */
static void
test_part_on_servers_that_lose_power_together_is_not_blamed (void **state)
{
  const uint64_t parts[] = {SHARED_PART, DEADLY_PART};
  const uint64_t others[] = {LATER_PART};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 12; i++)
    if (i % 2 == 0)
      crash_prompt (&self, 10 + i, parts, 2, i, 10 * SECOND + 3 * MS * i);
    else
      crash_prompt (&self, 10 + i, others, 1, i, 10 * SECOND + 3 * MS * i);
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_false (is_blamed (&self, PART (SHARED_PART), 12 * SECOND));
  assert_false (is_blamed (&self, PART (DEADLY_PART), 12 * SECOND));
  assert_false (is_blamed (&self, PART (LATER_PART), 12 * SECOND));
  eg_crash_blame_finish (&self);
}

/* Guards against requests with a part that only one request has shown to be at
 * crashes, of which each costs a server for each of its sends. */
static void
test_parts_of_a_request_that_crashes_servers_are_on_trial (void **state)
{
  const uint64_t parts[] = {SHARED_PART, DEADLY_PART};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 5; i++)
    crash_prompt (&self, 10, parts, 2, i, 10 * SECOND + 60 * MS * i);
  eg_crash_blame_check (&self, 11 * SECOND);
  assert_false (is_blamed (&self, PART (DEADLY_PART), 14 * SECOND));
  assert_int_equal (judge (&self, 11, parts, 2, 14 * SECOND), EG_CRASH_TRY);
  record_sent (&self, 11, parts, 2, 14 * SECOND);
  assert_int_equal (judge (&self, 11, parts, 2, 14 * SECOND + 60 * MS),
                    EG_CRASH_HOLD);
  crash_prompt (&self, 11, parts, 2, 20, 14 * SECOND + 60 * MS);
  eg_crash_blame_check (&self, 14 * SECOND + 70 * MS);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 15 * SECOND));
  assert_false (is_blamed (&self, PART (SHARED_PART), 15 * SECOND));
  eg_crash_blame_finish (&self);
}

/* Returns how many VMs may try a request with two parts. */
static uint32_t
count_trial_vms (const struct eg_crash_blame *self,
                 const uint64_t *parts,
                 int64_t now_us)
{
  const struct eg_crash_subjects subjects = {99, parts, 2};
  struct eg_crash_verdict verdict =
      eg_crash_blame_judge (self, &subjects, now_us);

  assert_int_equal (verdict.ruling, EG_CRASH_TRY);
  return verdict.vms_max;
}

/* Guards against a sound part that stays refused because the only VM that may
 * try it has ended or gets no requests. */
static void
test_more_vms_may_try_a_doubtful_part_with_time (void **state)
{
  const uint64_t parts[] = {SHARED_PART, DEADLY_PART};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 6; i++)
    crash_prompt (&self, 10 + i, parts, 2, i, 10 * SECOND);
  eg_crash_blame_check (&self, 11 * SECOND);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 11 * SECOND));
  assert_int_equal (count_trial_vms (&self, parts, 12 * SECOND), 1);
  assert_int_equal (count_trial_vms (&self, parts, 13 * SECOND), 2);
  /* The third VM needs 0.5 s to show by 16 s that the part is sound. */
  assert_int_equal (count_trial_vms (&self, parts, 15 * SECOND + 400 * MS), 3);
  assert_int_equal (count_trial_vms (&self, parts, 300 * SECOND), 3);
  eg_crash_blame_finish (&self);
}

/* Guards against a burst at all VMs, some time after the last crash, of which
 * each VM sends a request. */
static void
test_at_most_three_vms_may_try_after_any_time (void **state)
{
  const uint64_t parts[] = {SHARED_PART, DEADLY_PART};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 5; i++)
    crash_prompt (&self, 10, parts, 2, i, 10 * SECOND + 60 * MS * i);
  eg_crash_blame_check (&self, 11 * SECOND);
  assert_int_equal (count_trial_vms (&self, parts, 11 * SECOND), 2);
  for (int64_t at_us = 16 * SECOND; at_us < 300 * SECOND; at_us += SECOND)
    assert_int_equal (count_trial_vms (&self, parts, at_us), 3);
  eg_crash_blame_finish (&self);
}

/* Guards against a trial that no server runs, and that then holds the request
 * itself until it is refused. */
static void
test_trial_that_was_not_run_may_be_sent_again (void **state)
{
  const uint64_t parts[] = {SHARED_PART, DEADLY_PART};
  const struct eg_crash_subjects subjects = {11, parts, 2};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 5; i++)
    crash_prompt (&self, 10, parts, 2, i, 10 * SECOND + 60 * MS * i);
  record_sent (&self, 11, parts, 2, 14 * SECOND);
  assert_int_equal (judge (&self, 11, parts, 2, 14 * SECOND + 2 * MS),
                    EG_CRASH_HOLD);
  /* That a request sent before was not run says nothing of the trial. */
  eg_crash_blame_record_not_run (&self, &subjects, 13 * SECOND);
  assert_int_equal (judge (&self, 11, parts, 2, 14 * SECOND + 2 * MS),
                    EG_CRASH_HOLD);
  eg_crash_blame_record_not_run (&self, &subjects, 14 * SECOND);
  assert_int_equal (judge (&self, 11, parts, 2, 14 * SECOND + 2 * MS),
                    EG_CRASH_TRY);
  eg_crash_blame_finish (&self);
}

/* Guards against one trial after the other while it is not known yet that the
 * first ones crashed their servers. */
static void
test_part_is_not_tried_while_a_run_with_it_is_unconfirmed (void **state)
{
  const uint64_t parts[] = {SHARED_PART, DEADLY_PART};
  const struct eg_crash_subjects subjects = {11, parts, 2};
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  eg_crash_blame_record_unconfirmed (&self, &subjects);
  for (unsigned i = 0; i < 5; i++)
    crash_prompt (&self, 10, parts, 2, i, 10 * SECOND + 60 * MS * i);
  record_sent (&self, 11, parts, 2, 11 * SECOND);
  eg_crash_blame_record_unconfirmed (&self, &subjects);
  assert_int_equal (judge (&self, 12, parts, 2, 14 * SECOND), EG_CRASH_HOLD);
  eg_crash_blame_record_confirmed (&self, &subjects);
  assert_int_equal (judge (&self, 12, parts, 2, 14 * SECOND), EG_CRASH_HOLD);
  eg_crash_blame_record_confirmed (&self, &subjects);
  assert_int_equal (judge (&self, 12, parts, 2, 14 * SECOND), EG_CRASH_TRY);
  eg_crash_blame_finish (&self);
}

#define REPEATS 900
/* Processor time of one decision: 60 ms on a VM of 0.084 cores. */
#define JUDGE_MAX_CLOCKS (5 * CLOCKS_PER_SEC / 1000)

/* Judges a request within the time that one decision may take. */
static enum eg_crash_ruling
judge_in_time (const struct eg_crash_blame *self,
               const uint64_t *parts,
               int64_t now_us)
{
  clock_t start = clock ();
  enum eg_crash_ruling ruling = judge (self, 99, parts, REPEATS, now_us);

  assert_true (clock () - start < JUDGE_MAX_CLOCKS);
  return ruling;
}

/* Guards against a head that names a blamed part again and again, and so
 * occupies a VM with many suspects for seconds. */
static void
test_repeated_part_is_judged_once (void **state)
{
  const uint64_t deadly[] = {DEADLY_PART, LATER_PART};
  uint64_t parts[REPEATS];
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 4000; i++)
    for (unsigned round = 0; round < 4; round++)
      eg_crash_blame_record_crash (
          &self, PART (1000 + i),
          &(struct eg_crash){100 + round, 5 * SECOND + round, true},
          5 * SECOND);
  for (unsigned i = 0; i < 6; i++)
    crash_prompt (&self, 10 + i / 2, deadly, 2, i, 10 * SECOND + 200 * MS * i);
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_true (is_blamed (&self, PART (LATER_PART), 12 * SECOND));
  for (unsigned i = 0; i < REPEATS; i++)
    parts[i] = LATER_PART;
  assert_int_equal (judge_in_time (&self, parts, 12 * SECOND), EG_CRASH_TRY);
  parts[REPEATS - 1] = DEADLY_PART;
  assert_int_equal (judge_in_time (&self, parts, 12 * SECOND), EG_CRASH_REFUSE);
  eg_crash_blame_finish (&self);
}

/* Older builds do not say where parts stand: then both are blamed, one crash
 * later. */
static void
test_parts_of_unknown_places_are_blamed_together (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  for (unsigned i = 0; i < 5; i++)
    crash_parts (&self, 10 + i, SHARED_PART, DEADLY_PART, i,
                 10 * SECOND + 200 * MS * i);
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_true (is_blamed (&self, PART (DEADLY_PART), 12 * SECOND));
  assert_true (is_blamed (&self, PART (SHARED_PART), 12 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_part_in_steady_use_is_not_blamed_for_a_pause (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  eg_crash_blame_record_served (&self, PART (SHARED_PART), 10 * SECOND);
  for (unsigned i = 0; i < 6; i++)
    crash_parts (&self, 10 + i, SHARED_PART, 100 + i, i,
                 10 * SECOND + 300 * MS * (i + 1));
  eg_crash_blame_check (&self, 13 * SECOND);
  assert_false (is_blamed (&self, PART (SHARED_PART), 13 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_request_in_steady_use_is_not_blamed_when_all_servers_crash (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  eg_crash_blame_record_served (&self, SOUND, 10 * SECOND);
  for (unsigned i = 0; i < 4; i++)
    crash (&self, SOUND, i, 10 * SECOND + 300 * MS * (i + 1));
  eg_crash_blame_check (&self, 12 * SECOND);
  assert_false (is_blamed (&self, SOUND, 12 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_what_was_served_before_an_idle_time_is_trusted_after_it (void **state)
{
  struct eg_crash_blame self;

  (void) state;
  assert_true (eg_crash_blame_init (&self, &config, NULL));
  eg_crash_blame_record_served (&self, REQUEST (3), 6 * SECOND);
  eg_crash_blame_record_served (&self, SOUND, 10 * SECOND);
  eg_crash_blame_record_idle (&self, 11 * SECOND, 30 * SECOND);
  for (uint64_t i = 1; i <= 3; i++)
    {
      int64_t at_us = 30 * SECOND + (int64_t) i * 100 * MS;

      crash (&self, DEADLY, i, at_us);
      crash (&self, SOUND, i, at_us);
      crash (&self, REQUEST (3), 10 + i, at_us + 50 * MS);
    }
  eg_crash_blame_check (&self, 40 * SECOND);
  assert_true (is_blamed (&self, DEADLY, 40 * SECOND));
  assert_false (is_blamed (&self, SOUND, 40 * SECOND));
  /* It was served too long before. */
  assert_true (is_blamed (&self, REQUEST (3), 40 * SECOND));
  eg_crash_blame_finish (&self);
}

static void
test_vm_that_has_served_a_suspect_tells_the_others (void **state)
{
  struct eg_crash_blame vms[2];
  const struct eg_suspect *news[4];
  size_t count;

  (void) state;
  for (int i = 0; i < 2; i++)
    assert_true (eg_crash_blame_init (&vms[i], &config, NULL));
  eg_crash_blame_record_served (&vms[0], SOUND, 10 * SECOND);
  for (unsigned i = 0; i < 3; i++)
    crash (&vms[1], SOUND, i, 10 * SECOND + 100 * MS * (i + 1));
  count = eg_crash_blame_take_news (&vms[1], news, 4);
  for (size_t i = 0; i < count; i++)
    eg_crash_blame_merge (&vms[0], news[i], 10 * SECOND + 400 * MS);
  assert_true (eg_crash_blame_has_news (&vms[0]));
  count = eg_crash_blame_take_news (&vms[0], news, 4);
  for (size_t i = 0; i < count; i++)
    eg_crash_blame_merge (&vms[1], news[i], 10 * SECOND + 500 * MS);
  for (int i = 0; i < 2; i++)
    {
      eg_crash_blame_check (&vms[i], 12 * SECOND);
      assert_false (is_blamed (&vms[i], SOUND, 12 * SECOND));
      eg_crash_blame_finish (&vms[i]);
    }
}

/* A fleet of VMs that exchange datagrams, some of which are lost. */
#define VMS 8
#define SERVERS 9
#define STEP_US (20 * MS)
#define MESSAGE_MAX 12
#define NEWS_INTERVAL_US (100 * MS)
#define SUMMARY_INTERVAL_US (500 * MS)

struct fleet
{
  struct eg_crash_blame vms[VMS];
  struct eg_random random;
  uint64_t starts[SERVERS];
  uint64_t next_start;
  unsigned loss_percent;
  bool cut; /* The last VM hears nothing and is not heard. */
};

static void
deliver (struct fleet *self,
         unsigned from,
         unsigned to,
         const struct eg_suspect *const *suspects,
         size_t count,
         int64_t now_us)
{
  if (from == to || eg_random_below (&self->random, 100) < self->loss_percent
      || (self->cut && (from == VMS - 1 || to == VMS - 1)))
    return;
  for (size_t i = 0; i < count; i++)
    eg_crash_blame_merge (&self->vms[to], suspects[i], now_us);
}

static void
exchange (struct fleet *self, int64_t now_us)
{
  const struct eg_suspect *suspects[MESSAGE_MAX];

  for (unsigned from = 0; from < VMS; from++)
    {
      struct eg_crash_blame *vm = &self->vms[from];

      eg_crash_blame_check (vm, now_us);
      if (now_us % NEWS_INTERVAL_US == 0 && eg_crash_blame_has_news (vm))
        {
          size_t count = eg_crash_blame_take_news (vm, suspects, MESSAGE_MAX);

          for (unsigned to = 0; to < VMS; to++)
            deliver (self, from, to, suspects, count, now_us);
        }
      if (now_us % SUMMARY_INTERVAL_US == 0)
        {
          size_t count =
              eg_crash_blame_take_summary (vm, suspects, MESSAGE_MAX);

          deliver (self, from, (unsigned) (now_us / SUMMARY_INTERVAL_US % VMS),
                   suspects, count, now_us);
        }
    }
}

static unsigned
count_blaming (const struct fleet *self,
               struct eg_subject subject,
               int64_t now_us)
{
  unsigned count = 0;

  for (unsigned i = 0; i < VMS; i++)
    count += is_blamed (&self->vms[i], subject, now_us);
  return count;
}

/* The request is sent to one server and then to another, as its caller and the
 * VM repeat it; sound requests are in flight beside it. */
static unsigned
send_deadly (struct fleet *self, unsigned vm, int64_t now_us, uint64_t *sound)
{
  unsigned crashes = 0;

  for (; crashes < 2 && !is_blamed (&self->vms[vm], DEADLY, now_us); crashes++)
    {
      unsigned server = (unsigned) eg_random_below (&self->random, SERVERS);
      int64_t at_us = now_us + 90 * MS * (crashes + 1);

      eg_crash_blame_record_crash (
          &self->vms[vm], DEADLY,
          &(struct eg_crash){self->starts[server], at_us, false}, at_us);
      for (unsigned i = 0; i < 5; i++)
        eg_crash_blame_record_crash (
            &self->vms[eg_random_below (&self->random, VMS)],
            eg_random_below (&self->random, 3) == 0 ? SOUND
                                                    : REQUEST (++*sound),
            &(struct eg_crash){self->starts[server], at_us, false}, at_us);
      self->starts[server] = ++self->next_start;
    }
  return crashes;
}

static void
run_fleet (uint64_t seed, unsigned loss_percent)
{
  struct fleet self = {
      .loss_percent = loss_percent, .next_start = 1000, .cut = true};
  uint64_t sound = 100;
  unsigned crashes = 0;
  unsigned late = 0;
  int64_t third_us = 0;

  eg_random_init (&self.random, seed);
  for (unsigned i = 0; i < SERVERS; i++)
    self.starts[i] = i + 1;
  for (unsigned i = 0; i < VMS; i++)
    assert_true (eg_crash_blame_init (&self.vms[i], &config, NULL));
  for (int64_t now_us = SECOND; now_us < 30 * SECOND; now_us += STEP_US)
    {
      if (now_us % (400 * MS) == 0)
        {
          unsigned vm = (unsigned) eg_random_below (&self.random, VMS - 1);
          unsigned more = send_deadly (&self, vm, now_us, &sound);

          crashes += more;
          if (third_us > 0 && now_us > third_us + 3 * SECOND)
            late += more;
          if (third_us == 0 && crashes >= 3)
            third_us = now_us;
        }
      if (now_us % (200 * MS) == 0)
        for (unsigned i = 0; i < VMS; i++)
          eg_crash_blame_record_served (&self.vms[i], SOUND, now_us);
      exchange (&self, now_us);
      if (now_us == 20 * SECOND)
        {
          assert_int_equal (count_blaming (&self, DEADLY, now_us), VMS - 1);
          self.cut = false;
        }
      assert_int_equal (count_blaming (&self, SOUND, now_us), 0);
    }
  assert_true (third_us > 0);
  assert_int_equal (late, 0);
  assert_int_equal (count_blaming (&self, DEADLY, 30 * SECOND), VMS);
  for (uint64_t i = 101; i <= sound; i++)
    assert_int_equal (count_blaming (&self, REQUEST (i), 30 * SECOND), 0);
  for (unsigned i = 0; i < VMS; i++)
    eg_crash_blame_finish (&self.vms[i]);
}

static void
test_all_vms_blame_the_same_request_in_time (void **state)
{
  (void) state;
  for (uint64_t seed = 1; seed <= 200; seed++)
    run_fleet (seed, seed % 4 * 10);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_three_crashes_blame_after_the_settling_time),
      cmocka_unit_test (test_request_that_was_served_since_is_not_blamed),
      cmocka_unit_test (
          test_blamed_request_that_is_served_elsewhere_is_cleared),
      cmocka_unit_test (test_servers_that_lose_power_together_blame_nothing),
      cmocka_unit_test (test_victims_of_a_blamed_request_are_not_blamed),
      cmocka_unit_test (
          test_two_requests_at_the_same_crashes_wait_for_the_next),
      cmocka_unit_test (
          test_streams_that_deliver_at_the_same_crashes_are_not_blamed),
      cmocka_unit_test (
          test_requests_that_nothing_tells_apart_are_blamed_together),
      cmocka_unit_test (test_full_table_keeps_what_is_blamed),
      cmocka_unit_test (
          test_part_of_different_requests_is_blamed_but_not_their_shared_one),
      cmocka_unit_test (test_part_is_not_blamed_for_what_one_request_does),
      cmocka_unit_test (
          test_shared_part_is_not_blamed_beside_a_deadly_one_after_a_restart),
      cmocka_unit_test (
          test_sound_part_that_is_blamed_is_cleared_by_one_request),
      cmocka_unit_test (
          test_part_at_all_crashes_of_a_blamed_one_and_more_is_blamed),
      cmocka_unit_test (test_deadly_part_at_place_ten_of_thirteen_is_blamed),
      cmocka_unit_test (test_deadly_part_of_very_long_prompts_is_blamed),
      cmocka_unit_test (
          test_part_of_a_burst_that_crashes_servers_at_once_is_blamed),
      cmocka_unit_test (test_part_of_two_bursts_of_three_is_blamed),
      cmocka_unit_test (
          test_part_on_servers_that_lose_power_together_is_not_blamed),
      cmocka_unit_test (
          test_parts_of_a_request_that_crashes_servers_are_on_trial),
      cmocka_unit_test (test_more_vms_may_try_a_doubtful_part_with_time),
      cmocka_unit_test (test_at_most_three_vms_may_try_after_any_time),
      cmocka_unit_test (test_trial_that_was_not_run_may_be_sent_again),
      cmocka_unit_test (
          test_part_is_not_tried_while_a_run_with_it_is_unconfirmed),
      cmocka_unit_test (test_repeated_part_is_judged_once),
      cmocka_unit_test (test_parts_of_unknown_places_are_blamed_together),
      cmocka_unit_test (test_part_in_steady_use_is_not_blamed_for_a_pause),
      cmocka_unit_test (
          test_request_in_steady_use_is_not_blamed_when_all_servers_crash),
      cmocka_unit_test (
          test_what_was_served_before_an_idle_time_is_trusted_after_it),
      cmocka_unit_test (test_vm_that_has_served_a_suspect_tells_the_others),
      cmocka_unit_test (test_all_vms_blame_the_same_request_in_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
