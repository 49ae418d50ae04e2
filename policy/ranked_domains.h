/**
 * @file
 * Failure domains with servers for a request, ranked by their latency from the
 * entry VM.
 */
#ifndef EG_POLICY_RANKED_DOMAINS_H
#define EG_POLICY_RANKED_DOMAINS_H

#include <stdint.h>

#include "base/decls.h"
#include "base/random.h"
#include "policy/placement.h"
#include "policy/replicas.h"

EG_BEGIN_DECLS

/** Maximum number of ranked domains: the entry VM's own and all others. */
#define EG_RANKED_DOMAINS_MAX (EG_DOMAINS_MAX + 1)
/** The rank of a domain that is not ranked. */
#define EG_RANK_NONE UINT32_MAX

/** A ranked failure domain. */
struct eg_ranked_domain
{
  const char *name;
  uint32_t domain;      /**< In eg_replicas::domains; EG_DOMAINS_MAX if none. */
  int64_t latency_us;   /**< From the entry VM. */
  uint64_t tie_breaker; /**< Random; orders domains of equal latency. */
};

/** Ranked domains: the entry VM's own, then the others by latency. */
struct eg_ranked_domains
{
  const struct eg_placement_config *config;
  struct eg_ranked_domain items[EG_RANKED_DOMAINS_MAX];
  uint32_t count;
  uint32_t by_domain[EG_DOMAINS_MAX]; /**< Rank by domain index. */
  /** Square matrix with @c count rows; row: source, column: target. */
  int64_t latency_us[EG_RANKED_DOMAINS_MAX * EG_RANKED_DOMAINS_MAX];
};

/** Initialises with the entry VM's failure domain only. */
void eg_ranked_domains_init (struct eg_ranked_domains *self,
                             const struct eg_placement_config *config);

/** Adds the failure domains that have servers of @p pool. */
void eg_ranked_domains_add (struct eg_ranked_domains *self,
                            const struct eg_replicas *replicas,
                            const struct eg_replica_pool *pool,
                            struct eg_random *random);

/** Sorts the domains by their latency from the entry VM. */
void eg_ranked_domains_sort (struct eg_ranked_domains *self);

/**
 * Copies the first @p limit domains of @p all and fills in the latencies
 * between them.
 */
void eg_ranked_domains_nearest (struct eg_ranked_domains *self,
                                const struct eg_ranked_domains *all,
                                uint32_t limit);

EG_END_DECLS

#endif
