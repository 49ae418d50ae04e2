/* End-to-end requests through an entry VM, with faults injected into the
   stand-ins. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <pthread.h>
#include <semaphore.h>
#include <unistd.h>

#include "base/clock.h"
#include "standin/token.h"
#include "test/path_fixture.h"

#define COMPLETIONS CALLERS "/v1/completions"
#define BOOKINGS CALLERS "/services/app/bookings"
/* More than the decision thread handles before its periodic work. */
#define MESSAGES_BEFORE_STOP 1024
/* Longer than the interval of the periodic work. */
#define STALL_US (100 * EG_US_PER_MS)
/* After this time a node is ready whether or not it has polled an engine. */
#define READY_IN_ANY_CASE_US (6 * EG_US_PER_S)

static struct path_fixture fixture;
static int64_t started_us;
static const char *const organisation[] = {"X-Organisation: temple", NULL};

static int
set_up (void **state)
{
  (void) state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  path_fixture_init (&fixture);
  started_us = eg_clock_now_us ();
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
expect_refusal (const struct path_answer *answer,
                long status,
                const char *type,
                const char *ran)
{
  json_t *problem = json_loadb (answer->body.data, answer->body.len, 0, NULL);

  if (!problem || answer->status != status)
    fail_msg ("status %ld, body %s", answer->status, answer->body.data);
  assert_string_equal (json_string_value (json_object_get (problem, "type")),
                       type);
  assert_string_equal (json_string_value (json_object_get (problem, "ran")),
                       ran);
  assert_int_equal (json_integer_value (json_object_get (problem, "status")),
                    status);
  json_decref (problem);
}

static void
test_bad_input_is_refused (void **state)
{
  static const char *const none[] = {NULL};
  static const char *const bad_class[] = {"X-Organisation: o", "X-Class: gold",
                                          NULL};
  static const char *const bad_deadline[] = {"X-Organisation: o",
                                             "X-Deadline-Ms: soon", NULL};
  static const char *const bad_name[] = {"X-Organisation: a\"b", NULL};
  static const struct
  {
    const char *const *headers;
    const char *body;
    long status;
    const char *type;
  } cases[] = {
      {none, "{}", 401, "no-organisation"},
      {organisation, "{", 400, "malformed"},
      {organisation, "[]", 400, "malformed"},
      {organisation, "{\"model\":\"m\"}", 400, "malformed"},
      {organisation, "{\"model\":\"m\",\"prompt\":1}", 400, "malformed"},
      {organisation, "{\"model\":\"m\",\"prompt\":\"p\",\"x\":1}", 400,
       "malformed"},
      {organisation, "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}", 400,
       "malformed"},
      {organisation, "{\"model\":\"none\",\"prompt\":\"p\"}", 404,
       "unknown-model"},
      {bad_class, "{\"model\":\"m\",\"prompt\":\"p\"}", 400, "malformed"},
      {bad_deadline, "{\"model\":\"m\",\"prompt\":\"p\"}", 400, "malformed"},
      {bad_name, "{\"model\":\"m\",\"prompt\":\"p\"}", 400, "malformed"},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct path_answer answer;

      path_call ("POST", COMPLETIONS, cases[i].headers, cases[i].body, &answer);
      expect_refusal (&answer, cases[i].status, cases[i].type, "no");
      path_answer_finish (&answer);
    }
}

static void
test_long_body_is_refused (void **state)
{
  char *body = malloc (100001);
  struct path_answer answer;

  (void) state;
  memset (body, 'x', 100000);
  body[100000] = '\0';
  path_call ("POST", COMPLETIONS, organisation, body, &answer);
  expect_refusal (&answer, 413, "too-large", "no");
  path_answer_finish (&answer);
  free (body);
}

static void
test_long_path_is_refused (void **state)
{
  char url[3000];
  struct path_answer answer;

  (void) state;
  snprintf (url, sizeof url, "%s/services/app/%02500d", CALLERS, 0);
  path_call ("GET", url, organisation, NULL, &answer);
  expect_refusal (&answer, 413, "too-large", "no");
  path_answer_finish (&answer);
}

static void
test_broken_requests_get_an_answer (void **state)
{
  static const char *const cases[] = {
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Organisation: o\r\n"
      "Content-Length: 100\r\n\r\n{\"model\"",
      "GET\r\n\r\n",
      "POST /v1/completions HTTP/1.1\r\nno colon\r\n\r\n",
      "POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n",
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct eg_buffer answer = {0};

      path_send_raw (cases[i], true, &answer);
      if (!strstr (eg_buffer_text (&answer), " 400 "))
        fail_msg ("case %zu: %s", i, answer.data);
      eg_buffer_finish (&answer);
    }
}

/* Expects a stream of tokens 1 to count for the prompt, and its end. */
static void
expect_stream (const struct path_answer *answer,
               const char *prompt,
               int64_t count)
{
  struct eg_buffer expected = {0};

  for (int64_t i = 1; i <= count; i++)
    {
      char token[EG_TOKEN_BYTES];

      eg_token_text (eg_str_from (prompt), i, token);
      eg_buffer_printf (&expected,
                        "data: {\"position\":%d,\"token\":\"%s\"}\n\n", (int) i,
                        token);
    }
  eg_buffer_printf (&expected, "data: [DONE]\n\n");
  assert_string_equal (answer->body.data, eg_buffer_text (&expected));
  eg_buffer_finish (&expected);
}

static void
stream (const char *prompt, int64_t tokens, struct path_answer *answer)
{
  char body[256];

  snprintf (body, sizeof body,
            "{\"model\":\"m\",\"prompt\":\"%s\",\"max_tokens\":%d,"
            "\"stream\":true}",
            prompt, (int) tokens);
  path_call ("POST", COMPLETIONS, organisation, body, answer);
}

static const char *const engines[] = {EG_TEST_HOST "11", EG_TEST_HOST "12",
                                      EG_TEST_HOST "13", EG_TEST_HOST "14",
                                      EG_TEST_HOST "15", EG_TEST_HOST "16"};

#define ENGINES (sizeof engines / sizeof engines[0])

/* Checks that no stage ran a position of an attempt twice or out of order.
   Returns the number of runs recorded. */
static size_t
check_records (void)
{
  size_t seen = 0;

  for (size_t i = 0; i < ENGINES; i++)
    {
      json_t *runs = path_runs (engines[i]);
      const char *request = "";
      json_int_t attempt = 0;
      json_int_t position = 0;
      json_t *run;
      size_t index;

      json_array_foreach (runs, index, run)
      {
        const char *this_request =
            json_string_value (json_object_get (run, "request"));
        json_int_t this_attempt =
            json_integer_value (json_object_get (run, "attempt"));
        json_int_t this_position =
            json_integer_value (json_object_get (run, "position"));

        if (strcmp (request, this_request) == 0 && attempt == this_attempt)
          assert_int_equal (this_position, position + 1);
        request = this_request;
        attempt = this_attempt;
        position = this_position;
        seen++;
      }
      json_decref (runs);
    }
  return seen;
}

static void
test_stream_is_complete (void **state)
{
  struct path_answer answer;

  (void) state;
  stream ("plain", 20, &answer);
  assert_int_equal (answer.status, 200);
  expect_stream (&answer, "plain", 20);
  path_answer_finish (&answer);
  /* Each of the 20 tokens ran on two stages. */
  assert_int_equal (check_records (), 40);
}

/* Whichever stage dies or hangs, the stream has no gaps and no repeats. */
static void
test_stream_survives_each_stage (void **state)
{
  static const char *const faults[] = {
      "{\"fault\":\"die\",\"after_tokens\":7}",
      "{\"fault\":\"hang\"}",
  };

  (void) state;
  for (size_t f = 0; f < sizeof faults / sizeof faults[0]; f++)
    for (size_t i = 0; i < ENGINES; i++)
      {
        char prompt[32];
        struct path_answer answer;

        snprintf (prompt, sizeof prompt, "fault %zu at %zu", f, i);
        path_inject_fault (engines[i], faults[f]);
        stream (prompt, 30, &answer);
        if (answer.status != 200)
          fail_msg ("%s: %ld %s", prompt, answer.status, answer.body.data);
        expect_stream (&answer, prompt, 30);
        path_answer_finish (&answer);
        path_clear_faults (engines[i]);
      }
  check_records ();
}

static size_t
count_bookings (void)
{
  json_t *runs = path_runs (SERVICE);
  size_t count = 0;
  json_t *run;
  size_t index;

  json_array_foreach (runs, index, run) count +=
      strcmp (json_string_value (json_object_get (run, "path")), "/bookings")
      == 0;
  json_decref (runs);
  return count;
}

static void
test_non_idempotent_call_is_not_repeated (void **state)
{
  size_t before = count_bookings ();
  struct path_answer answer;

  (void) state;
  path_inject_fault (SERVICE, "{\"fault\":\"lose-reply\",\"count\":1}");
  path_call ("POST", BOOKINGS, organisation, "seat 4", &answer);
  expect_refusal (&answer, 503, "backend-failed", "unknown");
  path_answer_finish (&answer);
  assert_int_equal (count_bookings (), before + 1);
}

static void
test_idempotent_call_is_repeated (void **state)
{
  struct path_answer answer;

  (void) state;
  path_inject_fault (SERVICE, "{\"fault\":\"lose-reply\",\"count\":1}");
  path_call ("GET", CALLERS "/services/app/search?q=x", organisation, NULL,
             &answer);
  assert_int_equal (answer.status, 200);
  path_answer_finish (&answer);
}

static void
test_key_runs_once (void **state)
{
  static const char *const keyed[] = {"X-Organisation: temple",
                                      "Idempotency-Key: certificate-7", NULL};
  size_t before = count_bookings ();
  struct path_answer first;
  struct path_answer second;

  (void) state;
  path_inject_fault (PLATFORM, "{\"fault\":\"lose-reply\",\"count\":1}");
  path_call ("POST", BOOKINGS, keyed, "seat 5", &first);
  assert_int_equal (first.status, 200);
  path_call ("POST", BOOKINGS, keyed, "seat 5", &second);
  assert_int_equal (second.status, 200);
  assert_string_equal (first.body.data, second.body.data);
  path_answer_finish (&second);
  path_call ("POST", BOOKINGS, keyed, "seat 6", &second);
  expect_refusal (&second, 422, "key-reused", "no");
  assert_int_equal (count_bookings (), before + 1);
  path_answer_finish (&first);
  path_answer_finish (&second);
}

/* Requests a ticket and writes the header that presents it. */
static void
take_ticket (char *header, size_t capacity)
{
  struct path_answer answer;
  json_t *object;

  path_call ("POST", CALLERS "/v1/tickets", organisation, "", &answer);
  assert_int_equal (answer.status, 200);
  object = json_loadb (answer.body.data, answer.body.len, 0, NULL);
  snprintf (header, capacity, "X-Ticket: %s",
            json_string_value (json_object_get (object, "ticket")));
  json_decref (object);
  path_answer_finish (&answer);
}

static void
test_ticket_runs_once_without_the_store (void **state)
{
  char header[256];
  const char *const ticketed[] = {"X-Organisation: temple", header, NULL};
  size_t before = count_bookings ();
  struct path_answer first;
  struct path_answer second;

  (void) state;
  path_inject_fault (PLATFORM, "{\"fault\":\"down\"}");
  take_ticket (header, sizeof header);
  path_call ("POST", BOOKINGS, ticketed, "seat 9", &first);
  assert_int_equal (first.status, 200);
  path_call ("POST", BOOKINGS, ticketed, "seat 9", &second);
  assert_int_equal (second.status, 200);
  assert_string_equal (first.body.data, second.body.data);
  path_answer_finish (&second);
  path_call ("POST", BOOKINGS, ticketed, "seat 10", &second);
  expect_refusal (&second, 422, "key-reused", "no");
  path_answer_finish (&second);
  path_clear_faults (PLATFORM);
  assert_int_equal (count_bookings (), before + 1);
  path_answer_finish (&first);
}

static void
test_ticket_of_another_entry_vm (void **state)
{
  char header[256];
  const char *const ticketed[] = {"X-Organisation: temple", header, NULL};
  size_t before = count_bookings ();
  struct path_answer first;
  struct path_answer second;

  (void) state;
  take_ticket (header, sizeof header);
  path_call ("POST", OTHER_CALLERS "/services/app/bookings", ticketed,
             "seat 12", &first);
  assert_int_equal (first.status, 200);
  path_call ("POST", BOOKINGS, ticketed, "seat 12", &second);
  assert_int_equal (second.status, 200);
  assert_string_equal (first.body.data, second.body.data);
  assert_int_equal (count_bookings (), before + 1);
  path_answer_finish (&first);
  path_answer_finish (&second);
}

struct keyed_request
{
  const char *url;
  const char *const *headers;
  struct path_answer answer;
};

static void *
send_in_thread (void *context)
{
  struct keyed_request *keyed_request = context;

  path_call ("POST", keyed_request->url, keyed_request->headers, "seat 13",
             &keyed_request->answer);
  return NULL;
}

#define REQUESTS 8

static void
test_key_at_two_entry_vms_at_once (void **state)
{
  static const char *const keyed[] = {"X-Organisation: temple",
                                      "Idempotency-Key: booking-13", NULL};
  struct keyed_request requests[REQUESTS];
  pthread_t threads[REQUESTS];
  size_t before = count_bookings ();

  (void) state;
  path_inject_fault (PLATFORM, "{\"fault\":\"lose-reply\",\"count\":2}");
  for (int i = 0; i < REQUESTS; i++)
    {
      requests[i].url =
          i % 2 ? BOOKINGS : OTHER_CALLERS "/services/app/bookings";
      requests[i].headers = keyed;
      pthread_create (&threads[i], NULL, send_in_thread, &requests[i]);
    }
  for (int i = 0; i < REQUESTS; i++)
    {
      pthread_join (threads[i], NULL);
      assert_int_equal (requests[i].answer.status, 200);
      assert_string_equal (requests[i].answer.body.data,
                           requests[0].answer.body.data);
    }
  for (int i = 0; i < REQUESTS; i++)
    path_answer_finish (&requests[i].answer);
  assert_int_equal (count_bookings (), before + 1);
}

static void
test_ticket_whose_reply_is_lost (void **state)
{
  char header[256];
  const char *const ticketed[] = {"X-Organisation: temple", header, NULL};
  size_t before = count_bookings ();
  struct path_answer answer;

  (void) state;
  take_ticket (header, sizeof header);
  path_inject_fault (SERVICE, "{\"fault\":\"lose-reply\",\"count\":1}");
  for (int i = 0; i < 2; i++)
    {
      path_call ("POST", BOOKINGS, ticketed, "seat 11", &answer);
      expect_refusal (&answer, i == 0 ? 503 : 409,
                      i == 0 ? "backend-failed" : "claim-conflict", "unknown");
      path_answer_finish (&answer);
    }
  assert_int_equal (count_bookings (), before + 1);
}

static void
test_key_with_store_down (void **state)
{
  static const char *const keyed[] = {"X-Organisation: temple",
                                      "Idempotency-Key: certificate-8",
                                      "X-Deadline-Ms: 500", NULL};
  size_t before = count_bookings ();
  struct path_answer answer;

  (void) state;
  path_inject_fault (PLATFORM, "{\"fault\":\"down\"}");
  path_call ("POST", BOOKINGS, keyed, "seat 7", &answer);
  expect_refusal (&answer, 503, "store-down", "unknown");
  path_answer_finish (&answer);
  /* Idempotent requests do not need the store. */
  stream ("store down", 5, &answer);
  expect_stream (&answer, "store down", 5);
  path_answer_finish (&answer);
  path_clear_faults (PLATFORM);
  assert_int_equal (count_bookings (), before);
}

static void
test_crashing_request_is_quarantined (void **state)
{
  struct path_answer answer;

  (void) state;
  for (size_t i = 0; i < ENGINES; i++)
    path_inject_fault (engines[i],
                       "{\"fault\":\"crash-on\",\"prompt\":\"poison\"}");
  stream ("poison", 5, &answer);
  expect_refusal (&answer, 503, "quarantined", "unknown");
  path_answer_finish (&answer);
  stream ("poison", 5, &answer);
  expect_refusal (&answer, 503, "quarantined", "no");
  path_answer_finish (&answer);
  for (size_t i = 0; i < ENGINES; i++)
    path_clear_faults (engines[i]);
}

struct stall
{
  struct eg_decision *decision;
  sem_t started;
  sem_t release;
};

static void
stall_decision (void *context, const struct eg_decision_view *view)
{
  struct stall *stall = context;

  (void) view;
  sem_post (&stall->started);
  while (sem_wait (&stall->release) != 0)
    ;
}

static void *
stall_in_thread (void *context)
{
  struct stall *stall = context;

  eg_decision_query (stall->decision, stall_decision, stall);
  return NULL;
}

static void
ignore_view (void *context, const struct eg_decision_view *view)
{
  (void) context;
  (void) view;
}

/* Guards against a node that reports itself ready for the whole of a planned
   stop, because the decision thread did its periodic work between the request
   for the stop and its handling. */
static void
test_periodic_work_does_not_revoke_a_stop (void **state)
{
  struct stall stall = {.decision = fixture.other.decision};
  struct eg_call *unknown = eg_call_new (UINT64_MAX);
  pthread_t thread;

  (void) state;
  while (eg_clock_now_us () - started_us < READY_IN_ANY_CASE_US)
    usleep (STALL_US);
  sem_init (&stall.started, 0, 0);
  sem_init (&stall.release, 0, 0);
  pthread_create (&thread, NULL, stall_in_thread, &stall);
  while (sem_wait (&stall.started) != 0)
    ;
  /* The stop is not handled in the pass that follows the stall. */
  for (size_t i = 0; i < MESSAGES_BEFORE_STOP; i++)
    eg_decision_abandon (stall.decision, unknown);
  eg_decision_stop (stall.decision);
  usleep (STALL_US);
  sem_post (&stall.release);
  pthread_join (thread, NULL);
  assert_true (eg_decision_query (stall.decision, ignore_view, NULL));
  assert_false (eg_decision_is_ready (stall.decision));
  sem_destroy (&stall.started);
  sem_destroy (&stall.release);
  eg_call_unref (unknown);
}

static void *
stream_in_thread (void *context)
{
  stream ("in flight", 200, context);
  return NULL;
}

static void
count_running (void *context, const struct eg_decision_view *view)
{
  *(uint64_t *) context = eg_lifecycle_counts (view->lifecycle).running;
}

/* Must be the last test, as the node refuses all requests after it. */
static void
test_planned_stop_aborts_nothing (void **state)
{
  struct path_answer streamed;
  struct path_answer answer;
  uint64_t running = 0;
  pthread_t thread;

  (void) state;
  pthread_create (&thread, NULL, stream_in_thread, &streamed);
  while (running == 0)
    eg_decision_query (fixture.node.decision, count_running, &running);
  eg_decision_stop (fixture.node.decision);
  path_call ("GET", CALLERS "/health", NULL, NULL, &answer);
  assert_int_equal (answer.status, 503);
  path_answer_finish (&answer);
  stream ("too late", 5, &answer);
  expect_refusal (&answer, 503, "stopping", "no");
  path_answer_finish (&answer);
  pthread_join (thread, NULL);
  expect_stream (&streamed, "in flight", 200);
  path_answer_finish (&streamed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_bad_input_is_refused),
      cmocka_unit_test (test_long_body_is_refused),
      cmocka_unit_test (test_long_path_is_refused),
      cmocka_unit_test (test_broken_requests_get_an_answer),
      cmocka_unit_test (test_stream_is_complete),
      cmocka_unit_test (test_stream_survives_each_stage),
      cmocka_unit_test (test_non_idempotent_call_is_not_repeated),
      cmocka_unit_test (test_idempotent_call_is_repeated),
      cmocka_unit_test (test_key_runs_once),
      cmocka_unit_test (test_ticket_runs_once_without_the_store),
      cmocka_unit_test (test_ticket_of_another_entry_vm),
      cmocka_unit_test (test_key_at_two_entry_vms_at_once),
      cmocka_unit_test (test_ticket_whose_reply_is_lost),
      cmocka_unit_test (test_key_with_store_down),
      cmocka_unit_test (test_crashing_request_is_quarantined),
      cmocka_unit_test (test_periodic_work_does_not_revoke_a_stop),
      cmocka_unit_test (test_planned_stop_aborts_nothing),
  };

  return cmocka_run_group_tests (tests, set_up, tear_down);
}
