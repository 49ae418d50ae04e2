#include "standin/load_request.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "standin/load_sse.h"

#define REQUEST_ID_BYTES 128
#define URL_BYTES (EG_LOAD_ADDRESS_BYTES + EG_LOAD_PATH_OR_URL_BYTES + 16)
#define MAX_RESPONSE_BYTES (1 << 20)
#define WRONG_REQUEST_ID "foreign-request-id"

struct request
{
  struct eg_load_session *session;
  const struct eg_load_stream *stream;
  struct eg_load_exchange exchange;
  struct eg_load_check check;
  struct eg_load_sse sse;
  struct eg_buffer prompt;
  struct eg_buffer request_body;
  struct eg_buffer response_body;
  char id[REQUEST_ID_BYTES];
  char url[URL_BYTES];
  size_t sample;
  size_t target;
  size_t attempts;
  int64_t last_token_us;
  bool has_request_id;
};

static int64_t
elapsed_us (const struct eg_load_session *session)
{
  return eg_clock_now_us () - session->start_us;
}

/* Starts the prompt with the request id. Prompts are therefore unique in a run,
   and the response to another request does not pass the check. */
static void
write_prompt (struct request *request)
{
  static const char filler[] = " origin of the family name, as recorded;";
  size_t wanted = (size_t) request->stream->prompt_bytes;

  eg_buffer_printf (&request->prompt, "%s", request->id);
  while (request->prompt.len < wanted)
    {
      size_t left = wanted - request->prompt.len;
      size_t len = left < sizeof filler - 1 ? left : sizeof filler - 1;

      eg_buffer_append (&request->prompt, (struct eg_str){filler, len});
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
write_completion (struct request *request, int64_t max_tokens)
{
  append_json (&request->request_body,
               json_pack ("{s:s, s:s%, s:I, s:b}", "model",
                          request->stream->model, "prompt",
                          request->prompt.data, request->prompt.len,
                          "max_tokens", (json_int_t) max_tokens, "stream",
                          request->stream->streamed));
}

static void
write_engine_request (struct request *request,
                      const struct eg_load_chain *chain,
                      int64_t max_tokens)
{
  json_t *stages = json_loads (chain->json, 0, NULL);

  append_json (&request->request_body,
               json_pack ("{s:s, s:i, s:I, s:s%, s:[], s:I, s:o}", "request",
                          request->id, "attempt", 1, "priority",
                          (json_int_t) request->stream->priority, "prompt",
                          request->prompt.data, request->prompt.len, "tokens",
                          "max_tokens", (json_int_t) max_tokens, "chain",
                          stages));
}

static void
add_header (struct request *request, const char *name, const char *value)
{
  char line[EG_LOAD_PATH_OR_URL_BYTES];

  snprintf (line, sizeof line, "%s: %s", name, value);
  request->exchange.headers =
      curl_slist_append (request->exchange.headers, line);
}

static void
add_headers (struct request *request)
{
  const struct eg_load_stream *stream = request->stream;
  char number[32];

  if (request->request_body.len > 0)
    add_header (request, "Content-Type", "application/json");
  if (stream->n_chains > 0)
    return;
  add_header (request, "X-Request-Id", request->id);
  add_header (request, "X-Organisation", stream->organisation);
  if (*stream->class_name)
    add_header (request, "X-Class", stream->class_name);
  if (stream->idempotency_key)
    add_header (request, "Idempotency-Key", request->id);
  if (stream->deadline_us > 0)
    {
      snprintf (number, sizeof number, "%" PRId64,
                stream->deadline_us / EG_US_PER_MS);
      add_header (request, "X-Deadline-Ms", number);
    }
}

static void
set_target (struct request *request, size_t target)
{
  struct eg_load_session *session = request->session;
  const char *path = request->stream->path;

  request->attempts++;
  request->target = target;
  snprintf (request->url, sizeof request->url, "http://%s%s",
            session->scenario->targets[request->target].address,
            *path ? path : "/v1/completions");
}

static void
set_engine_url (struct request *request, const struct eg_load_chain *chain)
{
  snprintf (request->url, sizeof request->url, "http://%s/v1/generate",
            chain->head);
}

static void
on_event (void *context, struct eg_str event, struct eg_str data)
{
  struct request *request = context;
  int64_t now_us;

  if (!eg_load_check_event (&request->check, event, data))
    return;
  now_us = elapsed_us (request->session);
  eg_load_results_record_token (request->session->results, request->sample,
                                request->last_token_us, now_us);
  request->last_token_us = now_us;
}

static void
on_header (void *context, struct eg_str line)
{
  static const struct eg_str name = EG_STR ("X-Request-Id:");
  struct request *request = context;
  struct eg_str value;

  if (line.len < name.len || strncasecmp (line.data, name.data, name.len) != 0)
    return;
  value =
      eg_str_trim ((struct eg_str){line.data + name.len, line.len - name.len});
  request->has_request_id = true;
  if (!eg_str_equal (value, eg_str_from (request->id)))
    eg_load_check_mark_wrong (&request->check, WRONG_REQUEST_ID);
}

static void
on_body (void *context, int http_status, struct eg_str bytes)
{
  struct request *request = context;
  bool is_stream = request->check.kind == EG_LOAD_RESPONSE_STREAM
                   || request->check.kind == EG_LOAD_RESPONSE_DIRECT;

  if (is_stream && http_status == 200)
    eg_load_sse_feed (&request->sse, bytes);
  else if (request->response_body.len + bytes.len <= MAX_RESPONSE_BYTES)
    eg_buffer_append (&request->response_body, bytes);
}

static void
free_request (struct request *request)
{
  eg_load_sse_finish (&request->sse);
  eg_buffer_finish (&request->prompt);
  eg_buffer_finish (&request->request_body);
  eg_buffer_finish (&request->response_body);
  curl_slist_free_all (request->exchange.headers);
  free (request);
}

static bool
retry_on_next_target (struct request *request,
                      const struct eg_load_exchange_result *result)
{
  const struct eg_load_scenario *scenario = request->session->scenario;

  if (!result->refused || request->stream->n_chains > 0)
    return false;
  eg_load_targets_mark_refused (request->session->targets, request->target);
  if (!scenario->fail_over || request->attempts >= scenario->n_targets)
    return false;
  set_target (request, eg_load_targets_choose_other (request->session->targets,
                                                     request->target));
  eg_load_client_start (request->session->client, &request->exchange);
  return true;
}

static void
on_end (void *context, const struct eg_load_exchange_result *result)
{
  struct request *request = context;
  struct eg_load_results *results = request->session->results;
  struct eg_load_verdict verdict;
  int64_t now_us = elapsed_us (request->session);

  if (retry_on_next_target (request, result))
    return;
  eg_load_check_end (&request->check, result->http_status,
                     result->transport_error,
                     eg_buffer_view (&request->response_body), &verdict);
  if (request->check.kind == EG_LOAD_RESPONSE_OBJECT
      && verdict.outcome == EG_LOAD_COMPLETE)
    eg_load_results_record_tokens (results, request->sample,
                                   request->check.position, now_us);
  if (result->http_status > 0 && !request->has_request_id
      && request->stream->n_chains == 0)
    results->missing_request_id++;
  eg_load_results_record_end (results, request->sample, &verdict, now_us);
  request->session->in_flight--;
  free_request (request);
}

static bool
is_non_idempotent (const struct eg_load_stream *stream)
{
  return stream->idempotency_key
         || (*stream->path && strcmp (stream->method, "GET") != 0);
}

static enum eg_load_response_kind
response_kind_of (const struct eg_load_stream *stream)
{
  if (stream->n_chains > 0)
    return EG_LOAD_RESPONSE_DIRECT;
  if (*stream->path)
    return EG_LOAD_RESPONSE_PLAIN;
  return stream->streamed ? EG_LOAD_RESPONSE_STREAM : EG_LOAD_RESPONSE_OBJECT;
}

static void
write_request (struct request *request, const struct eg_load_arrivals *arrivals)
{
  const struct eg_load_stream *stream = request->stream;

  snprintf (request->id, sizeof request->id, "%s-%" PRIu64 "-%" PRIu64,
            stream->name, request->session->seed, arrivals->number);
  write_prompt (request);
  if (stream->n_chains > 0)
    {
      const struct eg_load_chain *chain =
          &stream->chains[arrivals->number % stream->n_chains];

      set_engine_url (request, chain);
      write_engine_request (request, chain, arrivals->max_tokens);
      return;
    }
  set_target (request, eg_load_targets_choose (request->session->targets));
  if (*stream->path)
    eg_buffer_append (&request->request_body, eg_str_from (stream->body));
  else
    write_completion (request, arrivals->max_tokens);
}

void
eg_load_request_start (struct eg_load_session *session,
                       size_t stream,
                       const struct eg_load_arrivals *arrivals)
{
  struct request *request = calloc (1, sizeof *request);

  EG_INVARIANT (request != NULL);
  request->session = session;
  request->stream = arrivals->stream;
  request->last_token_us = -1;
  eg_load_sse_init (&request->sse, on_event, request);
  write_request (request, arrivals);
  add_headers (request);
  eg_load_check_init (&request->check, response_kind_of (request->stream),
                      eg_buffer_view (&request->prompt), arrivals->max_tokens);
  request->exchange.method =
      *request->stream->path ? request->stream->method : "POST";
  request->exchange.url = request->url;
  request->exchange.body = eg_buffer_view (&request->request_body);
  request->exchange.timeout_us = session->scenario->request_timeout_us;
  request->exchange.at_most_once = is_non_idempotent (request->stream);
  request->exchange.on_header = on_header;
  request->exchange.on_body = on_body;
  request->exchange.on_end = on_end;
  request->exchange.context = request;
  request->sample = eg_load_results_record_arrival (
      session->results, stream, arrivals->next_us, elapsed_us (session));
  session->in_flight++;
  eg_load_client_start (session->client, &request->exchange);
}
