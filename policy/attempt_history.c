#include "policy/attempt_history.h"

#include <string.h>

/* Joins neighbours two by two; no event is lost, only the exact time of some.
   Repeated, it leaves old entries coarse and recent ones fine. */
static void
halve (struct eg_attempt_history *self)
{
  for (uint32_t i = 0; i + 1 < self->count; i += 2)
    {
      struct eg_attempt_history_entry joined = self->entries[i + 1];

      joined.begun += self->entries[i].begun;
      joined.ended += self->entries[i].ended;
      self->entries[i / 2] = joined;
    }
  self->count /= 2;
}

void
eg_attempt_history_add (struct eg_attempt_history *self,
                        bool begin,
                        int64_t now_us)
{
  struct eg_attempt_history_entry *entry;

  if (self->count == EG_ATTEMPT_HISTORY_ENTRIES)
    halve (self);
  entry = &self->entries[self->count++];
  *entry = (struct eg_attempt_history_entry){
      .last_us = now_us,
      .begun = begin ? 1 : 0,
      .ended = begin ? 0 : 1,
  };
}

void
eg_attempt_history_discard_until (struct eg_attempt_history *self,
                                  int64_t as_of_us)
{
  uint32_t old = 0;

  while (old < self->count && self->entries[old].last_us <= as_of_us)
    old++;
  self->count -= old;
  memmove (self->entries, self->entries + old,
           self->count * sizeof *self->entries);
}

void
eg_attempt_history_totals (const struct eg_attempt_history *self,
                           uint32_t *begun,
                           uint32_t *ended)
{
  *begun = 0;
  *ended = 0;
  for (uint32_t i = 0; i < self->count; i++)
    {
      *begun += self->entries[i].begun;
      *ended += self->entries[i].ended;
    }
}
