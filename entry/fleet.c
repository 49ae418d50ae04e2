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

/* A suspect gets no requests for this long unless a probe is answered. */
#define SUSPECT_US (1000 * EG_US_PER_MS)
/* A full server gets no requests for this long: several passes, in which others
 * end. */
#define FULL_US (250 * EG_US_PER_MS)
/* Least time between two probes of one server. */
#define PROBE_GAP_US (250 * EG_US_PER_MS)
/* A probe takes a round trip and some ms; lossy links add one resend. */
#define PROBE_TIMEOUT_US (350 * EG_US_PER_MS)
/* The same where a stream is silent or a request was refused already, and where
 * another VM has waited in vain: a round trip and several passes. */
#define DOUBT_TIMEOUT_US (120 * EG_US_PER_MS)
#define TOLD_TIMEOUT_US (80 * EG_US_PER_MS)
/* Reports tell of slowness for this long: more than one round of questions. */
#define SLOWNESS_AGE_US (5000 * EG_US_PER_MS)
/* Probes of one entry VM: a burst asks all servers of four long paths, and a
 * lasting rate follows three suspects. */
#define PROBES_PER_S 12.0
#define PROBES_BURST 72.0
/* What another VM tells of a server is checked this often. */
#define TOLD_GAP_US (500 * EG_US_PER_MS)
/* Half of a failure domain's servers that vanish at once are rather cut off
 * than dead; a cut is taken to last as long as their entries outlive it. */
#define CUT_LEAST 3
#define CUT_MEMORY_US (4000 * EG_US_PER_MS)
/* Servers that were cut off come back within a heartbeat of each other. */
#define RETURN_QUIET_US (1300 * EG_US_PER_MS)
/* An engine that carries out an order, or has refused one, is given no other
 * for this long: shorter loads are rare. */
#define ORDER_PAUSE_US (700 * EG_US_PER_MS)
/* Penalties fall to a third in this time. */
#define PENALTY_TIME_US (4.0 * EG_US_PER_S)
/* Entries that lapsed with the store are back two seconds after it, as the
 * platform states; 200 ms are left for a request that is being sent. */
#define LAPSE_US (1800 * EG_US_PER_MS)

static const struct
{
  const char *name;
  double penalty;
  bool suspect;
} blames[] = {
    [EG_SERVER_FAULT_UNREACHABLE] = {"unreachable", 1.0, true},
    [EG_SERVER_FAULT_REPORTED] = {"named", 1.0, true},
    [EG_SERVER_FAULT_TIMED_OUT] = {"silent", 1.0, true},
    [EG_SERVER_FAULT_BAD_RESPONSE] = {"broken", 0.5, false},
    [EG_SERVER_FAULT_ERROR_STATUS] = {"error", 0.2, false},
    [EG_SERVER_FAULT_NO_CAPACITY] = {"full", 0, false},
};

static void free_backend (struct eg_backend *self);
static void
ask (struct eg_backend *self, bool fresh, int64_t patience_us, int64_t now_us);

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
}

static struct eg_backend *
find_id (struct eg_fleet *self, struct eg_str id)
{
  struct eg_hash_node *node =
      eg_hash_table_find (&self->by_id, eg_hash_mix (eg_hash_str (id)));

  for (; node; node = eg_hash_node_next (node))
    {
      struct eg_backend *backend =
          EG_CONTAINER_OF (node, struct eg_backend, by_id);

      if (eg_str_equal (eg_str_from (backend->entry.id), id))
        return backend;
    }
  return NULL;
}

static enum eg_exchange_verdict
on_probe_head (void *context, const struct eg_http_head *head)
{
  struct eg_backend *self = context;

  self->probe.status = head->status;
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
          self->entry.id,
          (eg_clock_now_us () - self->suspected_us) / EG_US_PER_MS);
}

static void
take_report (struct eg_backend *self)
{
  static struct eg_engine_report report;
  struct eg_error error;

  if (!eg_engine_report_decode (&report, eg_buffer_view (&self->probe.body),
                                &error))
    {
      eg_log (EG_LOG_WARNING, "fleet",
              "event=report-unreadable server=%s cause=\"%s\"", self->entry.id,
              error.message);
      return;
    }
  clear_suspicion (self);
  self->kv_used = report.kv_used;
  self->kv_total = report.kv_total;
  self->slowness = report.slowness > 0 ? report.slowness : 1;
  self->report_us = self->probe.begun_us;
  eg_log (EG_LOG_INFO, "fleet",
          "event=server-report server=%s layers=%u-%u had=%u-%u orders=%" PRId64
          " kv_used=%.0f kv_total=%.0f slowness=%.2f age_ms=%" PRId64,
          self->entry.id, report.layers.from, report.layers.to,
          self->entry.layers.from, self->entry.layers.to, report.orders,
          report.kv_used, report.kv_total, self->slowness,
          (eg_clock_now_us () - self->report_us) / EG_US_PER_MS);
  if (report.has_layers)
    self->entry.layers = report.layers;
  self->orders = report.orders;
  self->entry.start_ms = report.start_ms;
  /* The order of an earlier planner is still under way. */
  if (report.ordered)
    eg_backend_pause_orders (self, self->report_us);
  self->fleet->events.reported (self->fleet->events.context, self, &report);
}

static void
on_probe_done (void *context)
{
  struct eg_backend *self = context;

  if (self->probe.status == 200 && self->entry.has_engine)
    take_report (self);
  else if (self->probe.status == 200)
    clear_suspicion (self);
  else
    eg_log (EG_LOG_INFO, "fleet", "event=probe-refused server=%s status=%u",
            self->entry.id, self->probe.status);
  eg_buffer_clear (&self->probe.body);
}

static void
on_probe_failed (void *context, enum eg_exchange_fault fault)
{
  struct eg_backend *self = context;

  eg_buffer_clear (&self->probe.body);
  /* A kept connection that ended may mean that the server has. */
  if (fault == EG_EXCHANGE_STALE)
    ask (self, true, PROBE_TIMEOUT_US, eg_clock_now_us ());
  else
    eg_backend_record_fault (self,
                             fault == EG_EXCHANGE_UNREACHABLE
                                 ? EG_SERVER_FAULT_UNREACHABLE
                                 : EG_SERVER_FAULT_TIMED_OUT,
                             EG_STR ("probe"), eg_clock_now_us ());
}

static const struct eg_exchange_events probe_events = {
    on_probe_head, on_probe_body, on_probe_done, on_probe_failed};

static struct eg_backend *
add_backend (struct eg_fleet *self, const struct eg_server_record *entry)
{
  struct eg_backend *backend = calloc (1, sizeof *backend);

  EG_INVARIANT (backend);
  backend->fleet = self;
  backend->entry = *entry;
  backend->slowness = 1;
  backend->orders = entry->layers.to > entry->layers.from ? -1 : 0;
  eg_buffer_init (&backend->probe.body);
  eg_exchange_init (&backend->probe.exchange, &probe_events, backend);
  eg_hash_table_insert (
      &self->by_id, &backend->by_id,
      eg_hash_mix (eg_hash_str (eg_str_from (backend->entry.id))));
  eg_list_append (&self->all, &backend->all);
  self->count++;
  return backend;
}

static void
free_backend (struct eg_backend *self)
{
  eg_exchange_cancel (&self->probe.exchange);
  eg_exchange_cancel (&self->order);
  eg_buffer_finish (&self->probe.body);
  eg_hash_table_remove (&self->fleet->by_id, &self->by_id);
  self->fleet->count--;
  free (self);
}

static void
remove_if_unused (struct eg_backend *self)
{
  if (self->listed || self->lapse_us > 0 || self->references > 0)
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
domain_watch (struct eg_fleet *self, const char *name)
{
  struct eg_domain_history *watch;

  for (size_t i = 0; i < self->domain_count; i++)
    if (strcmp (self->domains[i].name, name) == 0)
      return &self->domains[i];
  if (self->domain_count == EG_FLEET_DOMAINS_MAX)
    return &self->domains[EG_FLEET_DOMAINS_MAX - 1];
  watch = &self->domains[self->domain_count++];
  eg_str_copy (eg_str_from (name), watch->name, sizeof watch->name);
  return watch;
}

bool
eg_fleet_domain_is_stable (const struct eg_fleet *self,
                           const char *domain,
                           size_t listed,
                           int64_t now_us)
{
  for (size_t i = 0; i < self->domain_count; i++)
    {
      const struct eg_domain_history *watch = &self->domains[i];
      size_t vanished = 0;

      if (strcmp (watch->name, domain) != 0)
        continue;
      for (size_t k = 0; k < EG_DOMAIN_REMOVALS_MAX; k++)
        vanished += watch->vanished_us[k] > 0
                    && now_us - watch->vanished_us[k] < CUT_MEMORY_US;
      if (now_us - watch->returned_us < RETURN_QUIET_US)
        return false;
      return vanished < CUT_LEAST || vanished * 2 < listed;
    }
  return true;
}

/* Probes are counted by the platform, and a fleet that is slow as a whole gives
 * cause for many: a bucket bounds them. */
static bool
may_probe (struct eg_fleet *self, int64_t now_us)
{
  return eg_token_bucket_take (&self->probes_allowed, 1, PROBES_PER_S,
                               PROBES_BURST, now_us);
}

void
eg_fleet_suspect_reported (struct eg_fleet *self,
                           struct eg_str id,
                           int64_t now_us)
{
  struct eg_backend *backend = find_id (self, id);

  if (!backend || !backend->listed || eg_backend_is_suspect (backend, now_us)
      || now_us - backend->told_down_us < TOLD_GAP_US)
    return;
  backend->told_down_us = now_us;
  ask (backend, true, TOLD_TIMEOUT_US, now_us);
}

void
eg_fleet_connection_ended (struct eg_fleet *self,
                           struct eg_endpoint endpoint,
                           int64_t now_us)
{
  struct eg_backend *backend = eg_fleet_find_by_endpoint (self, endpoint);

  if (backend && backend->listed && backend->entry.has_engine
      && !eg_backend_is_suspect (backend, now_us))
    ask (backend, true, PROBE_TIMEOUT_US, now_us);
}

/* The entry no longer stands in the store. */
static void
vanish (struct eg_backend *self, int64_t now_us)
{
  struct eg_fleet *fleet = self->fleet;
  bool may_return = fleet->lapsing && !self->entry.draining;

  struct eg_domain_history *watch = domain_watch (fleet, self->entry.domain);

  if (!self->listed)
    return;
  if (!self->entry.draining)
    watch->vanished_us[watch->vanished++ % EG_DOMAIN_REMOVALS_MAX] = now_us;
  self->listed = false;
  self->lapse_us = 0;
  if (may_return)
    self->lapse_us = (fleet->lost_us > 0 ? now_us : fleet->found_us) + LAPSE_US;
  eg_log (EG_LOG_NOTICE, "fleet",
          "event=server-gone server=%s service=%s may_return=%d",
          self->entry.id, self->entry.service, may_return);
  if (!may_return)
    eg_exchange_pool_close_idle (fleet->pool, self->entry.endpoint);
  remove_if_unused (self);
}

void
eg_fleet_begin_list (struct eg_fleet *self)
{
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    EG_CONTAINER_OF (at, struct eg_backend, all)->marked = false;
}

static void
update_entry (struct eg_backend *self,
              const struct eg_server_record *entry,
              int64_t now_us)
{
  const struct eg_server_record *old = &self->entry;
  bool restarted = entry->start_ms != old->start_ms;
  bool changed =
      restarted || !self->listed || entry->draining != old->draining
      || entry->layers.from != old->layers.from
      || entry->layers.to != old->layers.to
      || eg_endpoint_key (entry->endpoint) != eg_endpoint_key (old->endpoint);

  if (!self->listed && self->fleet->known
      && entry->layers.to > entry->layers.from)
    domain_watch (self->fleet, entry->domain)->returned_us = now_us;
  if (restarted)
    {
      self->suspect_until_us = 0;
      self->kv_used = 0;
      self->slowness = 1;
      self->report_us = 0;
      self->orders = 0;
      self->ordered = (struct eg_layer_range){0, 0};
      self->order_next_us = 0;
    }
  if (changed)
    {
      self->fleet->changed_us = now_us;
      eg_log (EG_LOG_NOTICE, "fleet",
              "event=server-entry server=%s service=%s address=%s "
              "failure_domain=%s accelerator=%s draining=%d layers=%u-%u "
              "start_ms=%" PRId64,
              entry->id, entry->service, entry->address, entry->domain,
              *entry->accelerator ? entry->accelerator : "-", entry->draining,
              entry->layers.from, entry->layers.to, entry->start_ms);
    }
  /* Another entry VM's order: how many there were is to be asked. */
  if (!restarted
      && (entry->layers.from != old->layers.from
          || entry->layers.to != old->layers.to)
      && (entry->layers.from != self->ordered.from
          || entry->layers.to != self->ordered.to))
    self->orders = -1;
  if (entry->draining && !old->draining)
    {
      self->draining_us = now_us;
      self->fleet->events.unsettled (self->fleet->events.context);
    }
  if (!entry->draining)
    self->draining_us = 0;
  self->entry = *entry;
  self->listed = true;
  self->marked = true;
  self->lapse_us = 0;
}

void
eg_fleet_update_server (struct eg_fleet *self,
                        json_t *object,
                        bool deleted,
                        int64_t now_us)
{
  const char *name = eg_store_object_name (object);
  struct eg_backend *backend = find_id (self, eg_str_from (name));
  struct eg_server_record entry;
  struct eg_error error;

  if (!deleted && eg_server_record_decode (&entry, object, &error))
    {
      if (!backend)
        backend = add_backend (self, &entry);
      update_entry (backend, &entry, now_us);
      return;
    }
  if (!deleted)
    eg_log (EG_LOG_INFO, "fleet", "event=entry-unusable cause=\"%s\"",
            error.message);
  if (backend)
    vanish (backend, now_us);
}

void
eg_fleet_synced (struct eg_fleet *self, bool listed, int64_t now_us)
{
  if (self->lost_us > 0)
    {
      eg_log (EG_LOG_NOTICE, "fleet",
              "event=store-back kind=servers away_ms=%" PRId64,
              (now_us - self->lost_us) / EG_US_PER_MS);
      self->lapsing = true;
      self->found_us = now_us;
      self->lost_us = 0;
    }
  if (!listed)
    return;
  self->known = true;
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);

      at = at->next;
      if (!backend->marked)
        vanish (backend, now_us);
    }
}

void
eg_fleet_store_lost (struct eg_fleet *self, int64_t now_us)
{
  if (self->lost_us == 0)
    self->lost_us = now_us;
  self->lapsing = true;
}

struct eg_backend *
eg_fleet_find_by_endpoint (struct eg_fleet *self, struct eg_endpoint endpoint)
{
  struct eg_backend *found = NULL;

  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);

      if (eg_endpoint_key (backend->entry.endpoint)
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
      || now_us - self->probe.begun_us < self->probe.patience_us)
    return;
  eg_exchange_cancel (&self->probe.exchange);
  eg_buffer_clear (&self->probe.body);
  eg_backend_record_fault (self, EG_SERVER_FAULT_TIMED_OUT, EG_STR ("probe"),
                           now_us);
}

void
eg_fleet_check (struct eg_fleet *self, int64_t now_us)
{
  if (self->lapsing && self->lost_us == 0
      && now_us - self->found_us >= LAPSE_US)
    self->lapsing = false;
  for (struct eg_list *at = self->all.next; at != &self->all;)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);

      at = at->next;
      check_probe (backend, now_us);
      if (backend->suspect_until_us > 0 && backend->listed)
        eg_backend_probe (backend, now_us);
      if (!backend->listed && backend->lapse_us > 0 && self->lost_us == 0
          && now_us >= backend->lapse_us)
        {
          backend->lapse_us = 0;
          eg_log (EG_LOG_NOTICE, "fleet", "event=server-not-back server=%s",
                  backend->entry.id);
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
eg_backend_is_usable (const struct eg_backend *self, int64_t now_us)
{
  return (self->listed || now_us < self->lapse_us) && !self->entry.draining
         && !eg_backend_is_suspect (self, now_us)
         && now_us >= self->full_until_us;
}

double
eg_backend_penalty (const struct eg_backend *self, int64_t now_us)
{
  return self->penalty
         * exp (-(double) (now_us - self->penalty_us) / PENALTY_TIME_US);
}

void
eg_backend_record_fault (struct eg_backend *self,
                         enum eg_server_fault blame,
                         struct eg_str request_id,
                         int64_t now_us)
{
  const double penalty_max = 6;
  bool was_suspect = eg_backend_is_suspect (self, now_us);

  self->penalty = eg_backend_penalty (self, now_us) + blames[blame].penalty;
  if (self->penalty > penalty_max)
    self->penalty = penalty_max;
  self->penalty_us = now_us;
  if (blame == EG_SERVER_FAULT_NO_CAPACITY)
    self->full_until_us = now_us + FULL_US;
  if (blames[blame].suspect)
    {
      if (!was_suspect)
        {
          self->suspected_us = now_us;
          self->fleet->events.unsettled (self->fleet->events.context);
        }
      self->suspect_until_us = now_us + SUSPECT_US;
      eg_exchange_pool_close_idle (self->fleet->pool, self->entry.endpoint);
    }
  eg_log (was_suspect ? EG_LOG_DEBUG : EG_LOG_NOTICE, "fleet",
          "event=server-blamed server=%s address=%s cause=%s request=%.*s "
          "penalty=%.1f suspect=%d",
          self->entry.id, self->entry.address, blames[blame].name,
          EG_STR_ARGS (request_id), self->penalty, blames[blame].suspect);
}

void
eg_backend_update_load (struct eg_backend *self,
                        unsigned load,
                        unsigned slots,
                        int64_t now_us)
{
  self->tells_load = true;
  self->load = load;
  self->slots = slots;
  self->load_us = now_us;
}

/* Sends the question for a report, unless one is under way. */
static void
ask (struct eg_backend *self, bool fresh, int64_t patience_us, int64_t now_us)
{
  struct eg_exchange_request request = {.endpoint = self->entry.endpoint,
                                        .fresh = fresh};
  struct eg_buffer head = {0};

  if (eg_exchange_is_active (&self->probe.exchange) || !self->entry.has_engine)
    return;
  eg_request_write_own (&head, "GET", eg_report_path,
                        eg_str_from (self->entry.id), 0);
  request.head = eg_buffer_view (&head);
  self->probe.begun_us = now_us;
  self->probe.patience_us = patience_us;
  self->fleet->probes++;
  eg_buffer_clear (&self->probe.body);
  if (!eg_exchange_start (&self->probe.exchange, self->fleet->pool, &request))
    eg_log (EG_LOG_WARNING, "fleet", "event=probe-not-sent server=%s",
            self->entry.id);
  eg_buffer_finish (&head);
}

void
eg_backend_probe (struct eg_backend *self, int64_t now_us)
{
  if (now_us - self->probe.begun_us < PROBE_GAP_US
      || !may_probe (self->fleet, now_us))
    return;
  /* A plain server has no report: its suspicion ends by time. */
  if (!self->entry.has_engine && now_us >= self->suspect_until_us)
    clear_suspicion (self);
  ask (self, true, DOUBT_TIMEOUT_US, now_us);
}

void
eg_backend_poll_report (struct eg_backend *self, int64_t now_us)
{
  ask (self, false, PROBE_TIMEOUT_US, now_us);
}

void
eg_backend_pause_orders (struct eg_backend *self, int64_t now_us)
{
  self->order_next_us = now_us + ORDER_PAUSE_US;
}

double
eg_backend_slowness (const struct eg_backend *self, int64_t now_us)
{
  if (self->report_us > 0 && now_us - self->report_us < SLOWNESS_AGE_US
      && self->report_us >= self->slowness_told_us)
    return self->slowness;
  return now_us - self->slowness_told_us < SLOWNESS_AGE_US ? self->slowness_told
                                                           : 1;
}
