#include "policy/sampler.h"

#include <string.h>

/* Random draws before falling back to a linear scan of the sets. */
#define DRAWS_MAX 12
#define CHOICES 2
/* Fraction of its capacity that a server with a stale report counts for. */
#define STALE_CAPACITY_FRACTION 0.5
/* Weight of another node's stream in the damped load; this node's count 1. */
#define REMOTE_STREAM_WEIGHT 0.15
/* Weight of the latency share when two servers are compared: the relative load
   that offsets a latency share of 1 against 0. */
#define LATENCY_WEIGHT 1.0

/* Up to two distinct servers, in the order found. */
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
    return server->in_flight / (slots * STALE_CAPACITY_FRACTION);
  return eg_servers_load (self->servers, index) / slots;
}

/* All nodes see the same delayed reports. If each node counted them in full,
   all would send their work to the same servers and overload them. */
double
eg_sampler_damped_load (const struct eg_sampler *self, uint32_t index)
{
  const struct eg_server *server = eg_servers_get (self->servers, index);
  uint32_t others;

  if (is_stale (self, server))
    return eg_sampler_relative_load (self, index);
  others = eg_servers_load (self->servers, index) - server->in_flight;
  return (server->in_flight + REMOTE_STREAM_WEIGHT * others)
         / slots_of (self, server);
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
         && (self->include_full
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

/* Draws one server with a probability proportional to its capacity, by
   rejection sampling; EG_SERVER_NONE if the draw was rejected. */
static uint32_t
draw (const struct eg_sampler *self, const struct eg_replica_set *set)
{
  const struct eg_server *server;
  uint32_t index;
  double max_slots = set->slots_max;
  double slots;

  if (set->count == 0)
    return EG_SERVER_NONE;
  index = set->members[eg_random_below (self->random, set->count)];
  server = eg_servers_get (self->servers, index);
  slots = slots_of (self, server);
  if (set->unstated && max_slots < default_slots (self))
    max_slots = default_slots (self);
  if (is_stale (self, server))
    slots *= STALE_CAPACITY_FRACTION;
  if (slots < max_slots && eg_random_double (self->random) * max_slots >= slots)
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

/* Scans from a random position, so that no server is always preferred. */
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

/* Latency scaled to an accelerator of weight 1. */
static double
normalised_latency (const struct eg_sampler *self,
                    const struct eg_server *server)
{
  return server->latency_us
         * eg_sampler_weight (self, server->report.accelerator);
}

/* Share of @p one in the sum of both latencies; 0.5 if either is unknown. */
static double
latency_share (double one, double other)
{
  return one > 0 && other > 0 ? one / (one + other) : 0.5;
}

static uint32_t
better_of (const struct eg_sampler *self, uint32_t a, uint32_t b)
{
  double latency_a =
      normalised_latency (self, eg_servers_get (self->servers, a));
  double latency_b =
      normalised_latency (self, eg_servers_get (self->servers, b));
  double cost_a = eg_sampler_damped_load (self, a)
                  + LATENCY_WEIGHT * latency_share (latency_a, latency_b);
  double cost_b = eg_sampler_damped_load (self, b)
                  + LATENCY_WEIGHT * latency_share (latency_b, latency_a);

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
  return better_of (self, choices.servers[0], choices.servers[1]);
}
