#include "policy/token_bucket.h"

#include <math.h>

#include "base/clock.h"

bool
eg_token_bucket_take (struct eg_token_bucket *self,
                      double tokens,
                      double rate_per_s,
                      double burst,
                      int64_t now_us)
{
  double elapsed_s = (double) (now_us - self->updated_us) / EG_US_PER_S;

  self->taken = fmax (0, self->taken - elapsed_s * rate_per_s);
  self->updated_us = now_us;
  if (self->taken + tokens > burst)
    return false;
  self->taken += tokens;
  return true;
}
