/* Tests of configurations with unusual content, as the store accepts them. */
#include <arpa/inet.h>
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "test/streams_fixture.h"

/* Time in which a change in the store is in force. */
#define APPLY_MS 2000
/* Longest age of keys that the fixture's VMs use, with some time to spare. */
#define REVOKE_MS 6000
#define LONG_NAME_BYTES 3000
/* More than the former maximum of 8 targets of a route and 8 accelerators. */
#define MANY 200
/* As many routes as fill most of an object of the store, what callers leave of
 * a narrow link, and the time in which such routes have to be in force. */
#define ROUTES_MAX 4000
#define NARROW_LINK_BYTES_PER_MS 600
#define LARGE_APPLY_MS 3000

static struct streams_fixture fixture;

static const struct streams_request keyed = {.plain = true,
                                             .body = "body",
                                             .path = "/keyed/x"};

/* Starts VMs of one failure domain; the second one reads from the first. */
static int
start_vms (void **state, unsigned vms)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = 1,
                                          .plain = 2,
                                          .vms = vms,
                                          .one_domain = true};

  streams_fixture_init (&fixture, &options);
  *state = &fixture;
  return 0;
}

static int
start (void **state)
{
  return start_vms (state, 1);
}

static int
start_two_vms (void **state)
{
  return start_vms (state, 2);
}

static int
stop (void **state)
{
  streams_fixture_finish (*state);
  return 0;
}

static const char *
long_name (void)
{
  static char name[LONG_NAME_BYTES + 1];

  memset (name, 'n', LONG_NAME_BYTES);
  return name;
}

static json_t *
find_route (json_t *spec, const char *prefix)
{
  json_t *routes = json_object_get (spec, "routes");
  json_t *route;
  size_t index;

  json_array_foreach (routes, index, route)
  {
    const char *text =
        json_string_value (json_object_get (route, "pathPrefix"));

    if (strcmp (text, prefix) == 0)
      return route;
  }
  fail_msg ("no route for %s", prefix);
  return NULL;
}

/* Sends the requests of a route to a service with a long name, as the last of
 * many targets. */
static void
split_route (json_t *route)
{
  json_t *split = json_array ();

  for (int i = 0; i < MANY; i++)
    json_array_append_new (
        split, json_pack ("{s:s, s:i}", "service", "model", "weight", 0));
  json_array_append_new (
      split, json_pack ("{s:s, s:i}", "service", long_name (), "weight", 1));
  json_object_del (route, "service");
  json_object_set_new (route, "trafficSplit", split);
  json_object_set_new (route, "name", json_string (long_name ()));
}

static json_t *
pack_long_configuration (const struct streams_fixture *self, int version)
{
  json_t *spec = streams_pack_configuration (self, version);
  json_t *services = json_object_get (spec, "services");
  json_t *kinds = json_object_get (
      json_object_get (json_array_get (services, 0), "engine"), "kinds");
  json_t *tenants = json_object_get (spec, "tenants");

  for (int i = 0; i < MANY; i++)
    json_array_insert_new (
        kinds, 0,
        json_pack ("{s:s, s:i}", "name", long_name (), "sizeMb", 1000));
  json_array_append_new (
      services, json_pack ("{s:s, s:s, s:i}", "name", long_name (),
                           "healthPath", "/healthz", "maxConnections", 1000));
  split_route (find_route (spec, "/plain/"));
  json_array_append_new (tenants, json_pack ("{s:s, s:[s]}", "name",
                                             long_name (), "apiKeys", "other"));
  json_array_clear (json_object_get (json_array_get (tenants, 0), "apiKeys"));
  return spec;
}

/* Moves a plain server to the service with the long name. */
static void
move_server (struct streams_fixture *self)
{
  struct streams_engine *server = &self->engines[STREAMS_ENGINES];
  char address[32];

  soak_format_address (server->server.endpoint, address, sizeof address);
  soak_store_put (&self->store, "servers", server->id,
                  json_pack ("{s:s, s:s, s:s, s:i, s:s, s:i, s:I}", "service",
                             long_name (), "address", address, "zone", "room",
                             "slots", 64, "state", "ready", "sequence", 1,
                             "born", server->start_ms));
}

/* A name of 64 bytes or a ninth target made VMs keep the old configuration and
 * its keys indefinitely. */
static void
test_configuration_with_long_names_is_in_force (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request plain = {.plain = true, .body = "body"};

  assert_int_equal (streams_client_request (self, 0, &keyed), 200);
  soak_store_put (&self->store, "config", "main",
                  pack_long_configuration (self, 2));
  move_server (self);
  streams_run (self, APPLY_MS);
  assert_int_equal (streams_client_request (self, 0, &keyed), 401);
  assert_int_equal (streams_client_request (self, 0, &plain), 200);
  streams_client_start (self, 0);
  while (!streams_client_has_ended (self, 0))
    streams_run (self, 100);
  assert_true (self->clients[0].done);
}

/* Reads of a configuration that could not be applied renewed the age of the old
 * one's keys, so that a key taken away was accepted indefinitely. */
static void
test_keys_are_outdated_by_a_configuration_that_cannot_be_applied (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request public = {.plain = true, .body = "body"};
  json_t *spec = streams_pack_configuration (self, 2);

  json_object_set_new (find_route (spec, "/plain/"), "host", json_integer (7));
  soak_store_put (&self->store, "config", "main", spec);
  streams_run (self, REVOKE_MS);
  assert_int_equal (streams_client_request (self, 0, &keyed), 503);
  assert_int_equal (streams_client_request (self, 0, &public), 200);
  assert_true (streams_count_log (self, 0,
                                  "routes[1]: host: expected a string without "
                                  "U+0000, found 7")
               > 0);
  streams_publish_configuration (self, 3);
  streams_run (self, APPLY_MS);
  assert_int_equal (streams_client_request (self, 0, &keyed), 200);
}

/* Adds a member that no part of the daemon reads to some objects. */
static void
add_unread_members (json_t *spec)
{
  static const char *const tables[] = {"routes", "services", "tenants"};

  json_object_set_new (spec, "unread", json_string ("undecodable"));
  json_object_set_new (json_object_get (spec, "limits"), "unread",
                       json_pack ("[s]", "undecodable"));
  for (size_t i = 0; i < sizeof tables / sizeof tables[0]; i++)
    json_object_set_new (json_array_get (json_object_get (spec, tables[i]), 0),
                         "unread", json_pack ("{s:s}", "in", "undecodable"));
}

/* Publishes a configuration with such members, in which @p key is the only key;
 * they hold @p value on the wire. Each VM has to answer as it says in time. */
static void
check_unread (struct streams_fixture *self,
              int version,
              const char *key,
              const char *value,
              unsigned status)
{
  json_t *spec;

  self->key = key;
  spec = streams_pack_configuration (self, version);
  add_unread_members (spec);
  self->store.undecodable = value;
  soak_store_put (&self->store, "config", "main", spec);
  streams_run (self, APPLY_MS);
  for (unsigned vm = 0; vm < 2; vm++)
    {
      struct streams_request request = keyed;

      request.vm = vm;
      assert_int_equal (streams_client_request (self, 0, &request), status);
    }
}

/* One value that cannot be decoded, in a member that nothing reads, made the
 * whole configuration unusable: requests with any key were refused. */
static void
test_unread_value_does_not_affect_the_configuration (void **state)
{
  static const char *const values[] = {"18446744073709551615", "-1e400",
                                       "\"\\u0000\"", "\"\xff\""};
  struct streams_fixture *self = *state;
  int version = 2;

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      check_unread (self, version++, "other", values[i], 401);
      check_unread (self, version++, "key", values[i], 200);
    }
  assert_true (streams_count_log (self, 0, "event=values-undecodable") > 0);
}

/* A fraction, or a number above the daemon's range, made the whole
 * configuration unusable: requests with any key were refused. */
static void
test_fractions_and_large_numbers_do_not_affect_keys (void **state)
{
  struct streams_fixture *self = *state;
  json_t *spec = streams_pack_configuration (self, 2);
  json_t *route = find_route (spec, "/keyed/");

  json_object_set_new (route, "timeoutMs", json_real (1000.5));
  json_object_set_new (route, "priority", json_integer (1001));
  json_object_set_new (json_object_get (spec, "limits"), "maxBodyBytes",
                       json_integer (INT64_C (1) << 40));
  soak_store_put (&self->store, "config", "main", spec);
  streams_run (self, REVOKE_MS);
  assert_int_equal (streams_client_request (self, 0, &keyed), 200);
  assert_int_equal (
      streams_count_log (self, 0, "event=configuration-defect version=2"), 2);
}

static json_t *
first_of (json_t *spec, const char *table)
{
  return json_array_get (json_object_get (spec, table), 0);
}

static void
break_route (json_t *spec)
{
  json_object_set_new (find_route (spec, "/plain/"), "kind",
                       json_string ("polling"));
}

static void
break_service (json_t *spec)
{
  json_object_set_new (first_of (spec, "services"), "engine",
                       json_pack ("{s:i}", "layers", 1000));
}

static void
break_organisation (json_t *spec)
{
  json_object_set_new (first_of (spec, "tenants"), "name", json_integer (7));
}

static void
break_keys (json_t *spec)
{
  json_object_set_new (first_of (spec, "tenants"), "apiKeys",
                       json_string ("key"));
}

static void
break_nothing (json_t *spec)
{
  (void) spec;
}

/* One invalid route, service or organisation made the whole configuration
 * unusable: requests with any key were refused, and new routes unknown. */
static void
test_invalid_elements_leave_the_rest_in_force (void **state)
{
  static const struct
  {
    void (*damage) (json_t *spec);
    unsigned defects; /* Reported; a service's and that of its route. */
    unsigned plain;
    unsigned keyed;
    unsigned stream;
  } cases[] = {
      {break_route, 1, 503, 200, 200},        {break_service, 2, 200, 200, 503},
      {break_organisation, 1, 200, 503, 200}, {break_keys, 1, 200, 503, 200},
      {break_nothing, 0, 200, 200, 200},
  };
  struct streams_fixture *self = *state;
  struct streams_request plain = {.plain = true, .body = "body"};
  struct streams_request added = plain;
  struct streams_request stream = {.vm = 0};
  unsigned defects = 0;

  for (unsigned i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int version = 2 + (int) i;
      json_t *spec = streams_pack_configuration (self, version);
      char path[32];

      cases[i].damage (spec);
      defects += cases[i].defects;
      soak_store_put (&self->store, "config", "main", spec);
      streams_run (self, APPLY_MS);
      snprintf (path, sizeof path, "/v%d/x", version);
      added.path = path;
      assert_int_equal (streams_client_request (self, 0, &added), 200);
      assert_int_equal (streams_client_request (self, 0, &plain),
                        cases[i].plain);
      assert_int_equal (streams_client_request (self, 0, &keyed),
                        cases[i].keyed);
      assert_int_equal (streams_client_request (self, 0, &stream),
                        cases[i].stream);
      assert_int_equal (
          streams_count_log (self, 0, "event=configuration-defect"), defects);
    }
}

/* Guards against the use of strings of a configuration that was replaced while
 * a request that needs them is active. */
static void
test_stream_outlasts_the_configuration_that_it_began_with (void **state)
{
  struct streams_fixture *self = *state;

  streams_client_start (self, 0);
  for (int version = 2; !streams_client_has_ended (self, 0); version++)
    {
      streams_publish_configuration (self, version);
      streams_run (self, 200);
    }
  assert_true (self->clients[0].done);
  assert_int_equal (
      streams_count_log (
          self, 0, "route=stream service=model organisation= outcome=answered"),
      1);
}

/* Sends a message to the first VM from an address that its list lacks. */
static void
send_as_stranger (struct streams_fixture *self, const char *text)
{
  struct sockaddr_in to = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                           .sin_port = htons (self->vms[0].peers_port)};
  int stranger = socket (AF_INET, SOCK_DGRAM, 0);

  assert_true (stranger >= 0);
  assert_true (sendto (stranger, text, strlen (text), 0,
                       (struct sockaddr *) &to, sizeof to)
               > 0);
  close (stranger);
}

/* A daemon of another system that had the address of a former VM was heard:
 * here it says that the servers leave. */
static void
test_messages_of_strangers_are_dropped (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request plain = {.plain = true, .body = "body"};
  char text[256];

  streams_run (self, APPLY_MS);
  snprintf (text, sizeof text,
            "{\"kind\":\"alert\",\"leaving\":[[\"%s\",%" PRId64
            "],[\"%s\",%" PRId64 "]]}",
            self->engines[STREAMS_ENGINES].id,
            self->engines[STREAMS_ENGINES].start_ms,
            self->engines[STREAMS_ENGINES + 1].id,
            self->engines[STREAMS_ENGINES + 1].start_ms);
  send_as_stranger (self, text);
  streams_run (self, 300);
  assert_int_equal (streams_client_request (self, 0, &plain), 200);
  assert_int_equal (streams_count_log (self, 0, "event=message-foreign"), 1);
}

/* A VM that met a daemon of another system at the address of a known VM asked
 * it for its version, was answered, and took that daemon's configuration. */
static void
test_questions_of_strangers_are_not_answered (void **state)
{
  const char *question = "{\"kind\":\"version\",\"version\":0,\"asks\":true,"
                         "\"confirmed\":false}";
  struct streams_fixture *self = *state;
  struct sockaddr_in to = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                           .sin_port = htons (self->vms[0].peers_port)};
  int stranger = socket (AF_INET, SOCK_DGRAM, 0);
  char answer[512];

  streams_run (self, APPLY_MS);
  assert_int_equal (sendto (stranger, question, strlen (question), 0,
                            (struct sockaddr *) &to, sizeof to),
                    strlen (question));
  streams_run (self, 500);
  assert_int_equal (recv (stranger, answer, sizeof answer, MSG_DONTWAIT), -1);
  close (stranger);
}

/* Asks the first VM for its configuration as the VM with an address, or as an
 * old build, which names none; returns the status. */
static unsigned
fetch_configuration (const struct streams_fixture *self, const char *address)
{
  struct sockaddr_in to = {.sin_family = AF_INET,
                           .sin_port = htons (self->vms[0].peers_port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char text[4096];
  unsigned status = 0;
  ssize_t len;

  assert_int_equal (connect (fd, (struct sockaddr *) &to, sizeof to), 0);
  snprintf (text, sizeof text,
            "GET /eelgrasswood/objects/config/main HTTP/1.1\r\n"
            "Host: store\r\n%s%s%s\r\n",
            address ? "Eelgrasswood-Vm: " : "", address ? address : "",
            address ? "\r\n" : "");
  assert_int_equal (send (fd, text, strlen (text), 0), strlen (text));
  len = recv (fd, text, sizeof text - 1, 0);
  assert_true (len > 0);
  text[len] = '\0';
  assert_int_equal (sscanf (text, "HTTP/1.1 %u", &status), 1);
  close (fd);
  return status;
}

static void
test_configuration_is_fetched_by_members_only (void **state)
{
  struct streams_fixture *self = *state;
  char member[32];

  streams_run (self, APPLY_MS);
  snprintf (member, sizeof member, "127.0.0.1:%u", self->vms[0].peers_port);
  assert_int_equal (fetch_configuration (self, member), 200);
  assert_int_equal (fetch_configuration (self, NULL), 200);
  assert_int_equal (fetch_configuration (self, "127.0.0.1:9"), 503);
  assert_int_equal (fetch_configuration (self, "nowhere"), 503);
}

/* Adds routes with names and prefixes as operators' programs make them. */
static void
add_routes (struct streams_fixture *self, json_t *spec, unsigned count)
{
  json_t *routes = json_object_get (spec, "routes");
  json_t *pattern = find_route (spec, "/plain/");

  for (unsigned i = 0; i < count; i++)
    {
      json_t *route = json_deep_copy (pattern);
      char text[32];

      snprintf (text, sizeof text, "/%08" PRIx64 "/",
                eg_random_below (&self->random, UINT32_MAX));
      json_object_set_new (route, "pathPrefix", json_string (text));
      json_object_set_new (route, "goalLatencyMs", json_integer (500));
      json_object_set_new (route, "priority", json_integer (1));
      json_object_set_new (route, "sticky", json_true ());
      json_object_set_new (route, "gapGoalMs", json_integer (250));
      json_array_append_new (routes, route);
    }
}

/* A configuration that takes a narrow link longer than a call may last did not
 * come into force: each attempt began anew. */
static void
test_large_configuration_over_a_narrow_link_is_in_force (void **state)
{
  struct streams_fixture *self = *state;
  json_t *spec = streams_pack_configuration (self, 2);
  struct streams_request added = {
      .plain = true, .body = "body", .path = "/v2/x"};

  add_routes (self, spec, ROUTES_MAX);
  self->store.server.bytes_per_ms = NARROW_LINK_BYTES_PER_MS;
  soak_store_put (&self->store, "config", "main", spec);
  streams_run (self, LARGE_APPLY_MS);
  assert_int_equal (streams_client_request (self, 0, &added), 200);
}

#define CONFIGURATION_TEST(name)                                               \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      CONFIGURATION_TEST (configuration_with_long_names_is_in_force),
      CONFIGURATION_TEST (
          keys_are_outdated_by_a_configuration_that_cannot_be_applied),
      cmocka_unit_test_setup_teardown (
          test_unread_value_does_not_affect_the_configuration, start_two_vms,
          stop),
      CONFIGURATION_TEST (large_configuration_over_a_narrow_link_is_in_force),
      CONFIGURATION_TEST (fractions_and_large_numbers_do_not_affect_keys),
      CONFIGURATION_TEST (invalid_elements_leave_the_rest_in_force),
      CONFIGURATION_TEST (messages_of_strangers_are_dropped),
      CONFIGURATION_TEST (questions_of_strangers_are_not_answered),
      CONFIGURATION_TEST (configuration_is_fetched_by_members_only),
      CONFIGURATION_TEST (stream_outlasts_the_configuration_that_it_began_with),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
