#include "policy/layer_plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "base/status.h"

/* Value of a layer that is held by at least one server. A missing layer breaks
 * the path of the failure domain, so this outweighs all else together. */
#define VALUE_HELD 1000.0
#define VALUE_REPLICA 3.0 /**< Of a second server for a layer. */
/* Penalty of a layer with memory for exactly the target number of tokens; twice
 * as much with half the memory. The layer with the least memory limits the
 * path. */
#define MEMORY_PENALTY 4.0
/* The same for the memory that remains when the server with the most of it is
 * lost. It counts where the large accelerators of a failure domain can hold the
 * whole model: elsewhere it would take memory from paths through slow ones. */
#define LOSS_PENALTY 0.25
/* Requests enter at the servers of the first layer, each of which accepts no
 * more than it has slots. This is the penalty if the layers have memory for
 * twice as many requests; each further multiple adds the same again. It is
 * worth about two replicas of a server's layers, which is enough to move a
 * server. */
#define FIRST_LAYER_PENALTY 14.0
/* Tokens of a request if the engine states no mean: a prompt of one page and
 * its answer. */
#define REQUEST_TOKENS_DEFAULT 1000
/* Upper limit of the ratio of target to available memory in the penalty. */
#define MEMORY_RATIO_MAX 16.0
/* Range sizes tried per server, downwards from the most layers that fit. */
#define SIZES_TRIED 5
/* A large accelerator holds at least this fraction of the model. Filled with
 * layers it has memory for some tens of requests only, though it is mostly the
 * fastest one: smaller ranges are tried for it, down to this fraction of the
 * layers that fit. */
#define LARGE_FRACTION 0.4
#define LARGE_SIZE_FRACTION 0.25
/* Limit on passes over all servers, in case the value keeps rising slightly. */
#define PASSES_MAX 12
/* Smaller gains are treated as rounding errors. */
#define GAIN_MIN 1e-6
/* Attempts for a failure domain whose servers hold layers. The first one
 * changes the held layers; the others plan from scratch and are made only while
 * a layer has no server, because otherwise they move more servers than the gain
 * is worth. */
#define ATTEMPTS_INCREMENTAL 6
/* Attempts if all servers are empty, each with another order of them. */
#define ATTEMPTS_EMPTY 8
/* Fraction of the engine's stated KV cache tokens that every layer of a failure
 * domain should have memory for. */
#define TARGET_TOKENS_FRACTION 0.7
/* The same where accelerators are weighted by their speed: tokens of the
 * fastest one that every layer should have memory for. */
#define TARGET_WEIGHTED_FRACTION 2.0
/* Cost of a move in units of plan value, which its gain has to exceed: about
 * the value of two replicas, plus half of one per layer to load. Each layer to
 * drop costs a little too, because its running requests must end first. */
#define MOVE_COST 6.0
#define LOAD_COST 1.5
#define DROP_COST 0.5
#define SEED UINT64_C (0x5eed1a7e)

/** Planning state of a failure domain. */
struct domain_plan
{
  const struct eg_engine_model *engine;
  double target_tokens;   /**< Memory that each layer should have. */
  bool weighted;          /**< Tokens count by speed, see speed_weight(). */
  double step_factor_min; /**< Of the fastest accelerator. */
  double loss_penalty;    /**< LOSS_PENALTY, or 0. */
  struct eg_plan_server **servers;
  size_t count;
  unsigned replicas[EG_MODEL_LAYERS_MAX];
  double tokens[EG_MODEL_LAYERS_MAX];
  double token_sum;   /**< Sum of @c tokens. */
  double slot_tokens; /**< Of the requests that fit into the slots. */
};

static double
memory_ratio (const struct domain_plan *self, double tokens)
{
  double ratio = tokens > 0 ? self->target_tokens / tokens : MEMORY_RATIO_MAX;

  return ratio < MEMORY_RATIO_MAX ? ratio : MEMORY_RATIO_MAX;
}

/* @p largest is the part of @p tokens that one server has. */
static double
layer_value (const struct domain_plan *self,
             unsigned replicas,
             double tokens,
             double largest)
{
  double value = VALUE_HELD;

  if (replicas == 0)
    return 0;
  if (self->loss_penalty > 0)
    value -= self->loss_penalty * memory_ratio (self, tokens - largest);
  if (replicas > 1)
    value += VALUE_REPLICA;
  return value - MEMORY_PENALTY * memory_ratio (self, tokens);
}

static bool
ranges_equal (struct eg_layer_range a, struct eg_layer_range b)
{
  return a.from == b.from && a.to == b.to;
}

/* Weight of the memory of a server. A request holds memory on all servers of
 * its path for as long as it runs, so that memory on fast ones serves more
 * requests, but a path through fast and slow ones is as slow as the latter: the
 * square root keeps the slow ones in use. */
static double
speed_weight (const struct domain_plan *self,
              const struct eg_plan_server *server)
{
  return self->weighted
             ? sqrt (self->step_factor_min / server->accelerator->step_factor)
             : 1;
}

static double
tokens_per_layer (const struct domain_plan *self,
                  const struct eg_plan_server *server,
                  struct eg_layer_range range)
{
  uint32_t layers = range.to - range.from;

  return layers
             ? eg_engine_kv_capacity (self->engine, server->accelerator, layers)
                   / layers * speed_weight (self, server)
             : 0;
}

/* Tokens of the requests that a server accepts as the first one of a path. */
static double
slot_tokens_of (const struct domain_plan *self,
                const struct eg_plan_server *server,
                struct eg_layer_range range)
{
  uint32_t request_tokens =
      self->engine->mean_prompt_tokens + self->engine->mean_answer_tokens;

  if (range.from > 0 || range.to == 0)
    return 0;
  return (double) server->slots
         * (request_tokens > 0 ? request_tokens : REQUEST_TOKENS_DEFAULT)
         * speed_weight (self, server);
}

/* Penalty if the servers of the first layer accept fewer requests than the
 * layers have memory for. */
static double
first_layer_penalty (const struct domain_plan *self, double slot_tokens)
{
  double mean = self->token_sum / self->engine->layers;

  if (slot_tokens <= 0 || mean <= slot_tokens)
    return 0;
  return FIRST_LAYER_PENALTY * (mean / slot_tokens - 1);
}

static void
update_totals (struct domain_plan *self,
               const struct eg_plan_server *server,
               struct eg_layer_range range,
               bool add)
{
  double tokens = tokens_per_layer (self, server, range);

  for (uint32_t i = range.from; i < range.to; i++)
    {
      self->replicas[i] += add ? 1U : -1U;
      self->tokens[i] += add ? tokens : -tokens;
      self->token_sum += add ? tokens : -tokens;
    }
  self->slot_tokens += add ? slot_tokens_of (self, server, range)
                           : -slot_tokens_of (self, server, range);
}

/* Finds for each layer the most memory that a server other than @p except has
 * for it. */
static void
find_largest (const struct domain_plan *self,
              const struct eg_plan_server *except,
              double *largest)
{
  memset (largest, 0, EG_MODEL_LAYERS_MAX * sizeof *largest);
  for (size_t i = 0; self->loss_penalty > 0 && i < self->count; i++)
    {
      const struct eg_plan_server *server = self->servers[i];
      double tokens = tokens_per_layer (self, server, server->planned);

      if (server == except)
        continue;
      for (uint32_t l = server->planned.from; l < server->planned.to; l++)
        largest[l] = fmax (largest[l], tokens);
    }
}

/* Value that a server adds to each layer if it has memory for @p tokens.
 * @p largest is of the other servers. */
static void
layer_gains (const struct domain_plan *self,
             double tokens,
             const double *largest,
             double *gains)
{
  for (uint32_t i = 0; i < self->engine->layers; i++)
    gains[i] =
        layer_value (self, self->replicas[i] + 1, self->tokens[i] + tokens,
                     fmax (largest[i], tokens))
        - layer_value (self, self->replicas[i], self->tokens[i], largest[i]);
}

/* Value that a server adds to its failure domain by holding a range, from that
 * of the layers. */
static double
range_gain (const struct domain_plan *self,
            const struct eg_plan_server *server,
            struct eg_layer_range range,
            const double *gains)
{
  double slot_tokens = slot_tokens_of (self, server, range);
  double sum = 0;

  if (slot_tokens > 0)
    sum += first_layer_penalty (self, self->slot_tokens)
           - first_layer_penalty (self, self->slot_tokens + slot_tokens);
  for (uint32_t i = range.from; i < range.to; i++)
    sum += gains[i];
  return sum;
}

static double
gain (const struct domain_plan *self,
      const struct eg_plan_server *server,
      struct eg_layer_range range,
      const double *largest)
{
  double gains[EG_MODEL_LAYERS_MAX];

  layer_gains (self, tokens_per_layer (self, server, range), largest, gains);
  return range_gain (self, server, range, gains);
}

/* Layers that the server already holds need no loading. */
static double
move_cost (const struct eg_plan_server *server, struct eg_layer_range range)
{
  const struct eg_layer_range held = server->held;
  uint32_t from = range.from > held.from ? range.from : held.from;
  uint32_t to = range.to < held.to ? range.to : held.to;
  uint32_t kept = to > from ? to - from : 0;

  if (held.to == held.from || ranges_equal (range, held))
    return 0;
  return MOVE_COST + LOAD_COST * (range.to - range.from - kept)
         + DROP_COST * (held.to - held.from - kept);
}

static bool
is_large (const struct eg_engine_model *engine,
          const struct eg_accelerator *accelerator)
{
  return eg_engine_layers_max (engine, accelerator)
         >= LARGE_FRACTION * engine->layers;
}

/* Returns the smallest range that is tried for a server. */
static uint32_t
smallest_range (const struct domain_plan *self,
                const struct eg_plan_server *server,
                uint32_t layers_max)
{
  if (is_large (self->engine, server->accelerator))
    return (uint32_t) ceil (LARGE_SIZE_FRACTION * layers_max);
  return layers_max > SIZES_TRIED ? layers_max - SIZES_TRIED + 1 : 1;
}

static struct eg_layer_range
best_range (const struct domain_plan *self, const struct eg_plan_server *server)
{
  uint32_t layers = self->engine->layers;
  uint32_t layers_max =
      eg_engine_layers_max (self->engine, server->accelerator);
  uint32_t size_min = smallest_range (self, server, layers_max);
  struct eg_layer_range best = server->held;
  double largest[EG_MODEL_LAYERS_MAX];
  double best_gain;

  find_largest (self, server, largest);
  best_gain = gain (self, server, best, largest);
  for (uint32_t size = layers_max; size >= size_min && size > 0; size--)
    {
      double gains[EG_MODEL_LAYERS_MAX];

      layer_gains (
          self,
          tokens_per_layer (self, server, (struct eg_layer_range){0, size}),
          largest, gains);
      for (uint32_t from = 0; from + size <= layers; from++)
        {
          struct eg_layer_range range = {from, from + size};
          double value = range_gain (self, server, range, gains)
                         - move_cost (server, range);

          if (value > best_gain)
            {
              best = range;
              best_gain = value;
            }
        }
    }
  return best;
}

static double
total_value (const struct domain_plan *self)
{
  double sum = -first_layer_penalty (self, self->slot_tokens);
  double largest[EG_MODEL_LAYERS_MAX];

  find_largest (self, NULL, largest);
  for (uint32_t i = 0; i < self->engine->layers; i++)
    sum += layer_value (self, self->replicas[i], self->tokens[i], largest[i]);
  for (size_t i = 0; i < self->count; i++)
    sum -= move_cost (self->servers[i], self->servers[i]->planned);
  return sum;
}

static bool
is_complete (const struct domain_plan *self)
{
  for (uint32_t i = 0; i < self->engine->layers; i++)
    if (self->replicas[i] == 0)
      return false;
  return true;
}

static void
improve_in_order (struct domain_plan *self)
{
  bool changed = true;

  for (int pass = 0; changed && pass < PASSES_MAX; pass++)
    {
      changed = false;
      for (size_t i = 0; i < self->count; i++)
        {
          struct eg_plan_server *server = self->servers[i];
          struct eg_layer_range range;

          if (server->fixed)
            continue;
          update_totals (self, server, server->planned, false);
          range = best_range (self, server);
          update_totals (self, server, range, true);
          changed |= !ranges_equal (range, server->planned);
          server->planned = range;
        }
    }
}

/* Returns the gain from giving a server its best range instead of the planned
 * one. */
static double
best_change (struct domain_plan *self,
             struct eg_plan_server *server,
             struct eg_layer_range *range)
{
  struct eg_layer_range planned = server->planned;
  double largest[EG_MODEL_LAYERS_MAX];
  double net_gain;

  update_totals (self, server, planned, false);
  *range = best_range (self, server);
  find_largest (self, server, largest);
  net_gain = gain (self, server, *range, largest) - move_cost (server, *range)
             - gain (self, server, planned, largest)
             + move_cost (server, planned);
  update_totals (self, server, planned, true);
  return net_gain;
}

/* Repeatedly applies the change with the largest gain. A gap is thus closed by
 * a server whose layers others also hold, not by one that would leave another
 * gap. */
static void
improve_best_first (struct domain_plan *self)
{
  for (size_t step = 0; step < self->count * PASSES_MAX; step++)
    {
      struct eg_plan_server *best = NULL;
      struct eg_layer_range best_range = {0, 0};
      double best_net_gain = GAIN_MIN;

      for (size_t i = 0; i < self->count; i++)
        {
          struct eg_layer_range range;
          double net_gain;

          if (self->servers[i]->fixed)
            continue;
          net_gain = best_change (self, self->servers[i], &range);
          if (net_gain > best_net_gain)
            {
              best = self->servers[i];
              best_range = range;
              best_net_gain = net_gain;
            }
        }
      if (!best)
        return;
      update_totals (self, best, best->planned, false);
      update_totals (self, best, best_range, true);
      best->planned = best_range;
    }
}

static void
init_plan (struct domain_plan *self, bool keep_held)
{
  memset (self->replicas, 0, sizeof self->replicas);
  memset (self->tokens, 0, sizeof self->tokens);
  self->token_sum = 0;
  self->slot_tokens = 0;
  for (size_t i = 0; i < self->count; i++)
    {
      self->servers[i]->planned = keep_held || self->servers[i]->fixed
                                      ? self->servers[i]->held
                                      : (struct eg_layer_range){0, 0};
      update_totals (self, self->servers[i], self->servers[i]->planned, true);
    }
}

/* Partitions the layers among the servers in proportion to their memory, which
 * leaves the most memory for requests. */
static void
partition_layers (struct domain_plan *self)
{
  double total_mb = 0;
  double position = 0;

  for (size_t i = 0; i < self->count; i++)
    if (!self->servers[i]->fixed)
      total_mb += self->servers[i]->accelerator->memory_mb;
  for (size_t i = 0; i < self->count; i++)
    {
      struct eg_plan_server *server = self->servers[i];
      uint32_t layers_max =
          eg_engine_layers_max (self->engine, server->accelerator);
      struct eg_layer_range range;

      if (server->fixed)
        continue;
      range.from = (uint32_t) lround (position);
      position +=
          server->accelerator->memory_mb / total_mb * self->engine->layers;
      range.to = (uint32_t) lround (position);
      if (range.to > range.from + layers_max)
        range.to = range.from + layers_max;
      server->planned = range;
      update_totals (self, server, range, true);
    }
}

static void
shuffle (struct domain_plan *self, struct eg_random *random)
{
  for (size_t i = self->count; i > 1; i--)
    {
      size_t j = (size_t) eg_random_below (random, i);
      struct eg_plan_server *other = self->servers[j];

      self->servers[j] = self->servers[i - 1];
      self->servers[i - 1] = other;
    }
}

/* Runs the local search from several orders of the servers and keeps the best
 * plan. */
static void
plan_domain (struct domain_plan *self, unsigned attempts, bool incremental)
{
  struct eg_layer_range *best = calloc (self->count, sizeof *best);
  struct eg_plan_server **order =
      calloc (self->count, sizeof (struct eg_plan_server *));
  struct eg_random random;
  double best_value = -INFINITY;

  EG_INVARIANT (best && order);
  memcpy (order, self->servers, self->count * sizeof (struct eg_plan_server *));
  eg_random_init (&random, SEED);
  for (unsigned attempt = 0; attempt < attempts; attempt++)
    {
      double value;

      /* The first attempt changes the held layers; the others plan from
         scratch, which finds a better plan if many servers have to shift by a
         few layers. */
      init_plan (self, attempt == 0);
      if (attempt % 2 == 1)
        partition_layers (self);
      if (attempt == 0 && incremental)
        improve_best_first (self);
      else
        improve_in_order (self);
      value = total_value (self);
      if (value > best_value)
        {
          best_value = value;
          for (size_t i = 0; i < self->count; i++)
            best[i] = order[i]->planned;
        }
      if (incremental && is_complete (self))
        break;
      shuffle (self, &random);
    }
  for (size_t i = 0; i < self->count; i++)
    order[i]->planned = best[i];
  free (order);
  free (best);
}

/* Accelerators are weighted where some of them are large: there, the fast ones
 * can hold whole paths with memory to spare. */
static void
init_weights (struct domain_plan *self)
{
  const struct eg_engine_model *engine = self->engine;

  self->step_factor_min = INFINITY;
  for (uint32_t i = 0; i < engine->accelerator_count; i++)
    {
      const struct eg_accelerator *accelerator = &engine->accelerators[i];

      self->weighted |= is_large (engine, accelerator);
      if (accelerator->step_factor < self->step_factor_min)
        self->step_factor_min = accelerator->step_factor;
    }
  self->weighted &= self->step_factor_min > 0;
  self->target_tokens =
      fmax (1, engine->kv_tokens
                   * (self->weighted ? TARGET_WEIGHTED_FRACTION
                                     : TARGET_TOKENS_FRACTION));
}

/* Returns how many layers the large accelerators of a failure domain hold. */
static size_t
count_large_layers (const struct domain_plan *self)
{
  size_t layers = 0;

  for (size_t i = 0; i < self->count; i++)
    if (is_large (self->engine, self->servers[i]->accelerator))
      layers +=
          eg_engine_layers_max (self->engine, self->servers[i]->accelerator);
  return layers;
}

size_t
eg_layer_plan_make (struct eg_plan_server *servers,
                    size_t count,
                    const struct eg_engine_model *engine)
{
  struct domain_plan *plan = calloc (1, sizeof *plan);
  size_t moved = 0;

  EG_INVARIANT (plan && engine->layers <= EG_MODEL_LAYERS_MAX);
  plan->engine = engine;
  init_weights (plan);
  plan->servers = calloc (count ? count : 1, sizeof (struct eg_plan_server *));
  EG_INVARIANT (plan->servers);
  for (uint32_t domain = 0; domain < EG_PLAN_DOMAINS_MAX; domain++)
    {
      bool empty = true;

      plan->count = 0;
      for (size_t i = 0; i < count; i++)
        if (servers[i].domain == domain)
          {
            plan->servers[plan->count++] = &servers[i];
            empty &= servers[i].held.to == servers[i].held.from;
          }
      plan->loss_penalty =
          count_large_layers (plan) >= engine->layers ? LOSS_PENALTY : 0;
      if (plan->count > 0)
        plan_domain (plan, empty ? ATTEMPTS_EMPTY : ATTEMPTS_INCREMENTAL,
                     !empty);
    }
  for (size_t i = 0; i < count; i++)
    moved += !ranges_equal (servers[i].planned, servers[i].held);
  free (plan->servers);
  free (plan);
  return moved;
}

uint32_t
eg_layer_plan_missing (const struct eg_plan_server *servers,
                       size_t count,
                       const struct eg_engine_model *engine,
                       uint32_t domain)
{
  bool held[EG_MODEL_LAYERS_MAX] = {false};
  uint32_t missing = 0;

  for (size_t i = 0; i < count; i++)
    if (servers[i].domain == domain)
      for (uint32_t l = servers[i].held.from; l < servers[i].held.to; l++)
        held[l] = true;
  for (uint32_t l = 0; l < engine->layers; l++)
    missing += !held[l];
  return missing;
}
