/**
 * @file
 * A request crashes each server that runs it, some time after the server has
 * begun to write the answer, and comes again at any daemon. Exits with 1 if it
 * reaches servers in more than three retries that were sent later than the
 * stable window after it had crashed the third.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "rig.h"

#define NODES 3
#define SERVERS 6
#define EVENTS 60
#define EVENT_US (50 * RIG_US_PER_MS)
/* From the first event on. */
#define CRASH_US (800 * RIG_US_PER_MS)
#define BACK_US (3 * RIG_US_PER_S)
#define STABLE_US (3 * RIG_US_PER_S)
#define CRASHES 3
#define RETRIES_ALLOWED 3
#define DEADLY_INTERVAL_US (2 * RIG_US_PER_S)
#define DEADLY_COUNT 14
#define SOUND_INTERVAL_US (150 * RIG_US_PER_MS)
#define SOUND_MAX 400
#define TIMEOUT_US (12 * RIG_US_PER_S)

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
  bool deadly;
  bool complete;
  bool ended;
};

static struct rig_store store;
static struct rig_node nodes[NODES];
static struct server servers[SERVERS];
static struct stream deadly[DEADLY_COUNT];
static struct stream sound[SOUND_MAX];
static unsigned sound_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned crash_count;
static int64_t third_us; /**< When it had crashed the third server. */

static struct stream *
find_stream (const char *id)
{
  unsigned number;

  if (sscanf (id, "d%u", &number) == 1 && number < DEADLY_COUNT)
    return &deadly[number];
  if (sscanf (id, "s%u", &number) == 1 && number < SOUND_MAX)
    return &sound[number];
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
      if (crash_count == CRASHES)
        third_us = rig_now_us ();
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
      rig_sleep_us (EVENT_US);
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
  json_t *routes = json_array ();
  json_t *once = rig_route ("/once/", "streaming", "draft");
  char name[32];
  char ip[32];

  rig_store_start (&store);
  json_object_set_new (once, "resumable", json_false ());
  json_array_append_new (routes, rig_route ("/draft/", "streaming", "draft"));
  json_array_append_new (routes, once);
  rig_store_put (
      &store, "config", "main",
      rig_configuration (7, routes,
                         json_pack ("[{s:s, s:s, s:i}]", "name", "draft",
                                    "healthPath", "/healthz", "maxConnections",
                                    400)));
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

/* The deadly request has the same path, body and caller each time. */
static void *
run_stream (void *context)
{
  struct stream *self = context;
  const struct rig_node *node = &nodes[self->node];
  struct rig_message response;
  char path[64] = "/draft/poison";
  char head[512];

  if (!self->deadly)
    snprintf (path, sizeof path, "/once/%u", self->number);
  snprintf (head, sizeof head,
            "POST %s HTTP/1.1\r\nHost: review.example\r\n"
            "X-Attempt-Id: %c%u\r\nX-Deadline-Ms: 10000\r\nApi-Key: k1\r\n"
            "Content-Length: 5\r\nConnection: close\r\n\r\n",
            path, self->deadly ? 'd' : 's', self->number);
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
start_stream (struct stream *stream, unsigned number, bool is_deadly)
{
  pthread_t thread;

  stream->number = number;
  stream->node = number % NODES;
  stream->deadly = is_deadly;
  if (pthread_create (&thread, NULL, run_stream, stream) != 0)
    rig_end (RIG_NOT_RUN);
  pthread_detach (thread);
}

static void *
run_sound (void *context)
{
  (void) context;
  while (sound_count < SOUND_MAX)
    {
      start_stream (&sound[sound_count], sound_count, false);
      sound_count++;
      rig_sleep_us (SOUND_INTERVAL_US);
    }
  return NULL;
}

static unsigned
count_late (void)
{
  unsigned late = 0;

  for (unsigned i = 0; i < DEADLY_COUNT; i++)
    {
      bool is_late = third_us > 0 && deadly[i].reached > 0
                     && deadly[i].sent_us > third_us + STABLE_US;

      rig_note ("deadly d%u daemon=%s sent=%.3f status=%u servers=%u%s", i,
                nodes[deadly[i].node].name,
                (double) deadly[i].sent_us / RIG_US_PER_S, deadly[i].status,
                deadly[i].reached, is_late ? ": late" : "");
      late += is_late;
    }
  return late;
}

static void
note_sound (void)
{
  unsigned cut = 0;
  unsigned whole = 0;

  for (unsigned i = 0; i < sound_count; i++)
    {
      whole += sound[i].ended && sound[i].status == 200 && sound[i].complete;
      cut += sound[i].ended && sound[i].status == 200 && !sound[i].complete;
    }
  rig_note ("%u sound streams that must not run twice: %u whole, %u cut",
            sound_count, whole, cut);
}

int
main (int argc, char **argv)
{
  pthread_t thread;
  unsigned late;

  rig_begin (argc, argv);
  start_all ();
  if (!rig_nodes_wait (nodes, NODES, 10 * RIG_US_PER_S)
      || pthread_create (&thread, NULL, run_restarts, NULL) != 0
      || pthread_create (&thread, NULL, run_sound, NULL) != 0)
    rig_end (RIG_NOT_RUN);
  rig_sleep_us (RIG_US_PER_S);
  for (unsigned i = 0; i < DEADLY_COUNT; i++)
    {
      start_stream (&deadly[i], i, true);
      rig_sleep_us (DEADLY_INTERVAL_US);
    }
  rig_sleep_us (TIMEOUT_US);
  late = count_late ();
  note_sound ();
  rig_note ("third crash at %.3f; %u crashes; %u late retries reach servers, "
            "%d are allowed",
            (double) third_us / RIG_US_PER_S, crash_count, late,
            RETRIES_ALLOWED);
  rig_end (late > RETRIES_ALLOWED ? RIG_BROKEN : RIG_HELD);
}
