/* Tests of the stand-ins, over HTTP. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>

#include <fcntl.h>
#include <sys/file.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "standin/engine_load.h"
#include "standin/host.h"
#include "standin/timed_wait.h"
#include "standin/token.h"

#define ADMIN "127.0.0.1:7900"
#define PLATFORM "127.0.0.1:7901"
#define SERVICE "127.0.0.1:7902"
#define WHOLE "127.0.0.1:7911"
#define HEAD "127.0.0.1:7912"
#define TAIL "127.0.0.1:7913"
#define SPARE "127.0.0.1:7914"
#define REMOTE "127.0.0.1:7921"
#define REMOTE_ADMIN "127.0.0.1:7920"

#define MAX_TEST_TOKENS 16

/* Limit of all waits, so that a missing event fails the test. */
#define MAX_WAIT_US (10 * EG_US_PER_S)

/* JSON with single quotes, see unquote(). */
/* clang-format off */
#define ENGINE(address, server, layers, more)                                  \
  "{'listen':'" address "','server':'" server "','service':'llm',"             \
  "'model':'m','version':'1','layers':" layers ",'model_layers':4,"            \
  "'accelerator':'large','token_us':200" more "}"

static const char main_file[] =
    "{'admin':'" ADMIN "','platform':{'listen':'" PLATFORM "','threads':8},"
    "'engines':["
    ENGINE (WHOLE, "whole", "[1,4]",
            ",'slots':1,'threads':8,'cache_blocks':4,'kv_total':100000000") ","
    ENGINE (HEAD, "head", "[1,2]",
            ",'slots':4,'threads':8,'stage_timeout_ms':100") ","
    ENGINE (TAIL, "tail", "[3,4]",
            ",'slots':4,'threads':8") ","
    ENGINE (SPARE, "spare", "[3,4]",
            ",'slots':4,'threads':8,'checks_fencing':false,'record_max':2")
    "],'services':[{'listen':'" SERVICE "','service':'app','threads':8}]}";

static const char remote_file[] =
    "{'admin':'" REMOTE_ADMIN "','engines':["
    ENGINE (REMOTE, "remote", "[3,4]",
            ",'slots':4,'threads':8") "]}";
/* clang-format on */

/* The stand-in hosts of one test. */
struct fixture
{
  struct eg_host *main;
  struct eg_host *remote;
};

/* A response. */
struct reply
{
  long status; /* 0: no complete response */
  struct eg_buffer body;
  char etag[24];
  size_t max_bytes;           /* disconnect after this many; 0: never */
  bool disconnects_at_header; /* disconnect at the first header */
};

/* Turns single quotes into double ones, in place. */
static char *
unquote (char *text)
{
  for (char *c = text; *c; c++)
    if (*c == '\'')
      *c = '"';
  return text;
}

static char *
format_json (const char *format, va_list args)
{
  char *text = NULL;

  assert_true (vasprintf (&text, format, args) >= 0);
  return unquote (text);
}

static struct eg_host *
start_host (const char *file)
{
  char *text = unquote (strdup (file));
  struct eg_error error = {0};
  struct eg_config config;
  struct eg_host *host = NULL;

  if (eg_config_read (&config, json_loads (text, 0, NULL), &error) == EG_OK)
    host = eg_host_new (config, &error);
  if (!host)
    print_error ("%s\n", error.message);
  free (text);
  return host;
}

static int
set_up (void **state)
{
  struct fixture *fixture = calloc (1, sizeof *fixture);

  *state = fixture;
  fixture->main = start_host (main_file);
  fixture->remote = start_host (remote_file);
  return fixture->main && fixture->remote ? 0 : -1;
}

static int
tear_down (void **state)
{
  struct fixture *fixture = *state;

  eg_host_free (fixture->main);
  eg_host_free (fixture->remote);
  free (fixture);
  return 0;
}

static size_t
append_body (char *data, size_t size, size_t count, void *context)
{
  struct reply *reply = context;

  eg_buffer_append (&reply->body, (struct eg_str){data, size * count});
  if (reply->max_bytes > 0 && reply->body.len >= reply->max_bytes)
    return 0;
  return size * count;
}

static size_t
parse_header (char *data, size_t size, size_t count, void *context)
{
  struct reply *reply = context;
  struct eg_str line = {data, size * count};
  struct eg_str name = eg_str_cut (&line, ':');

  if (reply->disconnects_at_header)
    return 0;
  if (eg_str_equal (name, EG_STR ("ETag")))
    eg_str_copy (eg_str_trim (line), reply->etag, sizeof reply->etag);
  return size * count;
}

/* Sends a request; @header may be NULL. The caller frees the body of @reply. */
static void
call_with (struct reply *reply,
           const char *header,
           const char *method,
           const char *url,
           const char *body)
{
  struct curl_slist *headers = NULL;
  CURL *client = curl_easy_init ();

  reply->status = 0;
  eg_buffer_clear (&reply->body);
  if (header)
    headers = curl_slist_append (NULL, header);
  curl_easy_setopt (client, CURLOPT_URL, url);
  curl_easy_setopt (client, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (client, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (client, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (client, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (client, CURLOPT_WRITEDATA, reply);
  curl_easy_setopt (client, CURLOPT_HEADERFUNCTION, parse_header);
  curl_easy_setopt (client, CURLOPT_HEADERDATA, reply);
  if (body)
    curl_easy_setopt (client, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (client) == CURLE_OK)
    curl_easy_getinfo (client, CURLINFO_RESPONSE_CODE, &reply->status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (client);
}

/* Sends a request and returns the status; *@text gets the body, if not NULL. */
static long
call (char **text, const char *method, const char *url, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

static long
call (char **text, const char *method, const char *url, const char *format, ...)
{
  struct reply reply = {0};
  char *body;
  va_list args;

  va_start (args, format);
  body = format_json (format, args);
  va_end (args);
  call_with (&reply, NULL, method, url, *body ? body : NULL);
  if (text)
    *text = strdup (eg_buffer_text (&reply.body));
  eg_buffer_finish (&reply.body);
  free (body);
  return reply.status;
}

static void
set_fault (const char *address, const char *fault)
{
  char url[96];

  snprintf (url, sizeof url, "http://" ADMIN "/standin/%s/faults", address);
  assert_int_equal (call (NULL, "POST", url, "%s", fault), 200);
}

static json_t *
get_json (const char *url)
{
  char *text;
  json_t *json;

  assert_int_equal (call (&text, "GET", url, "%s", ""), 200);
  json = json_loads (text, JSON_DECODE_ANY, NULL);
  assert_non_null (json);
  free (text);
  return json;
}

static int64_t
get_number (const char *url, const char *name)
{
  json_t *json = get_json (url);
  int64_t number = json_integer_value (json_object_get (json, name));

  json_decref (json);
  return number;
}

static void
wait_for_number (const char *url, const char *name, int64_t expected)
{
  int64_t deadline_us = eg_clock_now_us () + MAX_WAIT_US;

  while (get_number (url, name) != expected)
    {
      assert_true (eg_clock_now_us () < deadline_us);
      eg_sleep_until (eg_clock_now_us () + EG_US_PER_MS);
    }
}

/* Returns the body of `POST /v1/generate` for the chain of HEAD and @tail, or
   for WHOLE alone if @tail is NULL. */
static char *
generate_body (const char *request,
               int attempt,
               int priority,
               int committed,
               int max_tokens,
               const char *tail)
{
  struct eg_buffer body = {0};
  char token[EG_TOKEN_BYTES];

  eg_buffer_printf (&body,
                    "{'request':'%s','attempt':%d,'priority':%d,"
                    "'prompt':'why','max_tokens':%d,'tokens':[",
                    request, attempt, priority, max_tokens);
  for (int i = 1; i <= committed; i++)
    {
      eg_token_text (EG_STR ("why"), i, token);
      eg_buffer_printf (&body, "%s'%s'", i > 1 ? "," : "", token);
    }
  if (tail)
    eg_buffer_printf (&body,
                      "],'chain':[{'address':'" HEAD "','layers':[1,2]},"
                      "{'address':'%s','layers':[3,4]}]}",
                      tail);
  else
    eg_buffer_printf (&body,
                      "],'chain':[{'address':'" WHOLE "','layers':[1,4]}]}");
  eg_buffer_text (&body);
  return unquote (body.data);
}

/* Appends the events that are expected for the tokens @first to @last. */
static void
print_tokens (struct eg_buffer *events, int first, int last)
{
  char token[EG_TOKEN_BYTES];

  for (int i = first; i <= last; i++)
    {
      eg_token_text (EG_STR ("why"), i, token);
      eg_buffer_printf (events, "data: {\"position\":%d,\"token\":\"%s\"}\n\n",
                        i, token);
    }
}

/* Runs a stream and expects the tokens @first to @last, followed by @end. */
static void
expect_stream (char *body, int first, int last, const char *end)
{
  const char *url = strstr (body, HEAD) ? "http://" HEAD "/v1/generate"
                                        : "http://" WHOLE "/v1/generate";
  struct eg_buffer expected = {0};
  struct reply reply = {0};

  call_with (&reply, NULL, "POST", url, body);
  print_tokens (&expected, first, last);
  eg_buffer_append (&expected, eg_str_from (end));
  assert_string_equal (eg_buffer_text (&reply.body),
                       eg_buffer_text (&expected));
  eg_buffer_finish (&reply.body);
  eg_buffer_finish (&expected);
  free (body);
}

static const char done[] = "data: {\"done\":true}\n\n";

static void
test_config_is_strict (void **state)
{
  static const struct
  {
    const char *file;
    const char *message;
  } cases[] = {
      {"{'motors':[]}", "file: unknown field \"motors\""},
      {"{'admin':7}", "file: field \"admin\" must be an address"},
      {"{'services':[{'listen':'127.0.0.1:7990','service':'a','slots':0}]}",
       "services[0]: field \"slots\" must be an integer from 1"},
      {"{'engines':[{'listen':'127.0.0.1:7990'}]}", "is missing"},
      {"{'engines':[" ENGINE ("127.0.0.1:7990", "e", "[1,5]",
                              ",'slots':1") "]}",
       "layers exceed model_layers"},
      {"{'platform':{'listen':'127.0.0.1:7990','vms':[{'address':'x'}]}}",
       "vms[0]: field \"address\" must be an address"},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      char *text = unquote (strdup (cases[i].file));
      struct eg_error error = {0};
      struct eg_config config;

      assert_int_equal (
          eg_config_read (&config, json_loads (text, 0, NULL), &error),
          EG_INVALID);
      assert_non_null (strstr (error.message, cases[i].message));
      eg_config_finish (&config);
      free (text);
    }
}

static void
test_calls_are_strict (void **state)
{
  static const char base[] = "'attempt':1,'priority':0,'prompt':'why'";
  static const struct
  {
    const char *url;
    const char *body;
    const char *reason;
  } cases[] = {
      {WHOLE "/v1/generate", "{", "body is not JSON"},
      {WHOLE "/v1/generate", "{'request':'r',%s,'more':1}", "unknown field"},
      {WHOLE "/v1/generate", "{'request':7,%s}", "\\\"request\\\" must be"},
      {WHOLE "/v1/generate", "{'request':'r',%s}", "is missing"},
      {WHOLE "/v1/generate",
       "{'request':'r',%s,'tokens':['x'],'max_tokens':2,'chain':[]}",
       "tokens[0]: differs from the token generated"},
      {WHOLE "/v1/generate",
       "{'request':'r',%s,'tokens':[],'max_tokens':2,'chain':["
       "{'address':'" WHOLE "','layers':[2,4]}]}",
       "chain[0]: layers must start at 1"},
      {WHOLE "/v1/generate",
       "{'request':'r',%s,'tokens':[],'max_tokens':2,'chain':["
       "{'address':'" HEAD "','layers':[1,4]}]}",
       "the head must be this engine"},
      {WHOLE "/v1/cancel", "{'request':'r'}", "\\\"attempt\\\" is missing"},
      {WHOLE "/v1/kv/export", "{'request':'r','upto':'1'}", "\\\"upto\\\""},
      {WHOLE "/v1/orders", "{'order':'load','fencing':true}", "\\\"fencing"},
      {WHOLE "/standin/faults", "{'fault':'down'}", "not supported by this"},
      {PLATFORM "/standin/faults", "{'fault':'slow','factor':2}", "unknown"},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const char *placeholder = strstr (cases[i].body, "%s");
      char *text;
      long status;

      status = call (&text, "POST", cases[i].url, "%.*s%s%s",
                     placeholder ? (int) (placeholder - cases[i].body) : 512,
                     cases[i].body, placeholder ? base : "",
                     placeholder ? placeholder + 2 : "");
      assert_int_equal (status, 400);
      if (!strstr (text, cases[i].reason))
        fail_msg ("case %zu: %s", i, text);
      free (text);
    }
}

/* Expects one entry per position, in order; returns the @sequences. */
static void
check_record (const char *url,
              int first_position,
              int count,
              int first,
              int last,
              int64_t sequences[])
{
  json_t *record = get_json (url);
  json_t *runs = json_object_get (record, "runs");

  assert_int_equal (json_array_size (runs), count);
  for (int i = 0; i < count; i++)
    {
      json_t *run = json_array_get (runs, (size_t) i);
      json_int_t position, from, to, sequence;

      assert_int_equal (json_unpack (run, "{s:I,s:I,s:I,s:I}", "position",
                                     &position, "first", &from, "last", &to,
                                     "sequence", &sequence),
                        0);
      assert_int_equal (position, first_position + i);
      assert_int_equal (from, first);
      assert_int_equal (to, last);
      sequences[i] = sequence;
    }
  json_decref (record);
}

static void
check_chain (const char *request, const char *tail, const char *tail_record)
{
  int64_t head_sequences[MAX_TEST_TOKENS];
  int64_t tail_sequences[MAX_TEST_TOKENS];

  call (NULL, "DELETE", "http://" HEAD "/standin/record", "%s", "");
  expect_stream (generate_body (request, 1, 0, 0, 5, tail), 1, 5, done);
  check_record ("http://" HEAD "/standin/record", 1, 5, 1, 2, head_sequences);
  check_record (tail_record, 1, 5, 3, 4, tail_sequences);
  for (int i = 0; i < 5; i++)
    {
      assert_true (head_sequences[i] < tail_sequences[i]);
      if (i > 0)
        assert_true (tail_sequences[i - 1] < head_sequences[i]);
    }
}

static void
test_chain_runs_every_layer_once_in_order (void **state)
{
  (void) state;
  check_chain ("near", TAIL, "http://" TAIL "/standin/record");
  check_chain ("far", REMOTE, "http://" REMOTE "/standin/record");
}

static void
test_lower_and_repeated_attempts_are_refused (void **state)
{
  static const int attempts[] = {1, 2};

  (void) state;
  expect_stream (generate_body ("r", 2, 0, 0, 3, NULL), 1, 3, done);
  for (size_t i = 0; i < sizeof attempts / sizeof *attempts; i++)
    {
      char *body = generate_body ("r", attempts[i], 0, 0, 3, NULL);

      assert_int_equal (
          call (NULL, "POST", "http://" WHOLE "/v1/generate", "%s", body), 409);
      free (body);
    }
  expect_stream (generate_body ("r", 3, 0, 2, 4, NULL), 3, 4, done);
}

static void
test_crash_ends_stream_without_done_event (void **state)
{
  char *body = generate_body ("r", 1, 0, 0, 9, NULL);
  char *text;

  (void) state;
  set_fault (WHOLE, "{'fault':'die','after_tokens':3}");
  expect_stream (strdup (body), 1, 3, "");
  assert_int_equal (call (NULL, "GET", "http://" WHOLE "/v1/load", "%s", ""),
                    0);
  set_fault (WHOLE, "{'fault':'revive'}");
  assert_int_equal (call (NULL, "POST", "http://" WHOLE "/v1/kv/export",
                          "{'request':'r','upto':1}"),
                    404);
  set_fault (WHOLE, "{'fault':'crash-on','prompt':'why'}");
  assert_int_equal (
      call (&text, "POST", "http://" WHOLE "/v1/generate", "%s", body), 0);
  assert_string_equal (text, "");
  free (text);
  free (body);
}

static void
check_resume (const char *request, const char *tail, const char *admin)
{
  char end[160];
  char url[96];

  snprintf (url, sizeof url, "http://%s/standin/%s/faults", admin, tail);
  assert_int_equal (
      call (NULL, "POST", url, "{'fault':'die','after_tokens':2}"), 200);
  snprintf (end, sizeof end,
            "event: error\ndata: {\"stage\":1,\"address\":\"%s\","
            "\"position\":3,\"cause\":\"died\"}\n\n",
            tail);
  expect_stream (generate_body (request, 1, 0, 0, 5, tail), 1, 2, end);
  snprintf (strstr (end, "3,"), sizeof end - 64,
            "3,\"cause\":\"unreachable\"}\n\n");
  expect_stream (generate_body (request, 2, 0, 2, 5, tail), 3, 2, end);
  expect_stream (generate_body (request, 3, 0, 2, 5, SPARE), 3, 5, done);
}

static void
test_error_event_names_stage_and_spare_resumes (void **state)
{
  (void) state;
  check_resume ("near", TAIL, ADMIN);
  check_resume ("far", REMOTE, REMOTE_ADMIN);
}

static void
test_hung_stage_times_out (void **state)
{
  (void) state;
  set_fault (TAIL, "{'fault':'hang'}");
  expect_stream (generate_body ("r", 1, 0, 0, 5, TAIL), 1, 0,
                 "event: error\ndata: {\"stage\":1,\"address\":\"" TAIL
                 "\",\"position\":1,\"cause\":\"timeout\"}\n\n");
  call (NULL, "DELETE", "http://" ADMIN "/standin/" TAIL "/faults", "%s", "");
  expect_stream (generate_body ("r", 2, 0, 0, 5, TAIL), 1, 5, done);
}

/* A stream that runs in a thread. */
struct stream
{
  pthread_t thread;
  struct reply reply;
  char *body;
};

static void *
run_stream (void *context)
{
  struct stream *stream = context;

  call_with (&stream->reply, NULL, "POST", "http://" WHOLE "/v1/generate",
             stream->body);
  return NULL;
}

static void
start_stream (struct stream *stream, char *body)
{
  stream->body = body;
  assert_int_equal (pthread_create (&stream->thread, NULL, run_stream, stream),
                    0);
}

static void
end_stream (struct stream *stream, const char *part)
{
  pthread_join (stream->thread, NULL);
  assert_non_null (strstr (eg_buffer_text (&stream->reply.body), part));
  eg_buffer_finish (&stream->reply.body);
  free (stream->body);
}

static void
test_priority_preempts_and_cancel_releases_slot (void **state)
{
  struct stream first = {0};
  struct stream second = {0};

  (void) state;
  start_stream (&first, generate_body ("long", 1, 0, 0, 9000000, NULL));
  wait_for_number ("http://" WHOLE "/v1/load", "running", 1);
  start_stream (&second, generate_body ("low", 1, 0, 0, 4, NULL));
  wait_for_number ("http://" WHOLE "/v1/load", "queued", 1);
  /* "high" takes the slot from "long" and completes, while "low" waits. */
  expect_stream (generate_body ("high", 1, 5, 0, 4, NULL), 1, 4, done);
  assert_int_equal (get_number ("http://" WHOLE "/v1/load", "queued"), 1);
  assert_int_equal (call (NULL, "POST", "http://" WHOLE "/v1/cancel",
                          "{'request':'long','attempt':1}"),
                    200);
  end_stream (&first, "\"cause\":\"cancelled\"");
  end_stream (&second, done);
}

static void
test_disconnect_releases_slot (void **state)
{
  struct stream stream = {.reply = {.max_bytes = 60}};

  (void) state;
  start_stream (&stream, generate_body ("long", 1, 0, 0, 9000000, NULL));
  pthread_join (stream.thread, NULL);
  expect_stream (generate_body ("next", 1, 0, 0, 4, NULL), 1, 4, done);
  eg_buffer_finish (&stream.reply.body);
  free (stream.body);
}

static void
test_higher_attempt_supersedes_lower_one (void **state)
{
  struct stream stream = {0};

  (void) state;
  start_stream (&stream, generate_body ("r", 1, 0, 0, 9000000, NULL));
  wait_for_number ("http://" WHOLE "/v1/load", "running", 1);
  expect_stream (generate_body ("r", 2, 0, 1, 4, NULL), 2, 4, done);
  end_stream (&stream, "\"cause\":\"superseded\"");
}

static void
test_stage_requires_positions_in_order (void **state)
{
  static const struct
  {
    int position;
    long status;
  } steps[] = {{2, 409}, {1, 200}, {3, 409}, {1, 409}, {2, 200}};

  (void) state;
  assert_int_equal (call (NULL, "POST", "http://" REMOTE "/standin/stage",
                          "{'request':'r','attempt':1,'position':1,"
                          "'wait_ms':1000}"),
                    409);
  for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
    assert_int_equal (
        call (NULL, "POST", "http://" REMOTE "/standin/stage",
              "{'request':'r','attempt':1,'position':%d,'wait_ms':1000,"
              "'open':{'priority':0,'prompt':'why','committed':0,"
              "'max_tokens':9,'layers':[3,4]}}",
              steps[i].position),
        steps[i].status);
}

static void
test_disconnect_leaves_queue (void **state)
{
  struct stream first = {0};
  struct stream second = {.reply = {.disconnects_at_header = true}};

  (void) state;
  start_stream (&first, generate_body ("long", 1, 0, 0, 9000000, NULL));
  wait_for_number ("http://" WHOLE "/v1/load", "running", 1);
  start_stream (&second, generate_body ("low", 1, 0, 0, 4, NULL));
  end_stream (&second, "");
  wait_for_number ("http://" WHOLE "/v1/load", "queued", 0);
  call (NULL, "POST", "http://" WHOLE "/v1/cancel",
        "{'request':'long','attempt':1}");
  end_stream (&first, "cancelled");
}

static void
test_draining_finishes_streams_and_refuses_new_ones (void **state)
{
  struct stream stream = {0};
  char *body = generate_body ("new", 1, 0, 0, 4, NULL);
  char *text;

  (void) state;
  start_stream (&stream, generate_body ("old", 1, 0, 0, 500, NULL));
  wait_for_number ("http://" WHOLE "/v1/load", "running", 1);
  set_fault (WHOLE, "{'fault':'drain'}");
  assert_int_equal (
      call (&text, "POST", "http://" WHOLE "/v1/generate", "%s", body), 503);
  assert_non_null (strstr (text, "\"ran\":\"no\""));
  end_stream (&stream, done);
  free (text);
  free (body);
}

static void
test_kv_moves_between_stages (void **state)
{
  char *kv;

  (void) state;
  expect_stream (generate_body ("r", 1, 0, 0, 4, TAIL), 1, 4, done);
  assert_int_equal (call (NULL, "POST", "http://" TAIL "/v1/kv/export",
                          "{'request':'r','upto':5}"),
                    404);
  assert_int_equal (call (&kv, "POST", "http://" TAIL "/v1/kv/export",
                          "{'request':'r','upto':4}"),
                    200);
  assert_int_equal (
      call (NULL, "POST", "http://" HEAD "/v1/kv/import", "%s", kv), 409);
  assert_int_equal (
      call (NULL, "POST", "http://" SPARE "/v1/kv/import", "%s", kv), 200);
  assert_int_equal (call (NULL, "POST", "http://" SPARE "/v1/kv/export",
                          "{'request':'r','upto':4}"),
                    200);
  free (kv);
}

static void
test_fencing (void **state)
{
  static const char order[] =
      "{'order':'load','model':'m','version':'%d','layers':[3,4],"
      "'fencing':%d}";

  (void) state;
  assert_int_equal (
      call (NULL, "POST", "http://" TAIL "/v1/orders", order, 2, 7), 200);
  assert_int_equal (
      call (NULL, "POST", "http://" TAIL "/v1/orders", order, 3, 6), 409);
  assert_int_equal (
      call (NULL, "POST", "http://" TAIL "/v1/orders", order, 4, 7), 200);
  assert_int_equal (
      call (NULL, "POST", "http://" SPARE "/v1/orders", order, 2, 7), 200);
  assert_int_equal (
      call (NULL, "POST", "http://" SPARE "/v1/orders", order, 3, 6), 200);
}

static void
test_cache_events_have_gaps (void **state)
{
  char prompt[64 * 5 + 1];
  json_t *answer;
  json_t *events;

  (void) state;
  memset (prompt, 'x', sizeof prompt - 1);
  prompt[sizeof prompt - 1] = '\0';
  assert_int_equal (call (NULL, "POST", "http://" WHOLE "/v1/generate",
                          "{'request':'r','attempt':1,'priority':0,"
                          "'prompt':'%s','tokens':[],'max_tokens':1,'chain':["
                          "{'address':'" WHOLE "','layers':[1,4]}]}",
                          prompt),
                    200);
  /* Five blocks in a cache of four: five insertions and one eviction. */
  answer = get_json ("http://" WHOLE "/v1/cache-events?after=4");
  events = json_object_get (answer, "events");
  assert_int_equal (json_array_size (events), 2);
  assert_string_equal (
      json_string_value (json_object_get (json_array_get (events, 0), "event")),
      "evicted");
  json_decref (answer);
  call (NULL, "POST", "http://" WHOLE "/v1/generate",
        "{'request':'q','attempt':1,'priority':0,'prompt':'y%s','tokens':[],"
        "'max_tokens':1,'chain':[{'address':'" WHOLE "','layers':[1,4]}]}",
        prompt);
  answer = get_json ("http://" WHOLE "/v1/cache-events?after=6");
  events = json_object_get (answer, "events");
  assert_int_equal (json_integer_value (json_object_get (
                        json_array_get (events, 0), "sequence")),
                    8);
  json_decref (answer);
}

static void
test_record_is_bounded (void **state)
{
  json_t *record;

  (void) state;
  expect_stream (generate_body ("r", 1, 0, 0, 5, SPARE), 1, 5, done);
  record = get_json ("http://" SPARE "/standin/record");
  assert_int_equal (json_array_size (json_object_get (record, "runs")), 2);
  assert_int_equal (json_integer_value (json_object_get (record, "dropped")),
                    3);
  json_decref (record);
}

static void
test_load_report_is_delayed (void **state)
{
  static struct eg_engine_load_history history;

  (void) state;
  for (int i = 0; i < 100; i++)
    eg_engine_load_history_add (&history, (struct eg_engine_load){.running = i},
                                10 * EG_US_PER_MS * i);
  assert_int_equal (
      eg_engine_load_history_at (&history, 505 * EG_US_PER_MS).running, 50);
  assert_int_equal (
      eg_engine_load_history_at (&history, 500 * EG_US_PER_MS).running, 50);
  assert_int_equal (eg_engine_load_history_at (&history, -1).running, 0);
}

/* Writes an object and returns the status; the ETag is in @etag. */
static long
write_object (const char *method,
              const char *key,
              const char *condition,
              const char *value,
              char etag[24])
{
  struct reply reply = {0};
  char url[96];

  snprintf (url, sizeof url, "http://" PLATFORM "/objects/%s", key);
  call_with (&reply, condition, method, url, value);
  if (etag)
    memcpy (etag, reply.etag, sizeof reply.etag);
  eg_buffer_finish (&reply.body);
  return reply.status;
}

static const char if_new[] = "If-None-Match: *";

static void
test_writes_are_conditional (void **state)
{
  char *big = calloc (1, (1 << 20) + 2);
  char etag[24];

  (void) state;
  assert_int_equal (write_object ("PUT", "a/b", NULL, "1", NULL), 400);
  assert_int_equal (write_object ("PUT", "a/b", if_new, "{", NULL), 400);
  assert_int_equal (write_object ("PUT", "a/b", if_new, "1", etag), 201);
  assert_string_equal (etag, "\"1\"");
  assert_int_equal (write_object ("PUT", "a/b", if_new, "2", NULL), 412);
  assert_int_equal (write_object ("PUT", "c", if_new, "2", NULL), 201);
  assert_int_equal (write_object ("PUT", "a/b", "If-Match: \"2\"", "3", NULL),
                    412);
  assert_int_equal (write_object ("PUT", "a/b", "If-Match: \"1\"", "3", etag),
                    200);
  assert_string_equal (etag, "\"3\"");
  assert_int_equal (
      write_object ("DELETE", "a/b", "If-Match: \"1\"", NULL, NULL), 412);
  assert_int_equal (
      write_object ("DELETE", "a/b", "If-Match: \"3\"", NULL, NULL), 204);
  assert_int_equal (
      call (NULL, "GET", "http://" PLATFORM "/objects/a/b", "%s", ""), 404);
  memset (big, '7', (1 << 20) + 1);
  assert_int_equal (write_object ("PUT", "big", if_new, big, NULL), 413);
  free (big);
}

static void
test_queries_are_strict (void **state)
{
  static const char *const urls[] = {
      PLATFORM "/objects?prefix=x&after=0&wait_ms=0&limit=1",
      PLATFORM "/objects?prefix=x&after=0",
      PLATFORM "/objects?prefix=x&after=-1&wait_ms=0",
      WHOLE "/v1/cache-events?after=x",
      WHOLE "/v1/cache-events?after=1&more=2",
  };

  (void) state;
  for (size_t i = 0; i < sizeof urls / sizeof *urls; i++)
    assert_int_equal (call (NULL, "GET", urls[i], "%s", ""), 400);
}

static void
test_write_with_lost_reply_is_applied (void **state)
{
  char *text;

  (void) state;
  set_fault (PLATFORM, "{'fault':'lose-reply','count':1}");
  assert_int_equal (write_object ("PUT", "a", if_new, "7", NULL), 0);
  assert_int_equal (
      call (&text, "GET", "http://" PLATFORM "/objects/a", "%s", ""), 200);
  assert_string_equal (text, "7");
  assert_int_equal (write_object ("PUT", "b", if_new, "8", NULL), 201);
  free (text);
}

static void
check_changes (const char *url, const char *expected)
{
  json_t *answer = get_json (url);
  char *text = json_dumps (json_object_get (answer, "changes"), JSON_COMPACT);
  char *expected_json = unquote (strdup (expected));

  assert_string_equal (text, expected_json);
  free (text);
  free (expected_json);
  json_decref (answer);
}

static void *
write_later (void *context)
{
  const char *counts = "http://" ADMIN "/standin/" PLATFORM "/counts";

  (void) context;
  wait_for_number (counts, "watch", 3);
  write_object ("PUT", "x/3", if_new, "5", NULL);
  return NULL;
}

static void
test_watch_sees_every_change_in_order (void **state)
{
  static const char watch[] = "http://" PLATFORM "/objects?prefix=x/";
  char url[128];
  pthread_t thread;

  (void) state;
  write_object ("PUT", "x/2", if_new, "1", NULL);
  write_object ("PUT", "x/1", if_new, "2", NULL);
  write_object ("PUT", "x/2", "If-Match: \"1\"", "3", NULL);
  write_object ("PUT", "y", if_new, "4", NULL);
  write_object ("DELETE", "x/1", "If-Match: \"2\"", NULL, NULL);
  snprintf (url, sizeof url, "%s&after=1&wait_ms=0", watch);
  check_changes (url, "[{'key':'x/1','version':2,'value':2},"
                      "{'key':'x/2','version':3,'value':3},"
                      "{'key':'x/1','version':5,'value':null}]");
  snprintf (url, sizeof url, "%s&after=0&wait_ms=0", watch);
  check_changes (url, "[{'key':'x/2','version':3,'value':3}]");
  snprintf (url, sizeof url, "%s&after=5&wait_ms=60000", watch);
  assert_int_equal (pthread_create (&thread, NULL, write_later, NULL), 0);
  check_changes (url, "[{'key':'x/3','version':6,'value':5}]");
  pthread_join (thread, NULL);
  assert_int_equal (get_number ("http://" PLATFORM "/standin/counts", "watch"),
                    3);
}

static void
test_platform_down (void **state)
{
  static const char vm[] =
      "{'address':'127.0.0.1:7','failure_domain':'d','kind':'entry',"
      "'state':'leaving'}";
  char fault[160];
  json_t *vms;

  (void) state;
  set_fault (PLATFORM, "{'fault':'down'}");
  assert_int_equal (call (NULL, "GET", "http://" PLATFORM "/vms", "%s", ""),
                    503);
  call (NULL, "DELETE", "http://" PLATFORM "/standin/faults", "%s", "");
  snprintf (fault, sizeof fault, "{'fault':'vms','vms':[%s]}", vm);
  set_fault (PLATFORM, fault);
  vms = get_json ("http://" PLATFORM "/vms");
  assert_int_equal (json_array_size (vms), 1);
  json_decref (vms);
}

static void
test_service_records_completed_calls (void **state)
{
  struct reply reply = {0};
  json_t *record;
  json_t *run;

  (void) state;
  call_with (&reply, "Idempotency-Key: k1", "POST", "http://" SERVICE "/a/b",
             "body");
  assert_int_equal (reply.status, 200);
  assert_string_equal (eg_buffer_text (&reply.body), "body");
  set_fault (SERVICE, "{'fault':'lose-reply','count':1}");
  call_with (&reply, "Idempotency-Key: k2", "POST", "http://" SERVICE "/a",
             "body");
  assert_int_equal (reply.status, 0);
  set_fault (SERVICE, "{'fault':'drain'}");
  call_with (&reply, NULL, "POST", "http://" SERVICE "/c", "body");
  assert_int_equal (reply.status, 503);
  record = get_json ("http://" SERVICE "/standin/record");
  assert_int_equal (json_array_size (json_object_get (record, "runs")), 2);
  run = json_array_get (json_object_get (record, "runs"), 1);
  assert_string_equal (json_string_value (json_object_get (run, "key")), "k2");
  eg_buffer_finish (&reply.body);
  json_decref (record);
}

#define TEST(function)                                                         \
  cmocka_unit_test_setup_teardown (function, set_up, tear_down)

/* The ports are fixed: a lock keeps test runs of several trees apart. */
static void
acquire_port_lock (void)
{
  int fd = open ("/tmp/eelgrass-test-standin.lock",
                 O_CREAT | O_RDWR | O_CLOEXEC, 0600);

  EG_INVARIANT (fd >= 0 && flock (fd, LOCK_EX) == 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_config_is_strict),
      cmocka_unit_test (test_load_report_is_delayed),
      TEST (test_calls_are_strict),
      TEST (test_chain_runs_every_layer_once_in_order),
      TEST (test_lower_and_repeated_attempts_are_refused),
      TEST (test_crash_ends_stream_without_done_event),
      TEST (test_error_event_names_stage_and_spare_resumes),
      TEST (test_hung_stage_times_out),
      TEST (test_priority_preempts_and_cancel_releases_slot),
      TEST (test_disconnect_releases_slot),
      TEST (test_higher_attempt_supersedes_lower_one),
      TEST (test_stage_requires_positions_in_order),
      TEST (test_disconnect_leaves_queue),
      TEST (test_draining_finishes_streams_and_refuses_new_ones),
      TEST (test_kv_moves_between_stages),
      TEST (test_fencing),
      TEST (test_cache_events_have_gaps),
      TEST (test_record_is_bounded),
      TEST (test_writes_are_conditional),
      TEST (test_queries_are_strict),
      TEST (test_write_with_lost_reply_is_applied),
      TEST (test_watch_sees_every_change_in_order),
      TEST (test_platform_down),
      TEST (test_service_records_completed_calls),
  };

  acquire_port_lock ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
