#include "policy/server_rate.h"

#include <math.h>

#include "base/clock.h"

/* A limit that is not named for this long may rise or end. */
#define HOLD_US (1 * EG_US_PER_S)
#define TRIAL_ANSWER_US (2 * EG_US_PER_S)

/* Requests that the VMs together may send at once. */
static double
total_burst (double limit_per_s)
{
  return EG_SERVER_RATE_BURST_S * limit_per_s + EG_SERVER_RATE_BURST_EXTRA;
}

/* Number of VMs that have a share: each of them may send at least one request
 * at once. */
static double
count_holders (double limit_per_s, const struct eg_rate_sharers *sharers)
{
  return fmin (sharers->vms, floor (total_burst (limit_per_s)));
}

double
eg_server_rate_burst (const struct eg_server_rate *self,
                      const struct eg_rate_sharers *sharers)
{
  return fmax (1, floor (total_burst (self->limit_per_s)
                         / count_holders (self->limit_per_s, sharers)));
}

double
eg_server_rate_share (const struct eg_server_rate *self,
                      const struct eg_rate_sharers *sharers)
{
  double holders = count_holders (self->limit_per_s, sharers);
  double share = self->limit_per_s / holders;

  if (sharers->is_new || sharers->rank >= holders)
    return 0;
  return sharers->outdated ? share / 2 : share;
}

/* VMs hear of a limit at the same moment, so they begin with different parts of
 * a request. One that has just started may have sent its part before. */
static double
first_tokens (const struct eg_server_rate *self,
              const struct eg_rate_sharers *sharers)
{
  double share = eg_server_rate_share (self, sharers);
  double part =
      (sharers->rank + 0.5) / count_holders (self->limit_per_s, sharers);

  if (share == 0)
    return 0;
  return fmin (part, (double) sharers->uptime_us / EG_US_PER_S * share);
}

static void
refill (struct eg_server_rate *self,
        const struct eg_rate_sharers *sharers,
        int64_t now_us)
{
  double elapsed_s = (double) (now_us - self->updated_us) / EG_US_PER_S;

  if (elapsed_s > 0)
    {
      self->tokens += elapsed_s * eg_server_rate_share (self, sharers);
      self->updated_us = now_us;
    }
  self->tokens = fmin (self->tokens, eg_server_rate_burst (self, sharers));
}

/* A limit that nobody was told again may have ended. The VMs try it one after
 * the other, at the limit's own pace. */
static void
check_expiry (struct eg_server_rate *self,
              const struct eg_rate_sharers *sharers,
              int64_t now_us)
{
  /* What was named right after a trial is the answer to it. */
  bool was_tried =
      self->trial_us > 0 && self->named_us - self->trial_us < TRIAL_ANSWER_US;
  int64_t since_us = was_tried ? self->trial_us : self->named_us;
  double turn = was_tried ? sharers->vms : sharers->rank;

  if ((double) (now_us - since_us)
      < (double) EG_SERVER_RATE_EXPIRY_US
            + turn / self->limit_per_s * EG_US_PER_S)
    return;
  self->trial_us = now_us;
  self->tokens = fmax (self->tokens, 1);
}

void
eg_server_rate_named (struct eg_server_rate *self,
                      double per_s,
                      const struct eg_rate_sharers *sharers,
                      int64_t named_us,
                      int64_t now_us)
{
  if (per_s > EG_SERVER_RATE_MAX)
    {
      eg_server_rate_not_named (self, named_us, now_us);
      return;
    }
  if (named_us <= self->ended_us)
    return;
  per_s = fmax (per_s, EG_SERVER_RATE_MIN);
  if (self->limit_per_s == 0)
    {
      self->limit_per_s = per_s;
      self->lowest_us = named_us;
      self->tokens = first_tokens (self, sharers);
      self->updated_us = now_us;
    }
  else if (per_s <= self->limit_per_s)
    {
      refill (self, sharers, now_us);
      self->limit_per_s = per_s;
      if (named_us > self->lowest_us)
        self->lowest_us = named_us;
    }
  else if (named_us - self->lowest_us >= HOLD_US)
    {
      refill (self, sharers, now_us);
      self->limit_per_s = per_s;
      self->lowest_us = named_us;
    }
  if (named_us > self->named_us)
    self->named_us = named_us;
}

void
eg_server_rate_not_named (struct eg_server_rate *self,
                          int64_t sent_us,
                          int64_t now_us)
{
  if (self->limit_per_s == 0 || sent_us <= self->named_us
      || now_us - self->lowest_us < HOLD_US)
    return;
  self->limit_per_s = 0;
  self->ended_us = sent_us;
}

bool
eg_server_rate_is_limited (const struct eg_server_rate *self)
{
  return self->limit_per_s > 0;
}

double
eg_server_rate_left (struct eg_server_rate *self,
                     const struct eg_rate_sharers *sharers,
                     int64_t now_us)
{
  if (self->limit_per_s == 0)
    return INFINITY;
  refill (self, sharers, now_us);
  check_expiry (self, sharers, now_us);
  return self->tokens;
}

int64_t
eg_server_rate_wait_us (struct eg_server_rate *self,
                        const struct eg_rate_sharers *sharers,
                        int64_t now_us)
{
  double missing = 1 - eg_server_rate_left (self, sharers, now_us);
  double share;

  if (missing <= 0)
    return 0;
  share = eg_server_rate_share (self, sharers);
  if (share == 0 || missing / share * EG_US_PER_S > EG_SERVER_RATE_EXPIRY_US)
    return EG_SERVER_RATE_EXPIRY_US;
  return (int64_t) ceil (missing / share * EG_US_PER_S);
}

void
eg_server_rate_spend (struct eg_server_rate *self)
{
  if (self->limit_per_s > 0)
    self->tokens -= 1;
}

void
eg_server_rate_refund (struct eg_server_rate *self)
{
  if (self->limit_per_s > 0)
    self->tokens += 1;
}
