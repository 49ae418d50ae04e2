#include "policy/target.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/status.h"

/* Weights of a new observation in the moving averages. */
#define TOKEN_INTERVAL_WEIGHT 0.01
#define OUTPUT_RATIO_WEIGHT 0.05
/* Older observations are not used for estimates. */
#define OBSERVATION_AGE_MAX_US (2 * EG_US_PER_S)

static uint64_t
target_key (bool plain, struct eg_str name)
{
  return eg_hash_str (name) ^ (plain ? 1 : 0);
}

void
eg_target_table_finish (struct eg_target_table *self)
{
  size_t cursor = 0;
  struct eg_target *target;

  while ((target = eg_target_table_next (self, &cursor)))
    {
      eg_admission_free (target->admission);
      free (target);
    }
  eg_map_finish (&self->by_name);
}

struct eg_target *
eg_target_table_find (const struct eg_target_table *self,
                      bool plain,
                      struct eg_str name)
{
  return eg_map_get (&self->by_name, target_key (plain, name));
}

struct eg_target *
eg_target_table_add (struct eg_target_table *self,
                     bool plain,
                     struct eg_str name,
                     const struct eg_lifecycle_config *config)
{
  struct eg_target *target = eg_target_table_find (self, plain, name);

  if (target)
    return target;
  target = calloc (1, sizeof *target);
  EG_INVARIANT (target != NULL);
  eg_str_copy (name, target->name, sizeof target->name);
  target->plain = plain;
  eg_list_init (&target->retry_queue);
  target->admission = eg_admission_new (&config->admission);
  EG_INVARIANT (target->admission != NULL);
  eg_retry_budget_init (&target->retries, &config->retry);
  eg_map_put (&self->by_name, target_key (plain, name), target);
  return target;
}

struct eg_target *
eg_target_table_next (const struct eg_target_table *self, size_t *cursor)
{
  return eg_map_next (&self->by_name, cursor);
}

void
eg_target_observe_token_interval (struct eg_target *self,
                                  int64_t interval_us,
                                  int64_t now_us)
{
  self->observed_us = now_us;
  if (self->token_interval_us == 0)
    self->token_interval_us = (double) interval_us;
  self->token_interval_us +=
      TOKEN_INTERVAL_WEIGHT * ((double) interval_us - self->token_interval_us);
}

void
eg_target_observe_output_length (struct eg_target *self,
                                 int64_t tokens,
                                 int64_t tokens_max)
{
  double ratio = (double) tokens / (double) tokens_max;

  if (self->output_ratio == 0)
    self->output_ratio = ratio;
  self->output_ratio += OUTPUT_RATIO_WEIGHT * (ratio - self->output_ratio);
}

int64_t
eg_target_expected_us (const struct eg_target *self,
                       int64_t tokens_max,
                       int64_t now_us)
{
  if (now_us - self->observed_us > OBSERVATION_AGE_MAX_US)
    return 0;
  return (int64_t) (self->token_interval_us * self->output_ratio
                    * (double) tokens_max);
}
