#include "policy/server_room.h"

#define US_PER_MS INT64_C (1000)

/* A full server receives no requests for this long: several forward passes,
 * during which other requests end. */
#define CLOSED_US (250 * US_PER_MS)
/* Engines refuse at once; a request that was not refused after this time has
 * room. */
#define TRIAL_US (20 * US_PER_MS)

void
eg_server_room_refused (struct eg_server_room *self, int64_t now_us)
{
  self->closed_until_us = now_us + CLOSED_US;
  self->trial_due = true;
}

void
eg_server_room_pause (struct eg_server_room *self,
                      int64_t pause_us,
                      int64_t now_us)
{
  if (pause_us > EG_SERVER_PAUSE_MAX_US)
    pause_us = EG_SERVER_PAUSE_MAX_US;
  if (now_us + pause_us > self->paused_until_us)
    self->paused_until_us = now_us + pause_us;
  self->trial_due = true;
}

void
eg_server_room_sent (struct eg_server_room *self, int64_t now_us)
{
  if (!self->trial_due)
    return;
  self->trial_due = false;
  self->closed_until_us = now_us + TRIAL_US;
}

bool
eg_server_room_is_paused (const struct eg_server_room *self, int64_t now_us)
{
  return now_us < self->paused_until_us;
}

bool
eg_server_room_is_open (const struct eg_server_room *self, int64_t now_us)
{
  return now_us >= self->closed_until_us;
}
