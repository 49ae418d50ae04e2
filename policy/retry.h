/**
 * @file
 * Retry policy for failed attempts: a retry budget per service, exponential
 * back-off with jitter, and no retry past the deadline.
 */
#ifndef EG_POLICY_RETRY_H
#define EG_POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/random.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Retry settings of one service. */
struct eg_retry_config
{
  double ratio;          /**< Retries credited per first attempt. */
  double reserve;        /**< Most retries that can accumulate. */
  unsigned attempts_max; /**< Attempts per request, including the first. */
  int64_t backoff_min_us;
  int64_t backoff_max_us;
};

/** The retry budget of one service; allocated by the caller. */
struct eg_retry_budget
{
  struct eg_retry_config config;
  double balance; /**< Retries available. */
};

/** A failed attempt, as input to the decision. */
struct eg_retry_context
{
  enum eg_ran ran;   /**< Whether the request may have run. */
  bool idempotent;   /**< Whether it is safe to run it again. */
  unsigned attempts; /**< Attempts made so far. */
  int64_t now_us;
  int64_t deadline_us;
};

/** Initialises a budget with a full reserve. */
void eg_retry_budget_init (struct eg_retry_budget *self,
                           const struct eg_retry_config *config);

/** Credits the budget for a first attempt. */
void eg_retry_budget_earn (struct eg_retry_budget *self);

/**
 * Decides on a retry and, if it is allowed, charges it to the budget.
 * A non-idempotent request is retried only if @c ran is EG_RAN_NO.
 * @param[out] delay_us back-off before the next attempt, in microseconds.
 * @return false if the request must not be retried.
 */
bool eg_retry_budget_spend (struct eg_retry_budget *self,
                            const struct eg_retry_context *context,
                            struct eg_random *random,
                            int64_t *delay_us);

EG_END_DECLS

#endif
