#include "policy/layer_moves.h"

#include <string.h>

static bool
is_empty (struct eg_layer_range range)
{
  return range.to <= range.from;
}

static bool
is_equal (struct eg_layer_range a, struct eg_layer_range b)
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

/** How many servers of a failure domain serve each layer, now and on. */
struct coverage
{
  unsigned servers[EG_MODEL_LAYERS_MAX];
};

static void
cover (struct coverage *self, struct eg_layer_range range, bool add)
{
  for (uint32_t layer = range.from; layer < range.to; layer++)
    self->servers[layer] += add ? 1U : -1U;
}

static bool
is_whole (const struct coverage *self, const struct eg_engine_model *engine)
{
  for (uint32_t layer = 0; layer < engine->layers; layer++)
    if (self->servers[layer] == 0)
      return false;
  return true;
}

/* Tells whether others serve all that the server would no longer serve. */
static bool
may_give_up (const struct coverage *self,
             struct eg_layer_range serving,
             struct eg_layer_range kept)
{
  for (uint32_t layer = serving.from; layer < serving.to; layer++)
    if ((layer < kept.from || layer >= kept.to) && self->servers[layer] < 2)
      return false;
  return true;
}

/* Returns the range that holds both, or an empty one if that is too large. */
static struct eg_layer_range
widen (const struct eg_plan_server *server,
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
choose_one (const struct eg_plan_server *server,
            const struct coverage *coverage,
            const struct eg_engine_model *engine)
{
  struct eg_layer_range kept = intersect (server->serving, server->planned);
  struct eg_layer_range wide;

  if (may_give_up (coverage, server->serving, kept))
    return server->planned;
  wide = widen (server, engine);
  return is_equal (wide, server->held) ? (struct eg_layer_range){0, 0} : wide;
}

static void
choose_in_domain (struct eg_plan_server *servers,
                  size_t count,
                  const struct eg_engine_model *engine,
                  uint32_t domain,
                  unsigned at_once)
{
  struct coverage coverage;
  unsigned moving = 0;
  bool whole;

  memset (&coverage, 0, sizeof coverage);
  for (size_t i = 0; i < count; i++)
    if (servers[i].domain == domain)
      {
        cover (&coverage, servers[i].serving, true);
        moving += !is_equal (servers[i].serving, servers[i].held);
      }
  whole = is_whole (&coverage, engine);
  for (size_t i = 0; i < count; i++)
    {
      struct eg_plan_server *server = &servers[i];
      bool empty = is_empty (server->held);

      if (server->domain != domain || server->fixed
          || is_equal (server->planned, server->held)
          || is_empty (server->planned))
        continue;
      if (empty || !whole)
        {
          server->order = server->planned;
          continue;
        }
      if (moving >= at_once)
        continue;
      server->order = choose_one (server, &coverage, engine);
      if (is_empty (server->order))
        continue;
      moving++;
      cover (&coverage, server->serving, false);
      server->serving = intersect (server->serving, server->order);
      cover (&coverage, server->serving, true);
    }
}

void
eg_layer_moves_choose (struct eg_plan_server *servers,
                       size_t count,
                       const struct eg_engine_model *engine,
                       unsigned at_once)
{
  for (size_t i = 0; i < count; i++)
    servers[i].order = (struct eg_layer_range){0, 0};
  for (uint32_t domain = 0; domain < EG_PLAN_DOMAINS_MAX; domain++)
    choose_in_domain (servers, count, engine, domain, at_once);
}
