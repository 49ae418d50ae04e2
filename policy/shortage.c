#include "policy/shortage.h"

#include "base/clock.h"

/* No caller waits longer. */
#define WAIT_MAX_US (6 * EG_US_PER_S)

void
eg_shortage_refused (struct eg_shortage *self, int64_t now_us)
{
  if (self->since_us == 0)
    self->since_us = now_us;
  self->last_us = now_us;
}

void
eg_shortage_served (struct eg_shortage *self, int64_t now_us)
{
  if (self->since_us > 0 && now_us - self->last_us >= EG_SHORTAGE_QUIET_US)
    self->since_us = 0;
}

int64_t
eg_shortage_wait_us (const struct eg_shortage *self,
                     int64_t shortest_us,
                     int64_t left_us,
                     int64_t now_us)
{
  int64_t lasted_us = self->since_us > 0 ? now_us - self->since_us : 0;
  int64_t wait_us = shortest_us + lasted_us;

  if (wait_us > WAIT_MAX_US)
    wait_us = WAIT_MAX_US;
  if (wait_us > left_us / 2)
    wait_us = left_us / 2;
  return wait_us > shortest_us ? wait_us : shortest_us;
}
