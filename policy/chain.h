/**
 * @file
 * Finds chains of stages that run every layer of a model exactly once, in
 * order.
 */
#ifndef EG_POLICY_CHAIN_H
#define EG_POLICY_CHAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Maximum number of stages of a chain. */
#define EG_CHAIN_MAX 32
/** Maximum number of candidates in one search. */
#define EG_CHAIN_CANDIDATES_MAX 512

/** One stage of a chain. */
struct eg_chain_stage
{
  uint32_t server;
  uint32_t first_layer;
  uint32_t last_layer;
};

/** Stages in order; a plain service has one, with layers 0 to 0. */
struct eg_chain
{
  struct eg_chain_stage stages[EG_CHAIN_MAX];
  size_t count;
};

/** A stage available to the search. */
struct eg_chain_candidate
{
  struct eg_chain_stage stage;
  uint32_t location; /**< Index into the link table. */
  double time_us;    /**< Expected time of the stage per token. */
};

/** Latencies between @c count locations; location 0 is the entry VM's. */
struct eg_chain_links
{
  const int64_t *latency_us; /**< Square matrix; rows are sources. */
  size_t count;
};

/**
 * Tells whether the stages cover layers 1 to @p layers exactly once, in order.
 */
bool eg_chain_covers_model (const struct eg_chain *chain, uint32_t layers);

/**
 * Finds the chain with the lowest total time: that of its stages, of the links
 * between them, and of the link from the entry VM to the first stage. If it has
 * more than EG_CHAIN_MAX stages, finds the chain with the fewest stages
 * instead.
 * @param candidates sorted by their first layer.
 * @param[out] chain written only if a chain was found.
 * @return the time in microseconds, or INFINITY if no chain exists.
 */
double eg_chain_find (const struct eg_chain_candidate *candidates,
                      size_t count,
                      uint32_t layers,
                      const struct eg_chain_links *links,
                      struct eg_chain *chain);

EG_END_DECLS

#endif
