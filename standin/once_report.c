#include "standin/once_report.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/clock.h"

#define HTTP_OK 200
#define HTTP_UNPROCESSABLE 422

/* Aggregated results of the requests of one kind. */
struct group
{
  uint64_t requests;
  uint64_t attempts;
  uint64_t executions;
  uint64_t answered;                   /* Requests with a 200 to any attempt. */
  uint64_t executed_unanswered;        /* Requests executed without a 200. */
  uint64_t responses;                  /* Attempts with a 200. */
  uint64_t reused;                     /* Attempts with a 422. */
  uint64_t refused[EG_ONCE_RAN_COUNT]; /* Other error responses, by `ran`. */
  uint64_t unanswered;                 /* Attempts without a response. */
  int64_t *response_us; /* Latency of each 200, in ascending order. */
};

static int
compare_times (const void *a, const void *b)
{
  int64_t first = *(const int64_t *) a;
  int64_t second = *(const int64_t *) b;

  return (first > second) - (first < second);
}

static void
sort_times (int64_t *times, size_t count)
{
  qsort (times, count, sizeof *times, compare_times);
}

static double
quantile_ms (const int64_t *sorted, size_t count, double share)
{
  size_t index = (size_t) (share * (double) count);

  if (count == 0)
    return 0;
  return (double) sorted[index < count ? index : count - 1]
         / (double) EG_US_PER_MS;
}

static void
add_attempt (struct group *group, const struct eg_once_attempt *attempt)
{
  const struct eg_once_outcome *outcome = &attempt->outcome;

  group->attempts++;
  if (outcome->status == HTTP_OK)
    group->response_us[group->responses++] =
        attempt->ended_us - attempt->started_us;
  else if (outcome->status == HTTP_UNPROCESSABLE)
    group->reused++;
  else if (outcome->status == 0)
    group->unanswered++;
  else
    group->refused[outcome->ran]++;
}

static void
add_request (struct group *group,
             const struct eg_once_request *request,
             bool answered)
{
  group->requests++;
  group->executions += request->executions;
  if (answered)
    group->answered++;
  else if (request->executions > 0)
    group->executed_unanswered++;
}

static void
collect_group (const struct eg_once_results *results,
               enum eg_once_kind kind,
               struct group *group)
{
  const struct eg_once_history *history = &results->history;
  bool *answered = calloc (history->n_requests + 1, sizeof *answered);

  *group = (struct group){0};
  group->response_us =
      calloc (history->n_attempts + 1, sizeof *group->response_us);
  EG_INVARIANT (answered && group->response_us);
  for (size_t i = 0; i < history->n_attempts; i++)
    {
      const struct eg_once_attempt *attempt = &history->attempts[i];

      if (history->requests[attempt->request].kind != kind)
        continue;
      add_attempt (group, attempt);
      if (attempt->outcome.status == HTTP_OK)
        answered[attempt->request] = true;
    }
  for (size_t i = 0; i < history->n_requests; i++)
    if (history->requests[i].kind == kind)
      add_request (group, &history->requests[i], answered[i]);
  sort_times (group->response_us, group->responses);
  free (answered);
}

static void
set_count (json_t *object, const char *key, uint64_t count)
{
  json_object_set_new (object, key, json_integer ((json_int_t) count));
}

static json_t *
times_json (const int64_t *sorted, size_t count)
{
  return json_pack ("{s:f, s:f, s:f}", "p50_ms",
                    quantile_ms (sorted, count, 0.5), "p99_ms",
                    quantile_ms (sorted, count, 0.99), "max_ms",
                    quantile_ms (sorted, count, 1));
}

static json_t *
group_json (const struct group *group)
{
  json_t *object = json_object ();
  json_t *refused = json_object ();

  set_count (object, "requests", group->requests);
  set_count (object, "sendings", group->attempts);
  set_count (object, "runs", group->executions);
  set_count (object, "answered", group->answered);
  set_count (object, "ran_unanswered", group->executed_unanswered);
  set_count (object, "answers", group->responses);
  set_count (object, "reused", group->reused);
  set_count (object, "lost", group->unanswered);
  for (int i = 0; i < EG_ONCE_RAN_COUNT; i++)
    set_count (refused, eg_once_ran_name ((enum eg_once_ran) i),
               group->refused[i]);
  json_object_set_new (object, "refused", refused);
  json_object_set_new (object, "answer",
                       times_json (group->response_us, group->responses));
  return object;
}

static json_t *
tickets_json (const struct eg_once_results *results)
{
  json_t *object;

  sort_times (results->ticket_us, results->n_tickets);
  object = times_json (results->ticket_us, results->n_tickets);
  set_count (object, "given", results->n_tickets);
  set_count (object, "never_given", results->tickets_missing);
  return object;
}

static json_t *
faults_json (const struct eg_once_results *results)
{
  const struct eg_load_scenario *base = &results->scenario->base;
  json_t *array = json_array ();

  for (size_t i = 0; i < base->n_faults; i++)
    json_array_append_new (
        array,
        json_pack ("{s:s, s:b, s:I, s:s}", "label", base->faults[i].label,
                   "done", results->load.faults[i].done, "done_us",
                   (json_int_t) results->load.faults[i].done_us, "detail",
                   results->load.faults[i].detail));
  return array;
}

static json_t *
violations_json (const struct eg_once_findings *findings)
{
  json_t *object = json_object ();

  for (int i = 0; i < EG_ONCE_VIOLATION_COUNT; i++)
    set_count (object, eg_once_violation_name ((enum eg_once_violation) i),
               findings->violations[i]);
  set_count (object, "total", findings->total);
  return object;
}

json_t *
eg_once_report_json (const struct eg_once_results *results, uint64_t seed)
{
  json_t *report =
      json_pack ("{s:s, s:I}", "name", results->scenario->base.name, "seed",
                 (json_int_t) seed);
  struct group group;

  for (int i = 0; i < EG_ONCE_KIND_COUNT; i++)
    {
      collect_group (results, (enum eg_once_kind) i, &group);
      json_object_set_new (report, eg_once_kind_name ((enum eg_once_kind) i),
                           group_json (&group));
      free (group.response_us);
    }
  json_object_set_new (report, "tickets", tickets_json (results));
  json_object_set_new (report, "faults", faults_json (results));
  json_object_set_new (report, "violations",
                       violations_json (&results->findings));
  json_object_set_new (report, "records_whole",
                       json_boolean (results->records_are_complete));
  set_count (report, "longest_stall_us", (uint64_t) results->longest_stall_us);
  return report;
}

static void
print_group (const char *name, const struct group *group, FILE *stream)
{
  fprintf (stream,
           "%-7s %8" PRIu64 " %8" PRIu64 " %6" PRIu64 " %8" PRIu64 " %8" PRIu64
           " %7" PRIu64 " %6" PRIu64 " %6" PRIu64 " %7" PRIu64 " %5" PRIu64
           " %6" PRIu64 " %8.2f %8.2f\n",
           name, group->requests, group->attempts, group->executions,
           group->answered, group->executed_unanswered, group->responses,
           group->reused, group->refused[EG_ONCE_RAN_NO],
           group->refused[EG_ONCE_RAN_UNKNOWN], group->refused[EG_ONCE_RAN_YES],
           group->unanswered + group->refused[EG_ONCE_RAN_UNSTATED],
           quantile_ms (group->response_us, group->responses, 0.5),
           quantile_ms (group->response_us, group->responses, 0.99));
}

static void
print_violations (const struct eg_once_findings *findings, FILE *stream)
{
  for (int i = 0; i < EG_ONCE_VIOLATION_COUNT; i++)
    if (findings->violations[i] > 0)
      fprintf (stream, "VIOLATION %s: %" PRIu64 ", first in request %zd\n",
               eg_once_violation_name ((enum eg_once_violation) i),
               findings->violations[i], (ssize_t) findings->first_request[i]);
  fprintf (stream, "violations: %" PRIu64 "\n", findings->total);
}

static void
print_faults (const struct eg_once_results *results, FILE *stream)
{
  const struct eg_load_scenario *base = &results->scenario->base;

  for (size_t i = 0; i < base->n_faults; i++)
    if (!results->load.faults[i].done)
      fprintf (stream, "fault not injected: %s: %s\n", base->faults[i].label,
               results->load.faults[i].detail);
}

void
eg_once_report_table (const struct eg_once_results *results, FILE *stream)
{
  struct group group;

  fprintf (stream,
           "%s\n%-7s %8s %8s %6s %8s %8s %7s %6s %6s %7s %5s %6s %8s"
           " %8s\n",
           results->scenario->base.name, "kind", "requests", "sendings", "runs",
           "answered", "ran,none", "200", "422", "no", "unknown", "yes", "lost",
           "p50 ms", "p99 ms");
  for (int i = 0; i < EG_ONCE_KIND_COUNT; i++)
    {
      collect_group (results, (enum eg_once_kind) i, &group);
      print_group (eg_once_kind_name ((enum eg_once_kind) i), &group, stream);
      free (group.response_us);
    }
  print_faults (results, stream);
  if (!results->records_are_complete)
    fputs ("an execution record could not be read completely\n", stream);
  fprintf (stream, "longest stall of the tool: %.2f ms\n",
           (double) results->longest_stall_us / (double) EG_US_PER_MS);
  print_violations (&results->findings, stream);
}

void
eg_once_report_attempts (const struct eg_once_results *results, FILE *stream)
{
  const struct eg_once_history *history = &results->history;

  fputs ("request kind runs target body from_ms to_ms status ran type\n",
         stream);
  for (size_t i = 0; i < history->n_attempts; i++)
    {
      const struct eg_once_attempt *attempt = &history->attempts[i];
      const struct eg_once_request *request =
          &history->requests[attempt->request];

      fprintf (stream, "%zu %s %u %zu %s %.2f %.2f %d %s %s\n",
               attempt->request, eg_once_kind_name (request->kind),
               request->executions, attempt->target,
               attempt->other_body ? "other" : "own",
               (double) attempt->started_us / (double) EG_US_PER_MS,
               (double) attempt->ended_us / (double) EG_US_PER_MS,
               attempt->outcome.status, eg_once_ran_name (attempt->outcome.ran),
               attempt->outcome.type);
    }
}
