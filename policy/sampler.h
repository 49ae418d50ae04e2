/**
 * @file
 * Server selection among replicas: the better of two random candidates, drawn
 * with a probability proportional to capacity.
 */
#ifndef EG_POLICY_SAMPLER_H
#define EG_POLICY_SAMPLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/placement.h"
#include "policy/replicas.h"

EG_BEGIN_DECLS

/** Age in microseconds beyond which a load report is stale. */
#define EG_REPORT_STALE_US INT64_C (10000000)

/** Parameters of one selection. */
struct eg_sampler
{
  const struct eg_placement_config *config;
  const struct eg_servers *servers;
  const struct eg_placement_query *query;
  struct eg_random *random;
  int64_t now_us;
  bool include_full; /**< Also accept servers without a free slot. */
};

/**
 * Tells whether a server is usable, not excluded and, unless @c include_full
 * is set, not full.
 */
bool eg_sampler_accepts (const struct eg_sampler *self, uint32_t index);

/**
 * Returns the expected number of streams on a server divided by its slots.
 * If the report is stale: this node's own streams divided by half the slots.
 */
double eg_sampler_relative_load (const struct eg_sampler *self, uint32_t index);

/**
 * Returns the relative load by which servers are compared. Streams of this node
 * are known exactly and count in full, those of other nodes in part.
 */
double eg_sampler_damped_load (const struct eg_sampler *self, uint32_t index);

/** Returns the weight of an accelerator type; 1 if it is not configured. */
double eg_sampler_weight (const struct eg_sampler *self,
                          const char *accelerator);

/** Picks one server from @p sets; EG_SERVER_NONE if none is accepted. */
uint32_t eg_sampler_pick (const struct eg_sampler *self,
                          struct eg_replica_set *const *sets,
                          size_t count);

EG_END_DECLS

#endif
