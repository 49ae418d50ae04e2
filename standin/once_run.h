/**
 * @file
 * Runs an at-most-once check: sends the requests while injecting faults.
 */
#ifndef EG_STANDIN_ONCE_RUN_H
#define EG_STANDIN_ONCE_RUN_H

#include "base/decls.h"
#include "standin/load_results.h"
#include "standin/once_history.h"
#include "standin/once_scenario.h"

EG_BEGIN_DECLS

/** Results of a run. */
struct eg_once_results
{
  const struct eg_once_scenario *scenario;
  struct eg_once_history history;
  struct eg_once_findings findings;
  struct eg_load_results load; /**< Only its faults are filled in. */
  int64_t *ticket_us;          /**< Time to obtain each ticket. */
  size_t n_tickets;
  size_t tickets_missing; /**< Requests that never obtained their ticket. */
  int64_t longest_stall_us;
  bool records_are_complete;
};

/**
 * Runs the scenario; the caller finishes the results in either case.
 * @param name name of this run; must be unique among the runs on a deployment.
 * @return EG_SYSTEM if the HTTP client cannot be created.
 */
enum eg_status eg_once_run (const struct eg_once_scenario *scenario,
                            const char *name,
                            uint64_t seed,
                            struct eg_once_results *results,
                            struct eg_error *error);

/**
 * Tells whether the run followed the scenario: all faults were injected, all
 * records were read and the tool never stalled for long.
 */
bool eg_once_results_run_is_valid (const struct eg_once_results *self);

/** Frees the memory. */
void eg_once_results_finish (struct eg_once_results *self);

EG_END_DECLS

#endif
