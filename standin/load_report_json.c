#include "standin/load_report.h"

#include <sys/resource.h>

#include "base/clock.h"

#define MAX_STALL_US (500 * EG_US_PER_MS)

static double
measured_s (const struct eg_load_results *results)
{
  return (double) results->scenario->duration_us / (double) EG_US_PER_S;
}

double
eg_load_report_tokens_per_s (const struct eg_load_results *results)
{
  return (double) results->tokens_in_measured_time / measured_s (results);
}

bool
eg_load_report_run_is_valid (const struct eg_load_results *results)
{
  for (size_t i = 0; i < results->scenario->n_faults; i++)
    if (!results->faults[i].done)
      return false;
  return results->longest_stall_us <= MAX_STALL_US;
}

static json_t *
integer (uint64_t value)
{
  return json_integer ((json_int_t) value);
}

static json_t *
histogram_json (const struct eg_histogram *histogram)
{
  static const struct
  {
    const char *key;
    double share;
  } quantiles[] = {
      {"p50_us", 0.5}, {"p90_us", 0.9}, {"p95_us", 0.95}, {"p99_us", 0.99}};
  json_t *object = json_object ();
  double mean = histogram->count > 0
                    ? (double) histogram->sum / (double) histogram->count
                    : 0;

  json_object_set_new (object, "count", integer (histogram->count));
  json_object_set_new (object, "mean_us", json_real (mean));
  for (size_t i = 0; i < sizeof quantiles / sizeof *quantiles; i++)
    json_object_set_new (
        object, quantiles[i].key,
        integer (eg_histogram_quantile (histogram, quantiles[i].share)));
  json_object_set_new (object, "max_us", integer (histogram->max));
  return object;
}

static json_t *
group_json (const struct eg_load_group *group)
{
  json_t *object = json_object ();

  if (group->organisation)
    {
      json_object_set_new (object, "organisation",
                           json_string (group->organisation));
      json_object_set_new (object, "class", json_string (group->class_name));
    }
  json_object_set_new (object, "arrivals", integer (group->arrivals));
  for (int i = 0; i < EG_LOAD_OUTCOME_COUNT; i++)
    json_object_set_new (object,
                         eg_load_outcome_name ((enum eg_load_outcome) i),
                         integer (group->outcomes[i]));
  json_object_set_new (object, "tokens", integer (group->tokens));
  json_object_set_new (object, "first_token",
                       histogram_json (&group->first_token_us));
  json_object_set_new (object, "between_tokens",
                       histogram_json (&group->between_tokens_us));
  json_object_set_new (object, "total", histogram_json (&group->total_us));
  return object;
}

static json_t *
groups_json (const struct eg_load_results *results)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < results->n_groups; i++)
    json_array_append_new (array, group_json (&results->groups[i]));
  return array;
}

static json_t *
causes_json (const struct eg_load_results *results)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < results->n_causes; i++)
    {
      const struct eg_load_verdict *verdict = &results->causes[i].verdict;

      json_array_append_new (
          array, json_pack ("{s:s, s:s, s:i, s:s, s:I}", "outcome",
                            eg_load_outcome_name (verdict->outcome), "cause",
                            verdict->cause, "status", verdict->http_status,
                            "ran", verdict->ran, "count",
                            (json_int_t) results->causes[i].count));
    }
  return array;
}

static json_t *
recovery_json (const struct eg_load_recovery *recovery)
{
  json_t *object;

  if (!recovery->measured)
    return json_null ();
  object = json_pack (
      "{s:f, s:f, s:f, s:f, s:b}", "success_before", recovery->success_before,
      "tokens_per_s_before", recovery->tokens_per_s_before, "lowest_success",
      recovery->lowest_success, "lowest_tokens_per_s",
      recovery->lowest_tokens_per_s, "recovered", recovery->recovered);
  json_object_set_new (object, "time_ms",
                       recovery->recovered
                           ? json_integer (recovery->time_us / EG_US_PER_MS)
                           : json_null ());
  return object;
}

static json_t *
faults_json (const struct eg_load_results *results)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < results->scenario->n_faults; i++)
    {
      const struct eg_load_fault *fault = &results->scenario->faults[i];
      const struct eg_load_fault_result *result = &results->faults[i];

      json_array_append_new (
          array, json_pack ("{s:s, s:I, s:b, s:s, s:I, s:I, s:o}", "label",
                            fault->label, "at_ms",
                            (json_int_t) (fault->at_us / EG_US_PER_MS), "done",
                            result->done, "detail", result->detail, "in_flight",
                            (json_int_t) result->in_flight, "in_flight_whole",
                            (json_int_t) result->in_flight_complete, "recovery",
                            recovery_json (&result->recovery)));
    }
  return array;
}

static json_t *
throughput_json (const struct eg_load_results *results)
{
  double tokens = eg_load_report_tokens_per_s (results);
  double bound = results->scenario->bound_tokens_per_s;
  json_t *object = json_pack (
      "{s:f, s:f}", "tokens_per_s", tokens, "requests_per_s",
      (double) results->completed_in_measured_time / measured_s (results));

  if (bound > 0)
    {
      json_object_set_new (object, "bound_tokens_per_s", json_real (bound));
      json_object_set_new (object, "of_bound", json_real (tokens / bound));
    }
  return object;
}

static json_t *
series_json (const struct eg_load_results *results)
{
  static const char *const keys[] = {
      "arrivals",          "arrived_whole", "ended",
      "ended_whole",       "tokens",        "first_token_p50_us",
      "first_token_p99_us"};
  enum
  {
    KEYS = sizeof keys / sizeof *keys
  };
  json_t *object = json_object ();
  json_t *arrays[KEYS];

  json_object_set_new (object, "bucket_ms",
                       json_integer (EG_LOAD_BUCKET_US / EG_US_PER_MS));
  for (int i = 0; i < KEYS; i++)
    {
      arrays[i] = json_array ();
      json_object_set_new (object, keys[i], arrays[i]);
    }
  for (size_t i = 0; i < results->n_buckets; i++)
    {
      const struct eg_load_bucket *bucket = &results->buckets[i];
      const struct eg_histogram *first = &results->first_token_us[i];

      json_array_append_new (arrays[0], integer (bucket->arrivals));
      json_array_append_new (arrays[1], integer (bucket->arrived_complete));
      json_array_append_new (arrays[2], integer (bucket->ended));
      json_array_append_new (arrays[3], integer (bucket->ended_complete));
      json_array_append_new (arrays[4], integer (bucket->tokens));
      json_array_append_new (arrays[5],
                             integer (eg_histogram_quantile (first, 0.5)));
      json_array_append_new (arrays[6],
                             integer (eg_histogram_quantile (first, 0.99)));
    }
  return object;
}

static json_t *
tool_json (const struct eg_load_results *results)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return json_pack (
      "{s:o, s:I, s:f}", "send_lag", histogram_json (&results->send_lag_us),
      "longest_stall_us", (json_int_t) results->longest_stall_us, "cpu_s",
      (double) (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
          + (double) (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec)
                / (double) EG_US_PER_S);
}

static json_t *
first_token_json (const struct eg_load_results *results)
{
  return json_pack (
      "{s:I, s:I}", "p50_us",
      (json_int_t) eg_load_results_first_token_us (results, 0.5), "p99_us",
      (json_int_t) eg_load_results_first_token_us (results, 0.99));
}

static json_t *
audit_json (const struct eg_load_results *results)
{
  const struct eg_load_audit_result *audit = &results->audit;

  if (!results->audited)
    return json_null ();
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "requests",
      (json_int_t) audit->requests, "engines", (json_int_t) audit->engines,
      "unreadable_engines", (json_int_t) audit->unreadable_engines, "tokens",
      (json_int_t) audit->tokens, "missing", (json_int_t) audit->missing,
      "unverified", (json_int_t) audit->unverified, "repeated",
      (json_int_t) audit->repeated, "out_of_order",
      (json_int_t) audit->out_of_order, "other_attempts",
      (json_int_t) audit->other_attempts);
}

json_t *
eg_load_report_json (const struct eg_load_results *results, uint64_t seed)
{
  const struct eg_load_scenario *scenario = results->scenario;
  struct eg_load_group total;

  eg_load_results_total (results, &total);
  return json_pack (
      "{s:s, s:I, s:f, s:I, s:b, s:I, s:o, s:o, s:o, s:o, s:o, s:I, s:o, s:o, "
      "s:o, s:o}",
      "name", scenario->name, "seed", (json_int_t) seed, "measured_s",
      measured_s (results), "wrong", (json_int_t) results->wrong,
      "went_as_planned", eg_load_report_run_is_valid (results),
      "missing_request_id", (json_int_t) results->missing_request_id, "total",
      group_json (&total), "groups", groups_json (results), "causes",
      causes_json (results), "throughput", throughput_json (results), "faults",
      faults_json (results), "peak_in_flight",
      (json_int_t) eg_load_results_peak_in_flight (results),
      "exact_first_token", first_token_json (results), "audit",
      audit_json (results), "tool", tool_json (results), "series",
      series_json (results));
}
