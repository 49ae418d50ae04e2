/**
 * @file
 * What this entry VM knows of backend servers: the platform's list, polls and
 * their reports.
 */
#ifndef EG_ROUTER_FLEET_H
#define EG_ROUTER_FLEET_H

#include "backend/worker.h"
#include "platform/vms.h"
#include "policy/servers.h"
#include "router/poller.h"

/** Told of what this node finds out itself; all may be NULL. */
struct eg_fleet_observer
{
  /** A poll ended; @p silent if the server has fallen silent. */
  void (*polled) (void *context,
                  uint32_t server,
                  const struct eg_backend_event *event,
                  bool silent);
  /** A server refused new work. */
  void (*refused) (void *context, uint32_t server);
  void *context;
};

/** The fleet; memory of its owner. */
struct eg_fleet
{
  struct eg_servers *servers;
  struct eg_poller poller;
  struct eg_vm_list vms; /**< The last list that came. */
  struct eg_fleet_observer observer;
};

/** Makes an empty fleet; false without memory. */
bool eg_fleet_init (struct eg_fleet *self, int64_t poll_interval_us);

/** Frees the fleet. */
void eg_fleet_finish (struct eg_fleet *self);

/** Takes over the platform's list. */
void eg_fleet_take_list (struct eg_fleet *self, struct eg_vm_list *list);

/**
 * Takes in the end of a poll.
 * @param event LOAD or POLL_FAILED.
 * @return the server that has fallen silent, or EG_SERVER_NONE.
 */
uint32_t eg_fleet_poll_ended (struct eg_fleet *self,
                              const struct eg_backend_event *event,
                              int64_t now_us);

/** Takes in a report that another entry VM shared. */
void eg_fleet_take_report (struct eg_fleet *self,
                           uint32_t server,
                           const struct eg_server_report *report,
                           int64_t now_us);

/** Takes in that a server refused new work, as one that is leaving does. */
void eg_fleet_refused (struct eg_fleet *self, struct eg_str address);

/** Hands the polls that are due to the back-end thread. */
void eg_fleet_poll (struct eg_fleet *self,
                    struct eg_backend_worker *backend,
                    int64_t now_us);

/** Returns how many entry VMs the list names, and at least 1. */
uint32_t eg_fleet_count_entries (const struct eg_fleet *self);

/** Tells whether the list names a live entry VM at @p address. */
bool eg_fleet_has_entry (const struct eg_fleet *self, struct eg_str address);

#endif
