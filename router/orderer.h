/**
 * @file
 * Gives engines the orders that rules on capacity ask for: holds a lease for
 * each service in this entry VM's failure domain, and orders while it holds it.
 * All on the decision thread.
 */
#ifndef EG_ROUTER_ORDERER_H
#define EG_ROUTER_ORDERER_H

#include "backend/worker.h"
#include "platform/worker.h"
#include "policy/rules.h"
#include "router/fleet.h"
#include "router/settings.h"

/** What an orderer works with; all of it outlives the orderer. */
struct eg_orderer_parts
{
  const struct eg_router_settings *settings;
  const struct eg_fleet *fleet;
  struct eg_backend_worker *backend;
  struct eg_platform_worker *platform;
  uint64_t incarnation; /**< Random, drawn as the process starts. */
};

struct eg_orderer;

/** Makes an orderer without rules, which does nothing; never NULL. */
struct eg_orderer *eg_orderer_new (const struct eg_orderer_parts *parts);

/** Frees the orderer; its leases run out. */
void eg_orderer_free (struct eg_orderer *self);

/** Takes over the rules in force; they are not kept. */
void eg_orderer_apply_rules (struct eg_orderer *self,
                             const struct eg_rules *rules);

/** Lets its leases run out from now on, and gives no further order. */
void eg_orderer_stop (struct eg_orderer *self);

/** Takes in a reply of the platform; false if it belongs to no lease. */
bool eg_orderer_reply (struct eg_orderer *self,
                       const struct eg_platform_reply *reply,
                       int64_t now_us);

/** Takes in an ORDER_DONE event. */
void eg_orderer_ordered (struct eg_orderer *self,
                         const struct eg_backend_event *event,
                         int64_t now_us);

/** Lets time pass. */
void eg_orderer_tick (struct eg_orderer *self, int64_t now_us);

/** Returns for how many services this entry VM is the orderer. */
size_t eg_orderer_held (const struct eg_orderer *self, int64_t now_us);

#endif
