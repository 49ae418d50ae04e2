#include "base/heap.h"

#include <stdlib.h>

#include "base/status.h"

#define CAPACITY_MIN 16
/* The node array shrinks when count < capacity / SHRINK_RATIO. */
#define SHRINK_RATIO 4

void
eg_heap_init (struct eg_heap *self)
{
  *self = (struct eg_heap){0};
}

void
eg_heap_finish (struct eg_heap *self)
{
  free (self->nodes);
  eg_heap_init (self);
}

static bool
set_capacity (struct eg_heap *self, size_t capacity)
{
  struct eg_heap_node **nodes =
      realloc (self->nodes, capacity * sizeof (struct eg_heap_node *));

  if (!nodes)
    return false;
  self->nodes = nodes;
  self->capacity = capacity;
  return true;
}

static bool
is_before (const struct eg_heap_node *a, const struct eg_heap_node *b)
{
  if (a->key != b->key)
    return a->key < b->key;
  return a->order < b->order;
}

static void
place (struct eg_heap *self, struct eg_heap_node *node, size_t index)
{
  self->nodes[index] = node;
  node->index = index;
}

static void
move_up (struct eg_heap *self, struct eg_heap_node *node)
{
  size_t index = node->index;

  while (index > 0 && is_before (node, self->nodes[(index - 1) / 2]))
    {
      place (self, self->nodes[(index - 1) / 2], index);
      index = (index - 1) / 2;
    }
  place (self, node, index);
}

static void
move_down (struct eg_heap *self, struct eg_heap_node *node)
{
  size_t index = node->index;

  for (;;)
    {
      size_t child = 2 * index + 1;

      if (child + 1 < self->count
          && is_before (self->nodes[child + 1], self->nodes[child]))
        child++;
      if (child >= self->count || !is_before (self->nodes[child], node))
        break;
      place (self, self->nodes[child], index);
      index = child;
    }
  place (self, node, index);
}

bool
eg_heap_insert (struct eg_heap *self, struct eg_heap_node *node)
{
  if (self->count == self->capacity
      && !set_capacity (self,
                        self->capacity ? self->capacity * 2 : CAPACITY_MIN))
    return false;
  place (self, node, self->count++);
  move_up (self, node);
  return true;
}

void
eg_heap_update (struct eg_heap *self, struct eg_heap_node *node)
{
  move_up (self, node);
  move_down (self, node);
}

void
eg_heap_remove (struct eg_heap *self, struct eg_heap_node *node)
{
  struct eg_heap_node *last;

  EG_INVARIANT (node->index < self->count && self->nodes[node->index] == node);
  last = self->nodes[--self->count];
  if (last != node)
    {
      place (self, last, node->index);
      eg_heap_update (self, last);
    }
  if (self->capacity > CAPACITY_MIN
      && self->count < self->capacity / SHRINK_RATIO)
    set_capacity (self, self->capacity / 2);
}

void
eg_heap_rebuild (struct eg_heap *self)
{
  for (size_t i = self->count / 2; i-- > 0;)
    move_down (self, self->nodes[i]);
}

struct eg_heap_node *
eg_heap_first (const struct eg_heap *self)
{
  return self->count ? self->nodes[0] : NULL;
}
