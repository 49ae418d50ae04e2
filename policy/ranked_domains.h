/**
 * @file
 * The failure domains that have servers for one request, by nearness.
 */
#ifndef EG_POLICY_RANKED_DOMAINS_H
#define EG_POLICY_RANKED_DOMAINS_H

#include <stdint.h>

#include "base/decls.h"
#include "base/random.h"
#include "policy/placement.h"
#include "policy/replicas.h"

EG_BEGIN_DECLS

/** The entry VM's failure domain, and all others. */
#define EG_RANKED_DOMAINS_MAX (EG_DOMAINS_MAX + 1)
/** No place. */
#define EG_PLACE_NONE UINT32_MAX

/** One failure domain. */
struct eg_ranked_domain
{
  const char *name;
  uint32_t domain;    /**< Its number; EG_DOMAINS_MAX if it has no servers. */
  int64_t latency_us; /**< From the entry VM. */
  uint64_t tie;       /**< Random order of places that are equally near. */
};

/** Places, the entry VM's own first and then the nearest. */
struct eg_ranked_domains
{
  const struct eg_placement_config *config;
  struct eg_ranked_domain items[EG_RANKED_DOMAINS_MAX];
  uint32_t count;
  uint32_t by_domain[EG_DOMAINS_MAX]; /**< Place, by the domain's number. */
  int64_t latency_us[EG_RANKED_DOMAINS_MAX
                     * EG_RANKED_DOMAINS_MAX]; /**< Rows of @c count. */
};

/** Starts with the entry VM's failure domain alone. */
void eg_ranked_domains_init (struct eg_ranked_domains *self,
                             const struct eg_placement_config *config);

/** Adds the failure domains that have servers of @p pool. */
void eg_ranked_domains_add (struct eg_ranked_domains *self,
                            const struct eg_replicas *replicas,
                            const struct eg_replica_pool *pool,
                            struct eg_random *random);

/** Orders the places by their nearness to the entry VM. */
void eg_ranked_domains_sort (struct eg_ranked_domains *self);

/** Keeps the first @p limit places of @p all, and finds their links. */
void eg_ranked_domains_nearest (struct eg_ranked_domains *self,
                                const struct eg_ranked_domains *all,
                                uint32_t limit);

EG_END_DECLS

#endif
