/**
 * @file
 * Failure domains with servers for a request, ranked by their latency from the
 * entry VM.
 */
#ifndef EG_POLICY_PLACES_H
#define EG_POLICY_PLACES_H

#include <stdint.h>

#include "base/decls.h"
#include "base/random.h"
#include "policy/placement.h"
#include "policy/replicas.h"

EG_BEGIN_DECLS

/** Maximum number of ranked domains: the entry VM's own and all others. */
#define EG_PLACES_MAX (EG_DOMAINS_MAX + 1)
/** The rank of a domain that is not ranked. */
#define EG_RANK_NONE UINT32_MAX

/** A ranked failure domain. */
struct eg_place
{
  const char *name;
  uint32_t domain;      /**< In eg_replicas::domains; EG_DOMAINS_MAX if none. */
  int64_t latency_us;   /**< From the entry VM. */
  uint64_t tie_breaker; /**< Random; orders domains of equal latency. */
};

/** Ranked domains: the entry VM's own, then the others by latency. */
struct eg_places
{
  const struct eg_placement_config *config;
  struct eg_place items[EG_PLACES_MAX];
  uint32_t count;
  uint32_t by_domain[EG_DOMAINS_MAX]; /**< Rank by domain index. */
  /** Square matrix with @c count rows; row: source, column: target. */
  int64_t latency_us[EG_PLACES_MAX * EG_PLACES_MAX];
};

/** Initialises with the entry VM's failure domain only. */
void eg_places_init (struct eg_places *self,
                     const struct eg_placement_config *config);

/** Adds the failure domains that have servers of @p pool. */
void eg_places_add (struct eg_places *self,
                    const struct eg_replicas *replicas,
                    const struct eg_replica_pool *pool,
                    struct eg_random *random);

/** Sorts the domains by their latency from the entry VM. */
void eg_places_sort (struct eg_places *self);

/**
 * Copies the first @p limit domains of @p all and fills in the latencies
 * between them.
 */
void eg_places_nearest (struct eg_places *self,
                        const struct eg_places *all,
                        uint32_t limit);

EG_END_DECLS

#endif
