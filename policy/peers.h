/**
 * @file
 * One entry VM among its peers: who lives, what has been told, and what to send
 * to whom. Messages and the time come in; messages and news go out.
 */
#ifndef EG_POLICY_PEERS_H
#define EG_POLICY_PEERS_H

#include "policy/membership.h"
#include "policy/overlay.h"
#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** How often eg_peers_tick() should be called. */
#define EG_PEERS_TICK_US (100 * INT64_C (1000))
/** Time between two heartbeats to the same watcher. */
#define EG_PEERS_HEARTBEAT_US (500 * INT64_C (1000))
/** Silence after which a member is suspect, and is asked. */
#define EG_PEERS_SUSPECT_US (1250 * INT64_C (1000))
/** Silence after which a suspect that does not answer is dead. */
#define EG_PEERS_DEAD_US (2250 * INT64_C (1000))

/** Who this node is. */
struct eg_peers_config
{
  struct eg_str address; /**< Of its bus; copied. */
  struct eg_str failure_domain;
  uint64_t incarnation; /**< Higher at each start: wall time in ms. */
  uint64_t seed;
};

/** Where decisions go; the callbacks must not call into the struct. */
struct eg_peers_sink
{
  /** Send a message; losing it is allowed. */
  void (*send) (void *context,
                const struct eg_member *to,
                const struct eg_peer_message *message);
  /** A rumour came that was not known; also about members. */
  void (*rumour) (void *context, const struct eg_rumour *rumour);
  /** A load of a backend server came. */
  void (*load) (void *context, const struct eg_load_entry *entry);
  /** A SHARE_REQUEST or SHARE_GRANT came from a live member. */
  void (*share) (void *context,
                 const struct eg_member *from,
                 const struct eg_peer_message *message);
  void *context;
};

struct eg_peers;

/** Makes a node that knows only itself; NULL if memory could not be had. */
struct eg_peers *eg_peers_new (const struct eg_peers_config *config,
                               const struct eg_peers_sink *sink,
                               int64_t now_us);

/** Frees the node. */
void eg_peers_free (struct eg_peers *self);

/** Takes over the entry VMs of the platform's list. */
void eg_peers_apply_list (struct eg_peers *self,
                          const struct eg_listed_member *names,
                          size_t count,
                          int64_t now_us);

/** Takes in a message. */
void eg_peers_receive (struct eg_peers *self,
                       const struct eg_peer_message *message,
                       int64_t now_us,
                       int64_t wall_ms);

/** Does what is due. */
void eg_peers_tick (struct eg_peers *self, int64_t now_us, int64_t wall_ms);

/**
 * Tells all nodes something that is not about a member.
 * @return false if it was known already.
 */
bool eg_peers_broadcast (struct eg_peers *self,
                         const struct eg_rumour *rumour,
                         int64_t wall_ms);

/** Shares the load of a server that this node polls with its domain. */
void eg_peers_share_load (struct eg_peers *self,
                          const struct eg_load_entry *entry,
                          int64_t now_us);

/**
 * Sends a message about shares or rules.
 * @param to id of a member; ignored if it is not live.
 */
void eg_peers_send (struct eg_peers *self,
                    uint64_t to,
                    struct eg_peer_message *message);

/** Tells all nodes that this one leaves; it falls silent afterwards. */
void eg_peers_leave (struct eg_peers *self, int64_t wall_ms);

/** Returns the id of this node. */
uint64_t eg_peers_own_id (const struct eg_peers *self);

/** Returns the view of the members. */
const struct eg_membership *eg_peers_membership (const struct eg_peers *self);

/** Returns the links of this node, valid until the next call. */
const struct eg_overlay *eg_peers_overlay (const struct eg_peers *self);

/** Returns what was told of a subject, or NULL. */
const struct eg_rumour *eg_peers_rumour (const struct eg_peers *self,
                                         enum eg_rumour_kind kind,
                                         uint64_t subject);

EG_END_DECLS

#endif
