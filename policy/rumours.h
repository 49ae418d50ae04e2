/**
 * @file
 * Store of the facts that entry VMs gossip about: the newest rumour about each
 * subject, and bucket hashes by which two nodes find the rumours that one of
 * them lacks.
 */
#ifndef EG_POLICY_RUMOURS_H
#define EG_POLICY_RUMOURS_H

#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** Maximum number of rumours kept; the one that expires first is evicted. */
#define EG_RUMOURS_MAX 16384

struct eg_rumours;

/** Creates an empty store; NULL when out of memory. */
struct eg_rumours *eg_rumours_new (void);

/** Frees the store; NULL is allowed. */
void eg_rumours_free (struct eg_rumours *self);

/**
 * Stores a rumour.
 * @return true if it was new; it must then be forwarded once over each link.
 */
bool eg_rumours_apply (struct eg_rumours *self,
                       const struct eg_rumour *rumour,
                       int64_t wall_ms);

/**
 * Returns the rumour about a subject, or NULL; valid until the store changes.
 */
const struct eg_rumour *eg_rumours_find (const struct eg_rumours *self,
                                         enum eg_rumour_kind kind,
                                         uint64_t subject);

/** Removes expired rumours. */
void eg_rumours_sweep (struct eg_rumours *self, int64_t wall_ms);

/** Writes the hash of each bucket. */
void eg_rumours_digest (const struct eg_rumours *self,
                        uint32_t buckets[EG_PEER_BUCKETS]);

/** Calls @p visit for each rumour in a bucket that differs from @p theirs. */
void eg_rumours_foreach_differing (
    const struct eg_rumours *self,
    const uint32_t theirs[EG_PEER_BUCKETS],
    void (*visit) (void *context, const struct eg_rumour *rumour),
    void *context);

EG_END_DECLS

#endif
