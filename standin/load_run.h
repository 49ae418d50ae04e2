/**
 * @file
 * Runs a scenario from its first arrival to its last response.
 */
#ifndef EG_STANDIN_LOAD_RUN_H
#define EG_STANDIN_LOAD_RUN_H

#include "base/decls.h"
#include "standin/load_results.h"

EG_BEGIN_DECLS

/** Progress callback, called about once per second; @p now_us counts from the
    start of the run. */
typedef void (*eg_load_progress) (void *context,
                                  const struct eg_load_results *results,
                                  int64_t now_us);

/**
 * Runs @p scenario, and initialises and finalises @p results.
 * The caller finishes @p results in any case.
 * @param progress may be NULL.
 * @return EG_SYSTEM if the HTTP client cannot be created, EG_INVALID if an
 *   execution record is malformed.
 */
enum eg_status eg_load_run (const struct eg_load_scenario *scenario,
                            uint64_t seed,
                            eg_load_progress progress,
                            void *context,
                            struct eg_load_results *results,
                            struct eg_error *error);

EG_END_DECLS

#endif
