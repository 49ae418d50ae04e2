#include "standin/load_arrivals.h"

#include <math.h>

#include "base/clock.h"
#include "base/hash.h"

/* Returns the arrival rate at time_us, and when it next changes. */
static double
rate_at (const struct eg_load_arrivals *self,
         int64_t time_us,
         int64_t *change_us)
{
  const struct eg_load_scenario *scenario = self->scenario;
  double factor = 1;

  *change_us = EG_LOAD_NEVER;
  for (size_t i = 0; i < scenario->n_phases; i++)
    {
      if (scenario->phases[i].at_us > time_us)
        {
          *change_us = scenario->phases[i].at_us;
          break;
        }
      factor = scenario->phases[i].rate_factor;
    }
  return self->stream->rate_per_s * factor;
}

/* Returns when the integral of the arrival rate since time_us reaches
   `expected` arrivals; the rate is piecewise constant. */
static int64_t
time_of_expected (const struct eg_load_arrivals *self,
                  int64_t time_us,
                  double expected)
{
  for (;;)
    {
      int64_t change_us;
      double rate = rate_at (self, time_us, &change_us) / (double) EG_US_PER_S;
      double until_change = (double) (change_us - time_us) * rate;

      if (rate > 0 && expected <= until_change)
        return time_us + (int64_t) (expected / rate);
      if (change_us == EG_LOAD_NEVER)
        return EG_LOAD_NEVER;
      expected -= until_change;
      time_us = change_us;
    }
}

static void
schedule_next (struct eg_load_arrivals *self, int64_t after_us)
{
  const struct eg_load_stream *stream = self->stream;
  int64_t end_us = eg_load_scenario_end_us (self->scenario);
  uint64_t span = (uint64_t) (stream->max_tokens - stream->min_tokens) + 1;
  double expected = 1;

  if (stream->end_us > 0 && stream->end_us < end_us)
    end_us = stream->end_us;
  if (stream->poisson)
    expected = -log (1 - eg_random_double (&self->random));
  self->max_tokens =
      stream->min_tokens + (int64_t) eg_random_below (&self->random, span);
  self->next_us = time_of_expected (self, after_us, expected);
  if (self->next_us >= end_us)
    self->next_us = EG_LOAD_NEVER;
}

void
eg_load_arrivals_init (struct eg_load_arrivals *self,
                       const struct eg_load_scenario *scenario,
                       size_t index,
                       uint64_t seed)
{
  *self = (struct eg_load_arrivals){
      .scenario = scenario,
      .stream = &scenario->streams[index],
  };
  eg_random_init (&self->random, eg_hash_mix (seed) + index);
  schedule_next (self, self->stream->start_us);
}

void
eg_load_arrivals_advance (struct eg_load_arrivals *self)
{
  self->number++;
  schedule_next (self, self->next_us);
}
