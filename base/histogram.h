/**
 * @file
 * Histograms with logarithmic buckets, eight to each doubling.
 */
#ifndef EG_BASE_HISTOGRAM_H
#define EG_BASE_HISTOGRAM_H

#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Buckets for each doubling; bounds the error of a quantile to 1/8. */
#define EG_HISTOGRAM_SUB_BUCKETS 8
/** Doublings covered: values up to 2^36, 19 hours in microseconds. */
#define EG_HISTOGRAM_DOUBLINGS 36
#define EG_HISTOGRAM_BUCKETS (EG_HISTOGRAM_SUB_BUCKETS * EG_HISTOGRAM_DOUBLINGS)

/** Counts of values, usually durations in microseconds. */
struct eg_histogram
{
  uint64_t count;
  uint64_t sum;
  uint64_t max;
  uint32_t buckets[EG_HISTOGRAM_BUCKETS];
};

/** Empties the histogram. */
void eg_histogram_init (struct eg_histogram *self);

/** Counts @p value once; a negative value counts as 0. */
void eg_histogram_add (struct eg_histogram *self, int64_t value);

/** Adds the counts of @p other. */
void eg_histogram_merge (struct eg_histogram *self,
                         const struct eg_histogram *other);

/**
 * Returns the value below which the @p share of all values lies.
 * @param share from 0 to 1.
 */
uint64_t eg_histogram_quantile (const struct eg_histogram *self, double share);

/** Returns how many values are @p limit or less, to the bucket's precision. */
uint64_t eg_histogram_cumulative_count (const struct eg_histogram *self,
                                        uint64_t limit);

EG_END_DECLS

#endif
