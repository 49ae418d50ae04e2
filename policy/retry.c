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
is_repeatable (const struct eg_retry_context *question)
{
  return question->idempotent || question->ran == EG_RAN_NO;
}

/* Returns the longest delay after @p attempts attempts. */
static int64_t
backoff_ceiling (const struct eg_retry_config *config, unsigned attempts)
{
  int64_t ceiling = config->backoff_min_us;

  for (unsigned i = 1; i < attempts && ceiling < config->backoff_max_us; i++)
    ceiling *= 2;
  return ceiling < config->backoff_max_us ? ceiling : config->backoff_max_us;
}

/* Full jitter: callers that failed together come back spread out. */
static int64_t
draw_delay (const struct eg_retry_config *config,
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
                       const struct eg_retry_context *question,
                       struct eg_random *random,
                       int64_t *delay_us)
{
  int64_t delay;

  *delay_us = 0;
  if (!is_repeatable (question)
      || question->attempts >= self->config.attempts_max
      || question->now_us >= question->deadline_us || self->balance < 1)
    return false;
  delay = draw_delay (&self->config, question->attempts, random);
  if (delay >= question->deadline_us - question->now_us)
    return false;
  self->balance -= 1;
  *delay_us = delay;
  return true;
}
