/* A small deployment around entry daemons that run as separate processes: the
 * platform's store, a plain service whose servers are replaced one after the
 * other, and clients; then all daemons are killed at once. The ids of the new
 * servers are long; see review/seen/long-ids/claim.txt.
 *
 * usage: replaced DAEMON FOLDER RECORD TROUBLE SEED
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
#define PLAIN_SERVERS 3
/* The first ones and those that replace them. */
#define SERVERS_MAX (2 * PLAIN_SERVERS)
#define PLAIN_SLOTS 12
#define CLIENTS_PER_VM 2
/* What the pages set: drainMs, recoveryS. */
#define DRAIN_MS 2000
#define RECOVERY_MS 12000
/* Timetable, from the start of the daemons. */
#define TRAFFIC_MS 6000
#define RELEASE_MS 11000
#define RELEASE_GAP_MS 1000
#define OVERLAP_MS 500
#define KILL_MS 20000
#define BACK_MS 21000
#define RECOVERED_MS (BACK_MS + RECOVERY_MS)
#define END_MS 39000
#define WORK_MS 60
#define PAUSE_MS 100
#define ID_BYTES 96

struct world;

struct plain
{
  struct world *world;
  struct soak_http_server server;
  uv_timer_t timer;
  char id[ID_BYTES];
  unsigned running;
  bool draining;
};

struct plain_request
{
  struct plain *plain;
  char id[32];
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
  struct plain plains[SERVERS_MAX];
  struct vm vms[VMS];
  struct client clients[VMS * CLIENTS_PER_VM];
  uv_timer_t traffic_timer;
  uv_timer_t release_timer;
  uv_timer_t kill_timer;
  uv_timer_t back_timer;
  uv_timer_t end_timer;
  const char *daemon;
  const char *folder;
  FILE *record;
  int64_t start_us;
  uint64_t next_request;
  unsigned server_count;
  unsigned released;
  struct count before; /* The final fault. */
  struct count after;  /* From recoveryS after the VMs are back. */
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

/* The plain service. */

static void
on_worked (struct soak_http_connection *connection)
{
  struct plain_request *request = connection->state;
  char fields[160];
  char body[801];

  request->plain->running--;
  snprintf (fields, sizeof fields,
            "X-Attempt-Id: %s\r\nX-Server-Seal: s.%s\r\n"
            "X-Server-Load: %u,0,%d\r\n",
            request->id, request->id, request->plain->running, PLAIN_SLOTS);
  memset (body, 'r', sizeof body - 1);
  body[sizeof body - 1] = '\0';
  soak_http_respond (connection, 200, eg_str_from (fields), eg_str_from (body));
}

static void
on_plain_request (void *context, struct soak_http_connection *connection)
{
  struct plain *self = context;
  const struct eg_http_head *head = &connection->reader.head;
  struct plain_request *request = calloc (1, sizeof *request);
  char fields[96];

  EG_INVARIANT (request);
  connection->state = request;
  request->plain = self;
  eg_str_copy (eg_http_head_find (head, "x-attempt-id"), request->id,
               sizeof request->id);
  snprintf (fields, sizeof fields, "X-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n",
            request->id);
  if (!eg_str_equal (eg_http_head_find (head, "x-expect-instance"),
                     eg_str_from (self->id)))
    soak_http_respond (connection, 421, eg_str_from (fields), EG_STR (""));
  else if (self->running == PLAIN_SLOTS)
    soak_http_respond (connection, 503, eg_str_from (fields), EG_STR (""));
  else
    {
      self->running++;
      note ("server %s runs %s", self->id, request->id);
      soak_http_schedule (connection, WORK_MS, on_worked);
    }
}

static void
publish (struct plain *self)
{
  char address[32];

  soak_format_address (self->server.endpoint, address, sizeof address);
  soak_store_put (
      &world.store, "servers", self->id,
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "service",
                 "counter", "address", address, "zone", "room-0", "version",
                 "v1", "slots", PLAIN_SLOTS, "state",
                 self->draining ? "draining" : "ready", "coldRemainingMs", 0,
                 "sequence", 1, "born",
                 (json_int_t) (eg_clock_wall_us () / EG_US_PER_MS)));
}

static void
start_server (bool has_long_id)
{
  struct plain *self = &world.plains[world.server_count];

  EG_INVARIANT (world.server_count < SERVERS_MAX);
  self->world = &world;
  /* Of 71 bytes, or of 4; no page limits them. */
  snprintf (self->id, sizeof self->id,
            has_long_id ? "listing-counter-7d9f8b6c5d-%05u.aluva-room."
                          "ekm-region.platform.example"
                        : "i-p%u",
            world.server_count++);
  soak_http_server_init (&self->server, &world.loop, 0, on_plain_request, self);
  soak_http_server_start (&self->server);
  uv_timer_init (&world.loop, &self->timer);
  self->timer.data = self;
  note ("server %s starts", self->id);
  publish (self);
}

static void
on_drained_server (uv_timer_t *timer)
{
  struct plain *self = timer->data;

  note ("server %s exits", self->id);
  soak_http_server_stop (&self->server);
  soak_store_delete (&world.store, "servers", self->id);
}

static void
on_overlapped (uv_timer_t *timer)
{
  struct plain *self = timer->data;

  note ("server %s drains", self->id);
  self->draining = true;
  publish (self);
  uv_timer_start (timer, on_drained_server, DRAIN_MS + 500, 0);
}

/* One server after the other is replaced; the new one starts first. */
static void
on_release (uv_timer_t *timer)
{
  if (world.released == PLAIN_SERVERS)
    {
      uv_timer_stop (timer);
      return;
    }
  start_server (world.trouble);
  uv_timer_start (&world.plains[world.released++].timer, on_overlapped,
                  OVERLAP_MS, 0);
}

/* The operator. */

static void
put_configuration (void)
{
  static const char text[] =
      "{\"version\":7,\"routes\":["
      "{\"name\":\"r-b\",\"host\":\"a.example\",\"pathPrefix\":\"/c/\","
      "\"kind\":\"idempotent\",\"timeoutMs\":4000,\"goalLatencyMs\":300,"
      "\"priority\":2,\"service\":\"counter\",\"maxAttempts\":2,"
      "\"public\":false}],"
      "\"services\":[{\"name\":\"counter\",\"healthPath\":\"/healthz\","
      "\"maxConnections\":51,\"protocol\":\"h1\",\"tls\":false}],"
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
  int64_t at_us = self->sent_us - world.start_us;

  if (at_us < KILL_MS * EG_US_PER_MS)
    return &world.before;
  return at_us >= RECOVERED_MS * EG_US_PER_MS ? &world.after : NULL;
}

static void
count_request (const struct client *self)
{
  struct count *count = find_count (self);

  if (!count || world.stopping)
    return;
  count->sent++;
  count->served += self->status == 200;
}

static void
on_response_done (void *context)
{
  struct client *self = context;

  note ("client got %u for %s", self->status, self->id);
  count_request (self);
  finish_request (self, PAUSE_MS);
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
  finish_request (self, PAUSE_MS);
}

static const struct eg_exchange_events client_events = {
    on_response_head, NULL, on_response_done, on_response_failed};

static void
send_request (struct client *self)
{
  struct eg_buffer head = {0};
  struct eg_exchange_request request = {.fresh = false};
  char address[32];

  if (world.stopping)
    return;
  snprintf (address, sizeof address, "127.0.0.1:%u", self->vm->ports[0]);
  EG_INVARIANT (eg_endpoint_parse (eg_str_from (address), &request.endpoint));
  snprintf (self->id, sizeof self->id, "%016" PRIx64, ++world.next_request);
  eg_buffer_printf (&head,
                    "GET /c/%s HTTP/1.1\r\nHost: a.example\r\n"
                    "X-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n"
                    "Api-Key: n2ctnfzs989anu6wsjnb\r\n\r\n",
                    self->id, self->id);
  request.head = eg_buffer_view (&head);
  self->status = 0;
  self->sent_us = eg_clock_now_us ();
  note ("client sends %s to daemon %u", self->id, self->vm->number);
  eg_exchange_init (&self->exchange, &client_events, self);
  if (!eg_exchange_start (&self->exchange, &self->pool, &request))
    on_response_failed (self, EG_EXCHANGE_UNREACHABLE);
  eg_buffer_finish (&head);
}

static void
on_traffic (uv_timer_t *timer)
{
  (void) timer;
  for (size_t i = 0; i < sizeof world.clients / sizeof world.clients[0]; i++)
    {
      struct client *self = &world.clients[i];

      self->world = &world;
      self->vm = &world.vms[i / CLIENTS_PER_VM];
      eg_exchange_pool_init (&self->pool, &world.loop, 10 * EG_US_PER_S);
      uv_timer_init (&world.loop, &self->timer);
      self->timer.data = self;
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
  for (unsigned i = 0; i < PLAIN_SERVERS; i++)
    start_server (false);
  for (unsigned i = 0; i < VMS; i++)
    start_vm (&world.vms[i], i);
  start_timer (&world.traffic_timer, on_traffic, TRAFFIC_MS, 0);
  start_timer (&world.release_timer, on_release, RELEASE_MS, RELEASE_GAP_MS);
  start_timer (&world.kill_timer, on_kill, KILL_MS, 0);
  start_timer (&world.back_timer, on_back, BACK_MS, 0);
  start_timer (&world.end_timer, on_end, END_MS, 0);
  uv_run (&world.loop, UV_RUN_DEFAULT);
  note ("before: served %u of %u; recovered: served %u of %u",
        world.before.served, world.before.sent, world.after.served,
        world.after.sent);
  fclose (world.record);
  printf ("before: served %u of %u; recovered: served %u of %u\n",
          world.before.served, world.before.sent, world.after.served,
          world.after.sent);
  /* The rule compares with a quarter before the fault. */
  if (world.before.sent < 100 || world.after.sent < 20
      || world.before.served * 4 < world.before.sent)
    return 2;
  return world.after.served * 4 < world.after.sent;
}
