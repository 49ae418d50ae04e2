/* The decision threads of two daemons with the bus enabled: they discover each
   other through the platform's list, share the polls of backend servers, and
   notice when one leaves or dies. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <zmq.h>

#include "router/decision.h"
#include "standin/host.h"
#include "test/port_lock.h"

#define WAIT_STEP_NS 20000000
#define WAIT_STEPS 1000
#define NODES 2

#define VM(port, kind, service)                                                \
  "{\"address\":\"127.0.0.1:" port                                             \
  "\",\"failure_domain\":\"a\",\"kind\":\"" kind "\",\"service\":\"" service   \
  "\",\"state\":\"live\"}"

static const char standins_text[] =
    "{\"admin\":\"127.0.0.1:9200\",\"platform\":{\"listen\":\"127.0.0.1:9209\","
    "\"latency_ms\":0,\"vms\":[" VM ("9201", "entry", "") "," VM (
        "9202",
        "entry",
        "") "," VM ("9211", "backend", "app") "]},"
                                              "\"engines\":[],\"services\":[{"
                                              "\"listen\":\"127.0.0.1:9211\","
                                              "\"service\":\"app\",\"latency_"
                                              "ms\":1,\"slots\":8}]}";

struct fixture
{
  struct eg_host *host;
  struct eg_router_settings settings[NODES];
  struct eg_decision *nodes[NODES];
};

static void
load_text (const char *text, char *path)
{
  int fd = mkstemp (path);

  assert_true (fd >= 0);
  assert_int_equal (write (fd, text, strlen (text)), strlen (text));
  close (fd);
}

static void
start_node (struct fixture *fixture, int index, const char *keys)
{
  char path[] = "/tmp/eg_gossip_XXXXXX";
  struct eg_error error = {0};
  char text[1024];

  snprintf (text, sizeof text,
            "node.name = \"n%d\"\nnode.failure_domain = \"a\"\n"
            "listen.callers = \"127.0.0.1:%d\"\n"
            "listen.operators = \"127.0.0.1:%d\"\n"
            "platform.address = \"127.0.0.1:9209\"\n"
            "platform.vms_interval_ms = 100\n"
            "backend.poll_interval_ms = 100\n"
            "bus.listen = \"127.0.0.1:%d\"\nbus.port_offset = 20\n%s",
            index, 9201 + index, 9231 + index, 9221 + index, keys);
  load_text (text, path);
  assert_int_equal (eg_settings_load (&eg_router_setting_table, path,
                                      &fixture->settings[index], &error),
                    EG_OK);
  unlink (path);
  fixture->nodes[index] = eg_decision_new (&fixture->settings[index], &error);
  if (!fixture->nodes[index])
    fprintf (stderr, "%s\n", error.message);
  assert_non_null (fixture->nodes[index]);
}

static int
set_up (void **state)
{
  struct fixture *fixture = calloc (1, sizeof *fixture);
  char path[] = "/tmp/eg_gossip_XXXXXX";
  char public_key[EG_BUS_KEY_BYTES];
  char secret_key[EG_BUS_KEY_BYTES];
  char keys[256];
  struct eg_config config;
  struct eg_error error = {0};

  load_text (standins_text, path);
  if (eg_config_load (&config, path, &error) != EG_OK)
    fprintf (stderr, "%s\n", error.message);
  unlink (path);
  fixture->host = eg_host_new (config, &error);
  if (!fixture->host)
    fprintf (stderr, "%s\n", error.message);
  assert_non_null (fixture->host);
  zmq_curve_keypair (public_key, secret_key);
  /* Z85 has no quotes and no backslashes, so the strings need no escapes. */
  snprintf (keys, sizeof keys,
            "bus.public_key = \"%s\"\nbus.secret_key = \"%s\"\n", public_key,
            secret_key);
  for (int i = 0; i < NODES; i++)
    start_node (fixture, i, keys);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *fixture = *state;

  for (int i = 0; i < NODES; i++)
    eg_decision_free (fixture->nodes[i]);
  eg_host_free (fixture->host);
  free (fixture);
  return 0;
}

static void
write_metrics (void *context, const struct eg_decision_view *view)
{
  eg_gossip_write_metrics (view->gossip, context);
}

/* Waits until the metrics of a node contain a line, or no longer do. */
static bool
wait_for_metric (struct eg_decision *node, const char *line, bool present)
{
  const struct timespec pause = {.tv_nsec = WAIT_STEP_NS};
  bool found = false;

  for (int i = 0; i < WAIT_STEPS && !found; i++)
    {
      struct eg_buffer text = {0};

      nanosleep (&pause, NULL);
      if (eg_decision_query (node, write_metrics, &text))
        found = (strstr (eg_buffer_text (&text), line) != NULL) == present;
      eg_buffer_finish (&text);
    }
  return found;
}

static bool
wait_for_line (struct eg_decision *node, const char *line)
{
  return wait_for_metric (node, line, true);
}

static void
read_server (void *context, const struct eg_decision_view *view)
{
  struct eg_server *server = context;
  uint32_t index = eg_servers_find (view->servers, EG_STR ("127.0.0.1:9211"));

  if (index != EG_SERVER_NONE)
    *server = *eg_servers_get (view->servers, index);
}

static bool
wait_for_report (struct eg_decision *node)
{
  const struct timespec pause = {.tv_nsec = WAIT_STEP_NS};
  struct eg_server server = {0};

  for (int i = 0; i < WAIT_STEPS && !server.reported; i++)
    {
      nanosleep (&pause, NULL);
      eg_decision_query (node, read_server, &server);
    }
  return server.reported;
}

static void
test_daemons_discover_each_other_and_departures (void **state)
{
  struct fixture *fixture = *state;

  for (int i = 0; i < NODES; i++)
    {
      assert_true (
          wait_for_line (fixture->nodes[i], "\neelgrass_members_live 2\n"));
      assert_true (wait_for_metric (
          fixture->nodes[i], "\neelgrass_bus_received_total 0\n", false));
      assert_true (wait_for_report (fixture->nodes[i]));
    }
  eg_decision_stop (fixture->nodes[0]);
  assert_true (
      wait_for_line (fixture->nodes[1], "\neelgrass_members_live 1\n"));
  assert_true (
      wait_for_line (fixture->nodes[1], "\neelgrass_members_dead 0\n"));
}

static void
test_death_is_detected (void **state)
{
  struct fixture *fixture = *state;

  assert_true (
      wait_for_line (fixture->nodes[1], "\neelgrass_members_live 2\n"));
  assert_true (
      wait_for_line (fixture->nodes[0], "\neelgrass_members_live 2\n"));
  assert_true (wait_for_metric (fixture->nodes[1],
                                "\neelgrass_bus_received_total 0\n", false));
  /* No planned stop first, as if the process were killed. */
  eg_decision_free (fixture->nodes[0]);
  fixture->nodes[0] = NULL;
  assert_true (
      wait_for_line (fixture->nodes[1], "\neelgrass_members_dead 1\n"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown (
          test_daemons_discover_each_other_and_departures, set_up, tear_down),
      cmocka_unit_test_setup_teardown (test_death_is_detected, set_up,
                                       tear_down),
  };
  int result;

  port_lock ("gossip");
  curl_global_init (CURL_GLOBAL_DEFAULT);
  result = cmocka_run_group_tests (tests, NULL, NULL);
  curl_global_cleanup ();
  return result;
}
