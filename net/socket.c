#include "net/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/status.h"

#define READ_BUFFER_BYTES 65536
/* Shared by all sockets: they are read one at a time, on one thread. */
static char read_buffer[READ_BUFFER_BYTES];

/** A queued write. */
struct pending_write
{
  uv_write_t request;
  struct eg_socket *socket;
  size_t len;
  char bytes[];
};

bool
eg_endpoint_parse (struct eg_str text, struct eg_endpoint *endpoint)
{
  struct eg_str rest = text;
  struct eg_str ip = eg_str_cut (&rest, ':');
  char ip_text[INET_ADDRSTRLEN];
  struct in_addr address;
  int64_t port;

  if (!eg_str_copy (ip, ip_text, sizeof ip_text)
      || inet_pton (AF_INET, ip_text, &address) != 1
      || !eg_str_to_int64 (rest, &port) || port < 1 || port > 65535)
    return false;
  endpoint->ip = address.s_addr;
  endpoint->port = htons ((uint16_t) port);
  return true;
}

uint64_t
eg_endpoint_key (struct eg_endpoint endpoint)
{
  return (uint64_t) endpoint.ip << 16 | endpoint.port;
}

int
eg_socket_init (struct eg_socket *self,
                uv_loop_t *loop,
                const struct eg_socket_events *events,
                void *context)
{
  memset (self, 0, sizeof *self);
  self->events = events;
  self->context = context;
  self->tcp.data = self;
  return uv_tcp_init (loop, &self->tcp);
}

int
eg_socket_accept (struct eg_socket *self, uv_stream_t *listener)
{
  int status = uv_accept (listener, (uv_stream_t *) &self->tcp);

  if (status == 0)
    status = uv_tcp_nodelay (&self->tcp, 1);
  return status;
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct eg_socket *self = request->handle->data;

  if (self->closing)
    return;
  if (status == 0)
    self->events->connected (self->context);
  else
    self->events->ended (self->context, status);
}

int
eg_socket_connect (struct eg_socket *self, struct eg_endpoint endpoint)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_port = endpoint.port,
                                .sin_addr.s_addr = endpoint.ip};
  int status =
      uv_tcp_connect (&self->connecting, &self->tcp,
                      (const struct sockaddr *) &address, on_connected);

  if (status == 0)
    status = uv_tcp_nodelay (&self->tcp, 1);
  return status;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void) handle;
  (void) suggested;
  buffer->base = read_buffer;
  buffer->len = sizeof read_buffer;
}

/* libuv reports EOF on EPOLLHUP even if the connection was reset after the last
   bytes. Returns the error that the socket itself reports. */
static int
classify_eof (struct eg_socket *self)
{
  uv_os_fd_t descriptor;
  char byte;
  ssize_t len;

  if (uv_fileno ((uv_handle_t *) &self->tcp, &descriptor) != 0)
    return UV_EBADF;
  len = recv (descriptor, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
  return len == 0 ? UV_EOF : len > 0 ? UV_ECONNRESET : -errno;
}

static void
on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
  struct eg_socket *self = stream->data;

  if (self->closing || len == 0)
    return;
  if (len == UV_EOF)
    self->events->ended (self->context, classify_eof (self));
  else if (len < 0)
    self->events->ended (self->context, (int) len);
  else
    self->events->bytes (self->context,
                         (struct eg_str){buffer->base, (size_t) len});
}

bool
eg_socket_peer (const struct eg_socket *self, struct eg_endpoint *endpoint)
{
  struct sockaddr_in address;
  int len = sizeof address;

  if (self->closing
      || uv_tcp_getpeername (&self->tcp, (struct sockaddr *) &address, &len)
             != 0
      || address.sin_family != AF_INET)
    return false;
  *endpoint = (struct eg_endpoint){address.sin_addr.s_addr, address.sin_port};
  return true;
}

int
eg_socket_read (struct eg_socket *self)
{
  return uv_read_start ((uv_stream_t *) &self->tcp, on_alloc, on_read);
}

void
eg_socket_bound_kernel_buffers (struct eg_socket *self,
                                size_t receive_bytes,
                                size_t send_bytes)
{
  uv_handle_t *handle = (uv_handle_t *) &self->tcp;
  int bytes = 0;

  /* The kernel doubles what is set, and reports that. */
  if (uv_recv_buffer_size (handle, &bytes) == 0
      && (size_t) bytes > 2 * receive_bytes)
    {
      bytes = (int) receive_bytes;
      uv_recv_buffer_size (handle, &bytes);
    }
  bytes = (int) send_bytes;
  uv_send_buffer_size (handle, &bytes);
}

void
eg_listener_set_receive_buffer (uv_tcp_t *listener, size_t bytes)
{
  int value = (int) bytes;

  uv_recv_buffer_size ((uv_handle_t *) listener, &value);
}

void
eg_socket_pause (struct eg_socket *self)
{
  uv_read_stop ((uv_stream_t *) &self->tcp);
}

static void
on_written (uv_write_t *request, int status)
{
  struct pending_write *write = (struct pending_write *) request;
  struct eg_socket *self = write->socket;

  self->queued -= write->len;
  self->queued_writes--;
  free (write);
  if (self->closing)
    return;
  if (status != 0)
    self->events->ended (self->context, status);
  else if (self->queued == 0)
    self->events->drained (self->context);
}

void
eg_socket_write (struct eg_socket *self, struct eg_str bytes)
{
  uv_buf_t buffer = uv_buf_init ((char *) bytes.data, (unsigned) bytes.len);
  struct pending_write *write;
  int written = 0;

  if (self->closing || bytes.len == 0)
    return;
  self->written += bytes.len;
  if (self->queued == 0)
    written = uv_try_write ((uv_stream_t *) &self->tcp, &buffer, 1);
  if (written == (int) bytes.len)
    return;
  /* The queued write fails with the same error and reports it. */
  if (written < 0)
    written = 0;
  bytes.data += written;
  bytes.len -= (size_t) written;
  write = malloc (sizeof *write + bytes.len);
  EG_INVARIANT (write);
  write->socket = self;
  write->len = bytes.len;
  memcpy (write->bytes, bytes.data, bytes.len);
  buffer = uv_buf_init (write->bytes, (unsigned) bytes.len);
  if (uv_write (&write->request, (uv_stream_t *) &self->tcp, &buffer, 1,
                on_written)
      != 0)
    {
      free (write);
      return;
    }
  self->queued += bytes.len;
  self->queued_writes++;
}

size_t
eg_socket_queued (const struct eg_socket *self)
{
  return self->queued;
}

size_t
eg_socket_queue_memory (const struct eg_socket *self)
{
  return self->queued + self->queued_writes * sizeof (struct pending_write);
}

size_t
eg_socket_undelivered (const struct eg_socket *self)
{
  uv_os_fd_t descriptor;
  int in_kernel = 0;

  if (self->closing
      || uv_fileno ((const uv_handle_t *) &self->tcp, &descriptor) != 0
      || ioctl (descriptor, SIOCOUTQ, &in_kernel) != 0 || in_kernel < 0)
    in_kernel = 0;
  return self->queued + (size_t) in_kernel;
}

static void
on_closed (uv_handle_t *handle)
{
  struct eg_socket *self = handle->data;

  self->events->closed (self->context);
}

void
eg_socket_close (struct eg_socket *self)
{
  if (self->closing)
    return;
  self->closing = true;
  uv_close ((uv_handle_t *) &self->tcp, on_closed);
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  struct eg_socket *self = request->data;

  (void) status; /* The socket is closed even if the shutdown failed. */
  free (request);
  eg_socket_close (self);
}

static void
on_sending_ended (uv_shutdown_t *request, int status)
{
  (void) status; /* A connection that has failed is reported by a read. */
  free (request);
}

void
eg_socket_end_sending (struct eg_socket *self)
{
  uv_shutdown_t *request;

  if (self->closing)
    return;
  request = malloc (sizeof *request);
  EG_INVARIANT (request);
  if (uv_shutdown (request, (uv_stream_t *) &self->tcp, on_sending_ended) != 0)
    free (request);
}

void
eg_socket_close_after_writes (struct eg_socket *self)
{
  uv_shutdown_t *request;

  if (self->closing)
    return;
  if (self->queued == 0)
    {
      eg_socket_close (self);
      return;
    }
  request = malloc (sizeof *request);
  EG_INVARIANT (request);
  request->data = self;
  if (uv_shutdown (request, (uv_stream_t *) &self->tcp, on_shutdown) != 0)
    {
      free (request);
      eg_socket_close (self);
    }
}
