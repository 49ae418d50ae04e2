/* Benchmark: prints layer plans for the reference fleets and for a fleet of the
 * target size, and their run time. Not run by ctest; asserts nothing. */
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "policy/layer_plan.h"
#include "test/layer_fixture.h"

#define LAYERS 80 /* Of eg_reference_engine. */
#define PRINTED_DOMAINS_MAX 4

static void
print_domains (const char *name,
               const struct eg_plan_server *servers,
               size_t count,
               size_t domains)
{
  for (size_t d = 0; d < domains && d < PRINTED_DOMAINS_MAX; d++)
    {
      double kv_tokens[LAYERS] = {0};
      unsigned replicas[LAYERS] = {0};
      unsigned single_replica = 0;
      double min_kv_tokens = 1e18;

      for (size_t i = 0; i < count; i++)
        if (servers[i].domain == d)
          {
            struct eg_layer_range range = servers[i].planned;

            for (uint32_t l = range.from; l < range.to; l++)
              {
                replicas[l]++;
                kv_tokens[l] += eg_engine_kv_capacity (&eg_reference_engine,
                                                       servers[i].accelerator,
                                                       range.to - range.from)
                                / (range.to - range.from);
              }
          }
      for (int l = 0; l < LAYERS; l++)
        {
          single_replica += replicas[l] == 1;
          min_kv_tokens =
              kv_tokens[l] < min_kv_tokens ? kv_tokens[l] : min_kv_tokens;
        }
      printf ("%s domain %zu: %u layers on one server, KV cache for at "
              "least %.0f tokens\n",
              name, d, single_replica, min_kv_tokens);
    }
}

static void
measure (const char *name, const unsigned counts[][3], size_t domains)
{
  struct eg_plan_server *servers;
  size_t count = 0;
  size_t at = 0;
  int64_t start_us;
  int64_t first_plan_us;

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
  start_us = eg_clock_now_us ();
  eg_layer_plan_make (servers, count, &eg_reference_engine);
  first_plan_us = eg_clock_now_us () - start_us;
  print_domains (name, servers, count, domains);
  for (size_t i = 0; i < count; i++)
    servers[i].held = servers[i].planned;
  servers[0].held = (struct eg_layer_range){0, 0};
  start_us = eg_clock_now_us ();
  eg_layer_plan_make (servers, count, &eg_reference_engine);
  printf ("%s: %zu servers, first plan %.2f ms, plan after the loss of a "
          "server %.2f ms\n",
          name, count, (double) first_plan_us / 1e3,
          (double) (eg_clock_now_us () - start_us) / 1e3);
  free (servers);
}

int
main (void)
{
  /* Servers of each accelerator type, by failure domain. */
  static const unsigned today[][3] = {{1, 8, 5}, {3, 3, 5}, {1, 4, 8}};
  static const unsigned grown[][3] = {{1, 22, 12}, {4, 9, 14}, {2, 13, 22}};
  static const unsigned target[][3] = {
      {57, 354, 389}, {57, 354, 389}, {57, 354, 389}, {57, 354, 389},
      {57, 354, 389}, {57, 354, 389}, {57, 354, 389}, {57, 354, 389},
      {57, 354, 389}, {57, 354, 389}, {57, 354, 389}, {57, 354, 389},
      {57, 354, 389}, {57, 354, 389}, {57, 354, 389}};

  measure ("today", today, 3);
  measure ("grown", grown, 3);
  measure ("target", target, 15);
  return 0;
}
