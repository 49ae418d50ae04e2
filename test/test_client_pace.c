/* Tests of the minimum rate of clients. */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "policy/client_pace.h"

#define MS EG_US_PER_MS
#define START_US (100 * EG_US_PER_S)
#define RATE 1024
#define TIMEOUT_US (15 * EG_US_PER_S)
#define BODY_BYTES (4 << 20)
#define TICK_US (25 * MS)
#define SEEDS 200

/** A client that sends pieces of a size at an interval. */
struct sender
{
  size_t piece;
  int64_t interval_us;
};

/* Returns the time after which the sender is cut off, or that it needs. */
static int64_t
play (struct sender sender, size_t bytes, bool *is_cut)
{
  struct eg_client_pace pace;
  int64_t now_us = START_US;

  *is_cut = false;
  eg_client_pace_start (&pace, now_us);
  for (size_t sent = 0; sent < bytes; sent += sender.piece)
    {
      int64_t next_us = now_us + sender.interval_us;

      for (; now_us < next_us && !*is_cut; now_us += TICK_US)
        *is_cut = eg_client_pace_lag_us (&pace, now_us) >= TIMEOUT_US;
      if (*is_cut)
        break;
      now_us = next_us;
      eg_client_pace_moved (&pace, sender.piece, RATE, now_us);
    }
  return now_us - START_US;
}

/* Guards against a byte from time to time that keeps a connection open. */
static void
test_trickling_client_is_cut_in_time (void **state)
{
  const struct sender senders[] = {
      {1, EG_US_PER_S}, {1, 100 * MS}, {10, 10 * EG_US_PER_S}, {100, 500 * MS}};
  bool is_cut;

  (void) state;
  for (size_t i = 0; i < sizeof senders / sizeof senders[0]; i++)
    {
      int64_t took_us = play (senders[i], BODY_BYTES, &is_cut);

      assert_true (is_cut);
      /* A sender of a fifth of the rate falls behind by four fifths. */
      assert_in_range (took_us, TIMEOUT_US, TIMEOUT_US * 5 / 4 + EG_US_PER_S);
    }
}

/* Guards against cutting clients on slow links, whatever the pieces. */
static void
test_slow_link_is_not_cut (void **state)
{
  struct eg_random random;
  bool is_cut;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct sender sender;

      eg_random_init (&random, seed);
      /* 25 KB/s in pieces up to what is sent in nearly the time-out. */
      sender.piece = 1 + (size_t) eg_random_below (&random, 360000);
      sender.interval_us = (int64_t) sender.piece * EG_US_PER_S / 25000;
      play (sender, BODY_BYTES, &is_cut);
      assert_false (is_cut);
    }
}

/* Guards against a burst that pays for a long pause after it. */
static void
test_pause_after_a_burst_counts_in_full (void **state)
{
  struct eg_client_pace pace;

  (void) state;
  eg_client_pace_start (&pace, START_US);
  eg_client_pace_moved (&pace, BODY_BYTES - 1, RATE, START_US + MS);
  assert_int_equal (eg_client_pace_lag_us (&pace, START_US + MS), 0);
  assert_int_equal (eg_client_pace_lag_us (&pace, START_US + MS + TIMEOUT_US),
                    TIMEOUT_US);
}

/* Guards against a switched-off rate that cuts a client that still sends. */
static void
test_any_byte_suffices_without_a_rate (void **state)
{
  struct eg_client_pace pace;

  (void) state;
  eg_client_pace_start (&pace, START_US);
  eg_client_pace_moved (&pace, 0, 0, START_US + TIMEOUT_US);
  assert_int_equal (eg_client_pace_lag_us (&pace, START_US + TIMEOUT_US),
                    TIMEOUT_US);
  eg_client_pace_moved (&pace, 1, 0, START_US + TIMEOUT_US);
  assert_int_equal (eg_client_pace_lag_us (&pace, START_US + TIMEOUT_US), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_trickling_client_is_cut_in_time),
      cmocka_unit_test (test_slow_link_is_not_cut),
      cmocka_unit_test (test_pause_after_a_burst_counts_in_full),
      cmocka_unit_test (test_any_byte_suffices_without_a_rate),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
