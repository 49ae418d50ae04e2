/**
 * @file
 * Bounded rings of pointers between threads: many producers, one consumer.
 */
#ifndef EG_BASE_RING_H
#define EG_BASE_RING_H

#include <ck_ring.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** A ring and the event descriptor that wakes its consumer. */
struct eg_ring
{
  ck_ring_t ring;
  ck_ring_buffer_t *slots;
  int event_fd;
  unsigned waiting; /**< Non-zero while the consumer may be asleep. */
};

/**
 * Makes an empty ring.
 * @param capacity slots, a power of two; one of them always stays empty.
 * @return false if memory or a descriptor could not be had.
 */
bool eg_ring_init (struct eg_ring *self, unsigned capacity);

/** Frees the ring; what is still in it stays with its owner. */
void eg_ring_finish (struct eg_ring *self);

/**
 * Appends @p item and wakes the consumer; for any thread.
 * @return false if the ring is full; the item stays the caller's.
 */
bool eg_ring_push (struct eg_ring *self, void *item);

/** Takes the oldest item, or returns NULL; for the consumer alone. */
void *eg_ring_pop (struct eg_ring *self);

/** Returns how many items wait; may be out of date at once. */
unsigned eg_ring_count (const struct eg_ring *self);

/**
 * Sleeps until an item arrives, eg_ring_wake() is called or the time is over;
 * for the consumer alone.
 */
void eg_ring_wait (struct eg_ring *self, int64_t timeout_us);

/** Wakes the consumer without an item; for any thread. */
void eg_ring_wake (struct eg_ring *self);

/**
 * Announces that the consumer is about to sleep on @c event_fd itself.
 * @return false if items are waiting already, so that it must not sleep.
 */
bool eg_ring_prepare_wait (struct eg_ring *self);

/** Ends what eg_ring_prepare_wait() began and empties @c event_fd. */
void eg_ring_end_wait (struct eg_ring *self);

EG_END_DECLS

#endif
