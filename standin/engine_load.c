#include "standin/engine_load.h"

#include "base/clock.h"

/* Changes within this time after a sample was started are merged into it. */
#define SAMPLE_US (5 * EG_US_PER_MS)

void
eg_engine_load_history_add (struct eg_engine_load_history *self,
                            struct eg_engine_load load,
                            int64_t now_us)
{
  int64_t last = self->count - 1;

  if (last >= 0
      && now_us - self->samples[last % EG_ENGINE_LOAD_SAMPLES].at_us
             < SAMPLE_US)
    {
      self->samples[last % EG_ENGINE_LOAD_SAMPLES].load = load;
      return;
    }
  self->samples[self->count % EG_ENGINE_LOAD_SAMPLES].at_us = now_us;
  self->samples[self->count % EG_ENGINE_LOAD_SAMPLES].load = load;
  self->count++;
}

struct eg_engine_load
eg_engine_load_history_at (const struct eg_engine_load_history *self,
                           int64_t at_us)
{
  int64_t oldest = self->count > EG_ENGINE_LOAD_SAMPLES
                       ? self->count - EG_ENGINE_LOAD_SAMPLES
                       : 0;
  int64_t i = self->count - 1;

  while (i > oldest && self->samples[i % EG_ENGINE_LOAD_SAMPLES].at_us > at_us)
    i--;
  return self->samples[i % EG_ENGINE_LOAD_SAMPLES].load;
}
