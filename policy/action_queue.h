/**
 * @file
 * A first-in first-out queue of decisions that grows as needed.
 */
#ifndef EG_POLICY_ACTION_QUEUE_H
#define EG_POLICY_ACTION_QUEUE_H

#include "base/decls.h"
#include "policy/lifecycle.h"

EG_BEGIN_DECLS

/** The queue; zero-initialised memory is an empty one. */
struct eg_action_queue
{
  struct eg_action *actions;
  size_t capacity; /**< A power of two, or 0. */
  size_t head;
  size_t count;
};

/** Frees the queue. */
void eg_action_queue_finish (struct eg_action_queue *self);

/** Appends a copy of @p action. */
void eg_action_queue_push (struct eg_action_queue *self,
                           const struct eg_action *action);

/** Takes the oldest; false if there is none. */
bool eg_action_queue_pop (struct eg_action_queue *self,
                          struct eg_action *action);

EG_END_DECLS

#endif
