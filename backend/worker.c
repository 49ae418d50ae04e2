#include "backend/worker.h"

#include <stdlib.h>
#include <string.h>

#include "backend/engine.h"
#include "backend/service.h"
#include "base/clock.h"
#include "base/list.h"
#include "base/log.h"
#include "base/map.h"
#include "base/status.h"
#include "http/sse.h"
#include "http/worker.h"

#define RING_SLOTS 16384
#define HEADERS_MAX 5
#define POLL_ANSWER_MAX ((size_t) 64 * 1024)

/* One attempt, poll or cancellation under way. */
struct job
{
  struct eg_list link; /* In the worker's jobs. */
  struct eg_backend_worker *worker;
  struct eg_backend_command *command;
  struct eg_http_transfer *transfer;
  struct eg_sse_parser parser;
  struct eg_engine_event event;
  struct eg_backend_event *tokens; /* Gathered while bytes are parsed. */
  bool ended;                      /* Its last report has gone out. */
};

struct eg_backend_worker
{
  struct eg_backend_config config;
  struct eg_backend_sink sink;
  struct eg_http_worker worker;
  struct eg_list jobs;
  struct eg_map attempts; /* Those of attempts, by request. */
};

struct eg_backend_command *
eg_backend_command_new (enum eg_backend_command_kind kind)
{
  struct eg_backend_command *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->kind = kind;
  return self;
}

void
eg_backend_command_free (struct eg_backend_command *self)
{
  if (!self)
    return;
  eg_buffer_finish (&self->target);
  eg_buffer_finish (&self->body);
  free (self);
}

static void
free_job (struct job *job)
{
  eg_sse_parser_finish (&job->parser);
  eg_buffer_finish (&job->event.token);
  eg_backend_event_free (job->tokens);
  eg_backend_command_free (job->command);
  free (job);
}

static bool
is_attempt (const struct job *job)
{
  return job->command->kind == EG_BACKEND_GENERATE
         || job->command->kind == EG_BACKEND_CALL;
}

static void
remove_job (struct job *job)
{
  struct eg_map *attempts = &job->worker->attempts;

  if (is_attempt (job) && eg_map_get (attempts, job->command->request) == job)
    eg_map_remove (attempts, job->command->request);
  eg_list_remove (&job->link);
  free_job (job);
}

static struct job *
add_job (struct eg_backend_worker *self, struct eg_backend_command *command)
{
  struct job *job = calloc (1, sizeof *job);

  EG_INVARIANT (job != NULL);
  job->worker = self;
  job->command = command;
  eg_list_append (&self->jobs, &job->link);
  if (is_attempt (job))
    eg_map_put (&self->attempts, command->request, job);
  return job;
}

static struct eg_backend_event *
event_of (const struct job *job, enum eg_backend_event_kind kind)
{
  struct eg_backend_event *event = eg_backend_event_new (kind);

  event->request = job->command->request;
  event->attempt = job->command->attempt;
  memcpy (event->address, job->command->address, sizeof event->address);
  return event;
}

static void
push_event (const struct job *job, struct eg_backend_event *event)
{
  job->worker->sink.push (job->worker->sink.context, event);
}

static void
push_failure (struct job *job, enum eg_attempt_cause cause, const char *server)
{
  struct eg_backend_event *event = event_of (job, EG_BACKEND_FAILED);

  event->cause = cause;
  eg_str_copy (eg_str_from (server), event->server, sizeof event->server);
  job->ended = true;
  push_event (job, event);
}

/* Generation. */

static void
flush_tokens (struct job *job)
{
  if (!job->tokens)
    return;
  push_event (job, job->tokens);
  job->tokens = NULL;
}

static void
on_stream_event (void *context, const struct eg_sse_event *sse)
{
  struct job *job = context;

  if (job->ended)
    return;
  eg_engine_read_event (sse->name, sse->data, &job->event);
  switch (job->event.kind)
    {
    case EG_ENGINE_TOKEN:
      if (!job->tokens)
        job->tokens = event_of (job, EG_BACKEND_TOKENS);
      eg_backend_event_add_token (job->tokens, job->event.position,
                                  eg_buffer_view (&job->event.token));
      return;
    case EG_ENGINE_DONE:
      flush_tokens (job);
      job->ended = true;
      push_event (job, event_of (job, EG_BACKEND_DONE));
      return;
    case EG_ENGINE_STAGE_FAILED:
      flush_tokens (job);
      push_failure (job,
                    job->event.away ? EG_ATTEMPT_STAGE_UNREACHABLE
                                    : EG_ATTEMPT_STAGE_FAILED,
                    job->event.address);
      return;
    case EG_ENGINE_INVALID:
      flush_tokens (job);
      push_failure (job, EG_ATTEMPT_INVALID_RESPONSE, "");
      return;
    }
}

static void
on_stream_data (void *context, struct eg_str bytes)
{
  struct job *job = context;

  if (!eg_sse_parser_feed (&job->parser, bytes, on_stream_event, job)
      && !job->ended)
    push_failure (job, EG_ATTEMPT_INVALID_RESPONSE, "");
  flush_tokens (job);
}

static const enum eg_attempt_cause outcome_causes[] = {
    [EG_HTTP_ANSWERED] = EG_ATTEMPT_CONNECTION_LOST,
    [EG_HTTP_NOT_SENT] = EG_ATTEMPT_NOT_SENT,
    [EG_HTTP_BROKEN] = EG_ATTEMPT_CONNECTION_LOST,
    [EG_HTTP_TIMED_OUT] = EG_ATTEMPT_TIMED_OUT,
};

static void
on_stream_done (void *context, const struct eg_http_result *result)
{
  struct job *job = context;
  enum eg_attempt_cause cause = outcome_causes[result->outcome];

  if (!job->ended)
    {
      if (result->status == 503
          && eg_engine_refusal_not_executed (result->body))
        cause = EG_ATTEMPT_REFUSED;
      else if (result->status != 0 && result->status != 200)
        cause = EG_ATTEMPT_INVALID_RESPONSE;
      push_failure (job, cause, "");
    }
  remove_job (job);
}

/* Plain services. */

static void
on_call_done (void *context, const struct eg_http_result *result)
{
  struct job *job = context;
  struct eg_backend_event *event;

  if (result->outcome != EG_HTTP_ANSWERED)
    push_failure (job, outcome_causes[result->outcome], "");
  else if (result->status == 503
           && eg_engine_refusal_not_executed (result->body))
    push_failure (job, EG_ATTEMPT_REFUSED, "");
  else
    {
      event = event_of (job, EG_BACKEND_DONE);
      event->http_status = result->status;
      eg_str_copy (eg_str_from (result->content_type), event->content_type,
                   sizeof event->content_type);
      eg_buffer_append (&event->text, result->body);
      push_event (job, event);
    }
  remove_job (job);
}

/* Polls. */

static enum eg_status
read_report (const struct job *job,
             struct eg_str body,
             struct eg_server_report *report,
             struct eg_error *error)
{
  int64_t now_us = eg_clock_now_us ();

  if (job->command->kind == EG_BACKEND_POLL_ENGINE)
    return eg_engine_read_load (body, now_us, eg_clock_wall_us (), report,
                                error);
  return eg_service_read_health (body, now_us, report, error);
}

static void
on_poll_done (void *context, const struct eg_http_result *result)
{
  struct job *job = context;
  struct eg_backend_event *event = event_of (job, EG_BACKEND_LOAD);
  struct eg_error error;

  if (result->outcome != EG_HTTP_ANSWERED || result->status != 200)
    {
      event->kind = EG_BACKEND_POLL_FAILED;
      event->not_found = result->status == 404;
      event->timed_out = result->timed_out;
    }
  else if (read_report (job, result->body, &event->report, &error) != EG_OK)
    {
      /* A plain service may answer any path, and not with a load report. */
      event->kind = EG_BACKEND_POLL_FAILED;
      event->not_found = true;
      eg_log (EG_LOG_INFO, "backend", "event=bad-report server=%s cause=\"%s\"",
              job->command->address, error.message);
    }
  push_event (job, event);
  remove_job (job);
}

/* Orders. */

static enum eg_order_result
order_result (const struct eg_http_result *result)
{
  if (result->outcome == EG_HTTP_NOT_SENT)
    return EG_ORDER_NOT_SENT;
  if (result->outcome != EG_HTTP_ANSWERED)
    return EG_ORDER_UNKNOWN;
  if (result->status == 200)
    return EG_ORDER_ACCEPTED;
  /* Of other failures an engine may have done a part. */
  return result->status < 500 || result->status == 503 ? EG_ORDER_REFUSED
                                                       : EG_ORDER_UNKNOWN;
}

static void
on_order_done (void *context, const struct eg_http_result *result)
{
  struct job *job = context;
  struct eg_backend_event *event = event_of (job, EG_BACKEND_ORDER_DONE);

  event->order_result = order_result (result);
  event->http_status = result->status;
  push_event (job, event);
  remove_job (job);
}

static void
on_ignored_done (void *context, const struct eg_http_result *result)
{
  (void) result;
  remove_job (context);
}

/* Commands. */

struct command_driver
{
  const char *method;
  const char *target;
  void (*on_data) (void *context, struct eg_str bytes);
  void (*on_done) (void *context, const struct eg_http_result *result);
};

static const struct command_driver drivers[] = {
    [EG_BACKEND_GENERATE] = {"POST", "/v1/generate", on_stream_data,
                             on_stream_done},
    [EG_BACKEND_CALL] = {NULL, NULL, NULL, on_call_done},
    [EG_BACKEND_CANCEL] = {"POST", "/v1/cancel", NULL, on_ignored_done},
    [EG_BACKEND_POLL_ENGINE] = {"GET", "/v1/load", NULL, on_poll_done},
    [EG_BACKEND_POLL_SERVICE] = {"GET", "/health", NULL, on_poll_done},
    [EG_BACKEND_ORDER] = {"POST", "/v1/orders", NULL, on_order_done},
};

static size_t
write_headers (const struct eg_backend_command *command,
               struct eg_http_header *headers)
{
  const struct eg_http_header all[] = {
      {EG_STR ("Content-Type"), eg_str_from (command->content_type)},
      {EG_STR ("X-Request-Id"), eg_str_from (command->request_id)},
      {EG_STR ("X-Organisation"), eg_str_from (command->organisation)},
      {EG_STR ("Idempotency-Key"), eg_str_from (command->key)},
      {EG_STR ("X-Ticket"), eg_str_from (command->ticket)},
  };
  size_t count = 0;

  for (size_t i = 0; i < sizeof all / sizeof all[0]; i++)
    if (all[i].value.len > 0)
      headers[count++] = all[i];
  return count;
}

static void
start_job (struct eg_backend_worker *self, struct eg_backend_command *command)
{
  const struct command_driver *driver = &drivers[command->kind];
  struct job *job = add_job (self, command);
  struct eg_http_header headers[HEADERS_MAX];
  struct eg_http_request request = {
      .method = driver->method ? driver->method : command->method,
      .address = command->address,
      .target = driver->target ? eg_str_from (driver->target)
                               : eg_buffer_view (&command->target),
      .headers = headers,
      .header_count = write_headers (command, headers),
      .connect_timeout_us = self->config.connect_timeout_us,
      .timeout_us = command->timeout_us,
      .send_by_us = command->send_by_us,
      .body_max = command->kind == EG_BACKEND_CALL ? self->config.answer_max
                                                   : POLL_ANSWER_MAX,
      .at_most_once = command->at_most_once,
      .on_data = driver->on_data,
      .on_done = driver->on_done,
      .context = job,
  };

  if (command->has_body)
    request.body =
        (struct eg_str){eg_buffer_text (&command->body), command->body.len};
  job->transfer = eg_http_client_start (self->worker.http, &request);
  if (job->transfer)
    return;
  if (is_attempt (job))
    push_failure (job, EG_ATTEMPT_NOT_SENT, "");
  if (command->kind == EG_BACKEND_ORDER)
    on_order_done (job, &(struct eg_http_result){.outcome = EG_HTTP_NOT_SENT});
  else
    remove_job (job);
}

/* Ends the attempt that a command replaces or cancels. */
static void
abort_attempt (struct eg_backend_worker *self,
               const struct eg_backend_command *command)
{
  struct job *job = eg_map_get (&self->attempts, command->request);

  if (!job
      || (command->kind == EG_BACKEND_CANCEL
          && job->command->attempt != command->attempt))
    return;
  eg_http_client_abort (self->worker.http, job->transfer);
  remove_job (job);
}

static void
handle_command (struct eg_backend_worker *self,
                struct eg_backend_command *command)
{
  if (command->kind == EG_BACKEND_POLL_ENGINE
      || command->kind == EG_BACKEND_POLL_SERVICE)
    command->timeout_us = self->config.poll_timeout_us;
  else if (command->kind != EG_BACKEND_ORDER)
    abort_attempt (self, command);
  if (command->kind == EG_BACKEND_CANCEL && !command->has_body)
    {
      eg_backend_command_free (command);
      return;
    }
  start_job (self, command);
}

static void
handle_any (void *context, void *command)
{
  handle_command (context, command);
}

static void
drop_any (void *command)
{
  eg_backend_command_free (command);
}

struct eg_backend_worker *
eg_backend_worker_new (const struct eg_backend_config *config,
                       const struct eg_backend_sink *sink)
{
  struct eg_backend_worker *self = calloc (1, sizeof *self);
  const struct eg_http_worker_ops ops = {handle_any, drop_any, self};

  if (!self)
    return NULL;
  self->config = *config;
  self->sink = *sink;
  eg_list_init (&self->jobs);
  if (eg_http_worker_init (&self->worker, &ops, RING_SLOTS))
    return self;
  free (self);
  return NULL;
}

void
eg_backend_worker_free (struct eg_backend_worker *self)
{
  struct eg_list *link;

  if (!self)
    return;
  eg_http_worker_finish (&self->worker);
  while ((link = eg_list_pop_front (&self->jobs)))
    free_job (EG_CONTAINER_OF (link, struct job, link));
  eg_map_finish (&self->attempts);
  free (self);
}

bool
eg_backend_worker_push (struct eg_backend_worker *self,
                        struct eg_backend_command *command)
{
  return eg_http_worker_push (&self->worker, command);
}
