/**
 * @file
 * Which of the servers that can replace one another gets the work: the better
 * of two that are drawn at random by their capacity.
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

/** Age from which a load report is no longer believed. */
#define EG_REPORT_STALE_US INT64_C (10000000)

/** What one placement asks of servers. */
struct eg_sampler
{
  const struct eg_placement_config *config;
  const struct eg_servers *servers;
  const struct eg_placement_query *query;
  struct eg_random *random;
  int64_t now_us;
  bool full_too; /**< Also servers without a free slot. */
};

/** Tells whether a server is usable, not excluded and, unless asked, not full.
 */
bool eg_sampler_accepts (const struct eg_sampler *self, uint32_t index);

/**
 * Returns the streams to expect on a server, divided by its slots.
 * A stale report is not believed: then it is this node's own streams, divided
 * by half the slots.
 */
double eg_sampler_relative_load (const struct eg_sampler *self, uint32_t index);

/**
 * Returns the relative load to compare servers by: this node's own streams in
 * full, as they are known exactly, and those of other nodes in part.
 */
double eg_sampler_damped_load (const struct eg_sampler *self, uint32_t index);

/** Returns the weight of a server's accelerator; 1 if it is not listed. */
double eg_sampler_weight (const struct eg_sampler *self,
                          const char *accelerator);

/** Chooses one server from @p sets; EG_SERVER_NONE if none is accepted. */
uint32_t eg_sampler_pick (const struct eg_sampler *self,
                          struct eg_replica_set *const *sets,
                          size_t count);

EG_END_DECLS

#endif
