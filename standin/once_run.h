/**
 * @file
 * Sends a scenario's requests while its faults happen.
 */
#ifndef EG_STANDIN_ONCE_RUN_H
#define EG_STANDIN_ONCE_RUN_H

#include "base/decls.h"
#include "standin/load_results.h"
#include "standin/once_book.h"
#include "standin/once_scenario.h"

EG_BEGIN_DECLS

/** What a run gave. */
struct eg_once_results
{
  const struct eg_once_scenario *scenario;
  struct eg_once_book book;
  struct eg_once_findings findings;
  struct eg_load_results load; /**< Its faults alone are filled. */
  int64_t *ticket_us;          /**< How long each ticket took to get. */
  size_t n_tickets;
  size_t ticketless; /**< Requests that never got their ticket. */
  int64_t longest_stall_us;
  bool records_are_whole;
};

/**
 * Runs the scenario; finish the results in either case.
 * @param name name of this run, unlike that of any run before it on the same
 *   deployment.
 * @return EG_SYSTEM if no HTTP client can be made.
 */
enum eg_status eg_once_run (const struct eg_once_scenario *scenario,
                            const char *name,
                            uint64_t seed,
                            struct eg_once_results *results,
                            struct eg_error *error);

/** Tells whether all faults came about and all records could be read. */
bool eg_once_results_went_as_planned (const struct eg_once_results *self);

/** Frees the memory. */
void eg_once_results_finish (struct eg_once_results *self);

EG_END_DECLS

#endif
