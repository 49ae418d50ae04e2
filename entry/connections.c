#include "entry/connections.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"
#include "net/response_writer.h"

/* Connections that wait to be accepted. */
#define BACKLOG 1024
/* Head taken before a configuration says how long one may be. */
#define HEAD_BYTES_DEFAULT 16384
/* Bytes behind a request that are kept before the sender is held up. */
#define EARLY_BYTES_MAX 65536
/* Unsent bytes of an answer from which the server is held up. */
#define SLOW_BYTES 262144
/* Share of the descriptors that connections of callers may take: each request
 * needs one more towards a server. */
#define CONNECTIONS_SHARE 0.45
/* Bodies of requests in memory, as a share of the process's limit. */
#define BODY_SHARE 4
#define BYTES_PER_MB (1U << 20)
/* Idle time of a connection before a configuration says how long. */
#define IDLE_DEFAULT_US (15 * EG_US_PER_S)
#define HEAD_TIMEOUT_DEFAULT_US (3 * EG_US_PER_S)
/* A caller that takes no byte of a last answer is given up after this. */
#define LINGER_US (2 * EG_US_PER_S)

static const struct eg_caller_limits *
limits_of (const struct eg_connection *self)
{
  static const struct eg_caller_limits defaults = {
      HEAD_BYTES_DEFAULT, 4U << 20, HEAD_TIMEOUT_DEFAULT_US, IDLE_DEFAULT_US};
  const struct eg_configuration *now = self->entry->configuration.now;

  return now ? &now->limits : &defaults;
}

bool
eg_connection_will_close (const struct eg_connection *self)
{
  return self->entry->stop_us > 0 || !self->reader.head.keep_alive
         || self->reject_status > 0 || self->reader.fault != EG_HTTP_NO_FAULT;
}

void
eg_connection_send (struct eg_connection *self, struct eg_str bytes)
{
  eg_socket_write (&self->socket, bytes);
}

bool
eg_connection_is_congested (const struct eg_connection *self)
{
  return eg_socket_queued (&self->socket) > SLOW_BYTES;
}

static void
end_connection (struct eg_connection *self, bool after_writes)
{
  if (self->closing)
    return;
  self->closing = true;
  self->since_us = eg_clock_now_us ();
  if (after_writes)
    eg_socket_close_after_writes (&self->socket);
  else
    eg_socket_close (&self->socket);
}

static void process (struct eg_connection *self, struct eg_str bytes);

static void
drop_body (struct eg_connection *self)
{
  self->entry->callers.body_bytes -= self->body.len;
  if (self->body.capacity > EARLY_BYTES_MAX)
    eg_buffer_finish (&self->body);
  eg_buffer_clear (&self->body);
}

void
eg_connection_response_done (struct eg_connection *self)
{
  bool close = eg_connection_will_close (self);

  drop_body (self);
  self->since_us = eg_clock_now_us ();
  self->idle = true;
  if (close)
    {
      end_connection (self, true);
      return;
    }
  eg_http_reader_next (&self->reader);
  if (!self->processing && self->early.len > 0)
    {
      struct eg_buffer early = self->early;

      eg_buffer_init (&self->early);
      process (self, eg_buffer_view (&early));
      eg_buffer_finish (&early);
      if (!self->closing)
        eg_socket_read (&self->socket);
    }
}

void
eg_connection_abort (struct eg_connection *self)
{
  drop_body (self);
  end_connection (self, false);
}

/* Answers without asking any server. */
static void
answer_text (struct eg_connection *self,
             unsigned status,
             struct eg_str type,
             struct eg_str text)
{
  struct eg_buffer out = {0};

  eg_response_begin (&out, status);
  eg_response_field (&out, EG_STR ("Content-Type"), type);
  eg_buffer_printf (&out, "Content-Length: %zu\r\n", text.len);
  if (eg_connection_will_close (self))
    eg_response_field (&out, EG_STR ("Connection"), EG_STR ("close"));
  eg_buffer_append (&out, EG_STR ("\r\n"));
  eg_buffer_append (&out, text);
  eg_connection_send (self, eg_buffer_view (&out));
  eg_buffer_finish (&out);
  eg_connection_response_done (self);
}

static void
serve_readiness (struct eg_connection *self)
{
  bool known = eg_is_readiness_path (eg_http_head_target (&self->reader.head));
  bool ready = eg_entry_is_ready (self->entry, eg_clock_now_us ());

  if (!known)
    answer_text (self, 404, EG_STR ("text/plain"), EG_STR ("no such path\n"));
  else if (ready)
    answer_text (self, 200, EG_STR ("text/plain"), EG_STR ("ready\n"));
  else
    answer_text (self, 503, EG_STR ("text/plain"), EG_STR ("not ready\n"));
}

static void
serve_metrics (struct eg_connection *self)
{
  struct eg_buffer text = {0};

  eg_metrics_print (self->entry, &text);
  answer_text (self, 200, EG_STR ("text/plain; version=0.0.4"),
               eg_buffer_view (&text));
  eg_buffer_finish (&text);
}

static void
serve_question (struct eg_connection *self, int64_t now_us)
{
  static struct eg_buffer body;
  const struct eg_str type = EG_STR ("application/json");

  self->parked = false;
  switch (eg_mirror_answer_query (&self->question, now_us, &body))
    {
    case EG_MIRROR_ANSWERED:
      answer_text (self, 200, type, eg_buffer_view (&body));
      return;
    case EG_MIRROR_WAIT:
      self->parked = true;
      return;
    case EG_MIRROR_EXPIRED:
      answer_text (self, 410, type, EG_STR ("{}"));
      return;
    case EG_MIRROR_UNAVAILABLE:
      answer_text (self, 503, type, EG_STR ("{}"));
      return;
    }
}

static void
serve_peer (struct eg_connection *self)
{
  struct eg_str target = eg_http_head_target (&self->reader.head);
  int64_t now_us = eg_clock_now_us ();

  if (eg_str_equal (target, EG_STR ("/metrics")))
    serve_metrics (self);
  else if (eg_mirror_parse (&self->entry->mirror, target, now_us,
                            &self->question))
    serve_question (self, now_us);
  else
    answer_text (self, 404, EG_STR ("text/plain"), EG_STR ("no such path\n"));
}

void
eg_connections_mirror_changed (struct eg_callers *self, int64_t now_us)
{
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *caller =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (caller->parked && !caller->closing)
        serve_question (caller, now_us);
    }
}

static void
reject (struct eg_connection *self)
{
  eg_log (EG_LOG_INFO, "callers", "event=request-rejected status=%u fault=%d",
          self->reject_status, (int) self->reader.fault);
  answer_text (self, self->reject_status, EG_STR ("text/plain"),
               EG_STR ("the request cannot be read\n"));
}

static void
serve (struct eg_connection *self)
{
  switch (self->kind)
    {
    case EG_LISTEN_READINESS:
      serve_readiness (self);
      return;
    case EG_LISTEN_PEERS:
      serve_peer (self);
      return;
    default:
      eg_metrics_count (&self->entry->metrics, EG_COUNT_REQUESTS);
      eg_call_start (&self->call, &self->reader.head,
                     eg_buffer_view (&self->body));
    }
}

/* A request is being served: the next one waits. */
static bool
is_busy (const struct eg_connection *self)
{
  return self->call.active || self->parked;
}

static void
process (struct eg_connection *self, struct eg_str bytes)
{
  self->processing = true;
  while (bytes.len > 0 && !self->closing && !is_busy (self))
    {
      size_t taken;

      if (self->idle)
        self->since_us = eg_clock_now_us ();
      self->idle = false;
      taken = eg_http_reader_feed (&self->reader, bytes);
      bytes.data += taken;
      bytes.len -= taken;
      if (self->reader.fault != EG_HTTP_NO_FAULT && self->reject_status == 0)
        self->reject_status =
            self->reader.fault == EG_HTTP_HEAD_TOO_LARGE ? 431 : 400;
      if (self->reject_status > 0)
        reject (self);
      else if (self->reader.complete)
        serve (self);
    }
  if (bytes.len > 0 && is_busy (self))
    {
      eg_buffer_append (&self->early, bytes);
      if (self->early.len > EARLY_BYTES_MAX)
        eg_socket_pause (&self->socket);
    }
  self->processing = false;
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  process (context, bytes);
}

static void
on_head (void *context)
{
  struct eg_connection *self = context;
  const struct eg_http_head *head = &self->reader.head;
  struct eg_str length = eg_http_head_find (head, "content-length");
  int64_t bytes;

  if (eg_str_to_int64 (length, &bytes)
      && (uint64_t) bytes > limits_of (self)->body_bytes_max)
    self->reject_status = 413;
  else if (eg_http_same_name (eg_http_head_find (head, "expect"),
                              "100-continue")
           && head->has_body)
    eg_connection_send (self, EG_STR ("HTTP/1.1 100 Continue\r\n\r\n"));
}

static void
on_body (void *context, struct eg_str bytes)
{
  struct eg_connection *self = context;
  size_t *all = &self->entry->callers.body_bytes;
  size_t all_max =
      (size_t) self->entry->settings->memory_mb * BYTES_PER_MB / BODY_SHARE;

  if (self->reject_status > 0)
    return;
  if (self->body.len + bytes.len > limits_of (self)->body_bytes_max)
    self->reject_status = 413;
  else if (*all + bytes.len > all_max)
    self->reject_status = 503;
  else
    {
      eg_buffer_append (&self->body, bytes);
      *all += bytes.len;
    }
}

static void
on_ended (void *context, int uv_error)
{
  struct eg_connection *self = context;

  (void) uv_error; /* Whether in order or not, the caller is gone. */
  if (self->call.active)
    eg_call_cancel (&self->call);
  self->parked = false;
  drop_body (self);
  end_connection (self, false);
}

static void
on_drained (void *context)
{
  struct eg_connection *self = context;

  if (self->call.active)
    eg_call_resume_reading (&self->call);
}

static void
on_closed (void *context)
{
  struct eg_connection *self = context;

  self->entry->callers.connections--;
  eg_list_remove (&self->all);
  eg_call_finish (&self->call);
  eg_http_reader_finish (&self->reader);
  eg_buffer_finish (&self->body);
  eg_buffer_finish (&self->early);
  free (self);
}

static const struct eg_socket_events socket_events = {NULL, on_bytes, on_ended,
                                                      on_drained, on_closed};
static const struct eg_http_reader_events reader_events = {on_head, on_body};

static void
on_connection (uv_stream_t *listener, int status)
{
  struct eg_callers *callers = listener->data;
  struct eg_connection *self;

  if (status != 0)
    {
      eg_log (EG_LOG_WARNING, "callers", "event=accept-failed cause=\"%s\"",
              uv_strerror (status));
      return;
    }
  self = calloc (1, sizeof *self);
  EG_INVARIANT (self);
  self->entry = callers->entry;
  self->kind =
      (enum eg_listener_kind) ((uv_tcp_t *) listener - callers->listeners);
  self->idle = true;
  self->since_us = eg_clock_now_us ();
  eg_buffer_init (&self->body);
  eg_buffer_init (&self->early);
  eg_call_init (&self->call, callers->entry, self);
  eg_http_reader_init (&self->reader, EG_HTTP_REQUEST,
                       limits_of (self)->head_bytes_max, &reader_events, self);
  eg_list_append (&callers->all, &self->all);
  callers->connections++;
  if (self->kind == EG_LISTEN_CALLERS)
    eg_metrics_count (&callers->entry->metrics, EG_COUNT_CONNECTIONS);
  status = eg_socket_init (&self->socket, &callers->entry->loop, &socket_events,
                           self);
  EG_INVARIANT (status == 0);
  status = eg_socket_accept (&self->socket, listener);
  if (status == 0)
    status = eg_socket_read (&self->socket);
  if (status == 0 && self->kind == EG_LISTEN_CALLERS
      && (double) callers->connections
             > CONNECTIONS_SHARE
                   * (double) callers->entry->settings->descriptors)
    status = UV_EMFILE;
  if (status != 0)
    {
      eg_log (EG_LOG_WARNING, "callers", "event=accept-failed cause=\"%s\"",
              uv_strerror (status));
      end_connection (self, false);
    }
}

static int
open_listener (struct eg_callers *self,
               enum eg_listener_kind kind,
               const char *address)
{
  uv_tcp_t *listener = &self->listeners[kind];
  struct eg_endpoint endpoint;
  struct sockaddr_in bound = {.sin_family = AF_INET};
  int status;

  EG_INVARIANT (eg_endpoint_parse (eg_str_from (address), &endpoint));
  bound.sin_addr.s_addr = endpoint.ip;
  bound.sin_port = endpoint.port;
  status = uv_tcp_init (&self->entry->loop, listener);
  if (status != 0)
    return status;
  listener->data = self;
  self->listening[kind] = true;
  status = uv_tcp_bind (listener, (const struct sockaddr *) &bound, 0);
  if (status != 0)
    return status;
  return uv_listen ((uv_stream_t *) listener, BACKLOG, on_connection);
}

bool
eg_connections_open (struct eg_callers *self,
                     struct eg_entry *entry,
                     struct eg_error *error)
{
  const struct eg_entry_settings *settings = entry->settings;
  const char *addresses[EG_LISTENERS] = {
      [EG_LISTEN_CALLERS] = settings->listen_callers,
      [EG_LISTEN_READINESS] = settings->listen_readiness,
      [EG_LISTEN_PEERS] = settings->listen_peers,
  };

  memset (self, 0, sizeof *self);
  self->entry = entry;
  eg_list_init (&self->all);
  for (int kind = 0; kind < EG_LISTENERS; kind++)
    {
      int status =
          open_listener (self, (enum eg_listener_kind) kind, addresses[kind]);

      if (status != 0)
        {
          eg_error_set (error, EG_SYSTEM, "%s: cannot listen: %s",
                        addresses[kind], uv_strerror (status));
          return false;
        }
    }
  return true;
}

static void
check_reading (struct eg_connection *self, int64_t now_us)
{
  const struct eg_caller_limits *limits = limits_of (self);
  int64_t waited_us = now_us - self->since_us;

  if (self->idle)
    {
      if (waited_us >= limits->idle_timeout_us)
        end_connection (self, false);
      return;
    }
  if (waited_us < (self->reader.head_done ? limits->idle_timeout_us
                                          : limits->head_timeout_us))
    return;
  self->reject_status = 408;
  reject (self);
}

void
eg_connections_check (struct eg_callers *self, int64_t now_us)
{
  self->running = 0;
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *caller =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (caller->closing)
        {
          if (now_us - caller->since_us >= LINGER_US)
            eg_socket_close (&caller->socket);
        }
      else if (caller->call.active)
        {
          self->running++;
          eg_call_check (&caller->call, now_us);
        }
      else if (caller->parked)
        {
          if (now_us >= caller->question.until_us)
            serve_question (caller, now_us);
        }
      else
        check_reading (caller, now_us);
    }
}

static void
close_listener (struct eg_callers *self, enum eg_listener_kind kind)
{
  if (self->listening[kind])
    uv_close ((uv_handle_t *) &self->listeners[kind], NULL);
  self->listening[kind] = false;
}

void
eg_connections_close_idle (struct eg_callers *self)
{
  close_listener (self, EG_LISTEN_CALLERS);
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_connection *caller =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      if (caller->idle && !caller->call.active
          && caller->kind == EG_LISTEN_CALLERS)
        end_connection (caller, true);
    }
}

void
eg_connections_abort_requests (struct eg_callers *self)
{
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *caller =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (caller->call.active)
        eg_call_abort (&caller->call);
    }
}

void
eg_connections_finish (struct eg_callers *self)
{
  for (int kind = 0; kind < EG_LISTENERS; kind++)
    close_listener (self, (enum eg_listener_kind) kind);
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *caller =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (caller->call.active)
        eg_call_cancel (&caller->call);
      caller->closing = true;
      eg_socket_close (&caller->socket);
    }
}

void
eg_connections_report_received (struct eg_callers *self,
                                struct eg_backend *backend,
                                const struct eg_engine_report *report)
{
  int64_t now_us = eg_clock_now_us ();

  if (report->stalled_count == 0)
    return;
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *caller =
          EG_CONTAINER_OF (at, struct eg_connection, all);
      struct eg_call *call = &caller->call;

      at = at->next;
      if (!call->active || !call->send.active
          || call->send.place.stages[0] != backend)
        continue;
      for (size_t i = 0; i < report->stalled_count; i++)
        if (eg_str_equal (call->facts.id,
                          eg_str_from (report->stalled[i].request_id)))
          {
            eg_call_stream_stalled (call, &report->stalled[i], now_us);
            break;
          }
    }
}

void
eg_connections_servers_changed (struct eg_callers *self, int64_t now_us)
{
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *caller =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (caller->call.active)
        eg_call_servers_changed (&caller->call, now_us);
    }
}
