#include "standin/load_run.h"

#include <stdlib.h>

#include "base/clock.h"
#include "standin/load_arrivals.h"
#include "standin/load_client.h"
#include "standin/load_faults.h"
#include "standin/load_records.h"
#include "standin/load_request.h"
#include "standin/load_targets.h"

#define MAX_POLL_WAIT_US (50 * EG_US_PER_MS)
#define PROGRESS_INTERVAL_US EG_US_PER_S

struct run
{
  const struct eg_load_scenario *scenario;
  struct eg_load_session session;
  struct eg_load_arrivals *arrivals;
  struct eg_load_fault_injector *injector;
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
        eg_load_request_start (&run->session, i, &run->arrivals[i]);
        eg_load_arrivals_advance (&run->arrivals[i]);
      }
}

static int64_t
earlier_us (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static bool
is_finished (const struct run *run, int64_t now_us)
{
  int64_t end_us = eg_load_scenario_end_us (run->scenario);

  if (now_us < end_us || next_arrival_us (run) != EG_LOAD_NEVER)
    return false;
  return run->session.in_flight == 0
         || now_us >= end_us + run->scenario->drain_us;
}

static void
run_iteration (struct run *run, int64_t now_us)
{
  int64_t next_us = now_us + MAX_POLL_WAIT_US;

  eg_load_fault_injector_run (run->injector, now_us);
  eg_load_targets_check_health (run->session.targets, now_us);
  start_arrivals (run, now_us);
  if (run->progress && now_us >= run->next_progress_us)
    {
      run->progress (run->context, run->session.results, now_us);
      run->next_progress_us += PROGRESS_INTERVAL_US;
    }
  next_us = earlier_us (next_us, next_arrival_us (run));
  next_us =
      earlier_us (next_us, eg_load_fault_injector_next_us (run->injector));
  next_us =
      earlier_us (next_us, eg_load_targets_next_us (run->session.targets));
  now_us = eg_clock_now_us () - run->session.start_us;
  eg_load_client_run (run->session.client, next_us - now_us);
}

static void
update_longest_stall (struct eg_load_results *results, int64_t stall_us)
{
  if (stall_us > results->longest_stall_us)
    results->longest_stall_us = stall_us;
}

static void
run_event_loop (struct run *run)
{
  int64_t now_us = 0;
  int64_t before_us = 0;

  run->session.start_us = eg_clock_now_us ();
  while (!is_finished (run, now_us))
    {
      run_iteration (run, now_us);
      before_us = now_us;
      now_us = eg_clock_now_us () - run->session.start_us;
      update_longest_stall (run->session.results,
                            now_us - before_us - MAX_POLL_WAIT_US);
    }
  eg_load_client_abort (run->session.client, "unfinished");
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
  run.session = (struct eg_load_session){
      .scenario = scenario, .results = results, .seed = seed};
  run.arrivals = calloc (scenario->n_streams, sizeof *run.arrivals);
  EG_INVARIANT (run.arrivals != NULL);
  run.session.client = eg_load_client_new (error);
  if (!run.session.client)
    goto out;
  run.session.targets =
      eg_load_targets_new (scenario, run.session.client, seed);
  run.injector =
      eg_load_fault_injector_new (scenario, run.session.client, results);
  for (size_t i = 0; i < scenario->n_streams; i++)
    eg_load_arrivals_init (&run.arrivals[i], scenario, i, seed);
  run_event_loop (&run);
  eg_load_results_finalize (results);
  status = eg_load_records_check (run.session.client, results, error);
out:
  eg_load_fault_injector_free (run.injector);
  eg_load_targets_free (run.session.targets);
  eg_load_client_free (run.session.client);
  free (run.arrivals);
  return status;
}
