/**
 * @file
 * Sends engines the orders that implement the layer plan. Active on the entry
 * VM that holds the planner lease.
 *
 * The layers a server holds are taken from its own record and reports, never
 * from the orders sent. Every order names the last order its server has
 * accepted, so a delayed order, or one from a VM that has lost the lease, is
 * rejected.
 */
#ifndef EG_ENTRY_PLANNER_H
#define EG_ENTRY_PLANNER_H

#include "base/random.h"
#include "platform/store.h"
#include "policy/lease.h"

struct eg_entry;

/** Planner of one entry VM; allocated by the caller. */
struct eg_planner
{
  struct eg_entry *entry;
  struct eg_lease_config config;
  struct eg_lease lease;
  struct eg_store_call call;
  bool is_holder;     /**< Whether the lease is held, as last logged. */
  int64_t planned_us; /**< Time of the last plan. */
  /** Hash of the last plan input that required no moves. */
  uint64_t stable_hash;
  /** Since when at least half of the servers hold no layers; 0: fewer do. */
  int64_t empty_since_us;
};

/** Initialises a planner that does not hold the lease. */
void eg_planner_init (struct eg_planner *self, struct eg_entry *entry);

/** Cancels pending calls. */
void eg_planner_finish (struct eg_planner *self);

/** Renews the lease and updates the plan; call it on every tick. */
void eg_planner_check (struct eg_planner *self, int64_t now_us);

#endif
