/**
 * @file
 * What all entry VMs together have under way on each server, so that none has
 * to guess how full a server is from its own requests.
 *
 * Load answered: many entry VMs with few requests each before servers whose
 * memory holds some tens of streams. Each VM tells its reader what it has
 * under way; readers tell each other and return the sums. Messages are
 * datagrams: a lost one is replaced by the next, and figures that are too old
 * are not used.
 */
#ifndef EG_ENTRY_LOAD_GOSSIP_H
#define EG_ENTRY_LOAD_GOSSIP_H

#include <jansson.h>
#include <uv.h>

#include "net/socket.h"

struct eg_entry;

/** Most VMs whose figures one reader sums. */
#define EG_LOAD_PEERS_MAX 256

/** The last figures of one VM, or of another reader's VMs. */
struct eg_load_peer
{
  struct eg_endpoint endpoint;
  bool is_reader; /**< Figures of all VMs that tell it. */
  bool reads;     /**< The store answers it. */
  int64_t heard_us;
  json_t *loads;
};

/** Most failure domains that are told apart. */
#define EG_LOAD_DOMAINS_MAX 32

/** When a reader of a failure domain was heard last. */
struct eg_domain_contact
{
  char domain[64];
  int64_t heard_us;
};

/** The exchange of figures; memory of the caller. */
struct eg_load_gossip
{
  struct eg_entry *entry;
  uv_udp_t socket;
  bool open;
  struct eg_load_peer senders[EG_LOAD_PEERS_MAX];
  size_t sender_count;
  struct eg_domain_contact heard[EG_LOAD_DOMAINS_MAX];
  size_t heard_count;
  int64_t told_us;
  int64_t alerted_us;
  int64_t summed_us; /**< When a reader's sums came last. */
  bool other_reader; /**< The second of the failure domain is told. */
};

/** Opens the datagram socket beside the peers' listener; false if it cannot. */
bool eg_load_gossip_open (struct eg_load_gossip *self, struct eg_entry *entry);

/** Closes the socket; run the loop once more before the memory goes. */
void eg_load_gossip_finish (struct eg_load_gossip *self);

/**
 * Tells whether the store seems to be away for all: neither this VM nor any
 * other reader that is heard gets answers.
 */
bool eg_load_gossip_store_is_down (const struct eg_load_gossip *self,
                                   int64_t now_us);

/**
 * Tells whether the entry VMs of a failure domain are heard: it is neither cut
 * off from this VM nor without any. Where none at all is heard, nothing can be
 * said, and this is true.
 */
bool eg_load_gossip_domain_is_reachable (const struct eg_load_gossip *self,
                                         const char *domain,
                                         int64_t now_us);

/** A server came under suspicion: tells others now. */
void eg_load_gossip_alert (struct eg_load_gossip *self, int64_t now_us);

/** Does what is due. */
void eg_load_gossip_check (struct eg_load_gossip *self, int64_t now_us);

#endif
