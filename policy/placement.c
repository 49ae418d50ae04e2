#include "policy/placement.h"

#include <math.h>
#include <string.h>

#include "policy/ranked_domains.h"
#include "policy/replicas.h"
#include "policy/sampler.h"

/* Failure domains among which a chain is sought first. */
#define NEAR_DOMAINS 4
/* Time of one layer for one token on an accelerator of weight 1. */
#define LAYER_US 500.0

static bool
serves (const struct eg_sampler *sampler, const struct eg_replica_pool *pool)
{
  return eg_replica_pool_matches (pool, sampler->query->service,
                                  sampler->query->model);
}

static bool
is_known (const struct eg_sampler *sampler, const struct eg_replicas *replicas)
{
  for (size_t i = 0; i < replicas->pool_count; i++)
    if (serves (sampler, replicas->pools[i]))
      return true;
  return false;
}

/* Finds the failure domains that have servers for the query. */
static void
find_places (const struct eg_sampler *sampler,
             const struct eg_replicas *replicas,
             struct eg_ranked_domains *places)
{
  eg_ranked_domains_init (places, sampler->config);
  for (size_t i = 0; i < replicas->pool_count; i++)
    if (serves (sampler, replicas->pools[i]))
      eg_ranked_domains_add (places, replicas, replicas->pools[i],
                             sampler->random);
  eg_ranked_domains_sort (places);
}

/* Returns how many sets from @p at on differ in their accelerators alone. */
static size_t
group_size (const struct eg_replica_pool *pool, size_t at)
{
  const struct eg_replica_set *first = pool->sets[at];
  size_t end = at + 1;

  while (end < pool->set_count
         && pool->sets[end]->first_layer == first->first_layer
         && pool->sets[end]->last_layer == first->last_layer
         && pool->sets[end]->domain == first->domain)
    end++;
  return end - at;
}

static void
set_single (struct eg_chain *chain, uint32_t server)
{
  chain->count = 1;
  chain->stages[0] = (struct eg_chain_stage){.server = server};
}

/* Picks a server of a plain service in one failure domain. */
static uint32_t
pick_in_domain (const struct eg_sampler *sampler,
                const struct eg_replica_pool *pool,
                uint32_t domain)
{
  size_t at = 0;

  while (at < pool->set_count)
    {
      size_t size = group_size (pool, at);

      if (pool->sets[at]->domain == domain)
        return eg_sampler_pick (sampler, pool->sets + at, size);
      at += size;
    }
  return EG_SERVER_NONE;
}

static bool
find_plain (const struct eg_sampler *sampler,
            const struct eg_replicas *replicas,
            const struct eg_ranked_domains *places,
            struct eg_chain *chain)
{
  for (uint32_t i = 0; i < places->count; i++)
    for (size_t j = 0; j < replicas->pool_count; j++)
      {
        uint32_t server;

        if (!serves (sampler, replicas->pools[j]))
          continue;
        server = pick_in_domain (sampler, replicas->pools[j],
                                 places->items[i].domain);
        if (server == EG_SERVER_NONE)
          continue;
        set_single (chain, server);
        return true;
      }
  return false;
}

static double
stage_time (const struct eg_sampler *sampler,
            const struct eg_chain_stage *stage)
{
  const struct eg_server *server =
      eg_servers_get (sampler->servers, stage->server);
  double layers = stage->last_layer - stage->first_layer + 1;
  double weight = eg_sampler_weight (sampler, server->report.accelerator);

  return layers * LAYER_US / weight
         * (1 + eg_sampler_damped_load (sampler, stage->server));
}

/* Picks the server of one group; @p head alone may be the first stage. */
static uint32_t
pick_stage (const struct eg_sampler *sampler,
            struct eg_replica_set *const *sets,
            size_t count,
            uint32_t head)
{
  if (head == EG_SERVER_NONE || sets[0]->first_layer != 1)
    return eg_sampler_pick (sampler, sets, count);
  for (size_t i = 0; i < count; i++)
    if (sets[i] == eg_servers_replica_set (sampler->servers, head))
      return head;
  return EG_SERVER_NONE;
}

static size_t
collect_candidates (const struct eg_sampler *sampler,
                    const struct eg_replica_pool *pool,
                    const struct eg_ranked_domains *places,
                    uint32_t head,
                    struct eg_chain_candidate *candidates)
{
  size_t count = 0;
  size_t size;

  for (size_t at = 0; at < pool->set_count; at += size)
    {
      const struct eg_replica_set *set = pool->sets[at];
      struct eg_chain_candidate *candidate = &candidates[count];
      uint32_t server;

      size = group_size (pool, at);
      if (places->by_domain[set->domain] == EG_PLACE_NONE
          || count == EG_CHAIN_CANDIDATES_MAX)
        continue;
      server = pick_stage (sampler, pool->sets + at, size, head);
      if (server == EG_SERVER_NONE)
        continue;
      candidate->stage =
          (struct eg_chain_stage){server, set->first_layer, set->last_layer};
      candidate->place = places->by_domain[set->domain];
      candidate->time_us = stage_time (sampler, &candidate->stage);
      count++;
    }
  return count;
}

/* Finds the best chain within one pool after another. */
static bool
find_chain (const struct eg_sampler *sampler,
            const struct eg_replicas *replicas,
            const struct eg_ranked_domains *places,
            uint32_t head,
            struct eg_chain *chain)
{
  struct eg_chain_candidate candidates[EG_CHAIN_CANDIDATES_MAX];
  struct eg_chain_links links = {places->latency_us, places->count};
  double best = INFINITY;

  for (size_t i = 0; i < replicas->pool_count; i++)
    {
      const struct eg_replica_pool *pool = replicas->pools[i];
      struct eg_chain found;
      size_t count;
      double cost;

      if (!serves (sampler, pool))
        continue;
      count = collect_candidates (sampler, pool, places, head, candidates);
      cost = eg_chain_find (candidates, count, pool->layers, &links, &found);
      if (cost >= best)
        continue;
      best = cost;
      *chain = found;
    }
  return best < INFINITY;
}

/* Seeks among the nearest failure domains, and then among all. */
static bool
find_model (const struct eg_sampler *sampler,
            const struct eg_replicas *replicas,
            const struct eg_ranked_domains *places,
            uint32_t head,
            struct eg_chain *chain)
{
  struct eg_ranked_domains nearest;

  eg_ranked_domains_nearest (&nearest, places, NEAR_DOMAINS);
  if (find_chain (sampler, replicas, &nearest, head, chain))
    return true;
  if (places->count <= NEAR_DOMAINS)
    return false;
  eg_ranked_domains_nearest (&nearest, places, EG_RANKED_DOMAINS_MAX);
  return find_chain (sampler, replicas, &nearest, head, chain);
}

static bool
find (const struct eg_sampler *sampler,
      const struct eg_replicas *replicas,
      const struct eg_ranked_domains *places,
      uint32_t head,
      struct eg_chain *chain)
{
  if (sampler->query->model.len == 0)
    return find_plain (sampler, replicas, places, chain);
  return find_model (sampler, replicas, places, head, chain);
}

/* Returns the head that is likely to hold the prompt's prefix and has room. */
static uint32_t
preferred_head (const struct eg_sampler *sampler)
{
  const struct eg_placement_config *config = sampler->config;
  const struct eg_replica_set *set;
  uint32_t head;

  if (!config->prefixes || !sampler->query->prefix_hash
      || !sampler->query->model.len)
    return EG_SERVER_NONE;
  head = eg_prefix_table_lookup (config->prefixes, sampler->query->prefix_hash);
  set = eg_servers_replica_set (sampler->servers, head);
  if (!set || set->first_layer != 1 || !serves (sampler, set->pool)
      || !eg_sampler_accepts (sampler, head)
      || eg_sampler_relative_load (sampler, head) > config->affinity_load_max)
    return EG_SERVER_NONE;
  return head;
}

enum eg_placement_result
eg_placement_choose (const struct eg_placement_config *config,
                     const struct eg_servers *servers,
                     const struct eg_placement_query *query,
                     struct eg_random *random,
                     int64_t now_us,
                     struct eg_chain *chain)
{
  const struct eg_replicas *replicas = eg_servers_replicas (servers);
  struct eg_sampler sampler = {config, servers, query, random, now_us, false};
  struct eg_ranked_domains places;
  uint32_t head;

  if (!is_known (&sampler, replicas))
    return EG_PLACEMENT_UNKNOWN;
  find_places (&sampler, replicas, &places);
  head = preferred_head (&sampler);
  if (head != EG_SERVER_NONE && find (&sampler, replicas, &places, head, chain))
    return EG_PLACEMENT_FOUND;
  if (find (&sampler, replicas, &places, EG_SERVER_NONE, chain))
    return EG_PLACEMENT_FOUND;
  sampler.full_too = true;
  if (find (&sampler, replicas, &places, EG_SERVER_NONE, chain))
    {
      chain->count = 0;
      return EG_PLACEMENT_BUSY;
    }
  return EG_PLACEMENT_NONE;
}
