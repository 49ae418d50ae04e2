/**
 * @file
 * A server sends event streams that have neither a length nor chunks and end
 * with their connection. Its process is killed. Exits with 1 if a client gets a
 * stream that ends as complete before its last event.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

#define NODES 3
#define SERVERS 3
#define EVENTS 40
#define EVENT_US (50 * RIG_US_PER_MS)
#define STREAMS 24
#define STREAM_TIMEOUT_US (10 * RIG_US_PER_S)
/* Times after all daemons are ready. */
#define KILL_US (2 * RIG_US_PER_S)
#define START_US (1 * RIG_US_PER_S)
#define END_US (14 * RIG_US_PER_S)

/** A client's stream. */
struct stream
{
  const struct rig_node *node;
  unsigned number;
  unsigned status;
  unsigned events; /**< In order, from the first one. */
  char server[32];
  bool complete;
};

static struct rig_store store;
static struct rig_node nodes[NODES];
static struct rig_backend backends[SERVERS];
static pid_t processes[SERVERS];
static struct stream streams[STREAMS];

/* Sends the events after the one that the request names. */
static bool
handle (void *context, const struct rig_message *request, int socket)
{
  const char *id = context;
  char attempt[64] = "";
  char last[32] = "0";
  char text[512];
  int len;

  rig_field (request, "X-Attempt-Id", attempt, sizeof attempt);
  rig_field (request, "Last-Event-Id", last, sizeof last);
  len = snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n"
                  "X-Server-Seal: review\r\nConnection: close\r\n"
                  "Content-Type: text/event-stream\r\n\r\n",
                  attempt, id);
  if (!rig_send (socket, text, (size_t) len))
    return false;
  for (int i = atoi (last) + 1; i <= EVENTS; i++)
    {
      len = snprintf (text, sizeof text, "id: %d\ndata: token %d\n\n", i, i);
      if (!rig_send (socket, text, (size_t) len))
        return false;
      rig_sleep_us (EVENT_US);
    }
  return false;
}

/* Starts a server as a process of its own. */
static void
start_server (unsigned number, const char *ip)
{
  static char ids[SERVERS][32];
  uint16_t port = rig_free_port (ip);

  snprintf (ids[number], sizeof ids[number], "i-draft-%u", number + 1);
  processes[number] = fork ();
  if (processes[number] < 0)
    rig_end (RIG_NOT_RUN);
  if (processes[number] == 0)
    {
      static struct rig_server server;

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      rig_server_start (&server, ip, port, handle, ids[number]);
      for (;;)
        pause ();
    }
  rig_adopt (processes[number]);
  rig_note ("server %s pid=%d at %s:%u", ids[number], (int) processes[number],
            ip, port);
  rig_backend_register (&backends[number], &store, ids[number], "draft",
                        "room-a", ip, port);
}

static void
start_all (void)
{
  struct rig_backend *all[SERVERS];
  json_t *routes = json_array ();
  char text[32];

  rig_store_start (&store);
  json_array_append_new (routes, rig_route ("/draft/", "streaming", "draft"));
  rig_store_put (
      &store, "config", "main",
      rig_configuration (7, routes,
                         json_pack ("[{s:s, s:s, s:i}]", "name", "draft",
                                    "healthPath", "/healthz", "maxConnections",
                                    400)));
  for (unsigned i = 0; i < SERVERS; i++)
    {
      snprintf (text, sizeof text, "127.0.2.%u", i + 1);
      start_server (i, text);
      all[i] = &backends[i];
    }
  rig_beats_start (all, SERVERS);
  for (unsigned i = 0; i < NODES; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "edge-%u", i + 1);
      snprintf (text, sizeof text, "127.0.1.%u", i + 1);
      rig_node_init (&nodes[i], name, "room-a", text, &store);
      rig_node_start (&nodes[i]);
    }
}

/* Counts the events of a body that follow each other from the first one. */
static unsigned
count_events (const struct rig_message *response)
{
  const char *at = response->body;
  unsigned count = 0;
  unsigned id;

  while (at && (at = strstr (at, "id: ")) && sscanf (at, "id: %u", &id) == 1
         && id == count + 1)
    {
      count++;
      at += 4;
    }
  return count;
}

static void *
run_stream (void *context)
{
  struct stream *self = context;
  struct rig_message response;
  char head[512];

  snprintf (head, sizeof head,
            "POST /draft/%u HTTP/1.1\r\nHost: review.example\r\n"
            "X-Attempt-Id: s%u\r\nX-Deadline-Ms: 10000\r\nApi-Key: k1\r\n"
            "Content-Length: 5\r\nConnection: close\r\n\r\n",
            self->number, self->number);
  if (rig_call (self->node->ip, self->node->callers_port, head, "draft",
                STREAM_TIMEOUT_US, &response))
    {
      self->status = response.status;
      self->complete = response.complete;
      self->events = count_events (&response);
      rig_field (&response, "X-Instance-Id", self->server, sizeof self->server);
    }
  rig_message_finish (&response);
  return NULL;
}

static void
start_streams (void)
{
  for (unsigned i = 0; i < STREAMS; i++)
    {
      pthread_t thread;

      streams[i].number = i;
      streams[i].node = &nodes[i % NODES];
      if (pthread_create (&thread, NULL, run_stream, &streams[i]) != 0)
        rig_end (RIG_NOT_RUN);
      pthread_detach (thread);
      rig_sleep_us (10 * RIG_US_PER_MS);
    }
}

static unsigned
count_short (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < STREAMS; i++)
    {
      const struct stream *stream = &streams[i];
      bool is_short =
          stream->status == 200 && stream->complete && stream->events < EVENTS;

      rig_note ("stream s%u daemon=%s first server=%s status=%u complete=%d "
                "events=%u of %d%s",
                i, stream->node->name, stream->server, stream->status,
                stream->complete, stream->events, EVENTS,
                is_short ? ": ends as complete before its last event" : "");
      count += is_short;
    }
  return count;
}

int
main (int argc, char **argv)
{
  unsigned shortened;
  int64_t begin_us;

  rig_begin (argc, argv);
  start_all ();
  if (!rig_nodes_wait (nodes, NODES, 10 * RIG_US_PER_S))
    rig_end (RIG_NOT_RUN);
  begin_us = rig_now_us ();
  rig_sleep_until (begin_us + START_US);
  start_streams ();
  rig_sleep_until (begin_us + KILL_US);
  if (rig_has_trouble ())
    {
      rig_note ("the process of i-draft-1 is killed");
      backends[0].state = NULL;
      kill (processes[0], SIGKILL);
    }
  rig_sleep_until (begin_us + END_US);
  shortened = count_short ();
  rig_note ("%u of %d streams end as complete too early", shortened, STREAMS);
  rig_end (shortened > 0 ? RIG_BROKEN : RIG_HELD);
}
