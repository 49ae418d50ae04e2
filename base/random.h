/**
 * @file
 * Seeded random numbers, the same on every machine.
 */
#ifndef EG_BASE_RANDOM_H
#define EG_BASE_RANDOM_H

#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** State of a SplitMix64 generator. */
struct eg_random
{
  uint64_t state;
};

/** Starts a generator from @p seed. */
void eg_random_init (struct eg_random *self, uint64_t seed);

/** Returns 64 random bits. */
uint64_t eg_random_next (struct eg_random *self);

/** Returns a number from 0 to @p bound - 1; 0 if @p bound is 0. */
uint64_t eg_random_below (struct eg_random *self, uint64_t bound);

/** Returns a number from 0 up to, and without, 1. */
double eg_random_double (struct eg_random *self);

/** Returns a seed from the operating system. */
uint64_t eg_random_system_seed (void);

EG_END_DECLS

#endif
