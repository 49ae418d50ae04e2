/**
 * @file
 * Passes the rules on between entry VMs: a delta to a peer that has the version
 * before, parts of the whole document to others.
 */
#ifndef EG_ROUTER_RULES_SPREAD_H
#define EG_ROUTER_RULES_SPREAD_H

#include "policy/peer_message.h"
#include "router/ruleset.h"

/** Where messages go; the sender's own fields are filled in there. */
struct eg_rules_spread_sink
{
  void (*send) (void *context, uint64_t to, struct eg_peer_message *message);
  void *context;
};

struct eg_rules_spread;

/** Makes one without a fetch under way; NULL without memory. */
struct eg_rules_spread *
eg_rules_spread_new (struct eg_ruleset *ruleset,
                     const struct eg_rules_spread_sink *sink);

/** Frees it; NULL is ignored. */
void eg_rules_spread_free (struct eg_rules_spread *self);

/** Takes in that @p peer has, or knows of, a version of the rules. */
void eg_rules_spread_heard (struct eg_rules_spread *self,
                            uint64_t peer,
                            uint64_t version,
                            int64_t now_us);

/** Takes in a RULES_REQUEST or a RULES_PART. */
void eg_rules_spread_receive (struct eg_rules_spread *self,
                              const struct eg_peer_message *message,
                              int64_t now_us);

/** Lets time pass. */
void eg_rules_spread_tick (struct eg_rules_spread *self, int64_t now_us);

#endif
