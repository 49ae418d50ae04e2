/* Tests of orders to engines that are not answered. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/clock.h"
#include "test/streams_fixture.h"

/* Time in which a lease is taken and an order is sent. */
#define ORDER_MS 6000
/* Time in which a change in the store is in force. */
#define APPLY_MS 1000
/* The engine whose orders are not answered; the others hold all layers. */
#define ORDERED 2

static struct streams_fixture fixture;

static int
start (void **state)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = STREAMS_ENGINES};

  streams_fixture_init (&fixture, &options);
  *state = &fixture;
  return 0;
}

static int
stop (void **state)
{
  streams_fixture_finish (*state);
  return 0;
}

static bool
has_one_order (const struct streams_fixture *self)
{
  return self->engines[ORDERED].orders == 1;
}

static bool
has_two_orders (const struct streams_fixture *self)
{
  return self->engines[ORDERED].orders == 2;
}

static void
publish_without_layers (struct streams_engine *engine)
{
  engine->layers_to = 0;
  streams_engine_publish (engine, false);
}

/* The connection of an order that was given up is closed, so that neither its
 * answer nor its end is taken for that of a later order. */
static void
assert_no_order_is_open (struct streams_fixture *self)
{
  streams_run (self, APPLY_MS);
  assert_int_equal (
      soak_http_server_count_requests (&self->engines[ORDERED].server), 0);
}

/* Lets the engine exit, and asserts that the VM serves on. */
static void
assert_engine_may_exit (struct streams_fixture *self)
{
  const struct streams_request request = {.body = "body"};

  streams_engine_withdraw (&self->engines[ORDERED]);
  streams_run (self, APPLY_MS);
  streams_engine_crash (&self->engines[ORDERED]);
  for (int i = 0; i < 5; i++)
    assert_int_equal (streams_client_request (self, 0, &request), 200);
  assert_true (self->vms[0].running);
}

/* An entry VM crashed when an engine exited that had left an order unanswered
 * and was given another one since. */
static void
test_unanswered_order_ends_before_the_next_one (void **state)
{
  struct streams_fixture *self = *state;
  struct streams_engine *engine = &self->engines[ORDERED];

  engine->on_order = STREAMS_ORDER_UNANSWERED;
  publish_without_layers (engine);
  assert_true (streams_wait (self, has_one_order, ORDER_MS));
  assert_no_order_is_open (self);
  engine->on_order = STREAMS_ORDER_ANSWERED;
  publish_without_layers (engine);
  assert_true (streams_wait (self, has_two_orders, ORDER_MS));
  assert_no_order_is_open (self);
  assert_int_equal (engine->accepted, 3);
  assert_engine_may_exit (self);
}

/* The same crash: the order was to an earlier start of the engine, and its
 * connection hung. */
static void
test_order_to_an_earlier_start_ends_with_it (void **state)
{
  struct streams_fixture *self = *state;
  struct streams_engine *engine = &self->engines[ORDERED];

  engine->on_order = STREAMS_ORDER_LOST;
  publish_without_layers (engine);
  assert_true (streams_wait (self, has_one_order, ORDER_MS));
  engine->on_order = STREAMS_ORDER_ANSWERED;
  engine->start_ms++;
  engine->accepted = 0;
  publish_without_layers (engine);
  assert_true (streams_wait (self, has_two_orders, ORDER_MS));
  assert_no_order_is_open (self);
  assert_engine_may_exit (self);
}

#define PLANNER_TEST(name)                                                     \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      PLANNER_TEST (unanswered_order_ends_before_the_next_one),
      PLANNER_TEST (order_to_an_earlier_start_ends_with_it),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
