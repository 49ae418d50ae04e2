/**
 * @file
 * Bounded lock-free queues of pointers: many producers, one consumer.
 */
#ifndef EG_BASE_RING_H
#define EG_BASE_RING_H

#include <ck_ring.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** A ring buffer and the eventfd that wakes its consumer. */
struct eg_ring
{
  ck_ring_t ring;
  ck_ring_buffer_t *slots;
  int event_fd;
  unsigned waiting; /**< Non-zero while the consumer may be sleeping. */
};

/**
 * Initialises an empty ring.
 * @param capacity number of slots, a power of two; one always stays empty.
 * @return false if out of memory or file descriptors.
 */
bool eg_ring_init (struct eg_ring *self, unsigned capacity);

/** Frees the ring, but not the items that are still in it. */
void eg_ring_finish (struct eg_ring *self);

/**
 * Appends @p item and wakes the consumer. Safe from any thread.
 * @return false if the ring is full; the caller keeps the item.
 */
bool eg_ring_push (struct eg_ring *self, void *item);

/** Removes and returns the oldest item, or NULL; consumer thread only. */
void *eg_ring_pop (struct eg_ring *self);

/** Returns the number of queued items; a snapshot that may be stale. */
unsigned eg_ring_count (const struct eg_ring *self);

/**
 * Sleeps until an item arrives, eg_ring_wake() is called or @p timeout_us
 * microseconds have passed; consumer thread only.
 */
void eg_ring_wait (struct eg_ring *self, int64_t timeout_us);

/** Wakes the consumer without pushing an item. Safe from any thread. */
void eg_ring_wake (struct eg_ring *self);

/**
 * Must be called before the consumer polls @c event_fd itself.
 * @return false if items are already queued, so that it must not sleep.
 */
bool eg_ring_prepare_wait (struct eg_ring *self);

/** Must be called after eg_ring_prepare_wait(); drains @c event_fd. */
void eg_ring_end_wait (struct eg_ring *self);

EG_END_DECLS

#endif
