/**
 * @file
 * Sends one request and checks its response.
 */
#ifndef EG_STANDIN_LOAD_REQUEST_H
#define EG_STANDIN_LOAD_REQUEST_H

#include "base/decls.h"
#include "standin/load_arrivals.h"
#include "standin/load_client.h"
#include "standin/load_results.h"
#include "standin/load_targets.h"

EG_BEGIN_DECLS

/** State shared by all requests of a run; owned by the caller. */
struct eg_load_session
{
  const struct eg_load_scenario *scenario;
  struct eg_load_results *results;
  struct eg_load_client *client;
  struct eg_load_targets *targets;
  uint64_t seed;
  int64_t start_us; /**< Clock time at the start of the run. */
  size_t in_flight;
};

/** Sends the next arrival of @p arrivals; the request frees itself. */
void eg_load_request_start (struct eg_load_session *session,
                            size_t stream,
                            const struct eg_load_arrivals *arrivals);

EG_END_DECLS

#endif
