/**
 * @file
 * Loads of backend servers among the entry VMs of a failure domain: which of
 * them this node polls, and how reports become load entries and back.
 */
#ifndef EG_ROUTER_GOSSIP_LOADS_H
#define EG_ROUTER_GOSSIP_LOADS_H

#include "base/map.h"
#include "policy/peers.h"
#include "router/fleet.h"

struct eg_gossip_server;

/** What is known of shared loads; memory of its owner. */
struct eg_gossip_loads
{
  struct eg_fleet *fleet;
  const struct eg_peers *peers;
  const char *failure_domain; /**< Of this node. */
  int64_t shortest_us;        /**< Between two polls of a server. */
  struct eg_map by_id;        /**< Index of a server, plus 1, by its id. */
  struct eg_gossip_server *servers; /**< By index. */
  uint32_t count;
  size_t own_domain; /**< Servers of this failure domain. */
  size_t elsewhere;  /**< Servers of others. */
};

/** Returns the id by which load entries name the server at @p address. */
uint32_t eg_gossip_server_id (const char *address);

/** Frees what is known. */
void eg_gossip_loads_finish (struct eg_gossip_loads *self);

/** Takes in that the servers of the fleet have changed. */
void eg_gossip_loads_listed (struct eg_gossip_loads *self);

/** Finds a server by id; EG_SERVER_NONE if it is not known. */
uint32_t eg_gossip_loads_find (const struct eg_gossip_loads *self, uint32_t id);

/** Tells whether this node is the one that polls a server. */
bool eg_gossip_loads_owns (const struct eg_gossip_loads *self, uint32_t server);

/**
 * Returns how long after a poll the next one of a server is due.
 * @return 0 if another node polls it.
 */
int64_t eg_gossip_loads_interval (struct eg_gossip_loads *self,
                                  uint32_t server,
                                  int64_t now_us);

/** Takes in that a server may be silent: this node polls it for a while. */
void eg_gossip_loads_doubt (struct eg_gossip_loads *self, uint32_t server);

/**
 * Writes the report of a server that this node polled.
 * @return false if the other nodes know as much already.
 */
bool eg_gossip_loads_write (struct eg_gossip_loads *self,
                            uint32_t server,
                            bool failed,
                            int64_t now_us,
                            struct eg_load_entry *entry);

/** Takes in a load entry; false if it names no server that is known. */
bool eg_gossip_loads_take (struct eg_gossip_loads *self,
                           const struct eg_load_entry *entry,
                           int64_t now_us);

#endif
