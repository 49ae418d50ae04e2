#include "net/exchange.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/status.h"

/* Longest head of an answer, in bytes: twice what entry VMs take of callers. */
#define ANSWER_HEAD_MAX 32768
/* A connection is given up this long before the server says that it will. */
#define KEEP_ALIVE_MARGIN_US (EG_US_PER_S)

/** The idle connections of one endpoint. */
struct host
{
  struct eg_list idle;
};

/** One connection. */
struct eg_http_connection
{
  struct eg_list all;
  struct eg_list idle; /**< Linked while no exchange uses it. */
  struct eg_socket socket;
  struct eg_http_reader reader;
  struct eg_exchange_pool *pool;
  struct eg_exchange *exchange;
  struct eg_endpoint endpoint;
  struct eg_buffer unsent; /**< Waits for the connection. */
  int64_t idle_until_us;
  int64_t keep_us;
  bool connected;
  bool reused;
  bool no_body;
  bool answered; /**< A byte came in for the present exchange. */
  bool skipping; /**< The message being read answers no request. */
  bool is_idle;
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
leave_idle (struct eg_http_connection *self)
{
  if (!self->is_idle)
    return;
  eg_list_remove (&self->idle);
  self->is_idle = false;
}

static void
close_link (struct eg_http_connection *self)
{
  leave_idle (self);
  if (self->exchange)
    self->exchange->link = NULL;
  self->exchange = NULL;
  eg_socket_close (&self->socket);
}

static void
fail_link (struct eg_http_connection *self, enum eg_exchange_fault fault)
{
  struct eg_exchange *exchange = self->exchange;

  close_link (self);
  if (exchange)
    exchange->events->failed (exchange->context, fault);
}

static void
send_request (struct eg_http_connection *self)
{
  eg_socket_write (&self->socket, eg_buffer_view (&self->unsent));
  eg_buffer_clear (&self->unsent);
}

static void
on_connected (void *context)
{
  struct eg_http_connection *self = context;

  self->connected = true;
  if (eg_socket_read (&self->socket) != 0)
    {
      fail_link (self, EG_EXCHANGE_UNREACHABLE);
      return;
    }
  send_request (self);
}

static void
on_head (void *context)
{
  struct eg_http_connection *self = context;
  const struct eg_http_head *head = &self->reader.head;
  struct eg_str keep = eg_http_head_find (head, "keep-alive");
  int64_t seconds;

  if (head->status < 200)
    {
      self->skipping = true;
      return;
    }
  if (eg_str_starts_with (keep, EG_STR ("timeout=")))
    {
      eg_str_cut (&keep, '=');
      if (eg_str_to_int64 (eg_str_trim (eg_str_cut (&keep, ',')), &seconds))
        self->keep_us = seconds * EG_US_PER_S - KEEP_ALIVE_MARGIN_US;
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

/* Keeps a connection for the next request, if it may be used again. */
static void
release (struct eg_http_connection *self, bool reusable)
{
  int64_t keep_us = self->pool->idle_us;
  struct host *host;

  if (self->keep_us < keep_us)
    keep_us = self->keep_us;
  if (!reusable || keep_us <= 0 || self->socket.queued > 0)
    {
      close_link (self);
      return;
    }
  host = eg_map_get (&self->pool->hosts, eg_endpoint_key (self->endpoint));
  eg_http_reader_next (&self->reader);
  eg_list_prepend (&host->idle, &self->idle);
  self->is_idle = true;
  self->idle_until_us = eg_clock_now_us () + keep_us;
}

static void
complete (struct eg_http_connection *self, bool reusable)
{
  struct eg_exchange *exchange = self->exchange;

  self->exchange = NULL;
  exchange->link = NULL;
  release (self, reusable);
  exchange->events->done (exchange->context);
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  struct eg_http_connection *self = context;

  if (!self->exchange)
    {
      /* Bytes that nobody asked for belong to no request. */
      close_link (self);
      return;
    }
  self->answered = true;
  while (bytes.len > 0 && self->exchange)
    {
      size_t taken = eg_http_reader_feed (&self->reader, bytes);

      /* The owner may have cancelled from within an event. */
      if (!self->exchange)
        return;
      if (self->reader.fault != EG_HTTP_NO_FAULT)
        {
          fail_link (self, EG_EXCHANGE_MALFORMED);
          return;
        }
      bytes.data += taken;
      bytes.len -= taken;
      if (!self->reader.complete)
        continue;
      if (!self->skipping)
        {
          complete (self, bytes.len == 0 && self->reader.head.keep_alive);
          return;
        }
      if (self->reader.head.status >= 200 && !self->reader.head.keep_alive)
        {
          fail_link (self, EG_EXCHANGE_BROKEN);
          return;
        }
      eg_http_reader_next (&self->reader);
      self->skipping = false;
    }
}

static void
end_idle (struct eg_http_connection *self)
{
  const struct eg_exchange_pool_events *events = &self->pool->events;
  struct eg_endpoint endpoint = self->endpoint;
  bool was_idle = self->is_idle;

  close_link (self);
  if (was_idle && events->idle_ended)
    events->idle_ended (events->context, endpoint);
}

static void
on_ended (void *context, int uv_error)
{
  struct eg_http_connection *self = context;
  bool whole = self->exchange && uv_error == UV_EOF && self->answered
               && eg_http_reader_end (&self->reader) && !self->skipping;

  if (!self->exchange)
    end_idle (self);
  else if (whole)
    complete (self, false);
  else if (!self->connected)
    fail_link (self, EG_EXCHANGE_UNREACHABLE);
  else if (self->answered)
    fail_link (self, EG_EXCHANGE_BROKEN);
  else
    fail_link (self, self->reused ? EG_EXCHANGE_STALE : EG_EXCHANGE_NO_ANSWER);
}

static void
on_drained (void *context)
{
  (void) context;
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
  eg_list_init (&self->links);
}

void
eg_exchange_pool_finish (struct eg_exchange_pool *self)
{
  struct host *host;
  size_t cursor = 0;

  for (struct eg_list *at = self->links.next; at != &self->links; at = at->next)
    close_link (EG_CONTAINER_OF (at, struct eg_http_connection, all));
  while ((host = eg_map_next (&self->hosts, &cursor)))
    free (host);
  eg_map_finish (&self->hosts);
}

void
eg_exchange_pool_trim (struct eg_exchange_pool *self, int64_t now_us)
{
  for (struct eg_list *at = self->links.next; at != &self->links; at = at->next)
    {
      struct eg_http_connection *link =
          EG_CONTAINER_OF (at, struct eg_http_connection, all);

      if (link->is_idle && now_us >= link->idle_until_us)
        close_link (link);
    }
}

void
eg_exchange_pool_close_idle (struct eg_exchange_pool *self,
                             struct eg_endpoint endpoint)
{
  struct host *host = eg_map_get (&self->hosts, eg_endpoint_key (endpoint));

  while (host && !eg_list_is_empty (&host->idle))
    close_link (
        EG_CONTAINER_OF (host->idle.next, struct eg_http_connection, idle));
}

static struct eg_http_connection *
take_idle (struct eg_exchange_pool *pool, struct eg_endpoint endpoint)
{
  struct host *host = eg_map_get (&pool->hosts, eg_endpoint_key (endpoint));
  struct eg_http_connection *link;

  if (!host)
    {
      host = malloc (sizeof *host);
      EG_INVARIANT (host);
      eg_list_init (&host->idle);
      eg_map_put (&pool->hosts, eg_endpoint_key (endpoint), host);
    }
  if (eg_list_is_empty (&host->idle))
    return NULL;
  link = EG_CONTAINER_OF (host->idle.next, struct eg_http_connection, idle);
  if (eg_clock_now_us () >= link->idle_until_us)
    {
      close_link (link);
      return NULL;
    }
  leave_idle (link);
  return link;
}

static struct eg_http_connection *
open_link (struct eg_exchange_pool *pool, struct eg_endpoint endpoint)
{
  struct eg_http_connection *link = calloc (1, sizeof *link);

  EG_INVARIANT (link);
  link->pool = pool;
  link->endpoint = endpoint;
  link->keep_us = INT64_MAX;
  eg_buffer_init (&link->unsent);
  eg_http_reader_init (&link->reader, EG_HTTP_RESPONSE, ANSWER_HEAD_MAX,
                       &reader_events, link);
  if (eg_socket_init (&link->socket, pool->loop, &socket_events, link) != 0)
    {
      eg_http_reader_finish (&link->reader);
      free (link);
      return NULL;
    }
  eg_list_append (&pool->links, &link->all);
  pool->opened++;
  if (eg_socket_connect (&link->socket, endpoint) != 0)
    {
      eg_socket_close (&link->socket);
      return NULL;
    }
  return link;
}

void
eg_exchange_init (struct eg_exchange *self,
                  const struct eg_exchange_events *events,
                  void *context)
{
  self->events = events;
  self->context = context;
  self->link = NULL;
}

bool
eg_exchange_start (struct eg_exchange *self,
                   struct eg_exchange_pool *pool,
                   const struct eg_exchange_request *request)
{
  struct eg_http_connection *link = take_idle (pool, request->endpoint);

  EG_INVARIANT (!self->link);
  if (link && request->fresh)
    {
      /* It stays for requests that may be sent twice. */
      struct host *host =
          eg_map_get (&pool->hosts, eg_endpoint_key (request->endpoint));

      eg_list_prepend (&host->idle, &link->idle);
      link->is_idle = true;
      link = NULL;
    }
  if (link)
    {
      link->reused = true;
      pool->reused++;
    }
  else
    link = open_link (pool, request->endpoint);
  if (!link)
    return false;
  link->exchange = self;
  link->answered = false;
  link->skipping = false;
  link->reader.no_body = request->no_body;
  self->link = link;
  eg_buffer_append (&link->unsent, request->head);
  eg_buffer_append (&link->unsent, request->body);
  if (link->connected)
    send_request (link);
  return true;
}

void
eg_exchange_cancel (struct eg_exchange *self)
{
  if (self->link)
    close_link (self->link);
}

bool
eg_exchange_is_active (const struct eg_exchange *self)
{
  return self->link != NULL;
}

bool
eg_exchange_is_connected (const struct eg_exchange *self)
{
  return self->link && self->link->connected;
}

void
eg_exchange_set_paused (struct eg_exchange *self, bool hold)
{
  if (!self->link || !self->link->connected || self->link->socket.closing)
    return;
  if (hold)
    eg_socket_pause (&self->link->socket);
  else
    eg_socket_read (&self->link->socket);
}
