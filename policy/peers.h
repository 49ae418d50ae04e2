/**
 * @file
 * Gossip protocol of an entry VM: failure detection, dissemination of rumours
 * and of server loads. Does no I/O: the caller passes in messages and the time,
 * and gets messages and updates through callbacks.
 */
#ifndef EG_POLICY_PEERS_H
#define EG_POLICY_PEERS_H

#include "policy/membership.h"
#include "policy/overlay.h"
#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** Interval at which eg_peers_tick() should be called. */
#define EG_PEERS_TICK_US (100 * INT64_C (1000))
/** Interval between heartbeats to the same watcher. */
#define EG_PEERS_HEARTBEAT_US (500 * INT64_C (1000))
/** Silence after which a member is suspect and is probed. */
#define EG_PEERS_SUSPECT_US (1250 * INT64_C (1000))
/** Silence after which a suspect is declared dead. */
#define EG_PEERS_DEAD_US (2250 * INT64_C (1000))

/** Identity of this node. */
struct eg_peers_config
{
  struct eg_str address; /**< Of its bus; copied. */
  struct eg_str failure_domain;
  uint64_t incarnation; /**< Must rise with each start: wall time in ms. */
  uint64_t seed;
};

/** Callbacks; they must not call functions of struct eg_peers. */
struct eg_peers_sink
{
  /** Sends a message; delivery need not be reliable. */
  void (*send) (void *context,
                const struct eg_member *to,
                const struct eg_peer_message *message);
  /** A new rumour was received, or a change of a member was detected. */
  void (*rumour) (void *context, const struct eg_rumour *rumour);
  /** The load of a backend server was received. */
  void (*load) (void *context, const struct eg_load_entry *entry);
  /** A message about shares or rules was received from a live member. */
  void (*share) (void *context,
                 const struct eg_member *from,
                 const struct eg_peer_message *message);
  void *context;
};

struct eg_peers;

/** Creates a node that knows only itself; NULL when out of memory. */
struct eg_peers *eg_peers_new (const struct eg_peers_config *config,
                               const struct eg_peers_sink *sink,
                               int64_t now_us);

/** Frees the node; NULL is allowed. */
void eg_peers_free (struct eg_peers *self);

/** Applies the platform's list of entry VMs. */
void eg_peers_apply_list (struct eg_peers *self,
                          const struct eg_listed_member *list,
                          size_t count,
                          int64_t now_us);

/** Handles a received message. The wall time is in ms since the epoch. */
void eg_peers_receive (struct eg_peers *self,
                       const struct eg_peer_message *message,
                       int64_t now_us,
                       int64_t wall_ms);

/** Sends what is due and checks for silent members. */
void eg_peers_tick (struct eg_peers *self, int64_t now_us, int64_t wall_ms);

/**
 * Broadcasts a rumour that is not about a member.
 * @return false if it was already known.
 */
bool eg_peers_broadcast (struct eg_peers *self,
                         const struct eg_rumour *rumour,
                         int64_t wall_ms);

/**
 * Broadcasts the load of a server polled by this node to the other nodes of its
 * failure domain.
 */
void eg_peers_share_load (struct eg_peers *self,
                          const struct eg_load_entry *entry,
                          int64_t now_us);

/**
 * Sends a message about shares or rules.
 * @param to id of a member; nothing is sent if it is not live.
 */
void eg_peers_send (struct eg_peers *self,
                    uint64_t to,
                    struct eg_peer_message *message);

/** Broadcasts that this node leaves, after which it sends no heartbeats. */
void eg_peers_leave (struct eg_peers *self, int64_t wall_ms);

/** Returns the id of this node. */
uint64_t eg_peers_own_id (const struct eg_peers *self);

/** Returns this node's view of the members. */
const struct eg_membership *eg_peers_membership (const struct eg_peers *self);

/** Returns the links of this node, valid until the next call. */
const struct eg_overlay *eg_peers_overlay (const struct eg_peers *self);

/** Returns the newest rumour about a subject, or NULL. */
const struct eg_rumour *eg_peers_rumour (const struct eg_peers *self,
                                         enum eg_rumour_kind kind,
                                         uint64_t subject);

EG_END_DECLS

#endif
