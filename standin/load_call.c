#include "standin/load_call.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "standin/load_sse.h"

#define ID_BYTES 128
#define URL_BYTES (EG_LOAD_ADDRESS_BYTES + EG_LOAD_PATH_OR_URL_BYTES + 16)
#define MAX_BODY_BYTES (1 << 20)
#define WRONG_REQUEST_ID "foreign-request-id"

struct call
{
  struct eg_load_calls *calls;
  const struct eg_load_stream *stream;
  struct eg_load_exchange exchange;
  struct eg_load_check check;
  struct eg_load_sse sse;
  struct eg_buffer prompt;
  struct eg_buffer request_body;
  struct eg_buffer answer_body;
  char id[ID_BYTES];
  char url[URL_BYTES];
  size_t record;
  size_t target;
  size_t attempts;
  int64_t last_token_us;
  bool has_request_id;
};

static int64_t
now_us (const struct eg_load_calls *calls)
{
  return eg_clock_now_us () - calls->start_us;
}

/* Starts the prompt with the request id. Prompts are therefore unique in a run,
   and the response to another request does not pass the check. */
static void
write_prompt (struct call *call)
{
  static const char filler[] = " origin of the family name, as recorded;";
  size_t wanted = (size_t) call->stream->prompt_bytes;

  eg_buffer_printf (&call->prompt, "%s", call->id);
  while (call->prompt.len < wanted)
    {
      size_t left = wanted - call->prompt.len;
      size_t len = left < sizeof filler - 1 ? left : sizeof filler - 1;

      eg_buffer_append (&call->prompt, (struct eg_str){filler, len});
    }
}

static void
append_json (struct eg_buffer *buffer, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);

  EG_INVARIANT (text != NULL);
  eg_buffer_append (buffer, eg_str_from (text));
  free (text);
  json_decref (object);
}

static void
write_completion (struct call *call, int64_t max_tokens)
{
  append_json (&call->request_body,
               json_pack ("{s:s, s:s%, s:I, s:b}", "model", call->stream->model,
                          "prompt", call->prompt.data, call->prompt.len,
                          "max_tokens", (json_int_t) max_tokens, "stream",
                          call->stream->streamed));
}

static void
write_direct (struct call *call,
              const struct eg_load_chain *chain,
              int64_t max_tokens)
{
  json_t *stages = json_loads (chain->json, 0, NULL);

  append_json (
      &call->request_body,
      json_pack ("{s:s, s:i, s:I, s:s%, s:[], s:I, s:o}", "request", call->id,
                 "attempt", 1, "priority", (json_int_t) call->stream->priority,
                 "prompt", call->prompt.data, call->prompt.len, "tokens",
                 "max_tokens", (json_int_t) max_tokens, "chain", stages));
}

static void
add_header (struct call *call, const char *name, const char *value)
{
  char line[EG_LOAD_PATH_OR_URL_BYTES];

  snprintf (line, sizeof line, "%s: %s", name, value);
  call->exchange.headers = curl_slist_append (call->exchange.headers, line);
}

static void
add_headers (struct call *call)
{
  const struct eg_load_stream *stream = call->stream;
  char number[32];

  if (call->request_body.len > 0)
    add_header (call, "Content-Type", "application/json");
  if (stream->n_chains > 0)
    return;
  add_header (call, "X-Request-Id", call->id);
  add_header (call, "X-Organisation", stream->organisation);
  if (*stream->class_name)
    add_header (call, "X-Class", stream->class_name);
  if (stream->idempotency_key)
    add_header (call, "Idempotency-Key", call->id);
  if (stream->deadline_us > 0)
    {
      snprintf (number, sizeof number, "%" PRId64,
                stream->deadline_us / EG_US_PER_MS);
      add_header (call, "X-Deadline-Ms", number);
    }
}

static void
aim (struct call *call)
{
  struct eg_load_calls *calls = call->calls;
  const char *path = call->stream->path;

  call->attempts++;
  call->target = eg_load_targets_choose (calls->targets);
  snprintf (call->url, sizeof call->url, "http://%s%s",
            calls->scenario->targets[call->target].address,
            *path ? path : "/v1/completions");
}

static void
aim_at_engine (struct call *call, const struct eg_load_chain *chain)
{
  snprintf (call->url, sizeof call->url, "http://%s/v1/generate", chain->head);
}

static void
take_event (void *context, struct eg_str event, struct eg_str data)
{
  struct call *call = context;
  int64_t now;

  if (!eg_load_check_event (&call->check, event, data))
    return;
  now = now_us (call->calls);
  eg_load_results_token (call->calls->results, call->record,
                         call->last_token_us, now);
  call->last_token_us = now;
}

static void
take_header (void *context, struct eg_str line)
{
  static const struct eg_str name = EG_STR ("X-Request-Id:");
  struct call *call = context;
  struct eg_str value;

  if (line.len < name.len || strncasecmp (line.data, name.data, name.len) != 0)
    return;
  value =
      eg_str_trim ((struct eg_str){line.data + name.len, line.len - name.len});
  call->has_request_id = true;
  if (!eg_str_equal (value, eg_str_from (call->id)))
    eg_load_check_mark_wrong (&call->check, WRONG_REQUEST_ID);
}

static void
take_body (void *context, int http_status, struct eg_str bytes)
{
  struct call *call = context;
  bool is_stream = call->check.answer == EG_LOAD_ANSWER_STREAM
                   || call->check.answer == EG_LOAD_ANSWER_DIRECT;

  if (is_stream && http_status == 200)
    eg_load_sse_feed (&call->sse, bytes);
  else if (call->answer_body.len + bytes.len <= MAX_BODY_BYTES)
    eg_buffer_append (&call->answer_body, bytes);
}

static void
free_call (struct call *call)
{
  eg_load_sse_finish (&call->sse);
  eg_buffer_finish (&call->prompt);
  eg_buffer_finish (&call->request_body);
  eg_buffer_finish (&call->answer_body);
  curl_slist_free_all (call->exchange.headers);
  free (call);
}

static bool
tries_another (struct call *call, const struct eg_load_end *end)
{
  const struct eg_load_scenario *scenario = call->calls->scenario;

  if (!end->refused || call->stream->n_chains > 0)
    return false;
  eg_load_targets_refused (call->calls->targets, call->target);
  if (!scenario->fail_over || call->attempts >= scenario->n_targets)
    return false;
  aim (call);
  eg_load_client_start (call->calls->client, &call->exchange);
  return true;
}

static void
take_end (void *context, const struct eg_load_end *end)
{
  struct call *call = context;
  struct eg_load_results *results = call->calls->results;
  struct eg_load_verdict verdict;
  int64_t now = now_us (call->calls);

  if (tries_another (call, end))
    return;
  eg_load_check_end (&call->check, end->http_status, end->transport,
                     eg_buffer_view (&call->answer_body), &verdict);
  if (call->check.answer == EG_LOAD_ANSWER_OBJECT
      && verdict.outcome == EG_LOAD_WHOLE)
    eg_load_results_tokens_at_once (results, call->record, call->check.position,
                                    now);
  if (end->http_status > 0 && !call->has_request_id
      && call->stream->n_chains == 0)
    results->missing_request_id++;
  eg_load_results_end (results, call->record, &verdict, now);
  call->calls->in_flight--;
  free_call (call);
}

static bool
is_non_idempotent (const struct eg_load_stream *stream)
{
  return stream->idempotency_key
         || (*stream->path && strcmp (stream->method, "GET") != 0);
}

static enum eg_load_answer
answer_of (const struct eg_load_stream *stream)
{
  if (stream->n_chains > 0)
    return EG_LOAD_ANSWER_DIRECT;
  if (*stream->path)
    return EG_LOAD_ANSWER_PLAIN;
  return stream->streamed ? EG_LOAD_ANSWER_STREAM : EG_LOAD_ANSWER_OBJECT;
}

static void
write_request (struct call *call, const struct eg_load_arrivals *arrivals)
{
  const struct eg_load_stream *stream = call->stream;

  snprintf (call->id, sizeof call->id, "%s-%" PRIu64 "-%" PRIu64, stream->name,
            call->calls->seed, arrivals->number);
  write_prompt (call);
  if (stream->n_chains > 0)
    {
      const struct eg_load_chain *chain =
          &stream->chains[arrivals->number % stream->n_chains];

      aim_at_engine (call, chain);
      write_direct (call, chain, arrivals->max_tokens);
      return;
    }
  aim (call);
  if (*stream->path)
    eg_buffer_append (&call->request_body, eg_str_from (stream->body));
  else
    write_completion (call, arrivals->max_tokens);
}

void
eg_load_call_start (struct eg_load_calls *calls,
                    size_t stream,
                    const struct eg_load_arrivals *arrivals)
{
  struct call *call = calloc (1, sizeof *call);

  EG_INVARIANT (call != NULL);
  call->calls = calls;
  call->stream = arrivals->stream;
  call->last_token_us = -1;
  eg_load_sse_init (&call->sse, take_event, call);
  write_request (call, arrivals);
  add_headers (call);
  eg_load_check_init (&call->check, answer_of (call->stream),
                      eg_buffer_view (&call->prompt), arrivals->max_tokens);
  call->exchange.method = *call->stream->path ? call->stream->method : "POST";
  call->exchange.url = call->url;
  call->exchange.body = eg_buffer_view (&call->request_body);
  call->exchange.timeout_us = calls->scenario->request_timeout_us;
  call->exchange.at_most_once = is_non_idempotent (call->stream);
  call->exchange.on_header = take_header;
  call->exchange.on_body = take_body;
  call->exchange.on_end = take_end;
  call->exchange.context = call;
  call->record = eg_load_results_arrival (calls->results, stream,
                                          arrivals->next_us, now_us (calls));
  calls->in_flight++;
  eg_load_client_start (calls->client, &call->exchange);
}
