/* Plays a small deployment on loopback: three entry VMs, seven engines and a
 * plain server in three failure domains, the platform's store, and clients with
 * kept connections. The engines are scaled in and out; of the orders to them
 * one is carried out and its answer is lost. See review/6/claim.txt. */
#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/status.h"
#include "test/soak/http_server.h"
#include "test/soak/ports.h"
#include "test/soak/store.h"

#define NODES 3
#define ENGINES 8
#define FIRST_ENGINES 7
#define LAYERS 8
#define CLIENTS_PER_NODE 10
#define CLIENTS (NODES * CLIENTS_PER_NODE)
/* After so many requests, a client opens a new connection. */
#define REQUESTS_PER_CONNECTION 12
#define WORK_MS 40
/* Time to load the whole model; loads before the first request take a tenth. */
#define LOAD_S 14.0
#define EARLY_LOAD 0.1
/* Sizes of the clients' bodies. */
#define BODY_MIN 300
#define BODY_MAX 900
/* More than so many requests that are lost break the rule. */
#define LOST_MAX 3

/* Events, in seconds since the start. */
#define TRAFFIC_S 6.0
#define SCALE_IN_S 8.0
#define SCALE_OUT_S 15.0
#define SCALE_IN_NEW_S 20.5
#define SCALE_IN_AGAIN_S 26.0
/* Time for which a server that leaves goes on serving after its entry was
 * removed: drainMs and a little more. */
#define DRAIN_S 2.1
#define END_S 31.0

#define CONFIGURATION                                                          \
  "{\"version\":3,\"routes\":["                                                \
  "{\"name\":\"draft\",\"host\":\"h.example\",\"pathPrefix\":\"/draft/\","     \
  "\"kind\":\"streaming\",\"timeoutMs\":20000,\"goalLatencyMs\":500,"          \
  "\"service\":\"llm\",\"maxAttempts\":2,\"public\":true,"                     \
  "\"resumable\":true},"                                                       \
  "{\"name\":\"issue\",\"host\":\"h.example\",\"pathPrefix\":\"/issue/\","     \
  "\"kind\":\"non_idempotent\",\"timeoutMs\":4000,\"goalLatencyMs\":300,"      \
  "\"service\":\"app\",\"maxAttempts\":1,\"public\":true}],"                   \
  "\"services\":[{\"name\":\"app\",\"healthPath\":\"/healthz\","               \
  "\"maxConnections\":110},"                                                   \
  "{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConnections\":1000,"     \
  "\"engine\":{\"slots\":64,\"kvCapacityTokens\":100000,\"kvBytes\":426000,"   \
  "\"linkMbps\":480000,\"stride\":2,"                                          \
  "\"models\":[{\"name\":\"m\",\"pace\":1.0,\"loadS\":14.0,\"warmS\":0}],"     \
  "\"step_ms\":0.85,\"read_per_s\":272000,\"chunk\":512,"                      \
  "\"report_lag_ms\":200,\"loads_at_once\":6,"                                 \
  "\"usual\":{\"prompt\":772,\"answer\":150},\"layers\":8,\"layerMb\":1750,"   \
  "\"activationBytes\":21300,\"pipeMbps\":6500,"                               \
  "\"kinds\":[{\"name\":\"l4\",\"sizeMb\":9000,\"pace\":16,"                   \
  "\"readFactor\":8.2}]}}],"                                                   \
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

/** A model server. */
struct engine
{
  struct soak_http_server server;
  char id[16];
  unsigned room;
  int from;
  int to;
  int next_from;
  int next_to;
  int64_t load_end_us; /**< 0: it loads nothing. */
  int64_t sequence;
  int64_t born_ms;
  bool listed;
  bool running;
};

/** A client with a kept connection. */
struct client
{
  struct eg_socket socket;
  struct eg_http_reader reader;
  unsigned number;
  unsigned connection;
  unsigned sent; /**< On this connection. */
  bool begun;
  bool connected;
  bool closing;
  char id[48]; /**< Of the request in progress; empty: there is none. */
};

static struct
{
  uv_loop_t loop;
  struct eg_random random;
  struct soak_store store;
  struct node nodes[NODES];
  struct engine engines[ENGINES];
  struct soak_http_server app;
  struct client clients[CLIENTS];
  uv_timer_t tick;
  uv_signal_t signals[2];
  bool interrupted;
  FILE *record;
  char *program;
  const char *directory;
  int64_t start_us;
  bool trouble;
  unsigned step;
  struct engine *silent; /**< The one whose answer was lost. */
  bool ordered_again;    /**< It has begun another order since. */
  unsigned run;
  unsigned answered;
  unsigned lost;
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
respond (struct soak_http_connection *connection,
         unsigned status,
         const char *fields,
         const char *body)
{
  soak_http_respond (connection, status, eg_str_from (fields),
                     eg_str_from (body));
}

/* Writes an engine's entry into the store. */
static void
register_engine (const struct engine *engine)
{
  char address[32];
  char zone[16];
  json_t *spec;

  if (!engine->listed)
    return;
  soak_format_address (engine->server.endpoint, address, sizeof address);
  snprintf (zone, sizeof zone, "room-%u", engine->room);
  spec = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:s, s:[{s:s, s:i, s:[]}], s:i, "
      "s:s, s:{s:i, s:i, s:i}, s:I}",
      "service", "llm", "address", address, "zone", zone, "version", "v1",
      "slots", 64, "state", "ready", "coldRemainingMs", 0, "stage", "combined",
      "models", "name", "m", "version", 1, "adapters", "sequence", 1, "kind",
      "l4", "layers", "from", engine->from, "to", engine->to, "version", 1,
      "born", (json_int_t) engine->born_ms);
  EG_INVARIANT (spec);
  soak_store_put (&self.store, "servers", engine->id, spec);
}

static void
report (const struct engine *engine, struct soak_http_connection *connection)
{
  char body[512];

  snprintf (body, sizeof body,
            "{\"stage\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,"
            "\"adapters\":[]}],\"busy\":%s,\"sequence\":%" PRId64
            ",\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":90000,"
            "\"kvHandles\":0,\"layers\":{\"from\":%d,\"to\":%d,\"version\":1},"
            "\"kind\":\"l4\",\"pace\":1,\"stalled\":[],\"born\":%" PRId64 "}",
            engine->load_end_us ? "true" : "false", engine->sequence,
            engine->from, engine->to, engine->born_ms);
  respond (connection, 200, "Content-Type: application/json\r\n", body);
}

/* Begins an order; returns the status of the answer. */
static unsigned
begin_order (struct engine *engine, const json_t *order)
{
  const json_t *expected = json_object_get (order, "expectedRevision");
  const char *operation =
      json_string_value (json_object_get (order, "operation"));
  int from = (int) json_integer_value (json_object_get (order, "from"));
  int to = (int) json_integer_value (json_object_get (order, "to"));
  int kept_from = from > engine->from ? from : engine->from;
  int kept_to = to < engine->to ? to : engine->to;
  int loaded = to - from - (kept_to > kept_from ? kept_to - kept_from : 0);
  double load_us;

  if (!operation || strcmp (operation, "place") != 0)
    return 404;
  if (engine->load_end_us > 0
      || (expected && json_integer_value (expected) != engine->sequence))
    return 409;
  if (from == engine->from && to == engine->to)
    return 200;
  engine->sequence++;
  engine->next_from = from;
  engine->next_to = to;
  load_us = LOAD_S * EG_US_PER_S * loaded / LAYERS;
  if (self.step == 0)
    load_us *= EARLY_LOAD;
  engine->load_end_us = eg_clock_now_us () + 1 + (int64_t) load_us;
  note ("%s begins order %" PRId64 ": layers %d-%d, held %d-%d", engine->id,
        engine->sequence, from, to, engine->from, engine->to);
  return 202;
}

static void
handle_order (struct engine *engine, struct soak_http_connection *connection)
{
  json_t *order =
      json_loadb (connection->body.data, connection->body.len, 0, NULL);
  unsigned status = begin_order (engine, order);

  json_decref (order);
  if (engine == self.silent && status == 202)
    self.ordered_again = true;
  /* One order while the engines are scaled: the first that makes an engine
   * give up layers and load none. */
  if (status == 202 && !self.silent && self.step > 0
      && engine->next_from >= engine->from && engine->next_to <= engine->to)
    {
      self.silent = engine;
      if (self.trouble)
        {
          note ("%s: the answer to that order is lost", engine->id);
          return;
        }
    }
  respond (connection, status, "", "{}");
}

static void
handle_engine (void *context, struct soak_http_connection *connection)
{
  struct engine *engine = context;
  struct eg_str target = eg_http_head_target (&connection->reader.head);

  if (eg_str_equal (target, EG_STR ("/eelgrasswood/report")))
    report (engine, connection);
  else if (eg_str_equal (target, EG_STR ("/eelgrasswood/order")))
    handle_order (engine, connection);
  else
    respond (connection, 404, "", "");
}

static void
start_engine (unsigned number)
{
  struct engine *engine = &self.engines[number];

  snprintf (engine->id, sizeof engine->id, "i-e%u", number);
  /* Three in the first room, two in the others; the new one in the first. */
  engine->room = number < 3 || number >= FIRST_ENGINES ? 0 : (number - 1) / 2;
  engine->born_ms = eg_clock_wall_us () / EG_US_PER_MS;
  soak_http_server_init (&engine->server, &self.loop, 0, handle_engine, engine);
  soak_http_server_start (&engine->server);
  engine->running = true;
  engine->listed = true;
  register_engine (engine);
}

/* The engine leaves: its entry is removed, and it goes on for a while. */
static void
withdraw (struct engine *engine)
{
  note ("%s leaves: its entry is removed", engine->id);
  engine->listed = false;
  soak_store_delete (&self.store, "servers", engine->id);
}

static void
end_engine (struct engine *engine)
{
  note ("%s exits", engine->id);
  engine->running = false;
  soak_http_server_stop (&engine->server);
}

static void
finish_loads (int64_t now_us)
{
  for (unsigned i = 0; i < ENGINES; i++)
    {
      struct engine *engine = &self.engines[i];

      if (!engine->running || engine->load_end_us == 0
          || now_us < engine->load_end_us)
        continue;
      engine->load_end_us = 0;
      engine->from = engine->next_from;
      engine->to = engine->next_to;
      register_engine (engine);
    }
}

static void
answer_work (struct soak_http_connection *connection)
{
  struct eg_str id =
      eg_http_head_find (&connection->reader.head, "x-attempt-id");
  char fields[160];

  snprintf (fields, sizeof fields,
            "X-Server-Seal: s.1\r\nX-Attempt-Id: %.*s\r\n", EG_STR_ARGS (id));
  respond (connection, 200, fields, "issued");
}

static void
handle_work (void *context, struct soak_http_connection *connection)
{
  struct eg_str id =
      eg_http_head_find (&connection->reader.head, "x-attempt-id");

  (void) context;
  note ("%.*s runs", EG_STR_ARGS (id));
  self.run++;
  soak_http_schedule (connection, WORK_MS, answer_work);
}

static void
start_app (void)
{
  char address[32];

  soak_http_server_init (&self.app, &self.loop, 0, handle_work, NULL);
  soak_http_server_start (&self.app);
  soak_format_address (self.app.endpoint, address, sizeof address);
  soak_store_put (
      &self.store, "servers", "i-app",
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "service",
                 "app", "address", address, "zone", "room-0", "version", "v1",
                 "slots", 64, "state", "ready", "coldRemainingMs", 0,
                 "sequence", 1, "born",
                 (json_int_t) (eg_clock_wall_us () / EG_US_PER_MS)));
}

static void
send_next (struct client *client)
{
  static char body[BODY_MAX];
  struct eg_buffer text = {0};
  size_t len =
      BODY_MIN + (size_t) eg_random_below (&self.random, BODY_MAX - BODY_MIN);

  memset (body, 'b', sizeof body);
  snprintf (client->id, sizeof client->id, "c%u-%u-%u", client->number,
            client->connection, ++client->sent);
  eg_buffer_printf (&text,
                    "POST /issue/x HTTP/1.1\r\nHost: h.example\r\n"
                    "X-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    client->id, len);
  eg_buffer_append (&text, (struct eg_str){body, len});
  note ("%s is sent to VM %u", client->id, client->number % NODES);
  eg_socket_write (&client->socket, eg_buffer_view (&text));
  eg_buffer_finish (&text);
}

static void
on_connected (void *context)
{
  struct client *client = context;

  client->connected = true;
  eg_socket_read (&client->socket);
  send_next (client);
}

static void
on_bytes (void *context, struct eg_str bytes)
{
  struct client *client = context;

  eg_http_reader_feed (&client->reader, bytes);
  if (!client->reader.complete)
    return;
  note ("%s: status %u", client->id, client->reader.head.status);
  if (client->reader.head.status == 200)
    self.answered++;
  else
    self.failed++;
  *client->id = '\0';
  eg_http_reader_next (&client->reader);
  if (client->sent < REQUESTS_PER_CONNECTION)
    send_next (client);
  else
    {
      client->closing = true;
      eg_socket_close (&client->socket);
    }
}

static void
on_ended (void *context, int uv_error)
{
  struct client *client = context;

  if (client->connected && *client->id)
    {
      self.lost++;
      note ("%s: the connection ends without an answer (%s)", client->id,
            uv_strerror (uv_error));
    }
  client->closing = true;
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
  client->begun = false;
}

static const struct eg_socket_events socket_events = {
    on_connected, on_bytes, on_ended, ignore, on_closed};
static const struct eg_http_reader_events reader_events = {ignore,
                                                           ignore_bytes};

static void
open_client (struct client *client)
{
  const struct node *node = &self.nodes[client->number % NODES];
  struct eg_endpoint endpoint = {htonl (INADDR_LOOPBACK),
                                 htons (node->callers)};

  client->begun = true;
  client->connected = false;
  client->closing = false;
  client->sent = 0;
  client->connection++;
  *client->id = '\0';
  eg_http_reader_init (&client->reader, EG_HTTP_RESPONSE, 65536, &reader_events,
                       client);
  eg_socket_init (&client->socket, &self.loop, &socket_events, client);
  eg_socket_connect (&client->socket, endpoint);
}

static void
check_clients (void)
{
  for (unsigned i = 0; i < CLIENTS; i++)
    {
      self.clients[i].number = i;
      if (!self.clients[i].begun && self.nodes[i % NODES].running)
        open_client (&self.clients[i]);
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

/* Returns whether the next step is due, and counts it. */
static bool
is_due (unsigned step, double due_s, double time_s)
{
  if (self.step != step || time_s < due_s)
    return false;
  self.step++;
  return true;
}

static void
on_tick (uv_timer_t *timer)
{
  int64_t now_us = eg_clock_now_us ();
  double time_s = (double) (now_us - self.start_us) / EG_US_PER_S;

  (void) timer;
  finish_loads (now_us);
  if (is_due (0, TRAFFIC_S, time_s))
    note ("traffic begins");
  if (self.step > 0)
    check_clients ();
  if (is_due (1, SCALE_IN_S, time_s))
    withdraw (&self.engines[1]);
  if (is_due (2, SCALE_IN_S + DRAIN_S, time_s))
    end_engine (&self.engines[1]);
  if (is_due (3, SCALE_OUT_S, time_s))
    {
      note ("i-e%u is added", FIRST_ENGINES);
      start_engine (FIRST_ENGINES);
    }
  if (is_due (4, SCALE_IN_NEW_S, time_s))
    withdraw (&self.engines[FIRST_ENGINES]);
  if (is_due (5, SCALE_IN_NEW_S + DRAIN_S, time_s))
    end_engine (&self.engines[FIRST_ENGINES]);
  if (is_due (6, SCALE_IN_AGAIN_S, time_s) && self.silent)
    withdraw (self.silent);
  if (is_due (7, SCALE_IN_AGAIN_S + DRAIN_S, time_s) && self.silent)
    end_engine (self.silent);
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
  note ("run by the plain server: %u, answered: %u, answered with a failure: "
        "%u, lost: %u; processes that ended by themselves: %u",
        self.run, self.answered, self.failed, self.lost, self.ended);
  if (self.interrupted)
    return 2;
  if (self.lost > LOST_MAX)
    {
      note ("LOST is broken: more than %d requests from kept connections were "
            "passed on to a sound server and not answered",
            LOST_MAX);
      return 1;
    }
  if (!self.silent || !self.ordered_again || self.answered < 1000)
    {
      note ("the case could not run: no engine was ordered twice, or there was "
            "too little traffic");
      return 2;
    }
  note ("the rule held");
  return self.ended > 0 ? 1 : 0;
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
  for (unsigned i = 0; i < FIRST_ENGINES; i++)
    start_engine (i);
  start_app ();
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
