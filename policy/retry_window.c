#include "policy/retry_window.h"

#include <string.h>

void
eg_retry_window_init (struct eg_retry_window *self, int64_t window_us)
{
  memset (self, 0, sizeof *self);
  /* The steps cover one step more than the window, so that every interval of
     the window's length is fully counted. */
  self->step_us = window_us / (EG_RETRY_WINDOW_STEPS - 1);
  if (self->step_us < 1)
    self->step_us = 1;
}

static void
slide (struct eg_retry_window *self, int64_t now_us)
{
  int64_t step = now_us / self->step_us;

  if (step - self->step >= EG_RETRY_WINDOW_STEPS)
    {
      memset (self->requests, 0, sizeof self->requests);
      memset (self->retries, 0, sizeof self->retries);
      self->step = step;
    }
  while (self->step < step)
    {
      self->step++;
      self->requests[self->step % EG_RETRY_WINDOW_STEPS] = 0;
      self->retries[self->step % EG_RETRY_WINDOW_STEPS] = 0;
    }
}

void
eg_retry_window_request (struct eg_retry_window *self, int64_t now_us)
{
  slide (self, now_us);
  self->requests[self->step % EG_RETRY_WINDOW_STEPS]++;
}

bool
eg_retry_window_spend (struct eg_retry_window *self,
                       double ratio,
                       double extra,
                       int64_t now_us)
{
  double requests = 0;
  double retries = 0;

  slide (self, now_us);
  for (int i = 0; i < EG_RETRY_WINDOW_STEPS; i++)
    {
      requests += self->requests[i];
      retries += self->retries[i];
    }
  if (retries + 1 > requests * ratio + extra)
    return false;
  self->retries[self->step % EG_RETRY_WINDOW_STEPS]++;
  return true;
}

/* Takes back one of those counted in the step of @p at_us. */
static void
take_back (const struct eg_retry_window *self, uint32_t *counts, int64_t at_us)
{
  int64_t step = at_us / self->step_us;
  uint32_t *count = &counts[step % EG_RETRY_WINDOW_STEPS];

  if (self->step - step<EG_RETRY_WINDOW_STEPS && * count> 0)
    (*count)--;
}

void
eg_retry_window_forget (struct eg_retry_window *self, int64_t counted_us)
{
  take_back (self, self->requests, counted_us);
}

void
eg_retry_window_refund (struct eg_retry_window *self, int64_t spent_us)
{
  take_back (self, self->retries, spent_us);
}
