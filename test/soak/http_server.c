#include "test/soak/http_server.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/status.h"

/* Time between two pieces of a response over a narrow link. */
#define PIECE_MS 5

void
soak_format_address (struct eg_endpoint endpoint, char *text, size_t capacity)
{
  snprintf (text, capacity, "127.0.0.1:%u", ntohs (endpoint.port));
}

static void
free_when_closed (struct soak_http_connection *self)
{
  if (--self->closing_handles > 0)
    return;
  eg_list_remove (&self->link);
  eg_http_reader_finish (&self->reader);
  eg_buffer_finish (&self->body);
  eg_buffer_finish (&self->unsent);
  free (self->state);
  free (self);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  free_when_closed (handle->data);
}

static void
on_closed (void *context)
{
  free_when_closed (context);
}

static void
close_connection (struct soak_http_connection *self,
                  void (*close_socket) (struct eg_socket *socket))
{
  if (self->closed)
    return;
  self->closed = true;
  self->closing_handles = 2;
  if (self->unsent.len > 0)
    self->server->sending--;
  uv_close ((uv_handle_t *) &self->timer, on_timer_closed);
  close_socket (&self->socket);
}

void
soak_http_abort (struct soak_http_connection *self)
{
  close_connection (self, eg_socket_close);
}

static void
on_ended (void *context, int uv_error)
{
  (void) uv_error;
  soak_http_abort (context);
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  struct soak_http_connection *self = context;

  if (self->handling || self->closed)
    return;
  eg_http_reader_feed (&self->reader, bytes);
  if (self->reader.fault != EG_HTTP_NO_FAULT)
    soak_http_abort (self);
  else if (self->reader.complete)
    {
      self->handling = true;
      self->server->handle (self->server->context, self);
    }
}

static void
on_drained (void *context)
{
  (void) context;
}

static void
on_head (void *context)
{
  (void) context;
}

static void
on_body (void *context, struct eg_str bytes)
{
  eg_buffer_append (&((struct soak_http_connection *) context)->body, bytes);
}

static const struct eg_socket_events socket_events = {NULL, on_bytes, on_ended,
                                                      on_drained, on_closed};
static const struct eg_http_reader_events reader_events = {on_head, on_body};

static void
on_connection (uv_stream_t *listener, int status)
{
  struct soak_http_server *server = listener->data;
  struct soak_http_connection *self;

  if (status != 0)
    return;
  self = calloc (1, sizeof *self);
  EG_INVARIANT (self);
  self->server = server;
  eg_http_reader_init (&self->reader, EG_HTTP_REQUEST, 65536, &reader_events,
                       self);
  uv_timer_init (server->loop, &self->timer);
  self->timer.data = self;
  eg_socket_init (&self->socket, server->loop, &socket_events, self);
  eg_list_append (&server->connections, &self->link);
  if (eg_socket_accept (&self->socket, listener) != 0
      || eg_socket_read (&self->socket) != 0)
    soak_http_abort (self);
}

void
soak_http_server_init (struct soak_http_server *self,
                       uv_loop_t *loop,
                       uint16_t port,
                       void (*handle) (void *context,
                                       struct soak_http_connection *connection),
                       void *context)
{
  memset (self, 0, sizeof *self);
  self->loop = loop;
  self->endpoint.ip = htonl (INADDR_LOOPBACK);
  self->endpoint.port = htons (port);
  self->handle = handle;
  self->context = context;
  eg_list_init (&self->connections);
}

static void
set_listening (struct soak_http_server *self, bool listening)
{
  if (self->listening == listening)
    return;
  self->listening = listening;
  if (self->listening_changed)
    self->listening_changed (self->context, listening);
}

void
soak_http_server_start (struct soak_http_server *self)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_port = self->endpoint.port,
                                .sin_addr.s_addr = self->endpoint.ip};
  int len = sizeof address;

  uv_tcp_init (self->loop, &self->listener);
  self->listener.data = self;
  EG_INVARIANT (uv_tcp_bind (&self->listener, (struct sockaddr *) &address, 0)
                == 0);
  EG_INVARIANT (uv_listen ((uv_stream_t *) &self->listener, 256, on_connection)
                == 0);
  uv_tcp_getsockname (&self->listener, (struct sockaddr *) &address, &len);
  self->endpoint.port = address.sin_port;
  self->closes_connections = false;
  set_listening (self, true);
}

void
soak_http_server_reset (struct soak_http_server *self)
{
  for (struct eg_list *at = self->connections.next; at != &self->connections;)
    {
      struct soak_http_connection *connection =
          EG_CONTAINER_OF (at, struct soak_http_connection, link);

      at = at->next;
      soak_http_abort (connection);
    }
}

void
soak_http_server_stop (struct soak_http_server *self)
{
  if (self->listening)
    uv_close ((uv_handle_t *) &self->listener, NULL);
  set_listening (self, false);
  soak_http_server_reset (self);
}

void
soak_http_server_drain (struct soak_http_server *self)
{
  uv_close ((uv_handle_t *) &self->listener, NULL);
  set_listening (self, false);
  for (struct eg_list *at = self->connections.next; at != &self->connections;)
    {
      struct soak_http_connection *connection =
          EG_CONTAINER_OF (at, struct soak_http_connection, link);

      at = at->next;
      if (!connection->handling)
        soak_http_abort (connection);
    }
}

bool
soak_http_server_is_busy (const struct soak_http_server *self)
{
  for (struct eg_list *at = self->connections.next; at != &self->connections;
       at = at->next)
    if (!EG_CONTAINER_OF (at, struct soak_http_connection, link)->closed)
      return true;
  return false;
}

unsigned
soak_http_server_count_requests (const struct soak_http_server *self)
{
  unsigned count = 0;

  for (const struct eg_list *at = self->connections.next;
       at != &self->connections; at = at->next)
    {
      const struct soak_http_connection *connection =
          EG_CONTAINER_OF (at, struct soak_http_connection, link);

      count += connection->handling && !connection->closed;
    }
  return count;
}

struct eg_str
soak_http_connection_field (struct soak_http_connection *self)
{
  self->last = self->server->closes_connections;
  return self->last ? EG_STR ("Connection: close\r\n") : EG_STR ("");
}

void
soak_http_finish_request (struct soak_http_connection *self)
{
  free (self->state);
  self->state = NULL;
  self->handling = false;
  eg_buffer_clear (&self->body);
  eg_http_reader_next (&self->reader);
  if (self->last || !self->server->listening)
    close_connection (self, eg_socket_close_after_writes);
}

/* Sends the next piece of a response over a narrow link. */
static void
send_piece (struct soak_http_connection *self)
{
  const struct soak_http_server *server = self->server;
  size_t end = self->sent + server->bytes_per_ms * PIECE_MS / server->sending;

  if (end > self->unsent.len)
    end = self->unsent.len;
  if (server->stalls_after > 0 && end > server->stalls_after)
    end = server->stalls_after;
  eg_socket_write (&self->socket,
                   (struct eg_str){eg_buffer_text (&self->unsent) + self->sent,
                                   end - self->sent});
  self->sent = end;
  if (end < self->unsent.len)
    {
      soak_http_schedule (self, PIECE_MS, send_piece);
      return;
    }
  self->server->sending--;
  eg_buffer_finish (&self->unsent);
  soak_http_finish_request (self);
}

void
soak_http_respond (struct soak_http_connection *self,
                   unsigned status,
                   struct eg_str fields,
                   struct eg_str body)
{
  struct eg_str connection_field = soak_http_connection_field (self);
  struct eg_buffer out = {0};

  if (self->closed)
    return;
  eg_buffer_printf (
      &out, "HTTP/1.1 %u X\r\nContent-Length: %zu\r\n%.*s%.*s\r\n", status,
      body.len, EG_STR_ARGS (connection_field), EG_STR_ARGS (fields));
  eg_buffer_append (&out, body);
  if (self->server->bytes_per_ms > 0)
    {
      self->unsent = out;
      self->sent = 0;
      self->server->sending++;
      send_piece (self);
      return;
    }
  eg_socket_write (&self->socket, eg_buffer_view (&out));
  eg_buffer_finish (&out);
  soak_http_finish_request (self);
}

static void
on_timer (uv_timer_t *timer)
{
  struct soak_http_connection *self = timer->data;

  self->on_schedule (self);
}

void
soak_http_schedule (struct soak_http_connection *self,
                    uint64_t ms,
                    void (*on_schedule) (struct soak_http_connection *self))
{
  self->on_schedule = on_schedule;
  uv_timer_start (&self->timer, on_timer, ms, 0);
}
