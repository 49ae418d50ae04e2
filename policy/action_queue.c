#include "policy/action_queue.h"

#include <stdlib.h>

#include "base/status.h"

#define INITIAL_CAPACITY 16

void
eg_action_queue_finish (struct eg_action_queue *self)
{
  free (self->actions);
  *self = (struct eg_action_queue){0};
}

static void
grow (struct eg_action_queue *self)
{
  size_t capacity = self->capacity ? self->capacity * 2 : INITIAL_CAPACITY;
  struct eg_action *actions = calloc (capacity, sizeof *actions);

  EG_INVARIANT (actions != NULL);
  for (size_t i = 0; i < self->count; i++)
    actions[i] = self->actions[(self->head + i) & (self->capacity - 1)];
  free (self->actions);
  self->actions = actions;
  self->capacity = capacity;
  self->head = 0;
}

void
eg_action_queue_push (struct eg_action_queue *self,
                      const struct eg_action *action)
{
  if (self->count == self->capacity)
    grow (self);
  self->actions[(self->head + self->count) & (self->capacity - 1)] = *action;
  self->count++;
}

bool
eg_action_queue_pop (struct eg_action_queue *self, struct eg_action *action)
{
  if (self->count == 0)
    return false;
  *action = self->actions[self->head];
  self->head = (self->head + 1) & (self->capacity - 1);
  self->count--;
  return true;
}
