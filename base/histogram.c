#include "base/histogram.h"

#include <string.h>

/* Values below EG_HISTOGRAM_SUB_BUCKETS have a bucket each. For larger values
   the most significant bit selects the power of two, and the next three bits
   the bucket within it. */
static unsigned
bucket_index (uint64_t value)
{
  unsigned msb;
  unsigned index;

  if (value < EG_HISTOGRAM_SUB_BUCKETS)
    return (unsigned) value;
  msb = 63 - (unsigned) __builtin_clzll (value);
  index = (msb - 2) * EG_HISTOGRAM_SUB_BUCKETS
          + (unsigned) ((value >> (msb - 3)) & (EG_HISTOGRAM_SUB_BUCKETS - 1));
  return index < EG_HISTOGRAM_BUCKETS ? index : EG_HISTOGRAM_BUCKETS - 1;
}

static uint64_t
bucket_max (unsigned index)
{
  unsigned msb;

  if (index < EG_HISTOGRAM_SUB_BUCKETS)
    return index;
  msb = index / EG_HISTOGRAM_SUB_BUCKETS + 2;
  return ((UINT64_C (8) + index % EG_HISTOGRAM_SUB_BUCKETS + 1) << (msb - 3))
         - 1;
}

void
eg_histogram_init (struct eg_histogram *self)
{
  memset (self, 0, sizeof *self);
}

void
eg_histogram_add (struct eg_histogram *self, int64_t value)
{
  uint64_t recorded = value > 0 ? (uint64_t) value : 0;

  self->count++;
  self->sum += recorded;
  if (recorded > self->max)
    self->max = recorded;
  self->buckets[bucket_index (recorded)]++;
}

void
eg_histogram_merge (struct eg_histogram *self, const struct eg_histogram *other)
{
  self->count += other->count;
  self->sum += other->sum;
  if (other->max > self->max)
    self->max = other->max;
  for (unsigned i = 0; i < EG_HISTOGRAM_BUCKETS; i++)
    self->buckets[i] += other->buckets[i];
}

uint64_t
eg_histogram_quantile (const struct eg_histogram *self, double quantile)
{
  uint64_t rank = (uint64_t) (quantile * (double) self->count);
  uint64_t cumulative = 0;

  if (self->count == 0)
    return 0;
  if (rank >= self->count)
    rank = self->count - 1;
  for (unsigned i = 0; i < EG_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += self->buckets[i];
      if (cumulative > rank)
        return bucket_max (i) < self->max ? bucket_max (i) : self->max;
    }
  return self->max;
}

uint64_t
eg_histogram_cumulative_count (const struct eg_histogram *self, uint64_t limit)
{
  uint64_t cumulative = 0;

  for (unsigned i = 0; i < EG_HISTOGRAM_BUCKETS && bucket_max (i) <= limit; i++)
    cumulative += self->buckets[i];
  return cumulative;
}
