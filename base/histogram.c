#include "base/histogram.h"

#include <string.h>

/* Values below EG_HISTOGRAM_SUB_BUCKETS have a bucket each; from there on the
   three bits that follow the highest one choose the bucket within a doubling.
 */
static unsigned
bucket_of (uint64_t value)
{
  unsigned high;
  unsigned index;

  if (value < EG_HISTOGRAM_SUB_BUCKETS)
    return (unsigned) value;
  high = 63 - (unsigned) __builtin_clzll (value);
  index = (high - 2) * EG_HISTOGRAM_SUB_BUCKETS
          + (unsigned) ((value >> (high - 3)) & (EG_HISTOGRAM_SUB_BUCKETS - 1));
  return index < EG_HISTOGRAM_BUCKETS ? index : EG_HISTOGRAM_BUCKETS - 1;
}

static uint64_t
bucket_upper (unsigned index)
{
  unsigned high;

  if (index < EG_HISTOGRAM_SUB_BUCKETS)
    return index;
  high = index / EG_HISTOGRAM_SUB_BUCKETS + 2;
  return ((UINT64_C (8) + index % EG_HISTOGRAM_SUB_BUCKETS + 1) << (high - 3))
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
  uint64_t counted = value > 0 ? (uint64_t) value : 0;

  self->count++;
  self->sum += counted;
  if (counted > self->max)
    self->max = counted;
  self->buckets[bucket_of (counted)]++;
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
eg_histogram_quantile (const struct eg_histogram *self, double share)
{
  uint64_t rank = (uint64_t) (share * (double) self->count);
  uint64_t seen = 0;

  if (self->count == 0)
    return 0;
  if (rank >= self->count)
    rank = self->count - 1;
  for (unsigned i = 0; i < EG_HISTOGRAM_BUCKETS; i++)
    {
      seen += self->buckets[i];
      if (seen > rank)
        return bucket_upper (i) < self->max ? bucket_upper (i) : self->max;
    }
  return self->max;
}

uint64_t
eg_histogram_cumulative_count (const struct eg_histogram *self, uint64_t limit)
{
  uint64_t seen = 0;

  for (unsigned i = 0; i < EG_HISTOGRAM_BUCKETS && bucket_upper (i) <= limit;
       i++)
    seen += self->buckets[i];
  return seen;
}
