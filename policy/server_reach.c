#include "policy/server_reach.h"

#include "base/clock.h"

/* Servers that must fail in a row to raise doubt, and to settle it. */
#define DOUBT_SERVERS 2
#define LOST_SERVERS EG_REACH_SERVERS_MAX
/* Servers connected to that show that the path is back, unless so many fail in
 * a row before: some may be down. */
#define BACK_SERVERS 3
#define RELAPSE_SERVERS 4
/* Failures further apart are not of one event. */
#define WINDOW_US EG_US_PER_S
/* Servers checked at a time while the path is lost. */
#define LOST_CHECKS 2
/* Interval between rounds of checks. */
#define CHECK_INTERVAL_US (200 * EG_US_PER_MS)

const char *
eg_reach_state_name (enum eg_reach_state state)
{
  static const char *const names[EG_REACH_STATES] = {
      [EG_REACH_OK] = "ok",
      [EG_REACH_DOUBTFUL] = "doubtful",
      [EG_REACH_LOST] = "lost",
      [EG_REACH_RETURNING] = "returning",
  };

  return names[state];
}

static void
add_server (struct eg_reach_servers *self, uint64_t server)
{
  for (size_t i = 0; i < self->count; i++)
    if (self->hashes[i] == server)
      return;
  if (self->count < EG_REACH_SERVERS_MAX)
    self->hashes[self->count++] = server;
}

/* Fewer servers than usual decide if there are no more. */
static bool
is_enough (const struct eg_reach_servers *self, size_t needed, size_t servers)
{
  return self->count >= needed || (servers > 0 && self->count >= servers);
}

static void
set_state (struct eg_server_reach *self,
           enum eg_reach_state state,
           int64_t now_us)
{
  self->state = state;
  self->since_us = now_us;
  self->connected.count = 0;
}

/* Returns the time from which on a connection speaks for the path: that others
 * are refused meanwhile takes nothing from it. */
static int64_t
first_evidence_us (const struct eg_server_reach *self)
{
  if (self->state == EG_REACH_OK)
    return self->failed.count > 0 ? self->first_failure_us : 0;
  return self->state == EG_REACH_DOUBTFUL ? self->since_us : self->lost_us;
}

void
eg_server_reach_connected (struct eg_server_reach *self,
                           uint64_t server,
                           int64_t started_us,
                           size_t servers,
                           int64_t now_us)
{
  if (started_us > self->connected_us)
    self->connected_us = started_us;
  /* It may have been established before the path was lost. */
  if (started_us < first_evidence_us (self))
    return;
  self->failed.count = 0;
  if (self->state == EG_REACH_DOUBTFUL)
    set_state (self, EG_REACH_OK, now_us);
  if (self->state == EG_REACH_LOST)
    {
      set_state (self, EG_REACH_RETURNING, now_us);
      self->check_due_us = now_us;
    }
  if (self->state != EG_REACH_RETURNING)
    return;
  add_server (&self->connected, server);
  if (is_enough (&self->connected, BACK_SERVERS, servers))
    set_state (self, EG_REACH_OK, now_us);
}

static void
add_failure (struct eg_server_reach *self, uint64_t server, int64_t now_us)
{
  if (self->failed.count == 0)
    self->first_failure_us = now_us;
  self->last_failure_us = now_us;
  add_server (&self->failed, server);
}

void
eg_server_reach_failed (struct eg_server_reach *self,
                        uint64_t server,
                        int64_t started_us,
                        size_t servers,
                        int64_t now_us)
{
  if (self->state == EG_REACH_OK && now_us - self->last_failure_us >= WINDOW_US)
    self->failed.count = 0;
  /* What raised the doubt does not settle it, too: those servers may have
   * something else in common. */
  if (self->state == EG_REACH_DOUBTFUL && started_us < self->since_us)
    return;
  add_failure (self, server, now_us);
  if (self->state == EG_REACH_OK
      && is_enough (&self->failed, DOUBT_SERVERS, servers))
    {
      set_state (self, EG_REACH_DOUBTFUL, now_us);
      self->failed.count = 0;
    }
  else if (self->state == EG_REACH_DOUBTFUL
           && is_enough (&self->failed, LOST_SERVERS, servers))
    {
      set_state (self, EG_REACH_LOST, now_us);
      self->lost_us = now_us;
    }
  else if (self->state == EG_REACH_RETURNING
           && is_enough (&self->failed, RELAPSE_SERVERS, servers))
    set_state (self, EG_REACH_LOST, now_us);
}

size_t
eg_server_reach_check (struct eg_server_reach *self, int64_t now_us)
{
  if (self->state == EG_REACH_DOUBTFUL
      && now_us - self->last_failure_us >= WINDOW_US)
    set_state (self, EG_REACH_OK, now_us);
  if (self->state == EG_REACH_OK || now_us < self->check_due_us)
    return 0;
  self->check_due_us = now_us + CHECK_INTERVAL_US;
  switch (self->state)
    {
    case EG_REACH_DOUBTFUL:
      return LOST_SERVERS;
    case EG_REACH_RETURNING:
      return BACK_SERVERS;
    default:
      return LOST_CHECKS;
    }
}

bool
eg_server_reach_is_lost (const struct eg_server_reach *self)
{
  return self->state == EG_REACH_LOST || self->state == EG_REACH_RETURNING;
}

bool
eg_server_reach_is_proven (const struct eg_server_reach *self, int64_t since_us)
{
  return self->connected_us > since_us;
}
