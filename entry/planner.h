/**
 * @file
 * Gives engines the orders that a plan of layers asks for, on the one entry VM
 * that holds the lease.
 *
 * What servers hold is read from themselves, never from the orders sent, and
 * every order names the last one that its server began: an order that is
 * carried out late, or of an entry VM that lost the lease, does no harm.
 */
#ifndef EG_ENTRY_PLANNER_H
#define EG_ENTRY_PLANNER_H

#include "base/random.h"
#include "platform/store.h"
#include "policy/lease.h"

struct eg_entry;

/** The planner of one entry VM; memory of the caller. */
struct eg_planner
{
  struct eg_entry *entry;
  struct eg_lease_config config;
  struct eg_lease lease;
  struct eg_store_call call;
  bool held;           /**< As last logged. */
  int64_t planned_us;  /**< When the plan was last made. */
  uint64_t settled;    /**< Hash of servers for which there was no move. */
  int64_t gathered_us; /**< Since when servers without layers were seen. */
};

/** Prepares a planner without the lease. */
void eg_planner_init (struct eg_planner *self, struct eg_entry *entry);

/** Ends calls that are under way. */
void eg_planner_finish (struct eg_planner *self);

/** Does what is due. */
void eg_planner_check (struct eg_planner *self, int64_t now_us);

#endif
