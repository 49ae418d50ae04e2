#include "policy/orders.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"

/* Maximum number of model versions that are counted. Servers with further
   versions do not count towards capacity and get no orders. */
#define VERSIONS_MAX 32
#define NO_TARGET (-1)
#define NO_VERSION (-1)

/* State of the last order to one server. */
enum assignment_state
{
  ASSIGNMENT_NONE,
  ASSIGNMENT_SENT,        /* The result is not known yet. */
  ASSIGNMENT_UNCONFIRMED, /* Ended, but not yet confirmed by a report. */
};

struct assignment
{
  uint64_t address_hash; /* Indexes of servers are reused. */
  enum assignment_state state;
  struct eg_order order;
  int64_t sent_us;
  int64_t ended_us;
  unsigned failures; /* Consecutive. */
  int64_t retry_us;  /* No orders before this time. */
};

/* One server of the service in the failure domain, by its last report. */
struct member
{
  uint32_t index;
  const struct eg_server *server;
  struct assignment *assignment;
  int target_index;  /* Target that it holds; NO_TARGET for none. */
  int version_index; /* Its model version; NO_VERSION for none. */
  bool managed;      /* Whether a target covers any layer it holds. */
  bool usable;       /* Whether it serves requests now. */
  bool orderable;    /* Whether it may get an order now. */
};

/* Number of usable servers of one model version that cover each target. */
struct model_version
{
  const char *model;
  const char *version;
  uint32_t covering[EG_ORDERS_TARGETS_MAX];
};

struct eg_orders
{
  struct eg_orders_config config;
  char service[EG_NAME_BYTES];
  char failure_domain[EG_NAME_BYTES];
  struct eg_orders_target targets[EG_ORDERS_TARGETS_MAX];
  size_t target_count;
  struct assignment *assignments; /* By server index. */
  uint32_t assignment_count;
  int64_t next_load_us;
  int64_t surplus_since_us; /* 0 if there is none. */
  int64_t waiting_since_us; /* For an idle server; 0 if not waiting. */
  enum eg_orders_shortage shortage;

  /* Recalculated by each eg_orders_next(). */
  struct member *members;
  uint32_t member_count;
  struct model_version versions[VERSIONS_MAX];
  int version_count;
  uint32_t held[EG_ORDERS_TARGETS_MAX];    /* Available servers that hold it. */
  uint32_t usable[EG_ORDERS_TARGETS_MAX];  /* Those that serve requests now. */
  uint32_t loading[EG_ORDERS_TARGETS_MAX]; /* Loads in progress. */
  uint32_t loads;
  uint32_t unloads;
  bool failing; /* Whether the last order to some server failed. */
};

struct eg_orders *
eg_orders_new (const struct eg_orders_config *config,
               struct eg_str service,
               struct eg_str failure_domain)
{
  struct eg_orders *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->config = *config;
  eg_str_copy (service, self->service, sizeof self->service);
  eg_str_copy (failure_domain, self->failure_domain,
               sizeof self->failure_domain);
  return self;
}

void
eg_orders_free (struct eg_orders *self)
{
  if (!self)
    return;
  free (self->assignments);
  free (self->members);
  free (self);
}

void
eg_orders_set_targets (struct eg_orders *self,
                       const struct eg_orders_target *targets,
                       size_t count)
{
  EG_INVARIANT (count <= EG_ORDERS_TARGETS_MAX);
  if (count > 0)
    memcpy (self->targets, targets, count * sizeof *targets);
  self->target_count = count;
  self->surplus_since_us = 0;
}

void
eg_orders_reset (struct eg_orders *self)
{
  for (uint32_t i = 0; i < self->assignment_count; i++)
    self->assignments[i].state = ASSIGNMENT_NONE;
  self->surplus_since_us = 0;
  self->waiting_since_us = 0;
}

/* Outstanding orders. */

static void
record_failure (struct eg_orders *self,
                struct assignment *assignment,
                int64_t now_us)
{
  int64_t delay_us = self->config.backoff_min_us;

  for (unsigned i = 0;
       i < assignment->failures && delay_us < self->config.backoff_max_us; i++)
    delay_us *= 2;
  if (delay_us > self->config.backoff_max_us)
    delay_us = self->config.backoff_max_us;
  assignment->state = ASSIGNMENT_NONE;
  assignment->failures++;
  assignment->retry_us = now_us + delay_us;
}

static bool
is_unloaded (const struct eg_server *server)
{
  return (server->block_reasons & EG_SERVER_UNLOADED) != 0;
}

static bool
holds (const struct eg_server *server,
       const char *model,
       const char *version,
       uint32_t first_layer,
       uint32_t last_layer)
{
  const struct eg_server_report *report = &server->report;

  return !is_unloaded (server) && report->first_layer == first_layer
         && report->last_layer == last_layer
         && strcmp (report->model, model) == 0
         && strcmp (report->version, version) == 0;
}

static bool
confirms (const struct eg_server *server, const struct eg_order *order)
{
  bool held = holds (server, order->model, order->version, order->first_layer,
                     order->last_layer);

  return order->kind == EG_ORDER_LOAD ? held : !held;
}

static bool
is_unavailable (const struct eg_orders *self, const struct eg_server *server)
{
  return (server->block_reasons & ~(unsigned) EG_SERVER_UNLOADED) != 0
         || server->failures >= self->config.failures_tolerated;
}

/* Completes an order that a report confirms; records a failure if the server
   became unavailable, a later report contradicts the order, or it timed out. */
static void
update_assignment (struct eg_orders *self,
                   struct assignment *assignment,
                   const struct eg_server *server,
                   int64_t now_us)
{
  int64_t as_of_us = server->report.as_of_us;

  if (assignment->state == ASSIGNMENT_NONE)
    return;
  if (assignment->state == ASSIGNMENT_UNCONFIRMED
      && as_of_us > assignment->sent_us
      && confirms (server, &assignment->order))
    {
      assignment->state = ASSIGNMENT_NONE;
      assignment->failures = 0;
      return;
    }
  if (now_us - assignment->sent_us > self->config.timeout_us
      || (assignment->state == ASSIGNMENT_UNCONFIRMED
          && (is_unavailable (self, server)
              || as_of_us > assignment->ended_us + self->config.settle_us)))
    record_failure (self, assignment, now_us);
}

/* State of the servers. */

/* Returns whether any target overlaps the layers that a server holds. A target
   for the first half of a model does not apply to servers with the second. */
static bool
is_managed (const struct eg_orders *self, const struct eg_server_report *report)
{
  for (size_t i = 0; i < self->target_count; i++)
    {
      const struct eg_orders_target *target = &self->targets[i];

      if (target->first_layer <= report->last_layer
          && target->last_layer >= report->first_layer
          && strcmp (target->model, report->model) == 0)
        return true;
    }
  return false;
}

static int
find_held_target (const struct eg_orders *self, const struct eg_server *server)
{
  for (size_t i = 0; i < self->target_count; i++)
    {
      const struct eg_orders_target *target = &self->targets[i];

      if (holds (server, target->model, target->version, target->first_layer,
                 target->last_layer))
        return (int) i;
    }
  return NO_TARGET;
}

static int
find_order_target (const struct eg_orders *self, const struct eg_order *order)
{
  for (size_t i = 0; i < self->target_count; i++)
    {
      const struct eg_orders_target *target = &self->targets[i];

      if (target->first_layer == order->first_layer
          && target->last_layer == order->last_layer
          && strcmp (target->model, order->model) == 0
          && strcmp (target->version, order->version) == 0)
        return (int) i;
    }
  return NO_TARGET;
}

static int
find_version (struct eg_orders *self, const struct eg_server_report *report)
{
  struct model_version *version;

  for (int i = 0; i < self->version_count; i++)
    if (strcmp (self->versions[i].model, report->model) == 0
        && strcmp (self->versions[i].version, report->version) == 0)
      return i;
  if (self->version_count == VERSIONS_MAX)
    return NO_VERSION;
  version = &self->versions[self->version_count];
  memset (version, 0, sizeof *version);
  version->model = report->model;
  version->version = report->version;
  return self->version_count++;
}

/* Returns whether a server has all layers of a target, in any version. */
static bool
covers (const struct eg_server *server, const struct eg_orders_target *target)
{
  const struct eg_server_report *report = &server->report;

  return !is_unloaded (server) && report->first_layer <= target->first_layer
         && report->last_layer >= target->last_layer
         && strcmp (report->model, target->model) == 0;
}

static bool
is_in_scope (const struct eg_orders *self, const struct eg_server *server)
{
  return *server->address && server->reported
         && !(server->block_reasons & EG_SERVER_GONE)
         && strcmp (server->report.service, self->service) == 0
         && strcmp (server->failure_domain, self->failure_domain) == 0
         && (is_unloaded (server) || *server->report.model);
}

static struct assignment *
get_assignment (struct eg_orders *self, uint32_t index, const char *address)
{
  struct assignment *assignment = &self->assignments[index];
  uint64_t address_hash = eg_hash_str (eg_str_from (address));

  if (assignment->address_hash != address_hash)
    *assignment = (struct assignment){.address_hash = address_hash};
  return assignment;
}

static void
grow_tables (struct eg_orders *self, uint32_t count)
{
  if (count <= self->assignment_count)
    return;
  self->assignments =
      realloc (self->assignments, count * sizeof *self->assignments);
  self->members = realloc (self->members, count * sizeof *self->members);
  EG_INVARIANT (self->assignments != NULL && self->members != NULL);
  memset (self->assignments + self->assignment_count, 0,
          (count - self->assignment_count) * sizeof *self->assignments);
  self->assignment_count = count;
}

static void
count_order (struct eg_orders *self, const struct assignment *assignment)
{
  int target = find_order_target (self, &assignment->order);

  if (assignment->order.kind == EG_ORDER_UNLOAD)
    {
      self->unloads++;
      return;
    }
  self->loads++;
  if (target != NO_TARGET)
    self->loading[target]++;
}

static void
count_member (struct eg_orders *self, struct member *member)
{
  struct model_version *version;

  if (member->target_index != NO_TARGET)
    {
      self->held[member->target_index] +=
          !is_unavailable (self, member->server);
      self->usable[member->target_index] += member->usable;
    }
  if (!member->usable || member->version_index == NO_VERSION)
    return;
  version = &self->versions[member->version_index];
  for (size_t i = 0; i < self->target_count; i++)
    version->covering[i] += covers (member->server, &self->targets[i]);
}

static void
add_member (struct eg_orders *self,
            const struct eg_servers *servers,
            uint32_t index,
            int64_t now_us)
{
  const struct eg_server *server = eg_servers_get (servers, index);
  struct assignment *assignment = get_assignment (self, index, server->address);
  struct member *member = &self->members[self->member_count++];
  bool managed;

  update_assignment (self, assignment, server, now_us);
  managed = !is_unloaded (server) && is_managed (self, &server->report);
  *member = (struct member){
      .index = index,
      .server = server,
      .assignment = assignment,
      .target_index = managed ? find_held_target (self, server) : NO_TARGET,
      .version_index =
          managed ? find_version (self, &server->report) : NO_VERSION,
      .managed = managed,
  };
  self->failing |= assignment->failures > 0;
  if (assignment->state != ASSIGNMENT_NONE)
    {
      /* Its content is changing, so the last report is out of date. */
      count_order (self, assignment);
      return;
    }
  member->usable = eg_servers_usable (servers, index, now_us);
  member->orderable = !is_unavailable (self, server) && server->failures == 0
                      && now_us >= assignment->retry_us;
  count_member (self, member);
}

static void
collect_members (struct eg_orders *self,
                 const struct eg_servers *servers,
                 int64_t now_us)
{
  uint32_t count = eg_servers_count (servers);

  grow_tables (self, count);
  self->member_count = 0;
  self->version_count = 0;
  self->loads = 0;
  self->unloads = 0;
  self->failing = false;
  memset (self->held, 0, sizeof self->held);
  memset (self->usable, 0, sizeof self->usable);
  memset (self->loading, 0, sizeof self->loading);
  for (uint32_t i = 0; i < count; i++)
    if (is_in_scope (self, eg_servers_get (servers, i)))
      add_member (self, servers, i, now_us);
}

/* Capacity of a model: the number of complete chains, where a chain is a set of
   servers of one version that together cover all targets of the model. */

static uint32_t
count_chains (const struct eg_orders *self,
              const struct model_version *version,
              const struct member *excluded)
{
  uint32_t chains = UINT32_MAX;

  for (size_t i = 0; i < self->target_count; i++)
    {
      const struct eg_orders_target *target = &self->targets[i];
      uint32_t covering = version->covering[i];

      if (strcmp (target->model, version->model) != 0)
        continue;
      if (excluded && excluded->usable
          && &self->versions[excluded->version_index] == version)
        covering -= covers (excluded->server, target);
      if (covering < chains)
        chains = covering;
    }
  return chains;
}

/* Counts the chains of all versions of a model. @p excluded is a server that is
   left out, or NULL. */
static uint32_t
count_all_chains (const struct eg_orders *self,
                  const char *model,
                  const struct member *excluded)
{
  uint32_t sum = 0;

  for (int i = 0; i < self->version_count; i++)
    if (strcmp (self->versions[i].model, model) == 0)
      sum += count_chains (self, &self->versions[i], excluded);
  return sum;
}

static bool
is_first_of_version (const struct eg_orders *self, size_t index)
{
  const struct eg_orders_target *target = &self->targets[index];

  for (size_t i = 0; i < index; i++)
    if (strcmp (self->targets[i].model, target->model) == 0
        && strcmp (self->targets[i].version, target->version) == 0)
      return false;
  return true;
}

static uint32_t
wanted_chains (const struct eg_orders *self, const char *model)
{
  uint32_t sum = 0;

  for (size_t i = 0; i < self->target_count; i++)
    {
      uint32_t least = UINT32_MAX;

      if (strcmp (self->targets[i].model, model) != 0
          || !is_first_of_version (self, i))
        continue;
      for (size_t j = i; j < self->target_count; j++)
        if (strcmp (self->targets[j].model, model) == 0
            && strcmp (self->targets[j].version, self->targets[i].version) == 0
            && self->targets[j].count < least)
          least = self->targets[j].count;
      sum += least;
    }
  return sum;
}

/* Cost of reassigning a server; lower is better. */
enum cost
{
  COST_EMPTY,     /* It holds nothing. */
  COST_SPARE,     /* Capacity stays sufficient without it. */
  COST_ROLLING,   /* Capacity drops by one chain, as a roll-out needs. */
  COST_FORBIDDEN, /* It must not be reassigned. */
};

static enum cost
cost_of (const struct eg_orders *self, const struct member *member)
{
  const char *model = member->server->report.model;
  uint32_t before;
  uint32_t after;
  uint32_t wanted;
  uint32_t floor;

  if (is_unloaded (member->server))
    return COST_EMPTY;
  if (!member->managed || member->version_index == NO_VERSION)
    return COST_FORBIDDEN;
  if (member->target_index != NO_TARGET
      && self->usable[member->target_index]
             <= self->targets[member->target_index].count)
    return COST_FORBIDDEN;
  before = count_all_chains (self, model, NULL);
  after = count_all_chains (self, model, member);
  wanted = wanted_chains (self, model);
  if (after >= wanted || after == before)
    return COST_SPARE;
  /* A load in progress may free a server that costs less. */
  if (self->loads > 0)
    return COST_FORBIDDEN;
  /* With fewer chains than the rules ask for, a roll-out continues from the
     existing capacity, but not while orders fail. */
  floor = before < wanted && !self->failing ? before : wanted;
  return after >= 1 && after + 1 >= floor ? COST_ROLLING : COST_FORBIDDEN;
}

static bool
is_idle (const struct eg_servers *servers, const struct member *member)
{
  return eg_servers_load (servers, member->index) == 0;
}

/* Finds the server with the lowest cost and, among equals, the lowest load. */
static const struct member *
choose_server (const struct eg_orders *self, const struct eg_servers *servers)
{
  const struct member *best = NULL;
  enum cost best_cost = COST_FORBIDDEN;
  uint32_t best_load = 0;

  for (uint32_t i = 0; i < self->member_count; i++)
    {
      const struct member *member = &self->members[i];
      uint32_t load = eg_servers_load (servers, member->index);
      enum cost cost;

      if (!member->orderable)
        continue;
      cost = cost_of (self, member);
      if (cost < best_cost || (best && cost == best_cost && load < best_load))
        {
          best = member;
          best_cost = cost;
          best_load = load;
        }
    }
  return best;
}

/* Issuing orders. */

static void
issue_order (struct eg_orders *self,
             const struct member *member,
             enum eg_order_kind kind,
             const struct eg_order *content,
             int64_t now_us,
             struct eg_order *order)
{
  struct assignment *assignment = member->assignment;

  *order = *content;
  order->kind = kind;
  memcpy (order->address, member->server->address, sizeof order->address);
  assignment->state = ASSIGNMENT_SENT;
  assignment->order = *order;
  assignment->sent_us = now_us;
  assignment->ended_us = now_us;
  self->shortage = EG_ORDERS_IN_PROGRESS;
}

static uint32_t
shortfall_of (const struct eg_orders *self, size_t target)
{
  uint32_t have = self->held[target] + self->loading[target];

  return have < self->targets[target].count ? self->targets[target].count - have
                                            : 0;
}

/* Finds the target that lacks the largest fraction of its servers. */
static int
find_largest_shortfall (const struct eg_orders *self)
{
  int found = NO_TARGET;

  for (size_t i = 0; i < self->target_count; i++)
    {
      uint64_t shortfall = shortfall_of (self, i);

      if (shortfall > 0
          && (found == NO_TARGET
              || shortfall * self->targets[found].count
                     > (uint64_t) shortfall_of (self, (size_t) found)
                           * self->targets[i].count))
        found = (int) i;
    }
  return found;
}

static bool
order_load (struct eg_orders *self,
            const struct eg_servers *servers,
            int index,
            int64_t now_us,
            struct eg_order *order)
{
  const struct eg_orders_target *target = &self->targets[index];
  struct eg_order content = {.first_layer = target->first_layer,
                             .last_layer = target->last_layer};
  const struct member *member;

  self->shortage = EG_ORDERS_IN_PROGRESS;
  if (self->loads >= self->config.loads_max || now_us < self->next_load_us)
    return false;
  member = choose_server (self, servers);
  if (!member)
    {
      if (self->loads == 0)
        self->shortage = EG_ORDERS_NO_SERVER;
      return false;
    }
  if (self->waiting_since_us == 0)
    self->waiting_since_us = now_us;
  if (!is_idle (servers, member)
      && now_us - self->waiting_since_us < self->config.idle_wait_us)
    return false;
  memcpy (content.model, target->model, sizeof content.model);
  memcpy (content.version, target->version, sizeof content.version);
  self->next_load_us = now_us + self->config.load_interval_us;
  self->waiting_since_us = 0;
  issue_order (self, member, EG_ORDER_LOAD, &content, now_us, order);
  return true;
}

/* Finds an idle server that can be unloaded without loss of capacity. */
static const struct member *
find_surplus (const struct eg_orders *self, const struct eg_servers *servers)
{
  for (uint32_t i = 0; i < self->member_count; i++)
    {
      const struct member *member = &self->members[i];

      if (member->orderable && member->managed && is_idle (servers, member)
          && cost_of (self, member) == COST_SPARE)
        return member;
    }
  return NULL;
}

static bool
order_unload (struct eg_orders *self,
              const struct eg_servers *servers,
              int64_t now_us,
              struct eg_order *order)
{
  const struct member *member;
  struct eg_order content = {0};

  if (self->loads > 0 || self->unloads > 0)
    return false;
  member = find_surplus (self, servers);
  if (!member)
    {
      self->surplus_since_us = 0;
      return false;
    }
  if (self->surplus_since_us == 0)
    self->surplus_since_us = now_us;
  if (now_us - self->surplus_since_us < self->config.surplus_wait_us)
    return false;
  memcpy (content.model, member->server->report.model, sizeof content.model);
  memcpy (content.version, member->server->report.version,
          sizeof content.version);
  content.first_layer = member->server->report.first_layer;
  content.last_layer = member->server->report.last_layer;
  self->surplus_since_us = 0;
  issue_order (self, member, EG_ORDER_UNLOAD, &content, now_us, order);
  return true;
}

bool
eg_orders_next (struct eg_orders *self,
                const struct eg_servers *servers,
                int64_t now_us,
                struct eg_order *order)
{
  int target;

  collect_members (self, servers, now_us);
  self->shortage = EG_ORDERS_NO_SHORTAGE;
  if (self->target_count == 0)
    return false;
  target = find_largest_shortfall (self);
  if (target == NO_TARGET)
    {
      self->waiting_since_us = 0;
      return order_unload (self, servers, now_us, order);
    }
  self->surplus_since_us = 0;
  return order_load (self, servers, target, now_us, order);
}

void
eg_orders_complete (struct eg_orders *self,
                    struct eg_str address,
                    enum eg_order_result result,
                    int64_t now_us)
{
  uint64_t address_hash = eg_hash_str (address);

  for (uint32_t i = 0; i < self->assignment_count; i++)
    {
      struct assignment *assignment = &self->assignments[i];

      if (assignment->address_hash != address_hash
          || assignment->state != ASSIGNMENT_SENT)
        continue;
      assignment->ended_us = now_us;
      assignment->state = ASSIGNMENT_UNCONFIRMED;
      if (result == EG_ORDER_WITHDRAWN)
        assignment->state = ASSIGNMENT_NONE;
      if (result == EG_ORDER_NOT_SENT || result == EG_ORDER_REFUSED)
        record_failure (self, assignment, now_us);
      return;
    }
}

enum eg_orders_shortage
eg_orders_shortage (const struct eg_orders *self)
{
  return self->shortage;
}
