#include "base/map.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/status.h"

#define INITIAL_CAPACITY 16

struct eg_map_slot
{
  uint64_t key;
  void *value; /* NULL if the slot is free. */
};

void
eg_map_init (struct eg_map *self)
{
  *self = (struct eg_map){0};
}

void
eg_map_finish (struct eg_map *self)
{
  free (self->slots);
  *self = (struct eg_map){0};
}

static size_t
home_slot (const struct eg_map *self, uint64_t key)
{
  return (size_t) eg_hash_mix (key) & (self->capacity - 1);
}

/* Returns the slot that holds @p key, or the free slot to insert it at. */
static size_t
find_slot (const struct eg_map *self, uint64_t key)
{
  size_t i = home_slot (self, key);

  while (self->slots[i].value && self->slots[i].key != key)
    i = (i + 1) & (self->capacity - 1);
  return i;
}

void *
eg_map_get (const struct eg_map *self, uint64_t key)
{
  return self->capacity ? self->slots[find_slot (self, key)].value : NULL;
}

static void
grow (struct eg_map *self)
{
  struct eg_map bigger = {0};

  bigger.capacity = self->capacity ? self->capacity * 2 : INITIAL_CAPACITY;
  bigger.slots = calloc (bigger.capacity, sizeof *bigger.slots);
  EG_INVARIANT (bigger.slots != NULL);
  for (size_t i = 0; i < self->capacity; i++)
    if (self->slots[i].value)
      bigger.slots[find_slot (&bigger, self->slots[i].key)] = self->slots[i];
  bigger.count = self->count;
  free (self->slots);
  *self = bigger;
}

void
eg_map_put (struct eg_map *self, uint64_t key, void *value)
{
  size_t i;

  EG_INVARIANT (value != NULL);
  if (self->capacity == 0 || self->count * 4 >= self->capacity * 3)
    grow (self);
  i = find_slot (self, key);
  if (!self->slots[i].value)
    self->count++;
  self->slots[i] = (struct eg_map_slot){key, value};
}

/* Backward-shift deletion: moves later entries of the probe sequence into the
   freed slot, so that lookups need no tombstones. */
static void
backward_shift (struct eg_map *self, size_t gap)
{
  size_t mask = self->capacity - 1;
  size_t i = gap;

  for (;;)
    {
      size_t distance;

      i = (i + 1) & mask;
      if (!self->slots[i].value)
        break;
      distance = (i - home_slot (self, self->slots[i].key)) & mask;
      if (distance < ((i - gap) & mask))
        continue;
      self->slots[gap] = self->slots[i];
      gap = i;
    }
  self->slots[gap].value = NULL;
}

void *
eg_map_remove (struct eg_map *self, uint64_t key)
{
  size_t i;
  void *value;

  if (self->capacity == 0)
    return NULL;
  i = find_slot (self, key);
  value = self->slots[i].value;
  if (!value)
    return NULL;
  backward_shift (self, i);
  self->count--;
  return value;
}

void *
eg_map_next (const struct eg_map *self, size_t *cursor)
{
  while (*cursor < self->capacity)
    {
      void *value = self->slots[(*cursor)++].value;

      if (value)
        return value;
    }
  return NULL;
}
