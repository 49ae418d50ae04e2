/**
 * @file
 * Pool of processing slots, granted by priority and then in order of arrival.
 *
 * Call all functions with the pool's lock held; eg_slot_pool_acquire() releases
 * it while waiting.
 */
#ifndef EG_STANDIN_SLOT_POOL_H
#define EG_STANDIN_SLOT_POOL_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Sort key of a waiter. */
struct eg_slot_rank
{
  int64_t priority; /**< Higher values are served first. */
  uint64_t arrival; /**< Breaks ties: lower values are served first. */
};

struct eg_slot_waiter;

/** A fixed number of slots and a queue of waiters. */
struct eg_slot_pool
{
  pthread_mutex_t *lock;
  int64_t slots;
  int64_t busy;
  uint64_t next_arrival;
  struct eg_slot_waiter *waiters; /**< Sorted by rank. */
};

/** Initializes a pool of @p slots free slots that @p lock protects. */
void eg_slot_pool_init (struct eg_slot_pool *self,
                        int64_t slots,
                        pthread_mutex_t *lock);

/** Returns the rank of a stream of @p priority that arrives now. */
struct eg_slot_rank eg_slot_rank (struct eg_slot_pool *self, int64_t priority);

/**
 * Waits for a slot.
 * @param is_interrupted polled with @p context; returning true ends the wait.
 * @return true if a slot was granted.
 */
bool eg_slot_pool_acquire (struct eg_slot_pool *self,
                           struct eg_slot_rank rank,
                           bool (*is_interrupted) (void *context),
                           void *context);

/** Releases a slot and hands it to the first waiter, if any. */
void eg_slot_pool_release (struct eg_slot_pool *self);

/** Returns whether a waiter ranks before @p rank. */
bool eg_slot_pool_is_outranked (const struct eg_slot_pool *self,
                                struct eg_slot_rank rank);

/** Wakes all waiters, so that they poll for interruption at once. */
void eg_slot_pool_wake (struct eg_slot_pool *self);

EG_END_DECLS

#endif
