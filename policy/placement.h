/**
 * @file
 * Request placement: selects a server for a plain service, or a chain of
 * servers that together run every layer of a model exactly once.
 */
#ifndef EG_POLICY_PLACEMENT_H
#define EG_POLICY_PLACEMENT_H

#include "base/decls.h"
#include "base/random.h"
#include "policy/chain.h"
#include "policy/prefix.h"
#include "policy/servers.h"

EG_BEGIN_DECLS

/** Maximum number of servers that a request excludes after failures on them. */
#define EG_EXCLUDED_MAX 32

/** One-way link between two failure domains. */
struct eg_placement_link
{
  char from[EG_NAME_BYTES];
  char to[EG_NAME_BYTES];
  int64_t latency_us;
};

/** Relative speed of an accelerator type. */
struct eg_placement_accelerator
{
  char name[EG_NAME_BYTES];
  double weight; /**< 1 is the reference; 2 is twice as fast. */
};

/** Placement parameters. */
struct eg_placement_config
{
  char failure_domain[EG_NAME_BYTES]; /**< Of this entry VM. */
  const struct eg_placement_link *links;
  size_t link_count;
  int64_t unknown_link_us; /**< For domain pairs not in @c links. */
  const struct eg_placement_accelerator *accelerators;
  size_t accelerator_count;
  uint32_t default_slots;   /**< For servers that state none. */
  double affinity_load_max; /**< Highest relative load for prefix affinity. */
  const struct eg_prefix_table *prefixes; /**< Cache hints; may be NULL. */
};

/** What to place. */
struct eg_placement_query
{
  struct eg_str service; /**< Empty: any service that has the model. */
  struct eg_str model;   /**< Empty for a plain service. */
  uint64_t prefix_hash;  /**< Of the prompt prefix; 0 for none. */
  uint32_t excluded[EG_EXCLUDED_MAX];
  size_t excluded_count;
  double load_max; /**< Relative load that counts as full; 0 means 1. */
};

/** Result of a placement. */
enum eg_placement_result
{
  EG_PLACEMENT_FOUND,
  EG_PLACEMENT_BUSY,    /**< All matching servers are full. */
  EG_PLACEMENT_NONE,    /**< No usable server, or no complete chain. */
  EG_PLACEMENT_UNKNOWN, /**< No server has reported this model or service. */
};

/**
 * Chooses where an attempt runs; modifies only @p random and @p chain.
 * A plain service is placed in the entry VM's failure domain if a server there
 * has a free slot, otherwise in the nearest domain that has one. A model gets
 * the chain with the lowest expected time, of a single version, from the
 * nearest failure domains, or from all of them if those have no complete chain.
 */
enum eg_placement_result
eg_placement_choose (const struct eg_placement_config *config,
                     const struct eg_servers *servers,
                     const struct eg_placement_query *query,
                     struct eg_random *random,
                     int64_t now_us,
                     struct eg_chain *chain);

EG_END_DECLS

#endif
