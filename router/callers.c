#include "router/callers.h"

#include <civetweb.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "http/json.h"
#include "router/caller_request.h"
#include "router/problem.h"

#define OPTION_TEXT_BYTES 32
#define REPLY_WAIT_US (1000 * EG_US_PER_MS)
#define REQUEST_TIMEOUT_MS "10000"
#define KEEP_ALIVE_TIMEOUT_MS "2000"

struct eg_callers
{
  const struct eg_router_settings *settings;
  struct eg_decision *decision;
  struct mg_context *server;
  atomic_uint_fast64_t next_id;
  atomic_uint active;
};

/* State of writing the answer to one call. */
struct exchange
{
  struct eg_callers *callers;
  struct mg_connection *connection;
  struct eg_call *call;
  struct eg_buffer text; /* Text of a completion that is not streamed. */
  int64_t token_count;
  bool headers_sent;
  bool caller_disconnected;
};

/* HTTP output. */

static void
write_all (struct exchange *exchange, struct eg_str bytes)
{
  if (exchange->caller_disconnected || bytes.len == 0)
    return;
  if (mg_write (exchange->connection, bytes.data, bytes.len) <= 0)
    exchange->caller_disconnected = true;
}

static void
write_response (struct exchange *exchange,
                int status,
                const char *content_type,
                int64_t retry_after_s,
                struct eg_str body)
{
  struct eg_buffer answer = {0};

  eg_buffer_printf (&answer, "HTTP/1.1 %d %s\r\n", status,
                    mg_get_response_code_text (exchange->connection, status));
  if (*content_type)
    eg_buffer_printf (&answer, "Content-Type: %s\r\n", content_type);
  eg_buffer_printf (&answer, "X-Request-Id: %s\r\n",
                    exchange->call->request_id);
  if (retry_after_s > 0)
    eg_buffer_printf (&answer, "Retry-After: %" PRId64 "\r\n", retry_after_s);
  eg_buffer_printf (&answer, "Content-Length: %zu\r\n\r\n", body.len);
  if (strcmp (exchange->call->method, "HEAD") != 0)
    eg_buffer_append (&answer, body);
  exchange->headers_sent = true;
  write_all (exchange, eg_buffer_view (&answer));
  eg_buffer_finish (&answer);
}

/* Writes each chunk with a single call, so that no token is delayed until the
   next packet. */
static void
write_chunk (struct exchange *exchange, struct eg_str bytes)
{
  struct eg_buffer chunk = {0};

  if (!exchange->headers_sent)
    eg_buffer_printf (&chunk,
                      "HTTP/1.1 200 OK\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Cache-Control: no-store\r\n"
                      "X-Request-Id: %s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n",
                      exchange->call->request_id);
  exchange->headers_sent = true;
  eg_buffer_printf (&chunk, "%zx\r\n", bytes.len);
  eg_buffer_append (&chunk, bytes);
  eg_buffer_append (&chunk, EG_STR ("\r\n"));
  write_all (exchange, eg_buffer_view (&chunk));
  eg_buffer_finish (&chunk);
}

static void
write_last_chunk (struct exchange *exchange, struct eg_str bytes)
{
  write_chunk (exchange, bytes);
  write_all (exchange, EG_STR ("0\r\n\r\n"));
}

static void
write_problem (struct exchange *exchange, const struct eg_problem *problem)
{
  struct eg_buffer json = {0};
  struct eg_buffer event = {0};

  eg_problem_write (problem, &json);
  if (exchange->headers_sent)
    {
      eg_buffer_printf (&event, "event: error\ndata: %s\n\n",
                        eg_buffer_text (&json));
      write_last_chunk (exchange, eg_buffer_view (&event));
    }
  else
    write_response (exchange, eg_refusal_info (problem->refusal)->http_status,
                    "application/problem+json",
                    eg_problem_retry_after_s (problem), eg_buffer_view (&json));
  eg_buffer_finish (&json);
  eg_buffer_finish (&event);
}

static void
write_completion (struct exchange *exchange)
{
  const struct eg_call *call = exchange->call;
  struct eg_buffer json = {0};

  if (call->stream)
    {
      write_last_chunk (exchange, EG_STR ("data: [DONE]\n\n"));
      return;
    }
  eg_call_write_completion (call, eg_buffer_view (&exchange->text),
                            exchange->token_count, &json);
  write_response (exchange, 200, "application/json", 0, eg_buffer_view (&json));
  eg_buffer_finish (&json);
}

/* Replies. */

static void
apply_tokens (struct exchange *exchange, const struct eg_reply *reply)
{
  exchange->token_count += reply->token_count;
  if (exchange->call->stream)
    write_chunk (exchange, eg_buffer_view (&reply->events));
  else
    eg_buffer_append (&exchange->text, eg_buffer_view (&reply->text));
}

static void
apply_refusal (struct exchange *exchange, const struct eg_reply *reply)
{
  const struct eg_problem problem = {
      .refusal = reply->refusal,
      .ran = reply->ran,
      .retry_after_us = reply->retry_after_us,
      .detail = reply->detail,
      .request_id = exchange->call->request_id,
  };

  write_problem (exchange, &problem);
}

/* Returns true if this was the last reply. */
static bool
apply_reply (struct exchange *exchange, const struct eg_reply *reply)
{
  switch (reply->kind)
    {
    case EG_REPLY_TOKENS:
      apply_tokens (exchange, reply);
      return false;
    case EG_REPLY_DONE:
      write_completion (exchange);
      return true;
    case EG_REPLY_ANSWER:
      write_response (exchange, reply->http_status, reply->content_type, 0,
                      eg_buffer_view (&reply->text));
      return true;
    case EG_REPLY_REFUSAL:
      apply_refusal (exchange, reply);
      return true;
    }
  return true;
}

static void
serve_replies (struct exchange *exchange)
{
  bool ended = false;

  while (!ended && !exchange->caller_disconnected)
    {
      struct eg_reply *reply = eg_ring_pop (&exchange->call->replies);

      if (!reply)
        {
          eg_ring_wait (&exchange->call->replies, REPLY_WAIT_US);
          continue;
        }
      ended = apply_reply (exchange, reply);
      eg_reply_free (reply);
    }
  if (!ended)
    eg_decision_abandon (exchange->callers->decision, exchange->call);
}

/* Handlers. */

typedef bool (*read_function) (struct mg_connection *connection,
                               const struct eg_router_settings *settings,
                               struct eg_call *call,
                               struct eg_problem *problem,
                               struct eg_error *error);

static void
serve_call (struct exchange *exchange, read_function read)
{
  struct eg_callers *self = exchange->callers;
  struct eg_error error = {0};
  struct eg_problem problem = {
      .detail = error.message,
      .request_id = exchange->call->request_id,
  };

  if (!read (exchange->connection, self->settings, exchange->call, &problem,
             &error))
    {
      write_problem (exchange, &problem);
      return;
    }
  if (eg_decision_submit (self->decision, exchange->call))
    {
      serve_replies (exchange);
      return;
    }
  problem.refusal = EG_REFUSAL_QUEUE_FULL;
  problem.retry_after_us = EG_US_PER_S;
  write_problem (exchange, &problem);
}

static int
handle (struct mg_connection *connection,
        struct eg_callers *self,
        read_function read)
{
  struct exchange exchange = {.callers = self, .connection = connection};

  exchange.call = eg_call_new (atomic_fetch_add (&self->next_id, 1));
  if (!exchange.call)
    return 503;
  atomic_fetch_add (&self->active, 1);
  serve_call (&exchange, read);
  atomic_fetch_sub (&self->active, 1);
  eg_buffer_finish (&exchange.text);
  eg_call_unref (exchange.call);
  /* After a refusal, part of the body may be unread; CivetWeb discards it
     before it reads the next request. */
  return 200;
}

static int
handle_completion (struct mg_connection *connection, void *context)
{
  return handle (connection, context, eg_caller_read_completion);
}

static int
handle_service (struct mg_connection *connection, void *context)
{
  return handle (connection, context, eg_caller_read_service);
}

static int
handle_ticket (struct mg_connection *connection, void *context)
{
  return handle (connection, context, eg_caller_read_ticket);
}

static int
handle_health (struct mg_connection *connection, void *context)
{
  struct eg_callers *self = context;
  bool ready = eg_decision_is_ready (self->decision);
  const char *body = ready ? "{\"ready\":true}" : "{\"ready\":false}";

  mg_printf (connection,
             "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             ready ? "200 OK" : "503 Service Unavailable", strlen (body), body);
  return 200;
}

static void
write_model (struct eg_buffer *json,
             const struct eg_servers *servers,
             uint32_t index,
             int64_t now_us)
{
  const struct eg_server *server = eg_servers_get (servers, index);
  const struct eg_server_report *report = &server->report;

  eg_buffer_printf (json, "%s{", json->len > 1 ? "," : "");
  eg_json_append_member (json, "model", report->model);
  eg_json_append_member (json, "version", report->version);
  eg_buffer_printf (
      json, ",\"layers\":[%u,%u],\"model_layers\":%u,\"state\":\"%s\"}",
      report->first_layer, report->last_layer, report->model_layers,
      eg_servers_usable (servers, index, now_us) ? "usable" : "not-usable");
}

static void
write_models (void *context, const struct eg_decision_view *view)
{
  struct eg_buffer *json = context;

  eg_buffer_append (json, EG_STR ("["));
  for (uint32_t i = 0; i < eg_servers_count (view->servers); i++)
    {
      const struct eg_server *server = eg_servers_get (view->servers, i);

      if (server && server->reported && *server->report.model)
        write_model (json, view->servers, i, view->now_us);
    }
  eg_buffer_append (json, EG_STR ("]"));
}

static int
handle_models (struct mg_connection *connection, void *context)
{
  struct eg_callers *self = context;
  struct eg_buffer json = {0};

  if (eg_decision_query (self->decision, write_models, &json))
    mg_printf (connection,
               "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
               "Content-Length: %zu\r\n\r\n%s",
               json.len, eg_buffer_text (&json));
  else
    mg_send_http_error (connection, 503, "%s", "too busy");
  eg_buffer_finish (&json);
  return 200;
}

/* Reports errors that CivetWeb detects itself, such as a malformed header. */
static int
on_http_error (struct mg_connection *connection, int status, const char *cause)
{
  struct eg_buffer json = {0};

  /* Every client error but 404 is an unreadable request: report it as 400. */
  if (status >= 400 && status < 500 && status != 404)
    status = 400;
  eg_buffer_printf (&json,
                    "{\"type\":\"%s\",\"title\":\"%s\",\"status\":%d,"
                    "\"detail\":",
                    status == 404 ? "not-found" : "malformed",
                    mg_get_response_code_text (connection, status), status);
  eg_json_append_string (&json, eg_str_from (cause));
  eg_buffer_append (&json, EG_STR (",\"request_id\":\"\",\"ran\":\"no\"}"));
  mg_printf (connection,
             "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
             status, mg_get_response_code_text (connection, status), json.len,
             eg_buffer_text (&json));
  eg_buffer_finish (&json);
  return 0;
}

static int
handle_unknown (struct mg_connection *connection, void *context)
{
  (void) context;
  on_http_error (connection, 404, "no such path");
  return 404;
}

static int
on_log_message (const struct mg_connection *connection, const char *message)
{
  (void) connection;
  eg_log (EG_LOG_DEBUG, "callers", "event=http-library message=\"%s\"",
          message);
  return 1;
}

static const struct
{
  const char *path;
  mg_request_handler handler;
} routes[] = {
    {"/v1/completions$", handle_completion},
    {"/v1/tickets$", handle_ticket},
    {"/v1/models$", handle_models},
    {"/services/", handle_service},
    {"/health$", handle_health},
    {"/", handle_unknown},
};

struct eg_callers *
eg_callers_new (const struct eg_router_settings *settings,
                struct eg_decision *decision,
                struct eg_error *error)
{
  struct eg_callers *self = calloc (1, sizeof *self);
  char threads[OPTION_TEXT_BYTES];
  const struct mg_callbacks callbacks = {
      .http_error = on_http_error,
      .log_message = on_log_message,
  };
  const char *options[] = {
      "listening_ports",
      settings->listen_callers,
      "num_threads",
      threads,
      "request_timeout_ms",
      REQUEST_TIMEOUT_MS,
      "enable_keep_alive",
      "yes",
      "keep_alive_timeout_ms",
      KEEP_ALIVE_TIMEOUT_MS,
      "tcp_nodelay",
      "1",
      NULL,
  };

  EG_INVARIANT (self != NULL);
  self->settings = settings;
  self->decision = decision;
  atomic_init (&self->next_id, 1);
  snprintf (threads, sizeof threads, "%" PRId64, settings->caller_threads);
  self->server = mg_start (&callbacks, self, options);
  if (!self->server)
    {
      eg_error_set (error, EG_SYSTEM, "listen.callers: cannot listen on %s",
                    settings->listen_callers);
      free (self);
      return NULL;
    }
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    mg_set_request_handler (self->server, routes[i].path, routes[i].handler,
                            self);
  return self;
}

void
eg_callers_free (struct eg_callers *self)
{
  if (!self)
    return;
  mg_stop (self->server);
  free (self);
}

unsigned
eg_callers_active (struct eg_callers *self)
{
  return atomic_load (&self->active);
}
