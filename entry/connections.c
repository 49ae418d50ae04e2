#include "entry/connections.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"
#include "entry/explain.h"
#include "net/content_coding.h"
#include "net/response_writer.h"
#include "platform/configuration.h"

/* Length of the accept queue. */
#define LISTEN_BACKLOG 1024
/* Maximum size of a request head until a configuration sets one. */
#define HEAD_BYTES_DEFAULT 16384
/* What a VM may add to the head of a request that it sends to another one. */
#define HOP_HEAD_BYTES 512
/* Pipelined bytes to buffer before reading from the connection is paused. */
#define PIPELINED_BYTES_MAX 8192
/* Size of the send queue at which no further pipelined request is served. */
#define UNREAD_BYTES_MAX 16384
/* An idle connection keeps no larger buffer. */
#define KEPT_BUFFER_BYTES 4096
/* Longest body of a sender that is no entry VM, to a port that is not for
 * callers. */
#define UNKNOWN_BODY_BYTES_MAX 16384
/* Time for a new connection to send a request before it is closed for another
 * one. */
#define NEW_CONNECTION_US (50 * EG_US_PER_MS)
/* Ticks until the same may happen to a connection of the readiness port. The
 * requests of all connections are read between two ticks, however long the
 * process takes for them. */
#define PROBE_TICKS 6
/* Smallest allocation for a body. */
#define BODY_BYTES_MIN 1024
/* Interval at which it is checked how much of a response a client has read;
 * each check is a system call. */
#define DELIVERY_CHECK_US (250 * EG_US_PER_MS)
/* Pipelined requests served, and bytes read, before other connections have
 * their turn: a VM has 0.084 cores, and its probes are answered within 1 s. */
#define TURN_REQUESTS 4
#define TURN_BYTES 65536
/* Least size of the kernel's queue for sending: one event of a stream. */
#define SEND_BUFFER_MIN_BYTES 16384
/* Retry-After of a request that is rejected for want of memory. */
#define MEMORY_RETRY_AFTER_S 1
/* Connections closed per tick for want of memory; each one takes a search. */
#define EXCESS_PER_TICK 64
/* Size of the send queue at which reading from the server is paused. */
#define SEND_QUEUE_BYTES_MAX 262144
/* Time-outs of idle connections and of request heads until a configuration
 * sets them. */
#define IDLE_DEFAULT_US (15 * EG_US_PER_S)
#define HEAD_TIMEOUT_DEFAULT_US (3 * EG_US_PER_S)
/* Time for a client that has received everything to close its side. Until then
 * its connection is read: closing it with unread bytes resets it, and the
 * client may lose the end of the response. */
#define LINGER_TIMEOUT_US (2 * EG_US_PER_S)

static const struct eg_caller_limits *
limits_of (const struct eg_connection *self)
{
  static const struct eg_caller_limits defaults = {
      HEAD_BYTES_DEFAULT, 4U << 20, HEAD_TIMEOUT_DEFAULT_US, IDLE_DEFAULT_US};
  const struct eg_configuration *current = self->entry->configuration.current;

  return current ? &current->limits : &defaults;
}

static size_t
head_bytes_max (const struct eg_connection *self)
{
  return limits_of (self)->head_bytes_max
         + (self->kind == EG_LISTEN_PEERS ? HOP_HEAD_BYTES : 0);
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
  return eg_socket_queue_memory (&self->socket) > SEND_QUEUE_BYTES_MAX;
}

static struct eg_connection *
connection_of (struct eg_client_holder *holder)
{
  return EG_CONTAINER_OF (holder, struct eg_connection, holder);
}

/* Counts a connection that was closed, or a request that was rejected, because
 * of its client. */
static void
note_cause (struct eg_connections *self,
            enum eg_client_cause cause,
            size_t held,
            int64_t now_us)
{
  struct eg_log_rate *rate = &self->log_rates[cause];

  self->entry->metrics.clients[cause]++;
  if (eg_log_rate_admits (rate, now_us))
    eg_log (EG_LOG_NOTICE, "callers",
            "event=client-rejected cause=%s times=%" PRIu64
            " held=%zu held_by_all=%zu budget=%zu callers=%zu peers=%zu",
            eg_client_cause_name (cause), rate->count, held, self->memory.held,
            self->memory.budget, self->counts[EG_LISTEN_CALLERS],
            self->counts[EG_LISTEN_PEERS]);
}

static size_t
count_held (const struct eg_connection *self)
{
  return sizeof *self + self->reader.head.text.capacity + self->body.capacity
         + self->pipelined.capacity + eg_socket_queue_memory (&self->socket)
         + eg_call_memory (&self->call);
}

static bool
is_busy (const struct eg_connection *self)
{
  return self->call.active || self->query_pending;
}

static enum eg_client_stage
find_stage (const struct eg_connection *self)
{
  if (self->closing || eg_socket_queued (&self->socket) > 0)
    return EG_CLIENT_READING;
  if (is_busy (self))
    return self->call.active && self->call.attempt.active ? EG_CLIENT_SENT
                                                          : EG_CLIENT_WAITING;
  return self->idle ? EG_CLIENT_IDLE : EG_CLIENT_RECEIVING;
}

/* Records what the connection holds and waits for. */
static void
account (struct eg_connection *self)
{
  if (!self->counted)
    return;
  self->holder.stage = find_stage (self);
  self->holder.in_call = self->call.active;
  eg_client_memory_hold (&self->entry->connections.memory, &self->holder,
                         count_held (self));
}

static void
uncount (struct eg_connection *self)
{
  struct eg_connections *connections = &self->entry->connections;

  if (!self->counted)
    return;
  self->counted = false;
  if (self->has_turn)
    eg_list_remove (&self->in_turns);
  self->has_turn = false;
  connections->counts[self->kind]--;
  eg_client_memory_remove (&connections->memory, &self->holder);
}

/* Closes a connection that delivers nothing any more. */
static void
drop_connection (struct eg_connection *self)
{
  self->closing = true;
  uncount (self);
  eg_socket_close (&self->socket);
}

/* Closes a connection once its client has received what is queued. */
static void
finish_connection (struct eg_connection *self)
{
  if (self->closing)
    return;
  self->closing = true;
  self->last_activity_us = eg_clock_now_us ();
  eg_client_pace_start (&self->holder.pace, self->last_activity_us);
  self->undelivered = SIZE_MAX;
  account (self);
  if (self->read_ended)
    {
      eg_socket_close_after_writes (&self->socket);
      return;
    }
  eg_socket_end_sending (&self->socket);
  eg_socket_read (&self->socket);
}

/* Returns whether bytes of a response are still to be delivered. */
static bool
is_delivering (const struct eg_connection *self)
{
  /* A vanished client does not acknowledge the end of sending either. */
  size_t ends = self->closing ? 1 : 0;

  return !self->socket.closing && eg_socket_undelivered (&self->socket) > ends;
}

/* Moves the connection's time-out on by what its client has received of a
 * response since the last check, at the minimum rate. */
static void
note_delivery (struct eg_connection *self, int64_t now_us)
{
  size_t undelivered = eg_socket_undelivered (&self->socket);
  struct eg_client_pace *pace = &self->holder.pace;

  if (undelivered > 0 && undelivered < self->undelivered)
    {
      eg_client_pace_moved (pace, self->undelivered - undelivered,
                            self->entry->settings->client_read_rate, now_us);
      self->last_activity_us = pace->paid_us;
    }
  self->undelivered = undelivered;
}

static void process_pipelined (struct eg_connection *self);

static void
clear_buffer (struct eg_buffer *buffer)
{
  if (buffer->capacity > KEPT_BUFFER_BYTES)
    eg_buffer_finish (buffer);
  eg_buffer_clear (buffer);
}

/* Frees what is not needed until the next request. */
static void
clear_request (struct eg_connection *self)
{
  clear_buffer (&self->body);
  clear_buffer (&self->reader.head.text);
  self->reader.head.field_count = 0;
  self->reader.head.target_len = 0;
}

void
eg_connection_response_done (struct eg_connection *self)
{
  bool close = eg_connection_will_close (self);

  clear_request (self);
  self->last_activity_us = eg_clock_now_us ();
  eg_client_pace_start (&self->holder.pace, self->last_activity_us);
  self->undelivered = SIZE_MAX;
  self->idle = true;
  if (close)
    {
      finish_connection (self);
      return;
    }
  eg_http_reader_next (&self->reader);
  account (self);
  if (!self->processing)
    process_pipelined (self);
}

void
eg_connection_abort (struct eg_connection *self)
{
  clear_request (self);
  finish_connection (self);
}

/* Appends the head of a response generated by this daemon. */
static void
write_own_head (const struct eg_connection *self,
                unsigned status,
                struct eg_str type,
                size_t len,
                bool is_coded,
                struct eg_buffer *out)
{
  eg_response_begin (out, status);
  eg_response_field (out, EG_STR ("Content-Type"), type);
  if (is_coded)
    eg_response_field (out, EG_STR ("Content-Encoding"),
                       EG_STR (EG_CONTENT_CODING));
  eg_buffer_printf (out, "Content-Length: %zu\r\n", len);
  if (eg_connection_will_close (self))
    eg_response_field (out, EG_STR ("Connection"), EG_STR ("close"));
  if (self->reject_status == 503)
    eg_buffer_printf (out, "Retry-After: %d\r\n", MEMORY_RETRY_AFTER_S);
  /* Another VM must not take it for the failure of a server. */
  if (self->kind == EG_LISTEN_PEERS && self->reject_status > 0)
    eg_response_write_hop_refused (out);
  eg_buffer_append (out, EG_STR ("\r\n"));
}

/* Closes a connection at once for the sake of others, and frees its memory. */
static void
evict (struct eg_connection *self, enum eg_client_cause cause, int64_t now_us)
{
  bool is_incomplete = !self->closing && !is_busy (self) && !self->idle;
  struct eg_buffer out = {0};

  note_cause (&self->entry->connections, cause, self->holder.held, now_us);
  if (self->call.active)
    eg_call_cancel (&self->call);
  self->query_pending = false;
  if (is_incomplete)
    {
      self->reject_status = 503;
      write_own_head (self, 503, EG_STR ("text/plain"), 0, false, &out);
      eg_connection_send (self, eg_buffer_view (&out));
      eg_buffer_finish (&out);
    }
  drop_connection (self);
  clear_request (self);
  eg_buffer_finish (&self->pipelined);
  self->pipelined_at = 0;
}

/* Makes room for more bytes of an incomplete request, if need be by closing
 * other connections; false if the request is to be rejected. */
static bool
make_room (struct eg_connection *self, size_t extra)
{
  struct eg_client_memory *memory = &self->entry->connections.memory;
  struct eg_client_holder *victim;
  int64_t now_us;

  if (memory->held + extra <= memory->budget)
    return true;
  now_us = eg_clock_now_us ();
  while (
      !eg_client_memory_admit (memory, &self->holder, extra, now_us, &victim))
    {
      if (victim == &self->holder)
        return false;
      evict (connection_of (victim), EG_CLIENT_MEMORY, now_us);
    }
  return true;
}

static void
send_own (struct eg_connection *self,
          unsigned status,
          struct eg_str type,
          struct eg_str body,
          bool is_coded)
{
  struct eg_buffer out = {0};

  write_own_head (self, status, type, body.len, is_coded, &out);
  eg_buffer_append (&out, body);
  eg_connection_send (self, eg_buffer_view (&out));
  eg_buffer_finish (&out);
  eg_connection_response_done (self);
}

/* Sends a response generated by this daemon. */
static void
send_text (struct eg_connection *self,
           unsigned status,
           struct eg_str type,
           struct eg_str text)
{
  send_own (self, status, type, text, false);
}

static void
serve_readiness (struct eg_connection *self)
{
  bool known = eg_is_readiness_path (eg_http_head_target (&self->reader.head));
  bool ready = eg_entry_is_ready (self->entry, eg_clock_now_us ());

  if (!known)
    send_text (self, 404, EG_STR ("text/plain"), EG_STR ("no such path\n"));
  else if (ready)
    send_text (self, 200, EG_STR ("text/plain"), EG_STR ("ready\n"));
  else
    send_text (self, 503, EG_STR ("text/plain"), EG_STR ("not ready\n"));
}

static void
serve_metrics (struct eg_connection *self)
{
  struct eg_buffer text = {0};

  eg_metrics_print (self->entry, &text);
  send_text (self, 200, EG_STR ("text/plain; version=0.0.4"),
             eg_buffer_view (&text));
  eg_buffer_finish (&text);
}

static void
serve_query (struct eg_connection *self, int64_t now_us)
{
  static struct eg_mirror_body body;
  const struct eg_str type = EG_STR ("application/json");

  self->query_pending = false;
  switch (eg_mirror_answer_query (&self->query, now_us, &body))
    {
    case EG_MIRROR_ANSWERED:
      send_own (self, 200, type, eg_buffer_view (&body.bytes), body.is_coded);
      return;
    case EG_MIRROR_WAIT:
      self->query_pending = true;
      return;
    case EG_MIRROR_EXPIRED:
      send_text (self, 410, type, EG_STR ("{}"));
      return;
    case EG_MIRROR_UNAVAILABLE:
      send_text (self, 503, type, EG_STR ("{}"));
      return;
    }
}

/* Other VMs ask for it when theirs is older, whatever the store holds. */
static void
serve_configuration (struct eg_connection *self)
{
  struct eg_object_text *text = &self->entry->configuration.text;
  bool is_coded = eg_content_coding_is_accepted (&self->reader.head);
  const struct eg_str type = EG_STR ("application/json");

  if (!eg_object_text_is_set (text))
    send_text (self, 404, type, EG_STR ("{}"));
  else
    send_own (self, 200, type,
              is_coded ? eg_object_text_coded (text)
                       : eg_object_text_plain (text),
              is_coded);
}

static void
serve_explanation (struct eg_connection *self, struct eg_str target)
{
  struct eg_buffer text = {0};
  unsigned status = eg_explain_answer (self->entry, target, &text);

  eg_metrics_count (&self->entry->metrics, EG_COUNT_EXPLANATIONS);
  send_text (self, status, EG_STR ("application/json"), eg_buffer_view (&text));
  eg_buffer_finish (&text);
}

/* Serves a request of a client that another VM cannot send to servers; false if
 * it is no such request. Addresses of VMs are those in their objects. */
static bool
serve_hop (struct eg_connection *self)
{
  const struct eg_http_head *head = &self->reader.head;
  const struct eg_member *member = NULL;
  struct eg_hop_headers hop;
  struct eg_endpoint from;

  if (!eg_request_hop_decode (head, &hop))
    return false;
  if (eg_socket_peer (&self->socket, &from))
    member = eg_members_find_host (&self->entry->members, from);
  if (!member)
    {
      eg_log (EG_LOG_WARNING, "callers",
              "event=hop-rejected cause=\"the sender is no entry VM\"");
      send_text (self, 403, EG_STR ("text/plain"),
                 EG_STR (EG_HOP_FORBIDDEN_TEXT));
      return true;
    }
  eg_metrics_count (&self->entry->metrics, EG_COUNT_FROM_PEERS);
  eg_call_start (&self->call, head, eg_buffer_view (&self->body), &hop);
  return true;
}

/* Returns whether the sender is a VM that this VM's list lacks. It may belong
 * to another system and take this VM for a former one of its own, with the same
 * address: what this VM knows must not reach it. Old builds do not name
 * themselves, and without a list nothing is known of the sender. */
static bool
is_from_stranger (const struct eg_connection *self, int64_t now_us)
{
  struct eg_members *members = &self->entry->members;
  struct eg_endpoint vm;

  return eg_request_vm_decode (&self->reader.head, &vm)
         && members->lists_read > 0 && !eg_members_admit (members, vm, now_us);
}

static void
refuse_stranger (struct eg_connection *self, int64_t now_us)
{
  struct eg_endpoint vm;

  eg_request_vm_decode (&self->reader.head, &vm);
  eg_members_count_foreign (&self->entry->members, EG_FOREIGN_READ, vm, now_us);
  send_text (self, 503, EG_STR ("text/plain"),
             EG_STR ("only entry VMs of this system are served here\n"));
}

static void
serve_peer (struct eg_connection *self)
{
  struct eg_str target = eg_http_head_target (&self->reader.head);
  int64_t now_us = eg_clock_now_us ();

  if (serve_hop (self))
    return;
  if (is_from_stranger (self, now_us))
    {
      refuse_stranger (self, now_us);
      return;
    }
  if (eg_str_equal (target, EG_STR ("/metrics")))
    serve_metrics (self);
  else if (eg_explain_is_target (target))
    serve_explanation (self, target);
  else if (eg_mirror_is_object_target (target, eg_configuration_kind,
                                       eg_configuration_name))
    serve_configuration (self);
  else if (eg_mirror_parse (&self->entry->mirror, target, now_us, &self->query))
    {
      self->query.accepts_coding =
          eg_content_coding_is_accepted (&self->reader.head);
      serve_query (self, now_us);
    }
  else
    send_text (self, 404, EG_STR ("text/plain"), EG_STR ("no such path\n"));
}

void
eg_connections_mirror_changed (struct eg_connections *self, int64_t now_us)
{
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *connection =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (connection->query_pending && !connection->closing)
        serve_query (connection, now_us);
    }
}

static enum eg_client_cause
find_cause (unsigned status)
{
  switch (status)
    {
    case 408:
      return EG_CLIENT_SLOW_SENDER;
    case 413:
      return EG_CLIENT_BODY_TOO_LARGE;
    case 431:
      return EG_CLIENT_HEAD_TOO_LARGE;
    case 503:
      return EG_CLIENT_MEMORY_REJECTED;
    default:
      return EG_CLIENT_MALFORMED;
    }
}

static void
reject (struct eg_connection *self)
{
  note_cause (&self->entry->connections, find_cause (self->reject_status),
              self->holder.held, eg_clock_now_us ());
  eg_log (EG_LOG_DEBUG, "callers", "event=request-rejected status=%u fault=%d",
          self->reject_status, (int) self->reader.fault);
  send_text (self, self->reject_status, EG_STR ("text/plain"),
             EG_STR ("the request cannot be read\n"));
}

static void
serve (struct eg_connection *self)
{
  eg_client_pace_start (&self->holder.pace, eg_clock_now_us ());
  /* Other connections' events must not close it meanwhile. */
  self->holder.stage = EG_CLIENT_WAITING;
  self->holder.in_call = true;
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
                     eg_buffer_view (&self->body), NULL);
    }
}

/* Returns whether the next request has to wait: until the present one is
 * served, until the client has read the responses, or until other connections
 * have been served. */
static bool
is_blocked (const struct eg_connection *self)
{
  return is_busy (self) || self->has_turn
         || eg_socket_queue_memory (&self->socket) > UNREAD_BYTES_MAX;
}

static void on_next_turns (uv_idle_t *handle);

/* Goes on with the connection once others have had their turn. */
static void
wait_for_turn (struct eg_connection *self)
{
  struct eg_connections *connections = &self->entry->connections;

  if (self->has_turn || !self->counted)
    return;
  self->has_turn = true;
  eg_list_append (&connections->in_turns, &self->in_turns);
  uv_idle_start (&connections->next_turns, on_next_turns);
}

static void
begin_request (struct eg_connection *self)
{
  self->idle = false;
  self->last_activity_us = eg_clock_now_us ();
  eg_client_pace_start (&self->holder.pace, self->last_activity_us);
  self->body_len = SIZE_MAX;
  self->holder.missing = 0;
  /* The configuration may have changed since the last request. */
  self->reader.head_max = head_bytes_max (self);
}

/* Serves the requests in @p bytes, one after another.
 * @return the number of bytes consumed. */
static size_t
process (struct eg_connection *self, struct eg_str bytes)
{
  size_t consumed = 0;
  unsigned served = 0;

  self->processing = true;
  while (consumed < bytes.len && !self->closing && !is_blocked (self))
    {
      if (self->idle)
        begin_request (self);
      consumed += eg_http_reader_feed (
          &self->reader,
          (struct eg_str){bytes.data + consumed, bytes.len - consumed});
      if (self->reader.fault != EG_HTTP_NO_FAULT && self->reject_status == 0)
        self->reject_status =
            self->reader.fault == EG_HTTP_HEAD_TOO_LARGE ? 431 : 400;
      if (self->reject_status > 0)
        reject (self);
      else if (self->reader.complete)
        {
          serve (self);
          if (++served == TURN_REQUESTS && consumed < bytes.len)
            wait_for_turn (self);
        }
    }
  self->processing = false;
  account (self);
  return consumed;
}

/* Serves the requests that were received before their turn. The buffer does not
 * change meanwhile: the socket is read in other events. */
static void
process_pipelined (struct eg_connection *self)
{
  struct eg_str bytes = eg_buffer_view (&self->pipelined);

  if (bytes.len == 0 || self->closing || is_blocked (self))
    return;
  bytes.data += self->pipelined_at;
  bytes.len -= self->pipelined_at;
  self->pipelined_at += process (self, bytes);
  if (!self->closing && self->pipelined_at < self->pipelined.len)
    return;
  clear_buffer (&self->pipelined);
  self->pipelined_at = 0;
  account (self);
  if (!self->closing)
    eg_socket_read (&self->socket);
}

static void
keep_pipelined (struct eg_connection *self, struct eg_str bytes)
{
  /* Moves as many bytes as have been consumed since the last time at most. */
  if (self->pipelined_at * 2 >= self->pipelined.len)
    {
      eg_buffer_consume (&self->pipelined, self->pipelined_at);
      self->pipelined_at = 0;
    }
  eg_buffer_reserve (&self->pipelined, self->pipelined.len + bytes.len + 1);
  eg_buffer_append (&self->pipelined, bytes);
  if (self->pipelined.len - self->pipelined_at > PIPELINED_BYTES_MAX)
    eg_socket_pause (&self->socket);
  account (self);
}

/* Rejects a request that was not complete with the bytes just received, if
 * there is no memory for it. */
static void
check_room (struct eg_connection *self)
{
  if (self->holder.stage != EG_CLIENT_RECEIVING || make_room (self, 0))
    return;
  self->reject_status = 503;
  reject (self);
}

static void
on_next_turns (uv_idle_t *handle)
{
  struct eg_connections *connections = handle->data;
  struct eg_list due;
  struct eg_list *link;

  eg_list_init (&due);
  while ((link = eg_list_pop_front (&connections->in_turns)))
    eg_list_append (&due, link);
  while ((link = eg_list_pop_front (&due)))
    {
      struct eg_connection *self =
          EG_CONTAINER_OF (link, struct eg_connection, in_turns);

      self->has_turn = false;
      process_pipelined (self);
      if (!self->socket.closing && !self->read_ended
          && (self->closing
              || self->pipelined.len - self->pipelined_at
                     <= PIPELINED_BYTES_MAX))
        eg_socket_read (&self->socket);
    }
  if (eg_list_is_empty (&connections->in_turns))
    uv_idle_stop (handle);
}

static void
receive (struct eg_connection *self, struct eg_str bytes)
{
  size_t consumed;

  if (self->pipelined.len > 0)
    {
      keep_pipelined (self, bytes);
      return;
    }
  if (!self->idle && !is_busy (self))
    eg_client_pace_moved (&self->holder.pace, bytes.len,
                          self->entry->settings->client_send_rate,
                          eg_clock_now_us ());
  consumed = process (self, bytes);
  if (self->closing)
    return;
  if (consumed < bytes.len)
    keep_pipelined (
        self, (struct eg_str){bytes.data + consumed, bytes.len - consumed});
  else
    check_room (self);
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  struct eg_connection *self = context;

  if (!self->closing)
    receive (self, bytes);
  if (self->socket.closing || bytes.len < TURN_BYTES)
    return;
  eg_socket_pause (&self->socket);
  wait_for_turn (self);
}

/* Only other VMs send bodies to the port for them, and nobody to that for
 * probes. */
static size_t
find_body_max (const struct eg_connection *self)
{
  size_t max = limits_of (self)->body_bytes_max;
  struct eg_endpoint from;
  bool is_known = self->kind == EG_LISTEN_CALLERS;

  if (self->kind == EG_LISTEN_PEERS && eg_socket_peer (&self->socket, &from))
    is_known = eg_members_find_host (&self->entry->members, from) != NULL;
  return is_known || max < UNKNOWN_BODY_BYTES_MAX ? max
                                                  : UNKNOWN_BODY_BYTES_MAX;
}

static void
on_head (void *context)
{
  struct eg_connection *self = context;
  const struct eg_http_head *head = &self->reader.head;
  struct eg_str length = eg_http_head_find (head, "content-length");
  int64_t bytes;

  if (eg_str_to_int64 (length, &bytes) && bytes >= 0)
    self->body_len = (size_t) bytes;
  if (head->has_body)
    self->body_max = find_body_max (self);
  if (head->has_body && self->body_len < SIZE_MAX
      && self->body_len > self->body_max)
    self->reject_status = 413;
  else if (eg_http_same_name (eg_http_head_find (head, "expect"),
                              "100-continue")
           && head->has_body)
    eg_connection_send (self, EG_STR ("HTTP/1.1 100 Continue\r\n\r\n"));
}

/* Allocates memory for a body of @p len bytes so far. A body of stated length
 * gets no more than that; others grow by half, so that the bytes copied remain
 * in proportion to the length. */
static bool
reserve_body (struct eg_connection *self, size_t len)
{
  size_t max = self->body_len < SIZE_MAX ? self->body_len : self->body_max;
  size_t capacity = self->body.capacity + self->body.capacity / 2;

  /* One byte more than the body, which is what eg_buffer_append() asks for. */
  if (len + 1 <= self->body.capacity)
    return true;
  if (capacity < BODY_BYTES_MIN)
    capacity = BODY_BYTES_MIN;
  if (capacity > max + 1)
    capacity = max + 1;
  if (capacity < len + 1)
    capacity = len + 1;
  self->holder.missing = max > len ? max - len : 0;
  if (!make_room (self, capacity - self->body.capacity))
    return false;
  eg_buffer_reserve (&self->body, capacity);
  account (self);
  return true;
}

static void
on_body (void *context, struct eg_str bytes)
{
  struct eg_connection *self = context;

  if (self->reject_status > 0)
    return;
  if (self->body.len + bytes.len > self->body_max)
    self->reject_status = 413;
  else if (!reserve_body (self, self->body.len + bytes.len))
    self->reject_status = 503;
  else
    eg_buffer_append (&self->body, bytes);
}

static void
on_ended (void *context, int uv_error)
{
  struct eg_connection *self = context;

  self->read_ended = true;
  if (self->call.active)
    eg_call_cancel (&self->call);
  self->query_pending = false;
  clear_request (self);
  /* A client that has ended its side may still read. */
  if (uv_error == UV_EOF && eg_socket_queued (&self->socket) > 0)
    finish_connection (self);
  else
    drop_connection (self);
}

static void
on_drained (void *context)
{
  struct eg_connection *self = context;

  if (self->closing && self->read_ended)
    drop_connection (self);
  else if (self->call.active)
    eg_call_resume_reading (&self->call);
  else
    process_pipelined (self);
  account (self);
}

static void
on_closed (void *context)
{
  struct eg_connection *self = context;

  uncount (self);
  eg_list_remove (&self->all);
  eg_call_finish (&self->call);
  eg_http_reader_finish (&self->reader);
  eg_buffer_finish (&self->body);
  eg_buffer_finish (&self->pipelined);
  free (self);
}

static const struct eg_socket_events socket_events = {NULL, on_bytes, on_ended,
                                                      on_drained, on_closed};
static const struct eg_http_reader_events reader_events = {on_head, on_body};

static void
log_accept_failure (int status)
{
  static struct eg_log_rate rate;

  if (eg_log_rate_admits (&rate, eg_clock_now_us ()))
    eg_log (EG_LOG_WARNING, "callers",
            "event=accept-failed cause=\"%s\" times=%" PRIu64,
            uv_strerror (status), rate.count);
}

/** Whether there is room for one more connection. */
enum slot
{
  SLOT_FREE,
  SLOT_LATER, /**< A connection may be closed soon. */
  SLOT_NONE,
};

/* Frees the place of the oldest connection of the readiness port: a client that
 * goes on sending must not keep the places of probes. */
static enum slot
free_probe_slot (struct eg_connections *self, int64_t now_us)
{
  struct eg_client_holder *oldest =
      eg_client_memory_find_oldest (&self->memory, EG_LISTEN_READINESS);

  if (!oldest)
    return SLOT_NONE;
  if (self->ticks - connection_of (oldest)->accepted_tick < PROBE_TICKS)
    return SLOT_LATER;
  evict (connection_of (oldest), EG_CLIENT_CONNECTIONS, now_us);
  return SLOT_FREE;
}

/* Closes the least useful connection of a kind. */
static enum slot
free_slot (struct eg_connections *self,
           enum eg_listener_kind kind,
           int64_t now_us)
{
  struct eg_client_holder *victim;

  if (kind == EG_LISTEN_READINESS)
    return free_probe_slot (self, now_us);
  victim = eg_client_memory_find_slot (&self->memory, kind, now_us);
  if (!victim)
    return SLOT_NONE;
  if (eg_client_pace_lag_us (&victim->pace, now_us) < NEW_CONNECTION_US)
    return SLOT_LATER;
  evict (connection_of (victim), EG_CLIENT_CONNECTIONS, now_us);
  return SLOT_FREE;
}

size_t
eg_connections_count (const struct eg_connections *self)
{
  size_t all = 0;

  for (size_t i = 0; i < EG_LISTENERS; i++)
    all += self->counts[i];
  return all;
}

/* Makes room for one more connection. */
static enum slot
make_slot (struct eg_connections *self,
           enum eg_listener_kind kind,
           int64_t now_us)
{
  const struct eg_entry_settings *settings = self->entry->settings;
  size_t peers = self->counts[EG_LISTEN_PEERS];
  enum slot slot = SLOT_FREE;

  if (self->counts[kind] >= eg_client_port_max (settings, kind, peers))
    slot = free_slot (self, kind, now_us);
  /* The callers give way to the other ports. */
  if (slot == SLOT_FREE && kind == EG_LISTEN_PEERS
      && eg_connections_count (self) >= eg_client_connections_max (settings))
    slot = free_slot (self, EG_LISTEN_CALLERS, now_us);
  return slot;
}

/* Sets the kernel's buffer for the connections that follow. */
static void
set_receive_buffer (struct eg_connections *self, enum eg_listener_kind kind)
{
  size_t bytes = eg_client_kernel_bytes (self->entry->settings,
                                         self->counts[EG_LISTEN_CALLERS]);

  /* Once it has been set, the kernel no longer decides. */
  if (bytes == 0 && self->receive_bytes[kind] > 0)
    bytes = EG_CLIENT_KERNEL_BYTES_MAX;
  if (bytes == self->receive_bytes[kind])
    return;
  self->receive_bytes[kind] = bytes;
  eg_listener_set_receive_buffer (&self->listeners[kind], bytes);
}

static void
count_connection (struct eg_connection *self)
{
  struct eg_connections *connections = &self->entry->connections;
  struct eg_endpoint peer;
  size_t kernel_bytes = eg_client_kernel_bytes (
      self->entry->settings, connections->counts[EG_LISTEN_CALLERS]);

  connections->counts[self->kind]++;
  self->holder.group = self->kind;
  if (eg_socket_peer (&self->socket, &peer))
    self->holder.address = peer.ip;
  eg_client_pace_start (&self->holder.pace, self->last_activity_us);
  eg_client_memory_add (&connections->memory, &self->holder);
  self->counted = true;
  account (self);
  if (kernel_bytes > 0)
    eg_socket_bound_kernel_buffers (&self->socket, kernel_bytes,
                                    kernel_bytes < SEND_BUFFER_MIN_BYTES
                                        ? SEND_BUFFER_MIN_BYTES
                                        : kernel_bytes);
  set_receive_buffer (connections, self->kind);
}

static void
accept_connection (struct eg_connections *connections,
                   enum eg_listener_kind kind,
                   enum slot slot)
{
  struct eg_connection *self = calloc (1, sizeof *self);
  int status;

  EG_INVARIANT (self);
  self->entry = connections->entry;
  self->kind = kind;
  self->idle = true;
  self->accepted_tick = connections->ticks;
  self->last_activity_us = eg_clock_now_us ();
  eg_buffer_init (&self->body);
  eg_buffer_init (&self->pipelined);
  eg_call_init (&self->call, connections->entry, self);
  eg_http_reader_init (&self->reader, EG_HTTP_REQUEST, head_bytes_max (self),
                       &reader_events, self);
  eg_list_append (&connections->all, &self->all);
  if (kind == EG_LISTEN_CALLERS)
    eg_metrics_count (&connections->entry->metrics, EG_COUNT_CONNECTIONS);
  status = eg_socket_init (&self->socket, &connections->entry->loop,
                           &socket_events, self);
  EG_INVARIANT (status == 0);
  status = eg_socket_accept (&self->socket,
                             (uv_stream_t *) &connections->listeners[kind]);
  if (status == 0 && slot == SLOT_NONE)
    {
      note_cause (connections, EG_CLIENT_CONNECTION_REJECTED, sizeof *self,
                  self->last_activity_us);
      drop_connection (self);
      return;
    }
  if (status == 0)
    {
      count_connection (self);
      status = eg_socket_read (&self->socket);
    }
  if (status != 0)
    {
      log_accept_failure (status);
      drop_connection (self);
    }
}

/* Accepts a connection that has arrived, or leaves it, and those behind it, to
 * the next tick. */
static void
handle_arrival (struct eg_connections *self,
                enum eg_listener_kind kind,
                int64_t now_us)
{
  enum slot slot = make_slot (self, kind, now_us);

  self->accept_later[kind] = slot == SLOT_LATER;
  if (slot != SLOT_LATER)
    accept_connection (self, kind, slot);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct eg_connections *connections = listener->data;

  if (status != 0)
    log_accept_failure (status);
  else
    handle_arrival (connections,
                    (enum eg_listener_kind) ((uv_tcp_t *) listener
                                             - connections->listeners),
                    eg_clock_now_us ());
}

static int
open_listener (struct eg_connections *self,
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
  set_receive_buffer (self, kind);
  return uv_listen ((uv_stream_t *) listener, LISTEN_BACKLOG, on_connection);
}

/* The settings may have changed. */
static void
set_budget (struct eg_connections *self)
{
  const struct eg_entry_settings *settings = self->entry->settings;

  eg_client_memory_set_budget (&self->memory, eg_client_budget (settings),
                               eg_client_alone_max (settings));
}

bool
eg_connections_open (struct eg_connections *self,
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
  eg_client_memory_init (&self->memory);
  eg_list_init (&self->in_turns);
  uv_idle_init (&entry->loop, &self->next_turns);
  self->next_turns.data = self;
  set_budget (self);
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

/* Ends a call whose client does not read its response. */
static void
check_delivery (struct eg_connection *self, int64_t now_us)
{
  struct eg_client_pace *pace = &self->holder.pace;
  uint64_t delivered;

  if (eg_socket_queued (&self->socket) == 0)
    {
      eg_client_pace_start (pace, now_us);
      self->delivery_check_us = 0;
      return;
    }
  if (now_us < self->delivery_check_us)
    return;
  delivered = self->socket.written - eg_socket_undelivered (&self->socket);
  if (self->delivery_check_us > 0)
    eg_client_pace_moved (pace, delivered - self->delivered,
                          self->entry->settings->client_read_rate, now_us);
  self->delivered = delivered;
  self->delivery_check_us = now_us + DELIVERY_CHECK_US;
  if (eg_client_pace_lag_us (pace, now_us) < limits_of (self)->idle_timeout_us)
    return;
  eg_metrics_count (&self->entry->metrics, EG_COUNT_RESPONSES_CUT);
  evict (self, EG_CLIENT_SLOW_READER, now_us);
}

/* A client that still receives a response is not idle. */
static void
check_idle (struct eg_connection *self, int64_t now_us)
{
  int64_t timeout_us = limits_of (self)->idle_timeout_us;

  if (eg_socket_queued (&self->socket) > 0
      || now_us - self->last_activity_us >= timeout_us)
    note_delivery (self, now_us);
  if (now_us - self->last_activity_us >= timeout_us)
    finish_connection (self);
}

/* Ends the wait for a client that receives no more of its last response, or
 * that has received it and does not close its side. */
static void
check_closing (struct eg_connection *self, int64_t now_us)
{
  bool delivering;

  if (self->socket.closing)
    return;
  note_delivery (self, now_us);
  delivering = is_delivering (self);
  if (now_us - self->last_activity_us
      < (delivering ? limits_of (self)->idle_timeout_us : LINGER_TIMEOUT_US))
    return;
  if (delivering)
    {
      note_cause (&self->entry->connections, EG_CLIENT_SLOW_READER,
                  self->holder.held, now_us);
      eg_metrics_count (&self->entry->metrics, EG_COUNT_RESPONSES_CUT);
      eg_log (EG_LOG_NOTICE, "callers",
              "event=response-cut cause=not-read bytes=%zu", self->undelivered);
    }
  drop_connection (self);
}

static void
check_reading (struct eg_connection *self, int64_t now_us)
{
  const struct eg_caller_limits *limits = limits_of (self);
  bool is_late;

  if (self->idle)
    {
      check_idle (self, now_us);
      return;
    }
  if (self->reader.head_done)
    is_late = eg_client_pace_lag_us (&self->holder.pace, now_us)
              >= limits->idle_timeout_us;
  else
    is_late = now_us - self->last_activity_us >= limits->head_timeout_us;
  if (!is_late)
    return;
  self->reject_status = 408;
  reject (self);
}

/* Responses and queues grow without asking for memory first. */
static void
free_excess (struct eg_connections *self, int64_t now_us)
{
  for (int i = 0; i < EXCESS_PER_TICK; i++)
    {
      struct eg_client_holder *victim =
          eg_client_memory_find_excess (&self->memory, now_us);

      if (!victim)
        return;
      evict (connection_of (victim), EG_CLIENT_MEMORY, now_us);
    }
}

void
eg_connections_check (struct eg_connections *self, int64_t now_us)
{
  set_budget (self);
  free_excess (self, now_us);
  for (int kind = 0; kind < EG_LISTENERS; kind++)
    if (self->listening[kind] && self->accept_later[kind])
      handle_arrival (self, (enum eg_listener_kind) kind, now_us);
  self->running = 0;
  self->ticks++;
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *connection =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (connection->closing)
        check_closing (connection, now_us);
      else if (connection->call.active)
        {
          self->running++;
          check_delivery (connection, now_us);
          if (connection->call.active)
            eg_call_check (&connection->call, now_us);
          account (connection);
        }
      else if (connection->query_pending)
        {
          if (now_us >= connection->query.until_us)
            serve_query (connection, now_us);
        }
      else
        check_reading (connection, now_us);
    }
}

static void
close_listener (struct eg_connections *self, enum eg_listener_kind kind)
{
  if (self->listening[kind])
    uv_close ((uv_handle_t *) &self->listeners[kind], NULL);
  self->listening[kind] = false;
}

void
eg_connections_close_idle (struct eg_connections *self)
{
  close_listener (self, EG_LISTEN_CALLERS);
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_connection *connection =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      if (connection->idle && !connection->call.active
          && connection->kind == EG_LISTEN_CALLERS)
        finish_connection (connection);
    }
}

size_t
eg_connections_count_delivering (const struct eg_connections *self, size_t max)
{
  size_t count = 0;

  for (const struct eg_list *at = self->all.next;
       at != &self->all && count < max; at = at->next)
    count += is_delivering (EG_CONTAINER_OF (at, struct eg_connection, all));
  return count;
}

void
eg_connections_abort_requests (struct eg_connections *self)
{
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *connection =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (connection->call.active)
        eg_call_abort (&connection->call);
    }
}

void
eg_connections_finish (struct eg_connections *self)
{
  for (int kind = 0; kind < EG_LISTENERS; kind++)
    close_listener (self, (enum eg_listener_kind) kind);
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *connection =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (connection->call.active)
        eg_call_cancel (&connection->call);
      drop_connection (connection);
    }
}

void
eg_connections_report_received (struct eg_connections *self,
                                struct eg_backend *backend,
                                const struct eg_engine_report *report)
{
  int64_t now_us = eg_clock_now_us ();

  if (report->stalled_count == 0)
    return;
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *connection =
          EG_CONTAINER_OF (at, struct eg_connection, all);
      struct eg_call *call = &connection->call;

      at = at->next;
      if (!call->active || !call->attempt.active
          || call->attempt.placement.stages[0] != backend)
        continue;
      for (size_t i = 0; i < report->stalled_count; i++)
        if (eg_str_equal (call->headers.id,
                          eg_str_from (report->stalled[i].request_id)))
          {
            eg_call_stream_stalled (call, &report->stalled[i], now_us);
            break;
          }
    }
}

void
eg_connections_servers_changed (struct eg_connections *self, int64_t now_us)
{
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_connection *connection =
          EG_CONTAINER_OF (at, struct eg_connection, all);

      at = at->next;
      if (connection->call.active)
        eg_call_servers_changed (&connection->call, now_us);
    }
}
