/**
 * @file
 * Which VMs requests are sent through that this VM cannot send to a server
 * itself; see policy/peer_choice. VMs ask each other by datagram, only while
 * they need it.
 */
#ifndef EG_ENTRY_PEER_PATHS_H
#define EG_ENTRY_PEER_PATHS_H

#include "net/socket.h"
#include "policy/peer_choice.h"

struct eg_entry;
struct eg_member;

/** What a VM keeps of the paths through its peers; allocated by the caller. */
struct eg_peer_paths
{
  struct eg_entry *entry;
  struct eg_peer_choice choice;
};

/** Starts without knowledge of any peer, and registers the message type. */
void eg_peer_paths_init (struct eg_peer_paths *self, struct eg_entry *entry);

/** Asks peers if that is due; call it on every tick. */
void eg_peer_paths_check (struct eg_peer_paths *self, int64_t now_us);

/**
 * Chooses a peer for a request.
 * @param tried keys of the endpoints of peers already tried.
 * @return NULL if none may be tried.
 */
const struct eg_member *eg_peer_paths_choose (struct eg_peer_paths *self,
                                              const uint64_t *tried,
                                              size_t tried_count,
                                              int64_t now_us);

/** Takes note that a peer has refused a request as it serves none at present.
 */
void eg_peer_paths_refused (struct eg_peer_paths *self,
                            struct eg_endpoint peer,
                            int64_t now_us);

/** Takes note that a request to a peer did not arrive, or was lost before the
 *  peer responded. */
void eg_peer_paths_failed (struct eg_peer_paths *self,
                           struct eg_endpoint peer,
                           int64_t now_us);

/**
 * Returns why this VM takes no requests from other VMs, or NULL if it does: it
 * has reached a server lately, has a configuration, keeps up with its work and
 * is not stopping.
 */
const char *eg_peer_paths_refusal (struct eg_peer_paths *self, int64_t now_us);

#endif
