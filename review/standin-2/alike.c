/* A small deployment around entry daemons that run as separate processes: the
 * platform's store, engines, callers that all ask for the same, and callers
 * whose prompts have a part that crashes engines. All daemons are killed at
 * once before; see review/seen/alike/claim.txt.
 *
 * usage: alike DAEMON FOLDER RECORD TROUBLE SEED
 */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/status.h"
#include "net/exchange.h"
#include "test/soak/store.h"

#define VMS 3
#define ENGINES 3
#define SLOTS 192
#define CALLERS_PER_VM 8
#define CLIENTS_PER_VM (CALLERS_PER_VM + 1)
/* What the pages set: stableWindowMs; crashed servers are back after some
 * seconds. */
#define STABLE_MS INT64_C (3000)
#define BACK_AFTER_MS 3000
/* Timetable, from the start of the daemons. */
#define TRAFFIC_MS 6000
#define KILL_MS 12000
#define BACK_MS 13000
#define END_MS 36000
#define PROMPT_MS 20
#define EVENT_MS 15
#define EVENTS 20
#define PAUSE_MS 100
#define DEADLY_PAUSE_MS 1000
#define FIRST_MS 700
#define GAP_MS 150
#define CLIENTS ((size_t) VMS * CLIENTS_PER_VM)
#define ID_BYTES 96

struct world;

struct engine
{
  struct world *world;
  struct soak_http_server server;
  uv_timer_t timer;
  char id[ID_BYTES];
  unsigned starts;
  unsigned number;
  int64_t born_ms;
};

struct stream
{
  struct engine *engine;
  char id[32];
  unsigned next;
  bool deadly;
};

struct vm
{
  struct world *world;
  uv_process_t process;
  unsigned number;
  uint16_t ports[3];
  char settings[256];
  bool running;
  bool was_started;
};

struct client
{
  struct world *world;
  struct vm *vm;
  struct eg_exchange exchange;
  struct eg_exchange_pool pool;
  uv_timer_t timer;
  char id[32];
  int64_t sent_us;
  unsigned status;
  bool deadly;
};

/** Requests of one part of the day. */
struct count
{
  unsigned sent;
  unsigned served;
};

struct world
{
  uv_loop_t loop;
  struct eg_random random;
  struct soak_store store;
  struct engine engines[ENGINES];
  struct vm vms[VMS];
  struct client clients[CLIENTS];
  uv_timer_t traffic_timer;
  uv_timer_t kill_timer;
  uv_timer_t back_timer;
  uv_timer_t end_timer;
  const char *daemon;
  const char *folder;
  FILE *record;
  int64_t start_us;
  uint64_t next_request;
  unsigned crashes;
  int64_t fifth_us;    /* Time of the fifth crash, or the last one before. */
  struct count before; /* The kill. */
  struct count after;  /* From twice stableWindowMs after that crash. */
  bool trouble;
  bool stopping;
};

static struct world world;

static void
note (const char *format, ...)
{
  va_list args;

  fprintf (world.record, "%9.3f ",
           (double) (eg_clock_now_us () - world.start_us) / EG_US_PER_S);
  va_start (args, format);
  vfprintf (world.record, format, args);
  va_end (args);
  fputc ('\n', world.record);
}

/* Engines. */

static void
publish (struct engine *self)
{
  char address[32];

  soak_format_address (self->server.endpoint, address, sizeof address);
  soak_store_put (&world.store, "servers", self->id,
                  json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:s, "
                             "s:[{s:s, s:i, s:[]}], s:i, s:I}",
                             "service", "writer", "address", address, "zone",
                             "room-0", "version", "v1", "slots", SLOTS, "state",
                             "ready", "coldRemainingMs", 0, "stage", "combined",
                             "models", "name", "m0", "version", 1, "adapters",
                             "sequence", 0, "born",
                             (json_int_t) self->born_ms));
}

static void
start_engine (struct engine *self)
{
  self->born_ms = eg_clock_wall_us () / EG_US_PER_MS;
  snprintf (self->id, sizeof self->id, "i-e%u-%u", self->number,
            ++self->starts);
  soak_http_server_start (&self->server);
  note ("engine %s starts", self->id);
  publish (self);
}

static void
on_engine_back (uv_timer_t *timer)
{
  struct engine *self = timer->data;

  soak_store_delete (&world.store, "servers", self->id);
  start_engine (self);
}

static void
crash (struct engine *self, const char *id)
{
  world.crashes++;
  if (world.crashes <= 5)
    world.fifth_us = eg_clock_now_us ();
  note ("engine %s crashes as it begins to write %s: crash %u", self->id, id,
        world.crashes);
  uv_timer_start (&self->timer, on_engine_back, BACK_AFTER_MS, 0);
  soak_http_server_stop (&self->server);
}

static void
on_event (struct soak_http_connection *connection)
{
  struct stream *stream = connection->state;
  char event[64];
  char chunk[96];

  if (stream->deadly)
    {
      crash (stream->engine, stream->id);
      return;
    }
  if (stream->next == 0)
    {
      char head[256];

      snprintf (head, sizeof head,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\n"
                "X-Server-Seal: s.%s\r\n\r\n",
                stream->id, stream->id);
      eg_socket_write (&connection->socket, eg_str_from (head));
    }
  if (stream->next == EVENTS)
    {
      eg_socket_write (&connection->socket, EG_STR ("0\r\n\r\n"));
      soak_http_finish_request (connection);
      return;
    }
  snprintf (event, sizeof event, "id: %u\ndata: word\n\n", ++stream->next);
  snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (event), event);
  eg_socket_write (&connection->socket, eg_str_from (chunk));
  soak_http_schedule (connection, EVENT_MS, on_event);
}

static void
begin_stream (struct engine *self, struct soak_http_connection *connection)
{
  const struct eg_http_head *head = &connection->reader.head;
  struct eg_str parts = eg_http_head_find (head, "x-prefix-hash");
  struct stream *stream = calloc (1, sizeof *stream);

  EG_INVARIANT (stream);
  connection->state = stream;
  stream->engine = self;
  eg_str_copy (eg_http_head_find (head, "x-attempt-id"), stream->id,
               sizeof stream->id);
  eg_str_cut (&parts, ',');
  stream->deadly = eg_str_starts_with (parts, EG_STR ("dead:"));
  note ("engine %s runs %s", self->id, stream->id);
  soak_http_schedule (connection, PROMPT_MS, on_event);
}

static void
handle_report (struct engine *self, struct soak_http_connection *connection)
{
  char text[320];

  snprintf (text, sizeof text,
            "{\"stage\":\"combined\",\"models\":[{\"name\":\"m0\","
            "\"version\":1,\"adapters\":[]}],\"busy\":false,"
            "\"sequence\":0,\"queued\":0,\"active\":0,\"kvUsed\":0,"
            "\"kvTotal\":100000,\"kvHandles\":0,\"born\":%" PRId64 "}",
            self->born_ms);
  soak_http_respond (connection, 200,
                     EG_STR ("Content-Type: application/json\r\n"),
                     eg_str_from (text));
}

static void
on_engine_request (void *context, struct soak_http_connection *connection)
{
  struct engine *self = context;
  const struct eg_http_head *head = &connection->reader.head;

  if (!eg_str_equal (eg_http_head_find (head, "x-expect-instance"),
                     eg_str_from (self->id)))
    soak_http_respond (connection, 421, EG_STR (""), EG_STR (""));
  else if (eg_str_equal (eg_http_head_target (head),
                         EG_STR ("/eelgrasswood/report")))
    handle_report (self, connection);
  else
    begin_stream (self, connection);
}

static void
start_engines (void)
{
  for (unsigned i = 0; i < ENGINES; i++)
    {
      struct engine *self = &world.engines[i];

      self->world = &world;
      self->number = i;
      soak_http_server_init (&self->server, &world.loop, 0, on_engine_request,
                             self);
      uv_timer_init (&world.loop, &self->timer);
      self->timer.data = self;
      start_engine (self);
    }
}

/* The operator. */

static void
put_configuration (void)
{
  static const char text[] =
      "{\"version\":7,\"routes\":["
      "{\"name\":\"r-a\",\"host\":\"a.example\",\"pathPrefix\":\"/w/\","
      "\"kind\":\"streaming\",\"timeoutMs\":20000,\"goalLatencyMs\":500,"
      "\"priority\":1,\"service\":\"writer\",\"maxAttempts\":2,"
      "\"public\":false,\"sticky\":true,\"resumable\":false,"
      "\"gapGoalMs\":200}],"
      "\"services\":[{\"name\":\"writer\",\"healthPath\":\"/healthz\","
      "\"maxConnections\":1048,\"protocol\":\"h1\",\"tls\":false,"
      "\"engine\":{\"slots\":192,\"kvCapacityTokens\":100000,"
      "\"kvBytes\":426000,\"models\":[{\"name\":\"m0\",\"pace\":1.0,"
      "\"loadS\":14.0,\"warmS\":1.0}],\"step_ms\":0.85,"
      "\"read_per_s\":272000.0,\"report_lag_ms\":200.0,"
      "\"usual\":{\"prompt\":772,\"answer\":150}}}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":"
      "[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]}";
  json_t *spec = json_loads (text, 0, NULL);

  EG_INVARIANT (spec);
  soak_store_put (&world.store, "config", "main", spec);
}

/* Entry VMs. */

static void
on_exit_of_vm (uv_process_t *process, int64_t status, int number)
{
  struct vm *self = process->data;

  self->running = false;
  note ("daemon %u ended: status %d, signal %d", self->number, (int) status,
        number);
  uv_close ((uv_handle_t *) process, NULL);
}

static uint16_t
find_free_port (void)
{
  struct soak_http_server probe;
  uint16_t port;

  soak_http_server_init (&probe, &world.loop, 0, NULL, NULL);
  soak_http_server_start (&probe);
  port = probe.endpoint.port;
  soak_http_server_stop (&probe);
  uv_run (&world.loop, UV_RUN_NOWAIT);
  return (uint16_t) (port >> 8 | port << 8);
}

static void
write_settings (const struct vm *self)
{
  char store[32];
  FILE *file = fopen (self->settings, "w");

  EG_INVARIANT (file);
  soak_format_address (world.store.server.endpoint, store, sizeof store);
  fprintf (file,
           "[node]\nname = \"edge-%u\"\nfailure_domain = \"room-%u\"\n"
           "first_start = %s\n\n[listen]\ncallers = \"127.0.0.1:%u\"\n"
           "readiness = \"127.0.0.1:%u\"\npeers = \"127.0.0.1:%u\"\n\n"
           "[store]\naddress = \"%s\"\n\n[limits]\nmemory_mb = 260\n"
           "descriptors = 4100\nlink_mbps = 1000.0\ncpu_share = 0.25\n\n"
           "[stop]\ngrace_s = 8\n\n[keys]\nrevocation_bounded = true\n"
           "revocation_ms = 5000\n\n[retry]\nratio = 0.2\nwindow_s = 10\n"
           "extra = 200\n\n[engines]\nstall_ms = 2000\nfenced = false\n",
           self->number, self->number, self->was_started ? "false" : "true",
           self->ports[0], self->ports[1], self->ports[2], store);
  fclose (file);
}

/* For the script, which ends what is left. */
static void
write_pid (const struct vm *self)
{
  char path[300];
  FILE *file;

  snprintf (path, sizeof path, "%s/vm-%u.pid", world.folder, self->number);
  file = fopen (path, "w");
  EG_INVARIANT (file);
  fprintf (file, "%d\n", self->running ? (int) self->process.pid : 0);
  fclose (file);
}

static void
start_vm (struct vm *self, unsigned number)
{
  char variable[300];
  char log_path[300];
  char *arguments[] = {(char *) world.daemon, NULL};
  char *environment[] = {variable, NULL};
  uv_stdio_container_t outputs[3] = {{.flags = UV_IGNORE}};
  uv_process_options_t options = {.exit_cb = on_exit_of_vm,
                                  .file = world.daemon,
                                  .args = arguments,
                                  .env = environment,
                                  .stdio = outputs,
                                  .stdio_count = 3};
  FILE *log;

  self->world = &world;
  self->number = number;
  for (int i = 0; i < 3 && !self->was_started; i++)
    self->ports[i] = find_free_port ();
  snprintf (self->settings, sizeof self->settings, "%s/vm-%u.toml",
            world.folder, number);
  write_settings (self);
  self->was_started = true;
  snprintf (variable, sizeof variable, "EELGRASSWOOD_SETTINGS=%s",
            self->settings);
  snprintf (log_path, sizeof log_path, "%s/vm-%u.log", world.folder, number);
  log = fopen (log_path, "a");
  EG_INVARIANT (log);
  for (int i = 1; i < 3; i++)
    outputs[i] =
        (uv_stdio_container_t){.flags = UV_INHERIT_FD, .data.fd = fileno (log)};
  self->process.data = self;
  self->running = uv_spawn (&world.loop, &self->process, &options) == 0;
  fclose (log);
  write_pid (self);
}

/* Clients. */

static void send_request (struct client *self);

static void
on_client_timer (uv_timer_t *timer)
{
  send_request (timer->data);
}

static void
finish_request (struct client *self, uint64_t pause_ms)
{
  if (!world.stopping)
    uv_timer_start (&self->timer, on_client_timer, pause_ms, 0);
}

static enum eg_exchange_verdict
on_response_head (void *context, const struct eg_http_head *head)
{
  struct client *self = context;

  self->status = head->status;
  return EG_EXCHANGE_ACCEPT;
}

/* Returns the part of the day that a request belongs to, or NULL. */
static struct count *
find_count (const struct client *self)
{
  int64_t since_us = self->sent_us - world.fifth_us;

  if (self->sent_us - world.start_us < KILL_MS * EG_US_PER_MS)
    return &world.before;
  if (!world.trouble)
    return self->sent_us - world.start_us
                   >= (BACK_MS + 3 * STABLE_MS) * EG_US_PER_MS
               ? &world.after
               : NULL;
  return world.crashes >= 3 && since_us >= 2 * STABLE_MS * EG_US_PER_MS
             ? &world.after
             : NULL;
}

static void
count_request (const struct client *self)
{
  struct count *count = find_count (self);

  if (!count || world.stopping || self->deadly)
    return;
  count->sent++;
  count->served += self->status == 200;
}

/* Refused clients come back after a while. */
static uint64_t
pause_ms (const struct client *self)
{
  if (self->deadly && world.crashes >= ENGINES)
    return DEADLY_PAUSE_MS + eg_random_below (&world.random, DEADLY_PAUSE_MS);
  return self->status == 200 ? PAUSE_MS : 2 * PAUSE_MS;
}

static void
on_response_done (void *context)
{
  struct client *self = context;

  note ("client got %u for %s", self->status, self->id);
  count_request (self);
  finish_request (self, pause_ms (self));
}

static void
on_response_failed (void *context, enum eg_exchange_fault fault)
{
  struct client *self = context;

  if (fault != EG_EXCHANGE_UNREACHABLE)
    note ("client got no answer to %s: %s", self->id,
          eg_exchange_fault_name (fault));
  self->status = 0;
  count_request (self);
  finish_request (self, pause_ms (self));
}

static const struct eg_exchange_events client_events = {
    on_response_head, NULL, on_response_done, on_response_failed};

static void
send_request (struct client *self)
{
  struct eg_buffer head = {0};
  struct eg_exchange_request request = {.fresh = false};
  char address[32];
  char body[64] = "the prompt that all callers send";

  if (world.stopping)
    return;
  snprintf (address, sizeof address, "127.0.0.1:%u", self->vm->ports[0]);
  EG_INVARIANT (eg_endpoint_parse (eg_str_from (address), &request.endpoint));
  snprintf (self->id, sizeof self->id, "%016" PRIx64, ++world.next_request);
  if (self->deadly)
    snprintf (body, sizeof body, "prompt of %s", self->id);
  eg_buffer_printf (
      &head,
      "POST /w/origin HTTP/1.1\r\nHost: a.example\r\n"
      "X-Attempt-Id: %s\r\nX-Deadline-Ms: 20000\r\nX-Model: m0\r\n"
      "X-Token-Usage: 800,40\r\nX-Prefix-Hash: a0:40,%s:700,%s:60\r\n"
      "Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: %zu\r\n\r\n",
      self->id, self->deadly ? "dead" : "50d", self->deadly ? self->id : "1a57",
      strlen (body));
  request.body = eg_str_from (body);
  request.head = eg_buffer_view (&head);
  self->status = 0;
  self->sent_us = eg_clock_now_us ();
  note ("client sends %s%s to daemon %u", self->id,
        self->deadly ? " (deadly)" : "", self->vm->number);
  eg_exchange_init (&self->exchange, &client_events, self);
  if (!eg_exchange_start (&self->exchange, &self->pool, &request))
    on_response_failed (self, EG_EXCHANGE_UNREACHABLE);
  eg_buffer_finish (&head);
}

static void
on_traffic (uv_timer_t *timer)
{
  (void) timer;
  for (size_t i = 0; i < CLIENTS; i++)
    {
      struct client *self = &world.clients[i];

      self->world = &world;
      self->vm = &world.vms[i / CLIENTS_PER_VM];
      eg_exchange_pool_init (&self->pool, &world.loop, 10 * EG_US_PER_S);
      uv_timer_init (&world.loop, &self->timer);
      self->timer.data = self;
      self->deadly = i % CLIENTS_PER_VM == CALLERS_PER_VM;
      if (!self->deadly)
        send_request (self);
    }
}

static void
kill_vms (void)
{
  for (unsigned i = 0; i < VMS; i++)
    if (world.vms[i].running)
      uv_process_kill (&world.vms[i].process, SIGKILL);
}

/* The final fault: all processes are killed. */
static void
on_kill (uv_timer_t *timer)
{
  (void) timer;
  note ("all daemons are killed");
  kill_vms ();
}

static void
on_back (uv_timer_t *timer)
{
  (void) timer;
  for (unsigned i = 0; i < VMS; i++)
    start_vm (&world.vms[i], i);
  note ("all daemons are back");
  /* They come at any machine, at any time. */
  for (size_t i = CALLERS_PER_VM; i < CLIENTS && world.trouble;
       i += CLIENTS_PER_VM)
    uv_timer_start (&world.clients[i].timer, on_client_timer,
                    FIRST_MS + i / CLIENTS_PER_VM * GAP_MS
                        + eg_random_below (&world.random, GAP_MS / 2),
                    0);
}

static void
on_end (uv_timer_t *timer)
{
  (void) timer;
  world.stopping = true;
  kill_vms ();
  uv_stop (&world.loop);
}

static void
start_timer (uv_timer_t *timer, uv_timer_cb callback, uint64_t ms, uint64_t gap)
{
  uv_timer_init (&world.loop, timer);
  uv_timer_start (timer, callback, ms, gap);
}

int
main (int argc, char **argv)
{
  if (argc != 6)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  world.daemon = argv[1];
  world.folder = argv[2];
  world.record = fopen (argv[3], "w");
  world.trouble = strcmp (argv[4], "0") != 0;
  if (!world.record || uv_loop_init (&world.loop) != 0)
    return 2;
  eg_random_init (&world.random, strtoull (argv[5], NULL, 10));
  world.start_us = eg_clock_now_us ();
  soak_store_open (&world.store, &world.loop, &world.random);
  put_configuration ();
  start_engines ();
  for (unsigned i = 0; i < VMS; i++)
    start_vm (&world.vms[i], i);
  start_timer (&world.traffic_timer, on_traffic, TRAFFIC_MS, 0);
  start_timer (&world.kill_timer, on_kill, KILL_MS, 0);
  start_timer (&world.back_timer, on_back, BACK_MS, 0);
  start_timer (&world.end_timer, on_end, END_MS, 0);
  uv_run (&world.loop, UV_RUN_DEFAULT);
  note ("crashes %u; before: served %u of %u; after: served %u of %u",
        world.crashes, world.before.served, world.before.sent,
        world.after.served, world.after.sent);
  fclose (world.record);
  printf ("crashes %u; before: served %u of %u; after: served %u of %u\n",
          world.crashes, world.before.served, world.before.sent,
          world.after.served, world.after.sent);
  if (world.before.sent < 20 || world.after.sent < 20)
    return 2;
  /* Half as often as before. */
  return (uint64_t) world.after.served * world.before.sent * 2
         < (uint64_t) world.before.served * world.after.sent;
}
