/**
 * @file
 * Checks whether this VM still has a path to the backend servers; see
 * policy/server_reach. The fleet reports the connections of requests and
 * probes; this module makes the connections that settle a doubt.
 */
#ifndef EG_ENTRY_REACH_WATCH_H
#define EG_ENTRY_REACH_WATCH_H

#include "net/exchange.h"
#include "policy/server_reach.h"

struct eg_entry;

/** Most checks at a time. */
#define EG_REACH_CHECKS_MAX EG_REACH_SERVERS_MAX

/** A connection that is made to see whether a server is reached. */
struct eg_reach_check
{
  struct eg_reach_watch *watch;
  struct eg_exchange exchange;
  uint64_t server; /**< See eg_backend_hash(). */
  int64_t started_us;
};

/** State of the checks; allocated by the caller. */
struct eg_reach_watch
{
  struct eg_entry *entry;
  struct eg_reach_check checks[EG_REACH_CHECKS_MAX];
  int64_t proof_sought_us; /**< See eg_reach_watch_prove(). */
  size_t postponed;        /**< Checks of a doubt that the next tick starts. */
  enum eg_reach_state logged; /**< The state as last logged. */
  bool was_lost;              /**< The path, as last logged. */
  uint64_t losses;            /**< Number of times it was lost. */
};

/** Starts without doubt. */
void eg_reach_watch_init (struct eg_reach_watch *self, struct eg_entry *entry);

/** Cancels pending checks. */
void eg_reach_watch_finish (struct eg_reach_watch *self);

/**
 * Returns whether a server was connected to lately; if not, begins to find out.
 */
bool eg_reach_watch_prove (struct eg_reach_watch *self, int64_t now_us);

/** Makes and ends checks; call it on every tick. */
void eg_reach_watch_check (struct eg_reach_watch *self, int64_t now_us);

#endif
