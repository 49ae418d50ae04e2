#include "standin/load_report.h"

#include <inttypes.h>

#include "base/clock.h"

static double
ms (uint64_t value_us)
{
  return (double) value_us / (double) EG_US_PER_MS;
}

static void
print_group (const struct eg_load_group *group, FILE *stream)
{
  const struct eg_histogram *first = &group->first_token_us;
  const struct eg_histogram *between = &group->between_tokens_us;

  fprintf (stream, "%-14s %-9s %8" PRIu64, group->organisation ?: "all",
           group->class_name && *group->class_name ? group->class_name : "-",
           group->arrivals);
  for (int i = 0; i < EG_LOAD_OUTCOME_COUNT; i++)
    fprintf (stream, " %9" PRIu64, group->outcomes[i]);
  fprintf (stream, " %9.2f %9.2f %9.2f %9.2f %9.2f\n",
           ms (eg_histogram_quantile (first, 0.5)),
           ms (eg_histogram_quantile (first, 0.99)),
           ms (eg_histogram_quantile (between, 0.5)),
           ms (eg_histogram_quantile (between, 0.99)),
           ms (eg_histogram_quantile (&group->total_us, 0.5)));
}

static void
print_groups (const struct eg_load_results *results, FILE *stream)
{
  struct eg_load_group total;

  fprintf (stream, "%-14s %-9s %8s", "organisation", "class", "arrivals");
  for (int i = 0; i < EG_LOAD_OUTCOME_COUNT; i++)
    fprintf (stream, " %9s", eg_load_outcome_name ((enum eg_load_outcome) i));
  fprintf (stream, " %9s %9s %9s %9s %9s\n", "first p50", "first p99",
           "gap p50", "gap p99", "total p50");
  for (size_t i = 0; i < results->n_groups; i++)
    print_group (&results->groups[i], stream);
  eg_load_results_total (results, &total);
  if (results->n_groups > 1)
    print_group (&total, stream);
  fputs ("times in milliseconds; first: from arrival to the first token, gap: "
         "between consecutive tokens\n",
         stream);
}

static void
print_causes (const struct eg_load_results *results, FILE *stream)
{
  if (results->n_causes == 0)
    return;
  fprintf (stream, "\n%-10s %-28s %6s %-8s %9s\n", "outcome", "cause", "status",
           "ran", "requests");
  for (size_t i = 0; i < results->n_causes; i++)
    {
      const struct eg_load_verdict *verdict = &results->causes[i].verdict;

      fprintf (stream, "%-10s %-28s %6d %-8s %9" PRIu64 "\n",
               eg_load_outcome_name (verdict->outcome), verdict->cause,
               verdict->http_status, *verdict->ran ? verdict->ran : "-",
               results->causes[i].count);
    }
}

static void
print_fault (const struct eg_load_fault *fault,
             const struct eg_load_fault_result *result,
             FILE *stream)
{
  const struct eg_load_recovery *recovery = &result->recovery;

  fprintf (stream, "%-28s %8.1f %9" PRIu64 " %9" PRIu64, fault->label,
           (double) fault->at_us / (double) EG_US_PER_S, result->in_flight,
           result->in_flight_complete);
  if (!result->done)
    fprintf (stream, "  failed: %s\n", result->detail);
  else if (!recovery->measured)
    fputs ("  not measured\n", stream);
  else
    {
      fprintf (stream, " %8.1f%% %10.0f ", 100 * recovery->lowest_success,
               recovery->lowest_tokens_per_s);
      if (recovery->recovered)
        fprintf (stream, "%8" PRId64 " ms\n", recovery->time_us / EG_US_PER_MS);
      else
        fputs ("    never\n", stream);
    }
}

static void
print_faults (const struct eg_load_results *results, FILE *stream)
{
  if (results->scenario->n_faults == 0)
    return;
  fprintf (stream, "\n%-28s %8s %9s %9s %9s %10s %11s\n", "fault", "at s",
           "in flight", "of these", "lowest", "lowest", "recovered");
  fprintf (stream, "%-28s %8s %9s %9s %9s %10s %11s\n", "", "", "", "whole",
           "success", "tokens/s", "after");
  for (size_t i = 0; i < results->scenario->n_faults; i++)
    print_fault (&results->scenario->faults[i], &results->faults[i], stream);
}

static void
print_audit (const struct eg_load_results *results, FILE *stream)
{
  const struct eg_load_audit_result *audit = &results->audit;

  if (!results->audited)
    return;
  fprintf (stream,
           "\nrecords of %" PRIu64 " engines (%" PRIu64 " unreadable): %" PRIu64
           " requests, %" PRIu64 " tokens computed by every layer, %" PRIu64
           " not, %" PRIu64 " computed twice, %" PRIu64
           " out of order; %" PRIu64 " unverified, %" PRIu64
           " computed by more than one attempt\n",
           audit->engines, audit->unreadable_engines, audit->requests,
           audit->tokens, audit->missing, audit->repeated, audit->out_of_order,
           audit->unverified, audit->other_attempts);
}

void
eg_load_report_table (const struct eg_load_results *results, FILE *stream)
{
  const struct eg_load_scenario *scenario = results->scenario;
  double tokens = eg_load_report_tokens_per_s (results);
  double seconds = (double) scenario->duration_us / (double) EG_US_PER_S;

  fprintf (stream, "%s: %.0f tokens/s, %.1f whole answers/s over %.1f s",
           scenario->name, tokens,
           (double) results->completed_in_measured_time / seconds, seconds);
  if (scenario->bound_tokens_per_s > 0)
    fprintf (stream, "; %.1f%% of the bound of %.0f tokens/s",
             100 * tokens / scenario->bound_tokens_per_s,
             scenario->bound_tokens_per_s);
  fputs ("\n\n", stream);
  print_groups (results, stream);
  print_causes (results, stream);
  print_faults (results, stream);
  print_audit (results, stream);
  fprintf (stream,
           "\nsend lag of the tool: %.2f ms (p99), longest stall: %.2f ms; "
           "wrong responses: %" PRIu64 "\n",
           ms (eg_histogram_quantile (&results->send_lag_us, 0.99)),
           ms ((uint64_t) results->longest_stall_us), results->wrong);
}
