#include "standin/load_results.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define MIN_SAMPLES 1024

static bool
is_same_group (const struct eg_load_stream *a, const struct eg_load_stream *b)
{
  return strcmp (a->organisation, b->organisation) == 0
         && strcmp (a->class_name, b->class_name) == 0;
}

static size_t
find_group (struct eg_load_results *self, size_t index)
{
  const struct eg_load_stream *streams = self->scenario->streams;
  struct eg_load_group *group = &self->groups[self->n_groups];

  for (size_t i = 0; i < index; i++)
    if (is_same_group (&streams[i], &streams[index]))
      return self->group_of_stream[i];
  group->organisation = streams[index].organisation;
  group->class_name = streams[index].class_name;
  return self->n_groups++;
}

static void *
alloc_zeroed (size_t count, size_t bytes)
{
  void *memory = calloc (count + 1, bytes);

  EG_INVARIANT (memory != NULL);
  return memory;
}

void
eg_load_results_init (struct eg_load_results *self,
                      const struct eg_load_scenario *scenario)
{
  int64_t total_us = eg_load_scenario_end_us (scenario) + scenario->drain_us;

  *self = (struct eg_load_results){.scenario = scenario};
  self->n_buckets = (size_t) (total_us / EG_LOAD_BUCKET_US) + 1;
  self->buckets = alloc_zeroed (self->n_buckets, sizeof *self->buckets);
  self->first_token_us =
      alloc_zeroed (self->n_buckets, sizeof *self->first_token_us);
  self->groups = alloc_zeroed (scenario->n_streams, sizeof *self->groups);
  self->group_of_stream =
      alloc_zeroed (scenario->n_streams, sizeof *self->group_of_stream);
  self->faults = alloc_zeroed (scenario->n_faults, sizeof *self->faults);
  for (size_t i = 0; i < scenario->n_streams; i++)
    self->group_of_stream[i] = find_group (self, i);
}

void
eg_load_results_finish (struct eg_load_results *self)
{
  free (self->buckets);
  free (self->first_token_us);
  free (self->groups);
  free (self->group_of_stream);
  free (self->faults);
  free (self->samples);
  free (self->causes);
  *self = (struct eg_load_results){0};
}

static size_t
bucket_index (const struct eg_load_results *self, int64_t time_us)
{
  size_t index = time_us > 0 ? (size_t) (time_us / EG_LOAD_BUCKET_US) : 0;

  return index < self->n_buckets ? index : self->n_buckets - 1;
}

static bool
is_measured (const struct eg_load_results *self, int64_t time_us)
{
  return time_us >= self->scenario->warm_up_us
         && time_us < eg_load_scenario_end_us (self->scenario);
}

static struct eg_load_group *
group_of (struct eg_load_results *self, const struct eg_load_sample *sample)
{
  return &self->groups[self->group_of_stream[sample->stream]];
}

size_t
eg_load_results_record_arrival (struct eg_load_results *self,
                                size_t stream,
                                int64_t arrival_us,
                                int64_t sent_us)
{
  struct eg_load_sample *sample;

  if (self->n_samples == self->samples_capacity)
    {
      self->samples_capacity =
          self->samples_capacity ? 2 * self->samples_capacity : MIN_SAMPLES;
      self->samples = realloc (self->samples,
                               self->samples_capacity * sizeof *self->samples);
      EG_INVARIANT (self->samples != NULL);
    }
  sample = &self->samples[self->n_samples];
  *sample = (struct eg_load_sample){.arrival_us = arrival_us,
                                    .end_us = -1,
                                    .first_token_us = -1,
                                    .stream = (uint16_t) stream};
  self->buckets[bucket_index (self, arrival_us)].arrivals++;
  if (is_measured (self, arrival_us))
    {
      group_of (self, sample)->arrivals++;
      eg_histogram_add (&self->send_lag_us, sent_us - arrival_us);
    }
  return self->n_samples++;
}

void
eg_load_results_record_token (struct eg_load_results *self,
                              size_t sample_index,
                              int64_t previous_us,
                              int64_t now_us)
{
  struct eg_load_sample *sample = &self->samples[sample_index];
  struct eg_load_group *group = group_of (self, sample);
  bool measured = is_measured (self, sample->arrival_us);

  eg_load_results_record_tokens (self, sample_index, 1, now_us);
  if (previous_us < 0)
    sample->first_token_us = now_us - sample->arrival_us;
  if (previous_us < 0)
    eg_histogram_add (
        &self->first_token_us[bucket_index (self, sample->arrival_us)],
        now_us - sample->arrival_us);
  if (!measured)
    return;
  if (previous_us < 0)
    eg_histogram_add (&group->first_token_us, now_us - sample->arrival_us);
  else
    eg_histogram_add (&group->between_tokens_us, now_us - previous_us);
}

void
eg_load_results_record_tokens (struct eg_load_results *self,
                               size_t sample_index,
                               int64_t count,
                               int64_t now_us)
{
  struct eg_load_sample *sample = &self->samples[sample_index];

  sample->tokens += (uint32_t) count;
  self->buckets[bucket_index (self, now_us)].tokens += (uint32_t) count;
  if (is_measured (self, now_us))
    self->tokens_in_measured_time += (uint64_t) count;
  if (is_measured (self, sample->arrival_us))
    group_of (self, sample)->tokens += (uint64_t) count;
}

static void
count_cause (struct eg_load_results *self,
             const struct eg_load_verdict *verdict)
{
  for (size_t i = 0; i < self->n_causes; i++)
    {
      const struct eg_load_verdict *known = &self->causes[i].verdict;

      if (known->outcome == verdict->outcome
          && known->http_status == verdict->http_status
          && strcmp (known->cause, verdict->cause) == 0
          && strcmp (known->ran, verdict->ran) == 0)
        {
          self->causes[i].count++;
          return;
        }
    }
  self->causes =
      realloc (self->causes, (self->n_causes + 1) * sizeof *self->causes);
  EG_INVARIANT (self->causes != NULL);
  self->causes[self->n_causes++] =
      (struct eg_load_cause){.verdict = *verdict, .count = 1};
}

void
eg_load_results_record_end (struct eg_load_results *self,
                            size_t sample_index,
                            const struct eg_load_verdict *verdict,
                            int64_t now_us)
{
  struct eg_load_sample *sample = &self->samples[sample_index];
  struct eg_load_bucket *arrived =
      &self->buckets[bucket_index (self, sample->arrival_us)];
  struct eg_load_bucket *ended = &self->buckets[bucket_index (self, now_us)];
  bool complete = verdict->outcome == EG_LOAD_COMPLETE;

  sample->end_us = now_us;
  sample->outcome = (uint8_t) verdict->outcome;
  ended->ended++;
  ended->ended_complete += complete;
  arrived->arrived_complete += complete;
  self->wrong += verdict->outcome == EG_LOAD_WRONG;
  self->completed_in_measured_time += complete && is_measured (self, now_us);
  if (!complete)
    count_cause (self, verdict);
  if (!is_measured (self, sample->arrival_us))
    return;
  group_of (self, sample)->outcomes[verdict->outcome]++;
  if (complete)
    eg_histogram_add (&group_of (self, sample)->total_us,
                      now_us - sample->arrival_us);
}

static int
compare_times (const void *a, const void *b)
{
  int64_t left = *(const int64_t *) a;
  int64_t right = *(const int64_t *) b;

  return (left > right) - (left < right);
}

int64_t
eg_load_results_first_token_us (const struct eg_load_results *self,
                                double share)
{
  int64_t *times = alloc_zeroed (self->n_samples, sizeof *times);
  size_t count = 0;
  int64_t result = 0;

  for (size_t i = 0; i < self->n_samples; i++)
    if (self->samples[i].first_token_us >= 0
        && is_measured (self, self->samples[i].arrival_us))
      times[count++] = self->samples[i].first_token_us;
  if (count > 0)
    {
      qsort (times, count, sizeof *times, compare_times);
      result = times[(size_t) (share * (double) (count - 1))];
    }
  free (times);
  return result;
}

uint64_t
eg_load_results_peak_in_flight (const struct eg_load_results *self)
{
  uint64_t in_flight = 0;
  uint64_t peak = 0;

  for (size_t i = 0; i < self->n_buckets; i++)
    {
      in_flight += self->buckets[i].arrivals;
      in_flight -= self->buckets[i].ended;
      if (in_flight > peak)
        peak = in_flight;
    }
  return peak;
}

static void
count_in_flight (const struct eg_load_results *self,
                 struct eg_load_fault_result *fault)
{
  for (size_t i = 0; i < self->n_samples; i++)
    {
      const struct eg_load_sample *sample = &self->samples[i];

      if (sample->arrival_us > fault->done_us
          || sample->end_us <= fault->done_us)
        continue;
      fault->in_flight++;
      fault->in_flight_complete += sample->outcome == EG_LOAD_COMPLETE;
    }
}

/* Returns the end of the evaluation of a fault: the next measured fault, or the
   end of arrivals. */
static int64_t
next_measured_fault_us (const struct eg_load_scenario *scenario, size_t index)
{
  for (size_t i = index + 1; i < scenario->n_faults; i++)
    if (scenario->faults[i].measured
        && scenario->faults[i].at_us > scenario->faults[index].at_us)
      return scenario->faults[i].at_us;
  return eg_load_scenario_end_us (scenario);
}

void
eg_load_results_finalize (struct eg_load_results *self)
{
  const struct eg_load_scenario *scenario = self->scenario;
  struct eg_load_series series = {self->buckets, self->n_buckets};

  for (size_t i = 0; i < scenario->n_faults; i++)
    {
      struct eg_load_fault_result *fault = &self->faults[i];

      if (!fault->done || !scenario->faults[i].measured)
        continue;
      count_in_flight (self, fault);
      eg_load_recovery_compute (
          &series, &scenario->recovery, scenario->warm_up_us, fault->done_us,
          next_measured_fault_us (scenario, i), &fault->recovery);
    }
}

void
eg_load_results_total (const struct eg_load_results *self,
                       struct eg_load_group *total)
{
  *total = (struct eg_load_group){0};
  for (size_t i = 0; i < self->n_groups; i++)
    {
      const struct eg_load_group *group = &self->groups[i];

      total->arrivals += group->arrivals;
      total->tokens += group->tokens;
      for (int j = 0; j < EG_LOAD_OUTCOME_COUNT; j++)
        total->outcomes[j] += group->outcomes[j];
      eg_histogram_merge (&total->first_token_us, &group->first_token_us);
      eg_histogram_merge (&total->between_tokens_us, &group->between_tokens_us);
      eg_histogram_merge (&total->total_us, &group->total_us);
    }
}
