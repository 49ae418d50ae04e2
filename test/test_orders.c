/* Orders to engines, sent by a complete node and by a former holder of the
   lease that was paused: a late order must be refused or corrected. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <time.h>

#include "backend/engine.h"
#include "base/clock.h"
#include "router/capacity_controller.h"
#include "test/path_fixture.h"

#define CHECKING EG_TEST_HOST "11"
#define NOT_CHECKING EG_TEST_HOST "12"
#define OTHER_DOMAIN EG_TEST_HOST "13"
#define RING_SLOTS 64
#define WAIT_STEP_US (10 * EG_US_PER_MS)
#define WAIT_STEPS 3000
#define ACTOR_LEASE_MS 2000

static struct path_fixture fixture;

/* A capacity controller whose clock is set by the test. */
struct actor
{
  struct eg_router_settings settings;
  struct eg_fleet fleet;
  struct eg_ring replies;
  struct eg_ring events;
  struct eg_platform_worker *platform;
  struct eg_backend_worker *backend;
  struct eg_capacity_controller *controller;
  size_t reply_count;
  size_t event_count;
  enum eg_order_result result; /* Result of the last order. */
  int http_status;
};

static int
set_up (void **state)
{
  (void) state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  path_fixture_init (&fixture);
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  path_fixture_finish (&fixture);
  curl_global_cleanup ();
  return 0;
}

static void
on_reply (void *context, struct eg_platform_reply *reply)
{
  EG_INVARIANT (eg_ring_push (context, reply));
}

static void
on_event (void *context, struct eg_backend_event *event)
{
  EG_INVARIANT (eg_ring_push (context, event));
}

/* Reports to an actor that its engine is empty, or holds the old version. */
static void
report (struct actor *actor, const char *address, bool unloaded)
{
  struct eg_server_report row = {
      .unloaded = unloaded,
      .as_of_us = eg_clock_now_us (),
  };
  uint32_t server = eg_servers_add (actor->fleet.servers, eg_str_from (address),
                                    EG_STR ("a"));

  memcpy (row.service, actor->settings.name, sizeof row.service);
  if (!unloaded)
    {
      strcpy (row.model, "m");
      strcpy (row.version, "1");
      row.first_layer = 1;
      row.last_layer = 16;
      row.model_layers = 32;
    }
  assert_true (
      eg_servers_report (actor->fleet.servers, server, &row, row.as_of_us));
}

/* The service is named after the test, so that tests do not share leases. */
static void
actor_init (struct actor *self,
            const char *service,
            const char *engine,
            uint64_t incarnation)
{
  const struct eg_backend_config backend = {
      .connect_timeout_us = EG_US_PER_S,
      .poll_timeout_us = EG_US_PER_S,
      .answer_max = 65536,
  };
  struct eg_capacity_controller_deps deps = {
      .settings = &self->settings,
      .fleet = &self->fleet,
      .incarnation = incarnation,
  };
  struct eg_buffer text = {0};
  struct eg_rules rules;

  memset (self, 0, sizeof *self);
  self->settings = fixture.node.settings;
  self->settings.lease_ms = ACTOR_LEASE_MS;
  eg_str_copy (eg_str_from (service), self->settings.name, EG_NAME_BYTES);
  assert_true (eg_ring_init (&self->replies, RING_SLOTS));
  assert_true (eg_ring_init (&self->events, RING_SLOTS));
  assert_true (eg_fleet_init (&self->fleet, EG_US_PER_S));
  self->platform = eg_platform_worker_new (
      PLATFORM, &(struct eg_platform_sink){on_reply, &self->replies});
  self->backend = eg_backend_worker_new (
      &backend, &(struct eg_backend_sink){on_event, &self->events});
  deps.platform = self->platform;
  deps.backend = self->backend;
  self->controller = eg_capacity_controller_new (&deps);
  eg_buffer_printf (&text,
                    "capacity service=%s model=m version=2 layers=1-16 "
                    "count=1 # Nok: a test\n",
                    service);
  assert_int_equal (eg_rules_init (&rules, eg_buffer_view (&text)), EG_OK);
  eg_capacity_controller_apply_rules (self->controller, &rules);
  eg_rules_finish (&rules);
  eg_buffer_finish (&text);
  report (self, engine, true);
}

static void
take_messages (struct actor *self)
{
  struct eg_platform_reply *reply;
  struct eg_backend_event *event;

  while ((reply = eg_ring_pop (&self->replies)))
    {
      self->reply_count++;
      assert_true (eg_capacity_controller_store_reply (self->controller, reply,
                                                       eg_clock_now_us ()));
      eg_platform_reply_free (reply);
    }
  while ((event = eg_ring_pop (&self->events)))
    {
      assert_int_equal (event->kind, EG_BACKEND_ORDER_DONE);
      self->event_count++;
      self->result = event->order_result;
      self->http_status = event->http_status;
      eg_capacity_controller_order_done (self->controller, event,
                                         eg_clock_now_us ());
      eg_backend_event_free (event);
    }
}

static void
actor_finish (struct actor *self)
{
  eg_backend_worker_free (self->backend);
  eg_platform_worker_free (self->platform);
  take_messages (self);
  eg_capacity_controller_free (self->controller);
  eg_fleet_finish (&self->fleet);
  eg_ring_finish (&self->replies);
  eg_ring_finish (&self->events);
}

static void
wait_step (void)
{
  const struct timespec pause = {.tv_nsec = WAIT_STEP_US * 1000};

  nanosleep (&pause, NULL);
}

/* Runs an actor until @p count orders have ended. */
static void
run_until_orders (struct actor *self, size_t count)
{
  for (int i = 0; i < WAIT_STEPS && self->event_count < count; i++)
    {
      take_messages (self);
      eg_capacity_controller_tick (self->controller, eg_clock_now_us ());
      wait_step ();
    }
  assert_int_equal (self->event_count, count);
}

/* Runs an actor until it holds its lease, and returns the time. */
static int64_t
run_until_held (struct actor *self)
{
  int64_t now_us = 0;

  for (int i = 0; i < WAIT_STEPS; i++)
    {
      now_us = eg_clock_now_us ();
      take_messages (self);
      if (eg_capacity_controller_leases_held (self->controller, now_us) > 0)
        break;
      eg_capacity_controller_tick (self->controller, now_us);
      wait_step ();
    }
  assert_int_equal (
      eg_capacity_controller_leases_held (self->controller, now_us), 1);
  return now_us;
}

/*
 * Runs an actor until the store has confirmed its lease and the order is about
 * to be sent, then pauses it.
 * @return the time of the pause.
 */
static int64_t
run_until_confirmed (struct actor *self)
{
  int64_t now_us = run_until_held (self);
  size_t replies = self->reply_count;

  eg_capacity_controller_tick (self->controller, now_us);
  for (int i = 0; i < WAIT_STEPS && self->reply_count == replies; i++)
    {
      take_messages (self);
      wait_step ();
    }
  assert_int_equal (self->event_count, 0);
  return now_us;
}

static void
expect_last_order (const char *address, size_t count, const char *version)
{
  json_t *orders = path_orders (address);
  json_t *last = json_array_get (orders, json_array_size (orders) - 1);

  assert_int_equal (json_array_size (orders), count);
  assert_string_equal (json_string_value (json_object_get (last, "version")),
                       version);
  json_decref (orders);
}

/* Sends an order like a holder that was paused after all of its checks. */
static void
send_unchecked (struct actor *self, const char *address)
{
  struct eg_backend_command *command =
      eg_backend_command_new (EG_BACKEND_ORDER);
  const struct eg_order order = {
      .kind = EG_ORDER_LOAD,
      .model = "m",
      .version = "1",
      .first_layer = 1,
      .last_layer = 16,
  };
  size_t events = self->event_count;

  eg_str_copy (eg_str_from (address), command->address, EG_ADDRESS_BYTES);
  command->has_body = true;
  command->timeout_us = 10 * EG_US_PER_S;
  eg_engine_write_order (&command->body, &order, 1);
  assert_true (eg_backend_worker_push (self->backend, command));
  for (int i = 0; i < WAIT_STEPS && self->event_count == events; i++)
    {
      take_messages (self);
      wait_step ();
    }
}

/* Pauses a holder until its successor has sent an order, then resumes it. */
static void
pause_holder (struct actor *former,
              struct actor *successor,
              const char *service,
              const char *engine)
{
  int64_t paused_us;

  actor_init (former, service, engine, 1);
  actor_init (successor, service, engine, 2);
  paused_us = run_until_confirmed (former);
  run_until_orders (successor, 1);
  assert_int_equal (successor->result, EG_ORDER_ACCEPTED);
  expect_last_order (engine, 1, "2");

  /* It continues with the time of the pause, but nothing is sent. */
  eg_capacity_controller_tick (former->controller, paused_us);
  for (int i = 0; i < WAIT_STEPS && former->event_count == 0; i++)
    {
      take_messages (former);
      wait_step ();
    }
  assert_int_equal (former->event_count, 1);
  assert_int_equal (former->result, EG_ORDER_NOT_SENT);
  expect_last_order (engine, 1, "2");

  /* At the current time it no longer holds the lease. */
  assert_int_equal (eg_capacity_controller_leases_held (former->controller,
                                                        eg_clock_now_us ()),
                    0);
}

static void
test_checking_engine_refuses_former_holder (void **state)
{
  struct actor former;
  struct actor successor;

  (void) state;
  pause_holder (&former, &successor, "pause-1", CHECKING);
  send_unchecked (&former, CHECKING);
  assert_int_equal (former.result, EG_ORDER_REFUSED);
  assert_int_equal (former.http_status, 409);
  expect_last_order (CHECKING, 1, "2");
  actor_finish (&former);
  actor_finish (&successor);
}

static void
test_order_of_former_holder_is_corrected (void **state)
{
  struct actor former;
  struct actor successor;

  (void) state;
  pause_holder (&former, &successor, "pause-2", NOT_CHECKING);
  /* The remaining case: a pause between the check and the first byte. */
  send_unchecked (&former, NOT_CHECKING);
  assert_int_equal (former.result, EG_ORDER_ACCEPTED);
  expect_last_order (NOT_CHECKING, 2, "1");
  /* Reports show an empty engine instead of the ordered version, so the holder
     sends a new order. */
  for (int i = 0; i < WAIT_STEPS && successor.event_count < 2; i++)
    {
      report (&successor, NOT_CHECKING, true);
      take_messages (&successor);
      eg_capacity_controller_tick (successor.controller, eg_clock_now_us ());
      wait_step ();
    }
  assert_int_equal (successor.result, EG_ORDER_ACCEPTED);
  expect_last_order (NOT_CHECKING, 3, "2");
  actor_finish (&former);
  actor_finish (&successor);
}

static void
test_no_order_without_confirmed_lease (void **state)
{
  struct actor actor;
  int64_t now_us;

  (void) state;
  actor_init (&actor, "down", CHECKING, 3);
  now_us = run_until_held (&actor);
  path_inject_fault (PLATFORM, "{\"fault\":\"down\"}");
  /* The lease has not expired, but the store does not confirm it. */
  for (int i = 0; i < 100; i++)
    {
      take_messages (&actor);
      eg_capacity_controller_tick (actor.controller, now_us);
      now_us += WAIT_STEP_US;
      wait_step ();
    }
  assert_int_equal (actor.event_count, 0);
  path_clear_faults (PLATFORM);
  run_until_orders (&actor, 1);
  assert_int_equal (actor.result, EG_ORDER_ACCEPTED);
  actor_finish (&actor);
}

static void
test_report_of_empty_engine (void **state)
{
  const struct eg_str body = EG_STR (
      "{\"server\":\"e\",\"service\":\"llm\",\"model\":\"\","
      "\"version\":\"1\",\"layers\":[1,16],\"model_layers\":32,"
      "\"accelerator\":\"large\",\"running\":0,\"queued\":0,\"kv_free\":9,"
      "\"kv_total\":9,\"draining\":false,\"as_of_ms\":1}");
  struct eg_servers *servers = eg_servers_new ();
  uint32_t server =
      eg_servers_add (servers, EG_STR ("10.0.0.1:80"), EG_STR ("a"));
  struct eg_server_report row = {0};
  struct eg_error error;

  (void) state;
  assert_int_equal (eg_engine_read_load (body, 1, 1, &row, &error), EG_OK);
  assert_true (eg_servers_report (servers, server, &row, 1));
  assert_false (eg_servers_usable (servers, server, 1));
  assert_int_equal (eg_servers_get (servers, server)->block_reasons,
                    EG_SERVER_UNLOADED);
  eg_servers_free (servers);
}

static size_t
count_orders (const char *address)
{
  json_t *orders = path_orders (address);
  size_t count = json_array_size (orders);

  json_decref (orders);
  return count;
}

static void
test_rule_is_executed (void **state)
{
  struct eg_ruleset_result result;
  const struct eg_ruleset_edit edit = {
      .who = "Nok",
      .text = EG_STR ("capacity service=llm model=m version=9 layers=1-16 "
                      "count=1 failure-domain=a # Nok: a test\n"),
      .timeout_us = 10 * EG_US_PER_S,
  };
  size_t before = count_orders (CHECKING) + count_orders (NOT_CHECKING);
  size_t other_domain = count_orders (OTHER_DOMAIN);
  size_t after = before;

  (void) state;
  assert_int_equal (
      eg_decision_edit_rules (fixture.node.decision, &edit, &result), EG_OK);
  assert_int_equal (result.action, EG_RULE_EDIT_ACCEPTED);
  for (int i = 0; i < WAIT_STEPS && after == before; i++)
    {
      wait_step ();
      after = count_orders (CHECKING) + count_orders (NOT_CHECKING);
    }
  assert_int_equal (after, before + 1);
  assert_int_equal (count_orders (OTHER_DOMAIN), other_domain);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_checking_engine_refuses_former_holder),
      cmocka_unit_test (test_order_of_former_holder_is_corrected),
      cmocka_unit_test (test_no_order_without_confirmed_lease),
      cmocka_unit_test (test_report_of_empty_engine),
      cmocka_unit_test (test_rule_is_executed),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
