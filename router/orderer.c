#include "router/orderer.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "backend/engine.h"
#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "policy/lease.h"

/* Marks the tags of this module; tags of claims never reach this bit. */
#define TAG_BIT (UINT64_C (1) << 61)
#define LEASE_PREFIX "leases/"
#define STORE_TIMEOUT_US EG_US_PER_S
#define LOOK_INTERVAL_US (500 * EG_US_PER_MS)
/* Maximum age of the store's confirmation of the lease when the first byte of
   an order is sent. */
#define CONFIRMED_MAX_US EG_US_PER_S
/* Entry VMs of a failure domain that compete for one lease. */
#define CANDIDATES_MAX 3
#define LOAD_TIMEOUT_US (600 * EG_US_PER_S)
/* A shortage of servers is logged once it has lasted this long. */
#define SHORTAGE_US (30 * EG_US_PER_S)

static const struct eg_orders_config orders_config = {
    .loads_max = 2,
    .load_interval_us = 2 * EG_US_PER_S,
    .settle_us = 2 * EG_US_PER_S,
    .timeout_us = LOAD_TIMEOUT_US + 30 * EG_US_PER_S,
    .backoff_min_us = 2 * EG_US_PER_S,
    .backoff_max_us = 60 * EG_US_PER_S,
    .surplus_wait_us = 30 * EG_US_PER_S,
    .idle_wait_us = 30 * EG_US_PER_S,
    .failures_tolerated = 5,
};

/* Capacity of one service in this entry VM's failure domain. */
struct duty
{
  uint64_t id; /* Never reused. */
  char service[EG_NAME_BYTES];
  struct eg_lease lease;
  struct eg_orders *orders;
  struct eg_orders_target wanted[EG_ORDERS_TARGETS_MAX];
  bool specific[EG_ORDERS_TARGETS_MAX]; /* Set by a rule for this failure
                                           domain. */
  size_t wanted_count;
  bool held;  /* Whether the lease was held at the last tick. */
  bool ready; /* Whether @c order waits for the lease to be confirmed. */
  struct eg_order order;
  int64_t asked_us; /* When the confirmation was requested. */
  int64_t next_look_us;
  int64_t
      short_since_us; /* When capacity was last sufficient or being added. */
  bool short_told;
};

struct eg_orderer
{
  struct eg_orderer_parts parts;
  struct eg_lease_config lease_config;
  struct eg_random random;
  struct duty **duties;
  size_t duty_count;
  uint64_t last_id;
  bool stopped;
};

/* All times of a lease are derived from its duration, so that entry VMs with
   the same setting agree on them. */
static void
init_lease_config (struct eg_lease_config *config, int64_t duration_us)
{
  config->duration_us = duration_us;
  config->drift_us = duration_us / 15;
  config->pause_us = duration_us / 5;
  config->renew_us = duration_us / 3;
  config->watch_us = duration_us * 2 / 5;
  config->retry_us = duration_us / 30;
}

struct eg_orderer *
eg_orderer_new (const struct eg_orderer_parts *parts)
{
  struct eg_orderer *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->parts = *parts;
  init_lease_config (&self->lease_config,
                     parts->settings->lease_ms * EG_US_PER_MS);
  eg_random_init (&self->random, eg_hash_mix (~parts->incarnation));
  return self;
}

static void
free_duty (struct duty *duty)
{
  eg_orders_free (duty->orders);
  free (duty);
}

void
eg_orderer_free (struct eg_orderer *self)
{
  if (!self)
    return;
  for (size_t i = 0; i < self->duty_count; i++)
    free_duty (self->duties[i]);
  free (self->duties);
  free (self);
}

/* Capacity rules. */

static struct duty *
find_service (const struct eg_orderer *self, struct eg_str service)
{
  for (size_t i = 0; i < self->duty_count; i++)
    if (eg_str_equal (eg_str_from (self->duties[i]->service), service))
      return self->duties[i];
  return NULL;
}

static struct duty *
find_id (const struct eg_orderer *self, uint64_t id)
{
  for (size_t i = 0; i < self->duty_count; i++)
    if (self->duties[i]->id == id)
      return self->duties[i];
  return NULL;
}

static struct duty *
add_duty (struct eg_orderer *self, struct eg_str service)
{
  const struct eg_router_settings *settings = self->parts.settings;
  struct duty *duty = calloc (1, sizeof *duty);

  EG_INVARIANT (duty != NULL);
  self->duties =
      realloc (self->duties, (self->duty_count + 1) * sizeof (struct duty *));
  EG_INVARIANT (self->duties != NULL);
  self->duties[self->duty_count++] = duty;
  duty->id = ++self->last_id;
  eg_str_copy (service, duty->service, sizeof duty->service);
  /* A service that is removed and added again acts as a new lease holder, as
     replies to the writes of the earlier one are ignored. */
  eg_lease_init (&duty->lease, &self->lease_config,
                 eg_hash_mix (self->parts.incarnation + duty->id),
                 eg_str_from (settings->name));
  duty->orders = eg_orders_new (&orders_config, service,
                                eg_str_from (settings->failure_domain));
  return duty;
}

static bool
is_for (struct eg_str failure_domain, const char *ours)
{
  return failure_domain.len == 0 || eg_str_equal (failure_domain, EG_STR ("*"))
         || eg_str_equal (failure_domain, eg_str_from (ours));
}

static struct eg_orders_target *
find_wanted (struct duty *duty, const struct eg_orders_target *wanted)
{
  for (size_t i = 0; i < duty->wanted_count; i++)
    {
      struct eg_orders_target *other = &duty->wanted[i];

      if (other->first_layer == wanted->first_layer
          && other->last_layer == wanted->last_layer
          && strcmp (other->model, wanted->model) == 0
          && strcmp (other->version, wanted->version) == 0)
        return other;
    }
  return NULL;
}

/* A rule for this failure domain overrides one for all failure domains. */
static void
add_wanted (struct duty *duty,
            const struct eg_orders_target *wanted,
            bool specific,
            unsigned line)
{
  struct eg_orders_target *same = find_wanted (duty, wanted);

  if (!same && duty->wanted_count == EG_ORDERS_TARGETS_MAX)
    {
      eg_log (EG_LOG_ERROR, "orderer", "event=capacity-left-out line=%u max=%d",
              line, EG_ORDERS_TARGETS_MAX);
      return;
    }
  if (!same)
    same = &duty->wanted[duty->wanted_count++];
  else if (duty->specific[same - duty->wanted])
    return;
  *same = *wanted;
  duty->specific[same - duty->wanted] = specific;
}

static void
apply_rule (struct eg_orderer *self, const struct eg_rule *rule)
{
  const struct eg_rule_value *values = rule->values;
  struct eg_str failure_domain = values[EG_CAPACITY_FAILURE_DOMAIN].text;
  struct eg_str service = values[EG_CAPACITY_SERVICE].text;
  struct eg_orders_target wanted = {
      .first_layer = values[EG_CAPACITY_LAYERS].first,
      .last_layer = values[EG_CAPACITY_LAYERS].last,
      .count = (uint32_t) values[EG_CAPACITY_COUNT].integer,
  };
  struct duty *duty;

  if (rule->verb != EG_VERB_CAPACITY
      || !is_for (failure_domain, self->parts.settings->failure_domain))
    return;
  duty = find_service (self, service);
  if (!duty)
    duty = add_duty (self, service);
  eg_str_copy (values[EG_CAPACITY_MODEL].text, wanted.model,
               sizeof wanted.model);
  eg_str_copy (values[EG_CAPACITY_VERSION].text, wanted.version,
               sizeof wanted.version);
  add_wanted (duty, &wanted,
              failure_domain.len > 0
                  && !eg_str_equal (failure_domain, EG_STR ("*")),
              rule->line);
}

static void
drop_idle_duties (struct eg_orderer *self)
{
  size_t kept = 0;

  for (size_t i = 0; i < self->duty_count; i++)
    if (self->duties[i]->wanted_count > 0)
      self->duties[kept++] = self->duties[i];
    else
      free_duty (self->duties[i]);
  self->duty_count = kept;
}

void
eg_orderer_apply_rules (struct eg_orderer *self, const struct eg_rules *rules)
{
  for (size_t i = 0; i < self->duty_count; i++)
    self->duties[i]->wanted_count = 0;
  for (size_t i = 0; i < rules->count; i++)
    apply_rule (self, &rules->rules[i]);
  drop_idle_duties (self);
  for (size_t i = 0; i < self->duty_count; i++)
    eg_orders_set_targets (self->duties[i]->orders, self->duties[i]->wanted,
                           self->duties[i]->wanted_count);
}

/* Leases. */

static const enum eg_platform_call action_calls[] = {
    [EG_LEASE_READ] = EG_PLATFORM_GET,
    [EG_LEASE_CREATE] = EG_PLATFORM_CREATE,
    [EG_LEASE_UPDATE] = EG_PLATFORM_UPDATE,
};

static bool
send_to_store (struct eg_orderer *self,
               const struct duty *duty,
               enum eg_lease_action action)
{
  struct eg_platform_command *command =
      eg_platform_command_new (action_calls[action], TAG_BIT | duty->id);
  struct eg_buffer key = {0};

  eg_buffer_printf (&key, LEASE_PREFIX "%s/%s", duty->service,
                    self->parts.settings->failure_domain);
  eg_str_copy (eg_buffer_view (&key), command->key, sizeof command->key);
  eg_buffer_finish (&key);
  command->version = duty->lease.version;
  command->timeout_us = STORE_TIMEOUT_US;
  if (action != EG_LEASE_READ)
    eg_lease_record_encode (&duty->lease.next, &command->value);
  if (eg_platform_worker_push (self->parts.platform, command))
    return true;
  eg_platform_command_free (command);
  return false;
}

static void
update_lease (struct eg_orderer *self,
              struct duty *duty,
              enum eg_lease_event event,
              uint64_t version,
              const struct eg_lease_record *found,
              int64_t now_us)
{
  enum eg_lease_action action = eg_lease_update (&duty->lease, event, version,
                                                 found, now_us, &self->random);

  if (action != EG_LEASE_WAIT && !send_to_store (self, duty, action))
    eg_lease_update (&duty->lease, EG_LEASE_UNAVAILABLE, 0, NULL, now_us,
                     &self->random);
}

static enum eg_lease_event
event_of (const struct eg_platform_reply *reply)
{
  bool read = reply->call == EG_PLATFORM_GET;

  switch (reply->status)
    {
    case EG_OK:
      return read ? EG_LEASE_FOUND : EG_LEASE_WRITTEN;
    case EG_NOT_FOUND:
      return read ? EG_LEASE_MISSING : EG_LEASE_CONFLICT;
    case EG_CONFLICT:
      return EG_LEASE_CONFLICT;
    case EG_UNAVAILABLE:
      return EG_LEASE_UNAVAILABLE;
    default:
      return EG_LEASE_NO_REPLY;
    }
}

bool
eg_orderer_reply (struct eg_orderer *self,
                  const struct eg_platform_reply *reply,
                  int64_t now_us)
{
  struct duty *duty = find_id (self, reply->tag & ~TAG_BIT);
  enum eg_lease_event event = event_of (reply);
  /* A record that cannot be decoded counts as held by another entry VM. */
  struct eg_lease_record found = {0};

  if ((reply->tag & TAG_BIT) == 0 || reply->tag >= TAG_BIT << 1)
    return false;
  if (!duty)
    return true;
  if (event == EG_LEASE_FOUND)
    eg_lease_record_decode (&found, eg_buffer_view (&reply->value));
  update_lease (self, duty, event, reply->version, &found, now_us);
  return true;
}

static uint64_t
score (const struct duty *duty, const char *address)
{
  return eg_hash_mix (eg_hash_str (eg_str_from (duty->service))
                      ^ eg_hash_str (eg_str_from (address)));
}

/* Limits the competition for a lease to a few entry VMs, chosen by rendezvous
   hashing, so that reads of the lease do not grow with their number. */
static bool
is_candidate (const struct eg_orderer *self, const struct duty *duty)
{
  const struct eg_router_settings *settings = self->parts.settings;
  const struct eg_vm_list *list = &self->parts.fleet->vms;
  uint64_t ours = score (duty, settings->listen_callers);
  unsigned before = 0;

  for (size_t i = 0; i < list->count; i++)
    {
      const struct eg_vm *vm = &list->vms[i];

      before += vm->entry && !vm->leaving
                && strcmp (vm->failure_domain, settings->failure_domain) == 0
                && score (duty, vm->address) > ours;
    }
  return before < CANDIDATES_MAX;
}

/* Orders. */

static void
withdraw (struct duty *duty, int64_t now_us)
{
  duty->ready = false;
  eg_orders_complete (duty->orders, eg_str_from (duty->order.address),
                      EG_ORDER_WITHDRAWN, now_us);
}

static void
send_order (struct eg_orderer *self, struct duty *duty, int64_t now_us)
{
  struct eg_backend_command *command =
      eg_backend_command_new (EG_BACKEND_ORDER);
  int64_t send_by_us = eg_lease_confirmed_us (&duty->lease) + CONFIRMED_MAX_US;

  if (send_by_us > eg_lease_until_us (&duty->lease))
    send_by_us = eg_lease_until_us (&duty->lease);
  memcpy (command->address, duty->order.address, sizeof command->address);
  command->request = duty->id;
  command->send_by_us = send_by_us;
  command->at_most_once = true;
  command->timeout_us = LOAD_TIMEOUT_US;
  command->has_body = true;
  eg_str_copy (EG_STR ("application/json"), command->content_type,
               sizeof command->content_type);
  eg_engine_write_order (&command->body, &duty->order,
                         eg_lease_fencing (&duty->lease));
  eg_log (EG_LOG_NOTICE, "orderer",
          "event=order service=%s server=%s order=%s model=%s version=%s "
          "layers=%u-%u fencing=%" PRIu64,
          duty->service, duty->order.address,
          duty->order.kind == EG_ORDER_LOAD ? "load" : "unload",
          duty->order.model, duty->order.version, duty->order.first_layer,
          duty->order.last_layer, eg_lease_fencing (&duty->lease));
  duty->ready = false;
  if (eg_backend_worker_push (self->parts.backend, command))
    return;
  eg_backend_command_free (command);
  withdraw (duty, now_us);
}

/* The store must confirm the lease immediately before each order. */
static void
move_order (struct eg_orderer *self, struct duty *duty, int64_t now_us)
{
  if (eg_lease_confirmed_us (&duty->lease) >= duty->asked_us)
    send_order (self, duty, now_us);
  else if (now_us - duty->asked_us > CONFIRMED_MAX_US)
    withdraw (duty, now_us);
}

/* Logs only lasting shortages, as servers in back-off soon become available
   again. */
static void
note_shortage (const struct eg_orderer *self, struct duty *duty, int64_t now_us)
{
  if (eg_orders_shortage (duty->orders) != EG_ORDERS_NO_SERVER)
    {
      duty->short_since_us = now_us;
      duty->short_told = false;
      return;
    }
  if (duty->short_told || now_us - duty->short_since_us < SHORTAGE_US)
    return;
  duty->short_told = true;
  eg_log (EG_LOG_WARNING, "orderer",
          "event=capacity-short service=%s failure_domain=%s cause=no-server",
          duty->service, self->parts.settings->failure_domain);
}

static void
choose_order (struct eg_orderer *self, struct duty *duty, int64_t now_us)
{
  if (now_us < duty->next_look_us)
    return;
  duty->next_look_us = now_us + LOOK_INTERVAL_US;
  duty->ready = eg_orders_next (duty->orders, self->parts.fleet->servers,
                                now_us, &duty->order);
  if (duty->ready)
    {
      duty->asked_us = now_us;
      eg_lease_confirm (&duty->lease);
      update_lease (self, duty, EG_LEASE_TIME, 0, NULL, now_us);
    }
  note_shortage (self, duty, now_us);
}

static void
note_holding (struct duty *duty, bool held, int64_t now_us)
{
  if (held == duty->held)
    return;
  duty->held = held;
  eg_log (
      EG_LOG_NOTICE, "orderer", "event=lease-%s service=%s fencing=%" PRIu64,
      held ? "taken" : "ended", duty->service, eg_lease_fencing (&duty->lease));
  duty->short_since_us = now_us;
  if (held)
    eg_orders_reset (duty->orders);
  else if (duty->ready)
    withdraw (duty, now_us);
}

static void
tick_duty (struct eg_orderer *self, struct duty *duty, int64_t now_us)
{
  bool held = eg_lease_is_held (&duty->lease, now_us);

  if (!self->stopped && (held || is_candidate (self, duty))
      && now_us >= eg_lease_wake_us (&duty->lease))
    update_lease (self, duty, EG_LEASE_TIME, 0, NULL, now_us);
  held = eg_lease_is_held (&duty->lease, now_us);
  note_holding (duty, held, now_us);
  if (!held || self->stopped)
    return;
  if (duty->ready)
    move_order (self, duty, now_us);
  else
    choose_order (self, duty, now_us);
}

void
eg_orderer_tick (struct eg_orderer *self, int64_t now_us)
{
  for (size_t i = 0; i < self->duty_count; i++)
    tick_duty (self, self->duties[i], now_us);
}

void
eg_orderer_stop (struct eg_orderer *self)
{
  self->stopped = true;
}

static const char *const result_names[] = {
    [EG_ORDER_ACCEPTED] = "taken",      [EG_ORDER_NOT_SENT] = "not-sent",
    [EG_ORDER_REFUSED] = "refused",     [EG_ORDER_UNKNOWN] = "unknown",
    [EG_ORDER_WITHDRAWN] = "withdrawn",
};

void
eg_orderer_ordered (struct eg_orderer *self,
                    const struct eg_backend_event *event,
                    int64_t now_us)
{
  struct duty *duty = find_id (self, event->request);
  enum eg_order_result result = event->order_result;

  eg_log (result == EG_ORDER_ACCEPTED ? EG_LOG_NOTICE : EG_LOG_WARNING,
          "orderer", "event=order-ended server=%s result=%s status=%d",
          event->address, result_names[result], event->http_status);
  if (duty)
    eg_orders_complete (duty->orders, eg_str_from (event->address), result,
                        now_us);
}

size_t
eg_orderer_held (const struct eg_orderer *self, int64_t now_us)
{
  size_t count = 0;

  for (size_t i = 0; i < self->duty_count; i++)
    count += eg_lease_is_held (&self->duties[i]->lease, now_us);
  return count;
}
