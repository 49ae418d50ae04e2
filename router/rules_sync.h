/**
 * @file
 * Replication of the rules between entry VMs: peers that have the preceding
 * version receive a delta, others the full document in parts.
 */
#ifndef EG_ROUTER_RULES_SYNC_H
#define EG_ROUTER_RULES_SYNC_H

#include "policy/peer_message.h"
#include "router/ruleset.h"

/** Output of messages; @c send fills in the sender's fields. */
struct eg_rules_sync_sink
{
  void (*send) (void *context, uint64_t to, struct eg_peer_message *message);
  void *context;
};

struct eg_rules_sync;

/** Creates a replicator; NULL if out of memory. */
struct eg_rules_sync *eg_rules_sync_new (struct eg_ruleset *ruleset,
                                         const struct eg_rules_sync_sink *sink);

/** Frees the replicator; NULL is ignored. */
void eg_rules_sync_free (struct eg_rules_sync *self);

/**
 * Handles an announcement of @p version by @p peer; fetches it if it is newer.
 */
void eg_rules_sync_announced (struct eg_rules_sync *self,
                              uint64_t peer,
                              uint64_t version,
                              int64_t now_us);

/** Handles a message of kind RULES_REQUEST or RULES_PART. */
void eg_rules_sync_receive (struct eg_rules_sync *self,
                            const struct eg_peer_message *message,
                            int64_t now_us);

/** Runs the work that is due at @p now_us, in microseconds. */
void eg_rules_sync_tick (struct eg_rules_sync *self, int64_t now_us);

#endif
