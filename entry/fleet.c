#include "entry/fleet.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "platform/headers.h"
#include "platform/store.h"

/* A suspect receives no requests for this long unless it answers a probe. */
#define SUSPECT_US (1000 * EG_US_PER_MS)
/* Minimum interval between two probes of a server. */
#define PROBE_INTERVAL_US (250 * EG_US_PER_MS)
/* A probe takes one round trip and a few milliseconds, plus one
 * retransmission on a lossy link. */
#define PROBE_TIMEOUT_US (350 * EG_US_PER_MS)
/* Shorter time-outs where there is already evidence of a failure: a silent
 * stream or refused request, or a report by another VM that got no answer.
 * One round trip and several forward passes. */
#define SUSPECT_PROBE_TIMEOUT_US (120 * EG_US_PER_MS)
#define REPORTED_PROBE_TIMEOUT_US (80 * EG_US_PER_MS)
/* Validity of a reported slowdown; longer than the monitoring interval. */
#define SLOWNESS_AGE_MAX_US (5000 * EG_US_PER_MS)
/* Probe limit of this VM: the burst covers all servers of four long paths,
 * the sustained rate allows for three suspects. */
#define PROBES_PER_S 12.0
#define PROBES_BURST 72.0
/* Fleets of up to this number of VMs use the full limit. In larger ones the VMs
 * share what so many would use, since each finding is announced to all: probes
 * otherwise grow with the product of VMs and servers. */
#define PROBES_SHARED_VMS 16
/* Part of the limit that a VM of any fleet has. */
#define PROBES_SHARE_MIN 0.1
/* Weight of another VM's report that a server is down until this VM knows
 * better, and how long it lasts without another report. */
#define REPORTED_PENALTY 4.0
#define REPORTED_PENALTY_US (700 * EG_US_PER_MS)
/* Minimum interval between probes caused by reports of other VMs. */
#define REPORTED_PROBE_INTERVAL_US (500 * EG_US_PER_MS)
/* A server that refuses connections has ended after this time, if no other one
 * of its service accepts one and this VM's path is not lost. */
#define REFUSAL_PROOF_MAX_US EG_US_PER_S
/* If at least half of a failure domain's servers disappear at once, they are
 * more likely partitioned than dead. Removals count for the length of the
 * window: as long as a record outlives the start of a partition. */
#define PARTITION_SERVERS_MIN 3
#define PARTITION_WINDOW_US (4000 * EG_US_PER_MS)
/* After a partition, servers reappear within one heartbeat of each other. */
#define REAPPEAR_QUIET_US (1300 * EG_US_PER_MS)
/* No new order for this long to an engine that is executing one or has
 * refused one; loading layers rarely takes less. */
#define ORDER_PAUSE_US (700 * EG_US_PER_MS)
/* Time in which a penalty decays to 1/e, about a third. */
#define PENALTY_DECAY_US (4.0 * EG_US_PER_S)
/* Records that expired during a store outage reappear within two seconds of
 * its end, according to the platform's specification. 200 ms are reserved
 * for requests that are just being sent. */
#define REAPPEAR_GRACE_US (1800 * EG_US_PER_MS)

static const struct
{
  const char *name;
  double penalty;
  bool suspect;
} fault_table[] = {
    [EG_SERVER_FAULT_UNREACHABLE] = {"unreachable", 1.0, true},
    [EG_SERVER_FAULT_REPORTED] = {"named", 1.0, true},
    [EG_SERVER_FAULT_TIMED_OUT] = {"silent", 1.0, true},
    [EG_SERVER_FAULT_BAD_RESPONSE] = {"broken", 0.5, false},
    [EG_SERVER_FAULT_ERROR_STATUS] = {"error", 0.2, false},
    [EG_SERVER_FAULT_NO_CAPACITY] = {"full", 0, false},
};

static void free_backend (struct eg_backend *self);
static void request_report (struct eg_backend *self,
                            bool fresh,
                            int64_t timeout_us,
                            int64_t now_us);

void
eg_fleet_init (struct eg_fleet *self,
               struct eg_exchange_pool *pool,
               const struct eg_fleet_events *events)
{
  memset (self, 0, sizeof *self);
  EG_INVARIANT (eg_hash_table_init (&self->by_id));
  eg_list_init (&self->all);
  self->pool = pool;
  self->events = *events;
}

void
eg_fleet_finish (struct eg_fleet *self)
{
  struct eg_list *link;

  while ((link = eg_list_pop_front (&self->all)))
    free_backend (EG_CONTAINER_OF (link, struct eg_backend, all));
  eg_hash_table_finish (&self->by_id);
  eg_buffer_finish (&self->questioned_service);
}

struct eg_backend *
eg_fleet_find_id (struct eg_fleet *self, struct eg_str id)
{
  struct eg_hash_node *node =
      eg_hash_table_find (&self->by_id, eg_hash_mix (eg_hash_str (id)));

  for (; node; node = eg_hash_node_next (node))
    {
      struct eg_backend *backend =
          EG_CONTAINER_OF (node, struct eg_backend, by_id);

      if (eg_str_equal (eg_str_from (backend->record.id), id))
        return backend;
    }
  return NULL;
}

uint64_t
eg_backend_hash (const struct eg_backend *self)
{
  return eg_hash_mix (eg_hash_str (eg_str_from (self->record.id)));
}

void
eg_fleet_reached (struct eg_fleet *self,
                  uint64_t server,
                  int64_t started_us,
                  int64_t now_us)
{
  struct eg_hash_node *node = eg_hash_table_find (&self->by_id, server);

  for (; node; node = eg_hash_node_next (node))
    EG_CONTAINER_OF (node, struct eg_backend, by_id)->connected_us = started_us;
  eg_server_reach_connected (&self->reach, server, started_us, self->count,
                             now_us);
}

void
eg_fleet_not_reached (struct eg_fleet *self,
                      uint64_t server,
                      int64_t started_us,
                      int64_t now_us)
{
  eg_server_reach_failed (&self->reach, server, started_us, self->count,
                          now_us);
}

static enum eg_exchange_verdict
on_probe_head (void *context, const struct eg_http_head *head)
{
  struct eg_backend *self = context;
  struct eg_server_notice notice = eg_server_notice_decode (head);

  self->probe.status = head->status;
  if (eg_exchange_is_fresh (&self->probe.exchange))
    eg_fleet_reached (self->fleet, eg_backend_hash (self),
                      self->probe.started_us, eg_clock_now_us ());
  eg_backend_notice (self, &notice, eg_clock_now_us ());
  return EG_EXCHANGE_ACCEPT;
}

static void
on_probe_body (void *context, struct eg_str bytes)
{
  struct eg_backend *self = context;
  const size_t report_bytes_max = 1U << 20;

  if (self->probe.body.len + bytes.len <= report_bytes_max)
    eg_buffer_append (&self->probe.body, bytes);
}

static void
clear_suspicion (struct eg_backend *self)
{
  if (self->suspect_until_us == 0)
    return;
  self->suspect_until_us = 0;
  eg_log (EG_LOG_NOTICE, "fleet",
          "event=server-trusted server=%s suspected_ms=%" PRId64,
          self->record.id,
          (eg_clock_now_us () - self->suspected_us) / EG_US_PER_MS);
}

static void
set_alive (struct eg_backend *self, int64_t at_us)
{
  self->ended_us = 0;
  self->refused_us = 0;
  self->alive_us = at_us;
}

static void
handle_report (struct eg_backend *self)
{
  static struct eg_engine_report report;
  struct eg_error error;

  if (!eg_engine_report_decode (&report, eg_buffer_view (&self->probe.body),
                                &error))
    {
      eg_log (EG_LOG_WARNING, "fleet",
              "event=report-unreadable server=%s cause=\"%s\"", self->record.id,
              error.message);
      return;
    }
  if (report.undecodable > 0)
    eg_log (EG_LOG_WARNING, "fleet",
            "event=report-partly-undecodable server=%s values=%zu",
            self->record.id, report.undecodable);
  self->fleet->undecodable += report.undecodable;
  clear_suspicion (self);
  set_alive (self, self->probe.started_us);
  self->kv_used = report.kv_used;
  self->kv_total = report.kv_total;
  self->slowness = report.slowness > 0 ? report.slowness : 1;
  self->report_us = self->probe.started_us;
  eg_log (EG_LOG_INFO, "fleet",
          "event=server-report server=%s layers=%u-%u had=%u-%u orders=%" PRId64
          " kv_used=%.0f kv_total=%.0f slowness=%.2f age_ms=%" PRId64,
          self->record.id, report.layers.from, report.layers.to,
          self->record.layers.from, self->record.layers.to, report.orders,
          report.kv_used, report.kv_total, self->slowness,
          (eg_clock_now_us () - self->report_us) / EG_US_PER_MS);
  if (report.has_layers)
    self->record.layers = report.layers;
  self->orders = report.orders;
  if (report.start_ms != self->record.start_ms)
    self->said_leaving = false;
  self->record.start_ms = report.start_ms;
  /* An order of a previous planner is still in progress. */
  if (report.ordered)
    eg_backend_pause_orders (self, self->report_us);
  self->fleet->events.reported (self->fleet->events.context, self, &report);
}

static void
on_probe_done (void *context)
{
  struct eg_backend *self = context;

  if (self->probe.status == 200 && self->record.has_engine)
    handle_report (self);
  else if (self->probe.status == 200)
    clear_suspicion (self);
  else
    eg_log (EG_LOG_INFO, "fleet", "event=probe-refused server=%s status=%u",
            self->record.id, self->probe.status);
  eg_buffer_clear (&self->probe.body);
}

static void
on_probe_failed (void *context, enum eg_exchange_fault fault)
{
  struct eg_backend *self = context;

  eg_buffer_clear (&self->probe.body);
  /* The server may have exited if it closed an idle connection. */
  if (fault == EG_EXCHANGE_STALE)
    {
      request_report (self, true, PROBE_TIMEOUT_US, eg_clock_now_us ());
      return;
    }
  /* It accepted the connection, so that what was lost before that was not lost
   * by its end. */
  if (fault != EG_EXCHANGE_UNREACHABLE)
    self->alive_us = self->probe.started_us;
  else
    eg_fleet_not_reached (self->fleet, eg_backend_hash (self),
                          self->probe.started_us, eg_clock_now_us ());
  eg_backend_record_fault (self,
                           fault == EG_EXCHANGE_UNREACHABLE
                               ? EG_SERVER_FAULT_UNREACHABLE
                               : EG_SERVER_FAULT_TIMED_OUT,
                           EG_STR ("probe"), eg_clock_now_us ());
}

static const struct eg_exchange_events probe_events = {
    on_probe_head, on_probe_body, on_probe_done, on_probe_failed};

static void
on_port_open (void *context)
{
  struct eg_backend *self = context;

  set_alive (self, self->port_check_us);
  eg_fleet_reached (self->fleet, eg_backend_hash (self), self->port_check_us,
                    eg_clock_now_us ());
}

static void
on_port_closed (void *context, enum eg_exchange_fault fault)
{
  struct eg_backend *self = context;

  (void) fault;
  eg_fleet_not_reached (self->fleet, eg_backend_hash (self),
                        self->port_check_us, eg_clock_now_us ());
  eg_backend_record_fault (self, EG_SERVER_FAULT_UNREACHABLE, EG_STR ("port"),
                           eg_clock_now_us ());
}

static const struct eg_exchange_events port_events = {NULL, NULL, on_port_open,
                                                      on_port_closed};

static struct eg_left_server
identify_start (const struct eg_server_record *record)
{
  return (struct eg_left_server){eg_hash_str (eg_str_from (record->id)),
                                 record->start_ms};
}

static size_t
count_left (const struct eg_fleet *self)
{
  return self->left_count < EG_FLEET_LEFT_MAX ? self->left_count
                                              : EG_FLEET_LEFT_MAX;
}

static bool
is_same_start (const struct eg_left_server *a, const struct eg_left_server *b)
{
  return a->id_hash == b->id_hash && a->start_ms == b->start_ms;
}

/* Returns whether a start of a server has left, whatever its record says: a
 * store that comes back from an older copy may call it ready again. */
static bool
has_left (const struct eg_fleet *self, const struct eg_left_server *start)
{
  for (size_t i = 0; i < count_left (self); i++)
    if (is_same_start (&self->left[i], start))
      return true;
  return false;
}

static void
remember_left (struct eg_fleet *self, const struct eg_left_server *start)
{
  if (!has_left (self, start))
    self->left[self->left_count++ % EG_FLEET_LEFT_MAX] = *start;
}

static struct eg_backend *
add_backend (struct eg_fleet *self, const struct eg_server_record *record)
{
  struct eg_backend *backend = calloc (1, sizeof *backend);

  EG_INVARIANT (backend);
  backend->fleet = self;
  backend->record = *record;
  /* update_record() moves the strings. */
  backend->record.names = NULL;
  backend->record.service = EG_STR ("");
  backend->record.accelerator = EG_STR ("");
  backend->slowness = 1;
  backend->orders = record->layers.to > record->layers.from ? -1 : 0;
  eg_buffer_init (&backend->probe.body);
  eg_exchange_init (&backend->probe.exchange, &probe_events, backend);
  eg_exchange_init (&backend->port_check, &port_events, backend);
  eg_hash_table_insert (
      &self->by_id, &backend->by_id,
      eg_hash_mix (eg_hash_str (eg_str_from (backend->record.id))));
  eg_list_append (&self->all, &backend->all);
  self->count++;
  return backend;
}

static void
free_backend (struct eg_backend *self)
{
  eg_exchange_cancel (&self->probe.exchange);
  eg_exchange_cancel (&self->port_check);
  eg_backend_end_order (self);
  eg_buffer_finish (&self->probe.body);
  eg_server_record_finish (&self->record);
  eg_hash_table_remove (&self->fleet->by_id, &self->by_id);
  self->fleet->count--;
  free (self);
}

static void
remove_if_unused (struct eg_backend *self)
{
  if (self->listed || self->grace_until_us > 0 || self->references > 0)
    return;
  eg_list_remove (&self->all);
  free_backend (self);
}

void
eg_backend_ref (struct eg_backend *self)
{
  self->references++;
}

void
eg_backend_unref (struct eg_backend *self)
{
  EG_INVARIANT (self->references > 0);
  self->references--;
  remove_if_unused (self);
}

static struct eg_domain_history *
domain_history (struct eg_fleet *self, const char *name)
{
  struct eg_domain_history *history;

  for (size_t i = 0; i < self->domain_count; i++)
    if (strcmp (self->domains[i].name, name) == 0)
      return &self->domains[i];
  if (self->domain_count == EG_FLEET_DOMAINS_MAX)
    {
      static struct eg_log_rate rate;

      eg_log_capacity (&rate, "fleet", "failure-domains", EG_FLEET_DOMAINS_MAX);
      return &self->domains[EG_FLEET_DOMAINS_MAX - 1];
    }
  history = &self->domains[self->domain_count++];
  eg_str_copy (eg_str_from (name), history->name, sizeof history->name);
  return history;
}

bool
eg_fleet_domain_is_stable (const struct eg_fleet *self,
                           const char *domain,
                           size_t listed,
                           int64_t now_us)
{
  for (size_t i = 0; i < self->domain_count; i++)
    {
      const struct eg_domain_history *history = &self->domains[i];
      size_t removed_count = 0;

      if (strcmp (history->name, domain) != 0)
        continue;
      for (size_t k = 0; k < EG_DOMAIN_REMOVALS_MAX; k++)
        removed_count +=
            history->removed_us[k] > 0
            && now_us - history->removed_us[k] < PARTITION_WINDOW_US;
      if (now_us - history->reappeared_us < REAPPEAR_QUIET_US)
        return false;
      return removed_count < PARTITION_SERVERS_MIN
             || removed_count * 2 < listed;
    }
  return true;
}

/* Returns the part of the limit of probes that this VM may use. */
static double
probe_share (const struct eg_fleet *self)
{
  if (self->vms <= PROBES_SHARED_VMS)
    return 1;
  return fmax (PROBES_SHARE_MIN, (double) PROBES_SHARED_VMS / self->vms);
}

/* The platform counts probes, and a fleet that is slow as a whole would
 * trigger many of them, so a token bucket limits the rate. */
static bool
may_probe (struct eg_fleet *self, int64_t now_us)
{
  double share = probe_share (self);

  return eg_token_bucket_take (&self->probes_allowed, 1, PROBES_PER_S * share,
                               PROBES_BURST * share, now_us);
}

void
eg_fleet_suspect_reported (struct eg_fleet *self,
                           struct eg_str id,
                           int64_t now_us)
{
  struct eg_backend *backend = eg_fleet_find_id (self, id);

  if (!backend || !backend->listed || eg_backend_is_suspect (backend, now_us)
      || now_us - backend->reported_down_us < REPORTED_PROBE_INTERVAL_US)
    return;
  backend->reported_down_us = now_us;
  /* In a large fleet, those verify it that depend on it, and some others. */
  if (backend->running > 0 || probe_share (self) == 1
      || may_probe (self, now_us))
    request_report (backend, true, REPORTED_PROBE_TIMEOUT_US, now_us);
}

void
eg_fleet_connection_ended (struct eg_fleet *self,
                           struct eg_endpoint endpoint,
                           int64_t now_us)
{
  struct eg_backend *backend = eg_fleet_find_by_endpoint (self, endpoint);

  if (backend && backend->listed && backend->record.has_engine
      && !eg_backend_is_suspect (backend, now_us))
    request_report (backend, true, PROBE_TIMEOUT_US, now_us);
}

/* Takes note that a start of a server has ended without announcing it. */
static void
set_ended (struct eg_backend *self, const char *source, int64_t now_us)
{
  if (self->ended_us > 0 || eg_backend_is_leaving (self))
    return;
  self->ended_us = now_us;
  eg_log (EG_LOG_NOTICE, "fleet",
          "event=server-ended server=%s source=%s start_ms=%" PRId64
          " running=%u",
          self->record.id, source, self->record.start_ms, self->running);
}

/* Handles the removal of a record from the store. */
static void
remove_record (struct eg_backend *self, int64_t now_us)
{
  struct eg_fleet *fleet = self->fleet;
  bool may_reappear = fleet->records_expiring && !eg_backend_is_leaving (self);
  struct eg_left_server start = identify_start (&self->record);
  struct eg_domain_history *history =
      domain_history (fleet, self->record.domain);

  if (!self->listed)
    return;
  if (eg_backend_is_leaving (self))
    remember_left (fleet, &start);
  else
    history->removed_us[history->removed_count++ % EG_DOMAIN_REMOVALS_MAX] =
        now_us;
  self->listed = false;
  self->grace_until_us = 0;
  if (may_reappear)
    self->grace_until_us =
        (fleet->store_lost_us > 0 ? now_us : fleet->store_back_us)
        + REAPPEAR_GRACE_US;
  eg_log (EG_LOG_NOTICE, "fleet",
          "event=server-gone server=%s service=%.*s may_return=%d",
          self->record.id, EG_STR_START_ARGS (self->record.service),
          may_reappear);
  if (!may_reappear)
    {
      set_ended (self, "record", now_us);
      eg_exchange_pool_close_idle (fleet->pool, self->record.endpoint);
    }
  remove_if_unused (self);
}

void
eg_fleet_begin_list (struct eg_fleet *self)
{
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    EG_CONTAINER_OF (at, struct eg_backend, all)->marked = false;
}

/* Takes over the strings of @p record. */
static void
update_record (struct eg_backend *self,
               struct eg_server_record *record,
               int64_t now_us)
{
  const struct eg_server_record *old = &self->record;
  struct eg_left_server start = identify_start (record);
  bool restarted = record->start_ms != old->start_ms;
  /* A start that leaves does not become ready again; without a time of start,
   * it may be another one. */
  bool left =
      record->start_ms > 0
      && ((!restarted && old->draining) || has_left (self->fleet, &start));
  bool draining = record->draining || left;
  bool changed =
      restarted || !self->listed || draining != old->draining
      || record->layers.from != old->layers.from
      || record->layers.to != old->layers.to
      || eg_endpoint_key (record->endpoint) != eg_endpoint_key (old->endpoint);

  if (!self->listed && self->fleet->list_complete
      && record->layers.to > record->layers.from)
    domain_history (self->fleet, record->domain)->reappeared_us = now_us;
  if (restarted)
    {
      self->ended_us = 0;
      self->refused_us = 0;
      self->suspect_until_us = 0;
      self->kv_used = 0;
      self->slowness = 1;
      self->report_us = 0;
      self->orders = 0;
      eg_backend_end_order (self);
      self->orders_resume_us = 0;
      self->room = (struct eg_server_room){0};
      self->rate = (struct eg_server_rate){0};
      self->said_leaving = false;
    }
  if (changed)
    {
      self->fleet->changed_us = now_us;
      eg_log (
          EG_LOG_NOTICE, "fleet",
          "event=server-entry server=%s service=%.*s address=%s "
          "failure_domain=%s accelerator=%.*s draining=%d layers=%u-%u "
          "start_ms=%" PRId64,
          record->id, EG_STR_START_ARGS (record->service), record->address,
          record->domain,
          EG_STR_START_ARGS (record->accelerator.len > 0 ? record->accelerator
                                                         : EG_STR ("-")),
          draining, record->layers.from, record->layers.to, record->start_ms);
    }
  /* Another entry VM has sent an order, so the order count has to be
   * requested from the server. */
  if (!restarted
      && (record->layers.from != old->layers.from
          || record->layers.to != old->layers.to)
      && (record->layers.from != self->ordered.from
          || record->layers.to != self->ordered.to))
    self->orders = -1;
  if (draining && self->draining_us == 0 && !self->said_leaving)
    {
      self->draining_us = now_us;
      self->fleet->events.availability_changed (self->fleet->events.context);
    }
  if (!draining && !self->said_leaving)
    self->draining_us = 0;
  record->draining = draining;
  eg_server_record_finish (&self->record);
  self->record = *record;
  self->listed = true;
  self->marked = true;
  self->grace_until_us = 0;
}

void
eg_fleet_update_server (struct eg_fleet *self,
                        json_t *object,
                        bool deleted,
                        int64_t now_us)
{
  const char *name = eg_store_object_name (object);
  struct eg_backend *backend = eg_fleet_find_id (self, eg_str_from (name));
  struct eg_server_record record;
  struct eg_error error;

  if (!deleted && eg_server_record_decode (&record, object, &error))
    {
      if (!backend)
        backend = add_backend (self, &record);
      update_record (backend, &record, now_us);
      return;
    }
  if (!deleted)
    eg_log (EG_LOG_INFO, "fleet", "event=entry-unusable cause=\"%s\"",
            error.message);
  if (backend)
    remove_record (backend, now_us);
}

void
eg_fleet_synced (struct eg_fleet *self, bool listed, int64_t now_us)
{
  if (!listed)
    return;
  self->list_complete = true;
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);

      at = at->next;
      if (!backend->marked)
        remove_record (backend, now_us);
    }
}

void
eg_fleet_store_lost (struct eg_fleet *self, int64_t now_us)
{
  if (self->store_lost_us == 0)
    self->store_lost_us = now_us;
  self->records_expiring = true;
}

void
eg_fleet_store_back (struct eg_fleet *self, int64_t end_us, int64_t now_us)
{
  if (self->store_lost_us > 0)
    eg_log (EG_LOG_NOTICE, "fleet",
            "event=store-back kind=servers away_ms=%" PRId64 " for_others=%d",
            (now_us - self->store_lost_us) / EG_US_PER_MS, end_us > 0);
  self->store_lost_us = 0;
  if (now_us - end_us >= REAPPEAR_GRACE_US || end_us < self->store_back_us)
    return;
  self->records_expiring = true;
  self->store_back_us = end_us;
}

void
eg_fleet_store_restored (struct eg_fleet *self, int64_t now_us)
{
  self->records_expiring = true;
  self->store_back_us = now_us;
}

struct eg_backend *
eg_fleet_find_by_endpoint (struct eg_fleet *self, struct eg_endpoint endpoint)
{
  struct eg_backend *found = NULL;

  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);

      if (eg_endpoint_key (backend->record.endpoint)
              == eg_endpoint_key (endpoint)
          && (!found || backend->listed))
        found = backend;
    }
  return found;
}

static void
check_probe (struct eg_backend *self, int64_t now_us)
{
  if (!eg_exchange_is_active (&self->probe.exchange)
      || now_us - self->probe.started_us < self->probe.timeout_us)
    return;
  if (!eg_exchange_is_connected (&self->probe.exchange))
    eg_fleet_not_reached (self->fleet, eg_backend_hash (self),
                          self->probe.started_us, now_us);
  eg_exchange_cancel (&self->probe.exchange);
  eg_buffer_clear (&self->probe.body);
  eg_backend_record_fault (self, EG_SERVER_FAULT_TIMED_OUT, EG_STR ("probe"),
                           now_us);
}

/* Returns whether a server of the same service was connected to since this one
 * refused, or any server if there is no other one of the service. */
static bool
is_service_reached (const struct eg_backend *self)
{
  const struct eg_list *all = &self->fleet->all;
  size_t others = 0;

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    {
      const struct eg_backend *other =
          EG_CONTAINER_OF (at, struct eg_backend, all);

      if (other == self || !other->listed
          || !eg_str_equal (other->record.service, self->record.service))
        continue;
      others++;
      if (other->connected_us > self->refused_us)
        return true;
    }
  return others == 0
         && eg_server_reach_is_proven (&self->fleet->reach, self->refused_us);
}

static void
settle_refusal (struct eg_backend *self, bool ended, int64_t now_us)
{
  self->refused_us = 0;
  if (ended)
    set_ended (self, "connection", now_us);
}

static void
question_service (struct eg_backend *self)
{
  eg_buffer_clear (&self->fleet->questioned_service);
  eg_buffer_append (&self->fleet->questioned_service, self->record.service);
}

/* A server that refuses connections has ended, unless this VM has lost its path
 * to the service, or to all servers: that others tell. */
static void
check_refusal (struct eg_backend *self, int64_t now_us)
{
  bool lost = eg_server_reach_is_lost (&self->fleet->reach);

  if (self->refused_us == 0)
    return;
  if (is_service_reached (self)
      || (!lost && now_us - self->refused_us >= REFUSAL_PROOF_MAX_US))
    settle_refusal (self, true, now_us);
  else if (!lost)
    question_service (self);
}

void
eg_fleet_settle_refusals (struct eg_fleet *self, bool ended, int64_t now_us)
{
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);

      if (backend->refused_us > 0)
        settle_refusal (backend, ended, now_us);
    }
}

void
eg_fleet_check (struct eg_fleet *self, unsigned vms, int64_t now_us)
{
  self->vms = vms;
  eg_buffer_clear (&self->questioned_service);
  if (self->records_expiring && self->store_lost_us == 0
      && now_us - self->store_back_us >= REAPPEAR_GRACE_US)
    self->records_expiring = false;
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);

      at = at->next;
      check_probe (backend, now_us);
      check_refusal (backend, now_us);
      if (eg_exchange_is_active (&backend->port_check)
          && now_us - backend->port_check_us >= PROBE_TIMEOUT_US)
        eg_exchange_cancel (&backend->port_check);
      if (backend->suspect_until_us > 0 && backend->listed)
        eg_backend_probe (backend, now_us);
      if (!backend->listed && backend->grace_until_us > 0
          && self->store_lost_us == 0 && now_us >= backend->grace_until_us)
        {
          backend->grace_until_us = 0;
          eg_log (EG_LOG_NOTICE, "fleet", "event=server-not-back server=%s",
                  backend->record.id);
          remove_if_unused (backend);
        }
    }
}

bool
eg_backend_is_suspect (const struct eg_backend *self, int64_t now_us)
{
  return now_us < self->suspect_until_us;
}

bool
eg_backend_has_ended (const struct eg_backend *self, int64_t now_us)
{
  return eg_backend_is_suspect (self, now_us) && self->refused_connection
         && self->listed && !eg_backend_is_leaving (self)
         && self->fleet->reach.state == EG_REACH_OK;
}

bool
eg_backend_refuses_while_leaving (const struct eg_backend *self, int64_t now_us)
{
  return eg_backend_is_suspect (self, now_us) && self->refused_connection
         && eg_backend_is_leaving (self);
}

bool
eg_backend_is_cut_off (const struct eg_backend *self, int64_t now_us)
{
  return eg_server_reach_is_lost (&self->fleet->reach)
         && eg_backend_is_suspect (self, now_us);
}

bool
eg_backend_is_present (const struct eg_backend *self, int64_t now_us)
{
  return self->listed || now_us < self->grace_until_us;
}

const char *
eg_backend_find_obstacle (const struct eg_backend *self, int64_t now_us)
{
  const struct eg_server_reach *reach = &self->fleet->reach;

  if (!eg_backend_is_present (self, now_us))
    return "withdrawn";
  if (eg_backend_is_leaving (self))
    return "leaving";
  if (eg_backend_is_suspect (self, now_us))
    return "suspect";
  if (!eg_server_room_is_open (&self->room, now_us))
    return "no-room";
  if (eg_server_reach_is_lost (reach) && self->connected_us < reach->lost_us)
    return "not-reached";
  return NULL;
}

bool
eg_backend_is_usable (const struct eg_backend *self, int64_t now_us)
{
  return !eg_backend_find_obstacle (self, now_us);
}

void
eg_backend_seen (struct eg_backend *self, int64_t now_us)
{
  self->seen_us = now_us;
}

bool
eg_backend_is_seen (const struct eg_backend *self, int64_t since_us)
{
  return self->seen_us > since_us || self->alive_us > since_us;
}

double
eg_backend_penalty (const struct eg_backend *self, int64_t now_us)
{
  double penalty =
      self->penalty
      * exp (-(double) (now_us - self->penalty_us) / PENALTY_DECAY_US);

  if (self->reported_down_us > 0
      && now_us - self->reported_down_us < REPORTED_PENALTY_US
      && !eg_backend_is_seen (self, self->reported_down_us))
    penalty += REPORTED_PENALTY;
  return penalty;
}

static void
pause_requests (struct eg_backend *self, int64_t pause_us, int64_t now_us)
{
  if (!eg_server_room_is_paused (&self->room, now_us))
    eg_log (EG_LOG_NOTICE, "fleet",
            "event=server-paused server=%s pause_ms=%" PRId64
            " longest_ms=%" PRId64,
            self->record.id, pause_us / EG_US_PER_MS,
            EG_SERVER_PAUSE_MAX_US / EG_US_PER_MS);
  self->fleet->pauses++;
  eg_server_room_pause (&self->room, pause_us, now_us);
}

static void
set_leaving (struct eg_backend *self, const char *source, int64_t now_us)
{
  if (self->said_leaving)
    return;
  self->said_leaving = true;
  self->fleet->changed_us = now_us;
  eg_log (
      EG_LOG_NOTICE, "fleet",
      "event=server-leaving server=%s source=%s draining=%d start_ms=%" PRId64,
      self->record.id, source, self->record.draining, self->record.start_ms);
  if (self->draining_us == 0)
    self->draining_us = now_us;
  self->fleet->events.availability_changed (self->fleet->events.context);
}

void
eg_backend_notice (struct eg_backend *self,
                   const struct eg_server_notice *notice,
                   int64_t now_us)
{
  self->ended_us = 0;
  self->refused_us = 0;
  if (notice->pause_us > 0)
    pause_requests (self, notice->pause_us, now_us);
  if (notice->leaving)
    set_leaving (self, "response", now_us);
  if (notice->limit_unreadable && !self->limit_unreadable)
    eg_log (EG_LOG_WARNING, "fleet",
            "event=server-limit-unreadable server=%s expected=\"one decimal "
            "number of requests per second\"",
            self->record.id);
  self->limit_unreadable = notice->limit_unreadable;
  if (notice->has_limit && self->fleet->events.limit_named)
    self->fleet->events.limit_named (self->fleet->events.context, self,
                                     notice->limit_per_s);
}

void
eg_fleet_leaving_reported (struct eg_fleet *self,
                           struct eg_str id,
                           int64_t start_ms,
                           int64_t now_us)
{
  struct eg_backend *backend = eg_fleet_find_id (self, id);

  if (backend && backend->record.start_ms == start_ms)
    set_leaving (backend, "vm", now_us);
}

size_t
eg_fleet_list_left (const struct eg_fleet *self,
                    struct eg_left_server *starts,
                    size_t max)
{
  size_t count = 0;

  for (const struct eg_list *at = self->all.next;
       at != &self->all && count < max; at = at->next)
    {
      const struct eg_backend *backend =
          EG_CONTAINER_OF (at, struct eg_backend, all);

      if (backend->listed && backend->record.start_ms > 0
          && eg_backend_is_leaving (backend))
        starts[count++] = identify_start (&backend->record);
    }
  /* The latest first: the copy is only some seconds old. */
  for (size_t i = 0; i < count_left (self) && count < max; i++)
    starts[count++] =
        self->left[(self->left_count - 1 - i) % EG_FLEET_LEFT_MAX];
  return count;
}

void
eg_fleet_left_reported (struct eg_fleet *self,
                        const struct eg_left_server *start,
                        int64_t now_us)
{
  remember_left (self, start);
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      struct eg_left_server known = identify_start (&backend->record);

      if (is_same_start (&known, start))
        set_leaving (backend, "vm", now_us);
    }
}

bool
eg_backend_is_leaving (const struct eg_backend *self)
{
  return self->record.draining || self->said_leaving;
}

void
eg_backend_record_fault (struct eg_backend *self,
                         enum eg_server_fault fault,
                         struct eg_str request_id,
                         int64_t now_us)
{
  const double penalty_max = 6;
  bool was_suspect = eg_backend_is_suspect (self, now_us);

  self->penalty =
      eg_backend_penalty (self, now_us) + fault_table[fault].penalty;
  if (self->penalty > penalty_max)
    self->penalty = penalty_max;
  self->penalty_us = now_us;
  if (fault == EG_SERVER_FAULT_NO_CAPACITY)
    eg_server_room_refused (&self->room, now_us);
  if (fault_table[fault].suspect)
    {
      if (!was_suspect)
        {
          self->suspected_us = now_us;
          self->fleet->events.availability_changed (
              self->fleet->events.context);
        }
      self->suspect_until_us = now_us + SUSPECT_US;
      self->refused_connection = fault == EG_SERVER_FAULT_UNREACHABLE;
      if (self->refused_connection && self->listed)
        {
          self->refused_us = now_us;
          question_service (self);
        }
      eg_exchange_pool_close_idle (self->fleet->pool, self->record.endpoint);
    }
  eg_log (was_suspect ? EG_LOG_DEBUG : EG_LOG_NOTICE, "fleet",
          "event=server-blamed server=%s address=%s cause=%s request=%.*s "
          "penalty=%.1f suspect=%d draining=%d listed=%d running=%u",
          self->record.id, self->record.address, fault_table[fault].name,
          EG_STR_ARGS (request_id), self->penalty, fault_table[fault].suspect,
          eg_backend_is_leaving (self), self->listed, self->running);
}

void
eg_backend_update_load (struct eg_backend *self,
                        unsigned load,
                        unsigned slots,
                        int64_t now_us)
{
  self->has_load = true;
  self->load = load;
  self->slots = slots;
  self->load_us = now_us;
}

/* Requests a report, unless a request is pending. */
static void
request_report (struct eg_backend *self,
                bool fresh,
                int64_t timeout_us,
                int64_t now_us)
{
  struct eg_exchange_request request = {.endpoint = self->record.endpoint,
                                        .fresh = fresh};
  struct eg_buffer head = {0};

  if (eg_exchange_is_active (&self->probe.exchange) || !self->record.has_engine
      || eg_server_room_is_paused (&self->room, now_us))
    return;
  eg_request_write_own (&head, "GET", eg_report_path,
                        eg_str_from (self->record.id), 0);
  request.head = eg_buffer_view (&head);
  self->probe.started_us = now_us;
  self->probe.timeout_us = timeout_us;
  self->fleet->probes++;
  eg_buffer_clear (&self->probe.body);
  if (!eg_exchange_start (&self->probe.exchange, self->fleet->pool, &request))
    eg_log (EG_LOG_WARNING, "fleet", "event=probe-not-sent server=%s",
            self->record.id);
  eg_buffer_finish (&head);
}

void
eg_backend_probe (struct eg_backend *self, int64_t now_us)
{
  if (now_us - self->probe.started_us < PROBE_INTERVAL_US
      || !may_probe (self->fleet, now_us))
    return;
  /* Plain servers have no report; their suspicion ends by time-out. */
  if (!self->record.has_engine && now_us >= self->suspect_until_us)
    clear_suspicion (self);
  request_report (self, true, SUSPECT_PROBE_TIMEOUT_US, now_us);
}

static void
check_port (struct eg_backend *self, int64_t now_us)
{
  const struct eg_exchange_request request = {
      .endpoint = self->record.endpoint, .fresh = true, .connect_only = true};

  if (eg_exchange_is_active (&self->port_check))
    return;
  self->port_check_us = now_us;
  if (!eg_exchange_start (&self->port_check, self->fleet->pool, &request))
    eg_log (EG_LOG_WARNING, "fleet", "event=probe-not-sent server=%s",
            self->record.id);
}

void
eg_backend_check_alive (struct eg_backend *self,
                        int64_t since_us,
                        int64_t now_us)
{
  if (eg_server_room_is_paused (&self->room, now_us))
    return;
  if (!self->record.has_engine)
    {
      if (self->port_check_us <= since_us)
        check_port (self, now_us);
      return;
    }
  /* Even soon after another probe: the server may end at any moment. */
  if (self->probe.started_us <= since_us
      && !eg_exchange_is_active (&self->probe.exchange)
      && may_probe (self->fleet, now_us))
    request_report (self, true, SUSPECT_PROBE_TIMEOUT_US, now_us);
}

void
eg_backend_poll_report (struct eg_backend *self, int64_t now_us)
{
  request_report (self, false, PROBE_TIMEOUT_US, now_us);
}

void
eg_backend_end_order (struct eg_backend *self)
{
  eg_exchange_cancel (&self->order);
  self->ordered = (struct eg_layer_range){0, 0};
}

void
eg_backend_pause_orders (struct eg_backend *self, int64_t now_us)
{
  self->orders_resume_us = now_us + ORDER_PAUSE_US;
}

double
eg_backend_slowness (const struct eg_backend *self, int64_t now_us)
{
  if (self->report_us > 0 && now_us - self->report_us < SLOWNESS_AGE_MAX_US
      && self->report_us >= self->peer_slowness_us)
    return self->slowness;
  return now_us - self->peer_slowness_us < SLOWNESS_AGE_MAX_US
             ? self->peer_slowness
             : 1;
}
