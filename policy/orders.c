#include "policy/orders.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"

/* Versions of models that are told apart when capacity is counted; servers of
   further ones count for nothing, and are not taken. */
#define TALLIES_MAX 32
#define NO_GROUP (-1)
#define NO_TALLY (-1)

/* What became of the last order to one server. */
enum place_state
{
  PLACE_FREE,
  PLACE_GIVEN,    /* No answer yet. */
  PLACE_SETTLING, /* Answered, or not; no report has shown it. */
};

struct place
{
  uint64_t address_hash; /* An index may pass on to another server. */
  enum place_state state;
  struct eg_order order;
  int64_t given_us;
  int64_t ended_us;
  unsigned failures; /* In a row. */
  int64_t retry_us;
};

/* One server of the service in the failure domain, as it stands now. */
struct member
{
  uint32_t index;
  const struct eg_server *server;
  struct place *place;
  int group;      /* Wanted one that it holds; NO_GROUP for none. */
  int tally;      /* Of its model and version; NO_TALLY for none. */
  bool managed;   /* Whether a rule speaks of what it holds. */
  bool usable;    /* Whether it serves now. */
  bool orderable; /* Whether it may be ordered now. */
};

/* Usable servers of one model and version that hold each wanted range. */
struct tally
{
  const char *model;
  const char *version;
  uint32_t holding[EG_ORDERS_TARGETS_MAX];
};

struct eg_orders
{
  struct eg_orders_config config;
  char service[EG_NAME_BYTES];
  char failure_domain[EG_NAME_BYTES];
  struct eg_orders_target wanted[EG_ORDERS_TARGETS_MAX];
  size_t wanted_count;
  struct place *places; /* By index of the server. */
  uint32_t place_count;
  int64_t next_load_us;
  int64_t surplus_since_us; /* 0 while there is none. */
  int64_t waiting_since_us; /* For an idle server; 0 if not. */
  enum eg_orders_shortage shortage;

  /* Worked out anew by each eg_orders_next(). */
  struct member *members;
  uint32_t member_count;
  struct tally tallies[TALLIES_MAX];
  int tally_count;
  uint32_t held[EG_ORDERS_TARGETS_MAX];   /* Servers that hold a group. */
  uint32_t usable[EG_ORDERS_TARGETS_MAX]; /* Those of them that serve. */
  uint32_t coming[EG_ORDERS_TARGETS_MAX]; /* Loads under way. */
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
  free (self->places);
  free (self->members);
  free (self);
}

void
eg_orders_set_targets (struct eg_orders *self,
                       const struct eg_orders_target *wanted,
                       size_t count)
{
  EG_INVARIANT (count <= EG_ORDERS_TARGETS_MAX);
  if (count > 0)
    memcpy (self->wanted, wanted, count * sizeof *wanted);
  self->wanted_count = count;
  self->surplus_since_us = 0;
}

void
eg_orders_reset (struct eg_orders *self)
{
  for (uint32_t i = 0; i < self->place_count; i++)
    self->places[i].state = PLACE_FREE;
  self->surplus_since_us = 0;
  self->waiting_since_us = 0;
}

/* Orders under way. */

static void
fail (struct eg_orders *self, struct place *place, int64_t now_us)
{
  int64_t delay_us = self->config.backoff_min_us;

  for (unsigned i = 0;
       i < place->failures && delay_us < self->config.backoff_max_us; i++)
    delay_us *= 2;
  if (delay_us > self->config.backoff_max_us)
    delay_us = self->config.backoff_max_us;
  place->state = PLACE_FREE;
  place->failures++;
  place->retry_us = now_us + delay_us;
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
shows (const struct eg_server *server, const struct eg_order *order)
{
  bool held = holds (server, order->model, order->version, order->first_layer,
                     order->last_layer);

  return order->kind == EG_ORDER_LOAD ? held : !held;
}

static bool
is_lost (const struct eg_orders *self, const struct eg_server *server)
{
  return (server->block_reasons & ~(unsigned) EG_SERVER_UNLOADED) != 0
         || server->failures >= self->config.failures_tolerated;
}

/* Ends what a report has shown, and what none will show. */
static void
settle (struct eg_orders *self,
        struct place *place,
        const struct eg_server *server,
        int64_t now_us)
{
  int64_t as_of_us = server->report.as_of_us;

  if (place->state == PLACE_FREE)
    return;
  if (place->state == PLACE_SETTLING && as_of_us > place->given_us
      && shows (server, &place->order))
    {
      place->state = PLACE_FREE;
      place->failures = 0;
      return;
    }
  if (now_us - place->given_us > self->config.timeout_us
      || (place->state == PLACE_SETTLING
          && (is_lost (self, server)
              || as_of_us > place->ended_us + self->config.settle_us)))
    fail (self, place, now_us);
}

/* The servers as they stand. */

/* Tells whether a rule speaks of any layer that a server holds. A rule for the
   first half of a model says nothing of servers with the second. */
static bool
is_managed (const struct eg_orders *self, const struct eg_server_report *report)
{
  for (size_t i = 0; i < self->wanted_count; i++)
    {
      const struct eg_orders_target *wanted = &self->wanted[i];

      if (wanted->first_layer <= report->last_layer
          && wanted->last_layer >= report->first_layer
          && strcmp (wanted->model, report->model) == 0)
        return true;
    }
  return false;
}

static int
find_group (const struct eg_orders *self, const struct eg_server *server)
{
  for (size_t i = 0; i < self->wanted_count; i++)
    {
      const struct eg_orders_target *wanted = &self->wanted[i];

      if (holds (server, wanted->model, wanted->version, wanted->first_layer,
                 wanted->last_layer))
        return (int) i;
    }
  return NO_GROUP;
}

static int
find_target (const struct eg_orders *self, const struct eg_order *order)
{
  for (size_t i = 0; i < self->wanted_count; i++)
    {
      const struct eg_orders_target *wanted = &self->wanted[i];

      if (wanted->first_layer == order->first_layer
          && wanted->last_layer == order->last_layer
          && strcmp (wanted->model, order->model) == 0
          && strcmp (wanted->version, order->version) == 0)
        return (int) i;
    }
  return NO_GROUP;
}

static int
find_tally (struct eg_orders *self, const struct eg_server_report *report)
{
  struct tally *tally;

  for (int i = 0; i < self->tally_count; i++)
    if (strcmp (self->tallies[i].model, report->model) == 0
        && strcmp (self->tallies[i].version, report->version) == 0)
      return i;
  if (self->tally_count == TALLIES_MAX)
    return NO_TALLY;
  tally = &self->tallies[self->tally_count];
  memset (tally, 0, sizeof *tally);
  tally->model = report->model;
  tally->version = report->version;
  return self->tally_count++;
}

/* Tells whether a server has all layers of a wanted range, of any version. */
static bool
covers (const struct eg_server *server, const struct eg_orders_target *wanted)
{
  const struct eg_server_report *report = &server->report;

  return !is_unloaded (server) && report->first_layer <= wanted->first_layer
         && report->last_layer >= wanted->last_layer
         && strcmp (report->model, wanted->model) == 0;
}

static bool
belongs (const struct eg_orders *self, const struct eg_server *server)
{
  return *server->address && server->reported
         && !(server->block_reasons & EG_SERVER_GONE)
         && strcmp (server->report.service, self->service) == 0
         && strcmp (server->failure_domain, self->failure_domain) == 0
         && (is_unloaded (server) || *server->report.model);
}

static struct place *
place_of (struct eg_orders *self, uint32_t index, const char *address)
{
  struct place *place = &self->places[index];
  uint64_t address_hash = eg_hash_str (eg_str_from (address));

  if (place->address_hash != address_hash)
    *place = (struct place){.address_hash = address_hash};
  return place;
}

static void
cover_servers (struct eg_orders *self, uint32_t count)
{
  if (count <= self->place_count)
    return;
  self->places = realloc (self->places, count * sizeof *self->places);
  self->members = realloc (self->members, count * sizeof *self->members);
  EG_INVARIANT (self->places != NULL && self->members != NULL);
  memset (self->places + self->place_count, 0,
          (count - self->place_count) * sizeof *self->places);
  self->place_count = count;
}

static void
count_order (struct eg_orders *self, const struct place *place)
{
  int target = find_target (self, &place->order);

  if (place->order.kind == EG_ORDER_UNLOAD)
    {
      self->unloads++;
      return;
    }
  self->loads++;
  if (target != NO_GROUP)
    self->coming[target]++;
}

static void
count_member (struct eg_orders *self, struct member *member)
{
  struct tally *tally;

  if (member->group != NO_GROUP)
    {
      self->held[member->group] += !is_lost (self, member->server);
      self->usable[member->group] += member->usable;
    }
  if (!member->usable || member->tally == NO_TALLY)
    return;
  tally = &self->tallies[member->tally];
  for (size_t i = 0; i < self->wanted_count; i++)
    tally->holding[i] += covers (member->server, &self->wanted[i]);
}

static void
add_member (struct eg_orders *self,
            const struct eg_servers *servers,
            uint32_t index,
            int64_t now_us)
{
  const struct eg_server *server = eg_servers_get (servers, index);
  struct place *place = place_of (self, index, server->address);
  struct member *member = &self->members[self->member_count++];
  bool managed;

  settle (self, place, server, now_us);
  managed = !is_unloaded (server) && is_managed (self, &server->report);
  *member = (struct member){
      .index = index,
      .server = server,
      .place = place,
      .group = managed ? find_group (self, server) : NO_GROUP,
      .tally = managed ? find_tally (self, &server->report) : NO_TALLY,
      .managed = managed,
  };
  self->failing |= place->failures > 0;
  if (place->state != PLACE_FREE)
    {
      /* It is on its way elsewhere, whatever an old report says. */
      count_order (self, place);
      return;
    }
  member->usable = eg_servers_usable (servers, index, now_us);
  member->orderable = !is_lost (self, server) && server->failures == 0
                      && now_us >= place->retry_us;
  count_member (self, member);
}

static void
look (struct eg_orders *self, const struct eg_servers *servers, int64_t now_us)
{
  uint32_t count = eg_servers_count (servers);

  cover_servers (self, count);
  self->member_count = 0;
  self->tally_count = 0;
  self->loads = 0;
  self->unloads = 0;
  self->failing = false;
  memset (self->held, 0, sizeof self->held);
  memset (self->usable, 0, sizeof self->usable);
  memset (self->coming, 0, sizeof self->coming);
  for (uint32_t i = 0; i < count; i++)
    if (belongs (self, eg_servers_get (servers, i)))
      add_member (self, servers, i, now_us);
}

/* Capacity: whole chains of one version, over all versions of a model. */

static uint32_t
chains_of (const struct eg_orders *self,
           const struct tally *tally,
           const struct member *without)
{
  uint32_t chains = UINT32_MAX;

  for (size_t i = 0; i < self->wanted_count; i++)
    {
      const struct eg_orders_target *wanted = &self->wanted[i];
      uint32_t holding = tally->holding[i];

      if (strcmp (wanted->model, tally->model) != 0)
        continue;
      if (without && without->usable && &self->tallies[without->tally] == tally)
        holding -= covers (without->server, wanted);
      if (holding < chains)
        chains = holding;
    }
  return chains;
}

/* @p without is a server that is left out, or NULL. */
static uint32_t
capacity (const struct eg_orders *self,
          const char *model,
          const struct member *without)
{
  uint32_t sum = 0;

  for (int i = 0; i < self->tally_count; i++)
    if (strcmp (self->tallies[i].model, model) == 0)
      sum += chains_of (self, &self->tallies[i], without);
  return sum;
}

static bool
is_first_of_version (const struct eg_orders *self, size_t index)
{
  const struct eg_orders_target *wanted = &self->wanted[index];

  for (size_t i = 0; i < index; i++)
    if (strcmp (self->wanted[i].model, wanted->model) == 0
        && strcmp (self->wanted[i].version, wanted->version) == 0)
      return false;
  return true;
}

static uint32_t
wanted_chains (const struct eg_orders *self, const char *model)
{
  uint32_t sum = 0;

  for (size_t i = 0; i < self->wanted_count; i++)
    {
      uint32_t least = UINT32_MAX;

      if (strcmp (self->wanted[i].model, model) != 0
          || !is_first_of_version (self, i))
        continue;
      for (size_t j = i; j < self->wanted_count; j++)
        if (strcmp (self->wanted[j].model, model) == 0
            && strcmp (self->wanted[j].version, self->wanted[i].version) == 0
            && self->wanted[j].count < least)
          least = self->wanted[j].count;
      sum += least;
    }
  return sum;
}

/* How dear it is to take a server from what it does; lower is better. */
enum rank
{
  RANK_EMPTY,   /* It does nothing. */
  RANK_SPARE,   /* What it does is done enough by others. */
  RANK_ROLLING, /* One below what is wanted, as a roll-out needs. */
  RANK_NEVER,
};

static enum rank
rank_of (const struct eg_orders *self, const struct member *member)
{
  const char *model = member->server->report.model;
  uint32_t before;
  uint32_t after;
  uint32_t wanted;
  uint32_t floor;

  if (is_unloaded (member->server))
    return RANK_EMPTY;
  if (!member->managed || member->tally == NO_TALLY)
    return RANK_NEVER;
  if (member->group != NO_GROUP
      && self->usable[member->group] <= self->wanted[member->group].count)
    return RANK_NEVER;
  before = capacity (self, model, NULL);
  after = capacity (self, model, member);
  wanted = wanted_chains (self, model);
  if (after >= wanted || after == before)
    return RANK_SPARE;
  /* What is under way may bring a server that is less dear. */
  if (self->loads > 0)
    return RANK_NEVER;
  /* With fewer servers than the rules ask for, a roll-out goes on from what
     there is, but not while orders fail. */
  floor = before < wanted && !self->failing ? before : wanted;
  return after >= 1 && after + 1 >= floor ? RANK_ROLLING : RANK_NEVER;
}

static bool
is_idle (const struct eg_servers *servers, const struct member *member)
{
  return eg_servers_load (servers, member->index) == 0;
}

/* Finds the server that is the least dear to take, and has least to do. */
static const struct member *
choose (const struct eg_orders *self, const struct eg_servers *servers)
{
  const struct member *best = NULL;
  enum rank best_rank = RANK_NEVER;
  uint32_t best_load = 0;

  for (uint32_t i = 0; i < self->member_count; i++)
    {
      const struct member *member = &self->members[i];
      uint32_t load = eg_servers_load (servers, member->index);
      enum rank rank;

      if (!member->orderable)
        continue;
      rank = rank_of (self, member);
      if (rank < best_rank || (best && rank == best_rank && load < best_load))
        {
          best = member;
          best_rank = rank;
          best_load = load;
        }
    }
  return best;
}

/* Giving orders. */

static void
give (struct eg_orders *self,
      const struct member *member,
      enum eg_order_kind kind,
      const struct eg_order *what,
      int64_t now_us,
      struct eg_order *order)
{
  struct place *place = member->place;

  *order = *what;
  order->kind = kind;
  memcpy (order->address, member->server->address, sizeof order->address);
  place->state = PLACE_GIVEN;
  place->order = *order;
  place->given_us = now_us;
  place->ended_us = now_us;
  self->shortage = EG_ORDERS_IN_PROGRESS;
}

static uint32_t
lack_of (const struct eg_orders *self, size_t group)
{
  uint32_t have = self->held[group] + self->coming[group];

  return have < self->wanted[group].count ? self->wanted[group].count - have
                                          : 0;
}

/* Finds the group that lacks the greatest part of its servers. */
static int
most_lacking (const struct eg_orders *self)
{
  int found = NO_GROUP;

  for (size_t i = 0; i < self->wanted_count; i++)
    {
      uint64_t lack = lack_of (self, i);

      if (lack > 0
          && (found == NO_GROUP
              || lack * self->wanted[found].count
                     > (uint64_t) lack_of (self, (size_t) found)
                           * self->wanted[i].count))
        found = (int) i;
    }
  return found;
}

static bool
give_load (struct eg_orders *self,
           const struct eg_servers *servers,
           int group,
           int64_t now_us,
           struct eg_order *order)
{
  const struct eg_orders_target *wanted = &self->wanted[group];
  struct eg_order what = {.first_layer = wanted->first_layer,
                          .last_layer = wanted->last_layer};
  const struct member *member;

  self->shortage = EG_ORDERS_IN_PROGRESS;
  if (self->loads >= self->config.loads_max || now_us < self->next_load_us)
    return false;
  member = choose (self, servers);
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
  memcpy (what.model, wanted->model, sizeof what.model);
  memcpy (what.version, wanted->version, sizeof what.version);
  self->next_load_us = now_us + self->config.load_interval_us;
  self->waiting_since_us = 0;
  give (self, member, EG_ORDER_LOAD, &what, now_us, order);
  return true;
}

/* Finds an idle server that holds what is not wanted of it. */
static const struct member *
find_surplus (const struct eg_orders *self, const struct eg_servers *servers)
{
  for (uint32_t i = 0; i < self->member_count; i++)
    {
      const struct member *member = &self->members[i];

      if (member->orderable && member->managed && is_idle (servers, member)
          && rank_of (self, member) == RANK_SPARE)
        return member;
    }
  return NULL;
}

static bool
give_unload (struct eg_orders *self,
             const struct eg_servers *servers,
             int64_t now_us,
             struct eg_order *order)
{
  const struct member *member;
  struct eg_order what = {0};

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
  memcpy (what.model, member->server->report.model, sizeof what.model);
  memcpy (what.version, member->server->report.version, sizeof what.version);
  what.first_layer = member->server->report.first_layer;
  what.last_layer = member->server->report.last_layer;
  self->surplus_since_us = 0;
  give (self, member, EG_ORDER_UNLOAD, &what, now_us, order);
  return true;
}

bool
eg_orders_next (struct eg_orders *self,
                const struct eg_servers *servers,
                int64_t now_us,
                struct eg_order *order)
{
  int group;

  look (self, servers, now_us);
  self->shortage = EG_ORDERS_NO_SHORTAGE;
  if (self->wanted_count == 0)
    return false;
  group = most_lacking (self);
  if (group == NO_GROUP)
    {
      self->waiting_since_us = 0;
      return give_unload (self, servers, now_us, order);
    }
  self->surplus_since_us = 0;
  return give_load (self, servers, group, now_us, order);
}

void
eg_orders_complete (struct eg_orders *self,
                    struct eg_str address,
                    enum eg_order_result result,
                    int64_t now_us)
{
  uint64_t address_hash = eg_hash_str (address);

  for (uint32_t i = 0; i < self->place_count; i++)
    {
      struct place *place = &self->places[i];

      if (place->address_hash != address_hash || place->state != PLACE_GIVEN)
        continue;
      place->ended_us = now_us;
      place->state = PLACE_SETTLING;
      if (result == EG_ORDER_WITHDRAWN)
        place->state = PLACE_FREE;
      if (result == EG_ORDER_NOT_SENT || result == EG_ORDER_REFUSED)
        fail (self, place, now_us);
      return;
    }
}

enum eg_orders_shortage
eg_orders_shortage (const struct eg_orders *self)
{
  return self->shortage;
}
