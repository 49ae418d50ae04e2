/**
 * @file
 * Spreads loads of backend servers within a failure domain: each entry reaches
 * each node once, over the fingers of the overlay.
 *
 * A node passes an entry with a range of n successors to the finger at distance
 * 2^i together with the part of the range that lies between this finger and the
 * next. Entries wait until the next flush, so that a finger gets one message
 * for many of them.
 */
#ifndef EG_POLICY_LOAD_BROADCAST_H
#define EG_POLICY_LOAD_BROADCAST_H

#include "policy/overlay.h"
#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** Most entries that wait for one finger; further ones are dropped. */
#define EG_LOAD_BROADCAST_QUEUE_MAX 1024

struct eg_load_queue_entry;

/** What waits for one finger. */
struct eg_load_queue
{
  struct eg_load_queue_entry *entries;
  size_t count;
  size_t capacity;
};

/** Entries under way; zero-initialised memory has none. */
struct eg_load_broadcast
{
  struct eg_load_queue queues[EG_OVERLAY_FINGERS_MAX];
  uint64_t dropped;
};

/** Frees the entries. */
void eg_load_broadcast_finish (struct eg_load_broadcast *self);

/**
 * Queues an entry for the fingers in its range. A newer entry takes the place
 * of one about the same server.
 */
void eg_load_broadcast_add (struct eg_load_broadcast *self,
                            const struct eg_overlay *overlay,
                            const struct eg_load_entry *entry,
                            int64_t now_us);

/**
 * Fills @p message with entries that wait for a finger.
 * @return false if none wait.
 */
bool eg_load_broadcast_next (struct eg_load_broadcast *self,
                             size_t finger,
                             int64_t now_us,
                             struct eg_peer_message *message);

EG_END_DECLS

#endif
