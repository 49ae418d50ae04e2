/* Tests of the HTTP client against servers that misbehave on real sockets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/exchange.h"

#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
/* Longest that a test waits for its event. */
#define TEST_TIMEOUT_US (5 * EG_US_PER_S)
/* Time for bytes and a reset to lie in the socket before they are read. */
#define SETTLE_US 100000

/** How a scripted server ends. */
enum ending
{
  END_IN_ORDER,
  END_WITH_RESET,
  STAY_OPEN,
};

/** A server that answers each connection with the same bytes. */
struct script
{
  int listener;
  struct eg_endpoint endpoint;
  const char *answer;
  enum ending ending;
  pthread_t thread;
  int kept[8];
  int kept_count;
};

static void
answer_one (struct script *self, int connection)
{
  const struct linger at_once = {1, 0};
  char request[1024];

  if (recv (connection, request, sizeof request, 0) <= 0)
    {
      close (connection);
      return;
    }
  send (connection, self->answer, strlen (self->answer), MSG_NOSIGNAL);
  if (self->ending == STAY_OPEN)
    {
      self->kept[self->kept_count++] = connection;
      return;
    }
  if (self->ending == END_WITH_RESET)
    setsockopt (connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (connection);
}

static void *
serve (void *context)
{
  struct script *self = context;

  for (;;)
    {
      int connection = accept (self->listener, NULL, NULL);

      if (connection < 0)
        return NULL;
      answer_one (self, connection);
    }
}

static void
script_init (struct script *self, const char *answer, enum ending ending)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  socklen_t len = sizeof address;

  memset (self, 0, sizeof *self);
  self->answer = answer;
  self->ending = ending;
  self->listener = socket (AF_INET, SOCK_STREAM, 0);
  assert_true (self->listener >= 0);
  assert_int_equal (
      bind (self->listener, (struct sockaddr *) &address, sizeof address), 0);
  assert_int_equal (listen (self->listener, 8), 0);
  getsockname (self->listener, (struct sockaddr *) &address, &len);
  self->endpoint =
      (struct eg_endpoint){address.sin_addr.s_addr, address.sin_port};
  pthread_create (&self->thread, NULL, serve, self);
}

static void
script_finish (struct script *self)
{
  shutdown (self->listener, SHUT_RDWR);
  pthread_join (self->thread, NULL);
  close (self->listener);
  for (int i = 0; i < self->kept_count; i++)
    close (self->kept[i]);
}

/** What one exchange came to. */
struct result
{
  bool done;
  bool failed;
  enum eg_exchange_fault fault;
  unsigned status;
  struct eg_buffer body;
};

static enum eg_exchange_verdict
on_head (void *context, const struct eg_http_head *head)
{
  struct result *result = context;

  if (eg_str_equal (eg_http_head_find (head, "x-id"), EG_STR ("other")))
    return EG_EXCHANGE_SKIP;
  result->status = head->status;
  return EG_EXCHANGE_ACCEPT;
}

static void
on_body (void *context, struct eg_str bytes)
{
  eg_buffer_append (&((struct result *) context)->body, bytes);
}

static void
on_done (void *context)
{
  ((struct result *) context)->done = true;
}

static void
on_failed (void *context, enum eg_exchange_fault fault)
{
  ((struct result *) context)->failed = true;
  ((struct result *) context)->fault = fault;
}

static const struct eg_exchange_events events = {on_head, on_body, on_done,
                                                 on_failed};

/** A client and its loop. */
struct client
{
  uv_loop_t loop;
  struct eg_exchange_pool pool;
};

static void
client_init (struct client *self)
{
  assert_int_equal (uv_loop_init (&self->loop), 0);
  eg_exchange_pool_init (&self->pool, &self->loop, EG_US_PER_S);
}

static void
client_finish (struct client *self)
{
  eg_exchange_pool_finish (&self->pool);
  uv_run (&self->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&self->loop), 0);
}

static void
ask (struct client *client, struct eg_endpoint endpoint, struct result *result)
{
  struct eg_exchange_request request = {.endpoint = endpoint,
                                        .head = EG_STR (REQUEST)};
  int64_t limit_us = eg_clock_now_us () + TEST_TIMEOUT_US;
  struct eg_exchange exchange;

  memset (result, 0, sizeof *result);
  eg_exchange_init (&exchange, &events, result);
  assert_true (eg_exchange_start (&exchange, &client->pool, &request));
  while (!eg_exchange_is_connected (&exchange) && !result->failed
         && eg_clock_now_us () < limit_us)
    uv_run (&client->loop, UV_RUN_ONCE);
  usleep (SETTLE_US);
  while (!result->done && !result->failed && eg_clock_now_us () < limit_us)
    uv_run (&client->loop, UV_RUN_ONCE);
  assert_true (result->done || result->failed);
}

static void
ask_script (const char *answer, enum ending ending, struct result *result)
{
  struct client client;
  struct script script;

  client_init (&client);
  script_init (&script, answer, ending);
  ask (&client, script.endpoint, result);
  client_finish (&client);
  script_finish (&script);
}

static void
test_answer_without_length (void **state)
{
  struct result result;

  (void) state;
  ask_script ("HTTP/1.1 200 OK\r\n\r\nwhole", END_IN_ORDER, &result);
  assert_true (result.done);
  assert_string_equal (eg_buffer_text (&result.body), "whole");
  eg_buffer_finish (&result.body);
}

/* The loop's library told such a reset as an end in order. */
static void
test_reset_is_no_end (void **state)
{
  struct result result;

  (void) state;
  ask_script ("HTTP/1.1 200 OK\r\n\r\nhalf", END_WITH_RESET, &result);
  assert_true (result.failed);
  assert_int_equal (result.fault, EG_EXCHANGE_BROKEN);
  eg_buffer_finish (&result.body);
}

static void
test_cut_answers (void **state)
{
  static const char *const answers[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      "HTTP/1.1 200 OK\r\nContent-Len",
  };

  (void) state;
  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    {
      struct result result;

      ask_script (answers[i], END_IN_ORDER, &result);
      assert_true (result.failed);
      assert_int_equal (result.fault, EG_EXCHANGE_BROKEN);
      eg_buffer_finish (&result.body);
    }
}

static void
test_no_http (void **state)
{
  struct result result;

  (void) state;
  ask_script ("\x01\x02garbage\r\n\r\n", STAY_OPEN, &result);
  assert_true (result.failed);
  assert_int_equal (result.fault, EG_EXCHANGE_MALFORMED);
  eg_buffer_finish (&result.body);
}

static void
test_foreign_answer_is_passed_over (void **state)
{
  struct result result;

  (void) state;
  ask_script ("HTTP/1.1 100 Continue\r\n\r\n"
              "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother"
              "HTTP/1.1 201 OK\r\nContent-Length: 3\r\n\r\nour",
              STAY_OPEN, &result);
  assert_true (result.done);
  assert_int_equal (result.status, 201);
  assert_string_equal (eg_buffer_text (&result.body), "our");
  eg_buffer_finish (&result.body);
}

static void
test_extra_bytes_end_a_connection (void **state)
{
  struct client client;
  struct script script;
  struct result result;

  (void) state;
  client_init (&client);
  script_init (&script,
               "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nourHTTP/1.1 200 "
               "OK\r\nContent-Length: 1\r\n\r\nx",
               STAY_OPEN);
  for (int i = 0; i < 2; i++)
    {
      ask (&client, script.endpoint, &result);
      assert_true (result.done);
      assert_string_equal (eg_buffer_text (&result.body), "our");
      eg_buffer_finish (&result.body);
    }
  assert_int_equal (client.pool.opened, 2);
  client_finish (&client);
  script_finish (&script);
}

static void
test_refused_connection (void **state)
{
  struct client client;
  struct script script;
  struct result result;

  (void) state;
  client_init (&client);
  script_init (&script, "", STAY_OPEN);
  script_finish (&script);
  ask (&client, script.endpoint, &result);
  assert_true (result.failed);
  assert_int_equal (result.fault, EG_EXCHANGE_UNREACHABLE);
  client_finish (&client);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_answer_without_length),
      cmocka_unit_test (test_reset_is_no_end),
      cmocka_unit_test (test_cut_answers),
      cmocka_unit_test (test_no_http),
      cmocka_unit_test (test_foreign_answer_is_passed_over),
      cmocka_unit_test (test_extra_bytes_end_a_connection),
      cmocka_unit_test (test_refused_connection),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
