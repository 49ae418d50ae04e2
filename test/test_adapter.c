/* Tests of the platform adapter: headers, configuration, server records,
 * reports, orders and the mirror. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/hash.h"
#include "net/content_coding.h"
#include "net/http_reader.h"
#include "platform/configuration.h"
#include "platform/headers.h"
#include "platform/mirror.h"
#include "platform/store.h"
#include "platform/servers.h"
#include "policy/server_room.h"

#define READER_HEAD_MAX ((size_t) 16384)

static void
ignore_head (void *context)
{
  (void) context;
}

static void
ignore_body (void *context, struct eg_str bytes)
{
  (void) context;
  (void) bytes;
}

static const struct eg_http_reader_events events = {ignore_head, ignore_body};

static void
read_head (struct eg_http_reader *reader,
           enum eg_http_kind kind,
           const char *text)
{
  eg_http_reader_init (reader, kind, 16384, &events, NULL);
  eg_http_reader_feed (reader, eg_str_from (text));
  assert_int_equal (reader->fault, EG_HTTP_NO_FAULT);
}

static void
test_request_is_forwarded (void **state)
{
  const struct eg_forward_headers headers = {
      .timeout_ms = 900,
      .server_id = EG_STR ("i-1"),
      .organisation = EG_STR ("temple"),
      .path = EG_STR ("10.0.0.1:80=0-80"),
      .last_event_id = EG_STR ("7"),
      .priority = 3,
      .has_priority = true,
  };
  struct eg_buffer out = {0};
  struct eg_http_reader reader;
  const char *text;

  (void) state;
  read_head (&reader, EG_HTTP_REQUEST,
             "GET /a/b?c=%20 HTTP/1.1\r\nHost: h.example\r\n"
             "X-Attempt-Id: 17\r\nX-Deadline-Ms: 1000\r\nApi-Key: secret\r\n"
             "x-tenant: forged\r\nX-Expect-Instance: forged\r\n"
             "Connection: X-Drop\r\nX-Drop: 1\r\nX-Keep: 2\r\n"
             "X-Model: m\r\nX-Token-Usage: 12,34\r\n\r\n");
  eg_request_write_forwarded (&out, &reader.head, &headers);
  text = eg_buffer_text (&out);
  assert_ptr_equal (strstr (text, "GET /a/b?c=%20 HTTP/1.1\r\n"), text);
  assert_non_null (strstr (text, "X-Attempt-Id: 17\r\n"));
  assert_non_null (strstr (text, "X-Deadline-Ms: 900\r\n"));
  assert_non_null (strstr (text, "X-Tenant: temple\r\n"));
  assert_non_null (strstr (text, "X-Expect-Instance: i-1\r\n"));
  assert_non_null (strstr (text, "Last-Event-Id: 7\r\n"));
  assert_non_null (strstr (text, "X-Keep: 2\r\n"));
  assert_null (strstr (text, "secret"));
  assert_null (strstr (text, "forged"));
  assert_null (strstr (text, "X-Drop"));
  eg_buffer_finish (&out);
  eg_http_reader_finish (&reader);
}

static void
test_request_through_a_peer_is_read_as_written (void **state)
{
  const struct eg_hop_headers headers = {.timeout_ms = 900,
                                         .last_event_id = EG_STR ("7"),
                                         .servers_max = 2,
                                         .configuration = 41,
                                         .is_credited = true,
                                         .lent_server = EG_STR ("i-1,2")};
  struct eg_buffer out = {0};
  struct eg_http_reader reader;
  struct eg_http_reader sent;
  struct eg_hop_headers hop;

  (void) state;
  read_head (&reader, EG_HTTP_REQUEST,
             "GET /a/ HTTP/1.1\r\nHost: h.example\r\nApi-Key: secret\r\n"
             "Eelgrasswood-Hop: 9,9,1,forged\r\n\r\n");
  eg_request_write_hop (&out, &reader.head, &headers);
  read_head (&sent, EG_HTTP_REQUEST, eg_buffer_text (&out));
  assert_true (eg_request_hop_decode (&sent.head, &hop));
  assert_int_equal (hop.servers_max, 2);
  assert_int_equal (hop.configuration, 41);
  assert_true (hop.is_credited);
  assert_true (eg_str_equal (hop.lent_server, EG_STR ("i-1,2")));
  assert_true (eg_str_equal (eg_http_head_find (&sent.head, "api-key"),
                             EG_STR ("secret")));
  eg_buffer_finish (&out);
  eg_http_reader_finish (&reader);
  eg_http_reader_finish (&sent);
}

static void
test_request_headers (void **state)
{
  struct eg_request_headers headers;
  struct eg_http_reader reader;
  uint64_t part;

  (void) state;
  read_head (&reader, EG_HTTP_REQUEST,
             "GET / HTTP/1.1\r\nHost: h.example:8080\r\nX-Attempt-Id: 17\r\n"
             "X-Deadline-Ms: 20000\r\nX-Token-Usage: 1460,80\r\n"
             "X-Prefix-Hash: 5c1e07a2:800, 91BD3f06:410 ,x:1,e4402b7d:250\r\n"
             "Api-Key: a\r\nApi-Key: b\r\n\r\n");
  eg_request_headers_decode (&headers, &reader.head);
  assert_true (eg_prompt_parts_next (&headers.parts, &part));
  assert_int_equal (part, 0x5c1e07a2);
  assert_true (eg_prompt_parts_next (&headers.parts, &part));
  assert_int_equal (part, 0x91bd3f06);
  assert_true (eg_prompt_parts_next (&headers.parts, &part));
  assert_int_equal (part, eg_hash_str (EG_STR ("x")));
  assert_false (eg_prompt_parts_next (&headers.parts, &part));
  assert_true (eg_str_equal (headers.host, EG_STR ("h.example")));
  assert_int_equal (headers.timeout_us, 20000000);
  assert_int_equal (headers.prompt_tokens, 1460);
  assert_int_equal (headers.answer_tokens_max, 80);
  assert_true (headers.key_repeated);
  eg_http_reader_finish (&reader);
}

static void
test_response_headers (void **state)
{
  struct eg_response_headers headers;
  struct eg_http_reader reader;

  (void) state;
  read_head (&reader, EG_HTTP_RESPONSE,
             "HTTP/1.1 503 No\r\nX-Attempt-Id: 17\r\nX-Not-Executed: 1\r\n"
             "At-Server: 10.2.64.3:8080\r\nX-Server-Load: 3,1,8\r\n"
             "Content-Length: 0\r\n\r\n");
  eg_response_headers_decode (&headers, &reader.head, EG_STR ("17"));
  assert_true (headers.not_executed && headers.has_faulty_server
               && headers.has_load);
  assert_false (headers.request_id_mismatch || headers.has_signature);
  assert_int_equal (headers.running + headers.waiting + headers.slots, 12);
  eg_response_headers_decode (&headers, &reader.head, EG_STR ("18"));
  assert_true (headers.request_id_mismatch);
  eg_http_reader_finish (&reader);
}

/* Ambiguous framing allows request smuggling. */
static void
test_server_says_that_it_is_leaving (void **state)
{
  static const struct
  {
    const char *field;
    bool leaving;
  } cases[] = {
      {"Server-Leaving: 1", true},  {"server-leaving: 1 ", true},
      {"Server-Leaving: 0", false}, {"Server-Leaving: yes", false},
      {"X-Other: 1", false},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct eg_http_reader reader;
      char text[160];

      snprintf (text, sizeof text,
                "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 0\r\n\r\n",
                cases[i].field);
      read_head (&reader, EG_HTTP_RESPONSE, text);
      assert_int_equal (eg_server_notice_decode (&reader.head).leaving,
                        cases[i].leaving);
      eg_http_reader_finish (&reader);
    }
}

static struct eg_server_notice
read_limit (const char *status, const char *fields)
{
  struct eg_server_notice notice;
  struct eg_http_reader reader;
  char text[300];

  snprintf (text, sizeof text, "HTTP/1.1 %s\r\n%s\r\nContent-Length: 0\r\n\r\n",
            status, fields);
  read_head (&reader, EG_HTTP_RESPONSE, text);
  notice = eg_server_notice_decode (&reader.head);
  eg_http_reader_finish (&reader);
  return notice;
}

static void
test_limit_is_a_decimal_number_of_requests_per_second (void **state)
{
  static const struct
  {
    const char *field;
    double per_s;
  } readable[] = {{"Server-Limit: 12.5", 12.5}, {"server-limit: 3 ", 3},
                  {"Server-Limit: .5", 0.5},    {"Server-Limit: 0", 0},
                  {"Server-Limit: 0.0", 0},     {"Server-Limit: 1.", 1}};
  static const char *const unreadable[] = {
      "Server-Limit: -1",   "Server-Limit: +1",
      "Server-Limit: 1e3",  "Server-Limit: ",
      "Server-Limit: .",    "Server-Limit: nan",
      "Server-Limit: inf",  "Server-Limit: 1, 2",
      "Server-Limit: 10/s", "Server-Limit: 5\r\nServer-Limit: 6"};
  char huge[256] = "Server-Limit: ";

  (void) state;
  for (size_t i = 0; i < sizeof readable / sizeof readable[0]; i++)
    {
      struct eg_server_notice notice = read_limit ("200 OK", readable[i].field);

      assert_true (notice.has_limit);
      assert_false (notice.limit_unreadable);
      assert_float_equal (notice.limit_per_s, readable[i].per_s, 1e-9);
    }
  for (size_t i = 0; i < sizeof unreadable / sizeof unreadable[0]; i++)
    {
      struct eg_server_notice notice = read_limit ("503 No", unreadable[i]);

      assert_false (notice.has_limit);
      assert_true (notice.limit_unreadable);
    }
  memset (huge + strlen (huge), '9', 200);
  assert_true (read_limit ("200 OK", huge).limit_per_s > 1e100);
  assert_false (read_limit ("421 Other", "Server-Limit: 5").has_limit);
  assert_false (read_limit ("200 OK", "X-Other: 5").limit_unreadable);
}

static int64_t
read_pause (const char *status, const char *value)
{
  struct eg_http_reader reader;
  char text[200];
  int64_t pause_us;

  snprintf (text, sizeof text,
            "HTTP/1.1 %s\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
            status, value);
  read_head (&reader, EG_HTTP_RESPONSE, text);
  pause_us = eg_server_notice_decode (&reader.head).pause_us;
  eg_http_reader_finish (&reader);
  return pause_us;
}

static void
test_pause_is_a_decimal_number_of_seconds (void **state)
{
  static const char *const unreadable[] = {
      "",
      "-1",
      "+1",
      "1e3",
      "0x10",
      "soon",
      "1,5",
      "1.5s",
      "nan",
      ".",
      "Fri, 04 Dec 2026 08:00:00 GMT",
  };

  (void) state;
  assert_int_equal (read_pause ("503 No", "2"), 2000000);
  assert_int_equal (read_pause ("503 No", " 0.25 "), 250000);
  assert_int_equal (read_pause ("503 No", "1."), 1000000);
  assert_int_equal (read_pause ("503 No", ".5"), 500000);
  assert_int_equal (read_pause ("503 No", "0.0000001"), 0);
  assert_int_equal (read_pause ("503 No", "0"), 0);
  assert_true (read_pause ("503 No", "99999999999999999999999")
               > EG_SERVER_PAUSE_MAX_US);
  for (size_t i = 0; i < sizeof unreadable / sizeof unreadable[0]; i++)
    assert_int_equal (read_pause ("503 No", unreadable[i]), 0);
  assert_int_equal (read_pause ("200 OK", "2"), 0);
  assert_int_equal (read_pause ("429 No", "2"), 0);
}

static void
test_ambiguous_framing_is_rejected (void **state)
{
  static const char *const heads[] = {
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
      "Content-Length: 6\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
      "Content-Length: 5\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\n",
  };

  (void) state;
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      struct eg_http_reader reader;

      eg_http_reader_init (&reader, EG_HTTP_REQUEST, 16384, &events, NULL);
      eg_http_reader_feed (&reader, eg_str_from (heads[i]));
      if (reader.fault != EG_HTTP_MALFORMED)
        fail_msg ("accepted: %s", heads[i]);
      eg_http_reader_finish (&reader);
    }
}

/* Reads a request in pieces of up to @p piece bytes. */
static void
read_in_pieces (struct eg_http_reader *reader, struct eg_str text, size_t piece)
{
  eg_http_reader_init (reader, EG_HTTP_REQUEST, READER_HEAD_MAX, &events, NULL);
  while (text.len > 0 && !reader->complete && reader->fault == EG_HTTP_NO_FAULT)
    {
      size_t len = text.len < piece ? text.len : piece;

      assert_true (eg_http_reader_feed (reader, (struct eg_str){text.data, len})
                   <= len);
      text.data += len;
      text.len -= len;
    }
}

/* Guards against a limit of heads that depends on how the bytes arrive. */
static void
test_limit_of_heads_holds_for_any_split (void **state)
{
  static const size_t pieces[] = {1, 7, READER_HEAD_MAX, SIZE_MAX};

  (void) state;
  for (size_t over = 0; over < 2; over++)
    {
      struct eg_buffer text = {0};

      eg_buffer_append (&text, EG_STR ("GET / HTTP/1.1\r\nHost: "));
      while (text.len < READER_HEAD_MAX + over - strlen ("\r\n\r\n"))
        eg_buffer_append (&text, EG_STR ("h"));
      eg_buffer_append (&text, EG_STR ("\r\n\r\n"));
      for (size_t i = 0; i < sizeof pieces / sizeof pieces[0]; i++)
        {
          struct eg_http_reader reader;

          read_in_pieces (&reader, eg_buffer_view (&text), pieces[i]);
          assert_int_equal (reader.complete, over == 0);
          assert_int_equal (reader.fault, over == 0 ? EG_HTTP_NO_FAULT
                                                    : EG_HTTP_HEAD_TOO_LARGE);
          eg_http_reader_finish (&reader);
        }
      eg_buffer_finish (&text);
    }
}

/* Guards against chunk extensions that keep the parser busy without a body,
 * and against rejecting a body in the smallest chunks. */
static void
test_chunk_extensions_are_bounded (void **state)
{
  static const size_t pieces[] = {1, 1000, SIZE_MAX};
  static const char *const chunks[] = {"1;extension=000000000000000\r\na\r\n",
                                       "1\r\na\r\n"};

  (void) state;
  for (size_t kind = 0; kind < 2; kind++)
    {
      struct eg_buffer text = {0};

      eg_buffer_append (&text, EG_STR ("POST / HTTP/1.1\r\nHost: h\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"));
      for (int i = 0; i < 20000; i++)
        eg_buffer_append (&text, eg_str_from (chunks[kind]));
      eg_buffer_append (&text, EG_STR ("0\r\n\r\n"));
      for (size_t i = 0; i < sizeof pieces / sizeof pieces[0]; i++)
        {
          struct eg_http_reader reader;

          read_in_pieces (&reader, eg_buffer_view (&text), pieces[i]);
          assert_int_equal (reader.complete, kind == 1);
          assert_int_equal (reader.fault, kind == 1 ? EG_HTTP_NO_FAULT
                                                    : EG_HTTP_HEAD_TOO_LARGE);
          assert_true (reader.head.text.capacity <= 2 * READER_HEAD_MAX);
          eg_http_reader_finish (&reader);
        }
      eg_buffer_finish (&text);
    }
}

/* Guards against trailers that are taken for fields of the head, and against
 * memory for them. */
static void
test_trailers_are_not_kept (void **state)
{
  const char *text = "POST / HTTP/1.1\r\nHost: h\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
                     "Api-Key: forged\r\nX-Other: 1\r\n\r\n";
  struct eg_http_reader reader;

  (void) state;
  read_in_pieces (&reader, eg_str_from (text), 5);
  assert_true (reader.complete);
  assert_null (eg_http_head_find (&reader.head, "api-key").data);
  assert_int_equal (reader.head.field_count, 2);
  eg_http_reader_finish (&reader);
}

static void
test_pipelined_requests (void **state)
{
  const char *text = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n"
                     "Host: h\r\n\r\n";
  struct eg_http_reader reader;
  size_t taken;

  (void) state;
  eg_http_reader_init (&reader, EG_HTTP_REQUEST, 16384, &events, NULL);
  taken = eg_http_reader_feed (&reader, eg_str_from (text));
  assert_true (reader.complete);
  assert_int_equal (taken, strlen (text) / 2);
  eg_http_reader_next (&reader);
  eg_http_reader_feed (&reader, eg_str_from (text + taken));
  assert_true (reader.complete);
  assert_true (
      eg_str_equal (eg_http_head_target (&reader.head), EG_STR ("/2")));
  eg_http_reader_finish (&reader);
}

static const char configuration_text[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
    "\"pathPrefix\":\"/a/\",\"kind\":\"streaming\",\"timeoutMs\":20000,"
    "\"goalLatencyMs\":500,\"priority\":1,\"trafficSplit\":[{\"service\":"
    "\"s\",\"weight\":90}],\"maxAttempts\":2,\"public\":false,"
    "\"resumable\":true,\"new\":1}],\"services\":[{\"name\":\"s\","
    "\"healthPath\":\"/healthz\",\"maxConnections\":110,\"engine\":{"
    "\"layers\":80,\"layerMb\":1750.0,\"kvBytes\":426000,\"models\":[{"
    "\"name\":\"m\",\"loadS\":14.0}],\"kinds\":[{\"name\":\"l4\","
    "\"sizeMb\":21600.0,\"pace\":16.0,\"readFactor\":8.2}]}}],\"limits\":{"
    "\"maxHeaderBytes\":16384,\"idleTimeoutMs\":15000},\"tenants\":[{"
    "\"name\":\"t\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1}]}";

static struct eg_configuration *
decode (const char *text, struct eg_error *error)
{
  json_t *spec = json_loads (text, 0, NULL);
  struct eg_configuration *decoded =
      eg_configuration_decode (spec, NULL, error);

  json_decref (spec);
  return decoded;
}

static void
test_configuration (void **state)
{
  struct eg_error error = {0};
  struct eg_configuration *self = decode (configuration_text, &error);

  (void) state;
  assert_non_null (self);
  assert_int_equal (self->version, 7);
  assert_int_equal (self->routes[0].kind, EG_ROUTE_STREAM);
  assert_true (self->routes[0].resumable);
  assert_int_equal (self->routes[0].timeout_us, 20000000);
  assert_int_equal (self->services[0].engine.layers, 80);
  assert_int_equal (
      eg_engine_layers_max (&self->services[0].engine,
                            &self->services[0].engine.accelerators[0]),
      12);
  assert_int_equal (self->limits.idle_timeout_us, 15000000);
  assert_non_null (eg_configuration_find_key (self, EG_STR ("k2")));
  eg_configuration_unref (self);
}

/* Appends a description, with a line feed, to the text that is the context. */
static void
append_defect (void *context, const char *description)
{
  eg_buffer_printf (context, "%s\n", description);
}

static void
test_invalid_configuration_is_reported (void **state)
{
  struct eg_error error = {0};

  (void) state;
  assert_null (
      decode ("{\"version\":\"7\",\"routes\":[],\"services\":[]}", &error));
  assert_non_null (strstr (error.message, "version"));
  assert_null (decode ("{\"version\":1,\"services\":[],\"routes\":[{\"name\":"
                       "\"r1\",\"host\":7,\"pathPrefix\":\"/\",\"kind\":"
                       "\"idempotent\",\"service\":\"nowhere\"}]}",
                       &error));
  assert_non_null (strstr (error.message, "routes[0]: host"));
  assert_null (decode ("[]", &error));
}

/* Fills a configuration with as many short keys as a store object can hold. */
static json_t *
pack_many_keys (size_t count)
{
  json_t *keys = json_array ();
  char key[2 * sizeof (size_t) + 1];

  for (size_t i = 0; i < count; i++)
    {
      snprintf (key, sizeof key, "%zx", i);
      json_array_append_new (keys, json_string (key));
    }
  return keys;
}

/* Names, hosts and prefixes of more than 64 or 256 bytes, and a ninth target or
 * kind, made the whole configuration invalid. */
static void
test_names_and_lists_of_configurations_have_no_fixed_limit (void **state)
{
  static char name[400001];
  const size_t keys = 100000;
  struct eg_error error = {0};
  json_t *spec = json_loads (configuration_text, 0, NULL);
  json_t *route = json_array_get (json_object_get (spec, "routes"), 0);
  json_t *split = json_object_get (route, "trafficSplit");
  json_t *tenant = json_array_get (json_object_get (spec, "tenants"), 0);
  struct eg_configuration *self;
  struct eg_str text;

  (void) state;
  memset (name, 'x', sizeof name - 1);
  text = eg_str_from (name);
  json_object_set_new (route, "host", json_string (name));
  json_object_set_new (route, "pathPrefix", json_string (name));
  for (int i = 0; i < 5000; i++)
    json_array_append (split, json_array_get (split, 0));
  json_object_set_new (tenant, "name", json_string (name));
  json_object_set_new (tenant, "apiKeys", pack_many_keys (keys));
  self = eg_configuration_decode (spec, NULL, &error);
  json_decref (spec);
  assert_non_null (self);
  assert_ptr_equal (eg_configuration_route (self, text, text),
                    &self->routes[0]);
  assert_int_equal (self->routes[0].target_count, 5001);
  assert_int_equal (self->routes[0].weight_sum, 5001 * 90);
  assert_true (eg_str_equal (self->organisations[0].name, text));
  assert_ptr_equal (eg_configuration_find_key (self, EG_STR ("1869f")),
                    &self->organisations[0]);
  /* A replaced configuration that requests still use keeps no keys. */
  eg_configuration_ref (self);
  eg_configuration_drop_keys (self);
  assert_null (eg_configuration_find_key (self, EG_STR ("1869f")));
  eg_configuration_unref (self);
  assert_true (eg_str_equal (self->routes[0].host, text));
  eg_configuration_unref (self);
}

/* What is wrong with a configuration takes a part of it out of force, so an
 * operator needs the place, the value and the limit. A misplaced key is not
 * logged. */
static void
test_errors_of_configurations_name_place_value_and_limit (void **state)
{
  static const struct
  {
    const char *text;
    const char *message;
    size_t services; /* That are in force. */
    bool route_unusable;
  } cases[] = {
      {"{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\","
       "\"healthPath\":\"/\",\"maxConnections\":-1},{\"name\":\"t\","
       "\"healthPath\":\"/\"}]}",
       "services[0] s: maxConnections: expected a number from 0 to 10000000, "
       "found -1\n",
       1, false},
      {"{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\","
       "\"healthPath\":\"/\",\"maxConnections\":7.5}]}",
       "services[0] s: maxConnections: expected an integer from 0 to 10000000, "
       "found 7.5\n",
       0, false},
      {"{\"version\":1,\"services\":[{\"name\":\"s\",\"healthPath\":\"/\"}],"
       "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
       "\"kind\":\"idempotent\",\"trafficSplit\":[{\"service\":\"s\","
       "\"weight\":1},{\"service\":\"t\",\"weight\":1}]}]}",
       "routes[0] r trafficSplit[1]: service: expected the name of a service, "
       "found \"t\" of 1 bytes\n",
       1, false},
      {"{\"version\":1,\"services\":[{\"name\":\"s\",\"healthPath\":\"/\"}],"
       "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
       "\"kind\":\"idempotent\",\"service\":\"t\"}]}",
       "routes[0] r: service: expected the name of a service, found \"t\" of 1 "
       "bytes\n",
       1, true},
      {"{\"version\":1,\"services\":[{\"name\":\"s\",\"healthPath\":\"/\"}],"
       "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
       "\"kind\":\"polling\",\"service\":\"s\"}]}",
       "routes[0] r: kind: expected idempotent, non_idempotent or streaming, "
       "found \"polling\" of 7 bytes\n",
       1, true},
      {"{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":[{\"name\":"
       "\"t\",\"apiKeys\":\"secret\"}]}",
       "tenants[0] t: apiKeys: expected an array, found another type\n", 0,
       false},
      {"{\"version\":1,\"routes\":[],\"services\":[7]}",
       "services[0]: (document): expected a JSON object, found nothing\n", 0,
       false},
      {"{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{"
       "\"idleTimeoutMs\":-2,\"maxBodyBytes\":5}}",
       "limits: idleTimeoutMs: expected a number from 0.001 to 86400000, found "
       "-2\n",
       0, false},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct eg_buffer defects = {0};
      const struct eg_configuration_sink sink = {append_defect, &defects};
      json_t *spec = json_loads (cases[i].text, 0, NULL);
      struct eg_error error;
      struct eg_configuration *self =
          eg_configuration_decode (spec, &sink, &error);

      assert_non_null (self);
      assert_string_equal (eg_buffer_text (&defects), cases[i].message);
      assert_int_equal (self->service_count, cases[i].services);
      if (self->route_count > 0)
        assert_int_equal (self->routes[0].unusable, cases[i].route_unusable);
      eg_configuration_unref (self);
      eg_buffer_finish (&defects);
      json_decref (spec);
    }
}

/* A key that may belong to an organisation which could not be read was unknown,
 * which clients take for final. */
static void
test_keys_of_unreadable_organisations_are_undecided (void **state)
{
  static const struct
  {
    const char *tenants;
    const char *key;
    enum eg_key_ruling ruling;
  } cases[] = {
      {"[{\"name\":\"a\",\"apiKeys\":[\"k\"]}]", "k", EG_KEY_VALID},
      {"[{\"name\":\"a\",\"apiKeys\":[\"k\",7]}]", "k", EG_KEY_VALID},
      {"[{\"name\":\"a\",\"apiKeys\":[\"k\",7]}]", "other", EG_KEY_UNKNOWN},
      {"[{\"name\":7,\"apiKeys\":[\"k\"]}]", "k", EG_KEY_UNDECIDED},
      {"[{\"name\":7,\"apiKeys\":[\"k\"]}]", "other", EG_KEY_UNKNOWN},
      {"[{\"name\":\"a\"},{\"name\":\"b\",\"apiKeys\":[\"k\"]}]", "k",
       EG_KEY_VALID},
      {"[{\"name\":\"a\"}]", "other", EG_KEY_UNDECIDED},
      {"[7]", "other", EG_KEY_UNDECIDED},
      {"[7]", "", EG_KEY_UNKNOWN},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct eg_organisation *organisation;
      struct eg_error error = {0};
      struct eg_configuration *self;
      char text[256];

      snprintf (text, sizeof text,
                "{\"version\":1,\"routes\":[],\"services\":[],"
                "\"tenants\":%s}",
                cases[i].tenants);
      self = decode (text, &error);
      assert_non_null (self);
      assert_int_equal (eg_configuration_rule_on_key (
                            self, eg_str_from (cases[i].key), &organisation),
                        cases[i].ruling);
      assert_int_equal (organisation != NULL, cases[i].ruling == EG_KEY_VALID);
      eg_configuration_unref (self);
    }
}

/* With tenants that are no array all routes counted as public. */
static void
test_tenants_of_another_type_are_an_error (void **state)
{
  static const char *const values[] = {"{}", "7", "\"t\"", "false"};

  (void) state;
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      struct eg_error error = {0};
      char text[128];

      snprintf (text, sizeof text,
                "{\"version\":1,\"routes\":[],\"services\":[],"
                "\"tenants\":%s}",
                values[i]);
      assert_null (decode (text, &error));
      assert_string_equal (error.message, "configuration: tenants: expected an "
                                          "array, found another type");
    }
}

/* A time of 1000.5 ms, a mean of 812.5 tokens or a weight of 0.9 made the whole
 * configuration unusable. */
static void
test_fractions_in_configurations_are_exact (void **state)
{
  struct eg_error error = {0};
  json_t *spec = json_loads (configuration_text, 0, NULL);
  json_t *route = json_array_get (json_object_get (spec, "routes"), 0);
  json_t *service = json_array_get (json_object_get (spec, "services"), 0);
  struct eg_buffer defects = {0};
  const struct eg_configuration_sink sink = {append_defect, &defects};
  struct eg_configuration *self;

  (void) state;
  json_object_set_new (spec, "version", json_real (7));
  json_object_set_new (route, "timeoutMs", json_real (1000.5));
  json_object_set_new (route, "goalLatencyMs", json_real (0.25));
  json_object_set_new (route, "maxAttempts", json_real (3));
  json_object_set_new (route, "trafficSplit",
                       json_pack ("[{s:s, s:f}, {s:s, s:f}, {s:s, s:f}]",
                                  "service", "s", "weight", 0.9, "service", "s",
                                  "weight", 0.1, "service", "s", "weight",
                                  1e-9));
  json_object_set_new (json_object_get (service, "engine"), "usual",
                       json_pack ("{s:f}", "prompt", 812.5));
  json_object_set_new (json_object_get (spec, "limits"), "idleTimeoutMs",
                       json_real (15000.125));
  self = eg_configuration_decode (spec, &sink, &error);
  assert_int_equal (eg_configuration_read_version (spec), 7);
  json_decref (spec);
  assert_non_null (self);
  assert_int_equal (self->version, 7);
  assert_int_equal (self->routes[0].timeout_us, 1000500);
  assert_int_equal (self->routes[0].latency_goal_us, 250);
  assert_int_equal (self->routes[0].servers_max, 3);
  assert_int_equal (self->routes[0].targets[0].weight, 1000000);
  assert_int_equal (self->routes[0].targets[1].weight, 111111);
  assert_int_equal (self->routes[0].targets[2].weight, 1);
  assert_int_equal (self->services[0].engine.mean_prompt_tokens, 813);
  assert_int_equal (self->limits.idle_timeout_us, 15000125);
  assert_int_equal (defects.len, 0);
  eg_configuration_unref (self);
}

/* A number above the range of the daemon made the whole configuration unusable.
 */
static void
test_large_numbers_in_configurations_are_limited (void **state)
{
  struct eg_error error = {0};
  json_t *spec = json_loads (configuration_text, 0, NULL);
  json_t *route = json_array_get (json_object_get (spec, "routes"), 0);
  json_t *service = json_array_get (json_object_get (spec, "services"), 0);
  json_t *limits = json_object_get (spec, "limits");
  struct eg_buffer defects = {0};
  const struct eg_configuration_sink sink = {append_defect, &defects};
  struct eg_configuration *self;

  (void) state;
  json_object_set_new (route, "timeoutMs", json_real (18446744073709551615.0));
  json_object_set_new (route, "maxAttempts", json_integer (101));
  json_object_set_new (route, "priority", json_integer (1001));
  json_object_set_new (service, "maxConnections", json_integer (10000001));
  json_object_set_new (
      json_array_get (
          json_object_get (json_object_get (service, "engine"), "kinds"), 0),
      "sizeMb", json_real (1e300));
  json_object_set_new (limits, "maxBodyBytes", json_integer (1LL << 40));
  self = eg_configuration_decode (spec, &sink, &error);
  json_decref (spec);
  assert_non_null (self);
  assert_int_equal (self->routes[0].timeout_us, INT64_C (86400000000));
  assert_int_equal (self->routes[0].servers_max, 100);
  assert_int_equal (self->routes[0].priority, 1000);
  assert_int_equal (self->services[0].connections_max, 10000000);
  assert_int_equal (
      eg_engine_layers_max (&self->services[0].engine,
                            &self->services[0].engine.accelerators[0]),
      80);
  assert_int_equal (self->limits.body_bytes_max, 1 << 30);
  assert_string_equal (
      eg_buffer_text (&defects),
      "services[0] s: maxConnections: limited to 10000000, found 10000001\n"
      "services[0] s kinds[0]: sizeMb: limited to 1e+15, found 1e+300\n"
      "routes[0] r: timeoutMs: limited to 86400000, found 1.844674407e+19\n"
      "routes[0] r: maxAttempts: limited to 100, found 101\n"
      "routes[0] r: priority: limited to 1000, found 1001\n"
      "limits: maxBodyBytes: limited to 1073741824, found 1.099511628e+12\n");
  eg_buffer_finish (&defects);
  eg_configuration_unref (self);
}

static void
test_hosts_differ_in_letters_not_in_case (void **state)
{
  struct eg_error error = {0};
  struct eg_configuration *self = decode (configuration_text, &error);

  (void) state;
  assert_ptr_equal (
      eg_configuration_route (self, EG_STR ("H.Example"), EG_STR ("/a/b")),
      &self->routes[0]);
  assert_null (
      eg_configuration_route (self, EG_STR ("h.examples"), EG_STR ("/a/b")));
  eg_configuration_unref (self);
}

static bool
decode_record (const char *text, struct eg_server_record *record)
{
  json_t *object = json_loads (text, 0, NULL);
  struct eg_error error;
  bool valid;

  assert_non_null (object);
  valid = eg_server_record_decode (record, object, &error);
  json_decref (object);
  return valid;
}

static void
test_server_records (void **state)
{
  struct eg_server_record record;

  (void) state;
  assert_true (decode_record (
      "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{\"service\":\"s\","
      "\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,\"state\":"
      "\"ready\",\"sequence\":4,\"kind\":\"l4\",\"models\":[],\"layers\":{"
      "\"from\":3,\"to\":9,\"version\":1},\"born\":1781499816107}}",
      &record));
  assert_string_equal (record.id, "i-1");
  assert_int_equal (record.layers.from, 3);
  assert_int_equal (record.layers.to, 9);
  assert_false (record.draining);
  assert_true (record.has_engine);
  assert_true (eg_str_equal (record.service, EG_STR ("s")));
  assert_true (eg_str_equal (record.accelerator, EG_STR ("l4")));
  eg_server_record_finish (&record);
  /* Records from other writers may be invalid. */
  assert_false (decode_record (
      "{\"metadata\":{\"name\":\"i-2\"},\"spec\":{\"service\":\"s\","
      "\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,\"state\":"
      "\"asleep\",\"sequence\":4}}",
      &record));
  assert_false (decode_record (
      "{\"metadata\":{\"name\":\"i-2\"},\"spec\":{\"service\":\"s\","
      "\"address\":80,\"zone\":\"z\",\"slots\":6,\"state\":\"ready\","
      "\"sequence\":4}}",
      &record));
  assert_false (
      decode_record ("{\"metadata\":{\"name\":\"i-2\"},\"spec\":7}", &record));
}

static void
test_reports_and_orders (void **state)
{
  static struct eg_engine_report report;
  struct eg_buffer out = {0};
  struct eg_error error;

  (void) state;
  assert_true (eg_engine_report_decode (
      &report,
      EG_STR ("{\"busy\":false,\"sequence\":2,\"queued\":1,\"active\":12,"
              "\"kvUsed\":41000,\"kvTotal\":90000,\"stalled\":[{\"id\":\"x\","
              "\"address\":\"10.0.0.2:80\"},{\"id\":\"y\"}]}"),
      &error));
  assert_int_equal (report.orders, 2);
  assert_int_equal (report.stalled_count, 2);
  assert_true (report.stalled[0].has_faulty_server);
  assert_false (report.stalled[1].has_faulty_server);
  assert_false (eg_engine_report_decode (&report, EG_STR ("no json"), &error));
  eg_order_write_layers (&out, (struct eg_layer_range){20, 31}, 4, 0);
  assert_string_equal (eg_buffer_text (&out),
                       "{\"operation\":\"place\",\"from\":20,\"to\":31,"
                       "\"handoffMode\":\"queue\",\"expectedRevision\":4}");
  eg_buffer_clear (&out);
  eg_order_write_layers (&out, (struct eg_layer_range){0, 8}, -1, 17);
  assert_string_equal (eg_buffer_text (&out),
                       "{\"operation\":\"place\",\"from\":0,\"to\":8,"
                       "\"handoffMode\":\"queue\",\"fencingToken\":17}");
  eg_buffer_finish (&out);
}

/* Ids of stalled streams are chosen by callers: one that is not UTF-8 made the
 * whole report of an engine unreadable. */
static void
test_undecodable_stalled_stream_leaves_the_report (void **state)
{
  static struct eg_engine_report report;
  struct eg_error error;

  (void) state;
  assert_true (eg_engine_report_decode (
      &report,
      EG_STR ("{\"sequence\":2,\"layers\":{\"from\":3,\"to\":9},\"stalled\":["
              "{\"id\":\"\xff\"},{\"id\":\"\\u0000\"},7,{\"id\":\"y\"}],"
              "\"other\":1e400}"),
      &error));
  assert_int_equal (report.orders, 2);
  assert_int_equal (report.layers.to, 9);
  assert_int_equal (report.stalled_count, 1);
  assert_string_equal (report.stalled[0].request_id, "y");
  assert_int_equal (report.undecodable, 3);
}

/* A negative or missing age made the keys of a copy count as current. */
static void
test_age_of_a_mirrored_answer_is_checked (void **state)
{
  static const struct
  {
    const char *text;
    bool valid;
  } cases[] = {
      {"{\"age_us\":0}", true},     {"{\"age_us\":7}", true},
      {"{\"age_us\":-1}", false},   {"{\"age_us\":0.5}", false},
      {"{\"age_us\":\"\"}", false}, {"{}", false},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      json_t *document = json_loads (cases[i].text, 0, NULL);
      int64_t age_us;

      assert_int_equal (eg_mirror_age_us (document, &age_us), cases[i].valid);
      json_decref (document);
    }
}

/* A wait that overflows when it is converted to microseconds. */
static void
test_wait_of_a_query_is_limited (void **state)
{
  struct eg_mirror mirror;
  struct eg_mirror_query query;

  (void) state;
  eg_mirror_init (&mirror);
  eg_mirror_add (&mirror, "things");
  assert_true (eg_mirror_parse (&mirror,
                                EG_STR ("/eelgrasswood/objects/things?watch=1&"
                                        "waitMs=9223372036854775807"),
                                5, &query));
  assert_true (query.until_us > 5 && query.until_us < 3600000000);
  eg_mirror_finish (&mirror);
}

/* The name of an object decided whether the pages after it were read: a name
 * that is too long ended the list, and one with a blank broke the request. */
static void
test_paging_goes_on_after_any_name (void **state)
{
  char long_name[300];
  char after[EG_STORE_AFTER_BYTES] = "";
  char path[EG_STORE_PATH_BYTES];
  json_t *page;

  (void) state;
  memset (long_name, 'x', sizeof long_name - 1);
  long_name[sizeof long_name - 1] = '\0';
  page = json_pack ("{s:[{s:{s:s}}, {s:{s:s}}, {s:i}], s:b}", "items",
                    "metadata", "name", "a b&c=\xc3\xa9", "metadata", "name",
                    long_name, "spec", 1, "hasMore", 1);
  assert_int_equal (eg_store_page_next (page, after, sizeof after),
                    EG_PAGE_MORE);
  assert_string_equal (after, "a b&c=\xc3\xa9");
  eg_store_list_path (path, sizeof path, "servers", after, true);
  assert_string_equal (path, "servers?after=a%20b%26c%3D%C3%A9&allowStale=1");
  /* The page does not lead on: a further call would return it again. */
  assert_int_equal (eg_store_page_next (page, after, sizeof after),
                    EG_PAGE_UNREACHABLE);
  /* Nor with names before the last one: pages would come in turn for ever. */
  eg_str_copy (EG_STR ("b"), after, sizeof after);
  assert_int_equal (eg_store_page_next (page, after, sizeof after),
                    EG_PAGE_UNREACHABLE);
  json_object_set_new (page, "hasMore", json_false ());
  assert_int_equal (eg_store_page_next (page, after, sizeof after),
                    EG_PAGE_LAST);
  json_decref (page);
}

/** What a feed has reported. */
struct reported
{
  unsigned lists;
  unsigned synced;
  unsigned lost;
};

static void
count_list (void *context)
{
  ((struct reported *) context)->lists++;
}

static void
ignore_object (void *context, json_t *object, bool deleted)
{
  (void) context;
  (void) object;
  (void) deleted;
}

static void
count_synced (void *context, int64_t as_of_us, bool listed)
{
  (void) as_of_us;
  ((struct reported *) context)->synced += listed;
}

static void
count_lost (void *context, enum eg_store_outcome outcome)
{
  (void) outcome;
  ((struct reported *) context)->lost++;
}

static struct eg_store *
choose_none (void *context, struct eg_store_feed *feed)
{
  (void) context;
  (void) feed;
  return NULL;
}

static void
ignore_outcome (void *context,
                struct eg_store *store,
                enum eg_store_outcome outcome)
{
  (void) context;
  (void) store;
  (void) outcome;
}

static void
reply_to_list (struct eg_store_feed *feed, const char *text)
{
  json_t *document = json_loads (text, 0, NULL);

  assert_non_null (document);
  feed->state = EG_FEED_LISTING;
  feed->call.sink.reply (feed->call.sink.context, EG_STORE_OK, document);
  json_decref (document);
}

/* Guards against a list that counts as complete although its later pages could
 * not be asked for: servers on them were removed. */
static void
test_list_that_cannot_be_continued_is_not_complete (void **state)
{
  struct reported reported = {0};
  const struct eg_feed_events events = {.list_begins = count_list,
                                        .object = ignore_object,
                                        .synced = count_synced,
                                        .lost = count_lost,
                                        .context = &reported};
  const struct eg_feed_source source = {choose_none, ignore_outcome, NULL};
  struct eg_store store = {0};
  struct eg_mirror mirror;
  struct eg_store_feed feed;
  struct eg_random random;

  (void) state;
  eg_random_init (&random, 1);
  eg_mirror_init (&mirror);
  eg_store_feed_init (&feed, &source, eg_mirror_add (&mirror, "things"), 800, 0,
                      &random, &events);
  feed.call.store = &store;
  feed.mirror->is_direct = true;
  reply_to_list (&feed, "{\"items\":[{\"spec\":1}],\"at\":5,"
                        "\"hasMore\":true}");
  assert_int_equal (reported.lists, 1);
  assert_int_equal (reported.synced, 0);
  assert_int_equal (reported.lost, 1);
  assert_int_equal (feed.watch_revision, 0);
  assert_string_equal (feed.after, "");
  assert_false (feed.mirror->is_direct);
  assert_int_equal (feed.state, EG_FEED_PAUSED);
  assert_true (feed.resume_us > eg_clock_now_us ());
  reply_to_list (&feed, "{\"items\":[],\"at\":6,\"hasMore\":false}");
  assert_int_equal (reported.synced, 1);
  assert_int_equal (feed.watch_revision, 6);
  eg_store_feed_finish (&feed);
  eg_mirror_finish (&mirror);
}

static void
test_move_refusal_names_a_server (void **state)
{
  struct eg_endpoint expected;
  struct eg_endpoint faulty_server;

  (void) state;
  assert_true (eg_endpoint_parse (EG_STR ("10.1.2.3:80"), &expected));
  assert_true (eg_order_refusal_decode (
      EG_STR ("{\"address\":\"10.1.2.3:80\"}"), &faulty_server));
  assert_true (eg_endpoint_key (faulty_server) == eg_endpoint_key (expected));
  assert_false (
      eg_order_refusal_decode (EG_STR ("{\"address\":7}"), &faulty_server));
  assert_false (
      eg_order_refusal_decode (EG_STR ("{\"address\":\"x\"}"), &faulty_server));
  assert_false (eg_order_refusal_decode (EG_STR (""), &faulty_server));
}

/* Serialised objects are cached: the second response must equal the first. */
static void
test_mirror_caches_serialised_objects (void **state)
{
  struct eg_mirror mirror;
  struct eg_mirror_kind *kind;
  struct eg_mirror_query query;
  struct eg_mirror_body body = {0};
  json_t *object =
      json_pack ("{s:{s:s}, s:i}", "metadata", "name", "a", "spec", 1);

  (void) state;
  eg_mirror_init (&mirror);
  kind = eg_mirror_add (&mirror, "things");
  eg_mirror_put (kind, object, false, 5);
  kind->revision = 5;
  kind->is_direct = true;
  assert_true (eg_mirror_parse (
      &mirror, EG_STR ("/eelgrasswood/objects/things"), 0, &query));
  for (int i = 0; i < 2; i++)
    {
      assert_int_equal (eg_mirror_answer_query (&query, 0, &body),
                        EG_MIRROR_ANSWERED);
      assert_non_null (strstr (
          eg_buffer_text (&body.bytes),
          "[{\"metadata\":{\"name\":\"a\"},\"spec\":1}],\"hasMore\":false"));
    }
  json_decref (object);
  eg_buffer_finish (&body.bytes);
  eg_mirror_finish (&mirror);
}

/* Object with many members, like a configuration with many routes. */
static json_t *
pack_large_object (const char *name)
{
  json_t *routes = json_array ();
  char prefix[32];

  for (int i = 0; i < 4000; i++)
    {
      snprintf (prefix, sizeof prefix, "/%08x/", (unsigned) i * 2654435761U);
      json_array_append_new (routes,
                             json_pack ("{s:s, s:s, s:i, s:b}", "pathPrefix",
                                        prefix, "service", "model", "timeoutMs",
                                        20000, "public", false));
    }
  return json_pack ("{s:{s:s}, s:{s:o}}", "metadata", "name", name, "spec",
                    "routes", routes);
}

/* Answers a query with and without coding; both must be the same text. Returns
 * the number of bytes of the coded answer. */
static size_t
check_coded_answer (struct eg_mirror *mirror, const char *target)
{
  struct eg_mirror_query query;
  struct eg_mirror_body plain = {0};
  struct eg_mirror_body coded = {0};
  struct eg_buffer text = {0};
  size_t len;

  assert_true (eg_mirror_parse (mirror, eg_str_from (target), 0, &query));
  assert_int_equal (eg_mirror_answer_query (&query, 0, &plain),
                    EG_MIRROR_ANSWERED);
  assert_false (plain.is_coded);
  query.accepts_coding = true;
  assert_int_equal (eg_mirror_answer_query (&query, 0, &coded),
                    EG_MIRROR_ANSWERED);
  len = coded.bytes.len;
  if (coded.is_coded)
    {
      assert_false (eg_content_decode (eg_buffer_view (&coded.bytes),
                                       plain.bytes.len - 1, &text));
      eg_buffer_clear (&text);
      assert_true (eg_content_decode (eg_buffer_view (&coded.bytes),
                                      plain.bytes.len, &text));
      eg_buffer_finish (&coded.bytes);
      coded.bytes = text;
    }
  assert_true (eg_str_equal (eg_buffer_view (&coded.bytes),
                             eg_buffer_view (&plain.bytes)));
  eg_buffer_finish (&coded.bytes);
  eg_buffer_finish (&plain.bytes);
  return len;
}

/* Each VM got the whole text of a large configuration, 17 times 1 MB from a
 * reader, which arrived too late over narrow links. */
static void
test_large_answers_of_a_mirror_are_coded (void **state)
{
  struct eg_mirror mirror;
  struct eg_mirror_kind *kind;
  json_t *small =
      json_pack ("{s:{s:s}, s:i}", "metadata", "name", "a", "spec", 1);
  json_t *large = pack_large_object ("main");
  size_t large_len = json_dumpb (large, NULL, 0, JSON_COMPACT);

  (void) state;
  eg_mirror_init (&mirror);
  kind = eg_mirror_add (&mirror, "things");
  kind->revision = 9;
  kind->is_direct = true;
  eg_mirror_put (kind, small, false, 5);
  check_coded_answer (&mirror, "/eelgrasswood/objects/things");
  eg_mirror_put (kind, large, false, 8);
  for (int i = 0; i < 2; i++)
    {
      assert_true (check_coded_answer (&mirror, "/eelgrasswood/objects/things")
                   < large_len / 4);
      assert_true (
          check_coded_answer (&mirror, "/eelgrasswood/objects/things?watch=6")
          < large_len / 4);
    }
  json_decref (small);
  json_decref (large);
  eg_mirror_finish (&mirror);
}

static void
test_malformed_coded_body_is_rejected (void **state)
{
  static const char text[] = "a text that is coded, coded, coded and coded";
  struct eg_buffer coded = {0};
  struct eg_buffer decoded = {0};

  (void) state;
  eg_content_encode (EG_STR (text), &coded);
  eg_content_encode (EG_STR (text), &coded);
  assert_true (eg_content_decode (eg_buffer_view (&coded), SIZE_MAX, &decoded));
  assert_int_equal (decoded.len, 2 * (sizeof text - 1));
  for (size_t len = 1; len < coded.len; len++)
    {
      eg_buffer_clear (&decoded);
      if (eg_content_decode ((struct eg_str){coded.data, len}, SIZE_MAX,
                             &decoded))
        assert_int_equal (decoded.len, sizeof text - 1);
    }
  coded.data[0] ^= 1;
  eg_buffer_clear (&decoded);
  assert_false (
      eg_content_decode (eg_buffer_view (&coded), SIZE_MAX, &decoded));
  eg_buffer_finish (&coded);
  eg_buffer_finish (&decoded);
}

static void
test_coding_is_used_where_it_is_accepted (void **state)
{
  static const struct
  {
    const char *field;
    bool accepted;
  } cases[] = {{"Accept-Encoding: zstd", true},
               {"Accept-Encoding: gzip, ZSTD", true},
               {"Accept-Encoding: zstandard", false},
               {"Accept-Encoding:", false},
               {"Accept: zstd", false}};

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct eg_http_reader reader;
      char text[128];

      snprintf (text, sizeof text, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n",
                cases[i].field);
      read_head (&reader, EG_HTTP_REQUEST, text);
      assert_int_equal (eg_content_coding_is_accepted (&reader.head),
                        cases[i].accepted);
      eg_http_reader_finish (&reader);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_request_is_forwarded),
      cmocka_unit_test (test_request_through_a_peer_is_read_as_written),
      cmocka_unit_test (test_request_headers),
      cmocka_unit_test (test_response_headers),
      cmocka_unit_test (test_limit_is_a_decimal_number_of_requests_per_second),
      cmocka_unit_test (test_pause_is_a_decimal_number_of_seconds),
      cmocka_unit_test (test_server_says_that_it_is_leaving),
      cmocka_unit_test (test_ambiguous_framing_is_rejected),
      cmocka_unit_test (test_limit_of_heads_holds_for_any_split),
      cmocka_unit_test (test_chunk_extensions_are_bounded),
      cmocka_unit_test (test_trailers_are_not_kept),
      cmocka_unit_test (test_pipelined_requests),
      cmocka_unit_test (test_configuration),
      cmocka_unit_test (test_invalid_configuration_is_reported),
      cmocka_unit_test (
          test_names_and_lists_of_configurations_have_no_fixed_limit),
      cmocka_unit_test (
          test_errors_of_configurations_name_place_value_and_limit),
      cmocka_unit_test (test_keys_of_unreadable_organisations_are_undecided),
      cmocka_unit_test (test_tenants_of_another_type_are_an_error),
      cmocka_unit_test (test_fractions_in_configurations_are_exact),
      cmocka_unit_test (test_large_numbers_in_configurations_are_limited),
      cmocka_unit_test (test_hosts_differ_in_letters_not_in_case),
      cmocka_unit_test (test_server_records),
      cmocka_unit_test (test_reports_and_orders),
      cmocka_unit_test (test_move_refusal_names_a_server),
      cmocka_unit_test (test_mirror_caches_serialised_objects),
      cmocka_unit_test (test_large_answers_of_a_mirror_are_coded),
      cmocka_unit_test (test_malformed_coded_body_is_rejected),
      cmocka_unit_test (test_coding_is_used_where_it_is_accepted),
      cmocka_unit_test (test_undecodable_stalled_stream_leaves_the_report),
      cmocka_unit_test (test_age_of_a_mirrored_answer_is_checked),
      cmocka_unit_test (test_wait_of_a_query_is_limited),
      cmocka_unit_test (test_paging_goes_on_after_any_name),
      cmocka_unit_test (test_list_that_cannot_be_continued_is_not_complete),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
