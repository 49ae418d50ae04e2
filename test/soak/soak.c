/* Plays faults against real daemons and checks what callers and backend servers
 * see: soak DAEMON FOLDER [FIRST-SEED [SEEDS [SECONDS]]] */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/status.h"
#include "test/soak/soak.h"

#define BEAT_MS 400
#define CHECK_MS 50
#define FAULT_GAP_MS_LEAST 150
#define FAULT_GAP_MS_MORE 700
/* Faults begin once the daemons serve. */
#define FIRST_FAULT_MS 2500
/* After the last fault: time to recover, and time that is judged. */
#define CALM_US (9 * EG_US_PER_S)
/* Share of requests that must succeed in the judged calm. */
#define CALM_GOOD_LEAST 0.9

void
soak_violation (struct soak *self, const char *format, ...)
{
  va_list args;

  self->violations++;
  printf ("violation after %.2f s: ",
          (double) (eg_clock_now_us () - self->begun_us) / EG_US_PER_S);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

static json_t *
route (const char *prefix, const char *kind, bool resumable)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b}",
                    "name", prefix, "host", "soak.example", "pathPrefix",
                    prefix, "kind", kind, "timeoutMs", 8000, "goalLatencyMs",
                    300, "priority", 1, "service", "app", "maxAttempts", 3,
                    "public", 0, "resumable", resumable);
}

void
soak_configure (struct soak *self)
{
  json_t *spec = json_pack (
      "{s:I, s:[o, o, o], s:[{s:s, s:s, s:i}], s:[{s:s, s:[s], s:i}]}",
      "version", (json_int_t) ++self->version, "routes",
      route ("/read/", "idempotent", false),
      route ("/write/", "non_idempotent", false),
      route ("/stream/", "streaming", true), "services", "name", "app",
      "healthPath", "/healthz", "maxConnections", 1000, "tenants", "name",
      "temple", "apiKeys", "secret", "priority", 1);

  EG_INVARIANT (spec);
  soak_store_put (&self->store, "config", "main", spec);
}

static void
on_beat (uv_timer_t *timer)
{
  struct soak *self = timer->data;

  if (self->store.mode == SOAK_STORE_SOUND
      || self->store.mode == SOAK_STORE_LOSSY)
    soak_backends_beat (self);
}

static void
stop_all (struct soak *self)
{
  self->over = true;
  soak_clients_finish (self);
  soak_faults_check (self, true);
  for (int i = 0; i < SOAK_NODES; i++)
    {
      soak_node_signal (&self->nodes[i], SIGKILL);
      soak_proxy_close (&self->nodes[i].to_store);
      uv_close ((uv_handle_t *) &self->nodes[i].restart, NULL);
    }
  for (int i = 0; i < SOAK_BACKENDS; i++)
    soak_backend_down (&self->backends[i]);
  uv_close ((uv_handle_t *) &self->faults, NULL);
  uv_close ((uv_handle_t *) &self->beats, NULL);
  uv_close ((uv_handle_t *) &self->ends, NULL);
  eg_exchange_pool_finish (&self->pool);
  soak_server_crash (&self->store.server);
}

static void
on_check (uv_timer_t *timer)
{
  struct soak *self = timer->data;
  int64_t now_us = eg_clock_now_us ();

  eg_exchange_pool_trim (&self->pool, now_us);
  soak_faults_check (self, now_us >= self->calm_us);
  if (now_us >= self->calm_us + CALM_US)
    stop_all (self);
}

static void
on_fault (uv_timer_t *timer)
{
  struct soak *self = timer->data;

  if (eg_clock_now_us () >= self->calm_us)
    return;
  soak_fault (self);
  uv_timer_start (timer, on_fault,
                  FAULT_GAP_MS_LEAST
                      + eg_random_below (&self->random, FAULT_GAP_MS_MORE),
                  0);
}

static void
start_timer (struct soak *self,
             uv_timer_t *timer,
             uv_timer_cb call,
             uint64_t first_ms,
             uint64_t repeat_ms)
{
  uv_timer_init (&self->loop, timer);
  timer->data = self;
  uv_timer_start (timer, call, first_ms, repeat_ms);
}

static void
judge (struct soak *self)
{
  json_t *id;
  size_t index;

  json_array_foreach (
      self->promised, index,
      id) if (json_object_get (self->runs, json_string_value (id)))
      soak_violation (self, "request %s was refused and has run",
                      json_string_value (id));
  if (self->calm_sent == 0
      || self->calm_good < self->calm_sent * CALM_GOOD_LEAST)
    soak_violation (self, "in the calm %u of %u requests succeeded",
                    self->calm_good, self->calm_sent);
}

static bool
play (const char *daemon, const char *folder, uint64_t seed, int64_t seconds)
{
  static struct soak soak;
  struct soak *self = &soak;
  bool good;

  memset (self, 0, sizeof *self);
  self->daemon = daemon;
  self->folder = folder;
  self->runs = json_object ();
  self->promised = json_array ();
  eg_random_init (&self->random, seed);
  uv_loop_init (&self->loop);
  self->loop.data = self;
  eg_exchange_pool_init (&self->pool, &self->loop, EG_US_PER_S);
  self->begun_us = eg_clock_now_us ();
  self->calm_us = self->begun_us + seconds * EG_US_PER_S;
  soak_store_open (&self->store, &self->loop, &self->random);
  soak_configure (self);
  soak_backends_init (self);
  soak_backends_beat (self);
  soak_nodes_init (self);
  soak_clients_init (self);
  start_timer (self, &self->beats, on_beat, BEAT_MS, BEAT_MS);
  start_timer (self, &self->ends, on_check, CHECK_MS, CHECK_MS);
  start_timer (self, &self->faults, on_fault, FIRST_FAULT_MS, 0);
  uv_run (&self->loop, UV_RUN_DEFAULT);
  judge (self);
  good = self->violations == 0;
  printf ("seed %" PRIu64 ": %s; %u requests, %u succeeded, %u faults; in the "
          "calm %u of %u\n",
          seed, good ? "passed" : "FAILED", self->sent, self->good,
          self->faults_begun, self->calm_good, self->calm_sent);
  fflush (stdout);
  soak_store_close (&self->store);
  uv_run (&self->loop, UV_RUN_DEFAULT);
  uv_loop_close (&self->loop);
  json_decref (self->runs);
  json_decref (self->promised);
  return good;
}

int
main (int argc, char **argv)
{
  uint64_t first = argc > 3 ? strtoull (argv[3], NULL, 10) : 1;
  uint64_t count = argc > 4 ? strtoull (argv[4], NULL, 10) : 1;
  int64_t seconds = argc > 5 ? strtoll (argv[5], NULL, 10) : 12;
  unsigned failed = 0;

  if (argc < 3)
    {
      fprintf (stderr, "usage: soak DAEMON FOLDER [FIRST-SEED [SEEDS "
                       "[SECONDS]]]\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  for (uint64_t seed = first; seed < first + count; seed++)
    failed += !play (argv[1], argv[2], seed, seconds);
  printf ("%" PRIu64 " passed, %u failed\n", count - failed, failed);
  return failed > 0;
}
