/* Tests of the HTTP client in net/exchange.c against servers that send
   truncated, malformed or unexpected responses over real sockets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
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
/* Time limit for an exchange. */
#define TEST_TIMEOUT_US (5 * EG_US_PER_S)
#define TICK_MS 100
/* More than the kernel takes for a connection that is not read. */
#define LONG_BODY_BYTES ((size_t) 32 << 20)
/* Delay before reading, so that data and the reset both arrive first. */
#define RESET_DELAY_US 100000

/** How a test server ends a connection after its response. */
enum close_mode
{
  CLOSE_NORMALLY,
  CLOSE_WITH_RESET,
  KEEP_OPEN,
};

/** A server that sends the same response on each connection. */
struct test_server
{
  int listener;
  struct eg_endpoint endpoint;
  const char *response;
  const char *repeated; /**< Sent after it until the client closes; or NULL. */
  enum close_mode close_mode;
  size_t request_bytes; /**< Read before the response; 0: any. */
  uint64_t request_sum; /**< Of their values, each with its position. */
  pthread_t thread;
  int open_connections[8];
  int open_count;
};

static void
serve_connection (struct test_server *self, int connection)
{
  const struct linger reset_on_close = {1, 0};
  char request[1024];

  size_t received = 0;

  do
    {
      ssize_t len = recv (connection, request, sizeof request, 0);

      if (len <= 0)
        {
          close (connection);
          return;
        }
      for (ssize_t i = 0; i < len; i++)
        self->request_sum +=
            (received + (size_t) i) * (unsigned char) request[i];
      received += (size_t) len;
    }
  while (received < self->request_bytes);
  send (connection, self->response, strlen (self->response), MSG_NOSIGNAL);
  while (self->repeated
         && send (connection, self->repeated, strlen (self->repeated),
                  MSG_NOSIGNAL)
                > 0)
    ;
  if (self->close_mode == KEEP_OPEN)
    {
      self->open_connections[self->open_count++] = connection;
      return;
    }
  if (self->close_mode == CLOSE_WITH_RESET)
    setsockopt (connection, SOL_SOCKET, SO_LINGER, &reset_on_close,
                sizeof reset_on_close);
  close (connection);
}

static void *
serve (void *context)
{
  struct test_server *self = context;

  for (;;)
    {
      int connection = accept (self->listener, NULL, NULL);

      if (connection < 0)
        return NULL;
      serve_connection (self, connection);
    }
}

static void
server_init (struct test_server *self,
             const char *response,
             enum close_mode close_mode)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  socklen_t len = sizeof address;

  memset (self, 0, sizeof *self);
  self->response = response;
  self->close_mode = close_mode;
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
server_finish (struct test_server *self)
{
  shutdown (self->listener, SHUT_RDWR);
  pthread_join (self->thread, NULL);
  close (self->listener);
  for (int i = 0; i < self->open_count; i++)
    close (self->open_connections[i]);
}

/** Result of an exchange. */
struct result
{
  struct eg_exchange *paused_by_body; /**< Paused when its body arrives. */
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
  struct result *result = context;

  eg_buffer_append (&result->body, bytes);
  if (result->paused_by_body)
    eg_exchange_set_paused (result->paused_by_body, true);
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

/** An HTTP client and its event loop. */
struct client
{
  uv_loop_t loop;
  uv_timer_t tick; /**< Lets a loop that waits see its deadline. */
  struct eg_exchange_pool pool;
};

static void
on_tick (uv_timer_t *timer)
{
  (void) timer;
}

static void
client_init (struct client *self)
{
  assert_int_equal (uv_loop_init (&self->loop), 0);
  uv_timer_init (&self->loop, &self->tick);
  uv_timer_start (&self->tick, on_tick, TICK_MS, TICK_MS);
  eg_exchange_pool_init (&self->pool, &self->loop, EG_US_PER_S);
}

static void
client_finish (struct client *self)
{
  eg_exchange_pool_finish (&self->pool);
  uv_close ((uv_handle_t *) &self->tick, NULL);
  uv_run (&self->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&self->loop), 0);
}

static void
run_exchange (struct client *client,
              struct eg_endpoint endpoint,
              struct result *result)
{
  struct eg_exchange_request request = {.endpoint = endpoint,
                                        .head = EG_STR (REQUEST)};
  int64_t deadline_us = eg_clock_now_us () + TEST_TIMEOUT_US;
  struct eg_exchange exchange;

  memset (result, 0, sizeof *result);
  eg_exchange_init (&exchange, &events, result);
  assert_true (eg_exchange_start (&exchange, &client->pool, &request));
  while (!eg_exchange_is_connected (&exchange) && !result->failed
         && eg_clock_now_us () < deadline_us)
    uv_run (&client->loop, UV_RUN_ONCE);
  usleep (RESET_DELAY_US);
  while (!result->done && !result->failed && eg_clock_now_us () < deadline_us)
    uv_run (&client->loop, UV_RUN_ONCE);
  assert_true (result->done || result->failed);
}

/* Sends a request with a body that is not copied. */
static void
run_long_request (struct client *client,
                  struct eg_endpoint endpoint,
                  struct eg_str body,
                  struct result *result)
{
  struct eg_exchange_request request = {.endpoint = endpoint,
                                        .head = EG_STR (REQUEST),
                                        .body = body,
                                        .body_is_held = true};
  int64_t deadline_us = eg_clock_now_us () + TEST_TIMEOUT_US;
  struct eg_exchange exchange;

  memset (result, 0, sizeof *result);
  eg_exchange_init (&exchange, &events, result);
  assert_true (eg_exchange_start (&exchange, &client->pool, &request));
  while (!result->done && !result->failed && eg_clock_now_us () < deadline_us)
    uv_run (&client->loop, UV_RUN_ONCE);
  assert_true (result->done);
}

static char *
make_long_body (void)
{
  char *body = malloc (LONG_BODY_BYTES);

  assert_non_null (body);
  for (size_t i = 0; i < LONG_BODY_BYTES; i++)
    body[i] = (char) (i * 31 >> 5);
  return body;
}

/* Guards against a body that is sent in pieces and loses or repeats one. */
static void
test_long_body_is_sent_whole (void **state)
{
  char *body = make_long_body ();
  uint64_t sum = 0;
  struct client client;
  struct test_server server;
  struct result result;

  (void) state;
  client_init (&client);
  server_init (&server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
               KEEP_OPEN);
  server.request_bytes = strlen (REQUEST) + LONG_BODY_BYTES;
  for (size_t i = 0; i < strlen (REQUEST); i++)
    sum += i * (unsigned char) REQUEST[i];
  for (size_t i = 0; i < LONG_BODY_BYTES; i++)
    sum += (strlen (REQUEST) + i) * (unsigned char) body[i];
  run_long_request (&client, server.endpoint,
                    (struct eg_str){body, LONG_BODY_BYTES}, &result);
  assert_int_equal (server.request_sum, sum);
  client_finish (&client);
  server_finish (&server);
  free (body);
}

/* Guards against the next request on a connection whose server has answered
 * without reading the body, and against sending a body that was freed. */
static void
test_connection_with_an_unsent_body_is_not_reused (void **state)
{
  char *body = make_long_body ();
  struct client client;
  struct test_server server;
  struct result result;

  (void) state;
  client_init (&client);
  server_init (&server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
               KEEP_OPEN);
  run_long_request (&client, server.endpoint,
                    (struct eg_str){body, LONG_BODY_BYTES}, &result);
  free (body);
  run_exchange (&client, server.endpoint, &result);
  assert_true (result.done);
  assert_int_equal (client.pool.opened, 2);
  client_finish (&client);
  server_finish (&server);
}

static void
request_from_server (const char *response,
                     enum close_mode close_mode,
                     struct result *result)
{
  struct client client;
  struct test_server server;

  client_init (&client);
  server_init (&server, response, close_mode);
  run_exchange (&client, server.endpoint, result);
  client_finish (&client);
  server_finish (&server);
}

static void
test_response_ended_by_close (void **state)
{
  struct result result;

  (void) state;
  request_from_server ("HTTP/1.1 200 OK\r\n\r\nwhole", CLOSE_NORMALLY, &result);
  assert_true (result.done);
  assert_string_equal (eg_buffer_text (&result.body), "whole");
  eg_buffer_finish (&result.body);
}

/* libuv reports EOF instead of the reset when data arrived before it. The
   client must not take the truncated body for a complete one. */
static void
test_reset_does_not_complete_response (void **state)
{
  struct result result;

  (void) state;
  request_from_server ("HTTP/1.1 200 OK\r\n\r\nhalf", CLOSE_WITH_RESET,
                       &result);
  assert_true (result.failed);
  assert_int_equal (result.fault, EG_EXCHANGE_BROKEN);
  eg_buffer_finish (&result.body);
}

static void
test_truncated_responses (void **state)
{
  static const char *const responses[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      "HTTP/1.1 200 OK\r\nContent-Len",
  };

  (void) state;
  for (size_t i = 0; i < sizeof responses / sizeof responses[0]; i++)
    {
      struct result result;

      request_from_server (responses[i], CLOSE_NORMALLY, &result);
      assert_true (result.failed);
      assert_int_equal (result.fault, EG_EXCHANGE_BROKEN);
      eg_buffer_finish (&result.body);
    }
}

static void
test_response_is_not_http (void **state)
{
  struct result result;

  (void) state;
  request_from_server ("\x01\x02garbage\r\n\r\n", KEEP_OPEN, &result);
  assert_true (result.failed);
  assert_int_equal (result.fault, EG_EXCHANGE_MALFORMED);
  eg_buffer_finish (&result.body);
}

static void
test_response_to_other_request_is_skipped (void **state)
{
  struct result result;

  (void) state;
  request_from_server (
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother"
      "HTTP/1.1 201 OK\r\nContent-Length: 3\r\n\r\nour",
      KEEP_OPEN, &result);
  assert_true (result.done);
  assert_int_equal (result.status, 201);
  assert_string_equal (eg_buffer_text (&result.body), "our");
  eg_buffer_finish (&result.body);
}

static void
test_extra_bytes_close_connection (void **state)
{
  struct client client;
  struct test_server server;
  struct result result;

  (void) state;
  client_init (&client);
  server_init (&server,
               "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nourHTTP/1.1 200 "
               "OK\r\nContent-Length: 1\r\n\r\nx",
               KEEP_OPEN);
  for (int i = 0; i < 2; i++)
    {
      run_exchange (&client, server.endpoint, &result);
      assert_true (result.done);
      assert_string_equal (eg_buffer_text (&result.body), "our");
      eg_buffer_finish (&result.body);
    }
  assert_int_equal (client.pool.opened, 2);
  client_finish (&client);
  server_finish (&server);
}

static void
test_paused_connection_is_not_reused (void **state)
{
  struct client client;
  struct test_server server;
  struct eg_exchange exchange;
  struct eg_exchange_request request = {.head = EG_STR (REQUEST)};
  struct result first = {.paused_by_body = &exchange};
  struct result second;

  (void) state;
  client_init (&client);
  server_init (&server, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nour",
               KEEP_OPEN);
  request.endpoint = server.endpoint;
  eg_exchange_init (&exchange, &events, &first);
  assert_true (eg_exchange_start (&exchange, &client.pool, &request));
  while (!first.done && !first.failed)
    uv_run (&client.loop, UV_RUN_ONCE);
  assert_true (first.done);
  run_exchange (&client, server.endpoint, &second);
  assert_true (second.done);
  assert_int_equal (client.pool.opened, 2);
  eg_buffer_finish (&first.body);
  eg_buffer_finish (&second.body);
  client_finish (&client);
  server_finish (&server);
}

/* Returns whether a connection is kept for reuse after a response. */
static bool
is_kept_after (const char *response)
{
  struct client client;
  struct test_server server;
  struct eg_exchange exchange;
  struct eg_exchange_request request = {.head = EG_STR (REQUEST)};
  struct result first;
  struct result second = {0};
  bool kept;

  client_init (&client);
  server_init (&server, response, KEEP_OPEN);
  run_exchange (&client, server.endpoint, &first);
  assert_true (first.done);
  request.endpoint = server.endpoint;
  eg_exchange_init (&exchange, &events, &second);
  assert_true (eg_exchange_start (&exchange, &client.pool, &request));
  kept = client.pool.reused == 1;
  eg_exchange_cancel (&exchange);
  eg_buffer_finish (&first.body);
  client_finish (&client);
  server_finish (&server);
  return kept;
}

/* Guards against the overflow of a time that a server states. */
static void
test_connection_is_kept_as_long_as_the_server_states (void **state)
{
  static const struct
  {
    const char *timeout;
    bool kept;
  } cases[] = {
      {"99999999999999999", true},
      {"9223372036854775807", true},
      {"9223372036854776", true},
      {"60", true},
      {"9999999999999999999999", true},
      {"1", false},
      {"0", false},
      {"-1", false},
      {"-9223372036854775808", false},
      {"-9223372036854776", false},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char response[160];

      snprintf (response, sizeof response,
                "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%s, max=9\r\n"
                "Content-Length: 0\r\n\r\n",
                cases[i].timeout);
      assert_int_equal (is_kept_after (response), cases[i].kept);
    }
}

/* Asserts that an exchange fails for what a server sends; @p repeated as in
 * struct test_server. */
static void
assert_malformed (const char *response,
                  const char *repeated,
                  enum close_mode close_mode)
{
  struct client client;
  struct test_server server;
  struct result result;

  client_init (&client);
  server_init (&server, response, close_mode);
  server.repeated = repeated;
  run_exchange (&client, server.endpoint, &result);
  assert_true (result.failed);
  assert_int_equal (result.fault, EG_EXCHANGE_MALFORMED);
  eg_buffer_finish (&result.body);
  client_finish (&client);
  server_finish (&server);
}

static void
test_bytes_without_end_that_are_no_response_fail_the_exchange (void **state)
{
  static const struct
  {
    const char *response;
    const char *repeated;
  } cases[] = {
      {"HTTP/1.1 200 ", "aaaaaaaa"},
      {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
      {"HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "aaaaaaaa"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-A: b\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "aaaaaaaa"},
      {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nbody"},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    assert_malformed (cases[i].response, cases[i].repeated, CLOSE_NORMALLY);
}

/* A head with a status that is none is not taken for an interim response, after
 * which another one would be waited for. */
static void
test_status_that_is_none_fails_the_exchange (void **state)
{
  static const char *const statuses[] = {"000 X", "099 X", "20 X", "101 X",
                                         "600 X", "999 X", "000",  "099"};

  (void) state;
  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    {
      char response[96];

      snprintf (response, sizeof response,
                "HTTP/1.1 %s\r\nContent-Length: 4\r\n\r\nbody", statuses[i]);
      assert_malformed (response, NULL, KEEP_OPEN);
    }
}

static void
test_interim_responses_are_skipped (void **state)
{
  struct client client;
  struct test_server server;
  struct result result;

  (void) state;
  client_init (&client);
  server_init (&server,
               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n"
               "Link: x\r\n\r\nHTTP/1.1 199 X\r\n\r\n"
               "HTTP/1.1 599 X\r\nContent-Length: 4\r\n\r\nbody",
               KEEP_OPEN);
  run_exchange (&client, server.endpoint, &result);
  assert_true (result.done);
  assert_int_equal (result.body.len, 4);
  eg_buffer_finish (&result.body);
  client_finish (&client);
  server_finish (&server);
}

static void
test_refused_connection (void **state)
{
  struct client client;
  struct test_server server;
  struct result result;

  (void) state;
  client_init (&client);
  server_init (&server, "", KEEP_OPEN);
  server_finish (&server);
  run_exchange (&client, server.endpoint, &result);
  assert_true (result.failed);
  assert_int_equal (result.fault, EG_EXCHANGE_UNREACHABLE);
  client_finish (&client);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_long_body_is_sent_whole),
      cmocka_unit_test (test_connection_with_an_unsent_body_is_not_reused),
      cmocka_unit_test (test_response_ended_by_close),
      cmocka_unit_test (test_reset_does_not_complete_response),
      cmocka_unit_test (test_truncated_responses),
      cmocka_unit_test (test_response_is_not_http),
      cmocka_unit_test (test_response_to_other_request_is_skipped),
      cmocka_unit_test (test_extra_bytes_close_connection),
      cmocka_unit_test (test_paused_connection_is_not_reused),
      cmocka_unit_test (test_connection_is_kept_as_long_as_the_server_states),
      cmocka_unit_test (
          test_bytes_without_end_that_are_no_response_fail_the_exchange),
      cmocka_unit_test (test_status_that_is_none_fails_the_exchange),
      cmocka_unit_test (test_interim_responses_are_skipped),
      cmocka_unit_test (test_refused_connection),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
