#include "base/clock.h"

#include <time.h>

static int64_t
read_clock (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return (int64_t) now.tv_sec * EG_US_PER_S + now.tv_nsec / 1000;
}

int64_t
eg_clock_now_us (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

int64_t
eg_clock_wall_us (void)
{
  return read_clock (CLOCK_REALTIME);
}
