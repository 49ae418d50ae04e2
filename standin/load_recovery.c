#include "standin/load_recovery.h"

#include "base/clock.h"

static struct eg_load_bucket
sum (const struct eg_load_series *series, size_t from, size_t to)
{
  struct eg_load_bucket total = {0};

  for (size_t i = from; i < to && i < series->count; i++)
    {
      total.arrivals += series->buckets[i].arrivals;
      total.arrived_whole += series->buckets[i].arrived_whole;
      total.ended += series->buckets[i].ended;
      total.ended_whole += series->buckets[i].ended_whole;
      total.tokens += series->buckets[i].tokens;
    }
  return total;
}

static double
share (uint32_t part, uint32_t whole)
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
note_lowest (struct eg_load_recovery *recovery, double success, double tokens)
{
  if (success < recovery->lowest_success)
    recovery->lowest_success = success;
  if (tokens < recovery->lowest_tokens_per_s)
    recovery->lowest_tokens_per_s = tokens;
}

/* Finds the first healthy window after which all windows are healthy for
   another window length. */
static bool
find_good_run (const struct eg_load_series *series,
               const struct eg_load_recovery_rule *rule,
               size_t from,
               size_t to,
               struct eg_load_recovery *recovery,
               size_t *found)
{
  size_t window = bucket_at (rule->window_us);
  size_t good = 0;
  bool has_found = false;

  for (size_t start = from; start + window <= to; start++)
    {
      struct eg_load_bucket total = sum (series, start, start + window);
      double success = share (total.arrived_whole, total.arrivals);
      double tokens = per_second (total.tokens, window);

      note_lowest (recovery, success, tokens);
      if (success < rule->level * recovery->success_before
          || tokens < rule->level * recovery->tokens_per_s_before)
        good = 0;
      else
        good++;
      if (!has_found && good > window)
        {
          has_found = true;
          *found = start - window;
        }
    }
  return has_found;
}

void
eg_load_recovery_compute (const struct eg_load_series *series,
                          const struct eg_load_recovery_rule *rule,
                          int64_t earliest_us,
                          int64_t fault_us,
                          int64_t end_us,
                          struct eg_load_recovery *recovery)
{
  size_t fault = bucket_at (fault_us);
  size_t before = bucket_at (fault_us - rule->before_us);
  size_t earliest = bucket_at (earliest_us + EG_LOAD_BUCKET_US - 1);
  size_t found = 0;
  struct eg_load_bucket total;

  if (before < earliest)
    before = earliest;
  *recovery = (struct eg_load_recovery){0};
  if (before >= fault
      || fault + 2 * bucket_at (rule->window_us) > bucket_at (end_us))
    return;
  total = sum (series, before, fault);
  recovery->measured = true;
  recovery->success_before = share (total.ended_whole, total.ended);
  recovery->tokens_per_s_before = per_second (total.tokens, fault - before);
  recovery->lowest_success = 1;
  recovery->lowest_tokens_per_s = recovery->tokens_per_s_before;
  recovery->recovered =
      find_good_run (series, rule, fault, bucket_at (end_us), recovery, &found);
  if (!recovery->recovered)
    return;
  recovery->time_us = (int64_t) found * EG_LOAD_BUCKET_US - fault_us;
  if (recovery->time_us < 0)
    recovery->time_us = 0;
}
