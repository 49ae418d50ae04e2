#include "policy/chain.h"

#include <math.h>
#include <string.h>

#include "base/status.h"
#include "policy/servers.h"

/* No candidate. */
#define NONE UINT16_MAX

/* The best chain that ends with one candidate. */
struct step
{
  double cost;
  uint16_t previous;
  uint16_t stages;
  uint16_t same_last; /* Next candidate that ends at the same layer. */
};

/* What is minimised. */
enum objective
{
  LEAST_TIME,
  FEWEST_STAGES,
};

struct search
{
  const struct eg_chain_candidate *candidates;
  size_t count;
  const struct eg_chain_links *links;
  enum objective objective;
  struct step steps[EG_CHAIN_CANDIDATES_MAX];
  uint16_t ending[EG_MODEL_LAYERS_MAX + 1]; /* First candidate by last layer. */
};

bool
eg_chain_covers_model (const struct eg_chain *chain, uint32_t layers)
{
  uint32_t done = 0;

  if (chain->count > EG_CHAIN_MAX)
    return false;
  for (size_t i = 0; i < chain->count; i++)
    {
      const struct eg_chain_stage *stage = &chain->stages[i];

      if (stage->first_layer != done + 1 || stage->last_layer <= done)
        return false;
      done = stage->last_layer;
    }
  return chain->count > 0 && done == layers;
}

static double
cost_of (const struct search *search, uint32_t from, size_t index)
{
  const struct eg_chain_candidate *candidate = &search->candidates[index];
  const struct eg_chain_links *links = search->links;

  if (search->objective == FEWEST_STAGES)
    return 1;
  return candidate->time_us
         + (double) links->latency_us[from * links->count + candidate->place];
}

/* Finds the best chain up to one candidate; those before it are done. */
static void
extend (struct search *search, size_t index)
{
  const struct eg_chain_candidate *candidate = &search->candidates[index];
  struct step *step = &search->steps[index];

  *step = (struct step){.cost = INFINITY, .previous = NONE};
  if (candidate->stage.first_layer == 1)
    {
      step->cost = cost_of (search, 0, index);
      step->stages = 1;
      return;
    }
  for (uint16_t i = search->ending[candidate->stage.first_layer - 1]; i != NONE;
       i = search->steps[i].same_last)
    {
      double cost = search->steps[i].cost
                    + cost_of (search, search->candidates[i].place, index);

      if (cost >= step->cost)
        continue;
      step->cost = cost;
      step->previous = i;
      step->stages = search->steps[i].stages + 1;
    }
}

/* Returns the last candidate of the best chain. */
static uint16_t
best_end (struct search *search, uint32_t layers)
{
  uint16_t best = NONE;

  memset (search->ending, 0xff, (layers + 1) * sizeof *search->ending);
  for (size_t i = 0; i < search->count; i++)
    {
      uint32_t last = search->candidates[i].stage.last_layer;

      extend (search, i);
      search->steps[i].same_last = search->ending[last];
      search->ending[last] = (uint16_t) i;
    }
  for (uint16_t i = search->ending[layers]; i != NONE;
       i = search->steps[i].same_last)
    if (search->steps[i].cost < INFINITY
        && (best == NONE || search->steps[i].cost < search->steps[best].cost))
      best = i;
  return best;
}

static double
time_of (const struct search *search, const uint16_t *path, size_t count)
{
  const struct eg_chain_links *links = search->links;
  uint32_t from = 0;
  double total = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct eg_chain_candidate *candidate = &search->candidates[path[i]];

      total += candidate->time_us;
      total +=
          (double) links->latency_us[from * links->count + candidate->place];
      from = candidate->place;
    }
  return total;
}

double
eg_chain_find (const struct eg_chain_candidate *candidates,
               size_t count,
               uint32_t layers,
               const struct eg_chain_links *links,
               struct eg_chain *chain)
{
  struct search search;
  uint16_t path[EG_CHAIN_MAX];
  uint16_t end;

  EG_INVARIANT (count <= EG_CHAIN_CANDIDATES_MAX
                && layers <= EG_MODEL_LAYERS_MAX);
  search.candidates = candidates;
  search.count = count;
  search.links = links;
  search.objective = LEAST_TIME;
  end = best_end (&search, layers);
  if (end != NONE && search.steps[end].stages > EG_CHAIN_MAX)
    {
      search.objective = FEWEST_STAGES;
      end = best_end (&search, layers);
    }
  if (end == NONE || search.steps[end].stages > EG_CHAIN_MAX)
    return INFINITY;
  chain->count = search.steps[end].stages;
  for (size_t i = chain->count; i > 0; i--)
    {
      path[i - 1] = end;
      chain->stages[i - 1] = candidates[end].stage;
      end = search.steps[end].previous;
    }
  return time_of (&search, path, chain->count);
}
