/**
 * @file
 * Gossip with other entry VMs: connects the peer and share policies to the bus,
 * and to this node's backend servers, limits and quarantines. Runs on the
 * decision thread.
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

/** Dependencies and callbacks; all must outlive the gossip. */
struct eg_gossip_deps
{
  const struct eg_router_settings *settings;
  struct eg_fleet *fleet;
  struct eg_lifecycle *lifecycle;
  /** Passes on a received message; called on the bus thread. */
  void (*push) (void *context, struct eg_peer_message *message);
  /** Some servers became available or unavailable for new requests. */
  void (*servers_changed) (void *context);
  /** Peer @p from announced a version of the rules newer than any known. */
  void (*rules_announced) (void *context, uint64_t from, uint64_t version);
  /** A peer requests rules, or sends a part of them. */
  void (*rules_message) (void *context, const struct eg_peer_message *message);
  void *context;
};

/** Returns whether the settings enable the bus. */
bool eg_gossip_is_enabled (const struct eg_router_settings *settings);

/** Checks that the settings of the bus are valid and consistent. */
enum eg_status eg_gossip_check (const struct eg_router_settings *settings,
                                struct eg_error *error);

/**
 * Starts the bus and installs its poll schedule and observer in the fleet.
 * @return NULL with @p error set if the settings are invalid or the bus cannot
 *         be started.
 */
struct eg_gossip *eg_gossip_new (const struct eg_gossip_deps *deps,
                                 struct eg_error *error);

/** Stops the bus. Here and below, NULL is ignored. */
void eg_gossip_free (struct eg_gossip *self);

/** Handles a message received on the bus, and frees it. */
void eg_gossip_receive (struct eg_gossip *self,
                        struct eg_peer_message *message);

/** Sends a message to a member; dropped if the member is not alive. */
void eg_gossip_send (struct eg_gossip *self,
                     uint64_t to,
                     struct eg_peer_message *message);

/**
 * Returns whether this node should watch the store for new rules: a few nodes
 * of each failure domain do, and announce them to the others. True if the bus
 * is disabled.
 */
bool eg_gossip_watches_rules (const struct eg_gossip *self);

/** Updates the members after the fleet received a new list of VMs. */
void eg_gossip_vm_list_changed (struct eg_gossip *self);

/**
 * Applies new rules: shares their limits among nodes and announces the version.
 */
void eg_gossip_apply_rules (struct eg_gossip *self,
                            const struct eg_rules *rules,
                            uint64_t version);

/** Records a request of an organisation, as demand for its limit. */
void eg_gossip_count_request (struct eg_gossip *self,
                              struct eg_str organisation);

/** Broadcasts a quarantine that ends at @p until_us. */
void eg_gossip_announce_quarantine (struct eg_gossip *self,
                                    uint64_t fingerprint,
                                    int64_t until_us);

/** Announces that this node is leaving. */
void eg_gossip_leave (struct eg_gossip *self);

/** Runs the work that is due at @p now_us, in microseconds. */
void eg_gossip_tick (struct eg_gossip *self, int64_t now_us);

/** Appends the metrics of the bus and the members. */
void eg_gossip_write_metrics (const struct eg_gossip *self,
                              struct eg_buffer *text);

#endif
