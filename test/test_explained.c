/* Tests of explanations by a real daemon, with the command eelgrass-explain. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "test/streams_fixture.h"

/* Until the daemon knows the servers and has written its log. */
#define SETTLE_MS 500
#define OUTPUT_BYTES 65536
#define METRICS_BYTES 65536
#define ROUNDS 20
/* A stream waits for half of it, long enough for several explanations. */
#define GOAL_MS 8000
#define WAIT_MS (GOAL_MS / 2)
#define STREAM_TIMEOUT_MS 12000
/* The command gives up after 2 s. */
#define ANSWER_MAX_US (3 * EG_US_PER_S)

static struct streams_fixture fixture;

static int
start (void **state)
{
  const struct streams_options options = {.retry_ratio = 0,
                                          .retry_extra = 200,
                                          .retry_window_ms = 60000,
                                          .engines = 2,
                                          .plain = 2,
                                          .stream_goal_ms = GOAL_MS,
                                          .bulk_route = true,
                                          .settings =
                                              "[shedding]\nmode = \"on\"\n"};

  streams_fixture_init (&fixture, &options);
  streams_run (&fixture, SETTLE_MS);
  *state = &fixture;
  return 0;
}

static int
stop (void **state)
{
  streams_fixture_finish (*state);
  return 0;
}

/** The command in progress, or ended. */
struct command
{
  uv_process_t process;
  int64_t status;
  bool has_exited;
  char text[OUTPUT_BYTES]; /**< Of both outputs. */
};

static void
on_command_exit (uv_process_t *process, int64_t status, int signal)
{
  struct command *self = process->data;

  (void) signal;
  self->status = status;
  self->has_exited = true;
}

/* Runs eelgrass-explain for the first VM, while the stand-ins go on; returns
 * its exit status. */
static int
run (struct streams_fixture *self,
     struct command *command,
     const char *path,
     const char *option)
{
  char address[32];
  char *arguments[] = {EG_EXPLAIN,        address,  "--host",
                       "streams.example", "--path", (char *) path,
                       (char *) option,   NULL};
  FILE *output = tmpfile ();
  uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE}};
  const uv_process_options_t options = {.exit_cb = on_command_exit,
                                        .file = EG_EXPLAIN,
                                        .args = arguments,
                                        .stdio_count = 3,
                                        .stdio = stdio};

  assert_non_null (output);
  memset (command, 0, sizeof *command);
  snprintf (address, sizeof address, "127.0.0.1:%u", self->vms[0].peers_port);
  for (int i = 1; i < 3; i++)
    stdio[i] = (uv_stdio_container_t){.flags = UV_INHERIT_FD,
                                      .data.fd = fileno (output)};
  command->process.data = command;
  assert_int_equal (uv_spawn (&self->loop, &command->process, &options), 0);
  while (!command->has_exited)
    uv_run (&self->loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *) &command->process, NULL);
  uv_run (&self->loop, UV_RUN_NOWAIT);
  rewind (output);
  command->text[fread (command->text, 1, sizeof command->text - 1, output)] =
      '\0';
  fclose (output);
  return (int) command->status;
}

/* Asks for an explanation that must be given. */
static json_t *
explain (struct streams_fixture *self, const char *path)
{
  static struct command command;
  json_t *answer;

  assert_int_equal (run (self, &command, path, "--json"), 0);
  answer = json_loads (command.text, 0, NULL);
  assert_non_null (answer);
  return answer;
}

static const char *
decision_of (const json_t *answer, const char *member)
{
  const char *text = json_string_value (
      json_object_get (json_object_get (answer, "decision"), member));

  return text ? text : "";
}

/* Sends a request to the first VM's port for other VMs and reads the response
 * to its end. */
static void
ask (const struct streams_fixture *self,
     const char *path,
     const char *field,
     char *text,
     size_t capacity)
{
  struct sockaddr_in to = {.sin_family = AF_INET,
                           .sin_port = htons (self->vms[0].peers_port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  size_t len = 0;
  ssize_t got;

  assert_int_equal (connect (fd, (struct sockaddr *) &to, sizeof to), 0);
  snprintf (text, capacity,
            "GET %s HTTP/1.1\r\nHost: vm\r\n%sConnection: close\r\n\r\n", path,
            field);
  assert_int_equal (send (fd, text, strlen (text), 0), strlen (text));
  while ((got = recv (fd, text + len, capacity - 1 - len, 0)) > 0)
    len += (size_t) got;
  text[len] = '\0';
  close (fd);
}

/* Returns whether a line of the metrics changes without any request. */
static bool
changes_by_itself (const char *line)
{
  static const char *const names[] = {
      "store_calls_total", "probes_total", "server_connections_total",
      "server_connections_reused_total", "configuration_age_seconds",
      /* Not of requests; they also count the connections that ask. */
      "explanations_total", "client_connections", "client_memory_bytes"};
  const char *prefix = "eelgrasswood_";

  if (strncmp (line, prefix, strlen (prefix)) != 0)
    return true;
  line += strlen (prefix);
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strncmp (line, names[i], strlen (names[i])) == 0)
      return true;
  return false;
}

/* Reads the metrics, without the lines that change by themselves. */
static void
read_metrics (const struct streams_fixture *self, char metrics[METRICS_BYTES])
{
  static char text[METRICS_BYTES];
  char *rest = text;
  size_t len = 0;

  ask (self, "/metrics", "", text, sizeof text);
  for (char *line; (line = strsep (&rest, "\n"));)
    if (!changes_by_itself (line))
      len +=
          (size_t) snprintf (metrics + len, METRICS_BYTES - len, "%s\n", line);
  assert_non_null (strstr (metrics, "eelgrasswood_requests_total "));
  assert_non_null (strstr (metrics, "eelgrasswood_sends_total "));
}

/* Requests that servers have received. Plain servers get no others; engines are
 * also asked for reports. */
static unsigned
count_received (const struct streams_fixture *self)
{
  unsigned count = 0;

  for (unsigned i = 0; i < STREAMS_SERVERS; i++)
    count += i < STREAMS_ENGINES ? self->engines[i].arrivals
                                 : self->engines[i].requests;
  return count;
}

/* An explanation that was sent to a server, or that counted as a request, would
 * cost servers time and mislead whoever reads the metrics. */
static void
test_explanation_reaches_no_server_and_counts_no_request (void **state)
{
  static char before[METRICS_BYTES];
  static char after[METRICS_BYTES];
  static const char *const paths[] = {"/stream/x", "/plain/x", "/once/x",
                                      "/keyed/x"};
  struct streams_fixture *self = *state;
  const struct streams_request plain = {.plain = true, .body = "body"};
  unsigned received;
  unsigned ended;

  assert_int_equal (streams_client_request (self, 0, &plain), 200);
  streams_run (self, SETTLE_MS);
  received = count_received (self);
  assert_true (received > 0);
  ended = streams_count_log (self, 0, "event=request-ended");
  read_metrics (self, before);
  for (int round = 0; round < ROUNDS; round++)
    for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
      {
        json_t *answer = explain (self, paths[i]);

        assert_string_equal (decision_of (answer, "action"),
                             i == 3 ? "reject" : "send");
        json_decref (answer);
      }
  read_metrics (self, after);
  streams_run (self, SETTLE_MS);
  assert_string_equal (before, after);
  assert_int_equal (count_received (self), received);
  assert_int_equal (streams_count_log (self, 0, "event=request-ended"), ended);
}

/* An explanation must name the server that the request is then sent to. */
static void
test_request_goes_where_the_explanation_says (void **state)
{
  static struct command command;
  struct streams_fixture *self = *state;
  json_t *answer;

  streams_engine_publish (&self->engines[0], true);
  streams_run (self, SETTLE_MS);
  answer = explain (self, "/stream/x");
  assert_string_equal (decision_of (answer, "action"), "send");
  assert_string_equal (decision_of (answer, "server"), self->engines[1].id);
  json_decref (answer);
  assert_int_equal (run (self, &command, "/stream/x", NULL), 0);
  assert_non_null (strstr (command.text, "it is leaving (leaving)"));
  assert_non_null (strstr (command.text, "would be sent to server "));
  assert_int_equal (streams_client_request (
                        self, 0, &(struct streams_request){.body = "body"}),
                    200);
  assert_int_equal (self->engines[1].runs, 1);
  streams_engine_publish (&self->engines[1], true);
  streams_run (self, SETTLE_MS);
  answer = explain (self, "/stream/x");
  assert_string_equal (decision_of (answer, "action"), "wait");
  assert_string_equal (decision_of (answer, "cause"), "no-server");
  json_decref (answer);
}

/* The start of the fixture sends requests, too. */
static unsigned queued_before;

static bool
is_queued (const struct streams_fixture *self)
{
  return streams_count_log (self, 0, "event=request-queued") > queued_before;
}

static bool
first_has_ended (const struct streams_fixture *self)
{
  return streams_client_has_ended (self, 0);
}

static int64_t
queue_of (const json_t *answer, const char *member)
{
  return json_integer_value (
      json_object_get (json_object_get (answer, "queue"), member));
}

/* An explanation must count those that wait, and take the place of none. There
 * is no server at first: one that is full would be asked now and then, and the
 * request would not wait meanwhile. */
static void
test_explained_request_goes_after_those_that_wait (void **state)
{
  struct streams_fixture *self = *state;
  const int rounds = 3;

  queued_before = streams_count_log (self, 0, "event=request-queued");
  streams_engine_publish (&self->engines[0], true);
  streams_engine_publish (&self->engines[1], true);
  streams_run (self, SETTLE_MS);
  streams_client_start (self, 0);
  assert_true (streams_wait (self, is_queued, WAIT_MS));
  for (int round = 0; round < rounds; round++)
    {
      json_t *urgent = explain (self, "/stream/x");
      json_t *bulk = explain (self, "/bulk/x");

      assert_int_equal (queue_of (urgent, "waiting"), 1);
      assert_int_equal (queue_of (bulk, "waiting"), 1);
      assert_int_equal (queue_of (bulk, "ahead"), 1);
      assert_string_equal (decision_of (bulk, "action"), "wait");
      assert_string_equal (decision_of (bulk, "cause"), "others-first");
      json_decref (urgent);
      json_decref (bulk);
    }
  assert_false (streams_client_has_ended (self, 0));
  streams_engine_publish (&self->engines[2], false);
  assert_true (streams_wait (self, first_has_ended, STREAM_TIMEOUT_MS));
  assert_int_equal (self->clients[0].status, 200);
  assert_int_equal (streams_count_runs (self), 1);
}

static void
test_errors_of_explanations_are_clear (void **state)
{
  static struct command command;
  static char text[METRICS_BYTES];
  struct streams_fixture *self = *state;
  int64_t started_us;

  assert_int_equal (run (self, &command, "/nowhere/", NULL), 1);
  assert_non_null (strstr (command.text, "none for this path"));
  assert_int_equal (run (self, &command, "/stream/x", "--deadline-ms=1s"), 1);
  assert_non_null (strstr (command.text, "expected a whole number"));
  assert_int_equal (run (self, &command, "/stream/x", "--organisation=x"), 1);
  assert_non_null (strstr (command.text, "organisation is unknown"));
  assert_int_equal (run (self, &command, "/stream/x", "--unknown"), 2);
  /* A VM of another system takes this one for a former one of its own. */
  ask (self, "/explain?host=streams.example&path=/stream/x",
       "Eelgrasswood-Vm: 127.0.0.1:9\r\n", text, sizeof text);
  assert_non_null (strstr (text, "HTTP/1.1 503"));
  assert_non_null (strstr (text, "only entry VMs"));
  kill (self->vms[0].process.pid, SIGSTOP);
  started_us = eg_clock_now_us ();
  assert_int_equal (run (self, &command, "/stream/x", NULL), 1);
  kill (self->vms[0].process.pid, SIGCONT);
  assert_true (eg_clock_now_us () - started_us < ANSWER_MAX_US);
  assert_non_null (strstr (command.text, "no answer within 2 s"));
  streams_vm_kill (self, 0);
  assert_int_equal (run (self, &command, "/stream/x", NULL), 1);
  assert_non_null (strstr (command.text, "eelgrass-explain: 127.0.0.1:"));
}

#define TEST(name) cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      TEST (explanation_reaches_no_server_and_counts_no_request),
      TEST (request_goes_where_the_explanation_says),
      TEST (explained_request_goes_after_those_that_wait),
      TEST (errors_of_explanations_are_clear),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
