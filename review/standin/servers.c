#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/status.h"
#include "review/standin/parts.h"

#define REFUSED_MISDIRECTED 421
#define SMALL_BYTES 100

/** A request in progress; state of its connection. */
struct server_request
{
  struct stand_server *server;
  char id[64];
  unsigned next;
  bool deadly;
  bool is_small; /**< Its answer is short, whatever the server's are. */
};

void
stand_list_server (struct stand_server *self)
{
  char address[32];
  char layers[160] = "";
  char spec[512];

  soak_format_address (self->http.endpoint, address, sizeof address);
  if (self->engine)
    snprintf (layers, sizeof layers,
              ",\"stage\":\"combined\",\"models\":[{\"name\":\"m0\","
              "\"version\":1,\"adapters\":[]}],\"kind\":\"a100\","
              "\"layers\":{\"from\":0,\"to\":%d,\"version\":1}",
              self->loaded ? STAND_LAYERS : 0);
  snprintf (spec, sizeof spec,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":64,\"state\":\"%s\","
            "\"coldRemainingMs\":0,\"sequence\":%u,\"born\":%" PRId64 "%s}",
            self->service, address, self->zone,
            self->draining ? "draining" : "ready", self->orders, self->born_ms,
            layers);
  self->listed = true;
  stand_put (self->stand, "servers", self->id, spec);
}

void
stand_server_start (struct stand_server *self)
{
  snprintf (self->id, sizeof self->id, "i-%u-%u", self->number, ++self->starts);
  self->born_ms = eg_clock_wall_us () / EG_US_PER_MS;
  self->draining = false;
  self->leaving = false;
  self->loaded = false;
  self->loading_us = 0;
  self->orders = 0;
  self->running = true;
  self->restart_us = 0;
  soak_http_server_start (&self->http);
  stand_list_server (self);
  stand_note (self->stand, "server %s of %s starts", self->id, self->service);
}

void
stand_server_crash (struct stand_server *self)
{
  int64_t now_us = eg_clock_now_us ();

  if (!self->running)
    return;
  stand_note (self->stand, "server %s of %s crashes", self->id, self->service);
  soak_http_server_stop (&self->http);
  self->running = false;
  self->restart_us = now_us + self->down_ms * EG_US_PER_MS;
  /* A server that crashes sends nothing; three heartbeats are missed. */
  snprintf (self->expiring, sizeof self->expiring, "%s", self->id);
  self->unlist_us = now_us + (int64_t) 3 * STAND_HEARTBEAT_MS * EG_US_PER_MS;
}

void
stand_servers_check (struct stand *self)
{
  int64_t now_us = eg_clock_now_us ();

  for (size_t i = 0; i < self->server_count; i++)
    {
      struct stand_server *server = &self->servers[i];

      if (server->unlist_us > 0 && now_us >= server->unlist_us)
        {
          server->unlist_us = 0;
          stand_delete (self, "servers", server->expiring);
        }
      if (server->running && server->loading_us > 0
          && now_us >= server->loading_us)
        {
          server->loading_us = 0;
          server->loaded = true;
          stand_list_server (server);
          stand_note (self, "server %s holds its layers", server->id);
        }
      if (!server->running && server->restart_us > 0
          && now_us >= server->restart_us)
        stand_server_start (server);
    }
}

static void
write_fields (const struct stand_server *self,
              const char *id,
              bool sealed,
              char *fields,
              size_t capacity)
{
  snprintf (fields, capacity, "X-Attempt-Id: %s\r\n%s%s", id,
            sealed ? "X-Server-Seal: s1\r\n" : "",
            self->leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "");
}

static void
respond_plain (struct soak_http_connection *connection)
{
  struct server_request *request = connection->state;
  struct stand_server *self = request->server;
  bool failure = self->status >= 300;
  struct eg_buffer body = {0};
  char fields[200];

  write_fields (self, request->id, !failure || self->seals_failures, fields,
                sizeof fields);
  while (body.len < (request->is_small ? SMALL_BYTES : self->body_bytes))
    eg_buffer_printf (&body, "%08zu %s\n", body.len, request->id);
  stand_note (self->stand, "server %s answers %s: %u, %zu bytes", self->id,
              request->id, failure ? self->status : 200, body.len);
  soak_http_respond (connection, failure ? self->status : 200,
                     eg_str_from (fields), eg_buffer_view (&body));
  eg_buffer_finish (&body);
}

static void
send_event (struct soak_http_connection *connection)
{
  struct server_request *request = connection->state;
  struct stand_server *self = request->server;
  char event[96];
  char chunk[160];

  if (request->next > self->events)
    {
      eg_socket_write (&connection->socket, EG_STR ("0\r\n\r\n"));
      soak_http_finish_request (connection);
      return;
    }
  snprintf (event, sizeof event, "id: %u\ndata: %s\n\n", request->next++,
            request->id);
  snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (event), event);
  eg_socket_write (&connection->socket, eg_str_from (chunk));
  soak_http_schedule (connection, self->event_ms, send_event);
}

static void
begin_stream (struct soak_http_connection *connection)
{
  struct server_request *request = connection->state;
  struct stand_server *self = request->server;
  char fields[200];
  char head[400];

  if (request->deadly)
    {
      stand_note (self->stand, "server %s begins to write on %s", self->id,
                  request->id);
      stand_server_crash (self);
      return;
    }
  write_fields (self, request->id, true, fields, sizeof fields);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n%s\r\n",
            fields);
  eg_socket_write (&connection->socket, eg_str_from (head));
  send_event (connection);
}

static void
respond_report (struct stand_server *self,
                struct soak_http_connection *connection)
{
  char report[400];

  snprintf (report, sizeof report,
            "{\"stage\":\"combined\",\"models\":[{\"name\":\"m0\","
            "\"version\":1,\"adapters\":[]}],\"busy\":%s,\"sequence\":%u,"
            "\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":90000,"
            "\"kvHandles\":0,\"kind\":\"a100\",\"pace\":1,\"born\":%" PRId64
            ",\"layers\":{\"from\":0,\"to\":%d,\"version\":1},\"stalled\":[]}",
            self->loading_us > 0 ? "true" : "false", self->orders,
            self->born_ms, self->loaded ? STAND_LAYERS : 0);
  soak_http_respond (connection, 200,
                     EG_STR ("Content-Type: application/json\r\n"),
                     eg_str_from (report));
}

/* Takes an order to hold all layers; others don't come, as each engine has room
 * for all. */
static void
take_order (struct stand_server *self, struct soak_http_connection *connection)
{
  json_t *order =
      json_loadb (connection->body.data, connection->body.len, 0, NULL);
  const char *operation =
      json_string_value (json_object_get (order, "operation"));
  const json_t *expected = json_object_get (order, "expectedRevision");
  json_int_t from = json_integer_value (json_object_get (order, "from"));
  json_int_t to = json_integer_value (json_object_get (order, "to"));
  unsigned status = 202;

  if (!operation || strcmp (operation, "place") != 0)
    status = operation && strcmp (operation, "repath") == 0 ? 404 : 400;
  else if (self->loaded && from == 0 && to == STAND_LAYERS)
    status = 200;
  else if ((expected && json_integer_value (expected) != self->orders)
           || self->loaded || self->loading_us > 0 || from != 0
           || to != STAND_LAYERS)
    status = 409;
  else
    {
      self->orders++;
      self->loading_us =
          eg_clock_now_us ()
          + STAND_LOAD_MS * EG_US_PER_MS / (self->stand->had_requests ? 1 : 10);
    }
  stand_note (self->stand, "server %s is ordered to hold %d to %d: %u",
              self->id, (int) from, (int) to, status);
  json_decref (order);
  soak_http_respond (connection, status, EG_STR (""), EG_STR ("{}"));
}

static bool
has_part (struct eg_str parts, const char *part)
{
  while (parts.len > 0)
    {
      struct eg_str entry = eg_str_cut (&parts, ',');

      if (eg_str_equal (eg_str_trim (eg_str_cut (&entry, ':')),
                        eg_str_from (part)))
        return true;
    }
  return false;
}

static void
on_request (void *context, struct soak_http_connection *connection)
{
  struct stand_server *self = context;
  const struct eg_http_head *head = &connection->reader.head;
  struct server_request *request = calloc (1, sizeof *request);
  struct eg_str tenant = eg_http_head_find (head, "x-tenant");
  struct eg_str target = eg_http_head_target (head);
  int64_t last = 0;

  EG_INVARIANT (request);
  connection->state = request;
  request->server = self;
  eg_str_copy (eg_http_head_find (head, "x-attempt-id"), request->id,
               sizeof request->id);
  if (!eg_str_equal (eg_http_head_find (head, "x-expect-instance"),
                     eg_str_from (self->id)))
    {
      soak_http_respond (connection, REFUSED_MISDIRECTED, EG_STR (""),
                         EG_STR (""));
      return;
    }
  if (eg_str_equal (target, EG_STR ("/eelgrasswood/report")))
    {
      respond_report (self, connection);
      return;
    }
  if (eg_str_equal (target, EG_STR ("/eelgrasswood/order")))
    {
      take_order (self, connection);
      return;
    }
  if (self->engine && !self->loaded)
    {
      soak_http_respond (connection, REFUSED_MISDIRECTED, EG_STR (""),
                         EG_STR (""));
      return;
    }
  self->stand->had_requests = true;
  request->is_small =
      target.len > 0 && memmem (target.data, target.len, "/small", 6);
  self->runs++;
  stand_note (self->stand, "server %s of %s runs %s, tenant %.*s", self->id,
              self->service, request->id, EG_STR_ARGS (tenant));
  if (self->stand->arrived)
    self->stand->arrived (self, head, eg_str_from (request->id));
  request->deadly =
      self->deadly
      && has_part (eg_http_head_find (head, "x-prefix-hash"), self->deadly);
  eg_str_to_int64 (eg_http_head_find (head, "last-event-id"), &last);
  request->next = (unsigned) last + 1;
  soak_http_schedule (connection, self->work_ms,
                      self->engine ? begin_stream : respond_plain);
}

struct stand_server *
stand_add_server (struct stand *self,
                  const char *service,
                  const char *zone,
                  bool engine)
{
  struct stand_server *server = &self->servers[self->server_count];

  EG_INVARIANT (self->server_count < STAND_SERVERS_MAX);
  server->number = (unsigned) ++self->server_count;
  server->stand = self;
  server->service = service;
  server->zone = zone;
  server->engine = engine;
  server->work_ms = 15;
  server->body_bytes = 800;
  server->events = 40;
  server->event_ms = 20;
  server->down_ms = 2000;
  server->seals_failures = true;
  soak_http_server_init (&server->http, &self->loop, 0, on_request, server);
  stand_server_start (server);
  return server;
}
