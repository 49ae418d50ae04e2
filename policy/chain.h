/**
 * @file
 * Chains of stages that run every layer of a model exactly once, in order.
 */
#ifndef EG_POLICY_CHAIN_H
#define EG_POLICY_CHAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Longest chain of stages. */
#define EG_CHAIN_MAX 32
/** Most candidates among which one chain is sought. */
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

/** A stage that a chain may use. */
struct eg_chain_candidate
{
  struct eg_chain_stage stage;
  uint32_t place; /**< Where it is; a row of the links. */
  double time_us; /**< Expected time of the stage for one token. */
};

/** Times of the links between @c count places; place 0 is the entry VM's. */
struct eg_chain_links
{
  const int64_t *latency_us; /**< One row of @c count for each place. */
  size_t count;
};

/** Tells whether the stages cover layers 1 to @p layers, once and in order. */
bool eg_chain_covers_model (const struct eg_chain *chain, uint32_t layers);

/**
 * Finds the chain of least time: of its stages, the links between them, and
 * the link from the entry VM to the first.
 * @param candidates ordered by their first layer.
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
