/**
 * @file
 * Gossip of server load between entry VMs, so that each of them knows the total
 * load of a server and not only its own part.
 *
 * It is meant for many entry VMs with few requests each in front of servers
 * whose memory holds a few tens of streams. Each VM sends its load to the
 * reader of its failure domain; readers exchange their group totals and return
 * the overall sums. The next message replaces a lost one, and stale figures are
 * ignored.
 */
#ifndef EG_ENTRY_LOAD_GOSSIP_H
#define EG_ENTRY_LOAD_GOSSIP_H

#include <jansson.h>

#include "net/socket.h"

struct eg_entry;

/** Maximum number of VMs whose load one reader aggregates. */
#define EG_LOAD_PEERS_MAX 256

/** Latest load received from a VM, or from another reader for its group. */
struct eg_load_peer
{
  struct eg_endpoint endpoint;
  bool is_reader;       /**< The load is the total of a reader's group. */
  bool store_reachable; /**< The store is reachable from it. */
  int64_t received_us;
  json_t *loads;
};

/** Maximum number of failure domains tracked. */
#define EG_LOAD_DOMAINS_MAX 32

/** When a reader of a failure domain was last heard from. */
struct eg_domain_contact
{
  char domain[64];
  int64_t received_us;
};

/** State of the load exchange; allocated by the caller. */
struct eg_load_gossip
{
  struct eg_entry *entry;
  struct eg_load_peer peers[EG_LOAD_PEERS_MAX];
  size_t peer_count;
  struct eg_domain_contact contacts[EG_LOAD_DOMAINS_MAX];
  size_t contact_count;
  /** When the last totals arrived from a reader. */
  int64_t totals_received_us;
  /** Report to the second reader of the failure domain. */
  bool use_second_reader;
};

/** Registers the message types; see vm_messages.h. */
void eg_load_gossip_init (struct eg_load_gossip *self, struct eg_entry *entry);

/** Frees the loads received. */
void eg_load_gossip_finish (struct eg_load_gossip *self);

/**
 * Returns whether the store appears to be down for everyone: neither this VM
 * nor any other reader it hears from can reach it. Also false if it hears from
 * no other reader.
 */
bool eg_load_gossip_store_is_down (const struct eg_load_gossip *self,
                                   int64_t now_us);

/**
 * Finds a reader that reads the store itself, as it said lately.
 * @return false if none is heard from.
 */
bool eg_load_gossip_find_store_reader (const struct eg_load_gossip *self,
                                       struct eg_endpoint *endpoint,
                                       int64_t now_us);

/**
 * Returns whether the entry VMs of a failure domain are reachable, that is, the
 * domain is not partitioned from this VM. Also true while no domain at all is
 * heard from, because that allows no conclusion.
 */
bool eg_load_gossip_domain_is_reachable (const struct eg_load_gossip *self,
                                         const char *domain,
                                         int64_t now_us);

/**
 * Returns whether the readers of all failure domains with entry VMs were heard
 * from lately.
 */
bool eg_load_gossip_hears_all_domains (const struct eg_load_gossip *self,
                                       int64_t now_us);

/**
 * Sends a message to the readers and to the VMs that report to this one.
 * @return false if this VM is no reader and none report to it.
 */
bool eg_load_gossip_send_down (struct eg_load_gossip *self, struct eg_str text);

/**
 * Sends a message to the reader that this VM reports to, if it is no reader
 * itself.
 */
void eg_load_gossip_send_up (struct eg_load_gossip *self,
                             struct eg_str text,
                             int64_t now_us);

#endif
