/* Entry daemon: a single event loop that owns all state. */
#include <argtable2.h>
#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"
#include "entry/monitor.h"
#include "platform/configuration.h"

#define EXIT_USAGE 2
/* Interval of periodic work. A shorter one, such as a tenth of the shortest
 * latency goal, would cause more wake-ups than the traffic itself. */
#define TICK_INTERVAL_MS 25
/* Ticks over which their lateness is averaged. */
#define LATENESS_TICKS 16
/* After a longer pause between two ticks, this VM itself did not run. */
#define TICK_LATE_US (75 * EG_US_PER_MS)
/* Shorter pauses are frequent on a VM with a processor quota. */
#define LOGGED_PAUSE_US (500 * EG_US_PER_MS)
/* Idle time-out of connections to servers; servers may announce a shorter
 * one. */
#define POOL_IDLE_US (4 * EG_US_PER_S)
/* Maximum duration of a watch. Data from a peer's mirror is then at most
 * 3.2 s old, below the 5 s for which keys are valid, and a dead connection is
 * noticed within the 2 s available to react to a draining server. */
#define WATCH_WAIT_MS 800
/* Time to batch changes of server records; longer until STARTUP_US after the
 * start, while the fleet starts too and no client is waiting. */
#define SERVERS_BATCH_US (80 * EG_US_PER_MS)
#define SERVERS_BATCH_START_US (400 * EG_US_PER_MS)
#define STARTUP_US (3 * EG_US_PER_S)
/* Maximum wait for the list of members before the store is read; see
 * may_read(). */
#define FIRST_READ_WAIT_US (2 * EG_US_PER_S)
/* The load balancer removes a VM after two failed probes, one second apart. */
#define BALANCER_REMOVAL_US (2600 * EG_US_PER_MS)
/* Remaining part of the grace period when the last requests are aborted. */
#define STOP_MARGIN_US (450 * EG_US_PER_MS)
/* Remaining part of the grace period when the process exits, whether or not all
 * clients have received their responses. On a VM with 0.084 cores a tick can be
 * 90 ms late, and the process must end before it is killed. */
#define EXIT_MARGIN_US (300 * EG_US_PER_MS)

/* Larger allocations, such as bodies, are returned to the system when they are
 * freed, and grow without being copied. By default the C library raises this
 * threshold up to 32 MB, and freed bodies remain in the heap in pieces. */
#define MAPPED_BYTES_MIN 131072

static const int handled_signals[] = {SIGTERM, SIGINT, SIGHUP};
#define HANDLED_SIGNALS (sizeof handled_signals / sizeof handled_signals[0])

static struct eg_entry entry;

static void
on_configuration_list (void *context)
{
  (void) context;
}

static void
on_configuration_object (void *context, json_t *object, bool deleted)
{
  const char *name = eg_store_object_name (object);

  if (!deleted && name && strcmp (name, eg_configuration_name) == 0)
    eg_entry_accept_configuration (context, object);
}

static void
on_configuration_synced (void *context, int64_t as_of_us, bool listed)
{
  struct eg_entry *self = context;

  (void) listed;
  eg_connections_mirror_changed (&self->connections, eg_clock_now_us ());
  if (!self->configuration.reachable)
    eg_log (EG_LOG_NOTICE, "configuration", "event=store-back kind=config");
  self->configuration.reachable = true;
  eg_entry_configuration_read (self, as_of_us);
}

static const char *
source_name (const struct eg_store_feed *feed)
{
  return feed->call.store->is_peer ? "vm" : "store";
}

static void
on_configuration_lost (void *context, enum eg_store_outcome outcome)
{
  struct eg_entry *self = context;

  self->configuration.reachable = false;
  eg_log (EG_LOG_WARNING, "configuration",
          "event=store-lost kind=config source=%s outcome=%s age_ms=%" PRId64,
          source_name (&self->configuration_feed),
          eg_store_outcome_name (outcome),
          (eg_clock_now_us () - self->configuration.as_of_us) / EG_US_PER_MS);
}

static void
on_servers_list (void *context)
{
  struct eg_entry *self = context;

  eg_fleet_begin_list (&self->fleet);
}

static void
on_servers_object (void *context, json_t *object, bool deleted)
{
  struct eg_entry *self = context;

  eg_fleet_update_server (&self->fleet, object, deleted, eg_clock_now_us ());
}

static void
on_servers_synced (void *context, int64_t as_of_us, bool listed)
{
  struct eg_entry *self = context;

  (void) as_of_us;
  eg_fleet_synced (&self->fleet, listed, eg_clock_now_us ());
  eg_connections_mirror_changed (&self->connections, eg_clock_now_us ());
}

static void
on_servers_lost (void *context, enum eg_store_outcome outcome)
{
  struct eg_entry *self = context;

  eg_log (EG_LOG_WARNING, "fleet",
          "event=store-lost kind=servers source=%s outcome=%s",
          source_name (&self->servers_feed), eg_store_outcome_name (outcome));
}

static void
on_servers_outage_began (void *context)
{
  struct eg_entry *self = context;

  eg_fleet_store_lost (&self->fleet, eg_clock_now_us ());
}

static void
on_servers_outage_ended (void *context, int64_t end_us)
{
  struct eg_entry *self = context;

  eg_fleet_store_back (&self->fleet, end_us, eg_clock_now_us ());
}

/* What this VM has written may be lost, and what others have written may be
 * missing until they write it again. */
static void
on_store_restored (void *context, int64_t from, int64_t to)
{
  struct eg_entry *self = context;
  int64_t now_us = eg_clock_now_us ();

  (void) from;
  (void) to;
  eg_fleet_store_restored (&self->fleet, now_us);
  eg_members_store_restored (&self->members, now_us);
  eg_lease_store_restored (&self->planner.lease, now_us);
  eg_quarantine_store_restored (&self->quarantine_store);
}

static void
on_reported (void *context,
             struct eg_backend *backend,
             const struct eg_engine_report *report)
{
  struct eg_entry *self = context;

  eg_connections_report_received (&self->connections, backend, report);
}

static void
on_deferred (uv_timer_t *timer)
{
  struct eg_entry *self = timer->data;

  eg_connections_servers_changed (&self->connections, eg_clock_now_us ());
  eg_server_alerts_raise (&self->server_alerts, eg_clock_now_us ());
}

static void
on_connection_ended (void *context, struct eg_endpoint endpoint)
{
  struct eg_entry *self = context;

  eg_fleet_connection_ended (&self->fleet, endpoint, eg_clock_now_us ());
}

/* Calls are moved after the event that triggered the change has been handled
 * completely. */
static void
on_availability_changed (void *context)
{
  struct eg_entry *self = context;

  uv_timer_start (&self->deferred, on_deferred, 0, 0);
}

static void
on_limit_named (void *context, struct eg_backend *backend, double limit_per_s)
{
  eg_server_limits_named (context, backend, limit_per_s, eg_clock_now_us ());
}

/* Exits once all clients have received their responses, or when the grace
 * period is nearly over. */
static void
check_exit (struct eg_entry *self, bool is_overdue)
{
  size_t delivering = eg_connections_count_delivering (
      &self->connections, is_overdue ? SIZE_MAX : 1);

  if (delivering > 0 && !is_overdue)
    return;
  if (delivering > 0)
    eg_log (EG_LOG_WARNING, "main", "event=stop-cuts responses=%zu",
            delivering);
  uv_stop (&self->loop);
}

static void
check_stop (struct eg_entry *self, int64_t now_us)
{
  int64_t stopped_us = now_us - self->stop_us;
  int64_t grace_us = self->settings->stop_grace_ms * EG_US_PER_MS;

  if (self->stop_us == 0 || stopped_us < BALANCER_REMOVAL_US)
    return;
  eg_connections_close_idle (&self->connections);
  if (self->connections.running == 0)
    check_exit (self, stopped_us >= grace_us - EXIT_MARGIN_US);
  else if (stopped_us >= grace_us - STOP_MARGIN_US)
    {
      eg_log (EG_LOG_WARNING, "main", "event=stop-cuts requests=%zu",
              self->connections.running);
      eg_connections_abort_requests (&self->connections);
    }
}

/* On the first start of the system, VMs first determine which of them read
 * the store for the others. */
static bool
may_read (const struct eg_entry *self, int64_t now_us)
{
  return !self->settings->first_start || self->members.lists_read > 0
         || now_us - self->started_us >= FIRST_READ_WAIT_US;
}

/* Timers run before sockets are read. After a pause of this VM, what servers
 * sent meanwhile is read first: their silence is not judged by the VM's own. */
static bool
was_paused (struct eg_entry *self, int64_t now_us)
{
  int64_t pause_us = now_us - self->ticked_us;
  bool paused =
      self->ticked_us > 0 && !self->was_paused && pause_us >= TICK_LATE_US;

  if (self->ticked_us > 0)
    self->lateness_us +=
        (pause_us - TICK_INTERVAL_MS * EG_US_PER_MS - self->lateness_us)
        / LATENESS_TICKS;
  self->ticked_us = now_us;
  self->was_paused = paused;
  if (paused)
    eg_log (pause_us < LOGGED_PAUSE_US ? EG_LOG_DEBUG : EG_LOG_NOTICE, "main",
            "event=paused pause_ms=%" PRId64, pause_us / EG_US_PER_MS);
  return paused;
}

static void
on_tick (uv_timer_t *timer)
{
  struct eg_entry *self = timer->data;
  int64_t now_us = eg_clock_now_us ();

  if (was_paused (self, now_us))
    return;
  if (now_us - self->started_us >= STARTUP_US)
    self->servers_feed.batch_us = SERVERS_BATCH_US;
  if (may_read (self, now_us))
    eg_store_feed_check (&self->configuration_feed, now_us);
  if (may_read (self, now_us))
    eg_store_feed_check (&self->servers_feed, now_us);
  eg_fleet_check (&self->fleet, eg_members_count (&self->members), now_us);
  eg_reach_watch_check (&self->reach_watch, now_us);
  eg_peer_paths_check (&self->peer_paths, now_us);
  eg_monitor_check (self, now_us);
  eg_connections_check (&self->connections, now_us);
  eg_wait_queues_check (self, now_us);
  eg_planner_check (&self->planner, now_us);
  eg_members_check (&self->members, now_us);
  eg_configuration_spread_check (&self->configuration_spread, now_us);
  eg_crash_watch_check (&self->crash_watch, now_us);
  eg_vm_messages_check (&self->vm_messages, now_us);
  eg_quarantine_store_check (&self->quarantine_store, now_us);
  eg_exchange_pool_trim (&self->pool, now_us);
  eg_reload_check (&self->reload, now_us);
  check_stop (self, now_us);
  eg_log_queue_flush (&self->log_queue);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  struct eg_entry *self = handle->data;

  if (number == SIGHUP)
    {
      eg_log (EG_LOG_NOTICE, "main", "event=reload signal=%d", number);
      eg_reload_now (&self->reload);
      return;
    }
  if (self->stop_us > 0)
    return;
  self->stop_us = eg_clock_now_us ();
  eg_log (EG_LOG_NOTICE, "main", "event=stopping signal=%d requests=%zu",
          number, self->connections.running);
}

/* Signals that arrive before their handlers are installed stay pending. */
static void
set_signals_blocked (bool blocked)
{
  sigset_t set;

  sigemptyset (&set);
  for (size_t i = 0; i < HANDLED_SIGNALS; i++)
    sigaddset (&set, handled_signals[i]);
  sigprocmask (blocked ? SIG_BLOCK : SIG_UNBLOCK, &set, NULL);
}

static void
watch_signals (struct eg_entry *self, uv_signal_t *handles)
{
  for (size_t i = 0; i < HANDLED_SIGNALS; i++)
    {
      uv_signal_init (&self->loop, &handles[i]);
      handles[i].data = self;
      uv_signal_start (&handles[i], on_signal, handled_signals[i]);
    }
  set_signals_blocked (false);
}

static void
init_feeds (struct eg_entry *self)
{
  const struct eg_feed_events configuration_events = {
      .list_begins = on_configuration_list,
      .object = on_configuration_object,
      .synced = on_configuration_synced,
      .lost = on_configuration_lost,
      .context = self};
  const struct eg_feed_events servers_events = {
      .list_begins = on_servers_list,
      .object = on_servers_object,
      .synced = on_servers_synced,
      .lost = on_servers_lost,
      .outage_began = on_servers_outage_began,
      .outage_ended = on_servers_outage_ended,
      .context = self};
  const struct eg_feed_source configuration_source =
      eg_source_selector_feed_source (&self->configuration_source);
  const struct eg_feed_source servers_source =
      eg_source_selector_feed_source (&self->servers_source);

  eg_store_feed_init (&self->configuration_feed, &configuration_source,
                      eg_mirror_add (&self->mirror, eg_configuration_kind),
                      WATCH_WAIT_MS, 0, &self->random, &configuration_events);
  self->configuration_feed.call.by_value = true;
  eg_store_feed_init (&self->servers_feed, &servers_source,
                      eg_mirror_add (&self->mirror, eg_servers_kind),
                      WATCH_WAIT_MS, SERVERS_BATCH_START_US, &self->random,
                      &servers_events);
}

static int
run (struct eg_entry *self)
{
  const struct eg_fleet_events fleet_events = {.reported = on_reported,
                                               .availability_changed =
                                                   on_availability_changed,
                                               .limit_named = on_limit_named,
                                               .context = self};
  /* Their handlers stay in place until the process has ended. */
  static uv_signal_t signals[HANDLED_SIGNALS];
  struct eg_error error;
  bool opened;

  signal (SIGPIPE, SIG_IGN);
  eg_log_queue_init (&self->log_queue);
  eg_random_init (&self->random, eg_random_system_seed ());
  eg_metrics_init (&self->metrics);
  eg_entry_init_configuration (self);
  eg_wait_queues_init (&self->wait_queues);
  EG_INVARIANT (uv_loop_init (&self->loop) == 0);
  uv_timer_init (&self->loop, &self->deferred);
  self->deferred.data = self;
  eg_exchange_pool_init (&self->pool, &self->loop, POOL_IDLE_US);
  self->pool.events =
      (struct eg_exchange_pool_events){on_connection_ended, self};
  self->store_era =
      (struct eg_store_era){.restored = on_store_restored, .context = self};
  self->store.pool = &self->pool;
  self->store.era = &self->store_era;
  EG_INVARIANT (eg_endpoint_parse (eg_str_from (self->settings->store_address),
                                   &self->store.endpoint));
  eg_fleet_init (&self->fleet, &self->pool, &fleet_events);
  eg_vm_messages_init (&self->vm_messages, &self->members);
  eg_load_gossip_init (&self->load_gossip, self);
  eg_server_alerts_init (&self->server_alerts, self);
  eg_reach_watch_init (&self->reach_watch, self);
  eg_peer_paths_init (&self->peer_paths, self);
  eg_source_selector_init (&self->configuration_source, self);
  eg_source_selector_init (&self->servers_source, self);
  eg_mirror_init (&self->mirror);
  self->started_us = eg_clock_now_us ();
  init_feeds (self);
  eg_members_init (&self->members, self);
  eg_configuration_spread_init (&self->configuration_spread, self);
  eg_planner_init (&self->planner, self);
  eg_crash_watch_init (&self->crash_watch, self);
  eg_quarantine_store_init (&self->quarantine_store, self);
  opened = eg_connections_open (&self->connections, self, &error);
  if (!eg_vm_messages_open (&self->vm_messages, &self->loop,
                            self->members.own_endpoint))
    eg_log (EG_LOG_WARNING, "main", "event=loads-not-open address=%s",
            self->settings->listen_peers);
  if (opened)
    {
      watch_signals (self, signals);
      uv_timer_init (&self->loop, &self->tick);
      self->tick.data = self;
      uv_timer_start (&self->tick, on_tick, 0, TICK_INTERVAL_MS);
      eg_log (EG_LOG_NOTICE, "main",
              "event=started version=%s node=%s failure_domain=%s callers=%s",
              EG_VERSION, self->settings->name, self->settings->domain,
              self->settings->listen_callers);
      uv_run (&self->loop, UV_RUN_DEFAULT);
      eg_log (EG_LOG_NOTICE, "main", "event=stopped");
    }
  else
    eg_log (EG_LOG_ERROR, "main", "event=start-failed cause=\"%s\"",
            error.message);
  eg_log_queue_finish (&self->log_queue);
  return opened ? EXIT_SUCCESS : EXIT_FAILURE;
}

/** Parsed command line. */
struct arguments
{
  const char *settings_path;
  bool check;
  bool print;
  int exit_code; /**< Negative: continue. */
};

static void
print_help (void **table)
{
  printf ("Usage: eelgrass-entry");
  arg_print_syntax (stdout, table, "\n\n");
  printf (
      "Proxies requests of callers to model engines and plain services.\n\n");
  arg_print_glossary (stdout, table, "  %-24s %s\n");
  printf ("\nKeys of the settings file (TOML):\n");
  eg_settings_print_reference (&eg_entry_setting_table, stdout);
}

static void
parse_arguments (int argc, char **argv, struct arguments *arguments)
{
  struct arg_file *settings =
      arg_file0 ("s", "settings", "FILE",
                 "read the settings from FILE (default: the value of "
                 "EELGRASSWOOD_SETTINGS)");
  struct arg_file *check =
      arg_file0 (NULL, "check-settings", "FILE", "check FILE and exit");
  struct arg_file *print = arg_file0 (NULL, "print-settings", "FILE",
                                      "print the settings in force and exit");
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help and exit");
  struct arg_lit *version =
      arg_lit0 ("V", "version", "show the version and exit");
  struct arg_end *end = arg_end (8);
  void *table[] = {settings, check, print, help, version, end};
  int errors = arg_parse (argc, argv, table);

  *arguments = (struct arguments){getenv ("EELGRASSWOOD_SETTINGS"),
                                  check->count > 0, print->count > 0, -1};
  if (settings->count > 0)
    arguments->settings_path = settings->filename[0];
  if (arguments->check || arguments->print)
    arguments->settings_path =
        arguments->check ? check->filename[0] : print->filename[0];
  if (help->count > 0)
    {
      print_help (table);
      arguments->exit_code = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf ("eelgrass-entry %s\n", EG_VERSION);
      arguments->exit_code = EXIT_SUCCESS;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, "eelgrass-entry");
      arguments->exit_code = EXIT_USAGE;
    }
  else if (!arguments->settings_path)
    {
      fprintf (stderr, "eelgrass-entry: no settings file given; "
                       "see --help\n");
      arguments->exit_code = EXIT_USAGE;
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
}

int
main (int argc, char **argv)
{
  static struct eg_entry_settings settings;
  struct arguments arguments;
  struct eg_error error;
  int level;

  mallopt (M_MMAP_THRESHOLD, MAPPED_BYTES_MIN);
  set_signals_blocked (true);
  parse_arguments (argc, argv, &arguments);
  if (arguments.exit_code >= 0)
    return arguments.exit_code;
  if (eg_entry_settings_load (arguments.settings_path, &settings, &error)
      != EG_OK)
    {
      fprintf (stderr, "eelgrass-entry: %s\n", error.message);
      return EXIT_USAGE;
    }
  level = eg_log_level_from_name (settings.log_level);
  if (level < 0)
    {
      fprintf (stderr,
               "eelgrass-entry: %s: log.level: expected error, warning, "
               "notice, info or debug, found \"%s\"\n",
               arguments.settings_path, settings.log_level);
      return EXIT_USAGE;
    }
  if (arguments.print)
    eg_settings_print (&eg_entry_setting_table, &settings, stdout);
  if (arguments.check || arguments.print)
    return EXIT_SUCCESS;
  eg_log_configure ("eelgrass-entry", (enum eg_log_level) level);
  eg_reload_init (&entry.reload, &settings, arguments.settings_path);
  entry.settings = &settings;
  return run (&entry);
}
