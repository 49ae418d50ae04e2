/**
 * @file
 * This entry VM among the others: joins the policy of peers and shares to the
 * bus, and to what this node knows of backend servers, limits and quarantines.
 * All on the decision thread.
 */
#ifndef EG_ROUTER_GOSSIP_H
#define EG_ROUTER_GOSSIP_H

#include "base/buffer.h"
#include "policy/lifecycle.h"
#include "policy/peer_message.h"
#include "policy/rules.h"
#include "router/fleet.h"
#include "router/settings.h"

struct eg_gossip;

/** What the gossip works with; all of it outlives the gossip. */
struct eg_gossip_parts
{
  const struct eg_router_settings *settings;
  struct eg_fleet *fleet;
  struct eg_lifecycle *lifecycle;
  /** Hands a message that came in over; called on the bus thread. */
  void (*push) (void *context, struct eg_peer_message *message);
  /** Some servers stopped or began to take new work. */
  void (*servers_changed) (void *context);
  /** Peer @p from told of a version of the rules newer than any heard of. */
  void (*rules_heard) (void *context, uint64_t from, uint64_t version);
  /** A peer asks for rules, or sends some. */
  void (*rules_message) (void *context, const struct eg_peer_message *message);
  void *context;
};

/** Returns whether the settings turn the bus on. */
bool eg_gossip_is_on (const struct eg_router_settings *settings);

/** Checks the settings of the bus together. */
enum eg_status eg_gossip_check (const struct eg_router_settings *settings,
                                struct eg_error *error);

/**
 * Starts the bus and takes over when each server is polled.
 * @return NULL with a message if the settings are wrong or the system refuses.
 */
struct eg_gossip *eg_gossip_new (const struct eg_gossip_parts *parts,
                                 struct eg_error *error);

/** Ends the bus; NULL is ignored, as in all that follow. */
void eg_gossip_free (struct eg_gossip *self);

/** Takes in a message of the bus, and frees it. */
void eg_gossip_receive (struct eg_gossip *self,
                        struct eg_peer_message *message);

/** Sends a message to a member; ignored if it is not live. */
void eg_gossip_send (struct eg_gossip *self,
                     uint64_t to,
                     struct eg_peer_message *message);

/**
 * Tells whether this node is to watch the store for new rules: some in each
 * failure domain do, and tell the others. True while the bus is off.
 */
bool eg_gossip_watches_rules (const struct eg_gossip *self);

/** Takes in that the fleet has a new list of VMs. */
void eg_gossip_listed (struct eg_gossip *self);

/** Takes in the rules in force: their limits are shared from now on. */
void eg_gossip_apply_rules (struct eg_gossip *self,
                            const struct eg_rules *rules,
                            uint64_t version);

/** Counts a request of an organisation. */
void eg_gossip_demand (struct eg_gossip *self, struct eg_str organisation);

/** Tells the other nodes of a quarantine. */
void eg_gossip_quarantine (struct eg_gossip *self,
                           uint64_t fingerprint,
                           int64_t until_us);

/** Tells the other nodes that this one leaves. */
void eg_gossip_leave (struct eg_gossip *self);

/** Lets time pass. */
void eg_gossip_tick (struct eg_gossip *self, int64_t now_us);

/** Appends the metrics of the bus and of the members. */
void eg_gossip_write_metrics (const struct eg_gossip *self,
                              struct eg_buffer *text);

#endif
