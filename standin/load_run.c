#include "standin/load_run.h"

#include <stdlib.h>

#include "base/clock.h"
#include "standin/load_arrivals.h"
#include "standin/load_call.h"
#include "standin/load_client.h"
#include "standin/load_faults.h"
#include "standin/load_records.h"
#include "standin/load_targets.h"

#define MAX_WAIT_US (50 * EG_US_PER_MS)
#define PROGRESS_US EG_US_PER_S

struct run
{
  const struct eg_load_scenario *scenario;
  struct eg_load_calls calls;
  struct eg_load_arrivals *arrivals;
  struct eg_load_faults *faults;
  eg_load_progress progress;
  void *context;
  int64_t next_progress_us;
};

static int64_t
next_arrival_us (const struct run *run)
{
  int64_t next_us = EG_LOAD_NEVER;

  for (size_t i = 0; i < run->scenario->n_streams; i++)
    if (run->arrivals[i].next_us < next_us)
      next_us = run->arrivals[i].next_us;
  return next_us;
}

static void
start_arrivals (struct run *run, int64_t now_us)
{
  for (size_t i = 0; i < run->scenario->n_streams; i++)
    while (run->arrivals[i].next_us <= now_us)
      {
        eg_load_call_start (&run->calls, i, &run->arrivals[i]);
        eg_load_arrivals_advance (&run->arrivals[i]);
      }
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static bool
is_over (const struct run *run, int64_t now_us)
{
  int64_t end_us = eg_load_scenario_end_us (run->scenario);

  if (now_us < end_us || next_arrival_us (run) != EG_LOAD_NEVER)
    return false;
  return run->calls.in_flight == 0
         || now_us >= end_us + run->scenario->drain_us;
}

static void
step (struct run *run, int64_t now_us)
{
  int64_t next_us = now_us + MAX_WAIT_US;

  eg_load_faults_run (run->faults, now_us);
  eg_load_targets_check (run->calls.targets, now_us);
  start_arrivals (run, now_us);
  if (run->progress && now_us >= run->next_progress_us)
    {
      run->progress (run->context, run->calls.results, now_us);
      run->next_progress_us += PROGRESS_US;
    }
  next_us = earlier (next_us, next_arrival_us (run));
  next_us = earlier (next_us, eg_load_faults_next_us (run->faults));
  next_us = earlier (next_us, eg_load_targets_next_us (run->calls.targets));
  now_us = eg_clock_now_us () - run->calls.start_us;
  eg_load_client_run (run->calls.client, next_us - now_us);
}

static void
note_stall (struct eg_load_results *results, int64_t stall_us)
{
  if (stall_us > results->longest_stall_us)
    results->longest_stall_us = stall_us;
}

static void
loop (struct run *run)
{
  int64_t now_us = 0;
  int64_t before_us = 0;

  run->calls.start_us = eg_clock_now_us ();
  while (!is_over (run, now_us))
    {
      step (run, now_us);
      before_us = now_us;
      now_us = eg_clock_now_us () - run->calls.start_us;
      note_stall (run->calls.results, now_us - before_us - MAX_WAIT_US);
    }
  eg_load_client_abort (run->calls.client, "unfinished");
}

enum eg_status
eg_load_run (const struct eg_load_scenario *scenario,
             uint64_t seed,
             eg_load_progress progress,
             void *context,
             struct eg_load_results *results,
             struct eg_error *error)
{
  struct run run = {
      .scenario = scenario, .progress = progress, .context = context};
  enum eg_status status = EG_SYSTEM;

  eg_load_results_init (results, scenario);
  run.calls = (struct eg_load_calls){
      .scenario = scenario, .results = results, .seed = seed};
  run.arrivals = calloc (scenario->n_streams, sizeof *run.arrivals);
  EG_INVARIANT (run.arrivals != NULL);
  run.calls.client = eg_load_client_new (error);
  if (!run.calls.client)
    goto out;
  run.calls.targets = eg_load_targets_new (scenario, run.calls.client, seed);
  run.faults = eg_load_faults_new (scenario, run.calls.client, results);
  for (size_t i = 0; i < scenario->n_streams; i++)
    eg_load_arrivals_init (&run.arrivals[i], scenario, i, seed);
  loop (&run);
  eg_load_results_conclude (results);
  status = eg_load_records_check (run.calls.client, results, error);
out:
  eg_load_faults_free (run.faults);
  eg_load_targets_free (run.calls.targets);
  eg_load_client_free (run.calls.client);
  free (run.arrivals);
  return status;
}
