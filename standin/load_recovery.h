/**
 * @file
 * The time to recover after a fault, from series of counts.
 *
 * A window is good when the share of its arrivals that got a whole answer and
 * the rate of tokens received in it both reach the rule's level times what
 * they were before the fault. The system has recovered at the start of the
 * first good window that is followed by good windows alone for a further
 * window's length.
 */
#ifndef EG_STANDIN_LOAD_RECOVERY_H
#define EG_STANDIN_LOAD_RECOVERY_H

#include <stdbool.h>
#include <stddef.h>

#include "base/decls.h"
#include "standin/load_scenario.h"

EG_BEGIN_DECLS

/** Length of a bucket of the series. */
#define EG_LOAD_BUCKET_US INT64_C (100000)

/** Counts of one bucket of time. */
struct eg_load_bucket
{
  uint32_t arrivals;      /**< Requests that arrived in it. */
  uint32_t arrived_whole; /**< Of these, how many got a whole answer. */
  uint32_t ended;         /**< Requests that ended in it. */
  uint32_t ended_whole;   /**< Of these, how many with a whole answer. */
  uint32_t tokens;        /**< Tokens received in it. */
};

/** A run of buckets. */
struct eg_load_series
{
  const struct eg_load_bucket *buckets;
  size_t count;
};

/** What a fault did. */
struct eg_load_recovery
{
  double success_before; /**< Whole answers over ends before the fault. */
  double tokens_per_s_before;
  double lowest_success; /**< Of the windows from the fault on. */
  double lowest_tokens_per_s;
  bool measured;  /**< Whether there was any window before and after. */
  bool recovered; /**< Whether it did before the series ended. */
  int64_t time_us;
};

/**
 * Computes the recovery from a fault.
 * @param earliest_us start of what may count as before the fault.
 * @param end_us end of what may count as after it.
 */
void eg_load_recovery_compute (const struct eg_load_series *series,
                               const struct eg_load_recovery_rule *rule,
                               int64_t earliest_us,
                               int64_t fault_us,
                               int64_t end_us,
                               struct eg_load_recovery *recovery);

EG_END_DECLS

#endif
