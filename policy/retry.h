/**
 * @file
 * Whether and when a failed attempt may be repeated: a budget for each
 * service, jittered back-off, and never past the deadline.
 */
#ifndef EG_POLICY_RETRY_H
#define EG_POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/random.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Settings of one service's retries. */
struct eg_retry_config
{
  double ratio;          /**< Retries earned by each first attempt. */
  double reserve;        /**< Most retries that can be saved up. */
  unsigned attempts_max; /**< Attempts of one request, the first included. */
  int64_t backoff_min_us;
  int64_t backoff_max_us;
};

/** The budget of one service; memory of the caller. */
struct eg_retry_budget
{
  struct eg_retry_config config;
  double balance;
};

/** What is known of a failed attempt. */
struct eg_retry_context
{
  enum eg_ran ran;   /**< What the failed attempt did. */
  bool idempotent;   /**< Whether running it again does no harm. */
  unsigned attempts; /**< Attempts made so far. */
  int64_t now_us;
  int64_t deadline_us;
};

/** Starts with a full reserve. */
void eg_retry_budget_init (struct eg_retry_budget *self,
                           const struct eg_retry_config *config);

/** Earns a share of a retry for a first attempt. */
void eg_retry_budget_earn (struct eg_retry_budget *self);

/**
 * Decides on a retry and, where it is allowed, pays for it.
 * Non-idempotent work is repeated only where @c ran is EG_RAN_NO.
 * @param[out] delay_us how long to wait before the next attempt.
 */
bool eg_retry_budget_spend (struct eg_retry_budget *self,
                            const struct eg_retry_context *question,
                            struct eg_random *random,
                            int64_t *delay_us);

EG_END_DECLS

#endif
