/* Plays a small deployment on loopback: three entry VMs, fourteen servers of
 * event streams in three failure domains, the platform's store, and clients
 * that read streams. The servers' answers have neither a length nor chunks and
 * end with their connection. Two of the servers crash, one shortly after the
 * other, the second one before the streams that it resumes have begun again.
 * See review/7/claim.txt. */
#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/status.h"
#include "test/soak/http_server.h"
#include "test/soak/ports.h"
#include "test/soak/store.h"

#define NODES 3
#define SERVERS 14
#define CLIENTS 42
/* Time for which a server reads a prompt before its first event, and between
 * events. */
#define PREFILL_MS 250
#define EVENT_MS 30
#define EVENTS_MIN 40
#define EVENTS_MAX 100
/* Events, in seconds since the start. */
#define TRAFFIC_S 5.0
#define FIRST_CRASH_S 8.0
#define CRASH_INTERVAL_S 6.0
#define CRASHES 3
#define SECOND_CRASH_S 0.15
#define DOWN_S 4.0
#define END_S 28.0

#define CONFIGURATION                                                          \
  "{\"version\":3,\"routes\":["                                                \
  "{\"name\":\"draft\",\"host\":\"h.example\",\"pathPrefix\":\"/draft/\","     \
  "\"kind\":\"streaming\",\"timeoutMs\":20000,\"goalLatencyMs\":500,"          \
  "\"service\":\"writer\",\"maxAttempts\":4,\"public\":true,"                  \
  "\"resumable\":true,\"gapGoalMs\":200}],"                                    \
  "\"services\":[{\"name\":\"writer\",\"healthPath\":\"/healthz\","            \
  "\"maxConnections\":1000}],"                                                 \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"             \
  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"

/** A process of the system. */
struct node
{
  uv_process_t process;
  unsigned number;
  uint16_t callers;
  uint16_t ready;
  uint16_t peers;
  char settings[300];
  bool running;
};

/** A server of streams. */
struct server
{
  struct soak_http_server http;
  char id[16];
  unsigned number;
  unsigned starts;
  bool running;
  int64_t restart_us;
};

/** A run; state of its connection at the server. */
struct run
{
  char id[32];
  int64_t first; /**< The event it begins with. */
  int64_t next;
  int64_t last;
};

/** A client; it reads one stream after the other. */
struct client
{
  struct eg_socket socket;
  struct eg_http_reader reader;
  struct eg_buffer text; /**< Of events that are not complete yet. */
  unsigned number;
  unsigned sent;
  bool begun;
  char id[32]; /**< Of the stream in progress; empty: there is none. */
  int64_t last;
  int64_t received;
};

static struct
{
  uv_loop_t loop;
  struct eg_random random;
  struct soak_store store;
  struct node nodes[NODES];
  struct server servers[SERVERS];
  struct client clients[CLIENTS];
  uv_timer_t tick;
  uv_signal_t signals[2];
  bool interrupted;
  FILE *record;
  char *program;
  const char *directory;
  int64_t start_us;
  bool trouble;
  unsigned crashes;          /**< Pairs that have begun. */
  bool second_due;           /**< The second crash of a pair is due. */
  const struct server *down; /**< The first one of the pair. */
  unsigned before_event;     /**< Resumed runs that ended before an event. */
  unsigned complete;
  unsigned short_streams; /**< Complete before their last event. */
  unsigned broken;
  unsigned failed;
  unsigned ended; /**< Processes that ended by themselves. */
} self;

static void note (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

static void
note (const char *format, ...)
{
  va_list arguments;

  fprintf (self.record, "%7.3f ",
           (double) (eg_clock_now_us () - self.start_us) / EG_US_PER_S);
  va_start (arguments, format);
  vfprintf (self.record, format, arguments);
  va_end (arguments);
  fputc ('\n', self.record);
  fflush (self.record);
}

static void
send_event (struct soak_http_connection *connection)
{
  struct run *run = connection->state;
  char event[96];

  if (run->next > run->last)
    {
      connection->last = true;
      soak_http_finish_request (connection);
      return;
    }
  snprintf (event, sizeof event, "id: %" PRId64 "\ndata: %s\n\n", run->next++,
            run->id);
  eg_socket_write (&connection->socket, eg_str_from (event));
  soak_http_schedule (connection, EVENT_MS, send_event);
}

static void
begin_run (struct soak_http_connection *connection)
{
  const struct run *run = connection->state;
  char head[256];

  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Connection: close\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s.1\r\n"
            "\r\n",
            run->id);
  eg_socket_write (&connection->socket, eg_str_from (head));
  soak_http_schedule (connection, PREFILL_MS, send_event);
}

static void
handle (void *context, struct soak_http_connection *connection)
{
  const struct eg_http_head *head = &connection->reader.head;
  struct eg_str target = eg_http_head_target (head);
  struct eg_str resumed = eg_http_head_find (head, "last-event-id");
  struct run *run = calloc (1, sizeof *run);
  int64_t after = 0;

  EG_INVARIANT (run);
  connection->state = run;
  eg_str_copy (eg_http_head_find (head, "x-attempt-id"), run->id,
               sizeof run->id);
  eg_str_cut (&target, '/');
  eg_str_cut (&target, '/');
  eg_str_to_int64 (target, &run->last);
  eg_str_to_int64 (resumed, &after);
  run->first = after + 1;
  run->next = run->first;
  note ("%s runs on %s from event %" PRId64 " on", run->id,
        ((const struct server *) context)->id, run->first);
  begin_run (connection);
}

static void
register_server (const struct server *server)
{
  char address[32];
  char zone[16];

  soak_format_address (server->http.endpoint, address, sizeof address);
  snprintf (zone, sizeof zone, "room-%u", server->number % NODES);
  soak_store_put (
      &self.store, "servers", server->id,
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "service",
                 "writer", "address", address, "zone", zone, "version", "v1",
                 "slots", 64, "state", "ready", "coldRemainingMs", 0,
                 "sequence", 1, "born",
                 (json_int_t) (eg_clock_wall_us () / EG_US_PER_MS)));
}

static void
start_server (struct server *server)
{
  if (server->starts == 0)
    soak_http_server_init (&server->http, &self.loop, 0, handle, server);
  snprintf (server->id, sizeof server->id, "i-%u-%u", server->number,
            ++server->starts);
  soak_http_server_start (&server->http);
  server->running = true;
  server->restart_us = 0;
  register_server (server);
}

/* Returns the run in progress on a connection, or NULL. */
static struct run *
run_on (const struct soak_http_connection *connection)
{
  return connection->handling && !connection->closed ? connection->state : NULL;
}

/* Counts the resumed runs of a server that have not sent an event. */
static unsigned
count_resumed (const struct server *server)
{
  const struct eg_list *all = &server->http.connections;
  unsigned count = 0;

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    {
      const struct run *run =
          run_on (EG_CONTAINER_OF (at, struct soak_http_connection, link));

      count += run && run->first > 1 && run->next == run->first;
    }
  return count;
}

/* Ends a server. The streams that have begun are cut off in the middle of an
 * event; the process's connections end with it. */
static void
crash (struct server *server)
{
  struct eg_list *all = &server->http.connections;

  note ("%s crashes", server->id);
  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct soak_http_connection *connection =
          EG_CONTAINER_OF (at, struct soak_http_connection, link);
      const struct run *run = run_on (connection);

      if (!run)
        continue;
      if (run->next > run->first)
        eg_socket_write (&connection->socket, EG_STR ("id: "));
      else if (run->first > 1)
        {
          self.before_event++;
          note ("%s ends with %s, resumed at event %" PRId64 " of %" PRId64
                ", before its first event",
                run->id, server->id, run->first, run->last);
        }
    }
  soak_http_server_stop (&server->http);
  soak_store_delete (&self.store, "servers", server->id);
  server->running = false;
  server->restart_us = eg_clock_now_us () + (int64_t) (DOWN_S * EG_US_PER_S);
}

/* Lets the server crash that runs the most streams. */
static void
crash_first (void)
{
  struct server *most = NULL;
  unsigned runs_max = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct server *server = &self.servers[i];
      const struct eg_list *all = &server->http.connections;
      unsigned runs = 0;

      for (const struct eg_list *at = all->next; at != all; at = at->next)
        {
          const struct run *run =
              run_on (EG_CONTAINER_OF (at, struct soak_http_connection, link));

          runs += run && run->next > run->first && run->next < run->last;
        }
      if (server->running && runs > runs_max)
        {
          most = server;
          runs_max = runs;
        }
    }
  if (!most)
    return;
  self.down = most;
  crash (most);
}

/* Lets the server crash that resumes the most of the other one's streams. */
static void
crash_second (void)
{
  struct server *most = NULL;

  for (unsigned i = 0; i < SERVERS; i++)
    if (self.servers[i].running
        && count_resumed (&self.servers[i]) > (most ? count_resumed (most) : 0))
      most = &self.servers[i];
  if (most)
    crash (most);
}

static void
send_next (struct client *client)
{
  struct eg_buffer text = {0};

  client->last =
      EVENTS_MIN
      + (int64_t) eg_random_below (&self.random, EVENTS_MAX - EVENTS_MIN);
  client->received = 0;
  snprintf (client->id, sizeof client->id, "c%u-%u", client->number,
            ++client->sent);
  note ("%s is sent to VM %u", client->id, client->number % NODES);
  eg_buffer_printf (&text,
                    "POST /draft/%" PRId64 " HTTP/1.1\r\nHost: h.example\r\n"
                    "X-Attempt-Id: %s\r\nX-Deadline-Ms: 20000\r\n"
                    "Content-Length: 5\r\n\r\nhello",
                    client->last, client->id);
  eg_socket_write (&client->socket, eg_buffer_view (&text));
  eg_buffer_finish (&text);
}

static void
on_connected (void *context)
{
  struct client *client = context;

  eg_socket_read (&client->socket);
  send_next (client);
}

/* Counts the complete events of a stream. */
static void
on_body (void *context, struct eg_str bytes)
{
  struct client *client = context;
  const char *end;

  eg_buffer_append (&client->text, bytes);
  while ((end = strstr (eg_buffer_text (&client->text), "\n\n")))
    {
      client->received++;
      eg_buffer_consume (&client->text, (size_t) (end - client->text.data) + 2);
    }
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  struct client *client = context;

  eg_http_reader_feed (&client->reader, bytes);
  if (!client->reader.complete)
    return;
  if (client->reader.head.status != 200)
    {
      self.failed++;
      note ("%s: status %u", client->id, client->reader.head.status);
    }
  else if (client->received == client->last)
    {
      self.complete++;
      note ("%s: the answer is complete", client->id);
    }
  else
    {
      self.short_streams++;
      note ("%s: the answer is complete after %" PRId64 " of %" PRId64
            " events",
            client->id, client->received, client->last);
    }
  eg_buffer_clear (&client->text);
  *client->id = '\0';
  if (client->reader.head.keep_alive)
    {
      eg_http_reader_next (&client->reader);
      send_next (client);
    }
  else
    eg_socket_close (&client->socket);
}

static void
on_ended (void *context, int uv_error)
{
  struct client *client = context;

  (void) uv_error;
  if (*client->id)
    {
      self.broken++;
      note ("%s: broken off after %" PRId64 " of %" PRId64 " events",
            client->id, client->received, client->last);
    }
  eg_socket_close (&client->socket);
}

static void
ignore (void *context)
{
  (void) context;
}

static void
on_closed (void *context)
{
  struct client *client = context;

  eg_http_reader_finish (&client->reader);
  eg_buffer_clear (&client->text);
  *client->id = '\0';
  client->begun = false;
}

static const struct eg_socket_events socket_events = {
    on_connected, on_bytes, on_ended, ignore, on_closed};
static const struct eg_http_reader_events reader_events = {ignore, on_body};

static void
open_client (struct client *client)
{
  struct eg_endpoint endpoint = {
      htonl (INADDR_LOOPBACK),
      htons (self.nodes[client->number % NODES].callers)};

  client->begun = true;
  eg_http_reader_init (&client->reader, EG_HTTP_RESPONSE, 65536, &reader_events,
                       client);
  eg_socket_init (&client->socket, &self.loop, &socket_events, client);
  eg_socket_connect (&client->socket, endpoint);
}

static void
on_node_exit (uv_process_t *process, int64_t status, int number)
{
  struct node *node = process->data;

  node->running = false;
  self.ended++;
  note ("the process of VM %u ended by itself: status %d, signal %d",
        node->number, (int) status, number);
}

static void
start_node (unsigned number)
{
  struct node *node = &self.nodes[number];
  char *arguments[] = {self.program, NULL};
  char variable[340];
  char *environment[] = {variable, NULL};
  char store[32];
  char path[300];
  uv_stdio_container_t outputs[3] = {{.flags = UV_IGNORE}};
  uv_process_options_t options = {.exit_cb = on_node_exit,
                                  .file = arguments[0],
                                  .args = arguments,
                                  .env = environment,
                                  .stdio = outputs,
                                  .stdio_count = 3};
  FILE *file;

  node->number = number;
  node->callers = soak_find_free_port ();
  node->ready = soak_find_free_port ();
  node->peers = soak_find_free_port ();
  soak_format_address (self.store.server.endpoint, store, sizeof store);
  snprintf (node->settings, sizeof node->settings, "%s/settings-%u.toml",
            self.directory, number);
  file = fopen (node->settings, "w");
  EG_INVARIANT (file);
  fprintf (file,
           "[node]\nname = \"edge-%u\"\nfailure_domain = \"room-%u\"\n"
           "first_start = true\n"
           "[listen]\ncallers = \"127.0.0.1:%u\"\n"
           "readiness = \"127.0.0.1:%u\"\npeers = \"127.0.0.1:%u\"\n"
           "[store]\naddress = \"%s\"\n"
           "[limits]\nmemory_mb = 260\ndescriptors = 4100\n"
           "link_mbps = 1000.0\ncpu_share = 0.25\n"
           "[stop]\ngrace_s = 8\n"
           "[keys]\nrevocation_bounded = true\nrevocation_ms = 5000\n"
           "[retry]\nratio = 0.2\nwindow_s = 10\nextra = 202\n"
           "[engines]\nstall_ms = 2000\nfenced = false\n",
           number, number, node->callers, node->ready, node->peers, store);
  fclose (file);
  snprintf (variable, sizeof variable, "EELGRASSWOOD_SETTINGS=%s",
            node->settings);
  snprintf (path, sizeof path, "%s/vm-%u.log", self.directory, number);
  file = fopen (path, "w");
  EG_INVARIANT (file);
  for (int i = 1; i < 3; i++)
    outputs[i] = (uv_stdio_container_t){.flags = UV_INHERIT_FD,
                                        .data.fd = fileno (file)};
  node->process.data = node;
  EG_INVARIANT (uv_spawn (&self.loop, &node->process, &options) == 0);
  node->running = true;
  fclose (file);
  snprintf (path, sizeof path, "%s/vm-%u.pid", self.directory, number);
  file = fopen (path, "w");
  EG_INVARIANT (file);
  fprintf (file, "%d\n", node->process.pid);
  fclose (file);
}

static void
on_tick (uv_timer_t *timer)
{
  int64_t now_us = eg_clock_now_us ();
  double time_s = (double) (now_us - self.start_us) / EG_US_PER_S;
  double crash_s = FIRST_CRASH_S + CRASH_INTERVAL_S * self.crashes;

  (void) timer;
  for (unsigned i = 0; i < SERVERS; i++)
    if (self.servers[i].restart_us > 0 && now_us >= self.servers[i].restart_us)
      start_server (&self.servers[i]);
  for (unsigned i = 0; time_s >= TRAFFIC_S && i < CLIENTS; i++)
    if (!self.clients[i].begun)
      open_client (&self.clients[i]);
  if (self.trouble && self.second_due
      && time_s >= crash_s - CRASH_INTERVAL_S + SECOND_CRASH_S)
    {
      self.second_due = false;
      crash_second ();
    }
  if (self.trouble && self.crashes < CRASHES && time_s >= crash_s)
    {
      self.crashes++;
      self.second_due = true;
      crash_first ();
    }
  if (time_s >= END_S)
    uv_stop (&self.loop);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  (void) handle;
  note ("signal %d", number);
  self.interrupted = true;
  uv_stop (&self.loop);
}

static void
watch_signals (void)
{
  static const int numbers[] = {SIGTERM, SIGINT};

  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      uv_signal_init (&self.loop, &self.signals[i]);
      uv_signal_start (&self.signals[i], on_signal, numbers[i]);
    }
}

static int
conclude (void)
{
  note ("complete: %u, answered with a failure: %u, broken off: %u, complete "
        "before their last event: %u; resumed runs that ended before an "
        "event: %u; processes that ended by themselves: %u",
        self.complete, self.failed, self.broken, self.short_streams,
        self.before_event, self.ended);
  if (self.interrupted)
    return 2;
  if (self.short_streams > 0)
    {
      note ("ORDER is broken: a stream ends as complete before its last piece");
      return 1;
    }
  if (self.complete < CLIENTS || (self.trouble && self.before_event == 0))
    {
      note (
          "the case could not run: too little traffic, or no run ended before "
          "an event");
      return 2;
    }
  note ("the rule held");
  return 0;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  int result;

  if (argc != 4)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  self.program = argv[1];
  self.directory = argv[2];
  self.record = fopen (argv[3], "w");
  EG_INVARIANT (self.record);
  self.trouble = !trouble || strcmp (trouble, "0") != 0;
  self.start_us = eg_clock_now_us ();
  uv_loop_init (&self.loop);
  eg_random_init (&self.random, 1);
  soak_store_open (&self.store, &self.loop, &self.random);
  soak_store_put (&self.store, "config", "main",
                  json_loads (CONFIGURATION, 0, NULL));
  for (unsigned i = 0; i < SERVERS; i++)
    {
      self.servers[i].number = i;
      start_server (&self.servers[i]);
    }
  for (unsigned i = 0; i < NODES; i++)
    start_node (i);
  for (unsigned i = 0; i < CLIENTS; i++)
    self.clients[i].number = i;
  watch_signals ();
  uv_timer_init (&self.loop, &self.tick);
  uv_timer_start (&self.tick, on_tick, 10, 10);
  uv_run (&self.loop, UV_RUN_DEFAULT);
  result = conclude ();
  for (unsigned i = 0; i < NODES; i++)
    if (self.nodes[i].running)
      uv_process_kill (&self.nodes[i].process, SIGKILL);
  return result;
}
