#include "policy/placement.h"

#include <math.h>
#include <string.h>

#include "policy/replicas.h"
#include "policy/sample.h"

/* Failure domains among which a chain is sought first. */
#define NEAR_DOMAINS 4
/* Places: the entry VM's failure domain, and all others. */
#define PLACES_MAX (EG_DOMAINS_MAX + 1)
#define NO_PLACE UINT32_MAX
/* Time of one layer for one token on an accelerator of weight 1. */
#define LAYER_US 500.0

/* A failure domain that has servers for the query. */
struct place
{
  const char *name;
  uint32_t domain; /* Its number, or EG_DOMAINS_MAX. */
  int64_t latency_us;
  uint64_t tie; /* Random order of places that are equally near. */
};

/* The places of one query, nearest first. */
struct map
{
  struct place places[PLACES_MAX];
  uint32_t count;
  uint32_t place_of[EG_DOMAINS_MAX]; /* By the number of the domain. */
  int64_t latency_us[PLACES_MAX * PLACES_MAX];
};

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

static void
add_place (struct map *map,
           const struct eg_sampler *sampler,
           const char *name,
           uint32_t domain)
{
  bool own = strcmp (name, sampler->config->failure_domain) == 0;

  if (own && map->count > 0)
    {
      map->places[0].domain = domain;
      map->place_of[domain] = 0;
      return;
    }
  if (domain < EG_DOMAINS_MAX)
    map->place_of[domain] = map->count;
  map->places[map->count++] = (struct place){
      .name = name,
      .domain = domain,
      .latency_us = own ? 0 : sampler->config->unknown_link_us,
      .tie = own ? 0 : eg_random_next (sampler->random),
  };
}

/* Adds the failure domains that have servers of a pool. */
static void
add_places (struct map *map,
            const struct eg_sampler *sampler,
            const struct eg_replicas *replicas,
            const struct eg_replica_pool *pool)
{
  for (size_t i = 0; i < pool->set_count; i++)
    {
      uint32_t domain = pool->sets[i]->domain;

      if (pool->sets[i]->count > 0 && map->place_of[domain] == NO_PLACE)
        add_place (map, sampler, replicas->domains[domain], domain);
    }
}

static uint32_t
find_place (const struct map *map, const char *name)
{
  for (uint32_t i = 0; i < map->count; i++)
    if (strcmp (map->places[i].name, name) == 0)
      return i;
  return NO_PLACE;
}

static void
measure_places (struct map *map, const struct eg_placement_config *config)
{
  for (size_t i = 0; i < config->link_count; i++)
    {
      const struct eg_placement_link *link = &config->links[i];
      uint32_t to;

      if (strcmp (link->from, config->failure_domain) != 0)
        continue;
      to = find_place (map, link->to);
      if (to != NO_PLACE)
        map->places[to].latency_us = link->latency_us;
    }
}

static bool
is_nearer (const struct place *a, const struct place *b)
{
  if (a->latency_us != b->latency_us)
    return a->latency_us < b->latency_us;
  return a->tie < b->tie;
}

/* Sorts all places but the first, which is the entry VM's. */
static void
sort_places (struct map *map)
{
  for (uint32_t i = 2; i < map->count; i++)
    {
      struct place place = map->places[i];
      uint32_t at = i;

      while (at > 1 && is_nearer (&place, &map->places[at - 1]))
        {
          map->places[at] = map->places[at - 1];
          at--;
        }
      map->places[at] = place;
    }
}

/* Keeps the nearest places alone. */
static void
limit_places (struct map *map, uint32_t limit)
{
  if (map->count > limit)
    map->count = limit;
  memset (map->place_of, 0xff, sizeof map->place_of);
  for (uint32_t i = 0; i < map->count; i++)
    if (map->places[i].domain < EG_DOMAINS_MAX)
      map->place_of[map->places[i].domain] = i;
}

/* Finds the latency between all places that are kept. */
static void
link_places (struct map *map, const struct eg_placement_config *config)
{
  uint32_t count = map->count;

  for (uint32_t i = 0; i < count * count; i++)
    map->latency_us[i] = i % (count + 1) == 0 ? 0 : config->unknown_link_us;
  if (count == 1)
    return;
  for (size_t i = 0; i < config->link_count; i++)
    {
      const struct eg_placement_link *link = &config->links[i];
      uint32_t from = find_place (map, link->from);
      uint32_t to = from == NO_PLACE ? from : find_place (map, link->to);

      if (to != NO_PLACE)
        map->latency_us[from * count + to] = link->latency_us;
    }
}

static void
draw_map (struct map *map,
          const struct eg_sampler *sampler,
          const struct eg_replicas *replicas)
{
  map->count = 0;
  memset (map->place_of, 0xff, sizeof map->place_of);
  add_place (map, sampler, sampler->config->failure_domain, EG_DOMAINS_MAX);
  for (size_t i = 0; i < replicas->pool_count; i++)
    if (serves (sampler, replicas->pools[i]))
      add_places (map, sampler, replicas, replicas->pools[i]);
  measure_places (map, sampler->config);
  sort_places (map);
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
            const struct map *map,
            struct eg_chain *chain)
{
  for (uint32_t i = 0; i < map->count; i++)
    for (size_t j = 0; j < replicas->pool_count; j++)
      {
        uint32_t server;

        if (!serves (sampler, replicas->pools[j]))
          continue;
        server =
            pick_in_domain (sampler, replicas->pools[j], map->places[i].domain);
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
         * (1 + eg_sampler_relative_load (sampler, stage->server));
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
                    const struct map *map,
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
      if (map->place_of[set->domain] == NO_PLACE
          || count == EG_CHAIN_CANDIDATES_MAX)
        continue;
      server = pick_stage (sampler, pool->sets + at, size, head);
      if (server == EG_SERVER_NONE)
        continue;
      candidate->stage =
          (struct eg_chain_stage){server, set->first_layer, set->last_layer};
      candidate->place = map->place_of[set->domain];
      candidate->time_us = stage_time (sampler, &candidate->stage);
      count++;
    }
  return count;
}

/* Finds the best chain within one pool after another. */
static bool
find_chain (const struct eg_sampler *sampler,
            const struct eg_replicas *replicas,
            const struct map *map,
            uint32_t head,
            struct eg_chain *chain)
{
  struct eg_chain_candidate candidates[EG_CHAIN_CANDIDATES_MAX];
  struct eg_chain_links links = {map->latency_us, map->count};
  double best = INFINITY;

  for (size_t i = 0; i < replicas->pool_count; i++)
    {
      const struct eg_replica_pool *pool = replicas->pools[i];
      struct eg_chain found;
      size_t count;
      double cost;

      if (!serves (sampler, pool))
        continue;
      count = collect_candidates (sampler, pool, map, head, candidates);
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
            struct map *map,
            uint32_t head,
            struct eg_chain *chain)
{
  bool more = map->count > NEAR_DOMAINS;
  struct map near;

  if (!more)
    {
      limit_places (map, PLACES_MAX);
      link_places (map, sampler->config);
      return find_chain (sampler, replicas, map, head, chain);
    }
  near = *map;
  limit_places (&near, NEAR_DOMAINS);
  link_places (&near, sampler->config);
  if (find_chain (sampler, replicas, &near, head, chain))
    return true;
  limit_places (map, PLACES_MAX);
  link_places (map, sampler->config);
  return find_chain (sampler, replicas, map, head, chain);
}

static bool
find (const struct eg_sampler *sampler,
      const struct eg_replicas *replicas,
      struct map *map,
      uint32_t head,
      struct eg_chain *chain)
{
  if (sampler->query->model.len == 0)
    return find_plain (sampler, replicas, map, chain);
  return find_model (sampler, replicas, map, head, chain);
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
  struct map map;
  uint32_t head;

  if (!is_known (&sampler, replicas))
    return EG_PLACEMENT_UNKNOWN;
  draw_map (&map, &sampler, replicas);
  head = preferred_head (&sampler);
  if (head != EG_SERVER_NONE && find (&sampler, replicas, &map, head, chain))
    return EG_PLACEMENT_FOUND;
  if (find (&sampler, replicas, &map, EG_SERVER_NONE, chain))
    return EG_PLACEMENT_FOUND;
  sampler.full_too = true;
  if (find (&sampler, replicas, &map, EG_SERVER_NONE, chain))
    {
      chain->count = 0;
      return EG_PLACEMENT_BUSY;
    }
  return EG_PLACEMENT_NONE;
}
