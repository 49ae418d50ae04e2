#include "policy/ranked_domains.h"

#include <string.h>

void
eg_ranked_domains_init (struct eg_ranked_domains *self,
                        const struct eg_placement_config *config)
{
  self->config = config;
  memset (self->by_domain, 0xff, sizeof self->by_domain);
  self->items[0] = (struct eg_ranked_domain){
      .name = config->failure_domain,
      .domain = EG_DOMAINS_MAX,
  };
  self->count = 1;
}

static void
add_domain (struct eg_ranked_domains *self,
            const char *name,
            uint32_t domain,
            struct eg_random *random)
{
  if (strcmp (name, self->config->failure_domain) == 0)
    {
      self->items[0].domain = domain;
      self->by_domain[domain] = 0;
      return;
    }
  self->by_domain[domain] = self->count;
  self->items[self->count++] = (struct eg_ranked_domain){
      .name = name,
      .domain = domain,
      .latency_us = self->config->unknown_link_us,
      .tie = eg_random_next (random),
  };
}

void
eg_ranked_domains_add (struct eg_ranked_domains *self,
                       const struct eg_replicas *replicas,
                       const struct eg_replica_pool *pool,
                       struct eg_random *random)
{
  for (size_t i = 0; i < pool->set_count; i++)
    {
      uint32_t domain = pool->sets[i]->domain;

      if (pool->sets[i]->count > 0 && self->by_domain[domain] == EG_PLACE_NONE)
        add_domain (self, replicas->domains[domain], domain, random);
    }
}

static uint32_t
find (const struct eg_ranked_domains *self, const char *name)
{
  for (uint32_t i = 0; i < self->count; i++)
    if (strcmp (self->items[i].name, name) == 0)
      return i;
  return EG_PLACE_NONE;
}

static void
measure (struct eg_ranked_domains *self)
{
  const struct eg_placement_config *config = self->config;

  for (size_t i = 0; i < config->link_count; i++)
    {
      const struct eg_placement_link *link = &config->links[i];
      uint32_t to;

      if (strcmp (link->from, config->failure_domain) != 0)
        continue;
      to = find (self, link->to);
      if (to != EG_PLACE_NONE)
        self->items[to].latency_us = link->latency_us;
    }
}

static bool
is_nearer (const struct eg_ranked_domain *a, const struct eg_ranked_domain *b)
{
  if (a->latency_us != b->latency_us)
    return a->latency_us < b->latency_us;
  return a->tie < b->tie;
}

void
eg_ranked_domains_sort (struct eg_ranked_domains *self)
{
  measure (self);
  /* The first is the entry VM's own, and stays so. */
  for (uint32_t i = 2; i < self->count; i++)
    {
      struct eg_ranked_domain place = self->items[i];
      uint32_t at = i;

      while (at > 1 && is_nearer (&place, &self->items[at - 1]))
        {
          self->items[at] = self->items[at - 1];
          at--;
        }
      self->items[at] = place;
    }
}

static void
find_links (struct eg_ranked_domains *self)
{
  const struct eg_placement_config *config = self->config;
  uint32_t count = self->count;

  for (uint32_t i = 0; i < count * count; i++)
    self->latency_us[i] = i % (count + 1) == 0 ? 0 : config->unknown_link_us;
  if (count == 1)
    return;
  for (size_t i = 0; i < config->link_count; i++)
    {
      const struct eg_placement_link *link = &config->links[i];
      uint32_t from = find (self, link->from);
      uint32_t to = from == EG_PLACE_NONE ? from : find (self, link->to);

      if (to != EG_PLACE_NONE)
        self->latency_us[from * count + to] = link->latency_us;
    }
}

void
eg_ranked_domains_nearest (struct eg_ranked_domains *self,
                           const struct eg_ranked_domains *all,
                           uint32_t limit)
{
  eg_ranked_domains_init (self, all->config);
  self->count = all->count < limit ? all->count : limit;
  memcpy (self->items, all->items, self->count * sizeof *self->items);
  for (uint32_t i = 0; i < self->count; i++)
    if (self->items[i].domain < EG_DOMAINS_MAX)
      self->by_domain[self->items[i].domain] = i;
  find_links (self);
}
