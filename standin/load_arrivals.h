/**
 * @file
 * Arrival process of a request stream: arrival times and requested lengths.
 */
#ifndef EG_STANDIN_LOAD_ARRIVALS_H
#define EG_STANDIN_LOAD_ARRIVALS_H

#include "base/decls.h"
#include "base/random.h"
#include "standin/load_scenario.h"

EG_BEGIN_DECLS

/** Time of the next arrival when there is none. */
#define EG_LOAD_NEVER INT64_MAX

/** Arrivals of one stream, fully determined by the seed. */
struct eg_load_arrivals
{
  const struct eg_load_scenario *scenario;
  const struct eg_load_stream *stream;
  struct eg_random random;
  int64_t next_us;    /**< Time of the next arrival, or EG_LOAD_NEVER. */
  int64_t max_tokens; /**< Tokens that the next arrival requests. */
  uint64_t number;    /**< Arrivals before the next one. */
};

/** Initialises the arrivals of stream @p index of the scenario. */
void eg_load_arrivals_init (struct eg_load_arrivals *self,
                            const struct eg_load_scenario *scenario,
                            size_t index,
                            uint64_t seed);

/** Moves on to the following arrival. */
void eg_load_arrivals_advance (struct eg_load_arrivals *self);

EG_END_DECLS

#endif
