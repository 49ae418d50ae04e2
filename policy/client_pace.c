#include "policy/client_pace.h"

#include "base/clock.h"

void
eg_client_pace_start (struct eg_client_pace *self, int64_t now_us)
{
  self->paid_us = now_us;
}

void
eg_client_pace_moved (struct eg_client_pace *self,
                      size_t bytes,
                      int64_t rate,
                      int64_t now_us)
{
  int64_t lag_us = eg_client_pace_lag_us (self, now_us);

  if (bytes == 0)
    return;
  if (rate <= 0
      || (double) bytes * EG_US_PER_S / (double) rate >= (double) lag_us)
    self->paid_us = now_us;
  else
    self->paid_us += (int64_t) bytes * EG_US_PER_S / rate;
}

int64_t
eg_client_pace_lag_us (const struct eg_client_pace *self, int64_t now_us)
{
  return now_us > self->paid_us ? now_us - self->paid_us : 0;
}
