#include "base/ring.h"

#include <ck_pr.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

bool
eg_ring_init (struct eg_ring *self, unsigned capacity)
{
  self->slots = calloc (capacity, sizeof *self->slots);
  self->event_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  self->waiting = 0;
  if (!self->slots || self->event_fd < 0)
    {
      eg_ring_finish (self);
      return false;
    }
  ck_ring_init (&self->ring, capacity);
  return true;
}

void
eg_ring_finish (struct eg_ring *self)
{
  free (self->slots);
  self->slots = NULL;
  if (self->event_fd >= 0)
    close (self->event_fd);
  self->event_fd = -1;
}

void
eg_ring_wake (struct eg_ring *self)
{
  uint64_t one = 1;

  if (write (self->event_fd, &one, sizeof one) < 0)
    return; /* EAGAIN: the counter is at its maximum; a wake-up is pending. */
}

bool
eg_ring_push (struct eg_ring *self, void *item)
{
  if (!ck_ring_enqueue_mpsc (&self->ring, self->slots, item))
    return false;
  /* The item must be visible before `waiting` is read. Otherwise the consumer
     could see an empty ring and sleep while this thread sees it awake. */
  ck_pr_fence_memory ();
  if (ck_pr_load_uint (&self->waiting))
    eg_ring_wake (self);
  return true;
}

void *
eg_ring_pop (struct eg_ring *self)
{
  void *item = NULL;

  if (!ck_ring_dequeue_mpsc (&self->ring, self->slots, (void *) &item))
    return NULL;
  return item;
}

unsigned
eg_ring_count (const struct eg_ring *self)
{
  return ck_ring_size (&self->ring);
}

bool
eg_ring_prepare_wait (struct eg_ring *self)
{
  ck_pr_store_uint (&self->waiting, 1);
  ck_pr_fence_memory ();
  if (ck_ring_size (&self->ring) == 0)
    return true;
  ck_pr_store_uint (&self->waiting, 0);
  return false;
}

void
eg_ring_end_wait (struct eg_ring *self)
{
  uint64_t count;

  ck_pr_store_uint (&self->waiting, 0);
  if (read (self->event_fd, &count, sizeof count) < 0)
    return; /* EAGAIN: there was no wake-up. */
}

void
eg_ring_wait (struct eg_ring *self, int64_t timeout_us)
{
  struct pollfd fd = {.fd = self->event_fd, .events = POLLIN};
  struct timespec timeout = {
      .tv_sec = timeout_us / EG_US_PER_S,
      .tv_nsec = (timeout_us % EG_US_PER_S) * 1000,
  };

  if (timeout_us <= 0 || !eg_ring_prepare_wait (self))
    return;
  ppoll (&fd, 1, &timeout, NULL);
  eg_ring_end_wait (self);
}
