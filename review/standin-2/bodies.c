/* Plays a small deployment on loopback: three entry VMs, a plain server in each
 * of three failure domains, the platform's store, and clients that post
 * documents from kept connections. At times many more of them come at once. See
 * review/8/claim.txt. */
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
/* Clients of each VM, usually and in a burst: 1.67 times as many. */
#define USUAL 27
#define BURST 45
#define CLIENTS (NODES * BURST)
#define DOCUMENT_BYTES 4100000
#define WORK_MS 2400
/* The answer is written in pieces. */
#define PIECES 10
#define PIECE_BYTES 20000
#define PIECE_MS 30
#define THINK_MS 300
/* More than so many requests that are lost break the rule. */
#define LOST_MAX 3

/* In seconds since the start. */
#define TRAFFIC_S 5.0
#define FIRST_BURST_S 12.0
#define BURST_INTERVAL_S 12.0
#define BURST_S 3.0
/* Time over which the additional clients come. */
#define ARRIVAL_S 1.5
#define BURSTS 4
#define END_S 62.0

#define CONFIGURATION                                                          \
  "{\"version\":3,\"routes\":["                                                \
  "{\"name\":\"issue\",\"host\":\"h.example\",\"pathPrefix\":\"/issue/\","     \
  "\"kind\":\"non_idempotent\",\"timeoutMs\":20000,\"goalLatencyMs\":4000,"    \
  "\"service\":\"app\",\"maxAttempts\":1,\"public\":true}],"                   \
  "\"services\":[{\"name\":\"app\",\"healthPath\":\"/healthz\","               \
  "\"maxConnections\":110}],"                                                  \
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

/** A plain server. */
struct server
{
  struct soak_http_server http;
  char id[16];
};

/** A request at a server; state of its connection. */
struct work
{
  char id[48];
  int pieces_left;
};

/** A client with a kept connection. */
struct client
{
  struct eg_socket socket;
  struct eg_http_reader reader;
  unsigned number;
  unsigned sent;
  bool begun;
  bool connected;
  int64_t next_us; /**< When it sends its next document. */
  char id[48];     /**< Of the request in progress; empty: there is none. */
};

static struct
{
  uv_loop_t loop;
  struct eg_random random;
  struct soak_store store;
  struct node nodes[NODES];
  struct server servers[NODES];
  struct client clients[CLIENTS];
  uv_timer_t tick;
  uv_signal_t signals[2];
  bool interrupted;
  FILE *record;
  char *program;
  const char *directory;
  int64_t start_us;
  bool trouble;
  json_t *run; /**< Requests that a server has begun. */
  char *document;
  unsigned answered;
  unsigned refused;
  unsigned failed;
  unsigned lost;   /**< Run, and not answered. */
  unsigned unread; /**< Not run, and not answered. */
  unsigned ended;  /**< Processes that ended by themselves. */
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
send_piece (struct soak_http_connection *connection)
{
  static char piece[PIECE_BYTES];
  struct work *work = connection->state;

  if (work->pieces_left-- == 0)
    {
      soak_http_finish_request (connection);
      return;
    }
  memset (piece, 'a', sizeof piece);
  eg_socket_write (&connection->socket, (struct eg_str){piece, sizeof piece});
  soak_http_schedule (connection, PIECE_MS, send_piece);
}

static void
begin_answer (struct soak_http_connection *connection)
{
  struct work *work = connection->state;
  char head[256];

  work->pieces_left = PIECES;
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s.1\r\n"
            "Content-Length: %d\r\n\r\n",
            work->id, PIECES * PIECE_BYTES);
  eg_socket_write (&connection->socket, eg_str_from (head));
  send_piece (connection);
}

static void
handle (void *context, struct soak_http_connection *connection)
{
  struct work *work = calloc (1, sizeof *work);

  EG_INVARIANT (work);
  connection->state = work;
  eg_str_copy (eg_http_head_find (&connection->reader.head, "x-attempt-id"),
               work->id, sizeof work->id);
  json_object_set_new (self.run, work->id, json_true ());
  note ("%s runs on %s", work->id, ((const struct server *) context)->id);
  soak_http_schedule (connection,
                      WORK_MS - 200 + eg_random_below (&self.random, 400),
                      begin_answer);
}

static void
start_server (unsigned number)
{
  struct server *server = &self.servers[number];
  char address[32];
  char zone[16];

  snprintf (server->id, sizeof server->id, "i-app%u", number);
  snprintf (zone, sizeof zone, "room-%u", number);
  soak_http_server_init (&server->http, &self.loop, 0, handle, server);
  soak_http_server_start (&server->http);
  soak_format_address (server->http.endpoint, address, sizeof address);
  soak_store_put (
      &self.store, "servers", server->id,
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "service",
                 "app", "address", address, "zone", zone, "version", "v1",
                 "slots", 96, "state", "ready", "coldRemainingMs", 0,
                 "sequence", 1, "born",
                 (json_int_t) (eg_clock_wall_us () / EG_US_PER_MS)));
}

static void
send_document (struct client *client)
{
  struct eg_buffer text = {0};

  snprintf (client->id, sizeof client->id, "c%u-%u", client->number,
            ++client->sent);
  note ("%s is sent to VM %u", client->id, client->number % NODES);
  eg_buffer_printf (&text,
                    "POST /issue/x HTTP/1.1\r\nHost: h.example\r\n"
                    "X-Attempt-Id: %s\r\nX-Deadline-Ms: 20000\r\n"
                    "Content-Length: %d\r\n\r\n",
                    client->id, DOCUMENT_BYTES);
  eg_buffer_append (&text, (struct eg_str){self.document, DOCUMENT_BYTES});
  eg_socket_write (&client->socket, eg_buffer_view (&text));
  eg_buffer_finish (&text);
}

static int64_t
random_later_us (double longest_s)
{
  return eg_clock_now_us ()
         + (int64_t) eg_random_below (&self.random,
                                      (uint64_t) (longest_s * EG_US_PER_S));
}

static void
on_connected (void *context)
{
  struct client *client = context;

  client->connected = true;
  eg_socket_read (&client->socket);
  client->next_us = random_later_us (ARRIVAL_S);
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  struct client *client = context;
  unsigned status;

  eg_http_reader_feed (&client->reader, bytes);
  if (!client->reader.complete)
    return;
  status = client->reader.head.status;
  note ("%s: status %u", client->id, status);
  if (status == 200)
    self.answered++;
  else if (status == 503)
    self.refused++;
  else
    self.failed++;
  *client->id = '\0';
  client->next_us = random_later_us (THINK_MS / 1000.0);
  if (client->reader.head.keep_alive)
    eg_http_reader_next (&client->reader);
  else
    eg_socket_close (&client->socket);
}

static void
on_ended (void *context, int uv_error)
{
  struct client *client = context;

  if (*client->id && json_object_get (self.run, client->id))
    {
      self.lost++;
      note ("%s: run by a server, and the connection ends without an answer "
            "(%s)",
            client->id, uv_strerror (uv_error));
    }
  else if (*client->id)
    {
      self.unread++;
      note ("%s: not run, and the connection ends (%s)", client->id,
            uv_strerror (uv_error));
    }
  eg_socket_close (&client->socket);
}

static void
ignore (void *context)
{
  (void) context;
}

static void
ignore_bytes (void *context, struct eg_str bytes)
{
  (void) context;
  (void) bytes;
}

static void
on_closed (void *context)
{
  struct client *client = context;

  eg_http_reader_finish (&client->reader);
  *client->id = '\0';
  client->begun = false;
  client->connected = false;
}

static const struct eg_socket_events socket_events = {
    on_connected, on_bytes, on_ended, ignore, on_closed};
static const struct eg_http_reader_events reader_events = {ignore,
                                                           ignore_bytes};

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

/* Returns how many clients each VM has now. */
static unsigned
count_clients (double time_s)
{
  for (unsigned i = 0; self.trouble && i < BURSTS; i++)
    {
      double from_s = FIRST_BURST_S + BURST_INTERVAL_S * i;

      if (time_s >= from_s && time_s < from_s + BURST_S)
        return BURST;
    }
  return USUAL;
}

static void
check_clients (double time_s)
{
  unsigned count = NODES * count_clients (time_s);
  int64_t now_us = eg_clock_now_us ();

  for (unsigned i = 0; i < CLIENTS; i++)
    {
      struct client *client = &self.clients[i];

      client->number = i;
      if (!client->begun && i < count && self.nodes[i % NODES].running)
        open_client (client);
      else if (client->connected && !*client->id && !client->socket.closing
               && i >= count)
        eg_socket_close (&client->socket);
      else if (client->connected && !*client->id && !client->socket.closing
               && now_us >= client->next_us)
        send_document (client);
    }
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
  double time_s = (double) (eg_clock_now_us () - self.start_us) / EG_US_PER_S;

  (void) timer;
  if (time_s >= TRAFFIC_S)
    check_clients (time_s);
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
  note ("answered: %u, refused: %u, answered with another failure: %u, run and "
        "lost: %u, lost otherwise: %u; processes that ended by themselves: %u",
        self.answered, self.refused, self.failed, self.lost, self.unread,
        self.ended);
  if (self.interrupted)
    return 2;
  if (self.lost > LOST_MAX)
    {
      note ("LOST is broken: more than %d requests from kept connections were "
            "passed on to a sound server and not answered",
            LOST_MAX);
      return 1;
    }
  if (self.answered < NODES * USUAL * 2)
    {
      note ("the case could not run: too little traffic");
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
  self.run = json_object ();
  self.document = malloc (DOCUMENT_BYTES);
  EG_INVARIANT (self.document);
  memset (self.document, 'd', DOCUMENT_BYTES);
  uv_loop_init (&self.loop);
  eg_random_init (&self.random, 1);
  soak_store_open (&self.store, &self.loop, &self.random);
  soak_store_put (&self.store, "config", "main",
                  json_loads (CONFIGURATION, 0, NULL));
  for (unsigned i = 0; i < NODES; i++)
    start_server (i);
  for (unsigned i = 0; i < NODES; i++)
    start_node (i);
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
