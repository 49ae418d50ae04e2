#include "policy/attempt_history.h"

#include <string.h>

/* Merges pairs of adjacent entries. No event is lost, only the exact time of
   some. Repeated merging makes old entries coarse but keeps recent ones fine.
*/
static void
merge_pairs (struct eg_attempt_history *self)
{
  for (uint32_t i = 0; i + 1 < self->count; i += 2)
    {
      struct eg_attempt_history_entry merged = self->entries[i + 1];

      merged.begun += self->entries[i].begun;
      merged.ended += self->entries[i].ended;
      self->entries[i / 2] = merged;
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
    merge_pairs (self);
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
  uint32_t discarded = 0;

  while (discarded < self->count
         && self->entries[discarded].last_us <= as_of_us)
    discarded++;
  self->count -= discarded;
  memmove (self->entries, self->entries + discarded,
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
