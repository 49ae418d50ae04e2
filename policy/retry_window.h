/**
 * @file
 * Retry budget over a sliding window. Each entry VM enforces its share of the
 * fleet's budget locally, without a message per request.
 */
#ifndef EG_POLICY_RETRY_WINDOW_H
#define EG_POLICY_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Steps that the window is divided into. */
#define EG_RETRY_WINDOW_STEPS 20

/** The budget of one service on one entry VM; allocated by the caller. */
struct eg_retry_window
{
  int64_t step_us;
  int64_t step; /**< Number of the current step. */
  uint32_t requests[EG_RETRY_WINDOW_STEPS];
  uint32_t retries[EG_RETRY_WINDOW_STEPS];
};

/** Initialises an empty window. */
void eg_retry_window_init (struct eg_retry_window *self, int64_t window_us);

/** Counts a request, for which retries are credited. */
void eg_retry_window_request (struct eg_retry_window *self, int64_t now_us);

/**
 * Decides whether a request may be retried and, if so, counts the retry.
 * @param ratio retries allowed per request in the window.
 * @param extra retries allowed on top, for this entry VM.
 * @return false if the budget is used up.
 */
bool eg_retry_window_spend (struct eg_retry_window *self,
                            double ratio,
                            double extra,
                            int64_t now_us);

/** Takes back a request that was counted at @p counted_us. */
void eg_retry_window_forget (struct eg_retry_window *self, int64_t counted_us);

/** Takes back a retry that was counted at @p spent_us but not sent. */
void eg_retry_window_refund (struct eg_retry_window *self, int64_t spent_us);

EG_END_DECLS

#endif
