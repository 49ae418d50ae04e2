#include "entry/metrics.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "entry/entry.h"

static const char *const counter_names[] = {
    [EG_COUNT_CONNECTIONS] = "caller_connections_total",
    [EG_COUNT_REQUESTS] = "requests_total",
    [EG_COUNT_ANSWERED] = "requests_answered_total",
    [EG_COUNT_REFUSED] = "requests_refused_total",
    [EG_COUNT_FAILED] = "requests_failed_total",
    [EG_COUNT_ABANDONED] = "requests_abandoned_total",
    [EG_COUNT_STREAMS_ABORTED] = "streams_cut_total",
    [EG_COUNT_SENDS] = "sends_total",
    [EG_COUNT_RETRIES] = "retries_total",
    [EG_COUNT_RESUMES] = "stream_resumes_total",
    [EG_COUNT_REPATHS] = "stream_repaths_total",
    [EG_COUNT_RUNS_LOST] = "runs_lost_total",
    [EG_COUNT_QUARANTINED] = "requests_quarantined_total",
    [EG_COUNT_ORDERS] = "layer_orders_total",
    [EG_COUNT_HOPS_REFUSED] = "hops_refused_total",
    [EG_COUNT_HOPS_LOST] = "hops_lost_total",
    [EG_COUNT_FROM_PEERS] = "requests_from_peers_total",
    [EG_COUNT_RESPONSES_CUT] = "responses_cut_total",
    [EG_COUNT_CONFIGURATIONS_INVALID] = "configurations_invalid_total",
    [EG_COUNT_CONFIGURATION_DEFECTS] = "configuration_defects_total",
    [EG_COUNT_EXPLANATIONS] = "explanations_total",
    [EG_COUNT_MESSAGES_FOREIGN] = "messages_foreign_total",
};

static const char *const timing_names[] = {
    [EG_TIME_FIRST_EVENT] = "first_event_seconds",
    [EG_TIME_EVENT_GAP] = "event_gap_seconds",
    [EG_TIME_ANSWER] = "answer_seconds",
};

void
eg_metrics_init (struct eg_metrics *self)
{
  memset (self, 0, sizeof *self);
  for (size_t i = 0; i < EG_TIMINGS; i++)
    eg_histogram_init (&self->times[i]);
}

void
eg_metrics_count (struct eg_metrics *self, enum eg_counter counter)
{
  self->counts[counter]++;
}

void
eg_metrics_observe (struct eg_metrics *self,
                    enum eg_timing timing,
                    int64_t duration_us)
{
  eg_histogram_add (&self->times[timing], duration_us);
}

static void
print_timing (const struct eg_metrics *self,
              enum eg_timing timing,
              struct eg_buffer *out)
{
  static const int64_t bounds_ms[] = {5,   10,  25,   50,   100,  200,
                                      300, 500, 1000, 2000, 5000, 20000};
  const struct eg_histogram *times = &self->times[timing];
  const char *name = timing_names[timing];

  for (size_t i = 0; i < sizeof bounds_ms / sizeof bounds_ms[0]; i++)
    eg_buffer_printf (out, "eelgrasswood_%s_bucket{le=\"%g\"} %" PRIu64 "\n",
                      name, (double) bounds_ms[i] / 1000,
                      eg_histogram_cumulative_count (
                          times, (uint64_t) bounds_ms[i] * EG_US_PER_MS));
  eg_buffer_printf (out,
                    "eelgrasswood_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
                    "eelgrasswood_%s_sum %g\neelgrasswood_%s_count %" PRIu64
                    "\n",
                    name, times->count, name, (double) times->sum / EG_US_PER_S,
                    name, times->count);
}

static void
print_clients (const struct eg_entry *entry, struct eg_buffer *out)
{
  static const char *const ports[] = {[EG_LISTEN_CALLERS] = "callers",
                                      [EG_LISTEN_READINESS] = "readiness",
                                      [EG_LISTEN_PEERS] = "peers"};
  const struct eg_connections *connections = &entry->connections;

  for (size_t i = 0; i < EG_CLIENT_CAUSES; i++)
    eg_buffer_printf (out,
                      "eelgrasswood_clients_rejected_total{cause=\"%s\"}"
                      " %" PRIu64 "\n",
                      eg_client_cause_name ((enum eg_client_cause) i),
                      entry->metrics.clients[i]);
  for (size_t i = 0; i < EG_LISTENERS; i++)
    eg_buffer_printf (out, "eelgrasswood_client_connections{port=\"%s\"} %zu\n",
                      ports[i], connections->counts[i]);
  eg_buffer_printf (out,
                    "eelgrasswood_client_memory_bytes %zu\n"
                    "eelgrasswood_client_memory_bytes_max %zu\n"
                    "eelgrasswood_client_memory_budget_bytes %zu\n",
                    connections->memory.held, connections->memory.held_max,
                    connections->memory.budget);
}

void
eg_metrics_print (const struct eg_entry *entry, struct eg_buffer *out)
{
  const struct eg_metrics *self = &entry->metrics;
  int64_t now_us = eg_clock_now_us ();

  for (size_t i = 0; i < EG_COUNTERS; i++)
    eg_buffer_printf (out, "eelgrasswood_%s %" PRIu64 "\n", counter_names[i],
                      self->counts[i]);
  for (size_t i = 0; i < EG_RESEND_LIMITS; i++)
    eg_buffer_printf (out,
                      "eelgrasswood_streams_cut_by_limit_total{limit=\"%s\"}"
                      " %" PRIu64 "\n",
                      eg_resend_limit_name ((enum eg_resend_limit) i),
                      self->streams_aborted[i]);
  for (size_t i = 0; i < EG_RESEND_LIMITS; i++)
    eg_buffer_printf (out,
                      "eelgrasswood_requests_refused_by_limit_total{limit="
                      "\"%s\"} %" PRIu64 "\n",
                      eg_resend_limit_name ((enum eg_resend_limit) i),
                      self->refused[i]);
  for (size_t i = 0; i < EG_REACH_STATES; i++)
    eg_buffer_printf (
        out, "eelgrasswood_hops_total{reach=\"%s\"} %" PRIu64 "\n",
        eg_reach_state_name ((enum eg_reach_state) i), self->hops[i]);
  for (size_t i = 0; i < EG_TIMINGS; i++)
    print_timing (self, (enum eg_timing) i, out);
  print_clients (entry, out);
  eg_wait_queues_print (entry, out);
  eg_buffer_printf (
      out,
      "eelgrasswood_store_calls_total %" PRIu64 "\n"
      "eelgrasswood_undecodable_total{from=\"store\"} %" PRIu64 "\n"
      "eelgrasswood_undecodable_total{from=\"mirror\"} %" PRIu64 "\n"
      "eelgrasswood_undecodable_total{from=\"report\"} %" PRIu64 "\n"
      "eelgrasswood_undecodable_total{from=\"message\"} %" PRIu64 "\n"
      "eelgrasswood_messages_unknown_total %" PRIu64 "\n"
      "eelgrasswood_probes_total %" PRIu64 "\n"
      "eelgrasswood_server_pauses_total %" PRIu64 "\n"
      "eelgrasswood_server_connections_total %" PRIu64 "\n"
      "eelgrasswood_server_connections_reused_total %" PRIu64 "\n"
      "eelgrasswood_servers %zu\n"
      "eelgrasswood_servers_reach_lost %d\n"
      "eelgrasswood_servers_reach_losses_total %" PRIu64 "\n"
      "eelgrasswood_servers_limited %zu\n"
      "eelgrasswood_requests_running %zu\n"
      "eelgrasswood_configuration_version %" PRId64 "\n"
      "eelgrasswood_configuration_age_seconds %g\n"
      "eelgrasswood_ready %d\n",
      entry->store.calls, entry->store.undecodable,
      entry->configuration_source.peer.undecodable
          + entry->servers_source.peer.undecodable
          + entry->configuration_spread.peer.undecodable,
      entry->fleet.undecodable, entry->vm_messages.undecodable,
      entry->vm_messages.unknown.count, entry->fleet.probes,
      entry->fleet.pauses, entry->pool.opened, entry->pool.reused,
      entry->fleet.count, eg_server_reach_is_lost (&entry->fleet.reach),
      entry->reach_watch.losses, eg_server_limits_count (entry),
      entry->connections.running,
      entry->configuration.current ? entry->configuration.current->version : -1,
      (double) (now_us - entry->configuration.as_of_us) / EG_US_PER_S,
      eg_entry_is_ready (entry, now_us));
}
