/* Tests of the order in which moves of layers begin. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/random.h"
#include "policy/layer_moves.h"
#include "test/layer_fixture.h"

#define SERVERS 14
#define AT_ONCE 3
#define ROUNDS_MAX 60

static void
init_fleet (struct eg_plan_server *servers)
{
  memset (servers, 0, SERVERS * sizeof *servers);
  for (size_t i = 0; i < SERVERS; i++)
    servers[i].accelerator = &eg_reference_engine.accelerators[i < 1   ? 0
                                                               : i < 9 ? 1
                                                                       : 2];
  eg_layer_plan_make (servers, SERVERS, &eg_reference_engine);
  for (size_t i = 0; i < SERVERS; i++)
    servers[i].held = servers[i].serving = servers[i].planned;
}

static bool
is_served (const struct eg_plan_server *servers, size_t count)
{
  for (uint32_t layer = 0; layer < eg_reference_engine.layers; layer++)
    {
      bool served = false;

      for (size_t i = 0; i < count; i++)
        served |=
            servers[i].serving.from <= layer && layer < servers[i].serving.to;
      if (!served)
        return false;
    }
  return true;
}

/* Plans and moves until nothing changes; a whole path must stay whole. */
static unsigned
settle (struct eg_plan_server *servers, size_t count)
{
  for (unsigned round = 0; round < ROUNDS_MAX; round++)
    {
      bool whole = is_served (servers, count);
      bool moved = false;

      eg_layer_plan_make (servers, count, &eg_reference_engine);
      eg_layer_moves_choose (servers, count, &eg_reference_engine, AT_ONCE);
      if (whole)
        assert_true (is_served (servers, count));
      for (size_t i = 0; i < count; i++)
        {
          struct eg_plan_server *server = &servers[i];

          if (server->order.to == server->order.from)
            continue;
          assert_true (server->order.to - server->order.from
                       <= eg_engine_layers_max (&eg_reference_engine,
                                                server->accelerator));
          server->held = server->serving = server->order;
          moved = true;
        }
      if (!moved)
        return round;
    }
  return ROUNDS_MAX;
}

static void
test_losses_settle_without_a_gap (void **state)
{
  struct eg_random random;

  (void) state;
  eg_random_init (&random, 11);
  for (int play = 0; play < 20; play++)
    {
      struct eg_plan_server servers[SERVERS];
      size_t count = SERVERS;

      init_fleet (servers);
      while (count > 9)
        {
          servers[eg_random_below (&random, count)] = servers[count - 1];
          count--;
          assert_true (settle (servers, count) < ROUNDS_MAX);
          assert_true (is_served (servers, count));
        }
    }
}

/* The only server of a layer keeps it until another serves it. */
static void
test_last_server_waits (void **state)
{
  struct eg_plan_server servers[2] = {
      {.accelerator = &eg_reference_engine.accelerators[0]},
      {.accelerator = &eg_reference_engine.accelerators[0]}};
  struct eg_engine_model small = eg_reference_engine;

  (void) state;
  small.layers = 20;
  servers[0].held = servers[0].serving = (struct eg_layer_range){0, 12};
  servers[1].held = servers[1].serving = (struct eg_layer_range){12, 20};
  servers[0].planned = (struct eg_layer_range){0, 8};
  servers[1].planned = (struct eg_layer_range){8, 20};
  eg_layer_moves_choose (servers, 2, &small, AT_ONCE);
  assert_int_equal (servers[0].order.to, 0);
  assert_int_equal (servers[1].order.from, 8);
  servers[1].held = servers[1].serving = servers[1].order;
  eg_layer_moves_choose (servers, 2, &small, AT_ONCE);
  assert_int_equal (servers[0].order.to, 8);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_losses_settle_without_a_gap),
      cmocka_unit_test (test_last_server_waits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
