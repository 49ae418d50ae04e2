#include "standin/load_recovery.h"

#include "base/clock.h"

static struct eg_load_bucket
sum_buckets (const struct eg_load_series *series, size_t from, size_t to)
{
  struct eg_load_bucket total = {0};

  for (size_t i = from; i < to && i < series->count; i++)
    {
      total.arrivals += series->buckets[i].arrivals;
      total.arrived_complete += series->buckets[i].arrived_complete;
      total.ended += series->buckets[i].ended;
      total.ended_complete += series->buckets[i].ended_complete;
      total.tokens += series->buckets[i].tokens;
    }
  return total;
}

static double
ratio (uint32_t part, uint32_t whole)
{
  return whole > 0 ? (double) part / whole : 1;
}

static double
per_second (uint32_t count, size_t buckets)
{
  return (double) count * (double) EG_US_PER_S
         / ((double) buckets * (double) EG_LOAD_BUCKET_US);
}

static size_t
bucket_at (int64_t time_us)
{
  return time_us > 0 ? (size_t) (time_us / EG_LOAD_BUCKET_US) : 0;
}

static void
update_lowest (struct eg_load_recovery *recovery, double success, double tokens)
{
  if (success < recovery->lowest_success)
    recovery->lowest_success = success;
  if (tokens < recovery->lowest_tokens_per_s)
    recovery->lowest_tokens_per_s = tokens;
}

/* Finds the first healthy window after which all windows are healthy for
   another window length. */
static bool
find_recovery (const struct eg_load_series *series,
               const struct eg_load_recovery_criteria *criteria,
               size_t from,
               size_t to,
               struct eg_load_recovery *recovery,
               size_t *found)
{
  size_t window = bucket_at (criteria->window_us);
  size_t n_healthy = 0;
  bool is_found = false;

  for (size_t start = from; start + window <= to; start++)
    {
      struct eg_load_bucket total = sum_buckets (series, start, start + window);
      double success = ratio (total.arrived_complete, total.arrivals);
      double tokens = per_second (total.tokens, window);

      update_lowest (recovery, success, tokens);
      if (success < criteria->level * recovery->success_before
          || tokens < criteria->level * recovery->tokens_per_s_before)
        n_healthy = 0;
      else
        n_healthy++;
      if (!is_found && n_healthy > window)
        {
          is_found = true;
          *found = start - window;
        }
    }
  return is_found;
}

void
eg_load_recovery_compute (const struct eg_load_series *series,
                          const struct eg_load_recovery_criteria *criteria,
                          int64_t earliest_us,
                          int64_t fault_us,
                          int64_t end_us,
                          struct eg_load_recovery *recovery)
{
  size_t fault = bucket_at (fault_us);
  size_t baseline_start = bucket_at (fault_us - criteria->before_us);
  size_t earliest = bucket_at (earliest_us + EG_LOAD_BUCKET_US - 1);
  size_t found = 0;
  struct eg_load_bucket total;

  if (baseline_start < earliest)
    baseline_start = earliest;
  *recovery = (struct eg_load_recovery){0};
  if (baseline_start >= fault
      || fault + 2 * bucket_at (criteria->window_us) > bucket_at (end_us))
    return;
  total = sum_buckets (series, baseline_start, fault);
  recovery->measured = true;
  recovery->success_before = ratio (total.ended_complete, total.ended);
  recovery->tokens_per_s_before =
      per_second (total.tokens, fault - baseline_start);
  recovery->lowest_success = 1;
  recovery->lowest_tokens_per_s = recovery->tokens_per_s_before;
  recovery->recovered = find_recovery (series, criteria, fault,
                                       bucket_at (end_us), recovery, &found);
  if (!recovery->recovered)
    return;
  recovery->time_us = (int64_t) found * EG_LOAD_BUCKET_US - fault_us;
  if (recovery->time_us < 0)
    recovery->time_us = 0;
}
