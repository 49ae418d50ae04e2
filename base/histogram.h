/**
 * @file
 * Log-linear histograms with eight buckets per power of two.
 */
#ifndef EG_BASE_HISTOGRAM_H
#define EG_BASE_HISTOGRAM_H

#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Buckets per power of two; limits the relative error of a quantile to 1/8. */
#define EG_HISTOGRAM_SUB_BUCKETS 8
/**
 * Rows of buckets: one for the values 0 to 7, then one per power of two. Values
 * above 2^38 - 1, or 76 hours in microseconds, are counted in the last bucket.
 */
#define EG_HISTOGRAM_DOUBLINGS 36
#define EG_HISTOGRAM_BUCKETS (EG_HISTOGRAM_SUB_BUCKETS * EG_HISTOGRAM_DOUBLINGS)

/** Histogram of values, usually durations in microseconds. */
struct eg_histogram
{
  uint64_t count;
  uint64_t sum;
  uint64_t max;
  uint32_t buckets[EG_HISTOGRAM_BUCKETS];
};

/** Initialises an empty histogram. */
void eg_histogram_init (struct eg_histogram *self);

/** Records @p value; negative values are recorded as 0. */
void eg_histogram_add (struct eg_histogram *self, int64_t value);

/** Adds the counts of @p other to @p self. */
void eg_histogram_merge (struct eg_histogram *self,
                         const struct eg_histogram *other);

/**
 * Returns an upper bound of the given quantile; 0 for an empty histogram.
 * @param quantile from 0 to 1, such as 0.99.
 */
uint64_t eg_histogram_quantile (const struct eg_histogram *self,
                                double quantile);

/** Returns how many values are at most @p limit, to bucket precision. */
uint64_t eg_histogram_cumulative_count (const struct eg_histogram *self,
                                        uint64_t limit);

EG_END_DECLS

#endif
