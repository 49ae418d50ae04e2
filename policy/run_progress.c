#include "policy/run_progress.h"

#define US_PER_MS INT64_C (1000)

/* Weight of the latest interval in the moving average is 1/AVERAGE_WEIGHT. */
#define AVERAGE_WEIGHT 8
/* Bytes of one event, or of several events of one forward pass, may arrive in
 * pieces this far apart. */
#define SAME_EVENT_MAX_US (5 * US_PER_MS)

/* Silence after which an event is overdue: a multiple of the average interval,
 * but not less than a minimum. */
static const struct
{
  double intervals;
  int64_t min_us;
} overdue[EG_RUN_DOUBTS] = {
    [EG_DOUBT_SERVER_SUSPECT] = {3.0, 100 * US_PER_MS},
    [EG_DOUBT_SERVER_ENDED] = {1.5, 50 * US_PER_MS},
};

void
eg_run_progress_init (struct eg_run_progress *self)
{
  *self = (struct eg_run_progress){0};
}

void
eg_run_progress_received (struct eg_run_progress *self, int64_t now_us)
{
  int64_t interval_us = now_us - self->last_us;

  if (self->begun && interval_us <= SAME_EVENT_MAX_US)
    return;
  if (self->begun && self->interval_us == 0)
    self->interval_us = interval_us;
  else if (self->begun)
    self->interval_us += (interval_us - self->interval_us) / AVERAGE_WEIGHT;
  self->begun = true;
  self->last_us = now_us;
}

void
eg_run_progress_resumed (struct eg_run_progress *self, int64_t now_us)
{
  self->last_us = now_us;
}

bool
eg_run_progress_is_live (const struct eg_run_progress *self,
                         enum eg_run_doubt doubt,
                         int64_t now_us)
{
  int64_t limit_us =
      (int64_t) ((double) self->interval_us * overdue[doubt].intervals);

  if (limit_us < overdue[doubt].min_us)
    limit_us = overdue[doubt].min_us;
  return self->begun && now_us - self->last_us < limit_us;
}
