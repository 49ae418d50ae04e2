/**
 * @file
 * How often requests may be sent once more: a share of the fleet's budget over
 * a sliding window, without a message for each request.
 */
#ifndef EG_POLICY_RETRY_WINDOW_H
#define EG_POLICY_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Steps in which the window slides. */
#define EG_RETRY_WINDOW_STEPS 20

/** The budget of one service on one entry VM; memory of the caller. */
struct eg_retry_window
{
  int64_t step_us;
  int64_t step; /**< Number of the present step. */
  uint32_t requests[EG_RETRY_WINDOW_STEPS];
  uint32_t retries[EG_RETRY_WINDOW_STEPS];
};

/** Starts with a window in which nothing happened. */
void eg_retry_window_init (struct eg_retry_window *self, int64_t window_us);

/** Counts a request of a caller. */
void eg_retry_window_request (struct eg_retry_window *self, int64_t now_us);

/**
 * Asks to send one request once more and, where that is allowed, counts it.
 * @param ratio retries for each request.
 * @param extra retries beyond, of this entry VM's share.
 */
bool eg_retry_window_spend (struct eg_retry_window *self,
                            double ratio,
                            double extra,
                            int64_t now_us);

EG_END_DECLS

#endif
