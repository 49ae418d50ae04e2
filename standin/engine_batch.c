#include "standin/engine_batch.h"

#include "base/clock.h"
#include "standin/pause.h"

/* How long a wait goes on before its interruption is looked at again. */
#define POLL_US (100 * EG_US_PER_MS)

struct eg_batch_waiter
{
  struct eg_batch_rank rank;
  bool is_granted;
  pthread_cond_t changed;
  struct eg_batch_waiter *next;
};

void
eg_batch_init (struct eg_batch *self, int64_t slots, pthread_mutex_t *lock)
{
  *self = (struct eg_batch){.lock = lock, .slots = slots};
}

struct eg_batch_rank
eg_batch_rank (struct eg_batch *self, int64_t priority)
{
  return (struct eg_batch_rank){priority, ++self->next_arrival};
}

static bool
ranks_before (struct eg_batch_rank a, struct eg_batch_rank b)
{
  if (a.priority != b.priority)
    return a.priority > b.priority;
  return a.arrival < b.arrival;
}

static void
insert_waiter (struct eg_batch *self, struct eg_batch_waiter *waiter)
{
  struct eg_batch_waiter **place = &self->waiters;

  while (*place && ranks_before ((*place)->rank, waiter->rank))
    place = &(*place)->next;
  waiter->next = *place;
  *place = waiter;
}

static void
remove_waiter (struct eg_batch *self, struct eg_batch_waiter *waiter)
{
  struct eg_batch_waiter **place = &self->waiters;

  while (*place != waiter)
    place = &(*place)->next;
  *place = waiter->next;
}

bool
eg_batch_acquire (struct eg_batch *self,
                  struct eg_batch_rank rank,
                  bool (*is_interrupted) (void *context),
                  void *context)
{
  struct eg_batch_waiter waiter = {.rank = rank};

  if (self->busy < self->slots)
    {
      self->busy++;
      return true;
    }
  pthread_cond_init (&waiter.changed, NULL);
  insert_waiter (self, &waiter);
  while (!waiter.is_granted && !is_interrupted (context))
    eg_pause_on (&waiter.changed, self->lock, POLL_US);
  if (!waiter.is_granted)
    remove_waiter (self, &waiter);
  pthread_cond_destroy (&waiter.changed);
  return waiter.is_granted;
}

void
eg_batch_release (struct eg_batch *self)
{
  struct eg_batch_waiter *first = self->waiters;

  if (!first)
    {
      self->busy--;
      return;
    }
  self->waiters = first->next;
  first->is_granted = true;
  pthread_cond_signal (&first->changed);
}

bool
eg_batch_is_outranked (const struct eg_batch *self, struct eg_batch_rank rank)
{
  return self->waiters && ranks_before (self->waiters->rank, rank);
}

void
eg_batch_wake (struct eg_batch *self)
{
  for (struct eg_batch_waiter *w = self->waiters; w; w = w->next)
    pthread_cond_signal (&w->changed);
}
