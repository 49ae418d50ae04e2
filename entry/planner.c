#include "entry/planner.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/entry.h"
#include "platform/headers.h"
#include "platform/servers.h"
#include "policy/layer_moves.h"
#include "policy/layer_plan.h"

/* By this message a holder tells that it has released the lease. */
#define LEASE_MESSAGE_KIND "lease-released"
/* Key of the lease in the store. */
#define LEASE_KIND "eelgrasswood-leases"
#define LEASE_NAME "layer-planner"
/* The lease outlasts two lost renewals, and a failed holder is replaced
 * within the recovery time in the registry's specification. */
#define LEASE_US (2200 * EG_US_PER_MS)
#define LEASE_DRIFT_US (100 * EG_US_PER_MS)
#define LEASE_PAUSE_US (200 * EG_US_PER_MS)
#define LEASE_RENEW_US (700 * EG_US_PER_MS)
#define LEASE_WATCH_US (2000 * EG_US_PER_MS)
#define LEASE_RETRY_US (500 * EG_US_PER_MS)
#define LEASE_CALL_TIMEOUT_US (600 * EG_US_PER_MS)
/* Minimum interval between two plans. */
#define PLAN_INTERVAL_US (100 * EG_US_PER_MS)
/* A starting fleet is complete once no record has changed for this long, or
 * after the maximum time. */
#define REGISTRATION_QUIET_US (900 * EG_US_PER_MS)
#define REGISTRATION_WAIT_MAX_US (3000 * EG_US_PER_MS)
/* An order is answered within milliseconds, or the response is lost. */
#define ORDER_TIMEOUT_US (500 * EG_US_PER_MS)
/* Concurrent loads slow each other down. An order is considered lost after
 * this multiple of the expected time. */
#define LOAD_TIMEOUT_FACTOR 3
#define LOAD_TIMEOUT_MIN_US (1500 * EG_US_PER_MS)
/* Maximum number of servers per failure domain that change their layers at
 * the same time. Servers without layers get their orders regardless of it. */
#define CONCURRENT_MOVES_MAX 3
/* A server suspect for this long is left out of the plan; a restart takes
 * longer. */
#define SUSPECT_GRACE_US (400 * EG_US_PER_MS)

static void step_lease (struct eg_planner *self,
                        enum eg_lease_event event,
                        uint64_t version,
                        const struct eg_lease_record *found);

static void
start_lease_call (struct eg_planner *self, enum eg_lease_action action)
{
  struct eg_buffer text = {0};
  json_t *object = NULL;
  json_t *spec;
  bool started = true;

  if (action == EG_LEASE_READ)
    {
      started =
          eg_store_call_start (&self->call, "GET", LEASE_KIND "/" LEASE_NAME "",
                               NULL, LEASE_CALL_TIMEOUT_US);
      goto out;
    }
  eg_lease_record_encode (&self->lease.next, &text);
  spec = json_loadb (text.data, text.len, 0, NULL);
  EG_INVARIANT (spec);
  object = eg_store_object (
      LEASE_NAME, action == EG_LEASE_UPDATE ? (int64_t) self->lease.version : 0,
      spec);
  started = eg_store_call_start (
      &self->call, action == EG_LEASE_CREATE ? "POST" : "PUT",
      action == EG_LEASE_CREATE ? LEASE_KIND : LEASE_KIND "/" LEASE_NAME,
      object, LEASE_CALL_TIMEOUT_US);
out:
  json_decref (object);
  eg_buffer_finish (&text);
  if (!started)
    step_lease (self, EG_LEASE_UNAVAILABLE, 0, NULL);
}

static void
step_lease (struct eg_planner *self,
            enum eg_lease_event event,
            uint64_t version,
            const struct eg_lease_record *found)
{
  enum eg_lease_action action =
      eg_lease_update (&self->lease, event, version, found, eg_clock_now_us (),
                       &self->entry->random);

  if (action != EG_LEASE_WAIT)
    start_lease_call (self, action);
}

/* Another writer may have stored an invalid record. It names no holder, so that
 * a candidate takes the lease once the record has not changed for as long as a
 * lease lasts. */
static void
handle_unreadable (struct eg_planner *self, json_t *document, bool read)
{
  const struct eg_lease_record nobody = {0};
  int64_t revision;

  if (!read)
    {
      step_lease (self, EG_LEASE_NO_REPLY, 0, NULL);
      return;
    }
  if (!eg_store_object_revision (document, &revision))
    {
      eg_log (EG_LOG_WARNING, "planner",
              "event=lease-unreadable expected=\"a revision\"");
      step_lease (self, EG_LEASE_UNAVAILABLE, 0, NULL);
      return;
    }
  eg_log (EG_LOG_WARNING, "planner",
          "event=lease-unreadable revision=%" PRId64 " expected=\"holder, "
          "incarnation and sequence\"",
          revision);
  step_lease (self, EG_LEASE_FOUND, (uint64_t) revision, &nobody);
}

static bool
read_record (json_t *object, struct eg_lease_record *record, int64_t *revision)
{
  char *text = json_dumps (eg_store_object_spec (object), JSON_COMPACT);
  bool valid = text && eg_store_object_revision (object, revision)
               && eg_lease_record_decode (record, eg_str_from (text));

  free (text);
  return valid;
}

/* Readers read the lease by themselves within LEASE_WATCH_US. */
static void
tell_released (struct eg_planner *self)
{
  eg_log (EG_LOG_NOTICE, "planner", "event=lease-released revision=%" PRIu64,
          self->lease.version);
  eg_vm_messages_send_to_readers (
      &self->entry->vm_messages,
      EG_STR ("{\"kind\":\"" LEASE_MESSAGE_KIND "\"}"));
}

static void
on_lease_reply (void *context, enum eg_store_outcome outcome, json_t *document)
{
  struct eg_planner *self = context;
  bool was_releasing = eg_lease_is_releasing (&self->lease);
  bool read = self->lease.outstanding == EG_LEASE_READ;
  struct eg_lease_record record = {0};
  int64_t revision = 0;

  switch (outcome)
    {
    case EG_STORE_OK:
      if (!read_record (document, &record, &revision))
        handle_unreadable (self, document, read);
      else
        step_lease (self, read ? EG_LEASE_FOUND : EG_LEASE_WRITTEN,
                    (uint64_t) revision, read ? &record : NULL);
      if (was_releasing && !eg_lease_is_releasing (&self->lease))
        tell_released (self);
      return;
    case EG_STORE_MISSING:
      step_lease (self, read ? EG_LEASE_MISSING : EG_LEASE_CONFLICT, 0, NULL);
      return;
    case EG_STORE_CONFLICT:
      step_lease (self, EG_LEASE_CONFLICT, 0, NULL);
      return;
    case EG_STORE_NO_REPLY:
      step_lease (self, EG_LEASE_NO_REPLY, 0, NULL);
      return;
    default:
      step_lease (self, EG_LEASE_UNAVAILABLE, 0, NULL);
    }
}

void
eg_planner_finish (struct eg_planner *self)
{
  eg_store_call_finish (&self->call);
}

static bool
is_ordered (const struct eg_backend *backend)
{
  return backend->ordered.to > backend->ordered.from;
}

static enum eg_exchange_verdict
on_order_head (void *context, const struct eg_http_head *head)
{
  struct eg_backend *backend = context;
  struct eg_server_notice notice = eg_server_notice_decode (head);

  eg_backend_notice (backend, &notice, eg_clock_now_us ());
  backend->order_status = head->status;
  return EG_EXCHANGE_ACCEPT;
}

static void
on_order_done (void *context)
{
  struct eg_backend *backend = context;
  bool begun = backend->order_status == 202 || backend->order_status == 200;

  eg_log (EG_LOG_NOTICE, "planner",
          "event=order-answered server=%s layers=%u-%u orders=%" PRId64
          " status=%u",
          backend->record.id, backend->ordered.from, backend->ordered.to,
          backend->orders, backend->order_status);
  if (backend->order_status == 202 && backend->orders >= 0)
    backend->orders++;
  if (begun)
    return;
  eg_backend_pause_orders (backend, eg_clock_now_us ());
  eg_backend_end_order (backend);
  eg_backend_probe (backend, eg_clock_now_us ());
}

static void
on_order_failed (void *context, enum eg_exchange_fault fault)
{
  struct eg_backend *backend = context;

  eg_log (EG_LOG_NOTICE, "planner",
          "event=order-lost server=%s layers=%u-%u cause=%s",
          backend->record.id, backend->ordered.from, backend->ordered.to,
          eg_exchange_fault_name (fault));
  if (fault == EG_EXCHANGE_UNREACHABLE)
    eg_backend_end_order (backend);
  eg_backend_probe (backend, eg_clock_now_us ());
}

static const struct eg_exchange_events order_events = {
    on_order_head, NULL, on_order_done, on_order_failed};

static void
send_order (struct eg_planner *self,
            struct eg_backend *backend,
            struct eg_layer_range range,
            int64_t now_us)
{
  struct eg_exchange_request request = {.endpoint = backend->record.endpoint,
                                        .fresh = true};
  struct eg_buffer head = {0};
  struct eg_buffer body = {0};

  eg_order_write_layers (&body, range, backend->orders,
                         self->entry->settings->orders_fenced
                             ? eg_lease_fencing (&self->lease)
                             : 0);
  eg_request_write_own (&head, "POST", eg_order_path,
                        eg_str_from (backend->record.id), body.len);
  request.head = eg_buffer_view (&head);
  request.body = eg_buffer_view (&body);
  eg_backend_end_order (backend);
  backend->ordered = range;
  backend->ordered_us = now_us;
  eg_exchange_init (&backend->order, &order_events, backend);
  eg_metrics_count (&self->entry->metrics, EG_COUNT_ORDERS);
  eg_log (EG_LOG_NOTICE, "planner",
          "event=order-sent server=%s layers=%u-%u held=%u-%u orders=%" PRId64
          " lease=%" PRIu64,
          backend->record.id, range.from, range.to, backend->record.layers.from,
          backend->record.layers.to, backend->orders,
          eg_lease_fencing (&self->lease));
  if (!eg_exchange_start (&backend->order, &self->entry->pool, &request))
    eg_backend_end_order (backend);
  eg_buffer_finish (&head);
  eg_buffer_finish (&body);
}

/* Ends an order whose layers are loaded. The server has accepted it even if it
 * has not answered; its count of orders is not known then. */
static void
complete_order (struct eg_backend *backend)
{
  if (eg_exchange_is_active (&backend->order))
    {
      eg_log (EG_LOG_NOTICE, "planner",
              "event=order-unanswered server=%s layers=%u-%u orders=%" PRId64,
              backend->record.id, backend->ordered.from, backend->ordered.to,
              backend->orders);
      backend->orders = -1;
    }
  eg_backend_end_order (backend);
}

/* Completes orders whose layers are loaded, and drops overdue ones. */
static void
check_order (struct eg_backend *backend,
             const struct eg_engine_model *engine,
             int64_t now_us)
{
  const struct eg_layer_range *held = &backend->record.layers;
  const struct eg_layer_range *ordered = &backend->ordered;
  int64_t timeout_us;

  if (!is_ordered (backend))
    return;
  if (eg_exchange_is_active (&backend->order)
      && now_us - backend->ordered_us >= ORDER_TIMEOUT_US)
    {
      eg_exchange_cancel (&backend->order);
      on_order_failed (backend, EG_EXCHANGE_NO_ANSWER);
    }
  if (held->from == ordered->from && held->to == ordered->to)
    {
      complete_order (backend);
      return;
    }
  timeout_us = (int64_t) (engine->load_us * (ordered->to - ordered->from)
                          / engine->layers * LOAD_TIMEOUT_FACTOR)
               + LOAD_TIMEOUT_MIN_US;
  if (now_us - backend->ordered_us < timeout_us)
    return;
  eg_log (EG_LOG_NOTICE, "planner",
          "event=order-overdue server=%s layers=%u-%u held=%u-%u",
          backend->record.id, ordered->from, ordered->to, held->from, held->to);
  eg_backend_end_order (backend);
  eg_backend_probe (backend, now_us);
}

/**
 * Servers of one service, in the planner's and in the fleet's representation.
 */
struct plan_input
{
  struct eg_plan_server *servers;
  struct eg_backend **backends;
  size_t count;
  const char *domains[EG_PLAN_DOMAINS_MAX];
  uint32_t domain_count;
  size_t empty; /**< Servers that hold no layers and have no pending order. */
};

static uint32_t
plan_domain (struct plan_input *input, const char *name)
{
  for (uint32_t i = 0; i < input->domain_count; i++)
    if (strcmp (input->domains[i], name) == 0)
      return i;
  if (input->domain_count == EG_PLAN_DOMAINS_MAX)
    {
      static struct eg_log_rate rate;

      eg_log_capacity (&rate, "planner", "plan-domains", EG_PLAN_DOMAINS_MAX);
      return EG_PLAN_DOMAINS_MAX - 1;
    }
  input->domains[input->domain_count] = name;
  return input->domain_count++;
}

/* Layers about to be unloaded serve only requests already started. */
static void
clip_to_order (struct eg_layer_range *serving, struct eg_layer_range ordered)
{
  if (serving->from < ordered.from)
    serving->from = ordered.from;
  if (serving->to > ordered.to)
    serving->to = ordered.to;
  if (serving->to < serving->from)
    *serving = (struct eg_layer_range){0, 0};
}

static bool
is_plannable (const struct eg_backend *backend, int64_t now_us)
{
  return backend->listed && !eg_backend_is_leaving (backend)
         && !(eg_backend_is_suspect (backend, now_us)
              && now_us - backend->suspected_us >= SUSPECT_GRACE_US);
}

static void
collect_servers (struct eg_planner *self,
                 const struct eg_service_config *service,
                 struct plan_input *input,
                 int64_t now_us)
{
  struct eg_list *all = &self->entry->fleet.all;

  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      struct eg_plan_server *server = &input->servers[input->count];
      const struct eg_accelerator *accelerator;

      if (!eg_str_equal (backend->record.service, service->name))
        continue;
      check_order (backend, &service->engine, now_us);
      accelerator =
          eg_engine_accelerator (&service->engine, backend->record.accelerator);
      if (!accelerator || !is_plannable (backend, now_us))
        continue;
      server->domain = plan_domain (input, backend->record.domain);
      server->accelerator = accelerator;
      server->slots = backend->record.slots;
      server->fixed =
          is_ordered (backend) || now_us < backend->orders_resume_us;
      server->held =
          is_ordered (backend) ? backend->ordered : backend->record.layers;
      server->serving = backend->record.layers;
      if (is_ordered (backend))
        clip_to_order (&server->serving, backend->ordered);
      if (server->held.to == server->held.from)
        input->empty++;
      input->backends[input->count++] = backend;
    }
}

/* Excludes failure domains that are only partially visible from moves. */
static void
fix_unstable_domains (struct eg_planner *self,
                      struct plan_input *input,
                      int64_t now_us)
{
  size_t listed[EG_PLAN_DOMAINS_MAX] = {0};

  for (size_t i = 0; i < input->count; i++)
    listed[input->servers[i].domain]++;
  for (size_t i = 0; i < input->count; i++)
    {
      const char *domain = input->backends[i]->record.domain;

      if (!eg_load_gossip_domain_is_reachable (&self->entry->load_gossip,
                                               domain, now_us)
          || !eg_fleet_domain_is_stable (&self->entry->fleet, domain,
                                         listed[input->servers[i].domain],
                                         now_us))
        input->servers[i].fixed = true;
    }
}

/* Returns whether a fleet is still registering; it is planned as a whole,
 * not server by server. */
static bool
is_registering (struct eg_planner *self,
                const struct plan_input *input,
                int64_t now_us)
{
  if (input->empty * 2 < input->count)
    {
      self->empty_since_us = 0;
      return false;
    }
  if (self->empty_since_us == 0)
    self->empty_since_us = now_us;
  return now_us - self->entry->fleet.changed_us < REGISTRATION_QUIET_US
         && now_us - self->empty_since_us < REGISTRATION_WAIT_MAX_US;
}

static void
send_orders (struct eg_planner *self, struct plan_input *input, int64_t now_us)
{
  for (size_t i = 0; i < input->count; i++)
    {
      struct eg_layer_range order = input->servers[i].order;
      struct eg_backend *backend = input->backends[i];

      if (order.to == order.from
          || eg_server_room_is_paused (&backend->room, now_us))
        continue;
      if (backend->orders < 0)
        eg_backend_probe (backend, now_us);
      else
        send_order (self, backend, order, now_us);
    }
}

static uint64_t
hash_input (const struct plan_input *input)
{
  uint64_t hash = EG_HASH_START;

  for (size_t i = 0; i < input->count; i++)
    {
      const struct eg_plan_server *server = &input->servers[i];
      uint32_t state[] = {server->held.from,    server->held.to,
                          server->serving.from, server->serving.to,
                          server->domain,       server->fixed};

      hash = eg_hash_add (hash,
                          (struct eg_str){(const char *) state, sizeof state});
      hash = eg_hash_add (hash, eg_str_from (input->backends[i]->record.id));
    }
  return hash;
}

static void
plan_service (struct eg_planner *self,
              const struct eg_service_config *service,
              int64_t now_us)
{
  size_t room = self->entry->fleet.count + 1;
  struct plan_input input = {.servers = calloc (room, sizeof *input.servers),
                             .backends =
                                 calloc (room, sizeof (struct eg_backend *))};
  uint64_t input_hash;

  EG_INVARIANT (input.servers && input.backends);
  collect_servers (self, service, &input, now_us);
  fix_unstable_domains (self, &input, now_us);
  input_hash = hash_input (&input);
  if (input.count == 0 || is_registering (self, &input, now_us)
      || input_hash == self->stable_hash)
    goto out;
  if (eg_layer_plan_make (input.servers, input.count, &service->engine) == 0)
    {
      self->stable_hash = input_hash;
      goto out;
    }
  eg_layer_moves_choose (input.servers, input.count, &service->engine,
                         CONCURRENT_MOVES_MAX);
  send_orders (self, &input, now_us);
out:
  free (input.servers);
  free (input.backends);
}

/* Orders of a VM that may not reach servers would follow from its own lack of a
 * path. */
static bool
may_hold (const struct eg_planner *self)
{
  return self->entry->fleet.reach.state == EG_REACH_OK
         && self->entry->stop_us == 0;
}

/* Only VMs that read the store directly compete for the lease: they see
 * changes first, and calls by the others would only add load. */
static bool
may_compete (const struct eg_planner *self)
{
  return self->entry->members.lists_read > 0
         && self->entry->servers_feed.mirror->is_direct;
}

/* A doubt about the path may end within milliseconds. */
static bool
must_release (const struct eg_planner *self)
{
  return eg_server_reach_is_lost (&self->entry->fleet.reach)
         || self->entry->stop_us > 0;
}

static void
on_lease_released (void *context,
                   struct eg_endpoint from,
                   const json_t *message,
                   int64_t now_us)
{
  struct eg_planner *self = context;

  (void) from;
  (void) message;
  if (may_hold (self) && may_compete (self))
    eg_lease_look (&self->lease, now_us);
}

void
eg_planner_init (struct eg_planner *self, struct eg_entry *entry)
{
  struct eg_store_reply_sink sink = {on_lease_reply, self};
  const struct eg_vm_message_type type = {.name = EG_STR (LEASE_MESSAGE_KIND),
                                          .receive = on_lease_released,
                                          .context = self};

  memset (self, 0, sizeof *self);
  self->entry = entry;
  self->config = (struct eg_lease_config){
      .duration_us = LEASE_US,
      .drift_us = LEASE_DRIFT_US,
      .pause_us = LEASE_PAUSE_US,
      .renew_us = LEASE_RENEW_US,
      .watch_us = LEASE_WATCH_US,
      .retry_us = LEASE_RETRY_US,
  };
  eg_lease_init (&self->lease, &self->config, eg_random_next (&entry->random),
                 eg_str_from (entry->settings->name));
  eg_store_call_init (&self->call, &entry->store, &sink);
  EG_INVARIANT (eg_vm_messages_register (&entry->vm_messages, &type));
}

void
eg_planner_check (struct eg_planner *self, int64_t now_us)
{
  const struct eg_configuration *configuration =
      self->entry->configuration.current;
  bool held;

  eg_store_call_check (&self->call, now_us);
  if (must_release (self))
    eg_lease_release (&self->lease, now_us);
  if (!eg_store_call_is_active (&self->call)
      && now_us >= eg_lease_wake_us (&self->lease)
      && (eg_lease_is_releasing (&self->lease)
          || (may_hold (self) && (self->is_holder || may_compete (self)))))
    step_lease (self, EG_LEASE_TIME, 0, NULL);
  held = eg_lease_is_held (&self->lease, now_us) && may_hold (self);
  /* While the store is down for everyone, nobody else can acquire the lease.
   * Its last holder continues, because servers may fail during that time
   * too. */
  if (!held && self->lease.ours && may_hold (self)
      && !eg_lease_is_releasing (&self->lease))
    held = eg_load_gossip_store_is_down (&self->entry->load_gossip, now_us);
  if (held != self->is_holder)
    eg_log (EG_LOG_NOTICE, "planner", "event=lease-%s revision=%" PRIu64,
            held ? "taken" : "lost", self->lease.version);
  self->is_holder = held;
  if (!held || !configuration || !self->entry->fleet.list_complete
      || now_us - self->planned_us < PLAN_INTERVAL_US)
    return;
  self->planned_us = now_us;
  for (size_t i = 0; i < configuration->service_count; i++)
    if (configuration->services[i].has_engine
        && configuration->services[i].engine.layers > 0)
      plan_service (self, &configuration->services[i], now_us);
}
