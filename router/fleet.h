/**
 * @file
 * Backend servers as seen by this entry VM: the platform's list, polls and load
 * reports.
 */
#ifndef EG_ROUTER_FLEET_H
#define EG_ROUTER_FLEET_H

#include "backend/worker.h"
#include "platform/vms.h"
#include "policy/servers.h"
#include "router/poller.h"

/** Callbacks for observations made by this node itself; all may be NULL. */
struct eg_fleet_observer
{
  /** A poll ended; @p silent if the server has become unresponsive. */
  void (*polled) (void *context,
                  uint32_t server,
                  const struct eg_backend_event *event,
                  bool silent);
  /** A server refused a new attempt. */
  void (*refused) (void *context, uint32_t server);
  void *context;
};

/** The fleet; allocated by its owner. */
struct eg_fleet
{
  struct eg_servers *servers;
  struct eg_poller poller;
  struct eg_vm_list vms; /**< The last list received. */
  struct eg_fleet_observer observer;
};

/** Initialises an empty fleet; false if out of memory. */
bool eg_fleet_init (struct eg_fleet *self, int64_t poll_interval_us);

/** Frees the members of the fleet. */
void eg_fleet_finish (struct eg_fleet *self);

/** Applies the platform's list and takes over its memory. */
void eg_fleet_apply_vm_list (struct eg_fleet *self, struct eg_vm_list *list);

/**
 * Handles the end of a poll.
 * @param event of kind LOAD or POLL_FAILED.
 * @return the server if it has become unresponsive, else EG_SERVER_NONE.
 */
uint32_t eg_fleet_poll_done (struct eg_fleet *self,
                             const struct eg_backend_event *event,
                             int64_t now_us);

/** Applies a load report, polled here or received from another entry VM. */
void eg_fleet_apply_report (struct eg_fleet *self,
                            uint32_t server,
                            const struct eg_server_report *report,
                            int64_t now_us);

/** Marks a server that refused a new attempt as leaving. */
void eg_fleet_server_refused (struct eg_fleet *self, struct eg_str address);

/** Submits the polls that are due to the backend worker. */
void eg_fleet_send_polls (struct eg_fleet *self,
                          struct eg_backend_worker *backend,
                          int64_t now_us);

/** Returns the number of entry VMs in the list, at least 1. */
uint32_t eg_fleet_count_entry_vms (const struct eg_fleet *self);

/** Returns whether the list has an entry VM at @p address. */
bool eg_fleet_has_entry_vm (const struct eg_fleet *self, struct eg_str address);

#endif
