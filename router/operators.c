#include "router/operators.h"

#include <civetweb.h>
#include <inttypes.h>
#include <stdlib.h>

#define THREADS "4"

struct eg_operators
{
  struct eg_decision *decision;
  struct mg_context *server;
};

static void
write_metrics (void *context, const struct eg_decision_view *view)
{
  struct eg_buffer *text = context;
  struct eg_lifecycle_counts counts = eg_lifecycle_counts (view->lifecycle);
  const struct eg_metrics_gauge gauges[] = {
      {"eelgrass_arrived_total", "counter", "Requests that reached a decision",
       (double) counts.arrived},
      {"eelgrass_attempts_total", "counter", "Attempts on backend servers",
       (double) counts.attempts},
      {"eelgrass_retries_total", "counter", "Attempts after the first",
       (double) counts.retries},
      {"eelgrass_resumed_total", "counter",
       "Attempts that went on in the middle of an answer",
       (double) counts.resumed},
      {"eelgrass_late_tokens_total", "counter",
       "Tokens dropped, as their attempt was not the last",
       (double) counts.late_tokens},
      {"eelgrass_queued", "gauge", "Requests that wait",
       (double) counts.queued},
      {"eelgrass_running", "gauge", "Requests with an attempt",
       (double) counts.running},
  };

  for (size_t i = 0; i < sizeof gauges / sizeof gauges[0]; i++)
    eg_metrics_write_gauge (text, &gauges[i]);
  eg_metrics_write (view->metrics, text);
}

static void
write_server (struct eg_buffer *json,
              const struct eg_servers *servers,
              uint32_t index,
              int64_t now_us)
{
  const struct eg_server *server = eg_servers_get (servers, index);

  eg_buffer_printf (
      json,
      "%s{\"address\":\"%s\",\"failure_domain\":\"%s\",\"service\":\"%s\","
      "\"model\":\"%s\",\"layers\":[%u,%u],\"usable\":%s,\"stops\":%u,"
      "\"in_flight\":%u,\"load\":%u}",
      json->len > 1 ? "," : "", server->address, server->failure_domain,
      server->report.service, server->report.model, server->report.first_layer,
      server->report.last_layer,
      eg_servers_usable (servers, index, now_us) ? "true" : "false",
      server->stops, server->in_flight, eg_servers_load (servers, index));
}

static void
write_servers (void *context, const struct eg_decision_view *view)
{
  struct eg_buffer *json = context;

  eg_buffer_append (json, EG_STR ("["));
  for (uint32_t i = 0; i < eg_servers_count (view->servers); i++)
    {
      const struct eg_server *server = eg_servers_get (view->servers, i);

      if (server && *server->address)
        write_server (json, view->servers, i, view->now_us);
    }
  eg_buffer_append (json, EG_STR ("]"));
}

static int
answer (struct mg_connection *connection,
        struct eg_operators *self,
        const char *content_type,
        void (*write) (void *context, const struct eg_decision_view *view))
{
  struct eg_buffer body = {0};

  if (eg_decision_inquire (self->decision, write, &body))
    {
      mg_printf (connection,
                 "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 content_type, body.len);
      mg_write (connection, eg_buffer_text (&body), body.len);
    }
  else
    mg_send_http_error (connection, 503, "%s", "too busy");
  eg_buffer_finish (&body);
  return 200;
}

static int
handle_metrics (struct mg_connection *connection, void *context)
{
  return answer (connection, context, "text/plain; version=0.0.4",
                 write_metrics);
}

static int
handle_servers (struct mg_connection *connection, void *context)
{
  return answer (connection, context, "application/json", write_servers);
}

struct eg_operators *
eg_operators_new (const struct eg_router_settings *settings,
                  struct eg_decision *decision,
                  struct eg_error *error)
{
  struct eg_operators *self = calloc (1, sizeof *self);
  const struct mg_callbacks callbacks = {0};
  const char *options[] = {
      "listening_ports",
      settings->listen_operators,
      "num_threads",
      THREADS,
      NULL,
  };

  EG_INVARIANT (self != NULL);
  self->decision = decision;
  self->server = mg_start (&callbacks, self, options);
  if (!self->server)
    {
      eg_error_set (error, EG_SYSTEM, "listen.operators: cannot listen on %s",
                    settings->listen_operators);
      free (self);
      return NULL;
    }
  mg_set_request_handler (self->server, "/metrics$", handle_metrics, self);
  mg_set_request_handler (self->server, "/servers$", handle_servers, self);
  return self;
}

void
eg_operators_free (struct eg_operators *self)
{
  if (!self)
    return;
  mg_stop (self->server);
  free (self);
}
