#include "bus/worker.h"

#include <ck_pr.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/clock.h"
#include "base/list.h"
#include "base/log.h"
#include "base/ring.h"
#include "bus/codec.h"
#include "policy/membership.h"

#define RING_SLOTS 4096
#define KEY_BYTES 32
#define KEY_TEXT_LEN (EG_BUS_KEY_BYTES - 1)
#define ENDPOINT_BYTES (EG_ADDRESS_BYTES + 8)
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define MONITOR_ENDPOINT "inproc://eelgrass-bus-monitor"
/* Messages queued for a peer; older ones are of little use. */
#define QUEUE_MAX 64
#define LINGER_MS 300
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 1000
#define HANDSHAKE_MS 5000
/* A connection whose bytes are not confirmed for so long is made anew: behind a
   healed partition TCP alone would wait much longer. */
#define UNCONFIRMED_MS 3000
#define IDLE_US (60 * EG_US_PER_S)
#define POLL_MS 1000
#define CONNECTIONS_MAX 64
#define FRAME_MAX INT64_C (65536)
#define BACKLOG 256

/* A message on its way from the decision thread. */
struct outgoing
{
  char address[EG_ADDRESS_BYTES];
  size_t len;
  char bytes[];
};

/* A connection that this node has made. */
struct connection
{
  void *socket;
  char address[EG_ADDRESS_BYTES];
  int64_t used_us;
};

enum poll_index
{
  POLL_RING,
  POLL_LISTENER,
  POLL_ZAP,
  POLL_MONITOR,
  POLL_FIXED,
};

struct eg_bus_worker
{
  struct eg_bus_sink sink;
  struct eg_bus_counts counts; /* Changed and read by atomic operations. */
  struct eg_ring ring;
  pthread_t thread;
  bool started;
  unsigned stopping;
  char address[EG_ADDRESS_BYTES];
  char public_key[EG_BUS_KEY_BYTES];
  char secret_key[EG_BUS_KEY_BYTES];
  uint8_t raw_key[KEY_BYTES]; /* The public key, as clients present it. */

  /* The thread's own from here on. */
  void *context;
  void *listener;
  void *zap;
  void *monitor;
  struct connection connections[CONNECTIONS_MAX];
  size_t connection_count;
  size_t unsettled; /* Accepted, and neither admitted nor refused yet. */
};

/* Sockets. */

static bool
set_int (void *socket, int option, int value)
{
  return zmq_setsockopt (socket, option, &value, sizeof value) == 0;
}

static bool
set_text (void *socket, int option, const char *value)
{
  return zmq_setsockopt (socket, option, value, strlen (value)) == 0;
}

/* Options that both ends of a connection have. */
static bool
set_common (struct eg_bus_worker *self, void *socket)
{
  const int64_t frame_max = FRAME_MAX;

  return set_text (socket, ZMQ_CURVE_SECRETKEY, self->secret_key)
         && set_text (socket, ZMQ_CURVE_PUBLICKEY, self->public_key)
         && set_int (socket, ZMQ_LINGER, LINGER_MS)
         && set_int (socket, ZMQ_SNDHWM, QUEUE_MAX)
         && set_int (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS)
         && set_int (socket, ZMQ_TCP_MAXRT, UNCONFIRMED_MS)
         && zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &frame_max,
                            sizeof frame_max)
                == 0;
}

static bool
open_zap (struct eg_bus_worker *self)
{
  self->zap = zmq_socket (self->context, ZMQ_REP);
  return self->zap && set_int (self->zap, ZMQ_LINGER, 0)
         && zmq_bind (self->zap, ZAP_ENDPOINT) == 0;
}

static bool
open_listener (struct eg_bus_worker *self)
{
  char endpoint[ENDPOINT_BYTES];

  self->listener = zmq_socket (self->context, ZMQ_ROUTER);
  if (!self->listener || !set_common (self, self->listener)
      || !set_int (self->listener, ZMQ_CURVE_SERVER, 1)
      || !set_text (self->listener, ZMQ_ZAP_DOMAIN, "bus")
      || !set_int (self->listener, ZMQ_ROUTER_MANDATORY, 1)
      || !set_int (self->listener, ZMQ_ROUTER_HANDOVER, 1)
      || !set_int (self->listener, ZMQ_BACKLOG, BACKLOG)
      || zmq_socket_monitor (self->listener, MONITOR_ENDPOINT,
                             ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED
                                 | ZMQ_EVENT_HANDSHAKE_SUCCEEDED
                                 | ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL
                                 | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL
                                 | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH)
             != 0)
    return false;
  self->monitor = zmq_socket (self->context, ZMQ_PAIR);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", self->address);
  return self->monitor && set_int (self->monitor, ZMQ_LINGER, 0)
         && zmq_connect (self->monitor, MONITOR_ENDPOINT) == 0
         && zmq_bind (self->listener, endpoint) == 0;
}

static void
close_socket (void *socket)
{
  if (socket)
    zmq_close (socket);
}

static void
close_at (struct eg_bus_worker *self, size_t index)
{
  zmq_close (self->connections[index].socket);
  self->connections[index] = self->connections[--self->connection_count];
  ck_pr_store_64 (&self->counts.connections, self->connection_count);
}

static void
close_idle (struct eg_bus_worker *self, int64_t now_us)
{
  for (size_t i = self->connection_count; i-- > 0;)
    if (now_us - self->connections[i].used_us > IDLE_US)
      close_at (self, i);
}

static void
close_longest_idle (struct eg_bus_worker *self)
{
  size_t oldest = 0;

  for (size_t i = 1; i < self->connection_count; i++)
    if (self->connections[i].used_us < self->connections[oldest].used_us)
      oldest = i;
  close_at (self, oldest);
}

static struct connection *
find_connection (struct eg_bus_worker *self, const char *address)
{
  for (size_t i = 0; i < self->connection_count; i++)
    if (strcmp (self->connections[i].address, address) == 0)
      return &self->connections[i];
  return NULL;
}

static struct connection *
dial (struct eg_bus_worker *self, const char *address)
{
  void *socket = zmq_socket (self->context, ZMQ_DEALER);
  char endpoint[ENDPOINT_BYTES];
  struct connection *connection;

  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  if (!socket || !set_common (self, socket)
      || !set_text (socket, ZMQ_CURVE_SERVERKEY, self->public_key)
      || !set_text (socket, ZMQ_ROUTING_ID, self->address)
      || !set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS)
      || !set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
      || zmq_connect (socket, endpoint) != 0)
    {
      close_socket (socket);
      return NULL;
    }
  if (self->connection_count == CONNECTIONS_MAX)
    close_longest_idle (self);
  connection = &self->connections[self->connection_count++];
  *connection = (struct connection){.socket = socket};
  memcpy (connection->address, address, sizeof connection->address);
  ck_pr_store_64 (&self->counts.connections, self->connection_count);
  return connection;
}

/* Sending. */

/* Sends over a connection that the other side has made. */
static bool
send_back (struct eg_bus_worker *self, const struct outgoing *outgoing)
{
  return zmq_send (self->listener, outgoing->address,
                   strlen (outgoing->address), ZMQ_SNDMORE | ZMQ_DONTWAIT)
             >= 0
         && zmq_send (self->listener, outgoing->bytes, outgoing->len,
                      ZMQ_DONTWAIT)
                >= 0;
}

static bool
send_out (struct eg_bus_worker *self, const struct outgoing *outgoing)
{
  struct connection *connection = find_connection (self, outgoing->address);

  if (!connection && send_back (self, outgoing))
    return true;
  if (!connection)
    connection = dial (self, outgoing->address);
  if (!connection)
    return false;
  connection->used_us = eg_clock_now_us ();
  return zmq_send (connection->socket, outgoing->bytes, outgoing->len,
                   ZMQ_DONTWAIT)
         >= 0;
}

static void
send_waiting (struct eg_bus_worker *self)
{
  struct outgoing *outgoing;

  while ((outgoing = eg_ring_pop (&self->ring)))
    {
      if (send_out (self, outgoing))
        {
          ck_pr_inc_64 (&self->counts.sent);
          ck_pr_add_64 (&self->counts.sent_bytes, outgoing->len);
        }
      else
        ck_pr_inc_64 (&self->counts.dropped);
      free (outgoing);
    }
}

/* Receiving. */

/* Reads one part of a message; false if it is longer than @p capacity. */
static bool
receive_part (void *socket, char *data, size_t capacity, size_t *len)
{
  int size = zmq_recv (socket, data, capacity, ZMQ_DONTWAIT);

  *len = size < 0 ? 0 : (size_t) size;
  return size >= 0 && (size_t) size <= capacity;
}

static bool
has_more (void *socket)
{
  int more = 0;
  size_t size = sizeof more;

  zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size);
  return more != 0;
}

static void
skip_parts (void *socket)
{
  char byte;

  while (has_more (socket))
    zmq_recv (socket, &byte, sizeof byte, ZMQ_DONTWAIT);
}

/* Takes in a message that came from the node called @p sender. */
static void
take_message (struct eg_bus_worker *self,
              struct eg_str sender,
              struct eg_str bytes)
{
  struct eg_peer_message *message = malloc (sizeof *message);

  if (message && eg_bus_decode (bytes, message) == EG_OK
      && message->from == eg_member_id (sender))
    {
      ck_pr_inc_64 (&self->counts.received);
      ck_pr_add_64 (&self->counts.received_bytes, bytes.len);
      self->sink.push (self->sink.context, message);
      return;
    }
  ck_pr_inc_64 (&self->counts.malformed);
  free (message);
}

static bool
is_readable (void *socket)
{
  int events = 0;
  size_t size = sizeof events;

  return zmq_getsockopt (socket, ZMQ_EVENTS, &events, &size) == 0
         && (events & ZMQ_POLLIN);
}

static void
receive_from_listener (struct eg_bus_worker *self)
{
  while (is_readable (self->listener))
    {
      char sender[UINT8_MAX];
      char bytes[EG_BUS_MESSAGE_MAX];
      size_t sender_len;
      size_t len = 0;
      bool good =
          receive_part (self->listener, sender, sizeof sender, &sender_len)
          && has_more (self->listener)
          && receive_part (self->listener, bytes, sizeof bytes, &len)
          && !has_more (self->listener);

      skip_parts (self->listener);
      if (good)
        take_message (self, (struct eg_str){sender, sender_len},
                      (struct eg_str){bytes, len});
      else
        ck_pr_inc_64 (&self->counts.malformed);
    }
}

static void
receive_from_connection (struct eg_bus_worker *self,
                         const struct connection *connection)
{
  while (is_readable (connection->socket))
    {
      char bytes[EG_BUS_MESSAGE_MAX];
      size_t len;
      bool good = receive_part (connection->socket, bytes, sizeof bytes, &len)
                  && !has_more (connection->socket);

      skip_parts (connection->socket);
      if (good)
        take_message (self, eg_str_from (connection->address),
                      (struct eg_str){bytes, len});
      else
        ck_pr_inc_64 (&self->counts.malformed);
    }
}

/* Who gets in. */

/* Parts of a question by the ZeroMQ Authentication Protocol. */
enum zap_part
{
  ZAP_VERSION,
  ZAP_REQUEST,
  ZAP_DOMAIN,
  ZAP_ADDRESS,
  ZAP_IDENTITY,
  ZAP_MECHANISM,
  ZAP_KEY,
  ZAP_PARTS,
};

static void
answer_zap (struct eg_bus_worker *self, struct eg_str request, bool known)
{
  const char *status = known ? "200" : "400";

  zmq_send (self->zap, "1.0", strlen ("1.0"), ZMQ_SNDMORE);
  zmq_send (self->zap, request.data, request.len, ZMQ_SNDMORE);
  zmq_send (self->zap, status, strlen (status), ZMQ_SNDMORE);
  zmq_send (self->zap, "", 0, ZMQ_SNDMORE);
  zmq_send (self->zap, "", 0, ZMQ_SNDMORE);
  zmq_send (self->zap, "", 0, 0);
}

/* CURVE alone lets anyone in who knows the public key of the listener. */
static void
receive_zap (struct eg_bus_worker *self)
{
  while (is_readable (self->zap))
    {
      char parts[ZAP_PARTS][UINT8_MAX];
      size_t lens[ZAP_PARTS] = {0};
      size_t count = 0;

      do
        if (!receive_part (self->zap, parts[count], UINT8_MAX, &lens[count]))
          lens[count] = 0;
      while (++count < ZAP_PARTS && has_more (self->zap));
      skip_parts (self->zap);
      answer_zap (self, (struct eg_str){parts[ZAP_REQUEST], lens[ZAP_REQUEST]},
                  count == ZAP_PARTS && lens[ZAP_KEY] == KEY_BYTES
                      && memcmp (parts[ZAP_KEY], self->raw_key, KEY_BYTES)
                             == 0);
    }
}

/* Not every refusal has an event of its own: where the bytes are not those of
   ZeroMQ, only the end of the connection is told. Ends that no accepted
   connection without an admission accounts for are those of peers. */
static void
take_event (struct eg_bus_worker *self, unsigned event)
{
  if (event == ZMQ_EVENT_ACCEPTED)
    self->unsettled++;
  else if (self->unsettled == 0)
    return;
  else
    {
      self->unsettled--;
      if (event != ZMQ_EVENT_HANDSHAKE_SUCCEEDED)
        ck_pr_inc_64 (&self->counts.rejected);
    }
}

static void
receive_monitor (struct eg_bus_worker *self)
{
  while (is_readable (self->monitor))
    {
      char frame[UINT8_MAX];
      uint16_t event = 0;
      size_t len;

      if (receive_part (self->monitor, frame, sizeof frame, &len)
          && len >= sizeof event)
        memcpy (&event, frame, sizeof event);
      skip_parts (self->monitor);
      take_event (self, event);
    }
}

/* The thread. */

static void
wait_for_work (struct eg_bus_worker *self)
{
  zmq_pollitem_t items[POLL_FIXED + CONNECTIONS_MAX] = {
      [POLL_RING] = {.fd = self->ring.event_fd, .events = ZMQ_POLLIN},
      [POLL_LISTENER] = {.socket = self->listener, .events = ZMQ_POLLIN},
      [POLL_ZAP] = {.socket = self->zap, .events = ZMQ_POLLIN},
      [POLL_MONITOR] = {.socket = self->monitor, .events = ZMQ_POLLIN},
  };

  for (size_t i = 0; i < self->connection_count; i++)
    items[POLL_FIXED + i] = (zmq_pollitem_t){
        .socket = self->connections[i].socket, .events = ZMQ_POLLIN};
  if (eg_ring_prepare_wait (&self->ring))
    zmq_poll (items, (int) (POLL_FIXED + self->connection_count), POLL_MS);
  eg_ring_end_wait (&self->ring);
}

static void *
run (void *context)
{
  struct eg_bus_worker *self = context;

  while (!ck_pr_load_uint (&self->stopping))
    {
      wait_for_work (self);
      receive_zap (self);
      receive_monitor (self);
      receive_from_listener (self);
      for (size_t i = 0; i < self->connection_count; i++)
        receive_from_connection (self, &self->connections[i]);
      send_waiting (self);
      close_idle (self, eg_clock_now_us ());
    }
  send_waiting (self);
  return NULL;
}

/* Calls from other threads. */

void
eg_bus_worker_send (struct eg_bus_worker *self,
                    const char *address,
                    const struct eg_peer_message *message)
{
  struct eg_buffer bytes = {0};
  struct outgoing *outgoing = NULL;

  eg_bus_encode (message, &bytes);
  if (bytes.len <= EG_BUS_MESSAGE_MAX)
    outgoing = malloc (sizeof *outgoing + bytes.len);
  if (outgoing)
    {
      eg_str_copy (eg_str_from (address), outgoing->address,
                   sizeof outgoing->address);
      outgoing->len = bytes.len;
      memcpy (outgoing->bytes, bytes.data, bytes.len);
    }
  if (!outgoing || !eg_ring_push (&self->ring, outgoing))
    {
      ck_pr_inc_64 (&self->counts.dropped);
      free (outgoing);
    }
  eg_buffer_finish (&bytes);
}

struct eg_bus_counts
eg_bus_worker_counts (const struct eg_bus_worker *self)
{
  return (struct eg_bus_counts){
      .sent = ck_pr_load_64 (&self->counts.sent),
      .sent_bytes = ck_pr_load_64 (&self->counts.sent_bytes),
      .received = ck_pr_load_64 (&self->counts.received),
      .received_bytes = ck_pr_load_64 (&self->counts.received_bytes),
      .malformed = ck_pr_load_64 (&self->counts.malformed),
      .rejected = ck_pr_load_64 (&self->counts.rejected),
      .dropped = ck_pr_load_64 (&self->counts.dropped),
      .connections = ck_pr_load_64 (&self->counts.connections),
  };
}

/* Construction. */

enum eg_status
eg_bus_check_keys (const char *public_key,
                   const char *secret_key,
                   struct eg_error *error)
{
  char derived[EG_BUS_KEY_BYTES] = "";

  if (strlen (public_key) != KEY_TEXT_LEN
      || strlen (secret_key) != KEY_TEXT_LEN)
    return eg_error_set (error, EG_INVALID, "bus keys must be %d characters",
                         KEY_TEXT_LEN);
  if (zmq_curve_public (derived, secret_key) != 0)
    return eg_error_set (error, EG_INVALID,
                         "the secret key of the bus is not Z85 text");
  if (strcmp (derived, public_key) != 0)
    return eg_error_set (error, EG_INVALID,
                         "the public and secret key of the bus are no pair");
  return EG_OK;
}

static bool
start (struct eg_bus_worker *self)
{
  self->context = zmq_ctx_new ();
  return self->context && eg_ring_init (&self->ring, RING_SLOTS)
         && open_zap (self) && open_listener (self)
         && pthread_create (&self->thread, NULL, run, self) == 0;
}

struct eg_bus_worker *
eg_bus_worker_new (const struct eg_bus_config *config,
                   const struct eg_bus_sink *sink,
                   struct eg_error *error)
{
  struct eg_bus_worker *self;

  if (eg_bus_check_keys (config->public_key, config->secret_key, error)
      != EG_OK)
    return NULL;
  self = calloc (1, sizeof *self);
  EG_INVARIANT (self != NULL);
  self->sink = *sink;
  self->ring.event_fd = -1;
  eg_str_copy (eg_str_from (config->address), self->address,
               sizeof self->address);
  memcpy (self->public_key, config->public_key, EG_BUS_KEY_BYTES);
  memcpy (self->secret_key, config->secret_key, EG_BUS_KEY_BYTES);
  zmq_z85_decode (self->raw_key, self->public_key);
  self->started = start (self);
  if (self->started)
    return self;
  eg_error_set (error, EG_SYSTEM, "the bus could not listen on %s: %s",
                self->address, zmq_strerror (zmq_errno ()));
  eg_bus_worker_free (self);
  return NULL;
}

void
eg_bus_worker_free (struct eg_bus_worker *self)
{
  struct outgoing *outgoing;

  if (!self)
    return;
  ck_pr_store_uint (&self->stopping, 1);
  if (self->started)
    {
      eg_ring_wake (&self->ring);
      pthread_join (self->thread, NULL);
    }
  while (self->connection_count > 0)
    close_at (self, self->connection_count - 1);
  close_socket (self->monitor);
  close_socket (self->listener);
  close_socket (self->zap);
  if (self->context)
    zmq_ctx_term (self->context);
  while (self->ring.slots && (outgoing = eg_ring_pop (&self->ring)))
    free (outgoing);
  eg_ring_finish (&self->ring);
  free (self);
}
