/* Tests of how VMs learn the newest version from each other. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "policy/version_spread.h"

#define MS EG_US_PER_MS
#define START_US (100 * EG_US_PER_S)
#define TICK_US (25 * MS)
#define SEEDS 100
#define VMS_MAX 100
/* Time of a fetch, and of a message. */
#define FETCH_US (60 * MS)
/* An accepted version is in force everywhere within this time. */
#define SPREAD_MAX_US (2000 * MS)
#define SPREAD_WITH_LOSS_MAX_US (6000 * MS)

/* Without a loss, VMs that all start at once need two rounds of questions. */
#define JOINT_START_MAX_US (250 * MS)

/** VMs that hear of versions from each other alone. */
struct fleet
{
  struct eg_random random;
  struct eg_version_spread vms[VMS_MAX];
  int64_t fetch_end_us[VMS_MAX]; /**< 0: no fetch in progress. */
  uint64_t fetch_from[VMS_MAX];
  size_t count;
  unsigned lost_percent;
  int64_t now_us;
};

static void
init_fleet (struct fleet *self, uint64_t seed, unsigned lost_percent)
{
  memset (self, 0, sizeof *self);
  eg_random_init (&self->random, seed);
  self->count = 2 + eg_random_below (&self->random, VMS_MAX - 1);
  self->lost_percent = lost_percent;
  self->now_us = START_US;
  for (size_t i = 0; i < self->count; i++)
    eg_version_spread_init (&self->vms[i], true, START_US);
}

static void
deliver (struct fleet *self,
         size_t from,
         size_t to,
         const struct eg_version_message *message)
{
  struct eg_version_message answer;

  if (eg_random_below (&self->random, 100) >= self->lost_percent
      && eg_version_spread_receive (&self->vms[to], from + 1, message,
                                    self->now_us, &answer))
    deliver (self, to, from, &answer);
}

static void
step (struct fleet *self)
{
  self->now_us += TICK_US;
  for (size_t i = 0; i < self->count; i++)
    {
      struct eg_version_round round = eg_version_spread_check (
          &self->vms[i], (int64_t) self->count - 1, self->now_us);

      size_t first = eg_random_below (&self->random, self->count - 1);

      for (size_t sent = 0; sent < round.count; sent++)
        deliver (self, i,
                 (i + 1 + (first + sent) % (self->count - 1)) % self->count,
                 &round.message);
      if (self->fetch_end_us[i] > 0 && self->now_us >= self->fetch_end_us[i])
        {
          self->fetch_end_us[i] = 0;
          eg_version_spread_fetch_ended (&self->vms[i]);
          eg_version_spread_set_own (&self->vms[i],
                                     self->vms[self->fetch_from[i] - 1].own);
        }
      if (eg_version_spread_take_fetch (&self->vms[i], self->now_us,
                                        &self->fetch_from[i]))
        self->fetch_end_us[i] = self->now_us + FETCH_US;
    }
}

static bool
all_have (const struct fleet *self, int64_t version)
{
  for (size_t i = 0; i < self->count; i++)
    if (self->vms[i].own != version)
      return false;
  return true;
}

static void
check_spread (unsigned lost_percent, int64_t longest_us)
{
  static struct fleet fleet;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      init_fleet (&fleet, seed, lost_percent);
      eg_version_spread_set_own (&fleet.vms[0], 5);
      while (!all_have (&fleet, 5))
        {
          step (&fleet);
          assert_true (fleet.now_us - START_US <= longest_us);
        }
    }
}

static void
test_version_that_one_vm_has_reaches_all (void **state)
{
  (void) state;
  check_spread (0, SPREAD_MAX_US);
}

static void
test_version_reaches_all_though_messages_are_lost (void **state)
{
  (void) state;
  check_spread (30, SPREAD_WITH_LOSS_MAX_US);
}

static void
hear (struct eg_version_spread *self,
      uint64_t from,
      int64_t version,
      bool confirmed,
      int64_t now_us)
{
  const struct eg_version_message message = {version, false, confirmed};
  struct eg_version_message answer;

  eg_version_spread_receive (self, from, &message, now_us, &answer);
}

/* A VM that has started 100 ms ago, read version 4, and asked three others. */
static void
start_vm (struct eg_version_spread *self)
{
  eg_version_spread_init (self, false, START_US);
  eg_version_spread_set_own (self, 4);
  assert_int_equal (eg_version_spread_check (self, 8, START_US).count, 3);
  assert_false (eg_version_spread_is_confirmed (self));
}

static void
test_starting_vm_does_not_rely_on_an_older_version (void **state)
{
  struct eg_version_spread self;
  uint64_t from;

  (void) state;
  start_vm (&self);
  hear (&self, 1, 4, true, START_US + MS);
  hear (&self, 2, 5, true, START_US + MS);
  eg_version_spread_check (&self, 8, START_US + 1000 * MS);
  assert_false (eg_version_spread_is_confirmed (&self));
  assert_true (
      eg_version_spread_take_fetch (&self, START_US + 1000 * MS, &from));
  assert_int_equal (from, 2);
  eg_version_spread_set_own (&self, 5);
  eg_version_spread_fetch_ended (&self);
  eg_version_spread_check (&self, 8, START_US + 1025 * MS);
  assert_true (eg_version_spread_is_confirmed (&self));
}

static void
test_starting_vm_goes_on_when_the_newer_version_is_out_of_reach (void **state)
{
  struct eg_version_spread self;

  (void) state;
  start_vm (&self);
  hear (&self, 2, 5, true, START_US + MS);
  eg_version_spread_check (&self, 8, START_US + 1900 * MS);
  assert_false (eg_version_spread_is_confirmed (&self));
  eg_version_spread_check (&self, 8, START_US + 2100 * MS);
  assert_true (eg_version_spread_is_confirmed (&self));
}

static void
test_some_starting_vms_do_not_confirm_each_other (void **state)
{
  struct eg_version_spread self;

  (void) state;
  start_vm (&self);
  for (uint64_t from = 1; from <= 5; from++)
    for (int i = 0; i < 3; i++)
      hear (&self, from, 4, false, START_US + MS);
  eg_version_spread_check (&self, 8, START_US + 300 * MS);
  assert_false (eg_version_spread_is_confirmed (&self));
  eg_version_spread_check (&self, 8, START_US + 400 * MS);
  assert_true (eg_version_spread_is_confirmed (&self));
}

static void
test_starting_vms_that_all_answer_do_not_wait (void **state)
{
  struct eg_version_spread self;

  (void) state;
  start_vm (&self);
  for (uint64_t from = 1; from <= 8; from++)
    hear (&self, from, 4, false, START_US + MS);
  eg_version_spread_check (&self, 8, START_US + 25 * MS);
  assert_true (eg_version_spread_is_confirmed (&self));
}

static void
test_starting_vms_wait_shortly_for_one_that_is_gone (void **state)
{
  struct eg_version_spread self;

  (void) state;
  start_vm (&self);
  for (uint64_t from = 1; from <= 7; from++)
    hear (&self, from, 4, false, START_US + MS);
  eg_version_spread_check (&self, 8, START_US + 75 * MS);
  assert_false (eg_version_spread_is_confirmed (&self));
  eg_version_spread_check (&self, 8, START_US + 100 * MS);
  assert_true (eg_version_spread_is_confirmed (&self));
}

/* All VMs but one start from an older copy of the store. */
static void
test_starting_vms_rely_on_no_older_version_than_one_that_runs (void **state)
{
  static struct fleet fleet;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      init_fleet (&fleet, seed, 0);
      if (fleet.count > 1 + EG_VERSION_ANSWERS_STARTING)
        fleet.count = 1 + EG_VERSION_ANSWERS_STARTING;
      eg_version_spread_set_own (&fleet.vms[0], 5);
      for (size_t i = 1; i < fleet.count; i++)
        {
          eg_version_spread_init (&fleet.vms[i], false, START_US);
          eg_version_spread_set_own (&fleet.vms[i], 4);
        }
      while (!all_have (&fleet, 5))
        {
          step (&fleet);
          for (size_t i = 0; i < fleet.count; i++)
            assert_true (fleet.vms[i].own == 5
                         || !eg_version_spread_is_confirmed (&fleet.vms[i]));
        }
    }
}

static void
test_starting_vms_wait_for_the_newer_version_of_one (void **state)
{
  struct eg_version_spread self;

  (void) state;
  start_vm (&self);
  for (uint64_t from = 1; from <= 8; from++)
    hear (&self, from, from == 8 ? 5 : 4, false, START_US + MS);
  eg_version_spread_check (&self, 8, START_US + 500 * MS);
  assert_false (eg_version_spread_is_confirmed (&self));
}

/* Returns the longest time until a VM of a fleet that has started at once, with
 * a version from the store, relies on it. */
static int64_t
measure_joint_start (size_t count, uint64_t seed)
{
  static struct fleet fleet;
  size_t confirmed = 0;

  memset (&fleet, 0, sizeof fleet);
  eg_random_init (&fleet.random, seed);
  fleet.count = count;
  fleet.now_us = START_US;
  for (size_t i = 0; i < count; i++)
    {
      eg_version_spread_init (&fleet.vms[i], false, START_US);
      eg_version_spread_set_own (&fleet.vms[i], 4);
    }
  while (confirmed < count)
    {
      step (&fleet);
      confirmed = 0;
      for (size_t i = 0; i < count; i++)
        confirmed += eg_version_spread_is_confirmed (&fleet.vms[i]);
    }
  return fleet.now_us - START_US;
}

static void
test_vms_that_all_start_at_once_serve_soon (void **state)
{
  static const size_t counts[] = {2, 6, 9, VMS_MAX};

  (void) state;
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      assert_in_range (measure_joint_start (counts[i], seed), 0,
                       JOINT_START_MAX_US);
}

static void
test_starting_vm_without_others_waits_for_their_second_list (void **state)
{
  struct eg_version_spread self;

  (void) state;
  eg_version_spread_init (&self, false, START_US);
  eg_version_spread_check (&self, -1, START_US + 1900 * MS);
  assert_false (eg_version_spread_is_confirmed (&self));
  eg_version_spread_check (&self, 0, START_US + 700 * MS);
  assert_false (eg_version_spread_is_confirmed (&self));
  eg_version_spread_check (&self, 0, START_US + 800 * MS);
  assert_true (eg_version_spread_is_confirmed (&self));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_version_that_one_vm_has_reaches_all),
      cmocka_unit_test (test_version_reaches_all_though_messages_are_lost),
      cmocka_unit_test (test_starting_vm_does_not_rely_on_an_older_version),
      cmocka_unit_test (
          test_starting_vm_goes_on_when_the_newer_version_is_out_of_reach),
      cmocka_unit_test (test_some_starting_vms_do_not_confirm_each_other),
      cmocka_unit_test (test_starting_vms_that_all_answer_do_not_wait),
      cmocka_unit_test (test_starting_vms_wait_shortly_for_one_that_is_gone),
      cmocka_unit_test (
          test_starting_vms_rely_on_no_older_version_than_one_that_runs),
      cmocka_unit_test (test_starting_vms_wait_for_the_newer_version_of_one),
      cmocka_unit_test (test_vms_that_all_start_at_once_serve_soon),
      cmocka_unit_test (
          test_starting_vm_without_others_waits_for_their_second_list),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
