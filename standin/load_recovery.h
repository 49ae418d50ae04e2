/**
 * @file
 * Recovery time after a fault, computed from time series.
 *
 * A window is healthy if both its success rate (share of arrivals with a
 * complete response) and its token rate reach @c level times their value before
 * the fault. The system has recovered at the start of the first healthy window
 * after which all windows are healthy for another window length.
 */
#ifndef EG_STANDIN_LOAD_RECOVERY_H
#define EG_STANDIN_LOAD_RECOVERY_H

#include <stdbool.h>
#include <stddef.h>

#include "base/decls.h"
#include "standin/load_scenario.h"

EG_BEGIN_DECLS

/** Length of a bucket of the time series. */
#define EG_LOAD_BUCKET_US INT64_C (100000)

/** Counts of one bucket. */
struct eg_load_bucket
{
  uint32_t arrivals;         /**< Requests that arrived. */
  uint32_t arrived_complete; /**< Arrivals that got a complete response. */
  uint32_t ended;            /**< Requests that ended. */
  uint32_t ended_complete;   /**< Ends with a complete response. */
  uint32_t tokens;           /**< Tokens received. */
};

/** A time series of buckets. */
struct eg_load_series
{
  const struct eg_load_bucket *buckets;
  size_t count;
};

/** Effect of a fault. */
struct eg_load_recovery
{
  double success_before; /**< Share of requests ending before the fault that
                            got a complete response. */
  double tokens_per_s_before;
  double lowest_success; /**< Minimum over the windows after the fault. */
  double lowest_tokens_per_s;
  bool measured;   /**< Whether there was enough time before and after
                        the fault. */
  bool recovered;  /**< Whether the system recovered before the end. */
  int64_t time_us; /**< Recovery time, if recovered. */
};

/**
 * Computes the recovery from a fault.
 * @param earliest_us earliest time of the baseline before the fault.
 * @param end_us latest time that counts as after the fault.
 */
void eg_load_recovery_compute (const struct eg_load_series *series,
                               const struct eg_load_recovery_criteria *criteria,
                               int64_t earliest_us,
                               int64_t fault_us,
                               int64_t end_us,
                               struct eg_load_recovery *recovery);

EG_END_DECLS

#endif
