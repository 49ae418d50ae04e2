#include "standin/timed_wait.h"

#include <time.h>

#include "base/clock.h"

#define NS_PER_US 1000

static struct timespec
timespec_from_us (int64_t us)
{
  return (struct timespec){.tv_sec = us / EG_US_PER_S,
                           .tv_nsec = us % EG_US_PER_S * NS_PER_US};
}

void
eg_sleep_until (int64_t until_us)
{
  struct timespec until = timespec_from_us (until_us);

  clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &until, NULL);
}

void
eg_cond_wait_for (pthread_cond_t *condition,
                  pthread_mutex_t *lock,
                  int64_t timeout_us)
{
  struct timespec until = timespec_from_us (eg_clock_now_us () + timeout_us);

  pthread_cond_clockwait (condition, lock, CLOCK_MONOTONIC, &until);
}
