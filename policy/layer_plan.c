#include "policy/layer_plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "base/status.h"

/* Value of one layer's state. A layer that nobody holds breaks the failure
 * domain's path, so it outweighs all else together. */
#define VALUE_HELD 1000.0
#define VALUE_REPLICA 3.0 /**< Of a second server for a layer. */
/* A layer with memory for the goal's tokens loses this much value, one with
 * half of that twice as much: the layer with least memory bounds the path. */
#define LOSS_MEMORY 4.0
/* The first layer's servers take the requests, each no more than it has slots.
 * Where the other layers have memory for twice as many, this much is lost, and
 * as much again for each further time: about what two replicas of a server's
 * layers are worth, so that a server is moved for it. */
#define LOSS_FIRST 14.0
/* Tokens of a request of which nothing is known: a page and its answer. */
#define REQUEST_TOKENS_DEFAULT 1000
/* Beyond this many times the goal a lack of memory counts no further. */
#define LOSS_TIMES_MAX 16.0
/* Sizes tried for a server, down from what its memory holds. */
#define SIZES_TRIED 5
/* Passes over all servers, in case the value goes on rising by little. */
#define SWEEPS_MAX 12
/* Changes worth less are taken for rounding. */
#define WORTH_LEAST 1e-6
/* Tries for a failure domain that holds layers: plans made anew, after the
 * first that changes what is held, are for layers that it leaves without a
 * server. Elsewhere they moved more servers than they were worth. */
#define RENEWALS 6
/* Orders of servers tried where all are empty. */
#define RESTARTS 8
/* Share of an engine's stated memory for requests that every layer of a failure
 * domain should have. */
#define GOAL_TOKENS_SHARE 0.7
/* What a move has to gain, in units of the plan's value: about that of two
 * layers' replicas, half of one for each layer that has to be loaded, and less
 * for each that is given up, whose running requests have to end first. */
#define MOVE_COST 6.0
#define LOAD_COST 1.5
#define GIVE_UP_COST 0.5
#define SEED UINT64_C (0x5eed1a7e)

/** One failure domain while it is planned. */
struct domain_plan
{
  const struct eg_engine_model *engine;
  double goal_tokens; /**< Memory that each layer should have. */
  struct eg_plan_server **servers;
  size_t count;
  unsigned replicas[EG_MODEL_LAYERS_MAX];
  double tokens[EG_MODEL_LAYERS_MAX];
  double token_sum;   /**< Of all layers. */
  double slot_tokens; /**< Tokens of the requests that the slots take. */
};

static double
layer_value (const struct domain_plan *self, unsigned replicas, double tokens)
{
  double times = tokens > 0 ? self->goal_tokens / tokens : LOSS_TIMES_MAX;
  double value = VALUE_HELD;

  if (replicas == 0)
    return 0;
  if (times > LOSS_TIMES_MAX)
    times = LOSS_TIMES_MAX;
  if (replicas > 1)
    value += VALUE_REPLICA;
  return value - LOSS_MEMORY * times;
}

static bool
range_equal (struct eg_layer_range a, struct eg_layer_range b)
{
  return a.from == b.from && a.to == b.to;
}

static double
tokens_of (const struct domain_plan *self,
           const struct eg_plan_server *server,
           struct eg_layer_range range)
{
  uint32_t layers = range.to - range.from;

  return layers
             ? eg_engine_kv_capacity (self->engine, server->accelerator, layers)
                   / layers
             : 0;
}

/* Tokens of the requests that a server takes as the first one. */
static double
slot_tokens_of (const struct domain_plan *self,
                const struct eg_plan_server *server,
                struct eg_layer_range range)
{
  uint32_t usual =
      self->engine->mean_prompt_tokens + self->engine->mean_answer_tokens;

  if (range.from > 0 || range.to == 0)
    return 0;
  return (double) server->slots * (usual > 0 ? usual : REQUEST_TOKENS_DEFAULT);
}

/* What is lost where the first layer's servers take fewer requests than the
 * layers have memory for. */
static double
first_loss (const struct domain_plan *self, double slot_tokens)
{
  double mean = self->token_sum / self->engine->layers;

  if (slot_tokens <= 0 || mean <= slot_tokens)
    return 0;
  return LOSS_FIRST * (mean / slot_tokens - 1);
}

static void
apply (struct domain_plan *self,
       const struct eg_plan_server *server,
       struct eg_layer_range range,
       bool add)
{
  double tokens = tokens_of (self, server, range);

  for (uint32_t i = range.from; i < range.to; i++)
    {
      self->replicas[i] += add ? 1U : -1U;
      self->tokens[i] += add ? tokens : -tokens;
      self->token_sum += add ? tokens : -tokens;
    }
  self->slot_tokens += add ? slot_tokens_of (self, server, range)
                           : -slot_tokens_of (self, server, range);
}

/* What a server adds to the value of its failure domain with these layers. */
static double
gain (const struct domain_plan *self,
      const struct eg_plan_server *server,
      struct eg_layer_range range)
{
  double tokens = tokens_of (self, server, range);
  double slot_tokens = slot_tokens_of (self, server, range);
  double sum = 0;

  if (slot_tokens > 0)
    sum += first_loss (self, self->slot_tokens)
           - first_loss (self, self->slot_tokens + slot_tokens);
  for (uint32_t i = range.from; i < range.to; i++)
    sum += layer_value (self, self->replicas[i] + 1, self->tokens[i] + tokens)
           - layer_value (self, self->replicas[i], self->tokens[i]);
  return sum;
}

/* Layers that a server holds already need no loading. */
static double
move_cost (const struct eg_plan_server *server, struct eg_layer_range range)
{
  const struct eg_layer_range held = server->held;
  uint32_t from = range.from > held.from ? range.from : held.from;
  uint32_t to = range.to < held.to ? range.to : held.to;
  uint32_t kept = to > from ? to - from : 0;

  if (held.to == held.from || range_equal (range, held))
    return 0;
  return MOVE_COST + LOAD_COST * (range.to - range.from - kept)
         + GIVE_UP_COST * (held.to - held.from - kept);
}

static struct eg_layer_range
best_range (const struct domain_plan *self, const struct eg_plan_server *server)
{
  uint32_t layers = self->engine->layers;
  uint32_t most = eg_engine_layers_max (self->engine, server->accelerator);
  uint32_t least = most > SIZES_TRIED ? most - SIZES_TRIED + 1 : 1;
  struct eg_layer_range best = server->held;
  double best_gain = gain (self, server, best);

  for (uint32_t size = most; size >= least && size > 0; size--)
    for (uint32_t from = 0; from + size <= layers; from++)
      {
        struct eg_layer_range range = {from, from + size};
        double value = gain (self, server, range) - move_cost (server, range);

        if (value > best_gain)
          {
            best = range;
            best_gain = value;
          }
      }
  return best;
}

static double
total_value (const struct domain_plan *self)
{
  double sum = -first_loss (self, self->slot_tokens);

  for (uint32_t i = 0; i < self->engine->layers; i++)
    sum += layer_value (self, self->replicas[i], self->tokens[i]);
  for (size_t i = 0; i < self->count; i++)
    sum -= move_cost (self->servers[i], self->servers[i]->planned);
  return sum;
}

static bool
is_whole (const struct domain_plan *self)
{
  for (uint32_t i = 0; i < self->engine->layers; i++)
    if (self->replicas[i] == 0)
      return false;
  return true;
}

static void
improve (struct domain_plan *self)
{
  bool changed = true;

  for (int sweep = 0; changed && sweep < SWEEPS_MAX; sweep++)
    {
      changed = false;
      for (size_t i = 0; i < self->count; i++)
        {
          struct eg_plan_server *server = self->servers[i];
          struct eg_layer_range range;

          if (server->fixed)
            continue;
          apply (self, server, server->planned, false);
          range = best_range (self, server);
          apply (self, server, range, true);
          changed |= !range_equal (range, server->planned);
          server->planned = range;
        }
    }
}

/* What it is worth to give a server its best range in place of the planned one,
 * which is taken out meanwhile. */
static double
best_change (struct domain_plan *self,
             struct eg_plan_server *server,
             struct eg_layer_range *range)
{
  struct eg_layer_range planned = server->planned;
  double worth;

  apply (self, server, planned, false);
  *range = best_range (self, server);
  worth = gain (self, server, *range) - move_cost (server, *range)
          - gain (self, server, planned) + move_cost (server, planned);
  apply (self, server, planned, true);
  return worth;
}

/* Changes the server that gains most by it, again and again: a gap is closed by
 * a server whose layers others hold too, not by one that leaves another gap. */
static void
improve_best_first (struct domain_plan *self)
{
  for (size_t step = 0; step < self->count * SWEEPS_MAX; step++)
    {
      struct eg_plan_server *best = NULL;
      struct eg_layer_range best_range = {0, 0};
      double best_worth = WORTH_LEAST;

      for (size_t i = 0; i < self->count; i++)
        {
          struct eg_layer_range range;
          double worth;

          if (self->servers[i]->fixed)
            continue;
          worth = best_change (self, self->servers[i], &range);
          if (worth > best_worth)
            {
              best = self->servers[i];
              best_range = range;
              best_worth = worth;
            }
        }
      if (!best)
        return;
      apply (self, best, best->planned, false);
      apply (self, best, best_range, true);
      best->planned = best_range;
    }
}

static void
reset (struct domain_plan *self, bool keep)
{
  memset (self->replicas, 0, sizeof self->replicas);
  memset (self->tokens, 0, sizeof self->tokens);
  self->token_sum = 0;
  self->slot_tokens = 0;
  for (size_t i = 0; i < self->count; i++)
    {
      self->servers[i]->planned = keep || self->servers[i]->fixed
                                      ? self->servers[i]->held
                                      : (struct eg_layer_range){0, 0};
      apply (self, self->servers[i], self->servers[i]->planned, true);
    }
}

/* Lays the servers side by side over all layers, each with a share of them
 * that follows its memory: the plan with most memory for requests. */
static void
tile (struct domain_plan *self)
{
  double room_mb = 0;
  double position = 0;

  for (size_t i = 0; i < self->count; i++)
    if (!self->servers[i]->fixed)
      room_mb += self->servers[i]->accelerator->memory_mb;
  for (size_t i = 0; i < self->count; i++)
    {
      struct eg_plan_server *server = self->servers[i];
      uint32_t most = eg_engine_layers_max (self->engine, server->accelerator);
      struct eg_layer_range range;

      if (server->fixed)
        continue;
      range.from = (uint32_t) lround (position);
      position +=
          server->accelerator->memory_mb / room_mb * self->engine->layers;
      range.to = (uint32_t) lround (position);
      if (range.to > range.from + most)
        range.to = range.from + most;
      server->planned = range;
      apply (self, server, range, true);
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

/* Descends from several orders of the servers and keeps the best plan. */
static void
plan_domain (struct domain_plan *self, unsigned tries, bool keep_first)
{
  struct eg_layer_range *best = calloc (self->count, sizeof *best);
  struct eg_plan_server **order =
      calloc (self->count, sizeof (struct eg_plan_server *));
  struct eg_random random;
  double best_value = -INFINITY;

  EG_INVARIANT (best && order);
  memcpy (order, self->servers, self->count * sizeof (struct eg_plan_server *));
  eg_random_init (&random, SEED);
  for (unsigned attempt = 0; attempt < tries; attempt++)
    {
      double value;

      /* The first try changes what is held; the others plan anew, which finds
         the better plan where many servers have to shift by a little. */
      reset (self, attempt == 0);
      if (attempt % 2 == 1)
        tile (self);
      if (attempt == 0 && keep_first)
        improve_best_first (self);
      else
        improve (self);
      value = total_value (self);
      if (value > best_value)
        {
          best_value = value;
          for (size_t i = 0; i < self->count; i++)
            best[i] = order[i]->planned;
        }
      if (keep_first && is_whole (self))
        break;
      shuffle (self, &random);
    }
  for (size_t i = 0; i < self->count; i++)
    order[i]->planned = best[i];
  free (order);
  free (best);
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
  plan->goal_tokens = fmax (1, engine->kv_tokens * GOAL_TOKENS_SHARE);
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
      if (plan->count > 0)
        plan_domain (plan, empty ? RESTARTS : RENEWALS, !empty);
    }
  for (size_t i = 0; i < count; i++)
    moved += !range_equal (servers[i].planned, servers[i].held);
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
