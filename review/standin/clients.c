#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/buffer.h"
#include "base/status.h"
#include "review/standin/parts.h"

#define CALLERS_PORT 8227
/* A client that reads slowly takes what it may this often. */
#define READ_MS 50
#define HEAD_MAX 65536
/* Of the socket of a client on a slow link. */
#define SMALL_WINDOW 4096
/* Of a packet outside the loopback network, whose packets hold 64 KB. */
#define LINK_SEGMENT 1400

static void
note_end (struct stand_client *self, const char *how)
{
  self->ended_us = eg_clock_now_us ();
  stand_note (self->stand,
              "client %s: %s, status %u, %zu bytes, after %lld ms%s%s",
              self->id, how, self->status, self->body_len,
              (long long) ((self->ended_us - self->sent_us) / EG_US_PER_MS),
              *self->retry_after ? ", Retry-After: " : "", self->retry_after);
}

void
stand_client_close (struct stand_client *self)
{
  if (self->closing)
    return;
  self->closing = true;
  uv_timer_stop (&self->timer);
  eg_socket_close (&self->socket);
}

static void
finish (struct stand_client *self, bool done)
{
  if (self->done || self->failed)
    return;
  self->done = done;
  self->failed = !done;
  note_end (self, done ? "answer whole" : "connection ended early");
  if (!done || !self->request.keep || !self->reader.head.keep_alive)
    stand_client_close (self);
}

static void
write_request (struct stand_client *self)
{
  const struct stand_request *request = &self->request;
  struct eg_buffer out = {0};

  snprintf (self->id, sizeof self->id, "a%07u", ++self->stand->request_count);
  eg_buffer_printf (&out,
                    "%s %s HTTP/1.1\r\nHost: site.example\r\n"
                    "X-Attempt-Id: %s\r\nX-Deadline-Ms: %u\r\n%s",
                    request->method, request->path, self->id,
                    request->deadline_ms,
                    request->fields ? request->fields : "");
  if (request->body_bytes > 0)
    eg_buffer_printf (&out, "Content-Length: %zu\r\n", request->body_bytes);
  eg_buffer_append (&out, EG_STR ("\r\n"));
  for (size_t i = 0; i < request->body_bytes; i++)
    eg_buffer_append (&out, EG_STR ("b"));
  self->sent_us = eg_clock_now_us ();
  stand_note (self->stand, "client %s sends %s %s to vm %u", self->id,
              request->method, request->path, request->vm + 1);
  eg_socket_write (&self->socket, eg_buffer_view (&out));
  eg_buffer_finish (&out);
}

static void
on_connected (void *context)
{
  struct stand_client *self = context;

  self->connected = true;
  write_request (self);
  if (self->request.bytes_per_s == 0)
    eg_socket_read (&self->socket);
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  struct stand_client *self = context;

  eg_http_reader_feed (&self->reader, bytes);
  if (self->reader.fault != EG_HTTP_NO_FAULT)
    finish (self, false);
  else if (self->reader.complete)
    finish (self, true);
}

/* Reads from the socket at the pace of a slow link, past the event loop. */
static void
on_read_timer (uv_timer_t *timer)
{
  struct stand_client *self = timer->data;
  char bytes[65536];
  uv_os_fd_t descriptor;
  ssize_t len;

  if (self->closing || !self->connected
      || uv_fileno ((uv_handle_t *) &self->socket.tcp, &descriptor) != 0)
    return;
  self->may_read += self->request.bytes_per_s * READ_MS / 1000;
  while (self->may_read > 0 && !self->closing)
    {
      len = recv (descriptor, bytes,
                  self->may_read < sizeof bytes ? self->may_read : sizeof bytes,
                  MSG_DONTWAIT);
      if (len > 0)
        {
          self->may_read -= (size_t) len;
          on_bytes (self, (struct eg_str){bytes, (size_t) len});
          continue;
        }
      self->may_read = 0;
      if (len == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
        finish (self, false);
    }
}

static void
on_ended (void *context, int uv_error)
{
  struct stand_client *self = context;

  (void) uv_error;
  finish (self, false);
  stand_client_close (self);
}

static void
on_drained (void *context)
{
  (void) context;
}

static void
on_closed (void *context)
{
  (void) context;
}

static void
on_head (void *context)
{
  struct stand_client *self = context;

  self->status = self->reader.head.status;
  eg_str_copy (eg_http_head_find (&self->reader.head, "retry-after"),
               self->retry_after, sizeof self->retry_after);
  self->sealed =
      eg_http_head_find (&self->reader.head, "x-server-seal").len > 0;
}

static void
on_body (void *context, struct eg_str bytes)
{
  struct stand_client *self = context;

  self->body_len += bytes.len;
}

static const struct eg_socket_events socket_events = {
    on_connected, on_bytes, on_ended, on_drained, on_closed};
static const struct eg_http_reader_events reader_events = {on_head, on_body};

struct stand_client *
stand_send (struct stand *self, const struct stand_request *request)
{
  struct stand_client *client = calloc (1, sizeof *client);
  struct eg_endpoint endpoint = {.port = htons (CALLERS_PORT)};
  struct in_addr ip;

  EG_INVARIANT (client && self->client_count < STAND_CLIENTS_MAX);
  self->clients[self->client_count++] = client;
  client->stand = self;
  client->request = *request;
  if (request->fields)
    client->request.fields = strdup (request->fields);
  client->sent_us = eg_clock_now_us ();
  snprintf (client->id, sizeof client->id, "(not sent)");
  inet_pton (AF_INET, self->vms[request->vm].address, &ip);
  endpoint.ip = ip.s_addr;
  eg_http_reader_init (&client->reader, EG_HTTP_RESPONSE, HEAD_MAX,
                       &reader_events, client);
  uv_timer_init (&self->loop, &client->timer);
  client->timer.data = client;
  eg_socket_init (&client->socket, &self->loop, &socket_events, client);
  if (request->bytes_per_s > 0)
    {
      int window = SMALL_WINDOW;
      int segment = LINK_SEGMENT;
      uv_os_fd_t descriptor;
      int opened = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      setsockopt (opened, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
      setsockopt (opened, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
      uv_tcp_open (&client->socket.tcp, opened);
      uv_fileno ((uv_handle_t *) &client->socket.tcp, &descriptor);
      uv_timer_start (&client->timer, on_read_timer, READ_MS, READ_MS);
    }
  if (eg_socket_connect (&client->socket, endpoint) != 0)
    finish (client, false);
  return client;
}

void
stand_send_next (struct stand_client *self, const struct stand_request *request)
{
  self->request = *request;
  if (request->fields)
    self->request.fields = strdup (request->fields);
  self->status = 0;
  self->body_len = 0;
  self->sealed = false;
  self->done = false;
  self->failed = false;
  eg_http_reader_next (&self->reader);
  write_request (self);
}
