/**
 * @file
 * The facts that entry VMs spread among each other: the newest about each
 * subject, and hashes by which two nodes find what one of them lacks.
 */
#ifndef EG_POLICY_RUMOURS_H
#define EG_POLICY_RUMOURS_H

#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** Most facts kept; the one that expires first makes room. */
#define EG_RUMOURS_MAX 16384

struct eg_rumours;

/** Makes an empty store; NULL if memory could not be had. */
struct eg_rumours *eg_rumours_new (void);

/** Frees the store. */
void eg_rumours_free (struct eg_rumours *self);

/**
 * Takes in a rumour.
 * @return true if it is news: it must then be passed on, once to each link.
 */
bool eg_rumours_apply (struct eg_rumours *self,
                       const struct eg_rumour *rumour,
                       int64_t wall_ms);

/** Returns what is known of a subject, or NULL; valid until the next take. */
const struct eg_rumour *eg_rumours_find (const struct eg_rumours *self,
                                         enum eg_rumour_kind kind,
                                         uint64_t subject);

/** Forgets what has expired. */
void eg_rumours_sweep (struct eg_rumours *self, int64_t wall_ms);

/** Writes the hash of each bucket. */
void eg_rumours_digest (const struct eg_rumours *self,
                        uint32_t buckets[EG_PEER_BUCKETS]);

/**
 * Calls @p visit for each fact whose bucket differs from @p theirs.
 */
void eg_rumours_foreach_differing (
    const struct eg_rumours *self,
    const uint32_t theirs[EG_PEER_BUCKETS],
    void (*visit) (void *context, const struct eg_rumour *rumour),
    void *context);

EG_END_DECLS

#endif
