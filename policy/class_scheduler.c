#include "policy/class_scheduler.h"

#include "base/status.h"

void
eg_class_scheduler_init (struct eg_class_scheduler *self)
{
  *self = (struct eg_class_scheduler){0};
}

void
eg_class_scheduler_add (struct eg_class_scheduler *self,
                        int priority,
                        double floor)
{
  unsigned index = (unsigned) self->count;
  unsigned position = index;

  EG_INVARIANT (index < EG_CLASSES_MAX);
  self->priorities[index] = priority;
  self->floors[index] = floor > 0 ? floor : 0;
  for (; position > 0; position--)
    {
      unsigned before = self->ranked[position - 1];

      if (self->priorities[before] <= priority)
        break;
      self->ranked[position] = before;
    }
  self->ranked[position] = index;
  self->count++;
}

void
eg_class_scheduler_normalize_floors (struct eg_class_scheduler *self)
{
  double sum = 0;

  for (size_t i = 0; i < self->count; i++)
    sum += self->floors[i];
  for (size_t i = 0; i < self->count && sum > 1; i++)
    self->floors[i] /= sum;
}

void
eg_class_scheduler_set_waiting (struct eg_class_scheduler *self,
                                unsigned index,
                                bool waiting)
{
  self->waiting[index] = waiting;
  if (!waiting && self->credits[index] > 0)
    self->credits[index] = 0;
}

static bool
find_waiting (const struct eg_class_scheduler *self, bool owed, unsigned *index)
{
  for (size_t i = 0; i < self->count; i++)
    {
      unsigned candidate = self->ranked[i];

      if (!self->waiting[candidate] || (owed && self->credits[candidate] <= 0))
        continue;
      *index = candidate;
      return true;
    }
  return false;
}

bool
eg_class_scheduler_choose (const struct eg_class_scheduler *self,
                           unsigned *index,
                           bool *owed)
{
  *owed = find_waiting (self, true, index);
  return *owed || find_waiting (self, false, index);
}

void
eg_class_scheduler_charge (struct eg_class_scheduler *self,
                           unsigned index,
                           bool owed,
                           uint64_t cost)
{
  for (size_t i = 0; i < self->count; i++)
    if (i != index && self->waiting[i])
      self->credits[i] += self->floors[i] * (double) cost;
  /* Service by priority is not charged against the floor; otherwise a class
     that used idle capacity would be starved later. */
  if (owed)
    self->credits[index] -= (1 - self->floors[index]) * (double) cost;
}

bool
eg_class_scheduler_choose_above (const struct eg_class_scheduler *self,
                                 unsigned class_index,
                                 unsigned *index)
{
  for (size_t i = 0; i < self->count; i++)
    {
      unsigned ranked = self->ranked[i];

      if (self->priorities[ranked] >= self->priorities[class_index])
        return false;
      *index = ranked;
      if (self->waiting[ranked])
        return true;
    }
  return false;
}
