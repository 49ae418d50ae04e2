/* Tests of the limit that a server names and that all VMs share. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "policy/server_rate.h"

#define MS EG_US_PER_MS
#define START_US (1000 * EG_US_PER_S)
#define TICK_US (20 * MS)
#define TICKS 3000
#define WINDOW_US (4 * EG_US_PER_S)
#define VMS_MAX 90
#define ANSWER_US (60 * MS)
#define GOSSIP_US (200 * MS)
#define SEEDS 60

static const struct eg_rate_sharers alone = {.vms = 1,
                                             .uptime_us = 100 * EG_US_PER_S};

/** One VM; always wants to send. */
struct vm
{
  struct eg_server_rate rate;
  struct eg_rate_sharers sharers;
  int64_t started_us;
  int64_t sent_us;    /**< Of the request whose response is on its way. */
  int64_t answer_us;  /**< When that arrives; 0: there is none. */
  int64_t unknown_us; /**< Next request while it knows of no limit. */
  bool cut_off;       /**< Hears from no other VM. */
};

/** VMs before one server. */
struct fleet
{
  struct eg_random random;
  struct vm vms[VMS_MAX];
  uint32_t count;
  double limit_per_s;
  int64_t now_us;
  /** Requests of each tick by VMs that know the limit. */
  uint32_t sent[TICKS];
};

static void
start_vm (struct fleet *self, uint32_t i)
{
  self->vms[i] = (struct vm){.sharers = {.vms = self->count, .rank = i},
                             .started_us = self->now_us};
}

static void
init_fleet (struct fleet *self, uint64_t seed)
{
  memset (self, 0, sizeof *self);
  eg_random_init (&self->random, seed);
  self->count = 1 + (uint32_t) eg_random_below (&self->random, VMS_MAX);
  /* Half of the fleets are of the usual size. */
  if (seed % 2)
    self->count = 1 + self->count % 9;
  self->limit_per_s = pow (10, eg_random_double (&self->random) * 3 - 1);
  self->now_us = START_US;
  for (uint32_t i = 0; i < self->count; i++)
    {
      start_vm (self, i);
      self->vms[i].started_us -= 100 * EG_US_PER_S;
    }
}

static void
send (struct fleet *self, struct vm *vm, int tick)
{
  eg_server_rate_spend (&vm->rate);
  self->sent[tick] += eg_server_rate_is_limited (&vm->rate);
  if (vm->answer_us > 0)
    return;
  vm->sent_us = self->now_us;
  vm->answer_us = self->now_us + ANSWER_US;
}

static void
step_vm (struct fleet *self, struct vm *vm, int tick)
{
  vm->sharers.uptime_us = self->now_us - vm->started_us;
  if (vm->answer_us > 0 && self->now_us >= vm->answer_us)
    {
      vm->answer_us = 0;
      eg_server_rate_named (&vm->rate, self->limit_per_s, &vm->sharers,
                            self->now_us, self->now_us);
    }
  if (!eg_server_rate_is_limited (&vm->rate))
    {
      if (self->now_us >= vm->unknown_us)
        {
          vm->unknown_us = self->now_us + 500 * MS;
          send (self, vm, tick);
        }
      return;
    }
  while (eg_server_rate_left (&vm->rate, &vm->sharers, self->now_us) >= 1)
    send (self, vm, tick);
}

/* A VM tells another one what it knows. */
static void
tell (struct fleet *self, const struct vm *from, struct vm *to)
{
  if (from != to && !from->cut_off && !to->cut_off
      && eg_server_rate_is_limited (&from->rate))
    eg_server_rate_named (&to->rate, from->rate.limit_per_s, &to->sharers,
                          from->rate.named_us, self->now_us);
}

static void
gossip (struct fleet *self, unsigned lost_percent)
{
  for (uint32_t i = 0; i < self->count; i++)
    for (int sent = 0; sent < 3; sent++)
      if (eg_random_below (&self->random, 100) >= lost_percent)
        tell (self, &self->vms[i],
              &self->vms[eg_random_below (&self->random, self->count)]);
}

/* One that starts again asks the others before it sends anything. */
static void
restart (struct fleet *self, uint32_t i)
{
  bool cut_off = self->vms[i].cut_off;

  start_vm (self, i);
  self->vms[i].cut_off = cut_off;
  for (uint32_t other = 0; other < self->count; other++)
    tell (self, &self->vms[other], &self->vms[i]);
}

static uint32_t
count_window (const struct fleet *self, int last)
{
  uint32_t sum = 0;

  for (int tick = last; tick >= 0 && (last - tick) * TICK_US < WINDOW_US;
       tick--)
    sum += self->sent[tick];
  return sum;
}

/* The stated bound for any window. */
static double
get_bound (const struct fleet *self)
{
  return self->limit_per_s * WINDOW_US / EG_US_PER_S
         + EG_SERVER_RATE_BURST_S * self->limit_per_s
         + EG_SERVER_RATE_BURST_EXTRA;
}

static void
test_shares_sum_up_to_the_limit (void **state)
{
  static struct fleet fleet;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      double total = 0;

      init_fleet (&fleet, seed);
      for (int tick = 0; tick < TICKS; tick++, fleet.now_us += TICK_US)
        {
          for (uint32_t i = 0; i < fleet.count; i++)
            step_vm (&fleet, &fleet.vms[i], tick);
          if (tick % (GOSSIP_US / TICK_US) == 0)
            gossip (&fleet, 30);
          assert_true (count_window (&fleet, tick) <= get_bound (&fleet));
          total += fleet.sent[tick];
        }
      /* Nearly all of the limit is used where all VMs want to send. */
      assert_true (
          total >= 0.8 * fleet.limit_per_s * TICKS * TICK_US / EG_US_PER_S - 1);
    }
}

static void
test_restarts_do_not_add_to_the_limit (void **state)
{
  static struct fleet fleet;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      init_fleet (&fleet, seed);
      for (int tick = 0; tick < TICKS; tick++, fleet.now_us += TICK_US)
        {
          if (tick > 50 && eg_random_below (&fleet.random, 20) == 0)
            restart (&fleet,
                     (uint32_t) eg_random_below (&fleet.random, fleet.count));
          for (uint32_t i = 0; i < fleet.count; i++)
            step_vm (&fleet, &fleet.vms[i], tick);
          if (tick % (GOSSIP_US / TICK_US) == 0)
            gossip (&fleet, 30);
          assert_true (count_window (&fleet, tick) <= get_bound (&fleet));
        }
    }
}

/* A VM that joins has no share for 25 s; the others read the list every 10 s.
 */
static void
test_joining_vms_do_not_add_to_the_limit (void **state)
{
  static struct fleet fleet;
  const int joined_tick = 300;
  const int list_ticks = 10 * EG_US_PER_S / TICK_US;
  const int wait_ticks = 25 * EG_US_PER_S / TICK_US;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      uint32_t before;

      init_fleet (&fleet, seed);
      before = fleet.count;
      for (int tick = 0; tick < TICKS; tick++, fleet.now_us += TICK_US)
        {
          for (; tick == joined_tick && fleet.count < VMS_MAX
                 && fleet.count < 2 * before;
               fleet.count++)
            {
              start_vm (&fleet, fleet.count);
              fleet.vms[fleet.count].sharers.is_new = true;
              tell (&fleet, &fleet.vms[0], &fleet.vms[fleet.count]);
            }
          for (uint32_t i = 0; i < fleet.count; i++)
            {
              struct eg_rate_sharers *sharers = &fleet.vms[i].sharers;

              if ((tick + (int) i * 7) % list_ticks == 0 || sharers->is_new)
                sharers->vms = fleet.count;
              if (tick >= joined_tick + wait_ticks)
                sharers->is_new = false;
              step_vm (&fleet, &fleet.vms[i], tick);
            }
          if (tick % (GOSSIP_US / TICK_US) == 0)
            gossip (&fleet, 30);
          assert_true (count_window (&fleet, tick) <= get_bound (&fleet));
        }
    }
}

/* A VM without a share that hears from nobody tries the server every ten
 * seconds; all of them together, no faster than the limit. */
static void
test_cut_off_vms_add_trials_at_the_limits_pace_only (void **state)
{
  static struct fleet fleet;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      init_fleet (&fleet, seed);
      for (int tick = 0; tick < TICKS; tick++, fleet.now_us += TICK_US)
        {
          if (tick == 100)
            for (uint32_t i = 0; i < fleet.count; i++)
              fleet.vms[i].cut_off = true;
          for (uint32_t i = 0; i < fleet.count; i++)
            step_vm (&fleet, &fleet.vms[i], tick);
          if (tick % (GOSSIP_US / TICK_US) == 0)
            gossip (&fleet, 0);
          assert_true (count_window (&fleet, tick)
                       <= get_bound (&fleet)
                              + fleet.limit_per_s * WINDOW_US / EG_US_PER_S
                              + 1);
        }
    }
}

static void
test_new_vm_has_no_share_and_an_old_list_halves_it (void **state)
{
  struct eg_rate_sharers sharers = {.vms = 4, .uptime_us = 100 * EG_US_PER_S};
  struct eg_server_rate rate = {0};

  (void) state;
  eg_server_rate_named (&rate, 8, &sharers, START_US, START_US);
  assert_float_equal (eg_server_rate_share (&rate, &sharers), 2, 1e-9);
  sharers.outdated = true;
  assert_float_equal (eg_server_rate_share (&rate, &sharers), 1, 1e-9);
  sharers.is_new = true;
  assert_float_equal (eg_server_rate_share (&rate, &sharers), 0, 1e-9);
}

static double
limit_after (const double *named, size_t count, int64_t interval_us)
{
  struct eg_server_rate rate = {0};

  for (size_t i = 0; i < count; i++)
    {
      int64_t now_us = START_US + (int64_t) i * interval_us;

      if (named[i] < 0)
        eg_server_rate_not_named (&rate, now_us - MS, now_us);
      else
        eg_server_rate_named (&rate, named[i], &alone, now_us, now_us);
    }
  return rate.limit_per_s;
}

#define LIMIT_AFTER(interval_us, ...)                                          \
  limit_after ((const double[]){__VA_ARGS__},                                  \
               sizeof ((const double[]){__VA_ARGS__}) / sizeof (double),       \
               interval_us)
#define NOT_NAMED (-1.0)

static void
test_changing_limit_is_read_as_the_lowest_of_a_second (void **state)
{
  (void) state;
  assert_float_equal (LIMIT_AFTER (100 * MS, 10, 4, 20, 7, 30), 4, 1e-9);
  assert_float_equal (LIMIT_AFTER (100 * MS, 10, 4, NOT_NAMED), 4, 1e-9);
  assert_float_equal (LIMIT_AFTER (600 * MS, 4, 20, 20), 20, 1e-9);
  assert_float_equal (LIMIT_AFTER (600 * MS, 4, NOT_NAMED, NOT_NAMED), 0, 1e-9);
}

static void
test_limit_ends_only_by_a_response_to_a_later_request (void **state)
{
  struct eg_server_rate rate = {0};

  (void) state;
  eg_server_rate_named (&rate, 5, &alone, START_US, START_US);
  eg_server_rate_not_named (&rate, START_US - MS, START_US + 5 * EG_US_PER_S);
  assert_true (eg_server_rate_is_limited (&rate));
  eg_server_rate_not_named (&rate, START_US + 4 * EG_US_PER_S,
                            START_US + 5 * EG_US_PER_S);
  assert_false (eg_server_rate_is_limited (&rate));
  /* What another VM was told before that is no news. */
  eg_server_rate_named (&rate, 5, &alone, START_US + 3 * EG_US_PER_S,
                        START_US + 6 * EG_US_PER_S);
  assert_false (eg_server_rate_is_limited (&rate));
}

static void
test_zero_lets_one_request_through_in_ten_seconds (void **state)
{
  struct eg_server_rate rate = {0};
  unsigned sent = 0;

  (void) state;
  eg_server_rate_named (&rate, 0, &alone, START_US, START_US);
  for (int64_t now_us = START_US; now_us < START_US + 100 * EG_US_PER_S;
       now_us += TICK_US)
    {
      eg_server_rate_named (&rate, 0, &alone, now_us, now_us);
      if (eg_server_rate_left (&rate, &alone, now_us) < 1)
        continue;
      eg_server_rate_spend (&rate);
      sent++;
    }
  assert_in_range (sent, 9, 10);
}

static void
test_absurd_limits_are_no_limits (void **state)
{
  (void) state;
  assert_float_equal (LIMIT_AFTER (MS, 1e300), 0, 1e-9);
  assert_float_equal (LIMIT_AFTER (MS, (double) INFINITY), 0, 1e-9);
  assert_float_equal (LIMIT_AFTER (2000 * MS, 4, 1e300), 0, 1e-9);
}

static void
test_wait_is_the_time_until_a_request_may_be_sent (void **state)
{
  struct eg_server_rate rate = {0};
  int64_t wait_us;

  (void) state;
  assert_int_equal (eg_server_rate_wait_us (&rate, &alone, START_US), 0);
  eg_server_rate_named (&rate, 2, &alone, START_US, START_US);
  wait_us = eg_server_rate_wait_us (&rate, &alone, START_US);
  assert_in_range (wait_us, 1, 500 * MS);
  assert_true (eg_server_rate_left (&rate, &alone, START_US + wait_us - MS)
               < 1);
  assert_true (eg_server_rate_left (&rate, &alone, START_US + wait_us) >= 1);
  eg_server_rate_spend (&rate);
  assert_true (eg_server_rate_wait_us (&rate, &alone, START_US + wait_us) > 0);
  eg_server_rate_refund (&rate);
  assert_int_equal (eg_server_rate_wait_us (&rate, &alone, START_US + wait_us),
                    0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_shares_sum_up_to_the_limit),
      cmocka_unit_test (test_restarts_do_not_add_to_the_limit),
      cmocka_unit_test (test_joining_vms_do_not_add_to_the_limit),
      cmocka_unit_test (test_cut_off_vms_add_trials_at_the_limits_pace_only),
      cmocka_unit_test (test_new_vm_has_no_share_and_an_old_list_halves_it),
      cmocka_unit_test (test_changing_limit_is_read_as_the_lowest_of_a_second),
      cmocka_unit_test (test_limit_ends_only_by_a_response_to_a_later_request),
      cmocka_unit_test (test_zero_lets_one_request_through_in_ten_seconds),
      cmocka_unit_test (test_absurd_limits_are_no_limits),
      cmocka_unit_test (test_wait_is_the_time_until_a_request_may_be_sent),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
