#include "review/standin-2/deployment.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <uv.h>

#include "base/clock.h"
#include "base/random.h"
#include "review/standin-2/path.h"
#include "test/soak/http_server.h"
#include "test/soak/ports.h"
#include "test/soak/store.h"

#define DAEMON "target/entry/eelgrass-entry"
#define MODEL_LAYERS 8
/* Time until a range of layers that was ordered is loaded. */
#define LOAD_MS 200
#define EVENTS 5
#define EVENT_MS 10
#define READY_WAIT_MS 10000
#define CANNOT_RUN 2
#define ENDED_WAIT_MS 3000

/** A server of the deployment. */
struct server
{
  struct soak_http_server http;
  char id[REVIEW_ID_BYTES];
  char service[REVIEW_ID_BYTES];
  bool used;
  bool is_engine;
  enum review_state state;
  int64_t born_ms;
  int64_t orders;
  uint32_t from;
  uint32_t to;
  unsigned runs;
  int64_t last_run_ms;
  uv_timer_t load;
  struct review_path path; /**< Its entry names it, if has_path. */
  bool has_path;
};

/** An entry VM. */
struct vm
{
  pid_t pid;
  const char *older; /**< Program of an older build, or NULL. */
  uint16_t callers;
  uint16_t readiness;
  uint16_t peers;
};

/** A request at a server; state of its connection. */
struct request
{
  struct server *server;
  char id[REVIEW_ID_BYTES];
  int events_left;
};

static struct
{
  uv_loop_t loop;
  uv_async_t ended;
  pthread_t thread;
  /* Held by the thread of the stand-ins while it runs a callback. */
  pthread_mutex_t lock;
  struct eg_random random;
  struct soak_store store;
  struct server servers[REVIEW_SERVERS_MAX];
  struct vm vms[REVIEW_VMS_MAX];
  char directory[64];
  FILE *record;
  int64_t start_ms;
  uv_timer_t turn;
} self;

int64_t
review_now_ms (void)
{
  return eg_clock_now_us () / EG_US_PER_MS;
}

void
review_sleep_ms (int64_t ms)
{
  struct timespec pause = {ms / 1000, ms % 1000 * 1000000};

  nanosleep (&pause, NULL);
}

bool
review_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return !text || strcmp (text, "0") != 0;
}

void
review_note (const char *format, ...)
{
  va_list args;

  flockfile (self.record);
  fprintf (self.record, "%8.3f s  ",
           (double) (review_now_ms () - self.start_ms) / 1000);
  va_start (args, format);
  vfprintf (self.record, format, args);
  va_end (args);
  fprintf (self.record, "\n");
  fflush (self.record);
  funlockfile (self.record);
}

static void
end_vms (void)
{
  for (size_t i = 0; i < REVIEW_VMS_MAX; i++)
    if (self.vms[i].pid > 0)
      {
        kill (self.vms[i].pid, SIGKILL);
        waitpid (self.vms[i].pid, NULL, 0);
        self.vms[i].pid = 0;
      }
}

static void
remove_directory (void)
{
  char path[128];

  for (unsigned i = 0; i < REVIEW_VMS_MAX; i++)
    {
      snprintf (path, sizeof path, "%s/vm-%u.toml", self.directory, i);
      unlink (path);
      snprintf (path, sizeof path, "%s/vm-%u.log", self.directory, i);
      unlink (path);
    }
  rmdir (self.directory);
}

void
review_cannot_run (const char *cause)
{
  review_note ("the case cannot run: %s", cause);
  fprintf (stderr, "the case cannot run: %s\n", cause);
  end_vms ();
  remove_directory ();
  _exit (CANNOT_RUN);
}

/* The thread of the stand-ins holds the lock, but for a moment in each turn. */
static void
on_turn (uv_timer_t *timer)
{
  (void) timer;
  pthread_mutex_unlock (&self.lock);
  sched_yield ();
  usleep (200);
  pthread_mutex_lock (&self.lock);
}

static void
on_end (uv_async_t *async)
{
  uv_stop (async->loop);
}

static void *
run_loop (void *context)
{
  (void) context;
  pthread_mutex_lock (&self.lock);
  uv_run (&self.loop, UV_RUN_DEFAULT);
  pthread_mutex_unlock (&self.lock);
  return NULL;
}

static void
lock (void)
{
  pthread_mutex_lock (&self.lock);
}

static void
unlock (void)
{
  pthread_mutex_unlock (&self.lock);
}

/* Writes a server's entry, as it would itself. */
static void
write_entry (struct server *server)
{
  char address[32];
  json_t *entry;

  if (self.store.mode != SOAK_STORE_HEALTHY)
    return;
  soak_format_address (server->has_path ? server->path.endpoint
                                        : server->http.endpoint,
                       address, sizeof address);
  entry = json_pack ("{s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:i, s:I}", "service",
                     server->service, "address", address, "zone", "zone-0",
                     "version", 1, "slots", 32, "state",
                     server->state == REVIEW_DRAINING ? "draining" : "ready",
                     "coldRemainingMs", 0, "sequence", 1, "born",
                     (json_int_t) server->born_ms);
  if (server->is_engine)
    json_object_update_new (
        entry,
        json_pack ("{s:s, s:s, s:[{s:s, s:i, s:[]}], s:{s:i, s:i, s:i}}",
                   "stage", "combined", "kind", "card", "models", "name",
                   "model", "version", 1, "adapters", "layers", "from",
                   (int) server->from, "to", (int) server->to, "version", 1));
  soak_store_put (&self.store, "servers", server->id, entry);
}

static void
on_loaded (uv_timer_t *timer)
{
  write_entry (timer->data);
}

/* Carries out an order to hold a range of layers. */
static void
handle_order (struct server *server, struct soak_http_connection *connection)
{
  json_t *order =
      json_loadb (connection->body.data, connection->body.len, 0, NULL);
  const json_t *expected = json_object_get (order, "expectedRevision");
  const char *operation =
      json_string_value (json_object_get (order, "operation"));
  unsigned status = 400;

  if (operation && strcmp (operation, "place") == 0)
    {
      status = 202;
      if (expected && json_integer_value (expected) != server->orders)
        status = 409;
    }
  if (status == 202)
    {
      server->from =
          (uint32_t) json_integer_value (json_object_get (order, "from"));
      server->to =
          (uint32_t) json_integer_value (json_object_get (order, "to"));
      server->orders++;
      review_note ("server %s: order to hold layers %u-%u", server->id,
                   server->from, server->to);
      uv_timer_start (&server->load, on_loaded, LOAD_MS, 0);
    }
  json_decref (order);
  soak_http_respond (connection, status, EG_STR (""), EG_STR ("{}"));
}

static void
respond_report (const struct server *server,
                struct soak_http_connection *connection)
{
  char text[512];

  snprintf (text, sizeof text,
            "{\"stage\":\"combined\",\"models\":[{\"name\":\"model\","
            "\"version\":1,\"adapters\":[]}],\"kind\":\"card\","
            "\"layers\":{\"from\":%u,\"to\":%u,\"version\":1},\"busy\":false,"
            "\"sequence\":%lld,\"queued\":0,\"active\":0,\"kvUsed\":0,"
            "\"kvTotal\":100000,\"kvHandles\":0,\"pace\":1.0,\"stalled\":[],"
            "\"born\":%lld}",
            server->from, server->to, (long long) server->orders,
            (long long) server->born_ms);
  soak_http_respond (connection, 200,
                     EG_STR ("Content-Type: application/json\r\n"),
                     eg_str_from (text));
}

static void
send_event (struct soak_http_connection *connection)
{
  struct request *request = connection->state;
  char event[64];
  char chunk[96];

  if (request->events_left == 0)
    {
      eg_socket_write (&connection->socket, EG_STR ("0\r\n\r\n"));
      soak_http_finish_request (connection);
      return;
    }
  snprintf (event, sizeof event, "id: %d\ndata: t\n\n",
            EVENTS + 1 - request->events_left--);
  snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (event), event);
  eg_socket_write (&connection->socket, eg_str_from (chunk));
  soak_http_schedule (connection, EVENT_MS, send_event);
}

static void
answer_stream (struct soak_http_connection *connection)
{
  struct request *request = connection->state;
  char head[384];

  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\n"
            "X-Server-Seal: seal-%s\r\nX-Weight-Versions: 1\r\n\r\n",
            request->id, request->id);
  eg_socket_write (&connection->socket, eg_str_from (head));
  request->events_left = EVENTS;
  send_event (connection);
}

/* The answer to HEAD has the head of that to GET, and no body. */
static void
answer_plain (struct soak_http_connection *connection)
{
  struct request *request = connection->state;
  bool no_body = strcmp (connection->reader.head.method, "HEAD") == 0;
  char body[REVIEW_ID_BYTES + 16];
  char head[384];

  snprintf (body, sizeof body, "answer to %s", request->id);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
            "Content-Length: %zu\r\nX-Attempt-Id: %s\r\n"
            "X-Server-Seal: seal-%s\r\n\r\n",
            strlen (body), request->id, request->id);
  eg_socket_write (&connection->socket, eg_str_from (head));
  if (!no_body)
    eg_socket_write (&connection->socket, eg_str_from (body));
  soak_http_finish_request (connection);
}

static void
run_request (struct server *server, struct soak_http_connection *connection)
{
  struct request *request = calloc (1, sizeof *request);

  connection->state = request;
  request->server = server;
  eg_str_copy (eg_http_head_find (&connection->reader.head, "x-attempt-id"),
               request->id, sizeof request->id);
  if (server->is_engine && server->to < MODEL_LAYERS)
    {
      soak_http_respond (connection, 421, EG_STR (""), EG_STR (""));
      return;
    }
  server->runs++;
  server->last_run_ms = review_now_ms ();
  review_note ("server %s runs request %s (%s)", server->id, request->id,
               connection->reader.head.method);
  soak_http_schedule (connection, 5,
                      server->is_engine ? answer_stream : answer_plain);
}

static void
on_request (void *context, struct soak_http_connection *connection)
{
  struct server *server = context;
  const struct eg_http_head *head = &connection->reader.head;
  struct eg_str expected = eg_http_head_find (head, "x-expect-instance");
  struct eg_str target = eg_http_head_target (head);

  if (expected.data && !eg_str_equal (expected, eg_str_from (server->id)))
    soak_http_respond (connection, 421, EG_STR (""), EG_STR (""));
  else if (eg_str_equal (target, EG_STR ("/eelgrasswood/report")))
    respond_report (server, connection);
  else if (eg_str_equal (target, EG_STR ("/eelgrasswood/order")))
    handle_order (server, connection);
  else
    run_request (server, connection);
}

void
review_begin (const char *folder)
{
  char path[256];

  snprintf (path, sizeof path, "%s/record.txt", folder);
  self.record = fopen (path, "w");
  if (!self.record)
    exit (CANNOT_RUN);
  self.start_ms = review_now_ms ();
  signal (SIGPIPE, SIG_IGN);
  snprintf (self.directory, sizeof self.directory, "/tmp/review-XXXXXX");
  if (!mkdtemp (self.directory))
    review_cannot_run ("no temporary folder");
  review_note ("the case runs %s its disruption",
               review_has_trouble () ? "with" : "without");
  eg_random_init (&self.random, eg_random_system_seed ());
  pthread_mutex_init (&self.lock, NULL);
  uv_loop_init (&self.loop);
  uv_async_init (&self.loop, &self.ended, on_end);
  uv_timer_init (&self.loop, &self.turn);
  uv_timer_start (&self.turn, on_turn, 1, 2);
  soak_store_open (&self.store, &self.loop, &self.random);
  for (size_t i = 0; i < REVIEW_SERVERS_MAX; i++)
    uv_timer_init (&self.loop, &self.servers[i].load);
  if (pthread_create (&self.thread, NULL, run_loop, NULL) != 0)
    review_cannot_run ("no thread");
}

void
review_end (void)
{
  end_vms ();
  uv_async_send (&self.ended);
  pthread_join (self.thread, NULL);
  remove_directory ();
  fclose (self.record);
}

void
review_write_configuration (const char *text)
{
  json_t *spec = json_loads (text, 0, NULL);

  if (!spec)
    review_cannot_run ("the configuration is no JSON");
  lock ();
  soak_store_put (&self.store, "config", "main", spec);
  review_note (
      "operator: configuration of version %lld is acknowledged",
      (long long) json_integer_value (json_object_get (spec, "version")));
  unlock ();
}

void
review_start_server (unsigned number,
                     const char *id,
                     const char *service,
                     bool is_engine)
{
  struct server *server = &self.servers[number];

  lock ();
  snprintf (server->id, sizeof server->id, "%s", id);
  snprintf (server->service, sizeof server->service, "%s", service);
  server->is_engine = is_engine;
  server->used = true;
  server->load.data = server;
  server->born_ms = eg_clock_wall_us () / EG_US_PER_MS;
  soak_http_server_init (&server->http, &self.loop, 0, on_request, server);
  soak_http_server_start (&server->http);
  write_entry (server);
  review_note ("server %s of service %s starts", id, service);
  unlock ();
}

static void
note_text (const char *text)
{
  review_note ("%s", text);
}

void
review_put_path (unsigned number)
{
  struct server *server = &self.servers[number];

  lock ();
  review_path_open (&server->path, &self.loop, server->http.endpoint,
                    note_text);
  server->has_path = true;
  write_entry (server);
  unlock ();
}

void
review_cut_path (unsigned number, bool cut)
{
  struct server *server = &self.servers[number];

  lock ();
  review_path_cut (&server->path, cut);
  review_note ("the path to server %s is %s", server->id,
               cut ? "cut" : "whole again");
  unlock ();
}

void
review_set_state (unsigned number, enum review_state state)
{
  struct server *server = &self.servers[number];

  lock ();
  server->state = state;
  write_entry (server);
  review_note ("server %s: its entry says %s", server->id,
               state == REVIEW_DRAINING ? "draining" : "ready");
  unlock ();
}

void
review_stop_server (unsigned number)
{
  struct server *server = &self.servers[number];

  lock ();
  uv_timer_stop (&server->load);
  soak_http_server_stop (&server->http);
  review_note ("server %s has left; it ran %u requests", server->id,
               server->runs);
  unlock ();
}

void
review_restart_server (unsigned number)
{
  struct server *server = &self.servers[number];

  lock ();
  server->born_ms = eg_clock_wall_us () / EG_US_PER_MS;
  server->orders = 0;
  server->from = 0;
  server->to = 0;
  server->runs = 0;
  server->state = REVIEW_READY;
  soak_http_server_start (&server->http);
  review_note ("server %s starts again under its id, born %lld", server->id,
               (long long) server->born_ms);
  unlock ();
}

void
review_remove_entry (unsigned number)
{
  struct server *server = &self.servers[number];
  char key[REVIEW_ID_BYTES + 16];

  lock ();
  if (self.store.mode == SOAK_STORE_HEALTHY)
    {
      snprintf (key, sizeof key, "servers/%s", server->id);
      soak_store_delete (&self.store, "servers", server->id);
      review_note ("server %s: its entry is removed", server->id);
    }
  else
    review_note ("server %s: its entry cannot be removed now", server->id);
  unlock ();
}

void
review_set_store_down (bool down)
{
  lock ();
  self.store.mode = down ? SOAK_STORE_UNAVAILABLE : SOAK_STORE_HEALTHY;
  review_note ("the store is %s", down ? "down (503)" : "back");
  unlock ();
}

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_port = htons (port),
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  int connection = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (connect (connection, (struct sockaddr *) &address, sizeof address) == 0)
    return connection;
  close (connection);
  return -1;
}

static bool
is_ready (const struct vm *vm)
{
  char text[REVIEW_TEXT_BYTES];
  int connection = connect_to (vm->readiness);

  if (connection < 0)
    return false;
  review_send (connection, "GET /eelgrasswood/readyz HTTP/1.1\r\n"
                           "Host: vm\r\nConnection: close\r\n\r\n");
  review_receive (connection, text, sizeof text, 500);
  close (connection);
  return strncmp (text, "HTTP/1.1 200", 12) == 0;
}

static void
write_settings (const char *path,
                const struct vm *vm,
                unsigned number,
                bool first_start)
{
  FILE *file = fopen (path, "w");
  const char *grace = vm->older ? "grace_ms = 8000" : "grace_s = 8";
  const char *window = vm->older ? "window_ms = 10000" : "window_s = 10";

  if (!file)
    review_cannot_run ("no settings file");
  fprintf (file,
           "[node]\nname = \"vm-%u\"\nfailure_domain = \"zone-%u\"\n"
           "first_start = %s\n\n"
           "[listen]\ncallers = \"127.0.0.1:%u\"\n"
           "readiness = \"127.0.0.1:%u\"\npeers = \"127.0.0.1:%u\"\n\n"
           "[store]\naddress = \"127.0.0.1:%u\"\n\n"
           "[limits]\nmemory_mb = 260\ndescriptors = 4100\n"
           "link_mbps = 1000.0\ncpu_share = 0.25\n\n"
           "[stop]\n%s\n\n"
           "[keys]\nrevocation_bounded = true\nrevocation_ms = 5000\n\n"
           "[retry]\nratio = 0.2\n%s\nextra = 202\n\n"
           "[engines]\nstall_ms = 2000\nfenced = false\n",
           number, number, first_start ? "true" : "false", vm->callers,
           vm->readiness, vm->peers, ntohs (self.store.server.endpoint.port),
           grace, window);
  fclose (file);
}

static void
run_daemon (const char *program, const char *settings, const char *log)
{
  int out = open (log, O_WRONLY | O_CREAT | O_APPEND, 0666);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  setenv ("EELGRASSWOOD_SETTINGS", settings, 1);
  execl (program, program, (char *) NULL);
  _exit (127);
}

static void
start_vm (unsigned number, bool first_start)
{
  struct vm *vm = &self.vms[number];
  int64_t until_ms = review_now_ms () + READY_WAIT_MS;
  char settings[128];
  char log[128];

  snprintf (settings, sizeof settings, "%s/vm-%u.toml", self.directory, number);
  snprintf (log, sizeof log, "%s/vm-%u.log", self.directory, number);
  write_settings (settings, vm, number, first_start);
  vm->pid = fork ();
  if (vm->pid == 0)
    run_daemon (vm->older ? vm->older : DAEMON, settings, log);
  while (!is_ready (vm))
    {
      if (review_now_ms () > until_ms)
        review_cannot_run ("an entry VM is not ready");
      review_sleep_ms (100);
    }
  review_note ("entry VM %u is ready%s", number,
               vm->older ? "; it runs the older build" : "");
}

void
review_use_older_build (unsigned number, const char *program)
{
  self.vms[number].older = program;
}

void
review_start_vm (unsigned number)
{
  struct vm *vm = &self.vms[number];

  vm->callers = soak_find_free_port ();
  vm->readiness = soak_find_free_port ();
  vm->peers = soak_find_free_port ();
  start_vm (number, true);
}

void
review_restart_vm (unsigned number)
{
  struct vm *vm = &self.vms[number];

  review_note ("entry VM %u is killed and starts again", number);
  kill (vm->pid, SIGKILL);
  waitpid (vm->pid, NULL, 0);
  start_vm (number, false);
}

int
review_connect (unsigned vm)
{
  int connection = connect_to (self.vms[vm].callers);

  if (connection < 0)
    review_cannot_run ("an entry VM takes no connection");
  return connection;
}

void
review_send (int connection, const char *text)
{
  size_t len = strlen (text);

  while (len > 0)
    {
      ssize_t sent = send (connection, text, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      text += sent;
      len -= (size_t) sent;
    }
}

size_t
review_receive (int connection, char *text, size_t capacity, int64_t quiet_ms)
{
  struct pollfd waiting = {.fd = connection, .events = POLLIN};
  size_t len = 0;

  while (len + 1 < capacity && poll (&waiting, 1, (int) quiet_ms) > 0)
    {
      ssize_t got = recv (connection, text + len, capacity - 1 - len, 0);

      if (got <= 0)
        break;
      len += (size_t) got;
    }
  text[len] = '\0';
  return len;
}

unsigned
review_count_runs (unsigned number)
{
  unsigned runs;

  lock ();
  runs = self.servers[number].runs;
  unlock ();
  return runs;
}

int64_t
review_last_run_ms (unsigned number)
{
  int64_t at_ms;

  lock ();
  at_ms = self.servers[number].last_run_ms;
  unlock ();
  return at_ms;
}
