#include "net/exchange.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/status.h"

/* Twice the limit for request heads, as entry VMs accept them from clients. */
#define RESPONSE_HEAD_MAX_BYTES 32768
/* Most bytes of interim responses and of responses to other requests before the
   response to a request. */
#define SKIPPED_MAX_BYTES 262144
/* Connections are closed this long before the server's keep-alive timeout, so
   that no request is sent on a connection that the server is closing. */
#define KEEP_ALIVE_MARGIN_US EG_US_PER_S
/* Bodies up to this size are sent together with the head. */
#define JOINED_BODY_MAX_BYTES 16384
/* Part of a longer body that is passed to the socket at once, which copies what
 * the kernel does not take. */
#define BODY_PIECE_BYTES 65536
/* An idle connection keeps no larger buffer. */
#define KEPT_BUFFER_BYTES 4096
/* Longer times that servers state are taken for this one, which exceeds any
 * pool's own limit. */
#define KEEP_ALIVE_MAX_S 86400

/** Idle connections to one endpoint, most recently used first. */
struct host
{
  struct eg_list idle;
};

/** A connection of the pool. */
struct eg_http_connection
{
  struct eg_list all;  /**< In eg_exchange_pool.connections. */
  struct eg_list idle; /**< In host.idle while is_idle. */
  struct eg_socket socket;
  struct eg_http_reader reader;
  struct eg_exchange_pool *pool;
  struct eg_exchange *exchange;
  struct eg_endpoint endpoint;
  struct eg_buffer unsent; /**< Request to send once connected. */
  struct eg_str body; /**< Rest to be sent after @c unsent; of the exchange. */
  int64_t idle_until_us;
  int64_t keep_alive_us; /**< Longest idle time the server allows. */
  bool connected;
  bool reused;
  bool no_body;
  bool connect_only;
  bool answered; /**< Any response byte was received for this exchange. */
  bool skipping; /**< The message being read is ignored. */
  size_t skipped_bytes; /**< For this exchange. */
  bool is_idle;
  bool paused; /**< Its socket is not read. */
};

const char *
eg_exchange_fault_name (enum eg_exchange_fault fault)
{
  static const char *const names[] = {
      [EG_EXCHANGE_UNREACHABLE] = "unreachable",
      [EG_EXCHANGE_STALE] = "stale",
      [EG_EXCHANGE_NO_ANSWER] = "no-answer",
      [EG_EXCHANGE_BROKEN] = "broken",
      [EG_EXCHANGE_MALFORMED] = "garbled",
  };

  return names[fault];
}

static void
remove_from_idle (struct eg_http_connection *self)
{
  if (!self->is_idle)
    return;
  eg_list_remove (&self->idle);
  self->is_idle = false;
}

static void
close_connection (struct eg_http_connection *self)
{
  remove_from_idle (self);
  if (self->exchange)
    self->exchange->connection = NULL;
  self->exchange = NULL;
  self->body = EG_STR ("");
  eg_socket_close (&self->socket);
}

static void
fail_connection (struct eg_http_connection *self, enum eg_exchange_fault fault)
{
  struct eg_exchange *exchange = self->exchange;

  close_connection (self);
  if (exchange)
    exchange->events->failed (exchange->context, fault);
}

/* Sends as much of the body as the kernel takes, and one piece more. */
static void
send_body (struct eg_http_connection *self)
{
  while (self->body.len > 0 && eg_socket_queued (&self->socket) == 0)
    {
      struct eg_str piece = self->body;

      if (piece.len > BODY_PIECE_BYTES)
        piece.len = BODY_PIECE_BYTES;
      self->body.data += piece.len;
      self->body.len -= piece.len;
      eg_socket_write (&self->socket, piece);
    }
}

static void
send_request (struct eg_http_connection *self)
{
  eg_socket_write (&self->socket, eg_buffer_view (&self->unsent));
  if (self->unsent.capacity > KEPT_BUFFER_BYTES)
    eg_buffer_finish (&self->unsent);
  eg_buffer_clear (&self->unsent);
  send_body (self);
}

static void complete_exchange (struct eg_http_connection *self, bool reusable);

static void
on_connected (void *context)
{
  struct eg_http_connection *self = context;

  self->connected = true;
  if (self->connect_only)
    {
      complete_exchange (self, false);
      return;
    }
  if (eg_socket_read (&self->socket) != 0)
    {
      fail_connection (self, EG_EXCHANGE_UNREACHABLE);
      return;
    }
  send_request (self);
}

static void
set_keep_alive (struct eg_http_connection *self, int64_t seconds)
{
  if (seconds > KEEP_ALIVE_MAX_S)
    seconds = KEEP_ALIVE_MAX_S;
  if (seconds < 0)
    seconds = 0;
  self->keep_alive_us = seconds * EG_US_PER_S - KEEP_ALIVE_MARGIN_US;
}

static void
on_head (void *context)
{
  struct eg_http_connection *self = context;
  const struct eg_http_head *head = &self->reader.head;
  struct eg_str keep_alive = eg_http_head_find (head, "keep-alive");
  int64_t seconds;

  if (head->status < 200)
    {
      self->skipping = true;
      return;
    }
  if (eg_str_starts_with (keep_alive, EG_STR ("timeout=")))
    {
      eg_str_cut (&keep_alive, '=');
      if (eg_str_to_int64 (eg_str_trim (eg_str_cut (&keep_alive, ',')),
                           &seconds))
        set_keep_alive (self, seconds);
    }
  self->skipping =
      !self->exchange
      || self->exchange->events->head (self->exchange->context, head)
             == EG_EXCHANGE_SKIP;
}

static void
on_body (void *context, struct eg_str bytes)
{
  struct eg_http_connection *self = context;

  if (!self->skipping && self->exchange && self->exchange->events->body)
    self->exchange->events->body (self->exchange->context, bytes);
}

static const struct eg_http_reader_events reader_events = {on_head, on_body};

/* Puts a connection back into the pool, or closes it if it can't be reused. */
static void
release_connection (struct eg_http_connection *self, bool reusable)
{
  int64_t idle_us = self->pool->idle_us;
  struct host *host;

  if (self->keep_alive_us < idle_us)
    idle_us = self->keep_alive_us;
  if (!reusable || idle_us <= 0 || self->socket.queued > 0 || self->paused)
    {
      close_connection (self);
      return;
    }
  host = eg_map_get (&self->pool->hosts, eg_endpoint_key (self->endpoint));
  eg_http_reader_next (&self->reader);
  eg_list_prepend (&host->idle, &self->idle);
  self->is_idle = true;
  self->idle_until_us = eg_clock_now_us () + idle_us;
}

static void
complete_exchange (struct eg_http_connection *self, bool reusable)
{
  struct eg_exchange *exchange = self->exchange;

  self->exchange = NULL;
  exchange->connection = NULL;
  release_connection (self, reusable && self->body.len == 0);
  exchange->events->done (exchange->context);
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  struct eg_http_connection *self = context;

  if (!self->exchange)
    {
      /* Unsolicited data: the connection can't be trusted any more. */
      close_connection (self);
      return;
    }
  self->answered = true;
  while (bytes.len > 0 && self->exchange)
    {
      size_t consumed = eg_http_reader_feed (&self->reader, bytes);

      /* A callback may have cancelled the exchange. */
      if (!self->exchange)
        return;
      if (self->skipping)
        self->skipped_bytes += consumed;
      if (self->reader.fault != EG_HTTP_NO_FAULT
          || self->skipped_bytes > SKIPPED_MAX_BYTES)
        {
          fail_connection (self, EG_EXCHANGE_MALFORMED);
          return;
        }
      bytes.data += consumed;
      bytes.len -= consumed;
      if (!self->reader.complete)
        continue;
      if (!self->skipping)
        {
          complete_exchange (self,
                             bytes.len == 0 && self->reader.head.keep_alive);
          return;
        }
      if (self->reader.head.status >= 200 && !self->reader.head.keep_alive)
        {
          fail_connection (self, EG_EXCHANGE_BROKEN);
          return;
        }
      eg_http_reader_next (&self->reader);
      self->skipping = false;
    }
}

static void
handle_idle_end (struct eg_http_connection *self)
{
  const struct eg_exchange_pool_events *events = &self->pool->events;
  struct eg_endpoint endpoint = self->endpoint;
  bool was_idle = self->is_idle;

  close_connection (self);
  if (was_idle && events->idle_ended)
    events->idle_ended (events->context, endpoint);
}

static void
on_ended (void *context, int uv_error)
{
  struct eg_http_connection *self = context;
  bool is_complete = self->exchange && uv_error == UV_EOF && self->answered
                     && eg_http_reader_end (&self->reader) && !self->skipping;

  if (!self->exchange)
    handle_idle_end (self);
  else if (is_complete)
    complete_exchange (self, false);
  else if (!self->connected)
    fail_connection (self, EG_EXCHANGE_UNREACHABLE);
  else if (self->answered)
    fail_connection (self, EG_EXCHANGE_BROKEN);
  else
    fail_connection (self,
                     self->reused ? EG_EXCHANGE_STALE : EG_EXCHANGE_NO_ANSWER);
}

static void
on_drained (void *context)
{
  send_body (context);
}

static void
on_closed (void *context)
{
  struct eg_http_connection *self = context;

  eg_list_remove (&self->all);
  eg_http_reader_finish (&self->reader);
  eg_buffer_finish (&self->unsent);
  free (self);
}

static const struct eg_socket_events socket_events = {
    on_connected, on_bytes, on_ended, on_drained, on_closed};

void
eg_exchange_pool_init (struct eg_exchange_pool *self,
                       uv_loop_t *loop,
                       int64_t idle_us)
{
  memset (self, 0, sizeof *self);
  self->loop = loop;
  self->idle_us = idle_us;
  eg_map_init (&self->hosts);
  eg_list_init (&self->connections);
}

void
eg_exchange_pool_finish (struct eg_exchange_pool *self)
{
  struct host *host;
  size_t cursor = 0;

  for (struct eg_list *node = self->connections.next;
       node != &self->connections; node = node->next)
    close_connection (EG_CONTAINER_OF (node, struct eg_http_connection, all));
  while ((host = eg_map_next (&self->hosts, &cursor)))
    free (host);
  eg_map_finish (&self->hosts);
}

void
eg_exchange_pool_trim (struct eg_exchange_pool *self, int64_t now_us)
{
  for (struct eg_list *node = self->connections.next;
       node != &self->connections; node = node->next)
    {
      struct eg_http_connection *connection =
          EG_CONTAINER_OF (node, struct eg_http_connection, all);

      if (connection->is_idle && now_us >= connection->idle_until_us)
        close_connection (connection);
    }
}

void
eg_exchange_pool_close_idle (struct eg_exchange_pool *self,
                             struct eg_endpoint endpoint)
{
  struct host *host = eg_map_get (&self->hosts, eg_endpoint_key (endpoint));

  while (host && !eg_list_is_empty (&host->idle))
    close_connection (
        EG_CONTAINER_OF (host->idle.next, struct eg_http_connection, idle));
}

static struct eg_http_connection *
take_idle (struct eg_exchange_pool *pool, struct eg_endpoint endpoint)
{
  struct host *host = eg_map_get (&pool->hosts, eg_endpoint_key (endpoint));
  struct eg_http_connection *connection;

  if (!host)
    {
      host = malloc (sizeof *host);
      EG_INVARIANT (host);
      eg_list_init (&host->idle);
      eg_map_put (&pool->hosts, eg_endpoint_key (endpoint), host);
    }
  if (eg_list_is_empty (&host->idle))
    return NULL;
  connection =
      EG_CONTAINER_OF (host->idle.next, struct eg_http_connection, idle);
  if (eg_clock_now_us () >= connection->idle_until_us)
    {
      close_connection (connection);
      return NULL;
    }
  remove_from_idle (connection);
  return connection;
}

static struct eg_http_connection *
open_connection (struct eg_exchange_pool *pool, struct eg_endpoint endpoint)
{
  struct eg_http_connection *connection = calloc (1, sizeof *connection);

  EG_INVARIANT (connection);
  connection->pool = pool;
  connection->endpoint = endpoint;
  connection->keep_alive_us = INT64_MAX;
  eg_buffer_init (&connection->unsent);
  eg_http_reader_init (&connection->reader, EG_HTTP_RESPONSE,
                       RESPONSE_HEAD_MAX_BYTES, &reader_events, connection);
  if (eg_socket_init (&connection->socket, pool->loop, &socket_events,
                      connection)
      != 0)
    {
      eg_http_reader_finish (&connection->reader);
      free (connection);
      return NULL;
    }
  eg_list_append (&pool->connections, &connection->all);
  pool->opened++;
  if (eg_socket_connect (&connection->socket, endpoint) != 0)
    {
      eg_socket_close (&connection->socket);
      return NULL;
    }
  return connection;
}

void
eg_exchange_init (struct eg_exchange *self,
                  const struct eg_exchange_events *events,
                  void *context)
{
  self->events = events;
  self->context = context;
  self->connection = NULL;
}

bool
eg_exchange_start (struct eg_exchange *self,
                   struct eg_exchange_pool *pool,
                   const struct eg_exchange_request *request)
{
  struct eg_http_connection *connection = take_idle (pool, request->endpoint);

  EG_INVARIANT (!self->connection);
  if (connection && request->fresh)
    {
      /* Leave it to requests that may be resent if it turns out stale. */
      struct host *host =
          eg_map_get (&pool->hosts, eg_endpoint_key (request->endpoint));

      eg_list_prepend (&host->idle, &connection->idle);
      connection->is_idle = true;
      connection = NULL;
    }
  if (connection)
    {
      connection->reused = true;
      pool->reused++;
    }
  else
    connection = open_connection (pool, request->endpoint);
  if (!connection)
    return false;
  connection->exchange = self;
  connection->answered = false;
  connection->skipping = false;
  connection->skipped_bytes = 0;
  connection->reader.no_body = request->no_body;
  connection->connect_only = request->connect_only;
  self->connection = connection;
  eg_buffer_append (&connection->unsent, request->head);
  if (request->body_is_held && request->body.len > JOINED_BODY_MAX_BYTES)
    connection->body = request->body;
  else
    eg_buffer_append (&connection->unsent, request->body);
  if (connection->connected)
    send_request (connection);
  return true;
}

void
eg_exchange_cancel (struct eg_exchange *self)
{
  if (self->connection)
    close_connection (self->connection);
}

bool
eg_exchange_is_active (const struct eg_exchange *self)
{
  return self->connection != NULL;
}

bool
eg_exchange_is_connected (const struct eg_exchange *self)
{
  return self->connection && self->connection->connected;
}

bool
eg_exchange_is_fresh (const struct eg_exchange *self)
{
  return self->connection && !self->connection->reused;
}

void
eg_exchange_set_paused (struct eg_exchange *self, bool paused)
{
  if (!self->connection || !self->connection->connected
      || self->connection->socket.closing)
    return;
  self->connection->paused = paused;
  if (paused)
    eg_socket_pause (&self->connection->socket);
  else
    eg_socket_read (&self->connection->socket);
}

bool
eg_exchange_is_paused (const struct eg_exchange *self)
{
  return self->connection && self->connection->paused;
}
