/**
 * @file
 * The slots of a server, granted by priority, then by arrival.
 *
 * The caller holds one lock around all calls; a wait releases it meanwhile.
 */
#ifndef EG_STANDIN_ENGINE_BATCH_H
#define EG_STANDIN_ENGINE_BATCH_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** A stream's place in the order of grants. */
struct eg_slot_rank
{
  int64_t priority; /**< The higher number goes first. */
  uint64_t arrival; /**< Among equals, the lower number goes first. */
};

struct eg_slot_waiter;

/** A number of slots, and who waits for them. */
struct eg_slot_pool
{
  pthread_mutex_t *lock;
  int64_t slots;
  int64_t busy;
  uint64_t next_arrival;
  struct eg_slot_waiter *waiters; /**< In the order of grants. */
};

/** Makes a batch of @p slots free slots, guarded by @p lock. */
void eg_slot_pool_init (struct eg_slot_pool *self,
                        int64_t slots,
                        pthread_mutex_t *lock);

/** Returns the rank of a stream that arrives now. */
struct eg_slot_rank eg_slot_rank (struct eg_slot_pool *self, int64_t priority);

/**
 * Waits for a slot.
 * @param is_interrupted asked now and then; true ends the wait.
 * @return whether a slot was granted.
 */
bool eg_slot_pool_acquire (struct eg_slot_pool *self,
                           struct eg_slot_rank rank,
                           bool (*is_interrupted) (void *context),
                           void *context);

/** Gives a slot back, to the first waiter if there is one. */
void eg_slot_pool_release (struct eg_slot_pool *self);

/** Tells whether a waiter ranks before @p rank. */
bool eg_slot_pool_is_outranked (const struct eg_slot_pool *self,
                                struct eg_slot_rank rank);

/** Has all waits look at their interruption now. */
void eg_slot_pool_wake (struct eg_slot_pool *self);

EG_END_DECLS

#endif
