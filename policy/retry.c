#include "policy/retry.h"

void
eg_retry_budget_init (struct eg_retry_budget *self,
                      const struct eg_retry_config *config)
{
  self->config = *config;
  self->balance = config->reserve;
}

void
eg_retry_budget_earn (struct eg_retry_budget *self)
{
  self->balance += self->config.ratio;
  if (self->balance > self->config.reserve)
    self->balance = self->config.reserve;
}

static bool
is_safe_to_retry (const struct eg_retry_context *context)
{
  return context->idempotent || context->ran == EG_RAN_NO;
}

/* Returns the longest back-off after @p attempts attempts, in microseconds. */
static int64_t
backoff_ceiling (const struct eg_retry_config *config, unsigned attempts)
{
  int64_t ceiling = config->backoff_min_us;

  for (unsigned i = 1; i < attempts && ceiling < config->backoff_max_us; i++)
    ceiling *= 2;
  return ceiling < config->backoff_max_us ? ceiling : config->backoff_max_us;
}

/* Full jitter: requests that failed together are retried at different times. */
static int64_t
random_delay (const struct eg_retry_config *config,
              unsigned attempts,
              struct eg_random *random)
{
  int64_t ceiling = backoff_ceiling (config, attempts);

  if (ceiling <= 0)
    return 0;
  return (int64_t) eg_random_below (random, (uint64_t) ceiling + 1);
}

bool
eg_retry_budget_spend (struct eg_retry_budget *self,
                       const struct eg_retry_context *context,
                       struct eg_random *random,
                       int64_t *delay_us)
{
  int64_t delay;

  *delay_us = 0;
  if (!is_safe_to_retry (context)
      || context->attempts >= self->config.attempts_max
      || context->now_us >= context->deadline_us || self->balance < 1)
    return false;
  delay = random_delay (&self->config, context->attempts, random);
  if (delay >= context->deadline_us - context->now_us)
    return false;
  self->balance -= 1;
  *delay_us = delay;
  return true;
}
