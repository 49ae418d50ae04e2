/**
 * @file
 * Implements capacity rules: competes for a lease on each service in this entry
 * VM's failure domain and, while holding it, orders engines to load and unload
 * models. Runs on the decision thread.
 */
#ifndef EG_ROUTER_CAPACITY_CONTROLLER_H
#define EG_ROUTER_CAPACITY_CONTROLLER_H

#include "backend/worker.h"
#include "platform/worker.h"
#include "policy/rules.h"
#include "router/fleet.h"
#include "router/settings.h"

/** Dependencies of a capacity controller; all must outlive it. */
struct eg_capacity_controller_deps
{
  const struct eg_router_settings *settings;
  const struct eg_fleet *fleet;
  struct eg_backend_worker *backend;
  struct eg_platform_worker *platform;
  uint64_t incarnation; /**< Random value chosen at process start. */
};

struct eg_capacity_controller;

/** Creates a controller without rules, which does nothing; never NULL. */
struct eg_capacity_controller *
eg_capacity_controller_new (const struct eg_capacity_controller_deps *deps);

/** Frees the controller; its leases expire. */
void eg_capacity_controller_free (struct eg_capacity_controller *self);

/** Applies the rules in force; @p rules is not retained. */
void eg_capacity_controller_apply_rules (struct eg_capacity_controller *self,
                                         const struct eg_rules *rules);

/** Begins a planned stop: leases are left to expire and no orders are sent. */
void eg_capacity_controller_stop (struct eg_capacity_controller *self);

/** Handles a reply of the platform; false if it belongs to no lease. */
bool eg_capacity_controller_store_reply (struct eg_capacity_controller *self,
                                         const struct eg_platform_reply *reply,
                                         int64_t now_us);

/** Handles an event of kind EG_BACKEND_ORDER_DONE. */
void eg_capacity_controller_order_done (struct eg_capacity_controller *self,
                                        const struct eg_backend_event *event,
                                        int64_t now_us);

/** Runs the work that is due at @p now_us, in microseconds. */
void eg_capacity_controller_tick (struct eg_capacity_controller *self,
                                  int64_t now_us);

/** Returns the number of leases held at @p now_us. */
size_t
eg_capacity_controller_leases_held (const struct eg_capacity_controller *self,
                                    int64_t now_us);

#endif
