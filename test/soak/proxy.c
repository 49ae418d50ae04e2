#include "test/soak/proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/status.h"
#include "test/soak/ports.h"

#define BACKLOG 64

/** A proxied connection; freed once both sockets are closed and no chunk is
 *  delayed. */
struct proxy_connection
{
  struct eg_list link; /**< In soak_proxy.connections. */
  struct soak_proxy *proxy;
  struct eg_socket sockets[2]; /**< Of the caller and of the target. */
  struct proxy_side
  {
    struct proxy_connection *connection;
    int number; /**< Index in proxy_connection.sockets. */
  } sides[2];
  unsigned references;
  bool closing;
};

/** Bytes that a proxy forwards after its delay. */
struct delayed_chunk
{
  uv_timer_t timer;
  struct proxy_connection *connection;
  int to; /**< Index of the receiving socket. */
  size_t len;
  char bytes[];
};

static void
close_connection (struct proxy_connection *connection)
{
  if (connection->closing)
    return;
  connection->closing = true;
  eg_list_remove (&connection->link);
  for (int i = 0; i < 2; i++)
    eg_socket_close (&connection->sockets[i]);
}

static void
drop_reference (struct proxy_connection *connection)
{
  if (--connection->references == 0)
    free (connection);
}

static void
on_socket_closed (void *context)
{
  drop_reference (((struct proxy_side *) context)->connection);
}

static void
on_delay_timer_closed (uv_handle_t *handle)
{
  struct delayed_chunk *chunk = handle->data;

  drop_reference (chunk->connection);
  free (chunk);
}

static void
on_delay_elapsed (uv_timer_t *timer)
{
  struct delayed_chunk *chunk = timer->data;

  if (!chunk->connection->closing)
    eg_socket_write (&chunk->connection->sockets[chunk->to],
                     (struct eg_str){chunk->bytes, chunk->len});
  uv_close ((uv_handle_t *) timer, on_delay_timer_closed);
}

static void
write_delayed (struct proxy_connection *connection, int to, struct eg_str bytes)
{
  struct delayed_chunk *chunk = malloc (sizeof *chunk + bytes.len);

  EG_INVARIANT (chunk);
  connection->references++;
  chunk->connection = connection;
  chunk->to = to;
  chunk->len = bytes.len;
  memcpy (chunk->bytes, bytes.data, bytes.len);
  uv_timer_init (connection->proxy->loop, &chunk->timer);
  chunk->timer.data = chunk;
  uv_timer_start (&chunk->timer, on_delay_elapsed, connection->proxy->delay_ms,
                  0);
}

static void
on_socket_bytes (void *context, struct eg_str bytes)
{
  struct proxy_side *side = context;
  struct proxy_connection *connection = side->connection;
  int to = 1 - side->number;

  if (connection->proxy->cut == SOAK_CUT_HANG
      || (connection->proxy->drop_responses && to == 0))
    return;
  if (connection->proxy->delay_ms > 0)
    write_delayed (connection, to, bytes);
  else
    eg_socket_write (&connection->sockets[to], bytes);
}

/* Behind a cut, the other side does not learn of the end. */
static void
on_socket_ended (void *context, int uv_error)
{
  struct proxy_connection *connection =
      ((struct proxy_side *) context)->connection;

  (void) uv_error;
  if (connection->proxy->cut != SOAK_CUT_HANG)
    close_connection (connection);
}

static void
on_socket_connected (void *context)
{
  struct proxy_connection *connection =
      ((struct proxy_side *) context)->connection;

  for (int i = 0; i < 2; i++)
    if (eg_socket_read (&connection->sockets[i]) != 0)
      close_connection (connection);
}

static void
on_socket_drained (void *context)
{
  (void) context;
}

static const struct eg_socket_events socket_events = {
    on_socket_connected, on_socket_bytes, on_socket_ended, on_socket_drained,
    on_socket_closed};

static void
on_connection (uv_stream_t *listener, int status)
{
  struct soak_proxy *proxy = listener->data;
  struct proxy_connection *connection;

  if (status != 0)
    return;
  connection = calloc (1, sizeof *connection);
  EG_INVARIANT (connection);
  connection->proxy = proxy;
  connection->references = 2;
  for (int i = 0; i < 2; i++)
    {
      connection->sides[i] = (struct proxy_side){connection, i};
      eg_socket_init (&connection->sockets[i], proxy->loop, &socket_events,
                      &connection->sides[i]);
    }
  eg_list_append (&proxy->connections, &connection->link);
  if (eg_socket_accept (&connection->sockets[0], listener) != 0
      || eg_socket_connect (&connection->sockets[1], proxy->target) != 0)
    close_connection (connection);
}

static void
start_listening (struct soak_proxy *self)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_addr.s_addr = self->endpoint.ip,
                                .sin_port = self->endpoint.port};

  self->listener = malloc (sizeof *self->listener);
  EG_INVARIANT (self->listener);
  uv_tcp_init (self->loop, self->listener);
  self->listener->data = self;
  EG_INVARIANT (uv_tcp_bind (self->listener, (struct sockaddr *) &address, 0)
                == 0);
  EG_INVARIANT (
      uv_listen ((uv_stream_t *) self->listener, BACKLOG, on_connection) == 0);
}

static void
on_listener_closed (uv_handle_t *handle)
{
  free (handle);
}

static void
stop_listening (struct soak_proxy *self)
{
  if (self->listener)
    uv_close ((uv_handle_t *) self->listener, on_listener_closed);
  self->listener = NULL;
}

static void
update_listener (struct soak_proxy *self)
{
  bool listen = self->cut == SOAK_CUT_NONE && !self->target_refuses;

  if (listen && !self->listener)
    start_listening (self);
  else if (!listen)
    stop_listening (self);
}

/* Fills the accept queue of the port, so that the kernel answers no further
 * SYN, as if packets vanished. */
static void
block_port (struct soak_proxy *self)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_addr.s_addr = self->endpoint.ip,
                                .sin_port = self->endpoint.port};
  const size_t count = sizeof self->blocked_fds / sizeof self->blocked_fds[0];
  int on = 1;

  for (size_t i = 0; i < count; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      self->blocked_fds[i] = fd;
      if (i > 0)
        {
          fcntl (fd, F_SETFL, O_NONBLOCK);
          /* It is under way, or never will be. */
          (void) connect (fd, (struct sockaddr *) &address, sizeof address);
          continue;
        }
      setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      EG_INVARIANT (bind (fd, (struct sockaddr *) &address, sizeof address)
                    == 0);
      EG_INVARIANT (listen (fd, 0) == 0);
    }
}

static void
unblock_port (struct soak_proxy *self)
{
  const size_t count = sizeof self->blocked_fds / sizeof self->blocked_fds[0];

  for (size_t i = count; i > 0; i--)
    {
      if (self->blocked_fds[i - 1] >= 0)
        close (self->blocked_fds[i - 1]);
      self->blocked_fds[i - 1] = -1;
    }
}

void
soak_proxy_open (struct soak_proxy *self,
                 uv_loop_t *loop,
                 struct eg_endpoint target)
{
  memset (self, 0, sizeof *self);
  self->loop = loop;
  self->endpoint = (struct eg_endpoint){htonl (INADDR_LOOPBACK),
                                        htons (soak_find_free_port ())};
  self->target = target;
  eg_list_init (&self->connections);
  memset (self->blocked_fds, -1, sizeof self->blocked_fds);
  start_listening (self);
}

void
soak_proxy_cut (struct soak_proxy *self, enum soak_cut cut)
{
  bool was_hanging = self->cut == SOAK_CUT_HANG;

  if (cut == self->cut)
    return;
  self->cut = cut;
  unblock_port (self);
  /* What was sent meanwhile is lost, so that these are of no further use. */
  if (was_hanging || cut == SOAK_CUT_RESET)
    soak_proxy_reset (self);
  update_listener (self);
  if (cut == SOAK_CUT_HANG)
    block_port (self);
}

void
soak_proxy_set_target (struct soak_proxy *self, bool listening)
{
  self->target_refuses = !listening;
  update_listener (self);
}

void
soak_proxy_reset (struct soak_proxy *self)
{
  struct eg_list *link;

  while (!eg_list_is_empty (&self->connections))
    {
      link = self->connections.next;
      close_connection (EG_CONTAINER_OF (link, struct proxy_connection, link));
    }
}

void
soak_proxy_close (struct soak_proxy *self)
{
  unblock_port (self);
  stop_listening (self);
  soak_proxy_reset (self);
}
