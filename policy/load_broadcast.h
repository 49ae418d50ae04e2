/**
 * @file
 * Broadcasts the loads of backend servers within a failure domain over the
 * fingers of the overlay; each entry reaches each node once.
 *
 * An entry carries the number of successors that its receiver must cover. A
 * node forwards it to each finger within that range, with the part of the range
 * that lies between this finger and the next. Entries are queued until the next
 * flush, so that one message carries many of them.
 */
#ifndef EG_POLICY_LOAD_BROADCAST_H
#define EG_POLICY_LOAD_BROADCAST_H

#include "policy/overlay.h"
#include "policy/peer_message.h"

EG_BEGIN_DECLS

/**
 * Maximum number of entries queued for one finger; further ones are dropped.
 */
#define EG_LOAD_BROADCAST_QUEUE_MAX 1024

struct eg_load_queue_entry;

/** Entries queued for one finger. */
struct eg_load_queue
{
  struct eg_load_queue_entry *entries;
  size_t count;
  size_t capacity;
};

/** Queues of all fingers; zero-initialised is empty. */
struct eg_load_broadcast
{
  struct eg_load_queue queues[EG_OVERLAY_FINGERS_MAX];
  uint64_t dropped;
};

/** Frees the queued entries. */
void eg_load_broadcast_finish (struct eg_load_broadcast *self);

/**
 * Queues an entry for the fingers in its range, replacing a queued entry for
 * the same server.
 */
void eg_load_broadcast_add (struct eg_load_broadcast *self,
                            const struct eg_overlay *overlay,
                            const struct eg_load_entry *entry,
                            int64_t now_us);

/**
 * Moves entries queued for a finger into @p message.
 * @return false if there were none.
 */
bool eg_load_broadcast_next (struct eg_load_broadcast *self,
                             size_t finger,
                             int64_t now_us,
                             struct eg_peer_message *message);

EG_END_DECLS

#endif
