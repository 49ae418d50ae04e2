/* Tests of explanations without a network: the query, the decision on a VM that
 * is set up in memory, and what eelgrass-explain writes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/log.h"
#include "ctl/explain.h"
#include "entry/entry.h"
#include "entry/explain.h"
#include "platform/configuration.h"

#define LAYERS 8
/* More servers than an answer lists. */
#define MANY 300
/* An answer about many servers, each with the longest id. */
#define ANSWER_BYTES_MAX 65536

static struct eg_entry_settings settings = {.name = "vm-1",
                                            .domain = "east",
                                            .listen_peers = "127.0.0.1:1",
                                            .first_start = true,
                                            .revocation_ms = 5000,
                                            .retry_window_ms = 10000,
                                            .shedding_mode = "on",
                                            .shedding_requests = 32};
static struct eg_entry entry;

static void
on_reported (void *context,
             struct eg_backend *backend,
             const struct eg_engine_report *report)
{
  (void) context;
  (void) backend;
  (void) report;
}

static void
on_availability_changed (void *context)
{
  (void) context;
}

static json_t *
pack_route (const char *name,
            const char *prefix,
            const char *kind,
            const char *service,
            bool is_public)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b}",
                    "name", name, "host", "a.example", "pathPrefix", prefix,
                    "kind", kind, "timeoutMs", 20000, "goalLatencyMs", 500,
                    "priority", 1, "service", service, "maxAttempts", 2,
                    "public", is_public, "resumable", 1);
}

static void
set_configuration (void)
{
  json_t *engine = json_pack (
      "{s:i, s:i, s:i, s:i, s:f, s:i, s:[{s:s, s:i}]}", "layers", LAYERS,
      "layerMb", 100, "kvBytes", 1000, "kvCapacityTokens", 100000, "step_ms",
      8.0, "read_per_s", 100000, "kinds", "name", "card", "sizeMb", 1000);
  json_t *spec = json_pack (
      "{s:i, s:[o, o, o], s:[{s:s, s:s, s:i, s:o}, {s:s, s:s, s:i}], "
      "s:[{s:s, s:[s], s:i}], s:{}}",
      "version", 7, "routes",
      pack_route ("chat", "/chat/", "streaming", "model", true),
      pack_route ("plain", "/plain/", "idempotent", "app", true),
      pack_route ("keyed", "/keyed/", "idempotent", "app", false), "services",
      "name", "model", "healthPath", "/healthz", "maxConnections", 1000,
      "engine", engine, "name", "app", "healthPath", "/healthz",
      "maxConnections", 1000, "tenants", "name", "city", "apiKeys", "secret",
      "priority", 0, "limits");
  struct eg_error error = {0};

  assert_non_null (spec);
  entry.configuration.current = eg_configuration_decode (spec, NULL, &error);
  if (!entry.configuration.current)
    fail_msg ("%s", error.message);
  entry.configuration.as_of_us = eg_clock_now_us ();
  json_decref (spec);
}

static int
start (void **state)
{
  const struct eg_fleet_events events = {
      .reported = on_reported, .availability_changed = on_availability_changed};

  (void) state;
  memset (&entry, 0, sizeof entry);
  entry.settings = &settings;
  eg_random_init (&entry.random, 1);
  eg_metrics_init (&entry.metrics);
  eg_wait_queues_init (&entry.wait_queues);
  eg_entry_init_configuration (&entry);
  eg_fleet_init (&entry.fleet, &entry.pool, &events);
  eg_peer_paths_init (&entry.peer_paths, &entry);
  eg_members_init (&entry.members, &entry);
  eg_configuration_spread_init (&entry.configuration_spread, &entry);
  eg_crash_watch_init (&entry.crash_watch, &entry);
  entry.configuration_spread.versions.confirmed = true;
  set_configuration ();
  return 0;
}

static bool
free_service (struct eg_hash_node *node, void *context)
{
  (void) context;
  free (EG_CONTAINER_OF (node, struct eg_service_state, by_name));
  return true;
}

static int
stop (void **state)
{
  (void) state;
  eg_crash_watch_finish (&entry.crash_watch);
  eg_configuration_spread_finish (&entry.configuration_spread);
  eg_members_finish (&entry.members);
  eg_fleet_finish (&entry.fleet);
  eg_configuration_unref (entry.configuration.current);
  eg_hash_table_filter (&entry.services, free_service, NULL);
  eg_hash_table_finish (&entry.services);
  return 0;
}

/** A server to be listed; from == to: a plain one. */
struct listed
{
  const char *id;
  const char *domain;
  const char *state;
  int from;
  int to;
};

static void
list_server (const struct listed *listed, unsigned number)
{
  bool is_engine = listed->to > listed->from;
  char address[32];
  json_t *spec;
  json_t *object;

  snprintf (address, sizeof address, "10.0.%u.%u:80", number / 250,
            number % 250 + 1);
  spec = json_pack ("{s:s, s:s, s:s, s:i, s:s, s:i}", "service",
                    is_engine ? "model" : "app", "address", address, "zone",
                    listed->domain, "slots", 4, "state", listed->state, "born",
                    100);
  if (is_engine)
    json_object_update_new (spec, json_pack ("{s:s, s:[], s:{s:i, s:i, s:i}}",
                                             "kind", "card", "models", "layers",
                                             "from", listed->from, "to",
                                             listed->to, "version", 1));
  object = json_pack ("{s:{s:s, s:i}, s:o}", "metadata", "name", listed->id,
                      "revision", 1, "spec", spec);
  assert_non_null (object);
  eg_fleet_update_server (&entry.fleet, object, false, eg_clock_now_us ());
  json_decref (object);
}

static void
list_servers (const struct listed *listed, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    list_server (&listed[i], i);
}

/* Returns the answer, whose status must be as expected. */
static json_t *
explain (const char *query, unsigned status)
{
  struct eg_buffer target = {0};
  struct eg_buffer out = {0};
  json_t *answer;

  eg_buffer_printf (&target, "/explain?%s", query);
  assert_int_equal (eg_explain_answer (&entry, eg_buffer_view (&target), &out),
                    status);
  assert_true (out.len < ANSWER_BYTES_MAX);
  answer = json_loadb (out.data, out.len, 0, NULL);
  assert_non_null (answer);
  if (status != 200)
    assert_true (json_is_string (json_object_get (answer, "error")));
  eg_buffer_finish (&target);
  eg_buffer_finish (&out);
  return answer;
}

static const char *
text_of (const json_t *object, const char *member)
{
  const char *text = json_string_value (json_object_get (object, member));

  return text ? text : "";
}

static int64_t
integer_of (const json_t *object, const char *member)
{
  return json_integer_value (json_object_get (object, member));
}

static void
assert_decision (const json_t *answer, const char *action, const char *cause)
{
  const json_t *decision = json_object_get (answer, "decision");

  assert_string_equal (text_of (decision, "action"), action);
  assert_string_equal (text_of (decision, "cause"), cause);
}

static void
assert_error (const char *query, unsigned status, const char *part)
{
  json_t *answer = explain (query, status);

  if (!strstr (text_of (answer, "error"), part))
    fail_msg ("%s: %s", query, text_of (answer, "error"));
  json_decref (answer);
}

/* A parameter that is misspelt or lost, or a number that is cut short, explains
 * another request than the operator has asked about. */
static void
test_query_that_is_not_valid_is_an_error (void **state)
{
  (void) state;
  assert_error ("", 400, "missing: host");
  assert_error ("host=a.example", 400, "missing: path");
  assert_error ("host=a.example&path=chat", 400, "path: expected");
  assert_error ("host=a.example&path=/a%20b", 400, "path: expected");
  assert_error ("host=&path=/", 400, "host: expected");
  assert_error ("host=a.example&path=/%00", 400, "percent-encoding");
  assert_error ("host=a.example&path=/%4", 400, "percent-encoding");
  assert_error ("host=a.example&path=/%zz", 400, "percent-encoding");
  assert_error ("host=a.example&path=/&hots=b", 400, "unknown parameter: hots");
  assert_error ("host=a.example&path=/&host=b", 400, "repeated parameter");
  assert_error ("host=a.example&path=/&prompt-tokens=x", 400,
                "prompt-tokens: expected a whole number");
  assert_error ("host=a.example&path=/&answer-tokens=-1", 400, "answer-tokens");
  assert_error ("host=a.example&path=/&deadline-ms=4294967296", 400,
                "deadline-ms");
  assert_error ("host=a.example&path=/&deadline-ms=", 400, "deadline-ms");
}

static void
test_query_is_decoded (void **state)
{
  struct eg_explain_query query;
  struct eg_error error;

  (void) state;
  assert_true (eg_explain_query_parse (
      &query,
      EG_STR ("/explain?organisation=%c3%A9%26%3d&host=a:80&path=/x%3Fq=1"
              "&prompt-tokens=4294967295&deadline-ms=0"),
      &error));
  assert_true (eg_str_equal (query.organisation, EG_STR ("\xc3\xa9&=")));
  assert_true (eg_str_equal (query.host, EG_STR ("a:80")));
  assert_true (eg_str_equal (query.path, EG_STR ("/x?q=1")));
  assert_true (query.prompt_tokens == UINT32_MAX);
  assert_int_equal (query.answer_tokens, 0);
  assert_int_equal (query.deadline_ms, 0);
  eg_explain_query_finish (&query);
  assert_true (eg_explain_is_target (EG_STR ("/explain")));
  assert_true (eg_explain_is_target (EG_STR ("/explain?host=a")));
  assert_false (eg_explain_is_target (EG_STR ("/explained")));
}

static void
test_unknown_route_and_organisation_are_errors (void **state)
{
  (void) state;
  assert_error ("host=b.example&path=/chat/", 404, "host is unknown");
  assert_error ("host=a.example&path=/other/", 404, "none for this path");
  assert_error ("host=a.example&path=/chat/&organisation=nobody", 404,
                "organisation is unknown");
}

/* A VM that has just started must not answer by a configuration that other VMs
 * have not confirmed. */
static void
test_vm_without_configuration_says_so (void **state)
{
  (void) state;
  entry.configuration_spread.versions.confirmed = false;
  assert_error ("host=a.example&path=/chat/", 503, "no configuration");
}

static void
test_path_is_chosen_and_others_have_reasons (void **state)
{
  static const struct listed servers[] = {
      {"e-1", "east", "ready", 0, 4},   {"e-2", "east", "ready", 4, 8},
      {"w-1", "west", "ready", 0, 8},   {"n-1", "north", "ready", 0, 3},
      {"n-2", "north", "ready", 5, 8},  {"e-3", "east", "draining", 0, 8},
      {"plain", "east", "ready", 0, 0},
  };
  json_t *answer;
  const json_t *options;
  const json_t *option;
  const json_t *stages;
  const json_t *rejected;

  (void) state;
  list_servers (servers, sizeof servers / sizeof servers[0]);
  answer = explain ("host=A.example:80&path=/chat/x?y&prompt-tokens=1000"
                    "&answer-tokens=100&deadline-ms=9000",
                    200);
  assert_decision (answer, "send", "");
  assert_string_equal (text_of (json_object_get (answer, "decision"), "server"),
                       "e-1");
  assert_int_equal (
      integer_of (json_object_get (answer, "request"), "deadline_ms"), 9000);
  assert_int_equal (
      integer_of (json_object_get (answer, "request"), "answer_tokens"), 100);
  options = json_object_get (answer, "options");
  assert_int_equal (json_array_size (options), 3);
  option = json_array_get (options, 0);
  assert_true (json_is_true (json_object_get (option, "chosen")));
  assert_string_equal (text_of (option, "failure_domain"), "east");
  stages = json_object_get (option, "stages");
  assert_int_equal (json_array_size (stages), 2);
  assert_int_equal (
      json_integer_value (json_array_get (
          json_object_get (json_array_get (stages, 1), "layers"), 0)),
      4);
  /* The prompt takes 10 ms, a token 8 ms, a hop 0.3 ms, on idle servers. */
  assert_true (json_number_value (json_object_get (option, "first_event_ms"))
               > 18);
  assert_true (json_number_value (json_object_get (option, "first_event_ms"))
               < 25);
  option = json_array_get (options, 1);
  assert_string_equal (text_of (option, "failure_domain"), "west");
  assert_string_equal (text_of (option, "reason"), "higher-cost");
  option = json_array_get (options, 2);
  assert_string_equal (text_of (option, "reason"), "no-complete-path");
  assert_int_equal (json_integer_value (json_array_get (
                        json_object_get (option, "missing_layers"), 0)),
                    3);
  assert_int_equal (json_integer_value (json_array_get (
                        json_object_get (option, "missing_layers"), 1)),
                    5);
  rejected = json_object_get (answer, "rejected");
  assert_int_equal (json_array_size (rejected), 1);
  assert_string_equal (text_of (json_array_get (rejected, 0), "server"), "e-3");
  assert_string_equal (text_of (json_array_get (rejected, 0), "reason"),
                       "leaving");
  json_decref (answer);
}

static void
test_request_without_servers_waits_or_is_rejected (void **state)
{
  const char *query = "host=a.example&path=/chat/";
  json_t *answer;

  (void) state;
  answer = explain (query, 200);
  assert_decision (answer, "wait", "no-server");
  assert_true (json_is_true (
      json_object_get (json_object_get (answer, "queue"), "enabled")));
  json_decref (answer);
  settings.shedding_requests = 0;
  answer = explain (query, 200);
  settings.shedding_requests = 32;
  assert_decision (answer, "reject", "no-server");
  assert_string_equal (text_of (json_object_get (answer, "queue"), "verdict"),
                       "full");
  json_decref (answer);
  strcpy (settings.shedding_mode, "off");
  answer = explain (query, 200);
  strcpy (settings.shedding_mode, "on");
  assert_decision (answer, "reject", "no-server");
  assert_int_equal (integer_of (json_object_get (answer, "decision"), "status"),
                    503);
  /* The shortest time in which callers of streams come back. */
  assert_int_equal (
      integer_of (json_object_get (answer, "decision"), "retry_after_ms"),
      2000);
  json_decref (answer);
}

static void
test_organisation_takes_the_place_of_a_key (void **state)
{
  static const struct listed server = {"p-1", "east", "ready", 0, 0};
  json_t *answer;

  (void) state;
  list_server (&server, 0);
  answer = explain ("host=a.example&path=/keyed/x", 200);
  assert_decision (answer, "reject", "key-unknown");
  assert_int_equal (integer_of (json_object_get (answer, "decision"), "status"),
                    401);
  json_decref (answer);
  answer = explain ("host=a.example&path=/keyed/x&organisation=city", 200);
  assert_decision (answer, "send", "");
  assert_int_equal (
      integer_of (json_object_get (answer, "request"), "priority"), 0);
  json_decref (answer);
  settings.revocation_bounded = true;
  entry.configuration.as_of_us = eg_clock_now_us () - 6 * EG_US_PER_S;
  answer = explain ("host=a.example&path=/keyed/x&organisation=city", 200);
  settings.revocation_bounded = false;
  assert_decision (answer, "reject", "keys-too-old");
  assert_int_equal (
      integer_of (json_object_get (answer, "decision"), "retry_after_ms"), 500);
  json_decref (answer);
}

/* An explanation that counted as a request, took its place in a queue or drew
 * the random numbers of the next request would change what it explains. */
static void
test_explanation_changes_nothing (void **state)
{
  static const struct listed servers[] = {{"p-1", "east", "ready", 0, 0},
                                          {"p-2", "east", "ready", 0, 0},
                                          {"e-1", "east", "ready", 0, 8}};
  static const char *const queries[] = {
      "host=a.example&path=/chat/&prompt-tokens=100",
      "host=a.example&path=/plain/",
      "host=a.example&path=/keyed/&organisation=city",
      "host=b.example&path=/",
      "host=a.example",
  };
  static const unsigned statuses[] = {200, 200, 200, 404, 400};
  static struct eg_entry before;
  struct eg_backend backends[3];
  struct eg_service_state app;
  size_t count = 0;

  (void) state;
  list_servers (servers, 3);
  /* The state of a service is created empty for the first one. */
  app = *eg_entry_service (&entry, EG_STR ("app"));
  eg_entry_service (&entry, EG_STR ("model"));
  for (struct eg_list *at = entry.fleet.all.next; at != &entry.fleet.all;
       at = at->next)
    backends[count++] = *EG_CONTAINER_OF (at, struct eg_backend, all);
  assert_int_equal (count, 3);
  before = entry;
  for (int round = 0; round < 20; round++)
    for (size_t i = 0; i < sizeof queries / sizeof queries[0]; i++)
      json_decref (explain (queries[i], statuses[i]));
  assert_memory_equal (&before, &entry, sizeof entry);
  assert_memory_equal (&app, eg_entry_service (&entry, EG_STR ("app")),
                       sizeof app);
  count = 0;
  for (struct eg_list *at = entry.fleet.all.next; at != &entry.fleet.all;
       at = at->next)
    assert_memory_equal (&backends[count++],
                         EG_CONTAINER_OF (at, struct eg_backend, all),
                         sizeof backends[0]);
}

/* The port is open to more than operators: an answer must not grow with the
 * number of servers. explain() checks the length. */
static void
test_answer_about_many_servers_is_bounded (void **state)
{
  char id[EG_SERVER_ID_BYTES];
  json_t *answer;

  (void) state;
  for (unsigned i = 0; i < 2 * MANY; i++)
    {
      const struct listed server = {id, "east", i < MANY ? "ready" : "draining",
                                    0, 0};

      snprintf (id, sizeof id, "server-%056u", i);
      list_server (&server, i);
    }
  answer = explain ("host=a.example&path=/plain/", 200);
  assert_int_equal (json_array_size (json_object_get (answer, "options")),
                    EG_EXPLAIN_OPTIONS_MAX);
  assert_int_equal (integer_of (answer, "options_omitted"),
                    MANY - EG_EXPLAIN_OPTIONS_MAX);
  assert_int_equal (json_array_size (json_object_get (answer, "rejected")),
                    EG_EXPLAIN_REJECTED_MAX);
  assert_int_equal (integer_of (answer, "rejected_omitted"),
                    MANY - EG_EXPLAIN_REJECTED_MAX);
  /* The one that would be chosen is the first of those listed. */
  assert_true (json_is_true (json_object_get (
      json_array_get (json_object_get (answer, "options"), 0), "chosen")));
  json_decref (answer);
}

static const struct eg_explain_options shown = {.address = "10.0.0.1:9",
                                                .host = "a.example",
                                                .path = "/a b?c&d"};

static void
test_command_encodes_its_options (void **state)
{
  struct eg_explain_options options = shown;
  struct eg_buffer url = {0};
  struct eg_error error;

  (void) state;
  options.organisation = "\xc3\xa9&";
  options.prompt_tokens = "12";
  assert_true (eg_explain_write_url (&options, &url, &error));
  assert_string_equal (eg_buffer_text (&url),
                       "http://10.0.0.1:9/explain?host=a.example"
                       "&path=/a%20b%3Fc%26d&organisation=%C3%A9%26"
                       "&prompt-tokens=12");
  options.deadline_ms = "1.5";
  eg_buffer_clear (&url);
  assert_false (eg_explain_write_url (&options, &url, &error));
  assert_string_equal (error.message, "--deadline-ms: expected a whole number "
                                      "up to 4294967295, not \"1.5\"");
  eg_buffer_finish (&url);
}

/* Returns what the command writes to its output (or else to its error output)
 * for an answer. */
static char *
report (const struct eg_explain_options *options,
        long status,
        const char *body,
        bool out,
        int expected)
{
  char *text[2] = {NULL, NULL};
  size_t len[2];
  FILE *streams[2] = {open_memstream (&text[0], &len[0]),
                      open_memstream (&text[1], &len[1])};

  assert_int_equal (eg_explain_report (options, status, eg_str_from (body),
                                       streams[0], streams[1]),
                    expected);
  fclose (streams[0]);
  fclose (streams[1]);
  free (text[out]);
  return text[!out];
}

static void
test_command_reports_errors (void **state)
{
  struct eg_explain_options options = shown;
  char *text;

  (void) state;
  text = report (&options, 404, "{\"error\":\"no route\"}", false,
                 EG_EXPLAIN_FAILED);
  assert_string_equal (text, "eelgrass-explain: 10.0.0.1:9: no route\n");
  free (text);
  /* A VM of an older build. */
  text = report (&options, 404, "no such path\n", false, EG_EXPLAIN_FAILED);
  assert_non_null (strstr (text, "unexpected answer with HTTP status 404"));
  free (text);
  text = report (&options, 200, "[]", true, EG_EXPLAIN_FAILED);
  assert_string_equal (text, "");
  free (text);
  options.json = true;
  text = report (&options, 404, "{\"error\":\"no route\"}", true,
                 EG_EXPLAIN_FAILED);
  assert_string_equal (text, "{\"error\":\"no route\"}\n");
  free (text);
}

static void
test_command_writes_text (void **state)
{
  static const struct listed servers[] = {{"e-1", "east", "ready", 0, 8},
                                          {"w-1", "west", "ready", 0, 7},
                                          {"e-2", "east", "draining", 0, 8}};
  struct eg_buffer out = {0};
  char *text;

  (void) state;
  list_servers (servers, 3);
  assert_int_equal (
      eg_explain_answer (&entry,
                         EG_STR ("/explain?host=a.example&path=/chat/"
                                 "&organisation=city&prompt-tokens=100"),
                         &out),
      200);
  text = report (&shown, 200, eg_buffer_text (&out), true, EG_EXPLAIN_OK);
  assert_non_null (strstr (text, "Route chat (stream), service model\n"));
  assert_non_null (strstr (text, "goal 500 ms, deadline 20000 ms, 100 prompt"));
  assert_non_null (strstr (text, "Queue: 0 of 32 places taken, 0 go before"));
  assert_non_null (strstr (text, "  * failure domain east: cost "));
  assert_non_null (strstr (text, "e-1 10.0.0.1:80: layers 0 to 8, "));
  assert_non_null (strstr (text, "failure domain west: no complete path: no "
                                 "usable server holds layers 7 to 8\n"));
  assert_non_null (strstr (text, "e-2 in east: it is leaving (leaving)\n"));
  assert_non_null (strstr (text, "Decision: would be sent to server e-1\n"));
  free (text);
  eg_buffer_finish (&out);
}

/* Names come from the configuration; a terminal obeys control characters. */
static void
test_command_writes_no_control_characters (void **state)
{
  char *text =
      report (&shown, 200, "{\"request\":{\"route\":\"a\\u001b[2Jb\\n\"}}",
              true, EG_EXPLAIN_OK);

  (void) state;
  assert_non_null (strstr (text, "Route a?[2Jb? "));
  free (text);
}

static int
run (const char *const *arguments, int count)
{
  char *argv[16];
  char text[16][32];
  FILE *sink = fopen ("/dev/null", "w");
  int result;

  for (int i = 0; i < count; i++)
    {
      snprintf (text[i], sizeof text[i], "%s", arguments[i]);
      argv[i] = text[i];
    }
  argv[count] = NULL;
  result = eg_explain_run (count, argv, sink, sink);
  fclose (sink);
  return result;
}

static void
test_command_checks_its_usage (void **state)
{
  static const char *const whole[] = {
      "eelgrass-explain", "127.0.0.1:1", "--host",          "a",
      "--path",           "/",           "--prompt-tokens", "x"};
  static const char *const strange[] = {
      "eelgrass-explain", "x/y@z", "--host", "a", "--path", "/"};
  static const char *const unknown[] = {
      "eelgrass-explain", "127.0.0.1:1", "--host", "a",
      "--path",           "/",           "--nope"};
  static const char *const help[] = {"eelgrass-explain", "--help"};

  (void) state;
  assert_int_equal (run (whole, 1), EG_EXPLAIN_USAGE);
  assert_int_equal (run (whole, 4), EG_EXPLAIN_USAGE);
  assert_int_equal (run (unknown, 7), EG_EXPLAIN_USAGE);
  assert_int_equal (run (strange, 6), EG_EXPLAIN_USAGE);
  assert_int_equal (run (help, 2), EG_EXPLAIN_OK);
  assert_int_equal (run (whole, 8), EG_EXPLAIN_FAILED);
}

#define TEST(name) cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (void)
{
  const struct CMUnitTest tests[] = {
      TEST (query_that_is_not_valid_is_an_error),
      TEST (query_is_decoded),
      TEST (unknown_route_and_organisation_are_errors),
      TEST (vm_without_configuration_says_so),
      TEST (path_is_chosen_and_others_have_reasons),
      TEST (request_without_servers_waits_or_is_rejected),
      TEST (organisation_takes_the_place_of_a_key),
      TEST (explanation_changes_nothing),
      TEST (answer_about_many_servers_is_bounded),
      TEST (command_encodes_its_options),
      TEST (command_reports_errors),
      TEST (command_writes_text),
      TEST (command_writes_no_control_characters),
      TEST (command_checks_its_usage),
  };

  eg_log_configure ("test", EG_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
