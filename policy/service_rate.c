#include "policy/service_rate.h"

#include <math.h>

#include "base/clock.h"

/* Time constant of the decay, in which a weight falls to 1/e. */
#define DECAY_S 30.0
/* Shortest busy time that gives an estimate. */
#define BUSY_MIN_S 0.1

void
eg_service_rate_init (struct eg_service_rate *self)
{
  *self = (struct eg_service_rate){0};
}

void
eg_service_rate_advance (struct eg_service_rate *self,
                         int64_t now_us,
                         bool busy)
{
  double elapsed_s = (double) (now_us - self->updated_us) / EG_US_PER_S;
  double decay;

  if (!self->started)
    {
      self->started = true;
      self->updated_us = now_us;
    }
  if (now_us <= self->updated_us)
    return;
  decay = exp (-elapsed_s / DECAY_S);
  self->work *= decay;
  self->busy_s *= decay;
  if (busy)
    self->busy_s += DECAY_S * (1 - decay);
  self->updated_us = now_us;
}

void
eg_service_rate_add (struct eg_service_rate *self, uint64_t cost)
{
  self->work += (double) cost;
}

double
eg_service_rate_get (const struct eg_service_rate *self)
{
  if (self->busy_s < BUSY_MIN_S)
    return 0;
  return self->work / self->busy_s;
}
