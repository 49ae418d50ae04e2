/* Tests of what a daemon with the limits of the smallest VM does for ordinary
 * callers beside misbehaving clients, each kind alone and in pairs:
 * test_misbehaving_clients [TEST [SEED]]. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "test/streams_fixture.h"

/* Of the smallest VM. */
#define MEMORY_MB 112
#define DESCRIPTORS 2870
/* Fewer, so that the clients take all that the daemon allows to connections. */
#define FEW_DESCRIPTORS 600
#define MEMORY_BYTES ((uint64_t) MEMORY_MB << 20)
/* The smallest VM receives 14 Mbit/s with 0.084 cores; the daemon under test
 * has a whole core, so that it gets as many bytes per processor time. */
#define MISBEHAVING_BYTES_PER_S ((size_t) (14e6 / 8 / 0.084))
/* Clients that misbehave at a time, and connections that they open in all. */
#define CLIENTS 300
#define CONNECTS_MAX 400
/* Of what they send at a time, so that many of them make progress. */
#define PIECE_BYTES 4096
/* Limits of the default configuration. */
#define HEAD_BYTES_MAX 16384
#define BODY_BYTES_MAX ((size_t) 4194304)
/* Bodies of this mean length fill the memory if all clients send one. */
#define BODY_MEAN_BYTES 380000
/* Keeps what the kernel holds for a client that reads little small. */
#define RECEIVE_BUFFER_BYTES 4096
#define SLOW_MS 300
/* Of a plain route, and what its servers take of it. */
#define GOAL_MS 200
#define SERVER_MS 10
#define DEADLINE_MS 1200
#define SERVED_RATIO_MIN 0.95
#define READINESS_MAX_MS 1000
#define CALLER_INTERVAL_MS 40
#define PROBE_INTERVAL_MS 250
#define SAMPLE_INTERVAL_MS 50
#define STEP_MS 5
/* If a step of this process takes longer, the machine had no time for it: it
 * never waits for the daemon. The rest of the step is not counted as time that
 * a request has taken. */
#define STEP_MAX_MS 50
#define CALM_MS 1500
#define MISBEHAVING_MS 5000
#define LARGEST_MS 5000
#define LARGE_ANSWER_BYTES 260000
#define REQUESTS_MAX 512
/* A slow link, with a body that takes some seconds on it. */
#define SLOW_LINK_BYTES_PER_S 25000
#define SLOW_LINK_MS 7000

#define KINDS 5
#define TARGETS 5
#define FORMS_MAX 7

/** A port of the daemon and paths on it. */
struct target
{
  const char *name;
  const char *partial;  /**< Of requests that are not completed. */
  const char *complete; /**< Of the others; answered at length if possible. */
  size_t port_at;       /**< Of the port's number in struct streams_vm. */
};

/** What a client sends. */
enum start
{
  NO_FORM,
  NOTHING,
  POST,  /**< The begin of a request, @c fields, and units. */
  GET,   /**< A complete request, and units. */
  GETS,  /**< Complete requests, up to @c units. */
  POSTS, /**< The same, each with a body. */
};

/** A variant of a kind of misbehaviour. */
struct form
{
  enum start start;
  const char *fields; /**< NULL: a body of some legal length. */
  const char *unit;   /**< Sent again and again; NULL: none. */
  size_t units;       /**< Bytes of them; 0: all but the end of the body. */
  const char *tail;   /**< After the units; NULL: nothing. */
  size_t piece_max;   /**< Most bytes to send at a time; 0: PIECE_BYTES. */
  int interval_ms;    /**< Between times of sending or reading. */
  int read_max;       /**< Most bytes to read at a time; 0: all, -1: none. */
};

/** A kind of misbehaviour; clients use its variants in turn. */
struct kind
{
  const char *name;
  struct form forms[FORMS_MAX];
};

/** A client with one connection. */
struct client
{
  const struct target *target;
  const struct form *form;
  int socket; /**< -1: not connected. */
  struct eg_buffer head;
  struct eg_buffer unit;
  size_t units;
  size_t sent;
  int64_t next_us;
};

#define CALLERS offsetof (struct streams_vm, callers_port)
static const struct target targets[TARGETS] = {
    {"routed", "/once/partial", "/plain/x", CALLERS},
    {"unrouted", "/nowhere", "/nowhere", CALLERS},
    {"unserved", "/eelgrasswood/readyz", "/eelgrasswood/readyz", CALLERS},
    {"readiness", "/eelgrasswood/readyz", "/eelgrasswood/readyz",
     offsetof (struct streams_vm, readiness_port)},
    {"peers", "/metrics", "/metrics", offsetof (struct streams_vm, peers_port)},
};

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNK "20\r\n0123456789abcdef0123456789abcdef\r\n"
#define TRAILERS CHUNKED "1\r\nx\r\n0\r\n"
#define OVERSIZED (2 * BODY_BYTES_MAX)
/* What fits into a head after its begin. */
#define HEAD_ROOM (HEAD_BYTES_MAX - 200)

/* Initializes a form with the begin of a request, fields, and units. */
#define SEND(text, repeated, bytes, ...)                                       \
  {                                                                            \
    .start = POST, .fields = (text), .unit = (repeated), .units = (bytes),     \
    __VA_ARGS__                                                                \
  }

static const struct kind kinds[KINDS] = {
    /* Bodies of legal size that stop just before the end. */
    {"bodies",
     {SEND (NULL, "x", 0), SEND (NULL, "x", 0, .piece_max = 700),
      SEND (CHUNKED, CHUNK, 0),
      /* Six bytes for one of the body. */
      SEND (CHUNKED, "1\r\nx\r\n", 0)}},
    /* Bodies far beyond the limit, the last one a chunk without end. */
    {"oversized",
     {SEND ("Content-Length: 268435456\r\n\r\n", "x", OVERSIZED),
      SEND ("Content-Length: 9223372036854775807\r\n\r\n", "x", OVERSIZED),
      SEND (CHUNKED, CHUNK, OVERSIZED),
      SEND (CHUNKED "7fffffffffffffff\r\n", "x", OVERSIZED)}},
    /* Heads, trailers and extensions of chunks with many short parts. */
    {"fields",
     {SEND ("", "a:\r\n", HEAD_ROOM, .tail = "\r\n"),
      SEND ("", "a:\r\n", HEAD_ROOM), SEND ("a:", "x", HEAD_ROOM),
      SEND (TRAILERS, "a:b\r\n", BODY_BYTES_MAX),
      SEND (TRAILERS "a:", "x", BODY_BYTES_MAX),
      SEND (CHUNKED, "1;a=b;c=d;e=f\r\nx\r\n", BODY_BYTES_MAX)}},
    /* Requests on one connection, whose responses are not read. */
    {"pipelined",
     {{.start = GETS, .units = BODY_BYTES_MAX, .read_max = -1},
      {.start = POSTS, .units = BODY_BYTES_MAX, .read_max = -1}}},
    /* Clients that do little, or stop half-way. */
    {"slow_clients",
     {{.start = NOTHING},
      SEND ("", NULL, 0, .piece_max = 1, .interval_ms = SLOW_MS),
      SEND ("", NULL, 0),
      SEND (NULL, "x", 0, .piece_max = 200, .interval_ms = SLOW_MS),
      SEND ("Content-Length: 200000\r\n\r\n", "x", 100000),
      /* A response is read slowly, or not at all. */
      {.start = GET, .interval_ms = SLOW_MS, .read_max = 1},
      {.start = GET, .read_max = -1}}},
};

/** A request of an ordinary caller or of the load balancer. */
struct request
{
  struct eg_exchange exchange;
  int64_t start_us;
  int64_t start_stalled_us; /**< Value of get_stalled_us() at the start. */
  int64_t took_us;          /**< Until the end of the response, or until now. */
  unsigned status; /**< 0: the connection ended without a whole response. */
  bool ended;
  bool probe;
  bool calm; /**< Sent before the misbehaving clients. */
};

/** What was seen. */
struct figures
{
  uint64_t peak;          /**< Of the process, from the kernel. */
  uint64_t peak_received; /**< With what it has not read yet, in samples. */
  double calm;            /**< Share of requests served within the goal. */
  double served;
  unsigned probes_missed;
  int64_t slowest_probe_us;
  unsigned runs;     /**< Of requests that must not be repeated. */
  unsigned answered; /**< That may have run, by their responses. */
  unsigned largest;  /**< Status of a request of the largest legal size. */
  bool alive;
};

/** A test: one or two kinds of misbehaviour. */
struct scenario
{
  char name[64];
  const struct kind *kinds[2];
  /** NULL: all of them. */
  const struct target *target;
  unsigned descriptors;
};

static uint64_t seed = 20261205;
static struct streams_fixture fixture;
static struct client clients[CLIENTS];
static unsigned client_count;
static unsigned client_turn; /* Who sends next. */
static unsigned connects_left;
static size_t clients_sent; /* In bytes. */
static int64_t clients_start_us;
static struct eg_random clients_random;
static struct request requests[REQUESTS_MAX];
static unsigned request_count;
static int64_t step_us;    /* When the current step began. */
static int64_t stalled_us; /* In all steps before. */

static void
append_request (struct eg_buffer *out, const char *method, const char *path)
{
  static unsigned id;

  eg_buffer_printf (out,
                    "%s %s HTTP/1.1\r\nHost: streams.example\r\n"
                    "X-Attempt-Id: bad%u\r\nX-Deadline-Ms: 10000\r\n",
                    method, path, ++id);
}

/* Prepares what a new connection of a client sends. */
static void
compose (struct client *self)
{
  const struct form *form = self->form;
  size_t len = eg_random_below (&clients_random, 50) == 0
                   ? BODY_BYTES_MAX
                   : 2
                         + (size_t) eg_random_below (
                             &clients_random, UINT64_C (2) * BODY_MEAN_BYTES);

  eg_buffer_clear (&self->head);
  eg_buffer_clear (&self->unit);
  self->units = form->units > 0 ? form->units : form->unit ? len - 1 : 0;
  self->sent = 0;
  self->next_us = 0;
  if (form->start == POST)
    {
      append_request (&self->head, "POST", self->target->partial);
      if (form->fields)
        eg_buffer_append (&self->head, eg_str_from (form->fields));
      else
        eg_buffer_printf (&self->head, "Content-Length: %zu\r\n\r\n", len);
    }
  else if (form->start == GET)
    {
      append_request (&self->head, "GET", self->target->complete);
      eg_buffer_append (&self->head, EG_STR ("\r\n"));
    }
  while (self->unit.len < PIECE_BYTES && self->units > 0)
    {
      if (form->unit)
        {
          eg_buffer_append (&self->unit, eg_str_from (form->unit));
          continue;
        }
      append_request (&self->unit, form->start == GETS ? "GET" : "POST",
                      self->target->complete);
      if (form->start == POSTS)
        eg_buffer_printf (&self->unit, "Content-Length: 2000\r\n\r\n%2000s",
                          "");
      else
        eg_buffer_append (&self->unit, EG_STR ("\r\n"));
    }
}

static void
disconnect (struct client *self)
{
  if (self->socket >= 0)
    close (self->socket);
  self->socket = -1;
}

static void
connect_client (struct client *self)
{
  const int buffer = RECEIVE_BUFFER_BYTES;
  struct sockaddr_in to = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  uint16_t port;

  if (connects_left == 0)
    return;
  connects_left--;
  compose (self);
  memcpy (&port, (const char *) &fixture.vms[0] + self->target->port_at,
          sizeof port);
  to.sin_port = htons (port);
  self->socket = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_true (self->socket >= 0);
  if (self->form->read_max != 0)
    setsockopt (self->socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  if (connect (self->socket, (struct sockaddr *) &to, sizeof to) != 0
      && errno != EINPROGRESS)
    disconnect (self);
}

/* Returns what the client sends next. */
static struct eg_str
next_bytes (const struct client *self)
{
  size_t at = self->sent;
  size_t piece_max =
      self->form->piece_max > 0 ? self->form->piece_max : PIECE_BYTES;
  struct eg_str bytes;

  if (at < self->head.len)
    bytes = (struct eg_str){self->head.data + at, self->head.len - at};
  else if ((at -= self->head.len) < self->units)
    {
      size_t left = self->units - at;

      at %= self->unit.len;
      bytes = (struct eg_str){self->unit.data + at, self->unit.len - at};
      if (bytes.len > left)
        bytes.len = left;
    }
  else
    {
      bytes = eg_str_from (self->form->tail ? self->form->tail : "");
      at -= self->units;
      bytes.data += at;
      bytes.len -= at;
    }
  if (bytes.len > piece_max)
    bytes.len = piece_max;
  return bytes;
}

/* Reads what the client reads now; false if the connection has ended. */
static bool
read_some (struct client *self)
{
  static char bytes[65536];
  int max = self->form->read_max;
  size_t left = max == 0 ? SIZE_MAX : max < 0 ? 0 : (size_t) max;

  while (left > 0)
    {
      size_t len = left < sizeof bytes ? left : sizeof bytes;
      ssize_t got = recv (self->socket, bytes, len, 0);

      if (got < 0)
        return errno == EAGAIN || errno == EINTR;
      if (got == 0)
        return false;
      left -= (size_t) got;
    }
  return true;
}

/* A client whose connection was closed connects again. */
static void
step_client (struct client *self, int64_t now_us)
{
  struct eg_str bytes;
  ssize_t sent = 0;

  if (self->socket < 0)
    connect_client (self);
  if (self->socket < 0 || now_us < self->next_us)
    return;
  self->next_us = now_us + self->form->interval_ms * EG_US_PER_MS;
  bytes = next_bytes (self);
  if (bytes.len > 0)
    sent = send (self->socket, bytes.data, bytes.len, MSG_NOSIGNAL);
  if (sent > 0)
    {
      self->sent += (size_t) sent;
      clients_sent += (size_t) sent;
    }
  if ((sent < 0 && errno != EAGAIN && errno != EINTR) || !read_some (self))
    disconnect (self);
}

/* Lets the clients send and read within what their link carries. */
static void
step_clients (size_t bytes_per_s)
{
  int64_t now_us = eg_clock_now_us ();
  double allowed =
      (double) (now_us - clients_start_us) / EG_US_PER_S * (double) bytes_per_s;

  for (unsigned i = 0; i < client_count && (double) clients_sent <= allowed;
       i++)
    {
      client_turn = (client_turn + 1) % client_count;
      step_client (&clients[client_turn], now_us);
    }
}

static void
init_clients (void)
{
  client_count = 0;
  client_turn = 0;
  clients_sent = 0;
  clients_start_us = eg_clock_now_us ();
  connects_left = CONNECTS_MAX;
  eg_random_init (&clients_random, seed);
}

static void
add_client (const struct kind *kind,
            const struct target *target,
            unsigned number)
{
  struct client *client = &clients[client_count++];
  unsigned forms = 1;

  while (forms < FORMS_MAX && kind->forms[forms].start != NO_FORM)
    forms++;
  memset (client, 0, sizeof *client);
  client->target = target;
  client->form = &kind->forms[number % forms];
  client->socket = -1;
}

static void
finish_clients (void)
{
  for (unsigned i = 0; i < client_count; i++)
    {
      disconnect (&clients[i]);
      eg_buffer_finish (&clients[i].head);
      eg_buffer_finish (&clients[i].unit);
    }
  client_count = 0;
}

static int
start (void **state)
{
  const struct scenario *scenario = *state;
  struct streams_options options = {.retry_ratio = 0.2,
                                    .retry_extra = 200,
                                    .retry_window_ms = 10000,
                                    .plain = 2,
                                    .engines = 1,
                                    .plain_ms = SERVER_MS,
                                    .plain_goal_ms = GOAL_MS};
  const struct rlimit files = {scenario->descriptors, scenario->descriptors};
  char limits[128];

  snprintf (limits, sizeof limits,
            "memory_mb = %d\ndescriptors = %u\nlink_mbps = 14\n"
            "cpu_share = 0.084\n",
            MEMORY_MB, scenario->descriptors);
  options.limits = limits;
  streams_fixture_init (&fixture, &options);
  fixture.plain_bytes = LARGE_ANSWER_BYTES;
  fixture.plain_bytes_prefix = "/plain/";
  prlimit (fixture.vms[0].process.pid, RLIMIT_NOFILE, &files, NULL);
  request_count = 0;
  step_us = eg_clock_now_us ();
  return 0;
}

static int
stop (void **state)
{
  (void) state;
  for (unsigned i = 0; i < request_count; i++)
    eg_exchange_cancel (&requests[i].exchange);
  finish_clients ();
  /* A planned stop would take seconds. */
  if (fixture.vms[0].running)
    streams_vm_kill (&fixture, 0);
  streams_fixture_finish (&fixture);
  return 0;
}

static enum eg_exchange_verdict
on_head (void *context, const struct eg_http_head *head)
{
  ((struct request *) context)->status = head->status;
  return EG_EXCHANGE_ACCEPT;
}

/* Returns for how long this process has not run. */
static int64_t
get_stalled_us (void)
{
  int64_t excess_us = eg_clock_now_us () - step_us - STEP_MAX_MS * EG_US_PER_MS;

  return stalled_us + (excess_us > 0 ? excess_us : 0);
}

static void
run_step (void)
{
  streams_run (&fixture, STEP_MS);
  stalled_us = get_stalled_us ();
  step_us = eg_clock_now_us ();
}

static void
note_time (struct request *self)
{
  self->took_us = eg_clock_now_us () - self->start_us
                  - (get_stalled_us () - self->start_stalled_us);
}

static void
on_done (void *context)
{
  struct request *self = context;

  self->ended = true;
  note_time (self);
}

static void
on_failed (void *context, enum eg_exchange_fault fault)
{
  struct request *self = context;

  (void) fault;
  self->status = 0;
  on_done (self);
}

static const struct eg_exchange_events request_events = {on_head, NULL, on_done,
                                                         on_failed};

/* Sends a request on a new connection: a probe, or one with a body. */
static struct request *
send_request (bool probe, bool calm, struct eg_str body)
{
  struct request *self = &requests[request_count++];
  struct eg_exchange_request request = {
      .endpoint = {htonl (INADDR_LOOPBACK),
                   htons (probe ? fixture.vms[0].readiness_port
                                : fixture.vms[0].callers_port)},
      .body = body,
      .fresh = true};
  char head[256];

  assert_true (request_count <= REQUESTS_MAX);
  memset (self, 0, sizeof *self);
  self->start_us = eg_clock_now_us ();
  self->start_stalled_us = get_stalled_us ();
  self->probe = probe;
  self->calm = calm;
  if (probe)
    snprintf (head, sizeof head,
              "GET /eelgrasswood/readyz HTTP/1.1\r\nHost: balancer\r\n\r\n");
  else
    snprintf (head, sizeof head,
              "POST /once/x HTTP/1.1\r\nHost: streams.example\r\n"
              "X-Attempt-Id: ordinary%u\r\nX-Deadline-Ms: %d\r\n"
              "Content-Length: %zu\r\n\r\n",
              request_count, DEADLINE_MS, body.len);
  request.head = eg_str_from (head);
  eg_exchange_init (&self->exchange, &request_events, self);
  if (!eg_exchange_start (&self->exchange, &fixture.pool, &request))
    on_failed (self, EG_EXCHANGE_UNREACHABLE);
  return self;
}

static unsigned
count_once_runs (void)
{
  unsigned runs = 0;

  for (unsigned i = 0; i < STREAMS_SERVERS; i++)
    runs += fixture.engines[i].once_runs;
  return runs;
}

/* Returns a figure from the status of the daemon's process, in bytes. */
static uint64_t
read_status (const char *name)
{
  char path[48];
  char line[256];
  uint64_t kb = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", fixture.vms[0].process.pid);
  file = fopen (path, "r");
  if (!file)
    return 0;
  while (fgets (line, sizeof line, file))
    if (strncmp (line, name, strlen (name)) == 0)
      kb = strtoull (line + strlen (name) + 1, NULL, 10);
  fclose (file);
  return kb << 10;
}

/* Returns the bytes that the kernel holds for the daemon's ports until the
 * daemon reads them. */
static uint64_t
count_unread (void)
{
  const struct streams_vm *vm = &fixture.vms[0];
  FILE *file = fopen ("/proc/net/tcp", "r");
  uint64_t unread = 0;
  char line[256];

  assert_non_null (file);
  while (fgets (line, sizeof line, file))
    {
      unsigned port;
      unsigned state;
      uint64_t queued;

      /* A listener counts connections there. */
      if (sscanf (line, "%*u: %*x:%x %*x:%*x %x %*x:%" SCNx64, &port, &state,
                  &queued)
              == 3
          && state != TCP_LISTEN
          && (port == vm->callers_port || port == vm->readiness_port
              || port == vm->peers_port))
        unread += queued;
    }
  fclose (file);
  return unread;
}

static void
sample_memory (struct figures *figures)
{
  uint64_t peak = read_status ("VmHWM");
  uint64_t now = read_status ("VmRSS") + count_unread ();

  if (peak > figures->peak)
    figures->peak = peak;
  if (now > figures->peak_received)
    figures->peak_received = now;
}

/* Keeps a daemon that grows without a bound from taking the memory of the
 * machine. Its address space contains the stacks of threads, which it hardly
 * uses; so the bound of the test is that of the memory in use. */
static void
bound_address_space (void)
{
#ifndef __SANITIZE_ADDRESS__
  /* A sanitizer reserves far more address space. */
  const uint64_t bytes = read_status ("VmData") + 2 * MEMORY_BYTES;
  const struct rlimit limit = {bytes, bytes};

  prlimit (fixture.vms[0].process.pid, RLIMIT_DATA, &limit, NULL);
#endif
}

/* Sends the requests of ordinary callers and of the balancer for @p ms. */
static void
run (struct figures *figures, bool calm, int64_t ms)
{
  int64_t now_us = eg_clock_now_us ();
  int64_t end_us = now_us + ms * EG_US_PER_MS;
  int64_t caller_us = now_us;
  int64_t probe_us = now_us;
  int64_t sample_us = now_us;

  while (fixture.vms[0].running && now_us < end_us)
    {
      if (now_us >= caller_us)
        {
          send_request (false, calm, EG_STR ("body"));
          caller_us += CALLER_INTERVAL_MS * EG_US_PER_MS;
        }
      if (now_us >= probe_us)
        {
          send_request (true, calm, EG_STR (""));
          probe_us += PROBE_INTERVAL_MS * EG_US_PER_MS;
        }
      if (now_us >= sample_us)
        {
          sample_memory (figures);
          sample_us = now_us + SAMPLE_INTERVAL_MS * EG_US_PER_MS;
        }
      if (!calm)
        step_clients (MISBEHAVING_BYTES_PER_S);
      run_step ();
      now_us = eg_clock_now_us ();
    }
}

/* Waits until all requests have ended, or for @p ms. */
static void
wait_for_requests (int64_t ms)
{
  int64_t end_us = eg_clock_now_us () + ms * EG_US_PER_MS;

  for (unsigned i = 0; i < request_count; i++)
    while (!requests[i].ended && eg_clock_now_us () < end_us)
      run_step ();
}

/* Returns the share of the callers' requests that were served within the goal.
 */
static double
share_served (bool calm)
{
  unsigned sent = 0;
  unsigned served = 0;

  for (unsigned i = 0; i < request_count; i++)
    {
      const struct request *request = &requests[i];

      if (request->probe || request->calm != calm)
        continue;
      sent++;
      served += request->ended && request->status == 200
                && request->took_us <= GOAL_MS * EG_US_PER_MS;
    }
  return sent > 0 ? (double) served / sent : 0;
}

/* Returns whether a status guarantees that the request has not run. */
static bool
means_not_run (unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
note_requests (struct figures *figures)
{
  figures->calm = share_served (true);
  figures->served = share_served (false);
  for (unsigned i = 0; i < request_count; i++)
    {
      struct request *request = &requests[i];

      if (!request->ended)
        note_time (request);
      if (request->probe)
        {
          figures->probes_missed +=
              !request->ended || request->status != 200
              || request->took_us > READINESS_MAX_MS * EG_US_PER_MS;
          if (request->took_us > figures->slowest_probe_us)
            figures->slowest_probe_us = request->took_us;
        }
      else
        figures->answered +=
            !request->ended
            || (request->status != 0 && !means_not_run (request->status));
    }
}

/* Returns the status of a request of the largest legal size. */
static unsigned
request_largest (void)
{
  char *bytes = calloc (1, BODY_BYTES_MAX);
  const struct request *request;

  assert_non_null (bytes);
  request = send_request (false, false, (struct eg_str){bytes, BODY_BYTES_MAX});
  free (bytes);
  wait_for_requests (LARGEST_MS);
  return request->ended ? request->status : 0;
}

static void
add_clients (const struct scenario *scenario)
{
  unsigned count = scenario->kinds[1] ? 2 : 1;

  init_clients ();
  for (unsigned i = 0; i < CLIENTS; i++)
    {
      unsigned number = i / count;

      if (scenario->target)
        add_client (scenario->kinds[i % count], scenario->target, number);
      else
        add_client (scenario->kinds[i % count], &targets[number % TARGETS],
                    number / TARGETS);
    }
}

static void
print_figures (const struct scenario *scenario, const struct figures *figures)
{
  printf ("%s: seed %" PRIu64 ", %s, peak %.1f MB, with unread bytes %.1f MB, "
          "served %.3f of %.3f, %u probes missed, slowest %.0f ms, %u runs of "
          "%u, largest %u, %.1f MB sent, %u connections left\n",
          scenario->name, seed, figures->alive ? "alive" : "ENDED",
          (double) figures->peak / (1 << 20),
          (double) figures->peak_received / (1 << 20), figures->served,
          figures->calm, figures->probes_missed,
          (double) figures->slowest_probe_us / EG_US_PER_MS, figures->runs,
          figures->answered, figures->largest, (double) clients_sent / 1e6,
          connects_left);
}

/* Guards against clients that make a daemon exceed its memory, end, or keep
 * ordinary callers or the balancer waiting; against a request that runs though
 * it was not complete, or was rejected, or whose connection is closed without a
 * response. */
static void
test_misbehaviour (void **state)
{
  const struct scenario *scenario = *state;
  struct figures figures = {0};
  unsigned runs = count_once_runs ();
  int pid = fixture.vms[0].process.pid;

  bound_address_space ();
  run (&figures, true, CALM_MS);
  add_clients (scenario);
  run (&figures, false, MISBEHAVING_MS);
  /* The others stay connected until the last callers have their responses. */
  wait_for_requests (DEADLINE_MS);
  sample_memory (&figures);
  figures.runs = count_once_runs () - runs;
  note_requests (&figures);
  finish_clients ();
  streams_run (&fixture, 100);
  figures.largest = fixture.vms[0].running ? request_largest () : 0;
  figures.alive = fixture.vms[0].running && fixture.vms[0].process.pid == pid
                  && kill (pid, 0) == 0;
  print_figures (scenario, &figures);
  assert_true (figures.alive);
#ifndef __SANITIZE_ADDRESS__
  /* The memory of a sanitizer is not the daemon's. */
  assert_in_range (figures.peak, 1, MEMORY_BYTES);
  assert_in_range (figures.peak_received, 1, MEMORY_BYTES);
#endif
  assert_true (figures.calm > 0);
  assert_true (figures.served >= SERVED_RATIO_MIN * figures.calm);
  assert_int_equal (figures.probes_missed, 0);
  assert_in_range (figures.runs, 0, figures.answered);
  assert_int_equal (figures.largest, 200);
}

/* Guards against minimum rates that a client on a slow link cannot reach. */
static void
test_client_on_slow_link_is_served (void **state)
{
  static const struct kind slow_link = {
      "slow_link",
      {SEND ("Content-Length: 100000\r\n\r\n", "x", 100000, .piece_max = 250,
             .read_max = -1)}};
  int64_t end_us = eg_clock_now_us () + SLOW_LINK_MS * EG_US_PER_MS;
  char head[16] = "";
  ssize_t len = -1;

  (void) state;
  init_clients ();
  add_client (&slow_link, &targets[0], 0);
  while (len < 0 && eg_clock_now_us () < end_us)
    {
      step_clients (SLOW_LINK_BYTES_PER_S);
      streams_run (&fixture, STEP_MS);
      if (clients_sent > 100000)
        len = recv (clients[0].socket, head, sizeof head - 1, 0);
    }
  assert_true (len > 0);
  assert_string_equal (head, "HTTP/1.1 200 OK");
}

#define PAIRS (KINDS * (KINDS - 1) / 2)
/* And one with few descriptors. */
#define SCENARIOS (KINDS * TARGETS + PAIRS + 1)

/* Appends a scenario and its test, named after it. */
static void
add_scenario (struct scenario *scenario, struct CMUnitTest *test)
{
  const struct CMUnitTest added = {scenario->name, test_misbehaviour, start,
                                   stop, scenario};

  *test = added;
}

int
main (int argc, char **argv)
{
  static struct scenario scenarios[SCENARIOS];
  static const struct scenario slow_link = {.descriptors = DESCRIPTORS};
  static struct CMUnitTest tests[SCENARIOS + 1];
  size_t count = 0;

  for (unsigned i = 0; i < KINDS; i++)
    {
      const struct kind *kind = &kinds[i];

      for (unsigned j = 0; j < TARGETS; j++)
        {
          struct scenario *scenario = &scenarios[count];

          *scenario = (struct scenario){"", {kind}, &targets[j], DESCRIPTORS};
          snprintf (scenario->name, sizeof scenario->name, "test_%s_at_%s",
                    kind->name, scenario->target->name);
          add_scenario (scenario, &tests[count++]);
        }
      for (unsigned j = i + 1; j < KINDS; j++)
        {
          struct scenario *scenario = &scenarios[count];

          *scenario =
              (struct scenario){"", {kind, &kinds[j]}, NULL, DESCRIPTORS};
          snprintf (scenario->name, sizeof scenario->name, "test_%s_and_%s",
                    kind->name, kinds[j].name);
          add_scenario (scenario, &tests[count++]);
        }
    }
  scenarios[count] = (struct scenario){"test_slow_clients_at_connection_limit",
                                       {&kinds[KINDS - 1]},
                                       &targets[0],
                                       FEW_DESCRIPTORS};
  add_scenario (&scenarios[count], &tests[count]);
  tests[SCENARIOS] = (struct CMUnitTest){"test_client_on_slow_link_is_served",
                                         test_client_on_slow_link_is_served,
                                         start, stop, (void *) &slow_link};
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  if (argc > 2)
    seed = strtoull (argv[2], NULL, 10);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
