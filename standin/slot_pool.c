#include "standin/slot_pool.h"

#include "base/clock.h"
#include "standin/timed_wait.h"

/* Interval at which a waiter polls for interruption. */
#define POLL_US (100 * EG_US_PER_MS)

struct eg_slot_waiter
{
  struct eg_slot_rank rank;
  bool is_granted;
  pthread_cond_t changed;
  struct eg_slot_waiter *next;
};

void
eg_slot_pool_init (struct eg_slot_pool *self,
                   int64_t slots,
                   pthread_mutex_t *lock)
{
  *self = (struct eg_slot_pool){.lock = lock, .slots = slots};
}

struct eg_slot_rank
eg_slot_rank (struct eg_slot_pool *self, int64_t priority)
{
  return (struct eg_slot_rank){priority, ++self->next_arrival};
}

static bool
ranks_before (struct eg_slot_rank a, struct eg_slot_rank b)
{
  if (a.priority != b.priority)
    return a.priority > b.priority;
  return a.arrival < b.arrival;
}

static void
insert_waiter (struct eg_slot_pool *self, struct eg_slot_waiter *waiter)
{
  struct eg_slot_waiter **link = &self->waiters;

  while (*link && ranks_before ((*link)->rank, waiter->rank))
    link = &(*link)->next;
  waiter->next = *link;
  *link = waiter;
}

static void
remove_waiter (struct eg_slot_pool *self, struct eg_slot_waiter *waiter)
{
  struct eg_slot_waiter **link = &self->waiters;

  while (*link != waiter)
    link = &(*link)->next;
  *link = waiter->next;
}

bool
eg_slot_pool_acquire (struct eg_slot_pool *self,
                      struct eg_slot_rank rank,
                      bool (*is_interrupted) (void *context),
                      void *context)
{
  struct eg_slot_waiter waiter = {.rank = rank};

  if (self->busy < self->slots)
    {
      self->busy++;
      return true;
    }
  pthread_cond_init (&waiter.changed, NULL);
  insert_waiter (self, &waiter);
  while (!waiter.is_granted && !is_interrupted (context))
    eg_cond_wait_for (&waiter.changed, self->lock, POLL_US);
  if (!waiter.is_granted)
    remove_waiter (self, &waiter);
  pthread_cond_destroy (&waiter.changed);
  return waiter.is_granted;
}

void
eg_slot_pool_release (struct eg_slot_pool *self)
{
  struct eg_slot_waiter *first = self->waiters;

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
eg_slot_pool_is_outranked (const struct eg_slot_pool *self,
                           struct eg_slot_rank rank)
{
  return self->waiters && ranks_before (self->waiters->rank, rank);
}

void
eg_slot_pool_wake (struct eg_slot_pool *self)
{
  for (struct eg_slot_waiter *w = self->waiters; w; w = w->next)
    pthread_cond_signal (&w->changed);
}
