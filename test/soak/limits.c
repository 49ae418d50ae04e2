/* Checks that backend servers get no more requests than they allow. */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "test/soak/soak.h"

/* A limit is checked from this time after it was first named. */
#define CHECKED_AFTER_US (3 * EG_US_PER_S)
/* Requests count from then on: daemons have passed on a response with it. */
#define TOLD_US (700 * EG_US_PER_MS)
#define WINDOW_US (4 * EG_US_PER_S)
/* The most in a window, as the users' pages have it. */
#define WINDOW_MAX(limit_per_s) (6 * (limit_per_s) + 5)

void
soak_backend_write_limit (const struct soak_backend *self,
                          char *fields,
                          size_t capacity)
{
  size_t len = strlen (fields);

  if (eg_clock_now_us () < self->limit_until_us)
    snprintf (fields + len, capacity - len, "Server-Limit: %u\r\n",
              self->limit_per_s);
}

static unsigned
count_window (const struct soak_backend *self, int64_t now_us)
{
  unsigned known =
      self->arrival_count < SOAK_ARRIVALS ? self->arrival_count : SOAK_ARRIVALS;
  unsigned count = 0;

  for (unsigned i = 0; i < known; i++)
    count += now_us - self->arrivals_us[i] < WINDOW_US
             && self->arrivals_us[i] - self->limited_us >= TOLD_US;
  return count;
}

void
soak_backend_arrived (struct soak_backend *self)
{
  int64_t now_us = eg_clock_now_us ();
  unsigned count;

  self->arrivals_us[self->arrival_count++ % SOAK_ARRIVALS] = now_us;
  if (now_us >= self->limit_until_us
      || now_us - self->limited_us < CHECKED_AFTER_US
      || self->soak->unplanned_us >= self->limited_us - SOAK_FAULT_QUIET_US)
    return;
  count = count_window (self, now_us);
  if (count > WINDOW_MAX (self->limit_per_s))
    soak_violation (self->soak,
                    "server %s got %u requests in 4 s, allowed %u by its limit "
                    "of %u a second",
                    self->id, count, WINDOW_MAX (self->limit_per_s),
                    self->limit_per_s);
}
