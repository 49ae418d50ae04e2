#include "entry/reach_watch.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

/* Connecting within a region takes a millisecond; a busy VM needs some tens to
 * notice it. A lost packet is sent again only after a second. */
#define CHECK_TIMEOUT_US (100 * EG_US_PER_MS)

/* This long after the path was lost, peers have answered that know by then
 * whether they reach servers themselves. */
#define PEERS_ANSWER_US EG_US_PER_S
/* A VM that is asked whether it reaches servers relies on a connection of this
 * age, and makes so many otherwise. */
#define PROOF_AGE_MAX_US (500 * EG_US_PER_MS)
#define PROOF_CHECKS 2
/* Servers checked first when a doubt arises. One that accepts ends the doubt,
 * which mostly arises where several servers have crashed; the other checks
 * follow on the next tick. */
#define FIRST_DOUBT_CHECKS 2

static void
on_connected (void *context)
{
  struct eg_reach_check *self = context;

  eg_fleet_reached (&self->watch->entry->fleet, self->server, self->started_us,
                    eg_clock_now_us ());
}

static void
on_failed (void *context, enum eg_exchange_fault fault)
{
  struct eg_reach_check *self = context;

  (void) fault;
  eg_fleet_not_reached (&self->watch->entry->fleet, self->server,
                        self->started_us, eg_clock_now_us ());
}

static const struct eg_exchange_events check_events = {NULL, NULL, on_connected,
                                                       on_failed};

void
eg_reach_watch_init (struct eg_reach_watch *self, struct eg_entry *entry)
{
  memset (self, 0, sizeof *self);
  self->entry = entry;
  for (size_t i = 0; i < EG_REACH_CHECKS_MAX; i++)
    {
      self->checks[i].watch = self;
      eg_exchange_init (&self->checks[i].exchange, &check_events,
                        &self->checks[i]);
    }
}

void
eg_reach_watch_finish (struct eg_reach_watch *self)
{
  for (size_t i = 0; i < EG_REACH_CHECKS_MAX; i++)
    eg_exchange_cancel (&self->checks[i].exchange);
}

static bool
is_checked (const struct eg_reach_watch *self, uint64_t server)
{
  for (size_t i = 0; i < EG_REACH_CHECKS_MAX; i++)
    if (eg_exchange_is_active (&self->checks[i].exchange)
        && self->checks[i].server == server)
      return true;
  return false;
}

/* Returns whether @p a is checked rather than @p b. Suspects say little about
 * the others while the path is in doubt. */
static bool
precedes (const struct eg_reach_watch *self,
          const struct eg_backend *a,
          const struct eg_backend *b,
          int64_t now_us)
{
  bool a_suspect = eg_backend_is_suspect (a, now_us);
  bool b_suspect = eg_backend_is_suspect (b, now_us);

  if (a_suspect != b_suspect
      && !eg_server_reach_is_lost (&self->entry->fleet.reach))
    return b_suspect;
  return a->checked_us < b->checked_us;
}

static const struct eg_str any_service = {NULL, 0};

/* Chooses a server, of @p service unless that has no data, that is not being
 * checked and was not checked for longest, or NULL. Servers whose records a
 * store has lost get requests for a while, and are checked as long. */
static struct eg_backend *
choose_server (struct eg_reach_watch *self,
               struct eg_str service,
               int64_t now_us)
{
  struct eg_list *all = &self->entry->fleet.all;
  struct eg_backend *chosen = NULL;
  uint64_t equal = 0;

  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);

      if (!eg_backend_is_present (backend, now_us)
          || eg_backend_is_leaving (backend)
          || (service.data && !eg_str_equal (backend->record.service, service))
          || is_checked (self, eg_backend_hash (backend))
          || (chosen && precedes (self, chosen, backend, now_us)))
        continue;
      if (!chosen || precedes (self, backend, chosen, now_us))
        equal = 0;
      if (eg_random_below (&self->entry->random, ++equal) == 0)
        chosen = backend;
    }
  return chosen;
}

static void
start_check (struct eg_reach_watch *self,
             struct eg_reach_check *check,
             struct eg_str service,
             int64_t now_us)
{
  struct eg_backend *backend = choose_server (self, service, now_us);
  struct eg_exchange_request request = {.fresh = true, .connect_only = true};

  if (!backend)
    return;
  request.endpoint = backend->record.endpoint;
  backend->checked_us = now_us;
  check->server = eg_backend_hash (backend);
  check->started_us = now_us;
  if (!eg_exchange_start (&check->exchange, &self->entry->pool, &request))
    eg_log (EG_LOG_WARNING, "reach", "event=check-not-sent server=%s",
            backend->record.id);
}

static void
end_checks (struct eg_reach_watch *self, int64_t now_us)
{
  for (size_t i = 0; i < EG_REACH_CHECKS_MAX; i++)
    {
      struct eg_reach_check *check = &self->checks[i];

      if (!eg_exchange_is_active (&check->exchange)
          || now_us - check->started_us < CHECK_TIMEOUT_US)
        continue;
      eg_exchange_cancel (&check->exchange);
      on_failed (check, EG_EXCHANGE_UNREACHABLE);
    }
}

static void
note_change (struct eg_reach_watch *self, int64_t now_us)
{
  const struct eg_server_reach *reach = &self->entry->fleet.reach;
  bool was_lost = self->was_lost;
  bool is_lost = eg_server_reach_is_lost (reach);

  if (reach->state != self->logged)
    eg_log (EG_LOG_INFO, "reach",
            "event=reach-changed from=%s to=%s failed=%zu",
            eg_reach_state_name (self->logged),
            eg_reach_state_name (reach->state), reach->failed.count);
  if (self->logged == EG_REACH_LOST && reach->state != EG_REACH_LOST)
    eg_crash_watch_path_back (&self->entry->crash_watch, reach->lost_us,
                              now_us);
  self->logged = reach->state;
  self->was_lost = is_lost;
  if (is_lost && !was_lost)
    {
      self->losses++;
      eg_log (
          EG_LOG_WARNING, "reach",
          "event=reach-lost failed=%zu servers=%zu last_connection_ms=%" PRId64,
          reach->failed.count, self->entry->fleet.count,
          reach->connected_us > 0
              ? (now_us - reach->connected_us) / EG_US_PER_MS
              : -1);
    }
  else if (!is_lost && was_lost)
    eg_log (EG_LOG_WARNING, "reach", "event=reach-back lost_ms=%" PRId64,
            (now_us - reach->lost_us) / EG_US_PER_MS);
}

static void
start_checks (struct eg_reach_watch *self,
              size_t count,
              struct eg_str service,
              int64_t now_us)
{
  for (size_t i = 0; i < EG_REACH_CHECKS_MAX && count > 0; i++)
    if (!eg_exchange_is_active (&self->checks[i].exchange))
      {
        start_check (self, &self->checks[i], service, now_us);
        count--;
      }
}

static void
seek_proof (struct eg_reach_watch *self, struct eg_str service, int64_t now_us)
{
  if (now_us - self->proof_sought_us < CHECK_TIMEOUT_US)
    return;
  self->proof_sought_us = now_us;
  start_checks (self, PROOF_CHECKS, service, now_us);
}

bool
eg_reach_watch_prove (struct eg_reach_watch *self, int64_t now_us)
{
  const struct eg_server_reach *reach = &self->entry->fleet.reach;

  /* While the path returns, this VM sends its own callers' requests to the
   * servers that it has reached since, and checks servers anyway. */
  if (reach->state != EG_REACH_OK && reach->state != EG_REACH_RETURNING)
    return false;
  if (reach->state == EG_REACH_OK
      && !eg_server_reach_is_proven (reach, now_us - PROOF_AGE_MAX_US / 2))
    seek_proof (self, any_service, now_us);
  return eg_server_reach_is_proven (reach, now_us - PROOF_AGE_MAX_US);
}

/* Starts the checks that are due. */
static void
start_due_checks (struct eg_reach_watch *self, int64_t now_us)
{
  struct eg_server_reach *reach = &self->entry->fleet.reach;
  size_t due = eg_server_reach_check (reach, now_us);
  size_t postponed = 0;

  if (due == 0 && reach->state == EG_REACH_DOUBTFUL)
    due = self->postponed;
  else if (reach->state == EG_REACH_DOUBTFUL && due > FIRST_DOUBT_CHECKS)
    postponed = due - FIRST_DOUBT_CHECKS;
  self->postponed = postponed;
  start_checks (self, due - postponed, any_service, now_us);
}

/* Where peers still reach servers, those that refused this VM have not ended.
 */
static void
settle_refusals (struct eg_reach_watch *self, int64_t now_us)
{
  const struct eg_server_reach *reach = &self->entry->fleet.reach;
  const struct eg_peer_choice *peers = &self->entry->peer_paths.choice;

  if (eg_server_reach_is_lost (reach)
      && now_us - reach->lost_us >= PEERS_ANSWER_US)
    eg_fleet_settle_refusals (&self->entry->fleet,
                              !eg_peer_choice_has_server (peers, now_us),
                              now_us);
}

void
eg_reach_watch_check (struct eg_reach_watch *self, int64_t now_us)
{
  struct eg_str questioned =
      eg_buffer_view (&self->entry->fleet.questioned_service);

  end_checks (self, now_us);
  if (questioned.len > 0)
    seek_proof (self, questioned, now_us);
  start_due_checks (self, now_us);
  settle_refusals (self, now_us);
  note_change (self, now_us);
}
