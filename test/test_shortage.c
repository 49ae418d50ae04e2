/* Tests of when callers that are refused for want of a server come back. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "policy/shortage.h"

#define MS EG_US_PER_MS
#define START_US (100 * EG_US_PER_S)
#define SHORTEST_US (2 * EG_US_PER_S)
#define DEADLINE_US (20 * EG_US_PER_S)
#define ARRIVAL_US (20 * MS)
#define SLOT_US (100 * MS)
#define SLOTS 200

/** What callers of one shortage got. */
struct outcome
{
  unsigned refused;
  unsigned served_on_return;
  unsigned most_in_slot; /**< That came back in the same SLOT_US. */
};

/* Plays a steady load on a service without servers for some time. A caller
 * comes back once. */
static struct outcome
play_shortage (int64_t length_us)
{
  struct eg_shortage shortage = {0};
  unsigned returns[SLOTS] = {0};
  struct outcome outcome = {0};

  for (int64_t at_us = 0; at_us < length_us; at_us += ARRIVAL_US)
    {
      int64_t now_us = START_US + at_us;
      int64_t back_us;

      eg_shortage_refused (&shortage, now_us);
      back_us =
          at_us
          + eg_shortage_wait_us (&shortage, SHORTEST_US, DEADLINE_US, now_us);
      outcome.refused++;
      outcome.served_on_return += back_us >= length_us;
      if (++returns[back_us / SLOT_US] > outcome.most_in_slot)
        outcome.most_in_slot = returns[back_us / SLOT_US];
    }
  return outcome;
}

static void
test_callers_of_a_short_shortage_are_not_refused_again (void **state)
{
  (void) state;
  for (int64_t length_us = 100 * MS; length_us <= SHORTEST_US;
       length_us += 100 * MS)
    {
      struct outcome outcome = play_shortage (length_us);

      assert_int_equal (outcome.served_on_return, outcome.refused);
    }
}

static void
test_most_callers_of_a_long_shortage_are_not_refused_again (void **state)
{
  (void) state;
  for (int64_t length_us = SHORTEST_US; length_us <= 8 * EG_US_PER_S;
       length_us += 100 * MS)
    {
      struct outcome outcome = play_shortage (length_us);

      assert_true (outcome.served_on_return * 2 > outcome.refused);
    }
}

static void
test_callers_come_back_more_slowly_than_they_were_refused (void **state)
{
  const unsigned refused_in_slot = SLOT_US / ARRIVAL_US;

  (void) state;
  assert_in_range (play_shortage (3 * EG_US_PER_S).most_in_slot, 1,
                   (refused_in_slot + 1) / 2);
}

static void
test_shortage_ends_when_servers_accept_and_nobody_is_refused (void **state)
{
  struct eg_shortage self = {0};
  const int64_t later_us = START_US + 3 * EG_US_PER_S;

  (void) state;
  eg_shortage_refused (&self, START_US);
  eg_shortage_refused (&self, later_us);
  eg_shortage_served (&self, later_us + EG_SHORTAGE_QUIET_US - 1);
  assert_int_equal (
      eg_shortage_wait_us (&self, SHORTEST_US, DEADLINE_US, later_us),
      SHORTEST_US + 3 * EG_US_PER_S);
  eg_shortage_served (&self, later_us + EG_SHORTAGE_QUIET_US);
  assert_int_equal (
      eg_shortage_wait_us (&self, SHORTEST_US, DEADLINE_US, later_us),
      SHORTEST_US);
}

static void
test_caller_has_time_left_when_it_comes_back (void **state)
{
  struct eg_shortage self = {0};

  (void) state;
  eg_shortage_refused (&self, START_US);
  assert_int_equal (eg_shortage_wait_us (&self, 250 * MS, 1500 * MS,
                                         START_US + 5 * EG_US_PER_S),
                    750 * MS);
  assert_int_equal (eg_shortage_wait_us (&self, 250 * MS, 100 * MS,
                                         START_US + 5 * EG_US_PER_S),
                    250 * MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_callers_of_a_short_shortage_are_not_refused_again),
      cmocka_unit_test (
          test_most_callers_of_a_long_shortage_are_not_refused_again),
      cmocka_unit_test (
          test_callers_come_back_more_slowly_than_they_were_refused),
      cmocka_unit_test (
          test_shortage_ends_when_servers_accept_and_nobody_is_refused),
      cmocka_unit_test (test_caller_has_time_left_when_it_comes_back),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
