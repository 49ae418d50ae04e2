/* Gossip between two entry VMs over the bus: quarantines, draining servers,
   loads and shares of limits. The test acts as the decision threads. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/clock.h"
#include "base/ring.h"
#include "router/defaults.h"
#include "router/gossip.h"
#include "test/port_lock.h"

#define NODES 2
#define SERVER "127.0.0.1:9311"
#define WAIT_US (20 * EG_US_PER_S)
#define PUMP_US (10 * EG_US_PER_MS)
#define FINGERPRINT 42

struct node
{
  struct eg_router_settings settings;
  struct eg_fleet fleet;
  struct eg_lifecycle *lifecycle;
  struct eg_gossip *gossip;
  struct eg_ring ring;
  uint64_t rules_announced;
};

struct fixture
{
  struct node nodes[NODES];
  uint32_t server[NODES];
};

static void
on_push (void *context, struct eg_peer_message *message)
{
  struct node *node = context;

  if (!eg_ring_push (&node->ring, message))
    free (message);
}

static void
on_servers_changed (void *context)
{
  (void) context;
}

static void
on_rules_announced (void *context, uint64_t from, uint64_t version)
{
  struct node *node = context;

  (void) from;
  node->rules_announced = version;
}

static void
fill_settings (struct eg_router_settings *settings, int index)
{
  snprintf (settings->name, sizeof settings->name, "n%d", index);
  strcpy (settings->failure_domain, "a");
  snprintf (settings->listen_callers, EG_ADDRESS_BYTES, "127.0.0.1:%d",
            9301 + index);
  snprintf (settings->bus_listen, EG_ADDRESS_BYTES, "127.0.0.1:%d",
            9321 + index);
  settings->bus_port_offset = 20;
  settings->queue_max = 10;
  settings->requests_max = 10;
  settings->organisation_queue_max = 10;
  settings->poll_interval_ms = 100;
  settings->deadline_ms = 1000;
  settings->default_slots = 1;
}

static void
take_list (struct node *node)
{
  static const char text[] =
      "[{\"address\":\"127.0.0.1:9301\",\"failure_domain\":\"a\",\"kind\":"
      "\"entry\",\"service\":\"\",\"state\":\"live\"},"
      "{\"address\":\"127.0.0.1:9302\",\"failure_domain\":\"a\",\"kind\":"
      "\"entry\",\"service\":\"\",\"state\":\"live\"},"
      "{\"address\":\"" SERVER "\",\"failure_domain\":\"a\",\"kind\":"
      "\"backend\",\"service\":\"app\",\"state\":\"live\"}]";
  struct eg_vm_list list;
  struct eg_error error;

  assert_int_equal (eg_vm_list_init (&list, eg_str_from (text), &error), EG_OK);
  eg_fleet_apply_vm_list (&node->fleet, &list);
  eg_gossip_vm_list_changed (node->gossip);
}

/* One VM that could not be read made the whole list unreadable. */
static void
test_unreadable_vm_leaves_the_others (void **state)
{
#define VM(address, kind)                                                      \
  "{\"address\":\"" address "\",\"failure_domain\":\"a\",\"kind\":" kind       \
  ",\"state\":\"live\"}"
  static const char text[] = "[" VM ("127.0.0.1:1", "\"entry\"") "," VM (
      "127.0.0.1:2",
      "\"other\"") "," VM ("127.0.0.1:3",
                           "1e400") ","
                                    "{\"address\":\"127.0.0.1:4\",\"state\":"
                                    "\"li," VM ("127.0.0.1:5",
                                                "\"backend\"") "]";
  struct eg_vm_list list;
  struct eg_error error;

  (void) state;
  assert_int_equal (eg_vm_list_init (&list, EG_STR (text), &error), EG_OK);
  assert_int_equal (list.count, 2);
  assert_string_equal (list.vms[0].address, "127.0.0.1:1");
  assert_string_equal (list.vms[1].address, "127.0.0.1:5");
  eg_vm_list_finish (&list);
  assert_int_equal (eg_vm_list_init (&list, EG_STR ("{}"), &error), EG_INVALID);
  assert_int_equal (eg_vm_list_init (&list, EG_STR ("[{}"), &error),
                    EG_INVALID);
}

static void
start_node (struct node *node)
{
  struct eg_lifecycle_config config;
  struct eg_gossip_deps deps = {
      .settings = &node->settings,
      .fleet = &node->fleet,
      .push = on_push,
      .servers_changed = on_servers_changed,
      .rules_announced = on_rules_announced,
      .context = node,
  };
  struct eg_error error = {0};

  assert_true (eg_ring_init (&node->ring, 256));
  assert_true (eg_fleet_init (&node->fleet, PUMP_US));
  eg_defaults_lifecycle (&node->settings, &config);
  node->lifecycle = eg_lifecycle_new (&config, node->fleet.servers, 1);
  deps.lifecycle = node->lifecycle;
  node->gossip = eg_gossip_new (&deps, &error);
  assert_non_null (node->gossip);
  take_list (node);
}

static int
set_up (void **state)
{
  struct fixture *fixture = calloc (1, sizeof *fixture);
  char public_key[EG_BUS_KEY_BYTES];
  char secret_key[EG_BUS_KEY_BYTES];

  zmq_curve_keypair (public_key, secret_key);
  for (int i = 0; i < NODES; i++)
    {
      struct node *node = &fixture->nodes[i];

      fill_settings (&node->settings, i);
      memcpy (node->settings.bus_public_key, public_key, EG_BUS_KEY_BYTES);
      memcpy (node->settings.bus_secret_key, secret_key, EG_BUS_KEY_BYTES);
      start_node (node);
      fixture->server[i] =
          eg_servers_find (node->fleet.servers, EG_STR (SERVER));
    }
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *fixture = *state;

  for (int i = 0; i < NODES; i++)
    {
      struct node *node = &fixture->nodes[i];
      void *message;

      eg_gossip_free (node->gossip);
      while ((message = eg_ring_pop (&node->ring)))
        free (message);
      eg_ring_finish (&node->ring);
      eg_lifecycle_free (node->lifecycle);
      eg_fleet_finish (&node->fleet);
    }
  free (fixture);
  return 0;
}

/* Runs both nodes until a condition holds; false after a timeout. */
static bool
pump_until (struct fixture *fixture,
            bool (*holds) (const struct fixture *fixture))
{
  int64_t until_us = eg_clock_now_us () + WAIT_US;

  while (!holds (fixture))
    {
      if (eg_clock_now_us () > until_us)
        return false;
      for (int i = 0; i < NODES; i++)
        {
          struct node *node = &fixture->nodes[i];
          struct eg_peer_message *message;

          eg_ring_wait (&node->ring, PUMP_US);
          while ((message = eg_ring_pop (&node->ring)))
            eg_gossip_receive (node->gossip, message);
          eg_gossip_tick (node->gossip, eg_clock_now_us ());
        }
    }
  return true;
}

static bool
is_quarantined_at_other (const struct fixture *fixture)
{
  int64_t left_us = 0;

  return eg_quarantine_is_active (
             eg_lifecycle_quarantine (fixture->nodes[1].lifecycle), FINGERPRINT,
             eg_clock_now_us (), &left_us)
         && left_us <= 60 * EG_US_PER_S && left_us > 30 * EG_US_PER_S;
}

static void
test_quarantine_is_broadcast (void **state)
{
  struct fixture *fixture = *state;

  eg_gossip_announce_quarantine (fixture->nodes[0].gossip, FINGERPRINT,
                                 eg_clock_now_us () + 60 * EG_US_PER_S);
  assert_true (pump_until (fixture, is_quarantined_at_other));
}

static const struct eg_server *
server_at (const struct fixture *fixture, int node)
{
  return eg_servers_get (fixture->nodes[node].fleet.servers,
                         fixture->server[node]);
}

static bool
is_leaving_at_other (const struct fixture *fixture)
{
  return server_at (fixture, 1)->block_reasons & EG_SERVER_LEAVING_ANSWER;
}

static void
test_refusing_server_is_broadcast (void **state)
{
  struct fixture *fixture = *state;

  assert_false (is_leaving_at_other (fixture));
  eg_fleet_server_refused (&fixture->nodes[0].fleet, EG_STR (SERVER));
  assert_true (pump_until (fixture, is_leaving_at_other));
}

/* Ends a poll on each node, as if each had polled the server; only the owner
   shares its result. */
static void
end_polls (struct fixture *fixture, uint32_t running_at_first)
{
  for (int i = 0; i < NODES; i++)
    {
      struct eg_backend_event event = {
          .kind = EG_BACKEND_LOAD,
          .address = SERVER,
          .report = {.service = "app",
                     .running = running_at_first + (uint32_t) i,
                     .slots = 100,
                     .as_of_us = eg_clock_now_us ()},
      };
      struct node *node = &fixture->nodes[i];
      struct eg_backend_command *poll = eg_poller_next (
          &node->fleet.poller, node->fleet.servers, eg_clock_now_us ());

      assert_non_null (poll);
      eg_backend_command_free (poll);
      eg_fleet_poll_done (&node->fleet, &event, eg_clock_now_us ());
    }
}

static bool
loads_agree (const struct fixture *fixture)
{
  return server_at (fixture, 0)->report.running
         == server_at (fixture, 1)->report.running;
}

static void
test_load_of_the_owner_is_shared (void **state)
{
  struct fixture *fixture = *state;

  end_polls (fixture, 7);
  assert_false (loads_agree (fixture));
  assert_true (pump_until (fixture, loads_agree));
}

static bool
has_announced_rules (const struct fixture *fixture)
{
  return fixture->nodes[1].rules_announced == 9;
}

/* Returns the number of requests that a node admits in a burst. */
static unsigned
admitted_at_once (struct node *node)
{
  struct eg_limits *limits = eg_lifecycle_limits (node->lifecycle);
  unsigned admitted = 0;
  int64_t retry_us;
  int64_t now_us = eg_clock_now_us ();

  while (admitted < 1000
         && eg_limits_acquire (limits, EG_STR ("temple"), now_us, &retry_us)
                == EG_REFUSAL_NONE)
    admitted++;
  return admitted;
}

static void
test_limits_are_shared_and_rules_announced (void **state)
{
  struct fixture *fixture = *state;
  struct eg_rules rules;

  assert_int_equal (
      eg_rules_init (&rules, EG_STR ("limit organisation=temple rate=100/s "
                                     "burst=100 # Anan: fair parts\n")),
      EG_OK);
  eg_gossip_apply_rules (fixture->nodes[0].gossip, &rules, 9);
  assert_int_equal (admitted_at_once (&fixture->nodes[0]), 50);
  assert_true (pump_until (fixture, has_announced_rules));
  eg_rules_finish (&rules);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_unreadable_vm_leaves_the_others),
      cmocka_unit_test_setup_teardown (test_quarantine_is_broadcast, set_up,
                                       tear_down),
      cmocka_unit_test_setup_teardown (test_refusing_server_is_broadcast,
                                       set_up, tear_down),
      cmocka_unit_test_setup_teardown (test_load_of_the_owner_is_shared, set_up,
                                       tear_down),
      cmocka_unit_test_setup_teardown (
          test_limits_are_shared_and_rules_announced, set_up, tear_down),
  };

  port_lock ("gossip-parts");
  return cmocka_run_group_tests (tests, NULL, NULL);
}
