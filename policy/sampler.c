#include "policy/sampler.h"

#include <string.h>

/* Draws before the sets are looked through one server after the other. */
#define DRAWS_MAX 12
#define CHOICES 2
/* Part of the capacity that a server with a stale report counts for. */
#define STALE_SHARE 0.5
/* What a stream of another node counts against one of this node. */
#define OTHERS_SHARE 0.15
/* Relative load that counts as much as a latency ratio of 1 to 0. */
#define LATENCY_WORTH 1.0

/* Up to two servers, in the order found. */
struct choices
{
  uint32_t servers[CHOICES];
  size_t count;
};

static bool
is_stale (const struct eg_sampler *self, const struct eg_server *server)
{
  return self->now_us - server->report.as_of_us > EG_REPORT_STALE_US;
}

static uint32_t
default_slots (const struct eg_sampler *self)
{
  return self->config->default_slots ? self->config->default_slots : 1;
}

static uint32_t
slots_of (const struct eg_sampler *self, const struct eg_server *server)
{
  return server->report.slots ? server->report.slots : default_slots (self);
}

double
eg_sampler_relative_load (const struct eg_sampler *self, uint32_t index)
{
  const struct eg_server *server = eg_servers_get (self->servers, index);
  double slots = slots_of (self, server);

  if (is_stale (self, server))
    return server->in_flight / (slots * STALE_SHARE);
  return eg_servers_load (self->servers, index) / slots;
}

/* All nodes see the same late reports: if each followed them in full, all
   would send their work to the same servers, and overshoot. */
double
eg_sampler_damped_load (const struct eg_sampler *self, uint32_t index)
{
  const struct eg_server *server = eg_servers_get (self->servers, index);
  uint32_t others;

  if (is_stale (self, server))
    return eg_sampler_relative_load (self, index);
  others = eg_servers_load (self->servers, index) - server->in_flight;
  return (server->in_flight + OTHERS_SHARE * others) / slots_of (self, server);
}

static bool
is_excluded (const struct eg_placement_query *query, uint32_t index)
{
  for (size_t i = 0; i < query->excluded_count; i++)
    if (query->excluded[i] == index)
      return true;
  return false;
}

bool
eg_sampler_accepts (const struct eg_sampler *self, uint32_t index)
{
  double load_max = self->query->load_max > 0 ? self->query->load_max : 1;

  return eg_servers_usable (self->servers, index, self->now_us)
         && !is_excluded (self->query, index)
         && (self->full_too
             || eg_sampler_relative_load (self, index) < load_max);
}

double
eg_sampler_weight (const struct eg_sampler *self, const char *accelerator)
{
  const struct eg_placement_config *config = self->config;

  for (size_t i = 0; i < config->accelerator_count; i++)
    if (strcmp (config->accelerators[i].name, accelerator) == 0)
      return config->accelerators[i].weight;
  return 1;
}

static double
set_capacity (const struct eg_sampler *self, const struct eg_replica_set *set)
{
  double slots =
      (double) set->slots + (double) set->unstated * default_slots (self);

  return slots * eg_sampler_weight (self, set->accelerator);
}

static const struct eg_replica_set *
draw_set (const struct eg_sampler *self,
          struct eg_replica_set *const *sets,
          size_t count)
{
  double total = 0;
  double point;

  if (count == 1)
    return sets[0];
  for (size_t i = 0; i < count; i++)
    total += set_capacity (self, sets[i]);
  point = eg_random_double (self->random) * total;
  for (size_t i = 0; i + 1 < count; i++)
    {
      point -= set_capacity (self, sets[i]);
      if (point < 0)
        return sets[i];
    }
  return sets[count - 1];
}

/* Draws one server by its capacity; EG_SERVER_NONE if the draw is void. */
static uint32_t
draw (const struct eg_sampler *self, const struct eg_replica_set *set)
{
  const struct eg_server *server;
  uint32_t index;
  double most = set->slots_max;
  double slots;

  if (set->count == 0)
    return EG_SERVER_NONE;
  index = set->members[eg_random_below (self->random, set->count)];
  server = eg_servers_get (self->servers, index);
  slots = slots_of (self, server);
  if (set->unstated && most < default_slots (self))
    most = default_slots (self);
  if (is_stale (self, server))
    slots *= STALE_SHARE;
  if (slots < most && eg_random_double (self->random) * most >= slots)
    return EG_SERVER_NONE;
  return index;
}

static void
add_choice (struct choices *choices, uint32_t index)
{
  if (choices->count == 0 || choices->servers[0] != index)
    choices->servers[choices->count++] = index;
}

static void
draw_choices (const struct eg_sampler *self,
              struct eg_replica_set *const *sets,
              size_t count,
              struct choices *choices)
{
  for (int i = 0; i < DRAWS_MAX && choices->count < CHOICES; i++)
    {
      uint32_t index = draw (self, draw_set (self, sets, count));

      if (index != EG_SERVER_NONE && eg_sampler_accepts (self, index))
        add_choice (choices, index);
    }
}

/* Looks from a random place on, so that no server comes first always. */
static void
scan_choices (const struct eg_sampler *self,
              const struct eg_replica_set *set,
              struct choices *choices)
{
  uint32_t start = (uint32_t) eg_random_below (self->random, set->count);

  for (uint32_t i = 0; i < set->count && choices->count < CHOICES; i++)
    {
      uint32_t index = set->members[(start + i) % set->count];

      if (eg_sampler_accepts (self, index))
        add_choice (choices, index);
    }
}

/* Time taken, as it would be with an accelerator of weight 1. */
static double
plain_latency (const struct eg_sampler *self, const struct eg_server *server)
{
  return server->latency_us
         * eg_sampler_weight (self, server->report.accelerator);
}

/* Share of the one's latency in that of both; equal if one is not known. */
static double
latency_share (double one, double other)
{
  return one > 0 && other > 0 ? one / (one + other) : 0.5;
}

static uint32_t
better (const struct eg_sampler *self, uint32_t a, uint32_t b)
{
  double latency_a = plain_latency (self, eg_servers_get (self->servers, a));
  double latency_b = plain_latency (self, eg_servers_get (self->servers, b));
  double cost_a = eg_sampler_damped_load (self, a)
                  + LATENCY_WORTH * latency_share (latency_a, latency_b);
  double cost_b = eg_sampler_damped_load (self, b)
                  + LATENCY_WORTH * latency_share (latency_b, latency_a);

  return cost_b < cost_a ? b : a;
}

uint32_t
eg_sampler_pick (const struct eg_sampler *self,
                 struct eg_replica_set *const *sets,
                 size_t count)
{
  struct choices choices = {.count = 0};

  draw_choices (self, sets, count, &choices);
  if (choices.count == 0)
    for (size_t i = 0; i < count && choices.count < CHOICES; i++)
      scan_choices (self, sets[i], &choices);
  if (choices.count == 0)
    return EG_SERVER_NONE;
  if (choices.count == 1)
    return choices.servers[0];
  return better (self, choices.servers[0], choices.servers[1]);
}
