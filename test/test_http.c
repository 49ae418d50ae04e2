/* Unit tests of http/: server-sent events, JSON, and which transfers are
   reported as not sent. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "http/client.h"
#include "http/json.h"
#include "http/sse.h"

static const char sse_stream[] = "data: {\"position\":1}\n\n"
                                 ": a comment\n\n"
                                 "event: error\r\ndata: x\r\n\r\n"
                                 "data:[DONE]\n\n";

static void
on_event (void *context, const struct eg_sse_event *event)
{
  eg_buffer_printf (context, "<%.*s|%.*s>", EG_STR_ARGS (event->name),
                    EG_STR_ARGS (event->data));
}

static void
test_sse_events_split_at_any_two_positions (void **state)
{
  size_t len = sizeof sse_stream - 1;

  (void) state;
  for (size_t first = 0; first <= len; first++)
    for (size_t second = first; second <= len; second++)
      {
        struct eg_sse_parser parser = {0};
        struct eg_buffer events = {0};

        eg_sse_parser_feed (&parser, (struct eg_str){sse_stream, first},
                            on_event, &events);
        eg_sse_parser_feed (&parser,
                            (struct eg_str){sse_stream + first, second - first},
                            on_event, &events);
        eg_sse_parser_feed (&parser,
                            (struct eg_str){sse_stream + second, len - second},
                            on_event, &events);
        assert_string_equal (eg_buffer_text (&events),
                             "<|{\"position\":1}><error|x><|[DONE]>");
        eg_buffer_finish (&events);
        eg_sse_parser_finish (&parser);
      }
}

static void
test_sse_event_over_limit_is_rejected (void **state)
{
  struct eg_sse_parser parser = {0};
  struct eg_buffer events = {0};
  char bytes[4096];
  bool ok = true;

  (void) state;
  memset (bytes, 'x', sizeof bytes);
  for (size_t fed = 0; ok && fed <= EG_SSE_EVENT_MAX; fed += sizeof bytes)
    ok = eg_sse_parser_feed (&parser, (struct eg_str){bytes, sizeof bytes},
                             on_event, &events);
  assert_false (ok);
  eg_buffer_finish (&events);
  eg_sse_parser_finish (&parser);
}

static void
test_json_members_are_validated (void **state)
{
  static const struct
  {
    const char *json;
    const char *message; /* Expected in the error; NULL if valid. */
  } cases[] = {
      {"{\"name\":\"a\",\"count\":3}", NULL},
      {"{\"name\":\"a\",\"count\":-1}", "field 'count': expected an integer"},
      {"{\"name\":1}", "field 'name': expected a string"},
      {"{\"name\":\"12345678\"}", "short enough"},
      {"{\"name\":\"a\\u0000b\"}", "field 'name'"},
      {"{\"count\":1}", "field 'name' is missing"},
      {"{\"name\":\"a\",\"other\":1}", "unknown field 'other'"},
      {"{\"name\":\"a\",\"name\":\"b\"}", "duplicate"},
      {"[]", "expected a JSON object"},
      {"{", "not valid JSON: line 1"},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char name[8];
      int64_t count;
      const struct eg_json_member members[] = {
          {"name", EG_JSON_TEXT, true, name, sizeof name},
          {"count", EG_JSON_INTEGER, false, &count, 0},
      };
      struct eg_error error = {0};
      json_t *object = eg_json_parse (eg_str_from (cases[i].json), &error);
      enum eg_status status =
          object ? eg_json_read (object, members, 2, &error) : EG_INVALID;

      assert_int_equal (status, cases[i].message ? EG_INVALID : EG_OK);
      if (cases[i].message && !strstr (error.message, cases[i].message))
        fail_msg ("case %zu: %s", i, error.message);
      json_decref (object);
    }
}

static void
test_json_member_is_escaped (void **state)
{
  struct eg_buffer json = {0};

  (void) state;
  eg_buffer_append (&json, EG_STR ("{"));
  eg_json_append_member (&json, "model", "a\"b\n");
  eg_json_append_member (&json, "state", "live");
  assert_string_equal (eg_buffer_text (&json),
                       "{\"model\":\"a\\\"b\\n\",\"state\":\"live\"");
  eg_buffer_finish (&json);
}

struct transfer_result
{
  bool done;
  enum eg_http_outcome outcome;
};

static void
on_done (void *context, const struct eg_http_result *result)
{
  struct transfer_result *actual = context;

  actual->done = true;
  actual->outcome = result->outcome;
}

static void
run_transfer (const struct eg_http_request *request)
{
  struct eg_http_client *client = eg_http_client_new ();
  const struct transfer_result *result = request->context;
  struct eg_ring ring;

  assert_true (eg_ring_init (&ring, 4));
  assert_non_null (eg_http_client_start (client, request));
  while (!result->done)
    eg_http_client_run (client, &ring, 50 * EG_US_PER_MS);
  eg_http_client_free (client);
  eg_ring_finish (&ring);
}

/* A request whose send_by_us has passed connects, but sends nothing. */
static void
test_nothing_is_sent_after_send_by_time (void **state)
{
  struct sockaddr_in address = {.sin_family = AF_INET};
  socklen_t len = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  struct transfer_result result = {0};
  char address_text[32];
  char byte;
  int connection;
  const struct eg_http_request request = {
      .method = "POST",
      .address = address_text,
      .target = EG_STR ("/x"),
      .body = EG_STR ("y"),
      .connect_timeout_us = EG_US_PER_S,
      .timeout_us = 5 * EG_US_PER_S,
      .send_by_us = 1,
      .at_most_once = true,
      .on_done = on_done,
      .context = &result,
  };

  (void) state;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (listener, (struct sockaddr *) &address, len), 0);
  assert_int_equal (listen (listener, 4), 0);
  getsockname (listener, (struct sockaddr *) &address, &len);
  snprintf (address_text, sizeof address_text, "127.0.0.1:%d",
            ntohs (address.sin_port));
  run_transfer (&request);
  assert_int_equal (result.outcome, EG_HTTP_NOT_SENT);
  connection = accept (listener, NULL, NULL);
  assert_true (connection >= 0);
  assert_int_equal (read (connection, &byte, 1), 0);
  close (connection);
  close (listener);
}

static void
test_refused_connection_reports_not_sent (void **state)
{
  struct transfer_result result = {0};
  const struct eg_http_request request = {
      .method = "GET",
      .address = "127.0.0.1:1",
      .target = EG_STR ("/"),
      .connect_timeout_us = EG_US_PER_S,
      .timeout_us = 5 * EG_US_PER_S,
      .on_done = on_done,
      .context = &result,
  };

  (void) state;
  run_transfer (&request);
  assert_int_equal (result.outcome, EG_HTTP_NOT_SENT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_sse_events_split_at_any_two_positions),
      cmocka_unit_test (test_sse_event_over_limit_is_rejected),
      cmocka_unit_test (test_json_members_are_validated),
      cmocka_unit_test (test_json_member_is_escaped),
      cmocka_unit_test (test_nothing_is_sent_after_send_by_time),
      cmocka_unit_test (test_refused_connection_reports_not_sent),
  };
  int failed;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  failed = cmocka_run_group_tests (tests, NULL, NULL);
  curl_global_cleanup ();
  return failed;
}
