#include "router/capacity_controller.h"

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
#define CHECK_INTERVAL_US (500 * EG_US_PER_MS)
/* Maximum age of the store's confirmation of the lease when the first byte of
   an order is sent. */
#define CONFIRMATION_AGE_MAX_US EG_US_PER_S
/* Entry VMs of a failure domain that compete for one lease. */
#define CANDIDATES_MAX 3
#define LOAD_TIMEOUT_US (600 * EG_US_PER_S)
/* A shortage of servers is logged once it has lasted this long. */
#define SHORTAGE_LOG_DELAY_US (30 * EG_US_PER_S)

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
struct service_state
{
  uint64_t id; /* Never reused. */
  char service[EG_NAME_BYTES];
  struct eg_lease lease;
  struct eg_orders *orders;
  struct eg_orders_target targets[EG_ORDERS_TARGETS_MAX];
  /* Whether the target is set by a rule for this failure domain. */
  bool overriding[EG_ORDERS_TARGETS_MAX];
  size_t target_count;
  bool held;          /* Whether the lease was held at the last tick. */
  bool order_pending; /* Whether @c order awaits confirmation of the lease. */
  struct eg_order order;
  int64_t confirm_requested_us; /* When the confirmation was requested. */
  int64_t next_check_us;
  /* When capacity was last sufficient or being added. */
  int64_t shortage_since_us;
  bool shortage_logged;
};

struct eg_capacity_controller
{
  struct eg_capacity_controller_deps deps;
  struct eg_lease_config lease_config;
  struct eg_random random;
  struct service_state **services;
  size_t service_count;
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

struct eg_capacity_controller *
eg_capacity_controller_new (const struct eg_capacity_controller_deps *deps)
{
  struct eg_capacity_controller *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->deps = *deps;
  init_lease_config (&self->lease_config,
                     deps->settings->lease_ms * EG_US_PER_MS);
  eg_random_init (&self->random, eg_hash_mix (~deps->incarnation));
  return self;
}

static void
free_service (struct service_state *state)
{
  eg_orders_free (state->orders);
  free (state);
}

void
eg_capacity_controller_free (struct eg_capacity_controller *self)
{
  if (!self)
    return;
  for (size_t i = 0; i < self->service_count; i++)
    free_service (self->services[i]);
  free (self->services);
  free (self);
}

/* Capacity rules. */

static struct service_state *
find_service_by_name (const struct eg_capacity_controller *self,
                      struct eg_str service)
{
  for (size_t i = 0; i < self->service_count; i++)
    if (eg_str_equal (eg_str_from (self->services[i]->service), service))
      return self->services[i];
  return NULL;
}

static struct service_state *
find_service_by_id (const struct eg_capacity_controller *self, uint64_t id)
{
  for (size_t i = 0; i < self->service_count; i++)
    if (self->services[i]->id == id)
      return self->services[i];
  return NULL;
}

static struct service_state *
add_service (struct eg_capacity_controller *self, struct eg_str service)
{
  const struct eg_router_settings *settings = self->deps.settings;
  struct service_state *state = calloc (1, sizeof *state);

  EG_INVARIANT (state != NULL);
  self->services =
      realloc (self->services,
               (self->service_count + 1) * sizeof (struct service_state *));
  EG_INVARIANT (self->services != NULL);
  self->services[self->service_count++] = state;
  state->id = ++self->last_id;
  eg_str_copy (service, state->service, sizeof state->service);
  /* A service that is removed and added again counts as a new lease holder;
     replies to writes of the earlier one are ignored. */
  eg_lease_init (&state->lease, &self->lease_config,
                 eg_hash_mix (self->deps.incarnation + state->id),
                 eg_str_from (settings->name));
  state->orders = eg_orders_new (&orders_config, service,
                                 eg_str_from (settings->failure_domain));
  return state;
}

static bool
applies_to (struct eg_str failure_domain, const char *own)
{
  return failure_domain.len == 0 || eg_str_equal (failure_domain, EG_STR ("*"))
         || eg_str_equal (failure_domain, eg_str_from (own));
}

static struct eg_orders_target *
find_target (struct service_state *state, const struct eg_orders_target *target)
{
  for (size_t i = 0; i < state->target_count; i++)
    {
      struct eg_orders_target *other = &state->targets[i];

      if (other->first_layer == target->first_layer
          && other->last_layer == target->last_layer
          && strcmp (other->model, target->model) == 0
          && strcmp (other->version, target->version) == 0)
        return other;
    }
  return NULL;
}

/* A rule for this failure domain overrides one for all failure domains. */
static void
add_target (struct service_state *state,
            const struct eg_orders_target *target,
            bool overriding,
            unsigned line)
{
  struct eg_orders_target *same = find_target (state, target);

  if (!same && state->target_count == EG_ORDERS_TARGETS_MAX)
    {
      eg_log (EG_LOG_ERROR, "orderer", "event=capacity-left-out line=%u max=%d",
              line, EG_ORDERS_TARGETS_MAX);
      return;
    }
  if (!same)
    same = &state->targets[state->target_count++];
  else if (state->overriding[same - state->targets])
    return;
  *same = *target;
  state->overriding[same - state->targets] = overriding;
}

static void
apply_rule (struct eg_capacity_controller *self, const struct eg_rule *rule)
{
  const struct eg_rule_value *values = rule->values;
  struct eg_str failure_domain = values[EG_CAPACITY_FAILURE_DOMAIN].text;
  struct eg_str service = values[EG_CAPACITY_SERVICE].text;
  struct eg_orders_target target = {
      .first_layer = values[EG_CAPACITY_LAYERS].first,
      .last_layer = values[EG_CAPACITY_LAYERS].last,
      .count = (uint32_t) values[EG_CAPACITY_COUNT].integer,
  };
  struct service_state *state;

  if (rule->verb != EG_VERB_CAPACITY
      || !applies_to (failure_domain, self->deps.settings->failure_domain))
    return;
  state = find_service_by_name (self, service);
  if (!state)
    state = add_service (self, service);
  eg_str_copy (values[EG_CAPACITY_MODEL].text, target.model,
               sizeof target.model);
  eg_str_copy (values[EG_CAPACITY_VERSION].text, target.version,
               sizeof target.version);
  add_target (state, &target,
              failure_domain.len > 0
                  && !eg_str_equal (failure_domain, EG_STR ("*")),
              rule->line);
}

static void
remove_services_without_targets (struct eg_capacity_controller *self)
{
  size_t kept = 0;

  for (size_t i = 0; i < self->service_count; i++)
    if (self->services[i]->target_count > 0)
      self->services[kept++] = self->services[i];
    else
      free_service (self->services[i]);
  self->service_count = kept;
}

void
eg_capacity_controller_apply_rules (struct eg_capacity_controller *self,
                                    const struct eg_rules *rules)
{
  for (size_t i = 0; i < self->service_count; i++)
    self->services[i]->target_count = 0;
  for (size_t i = 0; i < rules->count; i++)
    apply_rule (self, &rules->rules[i]);
  remove_services_without_targets (self);
  for (size_t i = 0; i < self->service_count; i++)
    eg_orders_set_targets (self->services[i]->orders,
                           self->services[i]->targets,
                           self->services[i]->target_count);
}

/* Leases. */

static const enum eg_platform_call action_calls[] = {
    [EG_LEASE_READ] = EG_PLATFORM_GET,
    [EG_LEASE_CREATE] = EG_PLATFORM_CREATE,
    [EG_LEASE_UPDATE] = EG_PLATFORM_UPDATE,
};

static bool
send_to_store (struct eg_capacity_controller *self,
               const struct service_state *state,
               enum eg_lease_action action)
{
  struct eg_platform_command *command =
      eg_platform_command_new (action_calls[action], TAG_BIT | state->id);
  struct eg_buffer key = {0};

  eg_buffer_printf (&key, LEASE_PREFIX "%s/%s", state->service,
                    self->deps.settings->failure_domain);
  eg_str_copy (eg_buffer_view (&key), command->key, sizeof command->key);
  eg_buffer_finish (&key);
  command->version = state->lease.version;
  command->timeout_us = STORE_TIMEOUT_US;
  if (action != EG_LEASE_READ)
    eg_lease_record_encode (&state->lease.next, &command->value);
  if (eg_platform_worker_push (self->deps.platform, command))
    return true;
  eg_platform_command_free (command);
  return false;
}

static void
update_lease (struct eg_capacity_controller *self,
              struct service_state *state,
              enum eg_lease_event event,
              uint64_t version,
              const struct eg_lease_record *found,
              int64_t now_us)
{
  enum eg_lease_action action = eg_lease_update (&state->lease, event, version,
                                                 found, now_us, &self->random);

  if (action != EG_LEASE_WAIT && !send_to_store (self, state, action))
    eg_lease_update (&state->lease, EG_LEASE_UNAVAILABLE, 0, NULL, now_us,
                     &self->random);
}

static enum eg_lease_event
reply_event (const struct eg_platform_reply *reply)
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
eg_capacity_controller_store_reply (struct eg_capacity_controller *self,
                                    const struct eg_platform_reply *reply,
                                    int64_t now_us)
{
  struct service_state *state =
      find_service_by_id (self, reply->tag & ~TAG_BIT);
  enum eg_lease_event event = reply_event (reply);
  /* A record that cannot be decoded counts as held by another entry VM. */
  struct eg_lease_record found = {0};

  if ((reply->tag & TAG_BIT) == 0 || reply->tag >= TAG_BIT << 1)
    return false;
  if (!state)
    return true;
  if (event == EG_LEASE_FOUND)
    eg_lease_record_decode (&found, eg_buffer_view (&reply->value));
  update_lease (self, state, event, reply->version, &found, now_us);
  return true;
}

static uint64_t
candidate_score (const struct service_state *state, const char *address)
{
  return eg_hash_mix (eg_hash_str (eg_str_from (state->service))
                      ^ eg_hash_str (eg_str_from (address)));
}

/* Limits the competition for a lease to a few entry VMs, chosen by rendezvous
   hashing, so that reads of the lease do not grow with their number. */
static bool
is_candidate (const struct eg_capacity_controller *self,
              const struct service_state *state)
{
  const struct eg_router_settings *settings = self->deps.settings;
  const struct eg_vm_list *list = &self->deps.fleet->vms;
  uint64_t own = candidate_score (state, settings->listen_callers);
  unsigned higher_count = 0;

  for (size_t i = 0; i < list->count; i++)
    {
      const struct eg_vm *vm = &list->vms[i];

      higher_count +=
          vm->entry && !vm->leaving
          && strcmp (vm->failure_domain, settings->failure_domain) == 0
          && candidate_score (state, vm->address) > own;
    }
  return higher_count < CANDIDATES_MAX;
}

/* Orders. */

static void
withdraw_order (struct service_state *state, int64_t now_us)
{
  state->order_pending = false;
  eg_orders_complete (state->orders, eg_str_from (state->order.address),
                      EG_ORDER_WITHDRAWN, now_us);
}

static void
send_order (struct eg_capacity_controller *self,
            struct service_state *state,
            int64_t now_us)
{
  struct eg_backend_command *command =
      eg_backend_command_new (EG_BACKEND_ORDER);
  int64_t send_by_us =
      eg_lease_confirmed_us (&state->lease) + CONFIRMATION_AGE_MAX_US;

  if (send_by_us > eg_lease_until_us (&state->lease))
    send_by_us = eg_lease_until_us (&state->lease);
  memcpy (command->address, state->order.address, sizeof command->address);
  command->request = state->id;
  command->send_by_us = send_by_us;
  command->at_most_once = true;
  command->timeout_us = LOAD_TIMEOUT_US;
  command->has_body = true;
  eg_str_copy (EG_STR ("application/json"), command->content_type,
               sizeof command->content_type);
  eg_engine_write_order (&command->body, &state->order,
                         eg_lease_fencing (&state->lease));
  eg_log (EG_LOG_NOTICE, "orderer",
          "event=order service=%s server=%s order=%s model=%s version=%s "
          "layers=%u-%u fencing=%" PRIu64,
          state->service, state->order.address,
          state->order.kind == EG_ORDER_LOAD ? "load" : "unload",
          state->order.model, state->order.version, state->order.first_layer,
          state->order.last_layer, eg_lease_fencing (&state->lease));
  state->order_pending = false;
  if (eg_backend_worker_push (self->deps.backend, command))
    return;
  eg_backend_command_free (command);
  withdraw_order (state, now_us);
}

/* The store must confirm the lease immediately before each order. */
static void
send_order_if_confirmed (struct eg_capacity_controller *self,
                         struct service_state *state,
                         int64_t now_us)
{
  if (eg_lease_confirmed_us (&state->lease) >= state->confirm_requested_us)
    send_order (self, state, now_us);
  else if (now_us - state->confirm_requested_us > CONFIRMATION_AGE_MAX_US)
    withdraw_order (state, now_us);
}

/* Logs only lasting shortages, as servers in back-off soon become available
   again. */
static void
log_shortage (const struct eg_capacity_controller *self,
              struct service_state *state,
              int64_t now_us)
{
  if (eg_orders_shortage (state->orders) != EG_ORDERS_NO_SERVER)
    {
      state->shortage_since_us = now_us;
      state->shortage_logged = false;
      return;
    }
  if (state->shortage_logged
      || now_us - state->shortage_since_us < SHORTAGE_LOG_DELAY_US)
    return;
  state->shortage_logged = true;
  eg_log (EG_LOG_WARNING, "orderer",
          "event=capacity-short service=%s failure_domain=%s cause=no-server",
          state->service, self->deps.settings->failure_domain);
}

static void
choose_order (struct eg_capacity_controller *self,
              struct service_state *state,
              int64_t now_us)
{
  if (now_us < state->next_check_us)
    return;
  state->next_check_us = now_us + CHECK_INTERVAL_US;
  state->order_pending = eg_orders_next (
      state->orders, self->deps.fleet->servers, now_us, &state->order);
  if (state->order_pending)
    {
      state->confirm_requested_us = now_us;
      eg_lease_confirm (&state->lease);
      update_lease (self, state, EG_LEASE_TIME, 0, NULL, now_us);
    }
  log_shortage (self, state, now_us);
}

static void
update_holding (struct service_state *state, bool held, int64_t now_us)
{
  if (held == state->held)
    return;
  state->held = held;
  eg_log (EG_LOG_NOTICE, "orderer",
          "event=lease-%s service=%s fencing=%" PRIu64,
          held ? "taken" : "ended", state->service,
          eg_lease_fencing (&state->lease));
  state->shortage_since_us = now_us;
  if (held)
    eg_orders_reset (state->orders);
  else if (state->order_pending)
    withdraw_order (state, now_us);
}

static void
tick_service (struct eg_capacity_controller *self,
              struct service_state *state,
              int64_t now_us)
{
  bool held = eg_lease_is_held (&state->lease, now_us);

  if (!self->stopped && (held || is_candidate (self, state))
      && now_us >= eg_lease_wake_us (&state->lease))
    update_lease (self, state, EG_LEASE_TIME, 0, NULL, now_us);
  held = eg_lease_is_held (&state->lease, now_us);
  update_holding (state, held, now_us);
  if (!held || self->stopped)
    return;
  if (state->order_pending)
    send_order_if_confirmed (self, state, now_us);
  else
    choose_order (self, state, now_us);
}

void
eg_capacity_controller_tick (struct eg_capacity_controller *self,
                             int64_t now_us)
{
  for (size_t i = 0; i < self->service_count; i++)
    tick_service (self, self->services[i], now_us);
}

void
eg_capacity_controller_stop (struct eg_capacity_controller *self)
{
  self->stopped = true;
}

static const char *const result_names[] = {
    [EG_ORDER_ACCEPTED] = "taken",      [EG_ORDER_NOT_SENT] = "not-sent",
    [EG_ORDER_REFUSED] = "refused",     [EG_ORDER_UNKNOWN] = "unknown",
    [EG_ORDER_WITHDRAWN] = "withdrawn",
};

void
eg_capacity_controller_order_done (struct eg_capacity_controller *self,
                                   const struct eg_backend_event *event,
                                   int64_t now_us)
{
  struct service_state *state = find_service_by_id (self, event->request);
  enum eg_order_result result = event->order_result;

  eg_log (result == EG_ORDER_ACCEPTED ? EG_LOG_NOTICE : EG_LOG_WARNING,
          "orderer", "event=order-ended server=%s result=%s status=%d",
          event->address, result_names[result], event->http_status);
  if (state)
    eg_orders_complete (state->orders, eg_str_from (event->address), result,
                        now_us);
}

size_t
eg_capacity_controller_leases_held (const struct eg_capacity_controller *self,
                                    int64_t now_us)
{
  size_t count = 0;

  for (size_t i = 0; i < self->service_count; i++)
    count += eg_lease_is_held (&self->services[i]->lease, now_us);
  return count;
}
