/**
 * @file
 * Where to send a request: a server for a plain service, or a chain of
 * servers whose layers tile a model exactly.
 */
#ifndef EG_POLICY_PLACEMENT_H
#define EG_POLICY_PLACEMENT_H

#include "base/decls.h"
#include "base/random.h"
#include "policy/chain.h"
#include "policy/prefix.h"
#include "policy/servers.h"

EG_BEGIN_DECLS

/** Servers that one request may exclude, after failures on them. */
#define EG_EXCLUDED_MAX 32

/** A link between two failure domains, one way. */
struct eg_placement_link
{
  char from[EG_NAME_BYTES];
  char to[EG_NAME_BYTES];
  int64_t latency_us;
};

/** The relative speed of one kind of accelerator. */
struct eg_placement_accelerator
{
  char name[EG_NAME_BYTES];
  double weight; /**< 1 is the reference; twice as fast is 2. */
};

/** What a placement takes into account beside the servers. */
struct eg_placement_config
{
  char failure_domain[EG_NAME_BYTES]; /**< Of this entry VM. */
  const struct eg_placement_link *links;
  size_t link_count;
  int64_t unknown_link_us; /**< For a pair of domains that is not listed. */
  const struct eg_placement_accelerator *accelerators;
  size_t accelerator_count;
  uint32_t default_slots;   /**< For servers that do not say. */
  double affinity_load_max; /**< Relative load up to which affinity holds. */
  const struct eg_prefix_table *prefixes; /**< Hints; NULL for none. */
};

/** What is asked for. */
struct eg_placement_query
{
  struct eg_str service; /**< Empty: any service that has the model. */
  struct eg_str model;   /**< Empty for a plain service. */
  uint64_t prefix_hash;  /**< Of the prompt's start; 0 for none. */
  uint32_t excluded[EG_EXCLUDED_MAX];
  size_t excluded_count;
  double load_max; /**< Relative load that counts as full; 0 means 1. */
};

/** What a placement found. */
enum eg_placement_result
{
  EG_PLACEMENT_FOUND,
  EG_PLACEMENT_BUSY,    /**< Servers exist, and all are full. */
  EG_PLACEMENT_NONE,    /**< No usable server or no whole chain. */
  EG_PLACEMENT_UNKNOWN, /**< No server ever reported this model or service. */
};

/**
 * Chooses where an attempt runs; changes nothing but @p random.
 * A plain service stays in the entry VM's failure domain while a server there
 * has room, and then goes to the nearest that has. A model gets the chain of
 * least expected time, of one version, from the nearest failure domains.
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
