#include "policy/load_broadcast.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_START 32
#define AGE_MAX 255

struct eg_load_queue_entry
{
  struct eg_load_entry entry;
  int64_t since_us;
};

void
eg_load_broadcast_finish (struct eg_load_broadcast *self)
{
  for (size_t i = 0; i < EG_OVERLAY_FINGERS_MAX; i++)
    free (self->queues[i].entries);
  *self = (struct eg_load_broadcast){0};
}

static struct eg_load_queue_entry *
place_for (struct eg_load_queue *queue, uint32_t server)
{
  for (size_t i = 0; i < queue->count; i++)
    if (queue->entries[i].entry.server == server)
      return &queue->entries[i];
  if (queue->count == EG_LOAD_BROADCAST_QUEUE_MAX)
    return NULL;
  if (queue->count == queue->capacity)
    {
      size_t capacity = queue->capacity ? queue->capacity * 2 : CAPACITY_START;
      struct eg_load_queue_entry *grown =
          realloc (queue->entries, capacity * sizeof *grown);

      if (!grown)
        return NULL;
      queue->entries = grown;
      queue->capacity = capacity;
    }
  return &queue->entries[queue->count++];
}

void
eg_load_broadcast_add (struct eg_load_broadcast *self,
                       const struct eg_overlay *overlay,
                       const struct eg_load_entry *entry,
                       int64_t now_us)
{
  size_t range = entry->range;

  /* A view smaller than the sender's must not send an entry around twice. */
  if (overlay->size > 0 && range > overlay->size - 1)
    range = overlay->size - 1;
  for (size_t i = 0; i < overlay->finger_count; i++)
    {
      size_t distance = (size_t) 1 << i;
      size_t end = distance * 2 - 1 < range ? distance * 2 - 1 : range;
      struct eg_load_queue_entry *place;

      if (distance > range)
        return;
      place = place_for (&self->queues[i], entry->server);
      if (!place)
        {
          self->dropped++;
          continue;
        }
      place->entry = *entry;
      place->entry.range = (uint8_t) (end - distance);
      place->since_us = now_us;
    }
}

static uint8_t
age_now (const struct eg_load_queue_entry *waiting, int64_t now_us)
{
  int64_t age =
      waiting->entry.age + (now_us - waiting->since_us) / EG_LOAD_AGE_UNIT_US;

  return (uint8_t) (age < AGE_MAX ? age : AGE_MAX);
}

bool
eg_load_broadcast_next (struct eg_load_broadcast *self,
                        size_t finger,
                        int64_t now_us,
                        struct eg_peer_message *message)
{
  struct eg_load_queue *queue = &self->queues[finger];
  size_t count =
      queue->count < EG_PEER_LOADS_MAX ? queue->count : EG_PEER_LOADS_MAX;

  message->kind = EG_PEER_LOADS;
  message->count = count;
  for (size_t i = 0; i < count; i++)
    {
      message->loads[i] = queue->entries[i].entry;
      message->loads[i].age = age_now (&queue->entries[i], now_us);
    }
  queue->count -= count;
  if (queue->count > 0)
    memmove (queue->entries, queue->entries + count,
             queue->count * sizeof *queue->entries);
  return count > 0;
}
