/**
 * @file
 * Sharing of backend server loads among the entry VMs of a failure domain:
 * selects the servers that this node polls, and converts between load reports
 * and load entries.
 */
#ifndef EG_ROUTER_GOSSIP_LOADS_H
#define EG_ROUTER_GOSSIP_LOADS_H

#include "base/map.h"
#include "policy/peers.h"
#include "router/fleet.h"

struct eg_gossip_server;

/** State of shared loads; allocated by its owner. */
struct eg_gossip_loads
{
  struct eg_fleet *fleet;
  const struct eg_peers *peers;
  const char *failure_domain; /**< Of this node. */
  int64_t interval_min_us; /**< Shortest time between two polls of a server. */
  struct eg_map by_id;     /**< Index of a server plus 1, by server id. */
  struct eg_gossip_server *servers; /**< By server index. */
  uint32_t count;
  size_t own_domain_count;   /**< Servers in this failure domain. */
  size_t other_domain_count; /**< Servers in other failure domains. */
};

/** Returns the id of the server at @p address in load entries. */
uint32_t eg_gossip_server_id (const char *address);

/** Frees the members of the state. */
void eg_gossip_loads_finish (struct eg_gossip_loads *self);

/** Rebuilds the index after the servers of the fleet changed. */
void eg_gossip_loads_rebuild (struct eg_gossip_loads *self);

/** Finds a server by id; EG_SERVER_NONE if unknown. */
uint32_t eg_gossip_loads_find (const struct eg_gossip_loads *self, uint32_t id);

/** Returns whether this node owns the polls of a server. */
bool eg_gossip_loads_owns (const struct eg_gossip_loads *self, uint32_t server);

/**
 * Returns the time between two polls of a server in microseconds, or 0 if
 * another node polls it.
 */
int64_t eg_gossip_loads_poll_interval (struct eg_gossip_loads *self,
                                       uint32_t server,
                                       int64_t now_us);

/**
 * Marks a server as possibly unresponsive: this node polls it itself until the
 * next report.
 */
void eg_gossip_loads_mark_stale (struct eg_gossip_loads *self, uint32_t server);

/**
 * Encodes the load of a server that this node polled.
 * @return false if there is nothing new to send.
 */
bool eg_gossip_loads_encode (struct eg_gossip_loads *self,
                             uint32_t server,
                             bool failed,
                             int64_t now_us,
                             struct eg_load_entry *entry);

/** Applies a load entry from a peer; false if its server is unknown. */
bool eg_gossip_loads_apply (struct eg_gossip_loads *self,
                            const struct eg_load_entry *entry,
                            int64_t now_us);

#endif
