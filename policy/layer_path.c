#include "policy/layer_path.h"

#include <math.h>
#include <string.h>

#include "base/status.h"
#include "policy/configuration.h"

#define NO_CANDIDATE UINT16_MAX

/** Cheapest way to run the layers before a position and end in a domain. */
struct state
{
  double cost;
  uint16_t candidate; /**< Runs the last stage. */
  uint16_t position;  /**< First layer of that stage. */
  uint16_t domain;    /**< Domain of the stage before it. */
};

/* By position and failure domain. Being static, it allows only one search at a
   time. */
static struct state states[EG_MODEL_LAYERS_MAX + 1][EG_PATH_DOMAINS_MAX];

static double
hop_cost (const struct eg_path_costs *costs,
          uint32_t position,
          uint32_t before,
          uint32_t domain)
{
  if (position == 0)
    return domain == costs->home ? 0 : costs->remote_first_us;
  return before == domain ? costs->hop_us : costs->crossing_us;
}

static void
relax (const struct eg_path_candidate *candidate,
       uint16_t index,
       uint32_t position,
       uint32_t before,
       double base)
{
  for (uint32_t to = position + 1; to <= candidate->to; to++)
    {
      struct state *state = &states[to][candidate->domain];
      double cost = base + (to - position) * candidate->us_per_layer;

      if (cost < state->cost)
        {
          state->cost = cost;
          state->candidate = index;
          state->position = (uint16_t) position;
          state->domain = (uint16_t) before;
        }
    }
}

static void
clear_states (uint32_t layers)
{
  for (uint32_t p = 0; p <= layers; p++)
    for (uint32_t d = 0; d < EG_PATH_DOMAINS_MAX; d++)
      states[p][d] = (struct state){INFINITY, NO_CANDIDATE, 0, 0};
}

static void
relax_from (const struct eg_path_candidate *candidates,
            size_t count,
            uint32_t position,
            const struct eg_path_costs *costs)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct eg_path_candidate *candidate = &candidates[i];

      if (candidate->from > position || candidate->to <= position)
        continue;
      if (position == 0)
        {
          relax (candidate, (uint16_t) i, 0, 0,
                 hop_cost (costs, 0, 0, candidate->domain)
                     + candidate->first_us);
          continue;
        }
      for (uint32_t d = 0; d < EG_PATH_DOMAINS_MAX; d++)
        if (states[position][d].cost < INFINITY
            && states[position][d].candidate != i)
          relax (candidate, (uint16_t) i, position, d,
                 states[position][d].cost
                     + hop_cost (costs, position, d, candidate->domain));
    }
}

/* Engines accept a server only once per path. As its range of layers is
 * contiguous, it can also run the layers between its two stages. */
static void
merge_repeated_servers (struct eg_layer_path *path)
{
  for (uint32_t i = 0; i < path->count; i++)
    for (uint32_t j = path->count - 1; j > i; j--)
      if (path->stages[j].server == path->stages[i].server)
        {
          path->stages[i].to = path->stages[j].to;
          memmove (&path->stages[i + 1], &path->stages[j + 1],
                   (path->count - j - 1) * sizeof path->stages[0]);
          path->count -= j - i;
          break;
        }
}

static bool
build_path (const struct eg_path_candidate *candidates,
            uint32_t layers,
            uint32_t domain,
            struct eg_layer_path *path)
{
  struct eg_layer_path found = {.cost_us = states[layers][domain].cost};
  uint32_t position = layers;
  uint32_t count = 0;

  while (position > 0)
    {
      const struct state *state = &states[position][domain];

      if (count == EG_PATH_STAGES_MAX)
        return false;
      found.stages[count++] = (struct eg_path_stage){
          candidates[state->candidate].server, state->position, position};
      position = state->position;
      domain = state->domain;
    }
  found.count = count;
  for (uint32_t i = 0; i < count / 2; i++)
    {
      struct eg_path_stage stage = found.stages[i];

      found.stages[i] = found.stages[count - 1 - i];
      found.stages[count - 1 - i] = stage;
    }
  merge_repeated_servers (&found);
  *path = found;
  return true;
}

bool
eg_layer_path_find (const struct eg_path_candidate *candidates,
                    size_t count,
                    uint32_t layers,
                    const struct eg_path_costs *costs,
                    struct eg_layer_path *path)
{
  uint32_t best = 0;

  EG_INVARIANT (layers <= EG_MODEL_LAYERS_MAX
                && count <= EG_PATH_CANDIDATES_MAX);
  clear_states (layers);
  for (uint32_t position = 0; position < layers; position++)
    relax_from (candidates, count, position, costs);
  for (uint32_t d = 1; d < EG_PATH_DOMAINS_MAX; d++)
    if (states[layers][d].cost < states[layers][best].cost)
      best = d;
  return layers > 0 && states[layers][best].cost < INFINITY
         && build_path (candidates, layers, best, path);
}

bool
eg_layer_path_is_complete (const struct eg_layer_path *path, uint32_t layers)
{
  uint32_t position = 0;

  for (uint32_t i = 0; i < path->count; i++)
    {
      if (path->stages[i].from != position
          || path->stages[i].to <= path->stages[i].from)
        return false;
      position = path->stages[i].to;
      for (uint32_t j = 0; j < i; j++)
        if (path->stages[j].server == path->stages[i].server)
          return false;
    }
  return position == layers;
}
