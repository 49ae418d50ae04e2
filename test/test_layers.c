/* Tests of layer plans and of paths through the layers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/random.h"
#include "policy/layer_path.h"
#include "policy/layer_plan.h"
#include "test/layer_fixture.h"

#define SERVERS_MAX 64

/* Tokens that a failure domain has to hold under the reference load: 22 streams
 * per second of 2.5 s and 900 tokens each. */
#define TOKENS_NEEDED 50000.0

/** A fleet to plan for. */
struct fleet
{
  struct eg_plan_server servers[SERVERS_MAX];
  size_t count;
};

static void
add (struct fleet *fleet, uint32_t domain, unsigned kind, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    fleet->servers[fleet->count++] = (struct eg_plan_server){
        .domain = domain,
        .slots = 192,
        .accelerator = &eg_reference_engine.accelerators[kind]};
}

static void
plan (struct fleet *fleet)
{
  eg_layer_plan_make (fleet->servers, fleet->count, &eg_reference_engine);
  for (size_t i = 0; i < fleet->count; i++)
    {
      struct eg_plan_server *server = &fleet->servers[i];
      uint32_t layers = server->planned.to - server->planned.from;

      assert_true (server->planned.to <= eg_reference_engine.layers);
      assert_true (layers <= eg_engine_layers_max (&eg_reference_engine,
                                                   server->accelerator));
      server->held = server->planned;
    }
}

/* Memory in tokens of the layer that has the least; 0 if a layer is missing. */
static double
least_memory (const struct fleet *fleet, uint32_t domain)
{
  double least = 1e18;

  for (uint32_t layer = 0; layer < eg_reference_engine.layers; layer++)
    {
      double tokens = 0;

      for (size_t i = 0; i < fleet->count; i++)
        {
          const struct eg_plan_server *server = &fleet->servers[i];
          uint32_t layers = server->held.to - server->held.from;

          if (server->domain == domain && server->held.from <= layer
              && layer < server->held.to)
            tokens += eg_engine_kv_capacity (&eg_reference_engine,
                                             server->accelerator, layers)
                      / layers;
        }
      least = tokens < least ? tokens : least;
    }
  return least;
}

static struct fleet
reference_fleet (void)
{
  static const unsigned counts[3][3] = {{1, 8, 5}, {3, 3, 5}, {1, 4, 8}};
  struct fleet fleet = {.count = 0};

  for (uint32_t domain = 0; domain < 3; domain++)
    for (unsigned kind = 0; kind < 3; kind++)
      add (&fleet, domain, kind, counts[domain][kind]);
  return fleet;
}

static void
test_plan_covers_each_domain (void **state)
{
  struct fleet fleet = reference_fleet ();

  (void) state;
  plan (&fleet);
  for (uint32_t domain = 0; domain < 3; domain++)
    assert_true (least_memory (&fleet, domain) >= TOKENS_NEEDED);
}

/* Guards against plans that fill the memory of servers with layers, so that
 * only a few streams fit. */
static void
test_loss_leaves_complete_plan (void **state)
{
  (void) state;
  for (size_t lost = 0; lost < 38; lost++)
    {
      struct fleet fleet = reference_fleet ();
      uint32_t domain;

      plan (&fleet);
      domain = fleet.servers[lost].domain;
      fleet.servers[lost] = fleet.servers[--fleet.count];
      plan (&fleet);
      assert_int_equal (eg_layer_plan_missing (fleet.servers, fleet.count,
                                               &eg_reference_engine, domain),
                        0);
      assert_true (least_memory (&fleet, domain) >= TOKENS_NEEDED / 2);
    }
}

static void
test_unchanged_fleet_keeps_its_plan (void **state)
{
  struct fleet fleet = reference_fleet ();

  (void) state;
  plan (&fleet);
  assert_int_equal (
      eg_layer_plan_make (fleet.servers, fleet.count, &eg_reference_engine), 0);
}

static void
test_fixed_server_keeps_its_layers (void **state)
{
  struct fleet fleet = reference_fleet ();

  (void) state;
  fleet.servers[0].fixed = true;
  fleet.servers[0].held = (struct eg_layer_range){3, 9};
  eg_layer_plan_make (fleet.servers, fleet.count, &eg_reference_engine);
  assert_int_equal (fleet.servers[0].planned.from, 3);
  assert_int_equal (fleet.servers[0].planned.to, 9);
}

static void
test_restart_moves_few_servers (void **state)
{
  struct fleet fleet = reference_fleet ();

  (void) state;
  plan (&fleet);
  fleet.servers[5].held = (struct eg_layer_range){0, 0};
  assert_true (
      eg_layer_plan_make (fleet.servers, fleet.count, &eg_reference_engine)
      <= 3);
  assert_true (fleet.servers[5].planned.to > fleet.servers[5].planned.from);
}

static unsigned
count_first (const struct fleet *fleet)
{
  unsigned first = 0;

  for (size_t i = 0; i < fleet->count; i++)
    first += fleet->servers[i].held.from == 0;
  return first;
}

/* A server of the first layer accepts no more requests than it has slots. A
 * failure domain of the grown fleet that has only one such server left gets
 * another, although other servers have to drop layers for it. */
static void
test_first_layer_regains_second_server (void **state)
{
  static const unsigned counts[] = {1, 20, 10};
  struct fleet fleet = {.count = 0};

  (void) state;
  for (unsigned kind = 0; kind < 3; kind++)
    add (&fleet, 0, kind, counts[kind]);
  plan (&fleet);
  assert_true (count_first (&fleet) > 1);
  for (size_t i = 0; i < fleet.count;)
    if (fleet.servers[i].held.from == 0 && count_first (&fleet) > 1)
      fleet.servers[i] = fleet.servers[--fleet.count];
    else
      i++;
  plan (&fleet);
  assert_true (count_first (&fleet) > 1);
}

static void
test_path_prefers_cheap_servers (void **state)
{
  const struct eg_path_candidate candidates[] = {
      {0, 0, 0, 40, 10, 0}, {1, 0, 20, 80, 5, 0}, {2, 0, 40, 80, 10, 0}};
  const struct eg_path_costs costs = {.hop_us = 1};
  struct eg_layer_path path;

  (void) state;
  assert_true (eg_layer_path_find (candidates, 3, 80, &costs, &path));
  assert_true (eg_layer_path_is_complete (&path, 80));
  assert_int_equal (path.count, 2);
  assert_int_equal (path.stages[0].to, 20);
  assert_int_equal (path.stages[1].server, 1);
}

/* A server without a free slot is avoided as the first of a path, but may run
 * later layers. */
static void
test_path_avoids_full_first_server (void **state)
{
  const struct eg_path_candidate candidates[] = {
      {0, 0, 0, 80, 5, 2000}, {1, 0, 0, 20, 10, 0}, {2, 0, 20, 80, 9, 0}};
  const struct eg_path_costs costs = {.hop_us = 1};
  struct eg_layer_path path;

  (void) state;
  assert_true (eg_layer_path_find (candidates, 3, 80, &costs, &path));
  assert_int_equal (path.count, 2);
  assert_int_equal (path.stages[0].server, 1);
  assert_int_equal (path.stages[1].server, 0);
}

static void
test_gap_gives_no_path (void **state)
{
  const struct eg_path_candidate candidates[] = {{0, 0, 0, 39, 10, 0},
                                                 {1, 0, 40, 80, 5, 0}};
  const struct eg_path_costs costs = {.hop_us = 1};
  struct eg_layer_path path = {.count = 7};

  (void) state;
  assert_false (eg_layer_path_find (candidates, 2, 80, &costs, &path));
  assert_int_equal (path.count, 7);
}

/* Engines reject a path that contains a server twice. */
static void
test_paths_are_complete_on_random_fleets (void **state)
{
  struct eg_random random;

  (void) state;
  eg_random_init (&random, 7);
  for (int round = 0; round < 400; round++)
    {
      struct eg_path_candidate candidates[30];
      const struct eg_path_costs costs = {
          .hop_us = eg_random_double (&random) * 20, .crossing_us = 500};
      size_t count = 5 + (size_t) eg_random_below (&random, 25);
      bool held[80] = {false};
      bool covered = true;
      struct eg_layer_path path;

      for (uint32_t i = 0; i < count; i++)
        {
          uint32_t from = (uint32_t) eg_random_below (&random, 70);
          uint32_t to = from + 1 + (uint32_t) eg_random_below (&random, 30);

          to = to > 80 ? 80 : to;
          candidates[i] = (struct eg_path_candidate){
              i,  (uint32_t) eg_random_below (&random, 3), from,
              to, 1 + eg_random_double (&random) * 50,     0};
          for (uint32_t l = from; l < to; l++)
            held[l] = true;
        }
      for (int l = 0; l < 80; l++)
        covered &= held[l];
      assert_int_equal (
          eg_layer_path_find (candidates, count, 80, &costs, &path), covered);
      if (covered)
        assert_true (eg_layer_path_is_complete (&path, 80));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_plan_covers_each_domain),
      cmocka_unit_test (test_loss_leaves_complete_plan),
      cmocka_unit_test (test_unchanged_fleet_keeps_its_plan),
      cmocka_unit_test (test_fixed_server_keeps_its_layers),
      cmocka_unit_test (test_restart_moves_few_servers),
      cmocka_unit_test (test_first_layer_regains_second_server),
      cmocka_unit_test (test_path_prefers_cheap_servers),
      cmocka_unit_test (test_path_avoids_full_first_server),
      cmocka_unit_test (test_gap_gives_no_path),
      cmocka_unit_test (test_paths_are_complete_on_random_fleets),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
