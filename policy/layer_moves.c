#include "policy/layer_moves.h"

#include <string.h>

static bool
is_empty (struct eg_layer_range range)
{
  return range.to <= range.from;
}

static bool
ranges_equal (struct eg_layer_range a, struct eg_layer_range b)
{
  return a.from == b.from && a.to == b.to;
}

static struct eg_layer_range
intersect (struct eg_layer_range a, struct eg_layer_range b)
{
  struct eg_layer_range both = {a.from > b.from ? a.from : b.from,
                                a.to < b.to ? a.to : b.to};

  return is_empty (both) ? (struct eg_layer_range){0, 0} : both;
}

/**
 * Number of servers of a failure domain that serve each layer and will go on
 * serving it.
 */
struct coverage
{
  unsigned servers[EG_MODEL_LAYERS_MAX];
};

static void
count_range (struct coverage *self, struct eg_layer_range range, bool add)
{
  for (uint32_t layer = range.from; layer < range.to; layer++)
    self->servers[layer] += add ? 1U : -1U;
}

static bool
is_complete (const struct coverage *self, const struct eg_engine_model *engine)
{
  for (uint32_t layer = 0; layer < engine->layers; layer++)
    if (self->servers[layer] == 0)
      return false;
  return true;
}

/* Tells whether other servers serve every layer that the server would drop. */
static bool
can_drop (const struct coverage *self,
          struct eg_layer_range serving,
          struct eg_layer_range kept)
{
  for (uint32_t layer = serving.from; layer < serving.to; layer++)
    if ((layer < kept.from || layer >= kept.to) && self->servers[layer] < 2)
      return false;
  return true;
}

/* Returns the union of the held and the planned range; an empty range if there
   is a gap between them or the union does not fit in memory.
 */
static struct eg_layer_range
held_and_planned (const struct eg_plan_server *server,
                  const struct eg_engine_model *engine)
{
  const struct eg_layer_range held = server->held;
  const struct eg_layer_range planned = server->planned;
  struct eg_layer_range both = {held.from < planned.from ? held.from
                                                         : planned.from,
                                held.to > planned.to ? held.to : planned.to};

  if (held.to < planned.from || planned.to < held.from
      || both.to - both.from
             > eg_engine_layers_max (engine, server->accelerator))
    return (struct eg_layer_range){0, 0};
  return both;
}

static struct eg_layer_range
choose_order (const struct eg_plan_server *server,
              const struct coverage *coverage,
              const struct eg_engine_model *engine)
{
  struct eg_layer_range kept = intersect (server->serving, server->planned);
  struct eg_layer_range combined;

  if (can_drop (coverage, server->serving, kept))
    return server->planned;
  combined = held_and_planned (server, engine);
  return ranges_equal (combined, server->held) ? (struct eg_layer_range){0, 0}
                                               : combined;
}

static void
choose_in_domain (struct eg_plan_server *servers,
                  size_t count,
                  const struct eg_engine_model *engine,
                  uint32_t domain,
                  unsigned moves_max)
{
  struct coverage coverage;
  unsigned moving = 0;
  bool complete;

  memset (&coverage, 0, sizeof coverage);
  for (size_t i = 0; i < count; i++)
    if (servers[i].domain == domain)
      {
        count_range (&coverage, servers[i].serving, true);
        moving += !ranges_equal (servers[i].serving, servers[i].held);
      }
  complete = is_complete (&coverage, engine);
  for (size_t i = 0; i < count; i++)
    {
      struct eg_plan_server *server = &servers[i];
      bool empty = is_empty (server->held);

      if (server->domain != domain || server->fixed
          || ranges_equal (server->planned, server->held)
          || is_empty (server->planned))
        continue;
      if (empty || !complete)
        {
          server->order = server->planned;
          continue;
        }
      if (moving >= moves_max)
        continue;
      server->order = choose_order (server, &coverage, engine);
      if (is_empty (server->order))
        continue;
      moving++;
      count_range (&coverage, server->serving, false);
      server->serving = intersect (server->serving, server->order);
      count_range (&coverage, server->serving, true);
    }
}

void
eg_layer_moves_choose (struct eg_plan_server *servers,
                       size_t count,
                       const struct eg_engine_model *engine,
                       unsigned moves_max)
{
  for (size_t i = 0; i < count; i++)
    servers[i].order = (struct eg_layer_range){0, 0};
  for (uint32_t domain = 0; domain < EG_PLAN_DOMAINS_MAX; domain++)
    choose_in_domain (servers, count, engine, domain, moves_max);
}
