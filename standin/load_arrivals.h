/**
 * @file
 * When the requests of a stream arrive, and how long their answers are.
 */
#ifndef EG_STANDIN_LOAD_ARRIVALS_H
#define EG_STANDIN_LOAD_ARRIVALS_H

#include "base/decls.h"
#include "base/random.h"
#include "standin/load_scenario.h"

EG_BEGIN_DECLS

/** The time of a stream that has no further arrival. */
#define EG_LOAD_NEVER INT64_MAX

/** The arrivals of one stream: the same seed gives the same ones. */
struct eg_load_arrivals
{
  const struct eg_load_scenario *scenario;
  const struct eg_load_stream *stream;
  struct eg_random random;
  int64_t next_us;    /**< Next arrival, or EG_LOAD_NEVER. */
  int64_t max_tokens; /**< Tokens that the next arrival asks for. */
  uint64_t number;    /**< Arrivals so far. */
};

/** Starts the arrivals of stream @p index. */
void eg_load_arrivals_init (struct eg_load_arrivals *self,
                            const struct eg_load_scenario *scenario,
                            size_t index,
                            uint64_t seed);

/** Goes on to the following arrival. */
void eg_load_arrivals_advance (struct eg_load_arrivals *self);

EG_END_DECLS

#endif
