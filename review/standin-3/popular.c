/**
 * @file
 * A part of prompts crashes each server that begins to write an answer on it.
 * Tenants send batches. Those of one hold some requests that are alike, a share
 * of 0.27 of all, and later also some with that part, no two alike; those of
 * the others hold requests of which no two are alike. Exits with 1 if, from
 * twice the stable window after the fifth crash on, the sound requests with the
 * key of the deadly ones begin at the first attempt less than half as often as
 * before.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "rig.h"

#define NODES 3
#define SERVERS 3
#define EVENTS 30
#define EVENT_US (50 * RIG_US_PER_MS)
/* From the request to the first event, and from there to the crash. */
#define PREFILL_US (400 * RIG_US_PER_MS)
#define CRASH_US (60 * RIG_US_PER_MS)
#define BACK_US (3 * RIG_US_PER_S)
#define STABLE_US (3 * RIG_US_PER_S)
#define CRASHES 5
/* Batches of the tenant, of which those from a certain one on have deadly
 * requests, too. */
#define BATCHES 11
#define FIRST_DEADLY_BATCH 4
#define BATCH_INTERVAL_US (8 * RIG_US_PER_S)
#define SOUND_OF_BATCH 6
#define OTHERS_OF_BATCH 16
#define OTHERS_MAX (BATCHES * OTHERS_OF_BATCH)
#define DEADLY_OF_BATCH 8
#define REQUEST_GAP_US (60 * RIG_US_PER_MS)
#define DEADLY_COUNT (BATCHES * DEADLY_OF_BATCH)
#define SOUND_MAX (BATCHES * SOUND_OF_BATCH)
#define REQUESTS_MIN 20
#define TIMEOUT_US (8 * RIG_US_PER_S)

/** A server that may crash and come back under its id. */
struct server
{
  struct rig_backend backend;
  pthread_mutex_t lock;
  int64_t back_us; /**< When it starts again; 0: it runs. */
  unsigned crashes;
};

/** A client's stream. */
struct stream
{
  unsigned number;
  unsigned node;
  int64_t sent_us;
  unsigned status;
  unsigned events;
  unsigned reached; /**< Servers that have begun to run it. */
  char letter;      /**< Its kind: s sound, d deadly, o of another tenant. */
  bool deadly;
  bool complete;
  bool ended;
};

static struct rig_store store;
static struct rig_node nodes[NODES];
static struct server servers[SERVERS];
static struct stream deadly[DEADLY_COUNT];
static struct stream sound[SOUND_MAX];
static struct stream others[OTHERS_MAX]; /**< Of the other tenants. */
static unsigned sound_count;
static unsigned others_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned crash_count;
/** When the part had crashed the fifth server; the last one, if there are
 * fewer.
 */
static int64_t decisive_us;

static struct stream *
find_stream (const char *id)
{
  unsigned number;

  if (sscanf (id, "d%u", &number) == 1 && number < DEADLY_COUNT)
    return &deadly[number];
  if (sscanf (id, "s%u", &number) == 1 && number < SOUND_MAX)
    return &sound[number];
  if (sscanf (id, "o%u", &number) == 1 && number < OTHERS_MAX)
    return &others[number];
  return NULL;
}

/* Ends a server with all its connections; it does not write its entry until it
 * is back. */
static void
crash (struct server *self, const char *id)
{
  pthread_mutex_lock (&self->lock);
  if (self->back_us == 0)
    {
      self->back_us = rig_now_us () + BACK_US;
      self->crashes++;
      self->backend.state = NULL;
      rig_server_stop (&self->backend.server);
      pthread_mutex_lock (&lock);
      crash_count++;
      if (crash_count <= CRASHES)
        decisive_us = rig_now_us ();
      rig_note ("%s crashes under %s: crash %u", self->backend.id, id,
                crash_count);
      pthread_mutex_unlock (&lock);
    }
  pthread_mutex_unlock (&self->lock);
}

static void
note_arrival (struct stream *stream, const char *server, const char *id)
{
  pthread_mutex_lock (&lock);
  stream->reached++;
  if (stream->deadly)
    rig_note ("%s reaches %s", id, server);
  pthread_mutex_unlock (&lock);
}

static bool
handle (void *context, const struct rig_message *request, int socket)
{
  struct server *self = context;
  char id[64] = "";
  char last[32] = "0";
  char text[512];
  char piece[128];
  struct stream *stream;
  int64_t begun_us = 0;
  int len;

  rig_field (request, "X-Attempt-Id", id, sizeof id);
  rig_field (request, "Last-Event-Id", last, sizeof last);
  stream = find_stream (id);
  if (!stream)
    return rig_respond (socket, 200, "", "");
  note_arrival (stream, self->backend.id, id);
  rig_sleep_us (PREFILL_US);
  len = snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n"
                  "X-Server-Seal: review\r\nTransfer-Encoding: chunked\r\n"
                  "Content-Type: text/event-stream\r\n\r\n",
                  id, self->backend.id);
  if (!rig_send (socket, text, (size_t) len))
    return false;
  for (int i = atoi (last) + 1; i <= EVENTS; i++)
    {
      len = snprintf (piece, sizeof piece, "id: %d\ndata: token %d\n\n", i, i);
      len = snprintf (text, sizeof text, "%x\r\n%s\r\n", (unsigned) len, piece);
      if (!rig_send (socket, text, (size_t) len))
        return false;
      if (begun_us == 0)
        begun_us = rig_now_us ();
      rig_sleep_us (stream->deadly ? CRASH_US : EVENT_US);
      if (stream->deadly && rig_has_trouble ()
          && rig_now_us () - begun_us >= CRASH_US)
        {
          crash (self, id);
          return false;
        }
    }
  return rig_send (socket, "0\r\n\r\n", 5);
}

/* Starts the servers again whose time has come, as another start under the same
 * id and address. */
static void *
run_restarts (void *context)
{
  (void) context;
  for (;;)
    {
      for (unsigned i = 0; i < SERVERS; i++)
        {
          struct server *self = &servers[i];
          struct rig_backend *backend = &self->backend;

          pthread_mutex_lock (&self->lock);
          if (self->back_us > 0 && rig_now_us () >= self->back_us)
            {
              rig_server_start (&backend->server, backend->server.ip,
                                backend->server.port, handle, self);
              self->back_us = 0;
              backend->born_ms += BACK_US / RIG_US_PER_MS;
              backend->state = "ready";
              rig_backend_beat (backend);
              rig_note ("%s is back", backend->id);
            }
          pthread_mutex_unlock (&self->lock);
        }
      rig_sleep_us (20 * RIG_US_PER_MS);
    }
  return NULL;
}

static void
start_all (void)
{
  static const char *const zones[] = {"room-a", "room-b", "room-c"};
  struct rig_backend *all[SERVERS];
  json_t *configuration;
  json_t *routes = json_array ();
  json_t *route = rig_route ("/digest/", "streaming", "draft");
  char name[32];
  char ip[32];

  rig_store_start (&store);
  json_object_set_new (route, "resumable", json_false ());
  json_array_append_new (routes, route);
  configuration = rig_configuration (
      7, routes,
      json_pack ("[{s:s, s:s, s:i}]", "name", "draft", "healthPath", "/healthz",
                 "maxConnections", 400));
  json_array_append_new (json_object_get (configuration, "tenants"),
                         json_pack ("{s:s, s:[s], s:i}", "name", "archive",
                                    "apiKeys", "k2", "priority", 1));
  rig_store_put (&store, "config", "main", configuration);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      snprintf (name, sizeof name, "i-draft-%u", i + 1);
      snprintf (ip, sizeof ip, "127.0.2.%u", i + 1);
      pthread_mutex_init (&servers[i].lock, NULL);
      rig_backend_start (&servers[i].backend, &store, name, "draft",
                         zones[i % 3], ip, handle, &servers[i]);
      all[i] = &servers[i].backend;
    }
  rig_beats_start (all, SERVERS);
  for (unsigned i = 0; i < NODES; i++)
    {
      snprintf (name, sizeof name, "edge-%u", i + 1);
      snprintf (ip, sizeof ip, "127.0.1.%u", i + 1);
      rig_node_init (&nodes[i], name, zones[i], ip, &store);
      rig_node_start (&nodes[i]);
    }
}

static unsigned
count_events (const struct rig_message *response)
{
  const char *at = response->body;
  unsigned count = 0;

  while (at && (at = strstr (at, "id: ")))
    {
      count++;
      at += 4;
    }
  return count;
}

/* The sound requests are alike; of the others no two are. */
static void *
run_stream (void *context)
{
  struct stream *self = context;
  const struct rig_node *node = &nodes[self->node];
  struct rig_message response;
  char path[64] = "/digest/today";
  char parts[64] = "aa:40,bb:100,cc:50";
  char head[512];

  if (self->deadly)
    {
      snprintf (path, sizeof path, "/digest/%u", self->number);
      snprintf (parts, sizeof parts, "aa:40,dead:100,%x:50",
                0x1000 + self->number);
    }
  else if (self->letter == 'o')
    {
      snprintf (path, sizeof path, "/digest/other-%u", self->number);
      snprintf (parts, sizeof parts, "ff:40,bb:100,%x:50",
                0x5000 + self->number);
    }
  snprintf (head, sizeof head,
            "POST %s HTTP/1.1\r\nHost: review.example\r\n"
            "X-Attempt-Id: %c%u\r\nX-Deadline-Ms: 8000\r\nApi-Key: %s\r\n"
            "X-Prefix-Hash: %s\r\nX-Token-Usage: 190,60\r\n"
            "Content-Length: 5\r\nConnection: close\r\n\r\n",
            path, self->letter, self->number, self->letter == 'o' ? "k2" : "k1",
            parts);
  self->sent_us = rig_now_us ();
  if (rig_call (node->ip, node->callers_port, head, "draft", TIMEOUT_US,
                &response))
    {
      self->status = response.status;
      self->complete = response.complete;
      self->events = count_events (&response);
    }
  rig_message_finish (&response);
  self->ended = true;
  return NULL;
}

static void
start_stream (struct stream *stream, unsigned number, char letter)
{
  pthread_t thread;

  stream->number = number;
  stream->node = number % NODES;
  stream->letter = letter;
  stream->deadly = letter == 'd';
  if (pthread_create (&thread, NULL, run_stream, stream) != 0)
    rig_end (RIG_NOT_RUN);
  pthread_detach (thread);
}

static void
send_batch (unsigned batch)
{
  unsigned poisoned = 0;

  for (unsigned i = 0; i < SOUND_OF_BATCH; i++)
    {
      start_stream (&sound[sound_count], sound_count, 's');
      sound_count++;
      rig_sleep_us (REQUEST_GAP_US / 6);
    }
  for (unsigned i = 0; i < OTHERS_OF_BATCH; i++)
    {
      start_stream (&others[others_count], others_count, 'o');
      others_count++;
    }
  while (batch >= FIRST_DEADLY_BATCH && poisoned < DEADLY_OF_BATCH)
    {
      unsigned number =
          (batch - FIRST_DEADLY_BATCH) * DEADLY_OF_BATCH + poisoned++;

      start_stream (&deadly[number], number, 'd');
      rig_sleep_us (REQUEST_GAP_US);
    }
}

/** Requests of a span of time. */
struct share
{
  unsigned sent;
  unsigned begun;
};

static struct share
count_begun (const struct stream *streams,
             unsigned count,
             int64_t from_us,
             int64_t to_us)
{
  struct share share = {0, 0};

  for (unsigned i = 0; i < count; i++)
    {
      if (streams[i].sent_us < from_us || streams[i].sent_us >= to_us)
        continue;
      share.sent++;
      share.begun += streams[i].reached > 0;
    }
  return share;
}

static void
note_streams (void)
{
  for (unsigned i = 0; i < sound_count; i++)
    rig_note ("sound s%u daemon=%s sent=%.3f status=%u servers=%u events=%u "
              "complete=%d",
              i, nodes[sound[i].node].name,
              (double) sound[i].sent_us / RIG_US_PER_S, sound[i].status,
              sound[i].reached, sound[i].events, sound[i].complete);
  for (unsigned i = 0; i < DEADLY_COUNT; i++)
    if (deadly[i].sent_us > 0)
      rig_note ("with the part d%u daemon=%s sent=%.3f status=%u servers=%u", i,
                nodes[deadly[i].node].name,
                (double) deadly[i].sent_us / RIG_US_PER_S, deadly[i].status,
                deadly[i].reached);
}

int
main (int argc, char **argv)
{
  struct share before;
  struct share after;
  struct share other;
  pthread_t thread;
  int64_t begin_us;
  int64_t first_us;
  int64_t from_us;

  rig_begin (argc, argv);
  start_all ();
  if (!rig_nodes_wait (nodes, NODES, 10 * RIG_US_PER_S)
      || pthread_create (&thread, NULL, run_restarts, NULL) != 0)
    rig_end (RIG_NOT_RUN);
  begin_us = rig_now_us () + RIG_US_PER_S;
  for (unsigned i = 0; i < BATCHES; i++)
    {
      rig_sleep_until (begin_us + i * BATCH_INTERVAL_US);
      send_batch (i);
    }
  rig_sleep_us (TIMEOUT_US);
  note_streams ();
  first_us = deadly[0].sent_us;
  from_us = decisive_us > 0 ? decisive_us + 2 * STABLE_US : first_us;
  before = count_begun (sound, sound_count, 0, first_us);
  after = count_begun (sound, sound_count, from_us, INT64_MAX);
  other = count_begun (others, others_count, from_us, INT64_MAX);
  rig_note ("%u crashes, the fifth, or the last of fewer, at %.3f", crash_count,
            (double) decisive_us / RIG_US_PER_S);
  rig_note ("sound requests begun at the first attempt: %u of %u before, %u of "
            "%u from twice the stable window after that crash on",
            before.begun, before.sent, after.begun, after.sent);
  rig_note ("of the other tenants then: %u of %u", other.begun, other.sent);
  if (before.sent < REQUESTS_MIN || after.sent < REQUESTS_MIN)
    rig_end (RIG_NOT_RUN);
  rig_end (2.0 * after.begun / after.sent < (double) before.begun / before.sent
               ? RIG_BROKEN
               : RIG_HELD);
}
