#include "review/standin-2/path.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "base/status.h"

/* First interval after which bytes are sent again; Linux begins with it. */
#define RETRANSMIT_MS 200

/** One direction of a connection. */
struct side
{
  struct eg_socket socket;
  struct link *link;
  struct side *other;
  struct eg_buffer held; /**< Bytes on the way from it. */
  int64_t held_since_ms;
  bool has_ended; /**< Its sender has closed the connection. */
  bool is_open;
};

/** A connection through the path. */
struct link
{
  struct eg_list in_path;
  struct review_path *path;
  struct side near;
  struct side far;
  uv_timer_t timer;
  unsigned open_handles;
  bool closing;
};

static int64_t
now_ms (void)
{
  return eg_clock_now_us () / EG_US_PER_MS;
}

static void
release (struct link *link)
{
  if (--link->open_handles > 0)
    return;
  eg_list_remove (&link->in_path);
  eg_buffer_finish (&link->near.held);
  eg_buffer_finish (&link->far.held);
  free (link);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  release (handle->data);
}

static void
on_closed (void *context)
{
  struct side *side = context;

  release (side->link);
}

static void
close_link (struct link *link)
{
  if (link->closing)
    return;
  link->closing = true;
  uv_close ((uv_handle_t *) &link->timer, on_timer_closed);
  eg_socket_close_after_writes (&link->near.socket);
  eg_socket_close_after_writes (&link->far.socket);
}

/* Delivers what was held up, and the end of sending after it. */
static void
deliver (struct side *from)
{
  struct link *link = from->link;

  if (from->held.len > 0)
    {
      char text[96];

      snprintf (text, sizeof text,
                "path: %zu bytes, sent %.3f s ago, are delivered%s",
                from->held.len,
                (double) (now_ms () - from->held_since_ms) / 1000,
                from->has_ended ? "; their sender has closed since" : "");
      link->path->note (text);
      eg_socket_write (&from->other->socket, eg_buffer_view (&from->held));
      eg_buffer_clear (&from->held);
    }
  if (from->has_ended)
    close_link (link);
}

static void
on_timer (uv_timer_t *timer)
{
  struct link *link = timer->data;

  if (!link->path->is_cut && !link->closing)
    deliver (&link->near);
  if (!link->path->is_cut && !link->closing)
    deliver (&link->far);
}

static void
on_connected (void *context)
{
  struct side *side = context;

  side->is_open = true;
  eg_socket_read (&side->socket);
  deliver (side->other);
}

static void
hold (struct side *side, struct eg_str bytes)
{
  if (side->held.len == 0)
    side->held_since_ms = now_ms ();
  eg_buffer_append (&side->held, bytes);
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  struct side *side = context;
  struct link *link = side->link;

  if (link->closing)
    return;
  if (link->path->is_cut || side->held.len > 0 || !side->other->is_open)
    hold (side, bytes);
  else
    eg_socket_write (&side->other->socket, bytes);
}

static void
on_ended (void *context, int uv_error)
{
  struct side *side = context;
  struct link *link = side->link;

  if (link->closing)
    return;
  if (uv_error != UV_EOF)
    eg_buffer_clear (&side->held);
  side->has_ended = true;
  eg_socket_pause (&side->socket);
  if (side->held.len == 0)
    close_link (link);
}

static void
on_drained (void *context)
{
  (void) context;
}

static const struct eg_socket_events socket_events = {
    on_connected, on_bytes, on_ended, on_drained, on_closed};

static void
init_side (struct side *side, struct link *link, struct side *other)
{
  side->link = link;
  side->other = other;
  eg_socket_init (&side->socket, link->path->loop, &socket_events, side);
}

/* A connection that arrives during a cut is accepted by the kernel of this
 * machine all the same. It is closed unused, which no test of the review
 * meets. */
static void
on_connection (uv_stream_t *listener, int status)
{
  struct review_path *path = listener->data;
  struct link *link;

  if (status != 0)
    return;
  link = calloc (1, sizeof *link);
  EG_INVARIANT (link);
  link->path = path;
  link->open_handles = 3;
  uv_timer_init (path->loop, &link->timer);
  link->timer.data = link;
  eg_list_append (&path->connections, &link->in_path);
  init_side (&link->near, link, &link->far);
  init_side (&link->far, link, &link->near);
  if (eg_socket_accept (&link->near.socket, listener) != 0 || path->is_cut
      || eg_socket_connect (&link->far.socket, path->target) != 0)
    {
      close_link (link);
      return;
    }
  link->near.is_open = true;
  eg_socket_read (&link->near.socket);
}

void
review_path_open (struct review_path *self,
                  uv_loop_t *loop,
                  struct eg_endpoint target,
                  void (*note) (const char *text))
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  int len = sizeof address;

  memset (self, 0, sizeof *self);
  self->loop = loop;
  self->target = target;
  self->note = note;
  eg_list_init (&self->connections);
  uv_tcp_init (loop, &self->listener);
  self->listener.data = self;
  EG_INVARIANT (uv_tcp_bind (&self->listener, (struct sockaddr *) &address, 0)
                == 0);
  EG_INVARIANT (uv_listen ((uv_stream_t *) &self->listener, 256, on_connection)
                == 0);
  uv_tcp_getsockname (&self->listener, (struct sockaddr *) &address, &len);
  self->endpoint =
      (struct eg_endpoint){address.sin_addr.s_addr, address.sin_port};
}

/* Bytes that were held up arrive when they are sent again for the first time
 * after the cut. */
static void
schedule (struct link *link)
{
  int64_t since_ms = link->near.held.len > 0  ? link->near.held_since_ms
                     : link->far.held.len > 0 ? link->far.held_since_ms
                                              : 0;
  int64_t interval_ms = RETRANSMIT_MS;
  int64_t at_ms = since_ms;

  if (since_ms == 0 || link->closing)
    return;
  while (at_ms < now_ms ())
    {
      at_ms += interval_ms;
      interval_ms *= 2;
    }
  uv_timer_start (&link->timer, on_timer, (uint64_t) (at_ms - now_ms ()), 0);
}

void
review_path_cut (struct review_path *self, bool cut)
{
  self->is_cut = cut;
  for (struct eg_list *at = self->connections.next; at != &self->connections;
       at = at->next)
    if (!cut)
      schedule (EG_CONTAINER_OF (at, struct link, in_path));
}
