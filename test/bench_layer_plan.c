/* Prints plans of layers for the fleets of the users' sheets and for the size
 * of the target, and what they cost. Not run by ctest: it asserts nothing. */
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "policy/layer_plan.h"
#include "test/layer_fixture.h"

static void
print_domains (const char *name,
               const struct eg_plan_server *servers,
               size_t count,
               size_t domains)
{
  for (size_t d = 0; d < domains && d < 4; d++)
    {
      double tokens[80] = {0};
      unsigned replicas[80] = {0};
      unsigned single = 0;
      double least = 1e18;

      for (size_t i = 0; i < count; i++)
        if (servers[i].domain == d)
          {
            struct eg_layer_range r = servers[i].planned;

            for (uint32_t l = r.from; l < r.to; l++)
              {
                replicas[l]++;
                tokens[l] += eg_engine_kv_capacity (&eg_reference_engine,
                                                    servers[i].accelerator,
                                                    r.to - r.from)
                             / (r.to - r.from);
              }
          }
      for (int l = 0; l < 80; l++)
        {
          single += replicas[l] == 1;
          least = tokens[l] < least ? tokens[l] : least;
        }
      printf ("%s domain %zu: %u layers on one server, least memory %.0f "
              "tokens\n",
              name, d, single, least);
    }
}

static void
run (const char *name, const unsigned counts[][3], size_t domains)
{
  struct eg_plan_server *servers;
  size_t count = 0;
  size_t at = 0;
  int64_t begun_us;
  int64_t first_us;

  for (size_t d = 0; d < domains; d++)
    count += counts[d][0] + counts[d][1] + counts[d][2];
  servers = calloc (count, sizeof *servers);
  for (size_t d = 0; d < domains; d++)
    for (size_t kind = 0; kind < 3; kind++)
      for (unsigned i = 0; i < counts[d][kind]; i++)
        {
          servers[at].domain = (uint32_t) d;
          servers[at++].accelerator = &eg_reference_engine.accelerators[kind];
        }
  begun_us = eg_clock_now_us ();
  eg_layer_plan_make (servers, count, &eg_reference_engine);
  first_us = eg_clock_now_us () - begun_us;
  print_domains (name, servers, count, domains);
  for (size_t i = 0; i < count; i++)
    servers[i].held = servers[i].planned;
  servers[0].held = (struct eg_layer_range){0, 0};
  begun_us = eg_clock_now_us ();
  eg_layer_plan_make (servers, count, &eg_reference_engine);
  printf ("%s: %zu servers, first plan %.2f ms, plan after a loss %.2f ms\n",
          name, count, (double) first_us / 1e3,
          (double) (eg_clock_now_us () - begun_us) / 1e3);
  free (servers);
}

int
main (void)
{
  static const unsigned today[][3] = {{1, 8, 5}, {3, 3, 5}, {1, 4, 8}};
  static const unsigned grown[][3] = {{1, 22, 12}, {4, 9, 14}, {2, 13, 22}};
  static const unsigned target[][3] = {
      {57, 354, 389}, {57, 354, 389}, {57, 354, 389}, {57, 354, 389},
      {57, 354, 389}, {57, 354, 389}, {57, 354, 389}, {57, 354, 389},
      {57, 354, 389}, {57, 354, 389}, {57, 354, 389}, {57, 354, 389},
      {57, 354, 389}, {57, 354, 389}, {57, 354, 389}};

  run ("today", today, 3);
  run ("grown", grown, 3);
  run ("target", target, 15);
  return 0;
}
