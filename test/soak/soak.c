/* Injects faults into running entry daemons and checks the responses that
 * clients get and the requests that backend servers see.
 * Usage: soak DAEMON DIRECTORY [FIRST-SEED [SEEDS [SECONDS]]]
 * SECONDS is the time from the start of a run until only planned events still
 * happen: backend servers leave, are full or name limits, and the configuration
 * changes.
 * With odd seeds, the backend servers are engines; with those divisible by 5,
 * there are planned events only, also stops of daemons. With the others, a
 * request crashes backend servers, or, if the seed is divisible by 3, a part of
 * the prompts of different requests. With some, daemons also lose their
 * paths to all backend servers: see choose_daemon_faults(). */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/status.h"
#include "test/soak/ports.h"
#include "test/soak/soak.h"

#define HEARTBEAT_INTERVAL_MS 400
#define CHECK_INTERVAL_MS 50
/* A copy to which the store may be taken back is this old at the most. */
#define STORE_COPY_INTERVAL_US (3 * EG_US_PER_S)
#define FAULT_GAP_MIN_MS 150
#define FAULT_GAP_JITTER_MS 700
/* Gives the daemons time to start serving. */
#define FIRST_FAULT_DELAY_MS 2500
/* Time with planned events only at the end of a run: recovery, then the
 * requests that count for the success ratio. */
#define FAULT_FREE_US (11 * EG_US_PER_S)
/* One seed in this many has planned events only. */
#define PLANNED_PERIOD 5
/* With one seed in this many, a part of prompts crashes servers. */
#define DEADLY_PART_PERIOD 3
/* What happens to daemons, by the remainder of the seed. */
#define DAEMON_FAULTS_PERIOD 16
/* In runs with this remainder of the period, the configuration fills most of an
 * object of the store, whose link is narrow. */
#define LARGE_PERIOD 7
#define LARGE_REMAINDER 4
#define LARGE_ROUTES 3500
#define NARROW_BYTES_PER_MS 1000
/* If this process pauses for longer, its backend servers do not respond. */
#define PAUSE_US EG_US_PER_S
/* Of requests sent after the recovery time, except those sent while all servers
 * are full or to a daemon in a planned stop. */
#define MIN_SUCCESS_RATIO 0.9

void
soak_violation (struct soak *self, const char *format, ...)
{
  va_list args;

  self->violation_count++;
  printf ("violation after %.2f s: ",
          (double) (eg_clock_now_us () - self->start_us) / EG_US_PER_S);
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
soak_write_configuration (struct soak *self)
{
  json_t *spec = json_pack (
      "{s:I, s:[o, o, o], s:[{s:s, s:s, s:i}], s:[{s:s, s:[s], s:i}]}",
      "version", (json_int_t) self->configuration_version, "routes",
      route ("/read/", "idempotent", false),
      route ("/write/", "non_idempotent", false),
      route ("/stream/", "streaming", true), "services", "name", "app",
      "healthPath", "/healthz", "maxConnections", 1000, "tenants", "name",
      "temple", "apiKeys", "secret", "priority", 1);

  EG_INVARIANT (spec);
  for (int64_t i = 0;
       i < SOAK_VERSION_ROUTES && i < self->configuration_version; i++)
    {
      char prefix[32];

      snprintf (prefix, sizeof prefix, "/v%" PRId64 "/",
                self->configuration_version - i);
      json_array_append_new (json_object_get (spec, "routes"),
                             route (prefix, "idempotent", false));
    }
  for (unsigned i = 0; i < self->routes_added; i++)
    {
      char prefix[32];

      snprintf (prefix, sizeof prefix, "/added-%u/", i);
      json_array_append_new (json_object_get (spec, "routes"),
                             route (prefix, "idempotent", false));
    }
  if (self->engines)
    json_object_set_new (
        json_array_get (json_object_get (spec, "services"), 0), "engine",
        json_pack ("{s:i, s:i, s:i}", "layers", SOAK_LAYERS, "kvCapacityTokens",
                   1000000, "step_ms", 15));
  soak_store_put (&self->store, "config", "main", spec);
}

void
soak_publish_configuration (struct soak *self)
{
  self->configuration_version++;
  self->published_us[self->configuration_version % SOAK_VERSION_ROUTES] =
      eg_clock_now_us ();
  soak_write_configuration (self);
}

static void
on_heartbeat_timer (uv_timer_t *timer)
{
  struct soak *self = timer->data;

  if (self->store_rewrite_us == 0
      && (self->store.mode == SOAK_STORE_HEALTHY
          || self->store.mode == SOAK_STORE_LOST_REPLIES))
    soak_backends_publish (self);
  if (eg_clock_now_us () - self->store_copied_us >= STORE_COPY_INTERVAL_US)
    {
      self->store_copied_us = eg_clock_now_us ();
      soak_store_copy_finish (&self->store_copy);
      soak_store_copy (&self->store, &self->store_copy);
    }
}

static void
stop_soak (struct soak *self)
{
  self->stopping = true;
  soak_clients_finish (self);
  soak_canary_finish (self);
  if (!self->planned_only)
    soak_deadly_finish (self);
  soak_clear_faults (self, true);
  for (int i = 0; i < SOAK_NODES; i++)
    {
      soak_node_signal (&self->nodes[i], SIGKILL);
      soak_proxy_close (&self->nodes[i].store_proxy);
      if (self->cuts)
        soak_cuts_close_paths (&self->nodes[i]);
      uv_close ((uv_handle_t *) &self->nodes[i].restart_timer, NULL);
    }
  for (int i = 0; i < SOAK_BACKENDS; i++)
    soak_backend_crash (&self->backends[i]);
  uv_close ((uv_handle_t *) &self->fault_timer, NULL);
  uv_close ((uv_handle_t *) &self->heartbeat_timer, NULL);
  uv_close ((uv_handle_t *) &self->check_timer, NULL);
  eg_exchange_pool_finish (&self->pool);
  soak_store_stop (&self->store);
}

static void
on_check_timer (uv_timer_t *timer)
{
  struct soak *self = timer->data;
  int64_t now_us = eg_clock_now_us ();

  if (now_us - self->last_check_us > PAUSE_US)
    {
      printf ("this process paused for %.2f s\n",
              (double) (now_us - self->last_check_us) / EG_US_PER_S);
      self->unplanned_us = now_us;
    }
  self->last_check_us = now_us;
  eg_exchange_pool_trim (&self->pool, now_us);
  soak_backends_check_leaving (self, now_us);
  soak_check_rewrite (self, now_us);
  soak_clear_faults (self, now_us >= self->faults_end_us);
  /* Last: a server starts again only after its listener has been closed. */
  for (int i = 0; i < SOAK_BACKENDS; i++)
    soak_deadly_check (&self->backends[i], now_us);
  if (now_us >= self->faults_end_us + FAULT_FREE_US)
    stop_soak (self);
}

static void
on_fault_timer (uv_timer_t *timer)
{
  struct soak *self = timer->data;

  if (eg_clock_now_us () < self->faults_end_us && !self->planned_only)
    soak_inject_fault (self);
  else
    soak_inject_planned (self);
  uv_timer_start (timer, on_fault_timer,
                  FAULT_GAP_MIN_MS
                      + eg_random_below (&self->random, FAULT_GAP_JITTER_MS),
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
check_results (struct soak *self)
{
  json_t *id;
  size_t index;

  json_array_foreach (
      self->reported_not_run, index,
      id) if (json_object_get (self->run_counts, json_string_value (id)))
      soak_violation (self, "request %s was refused although it ran",
                      json_string_value (id));
  soak_cuts_check (self);
  if (self->recovered_sent_count == 0
      || self->recovered_success_count
             < self->recovered_sent_count * MIN_SUCCESS_RATIO)
    soak_violation (self, "after recovery, only %u of %u requests succeeded",
                    self->recovered_success_count, self->recovered_sent_count);
}

static void
choose_daemon_faults (struct soak *self, uint64_t remainder)
{
  static const struct
  {
    bool cuts;
    bool cuts_alone;
  } choices[DAEMON_FAULTS_PERIOD] = {
      [2] = {true, true},   [3] = {true, true},   [6] = {true, false},
      [10] = {true, false}, [11] = {true, false}, [14] = {true, false},
  };

  self->cuts = choices[remainder].cuts;
  self->cuts_alone = choices[remainder].cuts_alone;
}

static bool
run_seed (const char *daemon,
          const char *directory,
          uint64_t seed,
          int64_t seconds)
{
  static struct soak soak;
  struct soak *self = &soak;
  bool passed;

  memset (self, 0, sizeof *self);
  self->daemon = daemon;
  self->directory = directory;
  self->run_counts = json_object ();
  self->reported_not_run = json_array ();
  eg_random_init (&self->random, seed);
  self->engines = seed % 2 == 1;
  self->planned_only = seed % PLANNED_PERIOD == 0;
  choose_daemon_faults (self, seed % DAEMON_FAULTS_PERIOD);
  uv_loop_init (&self->loop);
  eg_exchange_pool_init (&self->pool, &self->loop, EG_US_PER_S);
  self->start_us = eg_clock_now_us ();
  self->last_check_us = self->start_us;
  self->faults_end_us = self->start_us + seconds * EG_US_PER_S;
  soak_store_open (&self->store, &self->loop, &self->random);
  if (seed % LARGE_PERIOD == LARGE_REMAINDER)
    {
      self->routes_added = LARGE_ROUTES;
      self->store.server.bytes_per_ms = NARROW_BYTES_PER_MS;
    }
  soak_publish_configuration (self);
  soak_backends_init (self);
  soak_backends_publish (self);
  soak_nodes_init (self);
  soak_clients_init (self);
  soak_canary_init (self);
  if (!self->planned_only)
    soak_deadly_init (self, seed % DEADLY_PART_PERIOD == 0);
  start_timer (self, &self->heartbeat_timer, on_heartbeat_timer,
               HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS);
  start_timer (self, &self->check_timer, on_check_timer, CHECK_INTERVAL_MS,
               CHECK_INTERVAL_MS);
  start_timer (self, &self->fault_timer, on_fault_timer, FIRST_FAULT_DELAY_MS,
               0);
  uv_run (&self->loop, UV_RUN_DEFAULT);
  check_results (self);
  passed = self->violation_count == 0;
  printf ("seed %" PRIu64 ": %s; %u requests, %u succeeded, %u faults, "
          "%u planned events, %u deadly crashes; after recovery %u of %u; "
          "without paths %u of %u, beside them %u of %u\n",
          seed, passed ? "passed" : "FAILED", self->sent_count,
          self->success_count, self->fault_count, self->planned_count,
          self->deadly.crashes, self->recovered_success_count,
          self->recovered_sent_count, self->cut_counts[true].served,
          self->cut_counts[true].sent, self->cut_counts[false].served,
          self->cut_counts[false].sent);
  fflush (stdout);
  soak_release_ports ();
  soak_store_close (&self->store);
  soak_store_copy_finish (&self->store_copy);
  uv_run (&self->loop, UV_RUN_DEFAULT);
  uv_loop_close (&self->loop);
  json_decref (self->run_counts);
  json_decref (self->reported_not_run);
  return passed;
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
      fprintf (stderr, "usage: soak DAEMON DIRECTORY [FIRST-SEED [SEEDS "
                       "[SECONDS]]]\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  for (uint64_t seed = first; seed < first + count; seed++)
    failed += !run_seed (argv[1], argv[2], seed, seconds);
  printf ("%" PRIu64 " passed, %u failed\n", count - failed, failed);
  return failed > 0;
}
