/**
 * @file
 * Runs a scenario from its first arrival to the last answer.
 */
#ifndef EG_STANDIN_LOAD_RUN_H
#define EG_STANDIN_LOAD_RUN_H

#include "base/decls.h"
#include "standin/load_results.h"

EG_BEGIN_DECLS

/** Called about once a second with the time in the run; may be NULL. */
typedef void (*eg_load_progress) (void *context,
                                  const struct eg_load_results *results,
                                  int64_t now_us);

/**
 * Runs @p scenario, and concludes @p results, which it initialises.
 * @return EG_SYSTEM if the client can't start; finish @p results in any case.
 */
enum eg_status eg_load_run (const struct eg_load_scenario *scenario,
                            uint64_t seed,
                            eg_load_progress progress,
                            void *context,
                            struct eg_load_results *results,
                            struct eg_error *error);

EG_END_DECLS

#endif
