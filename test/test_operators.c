/* The operators' listener of an entry VM and eelgrassctl, with faults injected
   into the stand-ins. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <curl/curl.h>
#include <pthread.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"
#include "ctl/ctl.h"
#include "ctl/print.h"
#include "test/path_fixture.h"

#define TOKEN "gate-7"
#define RULES OPERATORS "/rules"
#define ARGUMENTS_MAX 12
#define ID_BYTES 17
#define CLOSING_NODE EG_TEST_HOST "40"
#define UNREACHABLE_NODE EG_TEST_HOST "41"

static struct path_fixture fixture;
static const char *const authorized[] = {"Authorization: Bearer " TOKEN, NULL};
static const char *const organisation[] = {"X-Organisation: temple", NULL};

static void
set_token (const char *token)
{
  eg_str_copy (eg_str_from (token), fixture.node.settings.operators_token,
               sizeof fixture.node.settings.operators_token);
}

static int
set_up (void **state)
{
  (void) state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  eg_log_configure ("test_operators", EG_LOG_ERROR);
  path_fixture_init (&fixture);
  set_token (TOKEN);
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

static json_t *
call (const char *method,
      const char *url,
      const char *const *headers,
      const char *body,
      long expected)
{
  struct path_answer answer;
  json_t *value;

  path_call (method, url, headers, body, &answer);
  value = json_loadb (answer.body.data, answer.body.len, 0, NULL);
  if (answer.status != expected)
    fail_msg ("%s %s: status %ld, body %s", method, url, answer.status,
              answer.body.data);
  path_answer_finish (&answer);
  return value;
}

static int64_t
version_in_force (void)
{
  json_t *rules = call ("GET", RULES, authorized, NULL, 200);
  int64_t version = json_integer_value (json_object_get (rules, "version"));

  json_decref (rules);
  return version;
}

static bool
text_has (const char *line)
{
  json_t *rules = call ("GET", RULES, authorized, NULL, 200);
  const char *text = json_string_value (json_object_get (rules, "text"));
  bool found = strstr (text, line) != NULL;

  json_decref (rules);
  return found;
}

/* Sends line edits based on the version in force. */
static json_t *
edit (const char *edits, long expected)
{
  char body[1024];

  snprintf (body, sizeof body,
            "{\"who\":\"Anan\",\"base_version\":%lld,\"edits\":%s}",
            (long long) version_in_force (), edits);
  return call ("POST", RULES, authorized, body, expected);
}

static void
call_service (const char *method, const char *path, long expected)
{
  char url[128];

  snprintf (url, sizeof url, CALLERS "/services/app/%s", path);
  json_decref (call (method, url, organisation, "{}", expected));
}

static size_t
count_runs (const char *path)
{
  json_t *runs = path_runs (SERVICE);
  size_t count = 0;
  json_t *run;
  size_t index;

  json_array_foreach (runs, index, run) count +=
      strcmp (json_string_value (json_object_get (run, "path")), path) == 0;
  json_decref (runs);
  return count;
}

static const char *
member_string (json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text ? text : "";
}

/* Authorisation and validation. */

static void
test_token_is_needed (void **state)
{
  static const char *const wrong[] = {"Authorization: Bearer gate-8", NULL};
  static const char *const longer[] = {"Authorization: Bearer gate-7gate-7",
                                       NULL};
  static const char *const empty[] = {"Authorization: Bearer ", NULL};
  static const char *const basic[] = {"Authorization: Basic " TOKEN, NULL};
  static const char *const *const refused[] = {NULL, wrong, longer, empty,
                                               basic};
  static const char *const paths[][2] = {
      {"GET", "/rules"},        {"POST", "/rules"}, {"POST", "/drain"},
      {"POST", "/rules/check"}, {"GET", "/status"}, {"GET", "/nodes"},
      {"GET", "/servers"},
  };
  static const char body[] =
      "{\"who\":\"x\",\"base_version\":0,\"edits\":[{\"add\":"
      "\"limit organisation=temple rate=1/s # Ploy\"}]}";
  char url[64];

  (void) state;
  for (size_t i = 0; i < sizeof refused / sizeof refused[0]; i++)
    for (size_t k = 0; k < sizeof paths / sizeof paths[0]; k++)
      {
        snprintf (url, sizeof url, OPERATORS "%s", paths[k][1]);
        json_decref (call (paths[k][0], url, refused[i], body, 401));
      }
  set_token ("");
  json_decref (call ("POST", RULES, authorized, body, 403));
  json_decref (call ("POST", RULES, empty, body, 403));
  set_token (TOKEN);
  assert_int_equal (version_in_force (), 0);
  json_decref (call ("GET", OPERATORS "/metrics", NULL, NULL, 200));
  json_decref (call ("GET", OPERATORS "/", NULL, NULL, 200));
  json_decref (call ("GET", OPERATORS "/nothing", NULL, NULL, 404));
  json_decref (call ("DELETE", RULES, NULL, NULL, 405));
}

static void
test_malformed_is_refused (void **state)
{
  static const char *const bodies[] = {
      "",
      "[]",
      "{\"who\":\"x\",\"base_version\":0}",
      "{\"who\":\"x\",\"base_version\":0,\"text\":\"\",\"edits\":[]}",
      "{\"who\":\"x\",\"base_version\":0,\"edits\":[]}",
      "{\"who\":\"x\",\"base_version\":0,\"edits\":[{}]}",
      "{\"who\":\"x\",\"base_version\":0,\"edits\":[{\"add\":\"a\\nb\"}]}",
      "{\"who\":\"\",\"base_version\":0,\"text\":\"\"}",
      "{\"who\":\"a\\nb\",\"base_version\":0,\"text\":\"\"}",
      "{\"who\":\"x\",\"base_version\":-1,\"text\":\"\"}",
      "{\"who\":\"x\",\"base_version\":0,\"text\":\"\",\"id\":\"7\"}",
      "{\"who\":\"x\",\"base_version\":0,\"text\":\"\",\"more\":1}",
  };

  (void) state;
  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    json_decref (call ("POST", RULES, authorized, bodies[i], 400));
  json_decref (call ("POST", RULES, authorized,
                     "{\"who\":\"x\",\"base_version\":0,"
                     "\"text\":\"# a\\u0000b\\n\"}",
                     422));
  assert_int_equal (version_in_force (), 0);
}

static void
test_all_faults_are_listed (void **state)
{
  int64_t before = version_in_force ();
  json_t *answer = edit ("[{\"add\":\"limit organisation=temple rate=x\"},"
                         "{\"add\":\"steer server=1 # Anan\"}]",
                         422);
  json_t *faults = json_object_get (answer, "faults");

  (void) state;
  assert_int_equal (json_array_size (faults), 3);
  assert_string_equal (member_string (json_array_get (faults, 0), "message"),
                       "limit: rate: expected a rate (50/s), found 'x'");
  assert_int_equal (json_integer_value (
                        json_object_get (json_array_get (faults, 0), "column")),
                    32);
  assert_string_equal (member_string (json_array_get (faults, 2), "message"),
                       "unknown verb 'steer'");
  assert_int_equal (
      json_integer_value (json_object_get (json_array_get (faults, 2), "line")),
      2);
  json_decref (answer);
  answer = call ("POST", OPERATORS "/rules/check", authorized,
                 "{\"text\":\"drain server=x # Anan\\n\"}", 422);
  assert_int_equal (json_array_size (json_object_get (answer, "faults")), 1);
  json_decref (answer);
  json_decref (call ("POST", OPERATORS "/rules/check", authorized,
                     "{\"text\":\"drain server=10.0.0.1:80 # Anan\\n\"}", 200));
  assert_int_equal (version_in_force (), before);
}

/* Effects of accepted rules. */

static void
test_limit_in_force (void **state)
{
  (void) state;
  call_service ("GET", "search", 200);
  json_decref (edit ("[{\"add\":\"limit organisation=temple in-flight=0 rate="
                     "0.001/s burst=1 # Ploy\"}]",
                     200));
  call_service ("GET", "search", 200);
  call_service ("GET", "search", 429);
  json_decref (edit ("[{\"remove\":\"limit organisation=temple in-flight=0 "
                     "rate=0.001/s burst=1 # Ploy\"}]",
                     200));
  call_service ("GET", "search", 200);
}

static void
test_route_in_force (void **state)
{
  (void) state;
  path_inject_fault (SERVICE, "{\"fault\":\"lose-reply\",\"count\":1}");
  call_service ("POST", "notes", 503);
  assert_int_equal (count_runs ("/notes"), 1);
  json_decref (edit ("[{\"add\":\"route service=app path=/notes "
                     "idempotent=yes # Malee\"}]",
                     200));
  path_inject_fault (SERVICE, "{\"fault\":\"lose-reply\",\"count\":1}");
  call_service ("POST", "notes", 200);
  assert_int_equal (count_runs ("/notes"), 3);
}

static void
test_drain_in_force (void **state)
{
  size_t before;

  (void) state;
  call_service ("GET", "look", 200);
  before = count_runs ("/look");
  json_decref (call ("POST", OPERATORS "/drain", authorized,
                     "{\"who\":\"Anan\",\"server\":\"" SERVICE
                     "\",\"drain\":true,\"asked\":\"Malee, new kernel\"}",
                     200));
  /* The drain is effective as soon as the edit is accepted. */
  call_service ("GET", "look", 503);
  assert_int_equal (count_runs ("/look"), before);
  assert_true (text_has ("drain server=" SERVICE " # Malee, new kernel\n"));
  json_decref (call (
      "POST", OPERATORS "/drain", authorized,
      "{\"who\":\"Anan\",\"server\":\"" SERVICE "\",\"drain\":false}", 200));
  call_service ("GET", "look", 200);
  json_decref (call (
      "POST", OPERATORS "/drain", authorized,
      "{\"who\":\"Anan\",\"server\":\"" SERVICE "\",\"drain\":false}", 422));
}

/* Concurrent edits and lost replies. */

struct editor
{
  pthread_t thread;
  int64_t base;
  int number;
  struct path_answer answer;
};

static void *
edit_in_thread (void *context)
{
  struct editor *editor = context;
  char body[256];

  snprintf (body, sizeof body,
            "{\"who\":\"phone-%d\",\"base_version\":%lld,\"edits\":[{\"add\":"
            "\"limit organisation=race%lld rate=%d/s # Ploy\"}]}",
            editor->number, (long long) editor->base, (long long) editor->base,
            editor->number);
  path_call ("POST", RULES, authorized, body, &editor->answer);
  return NULL;
}

static void
expect_loser (const struct editor *loser, const struct editor *winner)
{
  json_t *value =
      json_loadb (loser->answer.body.data, loser->answer.body.len, 0, NULL);
  json_t *edit_shown = json_object_get (value, "winner");
  char who[32];
  char line[64];

  snprintf (who, sizeof who, "phone-%d", winner->number);
  snprintf (line, sizeof line, "limit organisation=race%lld rate=%d/s # Ploy\n",
            (long long) winner->base, winner->number);
  assert_int_equal (loser->answer.status, 409);
  assert_string_equal (member_string (edit_shown, "who"), who);
  assert_string_equal (member_string (edit_shown, "added"), line);
  json_decref (value);
}

static void
test_one_of_two_editors_wins (void **state)
{
  (void) state;
  for (int round = 0; round < 6; round++)
    {
      struct editor editors[2];
      int winner;

      /* In two of three rounds, the store loses one or two replies. */
      if (round % 3 > 0)
        {
          char fault[64];

          snprintf (fault, sizeof fault,
                    "{\"fault\":\"lose-reply\",\"count\":%d}", round % 3);
          path_inject_fault (PLATFORM, fault);
        }
      for (int i = 0; i < 2; i++)
        {
          editors[i] =
              (struct editor){.base = version_in_force (), .number = i + 1};
        }
      for (int i = 0; i < 2; i++)
        pthread_create (&editors[i].thread, NULL, edit_in_thread, &editors[i]);
      for (int i = 0; i < 2; i++)
        pthread_join (editors[i].thread, NULL);
      winner = editors[0].answer.status == 200 ? 0 : 1;
      assert_int_equal (editors[winner].answer.status, 200);
      expect_loser (&editors[!winner], &editors[winner]);
      for (int i = 0; i < 2; i++)
        path_answer_finish (&editors[i].answer);
      path_clear_faults (PLATFORM);
    }
}

static void
test_repeat_of_an_edit_is_one_edit (void **state)
{
  char body[256];
  int64_t version;

  (void) state;
  snprintf (body, sizeof body,
            "{\"who\":\"Anan\",\"base_version\":%lld,\"id\":"
            "\"00000000000000aa\",\"edits\":[{\"add\":"
            "\"limit organisation=again rate=3/s # Ploy\"}]}",
            (long long) version_in_force ());
  json_decref (call ("POST", RULES, authorized, body, 200));
  version = version_in_force ();
  json_decref (call ("POST", RULES, authorized, body, 200));
  assert_int_equal (version_in_force (), version);
}

static void
test_store_down_refuses (void **state)
{
  int64_t before = version_in_force ();
  json_t *answer;

  (void) state;
  path_inject_fault (PLATFORM, "{\"fault\":\"down\"}");
  answer =
      edit ("[{\"add\":\"limit organisation=never rate=1/s # Ploy\"}]", 503);
  assert_string_equal (member_string (answer, "error"), "store-down");
  json_decref (answer);
  path_clear_faults (PLATFORM);
  assert_int_equal (version_in_force (), before);
  json_decref (
      edit ("[{\"add\":\"limit organisation=later rate=1/s # Ploy\"}]", 200));
  assert_int_equal (version_in_force (), before + 1);
  assert_false (text_has ("organisation=never"));
}

static void
test_silent_store_is_unknown (void **state)
{
  json_t *answer;

  (void) state;
  path_inject_fault (PLATFORM, "{\"fault\":\"silent\"}");
  answer =
      edit ("[{\"add\":\"limit organisation=silent rate=1/s # Ploy\"}]", 503);
  assert_string_equal (member_string (answer, "error"), "unknown");
  json_decref (answer);
  path_clear_faults (PLATFORM);
}

/* More edits than the history keeps and than the store's stand-in has threads:
   writes must not leak connections. */
static void
test_many_edits (void **state)
{
  json_t *rules;

  (void) state;
  for (int i = 0; i < 150; i++)
    {
      char text[128];

      snprintf (text, sizeof text,
                "[{\"add\":\"limit organisation=many%d rate=1/s # Ploy\"}]", i);
      json_decref (edit (text, 200));
    }
  rules = call ("GET", RULES, authorized, NULL, 200);
  assert_int_equal (json_array_size (json_object_get (rules, "edits")), 100);
  json_decref (rules);
}

static void
test_nodes_and_status (void **state)
{
  json_t *status = call ("GET", OPERATORS "/status", authorized, NULL, 200);
  json_t *nodes = call ("GET", OPERATORS "/nodes", authorized, NULL, 200);
  json_t *self = json_array_get (nodes, 0);

  (void) state;
  assert_string_equal (member_string (status, "node"), "n1");
  assert_int_equal (json_integer_value (json_object_get (status, "usable")), 7);
  assert_string_equal (member_string (self, "node"), "n1");
  assert_int_equal (json_array_size (nodes), 2);
  assert_int_equal (json_integer_value (json_object_get (self, "version")),
                    json_integer_value (json_object_get (status, "version")));
  json_decref (status);
  json_decref (nodes);
}

static int64_t
version_of_other_node (void)
{
  json_t *nodes = call ("GET", OPERATORS "/nodes", authorized, NULL, 200);
  json_t *other = json_array_get (nodes, 1);
  int64_t version = json_integer_value (json_object_get (other, "version"));

  assert_string_equal (member_string (other, "node"), "n2");
  assert_string_equal (member_string (other, "state"), "live");
  json_decref (nodes);
  return version;
}

static void
test_edit_reaches_other_node (void **state)
{
  const struct timespec pause = {.tv_nsec = 10000000};
  int64_t version;

  (void) state;
  json_decref (
      edit ("[{\"add\":\"limit organisation=both rate=1/s # Ploy\"}]", 200));
  version = version_in_force ();
  for (int i = 0; i < 500 && version_of_other_node () < version; i++)
    nanosleep (&pause, NULL);
  assert_int_equal (version_of_other_node (), version);
}

/* eelgrassctl. */

/* Runs eelgrassctl with words up to NULL and captures stdout and stderr. */
static int
ctl_at (const char *node, const char *const *words, char **output)
{
  char *argv[ARGUMENTS_MAX + 1] = {"eelgrassctl"};
  FILE *stream;
  size_t len;
  int argc = 1;
  int result;

  setenv ("EELGRASS_NODE", node, 1);
  while (words[argc - 1])
    {
      EG_INVARIANT (argc < ARGUMENTS_MAX);
      argv[argc] = (char *) words[argc - 1];
      argc++;
    }
  stream = open_memstream (output, &len);
  result = eg_ctl_run (argc, argv, stream, stream, true);
  fclose (stream);
  return result;
}

static void
expect_columns (const char *output)
{
  struct eg_str rest = eg_str_from (output);

  while (rest.len > 0)
    {
      struct eg_str line = eg_str_cut (&rest, '\n');
      size_t columns = 0;

      for (size_t i = 0; i < line.len; i++)
        columns += ((unsigned char) line.data[i] & 0xC0) != 0x80;
      if (columns > EG_CTL_COLUMNS)
        fail_msg ("%zu columns: %.*s", columns, EG_STR_ARGS (line));
    }
}

#define CTL(expected, part, ...)                                               \
  expect_ctl (OPERATORS, expected, part,                                       \
              (const char *const[]){__VA_ARGS__, NULL})

/* Expects an exit code, a part of the output, and lines within the maximum
   width. */
static void
expect_ctl (const char *node,
            int expected,
            const char *part,
            const char *const *words)
{
  char *output = NULL;
  int result = ctl_at (node, words, &output);

  if (result != expected || !strstr (output, part))
    fail_msg ("%s %s: exit %d, output %s", words[0], words[1], result, output);
  if (strcmp (words[0], "--json") != 0)
    expect_columns (output);
  free (output);
}

static void
last_edit (char id[ID_BYTES])
{
  json_t *rules = call ("GET", RULES, authorized, NULL, 200);
  json_t *edits = json_object_get (rules, "edits");

  snprintf (id, ID_BYTES, "%s",
            member_string (json_array_get (edits, json_array_size (edits) - 1),
                           "id"));
  json_decref (rules);
}

static void
test_ctl_edits_and_undoes (void **state)
{
  char id[ID_BYTES];

  (void) state;
  setenv ("EELGRASS_TOKEN", TOKEN, 1);
  setenv ("EELGRASS_WHO", "สมชาย เวรกลางคืน", 1);
  CTL (1, "names no one", "rules", "edit", "--add", "limit organisation=o # x");
  CTL (0, "Accepted", "rules", "edit", "--add",
       "limit organisation=ctl rate=7/s # Ploy, the June rush at the counter");
  last_edit (id);
  CTL (0, "สมชาย", "rules", "history");
  CTL (0, "Ploy, the June", "rules", "blame");
  CTL (0, "rate=7/s", "rules", "show");
  CTL (0, "\"asked\":\"Ploy", "--json", "rules", "blame");
  CTL (0, "Accepted", "rules", "undo", id);
  assert_false (text_has ("organisation=ctl"));
  CTL (1, "no line", "rules", "undo", id);
  last_edit (id);
  CTL (0, "Accepted", "rules", "undo", id);
  assert_true (text_has ("organisation=ctl"));
  CTL (0, "Accepted", "rules", "edit", "--replace", "1",
       "route service=app path=/notes idempotent=no # Malee");
  assert_true (text_has ("idempotent=no"));
  assert_false (text_has ("idempotent=yes"));
  CTL (0, "Accepted", "rules", "edit", "--remove", "1");
  assert_false (text_has ("idempotent=no"));
  CTL (1, "no line", "rules", "edit", "--remove", "1000");
}

static void
test_ctl_exit_codes (void **state)
{
  (void) state;
  setenv ("EELGRASS_TOKEN", TOKEN, 1);
  setenv ("EELGRASS_WHO", "somchai", 1);
  CTL (0, "version", "status");
  CTL (0, "live", "nodes");
  CTL (0, "usable", "servers");
  CTL (0, "rules:", "watch", "--rounds", "2");
  CTL (0, "Commands", "--help");
  CTL (0, "Accepted", "drain", "10.0.0.9:80", "Malee, moves to another room");
  CTL (0, "Accepted", "drain", "10.0.0.9:80", "--off");
  CTL (1, "no rule drains", "drain", "10.0.0.9:80", "--off");
  CTL (2, "who asked", "drain", "10.0.0.9:80");
  CTL (2, "no such command", "rules", "burn");
  CTL (2, "Invalid options", "status", "--colour");
  CTL (2, "--base", "rules", "apply", "/dev/null");
  CTL (2, "--add", "rules", "edit");
  CTL (4, "Another edit came first", "rules", "apply", "/dev/null", "--base",
       "1");
  CTL (4, "in force, not 1", "rules", "edit", "--remove", "1", "--base", "1");
  expect_ctl (UNREACHABLE_NODE, 3, UNREACHABLE_NODE,
              (const char *const[]){"status", NULL});
  setenv ("EELGRASS_WHO", "", 1);
  CTL (2, "your name", "rules", "edit", "--remove", "1");
  setenv ("EELGRASS_TOKEN", "gate-8", 1);
  CTL (1, "Bearer", "status");
  setenv ("EELGRASS_TOKEN", "", 1);
  CTL (2, "token", "status");
  setenv ("EELGRASS_TOKEN", TOKEN, 1);
  expect_ctl ("", 2, "Give the node", (const char *const[]){"status", NULL});
}

/* A node that closes each connection without an answer, as if it died. */
static void *
close_three_connections (void *context)
{
  int listener = *(int *) context;
  char chunk[1024];

  for (int i = 0; i < 3; i++)
    {
      int fd = accept (listener, NULL, NULL);

      EG_INVARIANT (fd >= 0 && read (fd, chunk, sizeof chunk) > 0);
      close (fd);
    }
  return NULL;
}

static void
test_ctl_unknown_outcome (void **state)
{
  struct sockaddr_in address = {
      .sin_family = AF_INET,
      .sin_port = htons ((uint16_t) atoi (EG_TEST_PORTS "40"))};
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  pthread_t thread;

  (void) state;
  setenv ("EELGRASS_WHO", "somchai", 1);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  assert_int_equal (
      bind (listener, (struct sockaddr *) &address, sizeof address), 0);
  assert_int_equal (listen (listener, 4), 0);
  pthread_create (&thread, NULL, close_three_connections, &listener);
  expect_ctl (CLOSING_NODE, 5, "not known",
              (const char *const[]){"rules", "apply", "/dev/null", "--base",
                                    "1", NULL});
  pthread_join (thread, NULL);
  close (listener);
}

static void
test_reference_page_is_up_to_date (void **state)
{
  static const char *const words[] = {"rules", "reference", NULL};
  FILE *page = fopen (EG_SOURCE_DIR "/docs/operators/rules.md", "r");
  char committed[32768];
  char *output = NULL;
  size_t len;

  (void) state;
  assert_non_null (page);
  len = fread (committed, 1, sizeof committed - 1, page);
  committed[len] = '\0';
  fclose (page);
  assert_int_equal (ctl_at (OPERATORS, words, &output), 0);
  assert_string_equal (output, committed);
  free (output);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_token_is_needed),
      cmocka_unit_test (test_malformed_is_refused),
      cmocka_unit_test (test_all_faults_are_listed),
      cmocka_unit_test (test_limit_in_force),
      cmocka_unit_test (test_route_in_force),
      cmocka_unit_test (test_drain_in_force),
      cmocka_unit_test (test_one_of_two_editors_wins),
      cmocka_unit_test (test_repeat_of_an_edit_is_one_edit),
      cmocka_unit_test (test_store_down_refuses),
      cmocka_unit_test (test_many_edits),
      cmocka_unit_test (test_nodes_and_status),
      cmocka_unit_test (test_edit_reaches_other_node),
      cmocka_unit_test (test_ctl_edits_and_undoes),
      cmocka_unit_test (test_ctl_exit_codes),
      cmocka_unit_test (test_ctl_unknown_outcome),
      cmocka_unit_test (test_reference_page_is_up_to_date),
      cmocka_unit_test (test_silent_store_is_unknown),
  };

  return cmocka_run_group_tests (tests, set_up, tear_down);
}
