#include "base/random.h"

#include <sys/random.h>

#include "base/clock.h"
#include "base/hash.h"

#define SPLITMIX_STEP UINT64_C (0x9e3779b97f4a7c15)

void
eg_random_init (struct eg_random *self, uint64_t seed)
{
  self->state = seed;
}

uint64_t
eg_random_next (struct eg_random *self)
{
  uint64_t value = eg_hash_mix (self->state);

  self->state += SPLITMIX_STEP;
  return value;
}

uint64_t
eg_random_below (struct eg_random *self, uint64_t bound)
{
  return (uint64_t) (((unsigned __int128) eg_random_next (self) * bound) >> 64);
}

double
eg_random_double (struct eg_random *self)
{
  return (double) (eg_random_next (self) >> 11) * 0x1.0p-53;
}

uint64_t
eg_random_system_seed (void)
{
  uint64_t seed;

  if (getrandom (&seed, sizeof seed, 0) != (ssize_t) sizeof seed)
    seed = eg_hash_mix ((uint64_t) eg_clock_wall_us ());
  return seed;
}
