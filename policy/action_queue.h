/**
 * @file
 * A growing FIFO queue of actions.
 */
#ifndef EG_POLICY_ACTION_QUEUE_H
#define EG_POLICY_ACTION_QUEUE_H

#include "base/decls.h"
#include "policy/lifecycle.h"

EG_BEGIN_DECLS

/** A ring buffer; zero-initialised memory is an empty queue. */
struct eg_action_queue
{
  struct eg_action *actions;
  size_t capacity; /**< A power of two, or 0. */
  size_t head;
  size_t count;
};

/** Frees the queue. */
void eg_action_queue_finish (struct eg_action_queue *self);

/** Appends a copy of @p action; aborts if out of memory. */
void eg_action_queue_push (struct eg_action_queue *self,
                           const struct eg_action *action);

/** Removes the oldest action; false if the queue is empty. */
bool eg_action_queue_pop (struct eg_action_queue *self,
                          struct eg_action *action);

EG_END_DECLS

#endif
