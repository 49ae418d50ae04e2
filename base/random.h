/**
 * @file
 * Seeded pseudo-random numbers, reproducible across machines.
 */
#ifndef EG_BASE_RANDOM_H
#define EG_BASE_RANDOM_H

#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** A SplitMix64 generator; not cryptographic. */
struct eg_random
{
  uint64_t state;
};

/** Seeds the generator. */
void eg_random_init (struct eg_random *self, uint64_t seed);

/** Returns 64 random bits. */
uint64_t eg_random_next (struct eg_random *self);

/** Returns a random integer in [0, @p bound), or 0 if @p bound is 0. */
uint64_t eg_random_below (struct eg_random *self, uint64_t bound);

/** Returns a random double in [0, 1). */
double eg_random_double (struct eg_random *self);

/** Returns a seed from the operating system's entropy source. */
uint64_t eg_random_system_seed (void);

EG_END_DECLS

#endif
