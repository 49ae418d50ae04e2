#include "standin/load_targets.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"

#define HEALTH_CHECK_TIMEOUT_US EG_US_PER_S
#define URL_BYTES 64

struct target
{
  char url[URL_BYTES];
  bool healthy;
  bool check_in_flight;
  uint64_t chosen;
};

struct eg_load_targets
{
  const struct eg_load_scenario *scenario;
  struct eg_load_client *client;
  struct eg_random random;
  struct target *targets;
  size_t next_turn;
  int64_t next_us;
};

struct eg_load_targets *
eg_load_targets_new (const struct eg_load_scenario *scenario,
                     struct eg_load_client *client,
                     uint64_t seed)
{
  struct eg_load_targets *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->scenario = scenario;
  self->client = client;
  eg_random_init (&self->random, seed);
  self->targets = calloc (scenario->n_targets + 1, sizeof *self->targets);
  EG_INVARIANT (self->targets != NULL);
  for (size_t i = 0; i < scenario->n_targets; i++)
    {
      self->targets[i].healthy = true;
      snprintf (self->targets[i].url, URL_BYTES, "http://%s/health",
                scenario->targets[i].address);
    }
  self->next_us = scenario->health_interval_us > 0 ? 0 : INT64_MAX;
  return self;
}

void
eg_load_targets_free (struct eg_load_targets *self)
{
  if (!self)
    return;
  free (self->targets);
  free (self);
}

static void
ignore_body (void *context, int http_status, struct eg_str bytes)
{
  (void) context;
  (void) http_status;
  (void) bytes;
}

static void
on_check_end (void *context, const struct eg_load_exchange_result *result)
{
  struct target *target = context;

  target->healthy = !result->transport_error && result->http_status == 200;
  target->check_in_flight = false;
}

void
eg_load_targets_check_health (struct eg_load_targets *self, int64_t now_us)
{
  if (now_us < self->next_us)
    return;
  self->next_us = now_us + self->scenario->health_interval_us;
  for (size_t i = 0; i < self->scenario->n_targets; i++)
    {
      struct target *target = &self->targets[i];
      struct eg_load_exchange exchange = {
          .method = "GET",
          .url = target->url,
          .timeout_us = HEALTH_CHECK_TIMEOUT_US,
          .on_body = ignore_body,
          .on_end = on_check_end,
          .context = target,
      };

      if (target->check_in_flight)
        continue;
      target->check_in_flight = true;
      eg_load_client_start (self->client, &exchange);
    }
}

int64_t
eg_load_targets_next_us (const struct eg_load_targets *self)
{
  return self->next_us;
}

static size_t
count_healthy (const struct eg_load_targets *self)
{
  size_t count = 0;

  for (size_t i = 0; i < self->scenario->n_targets; i++)
    count += self->targets[i].healthy;
  return count;
}

static size_t
nth_healthy (const struct eg_load_targets *self, size_t n)
{
  size_t index = 0;

  for (; index + 1 < self->scenario->n_targets; index++)
    if (self->targets[index].healthy && n-- == 0)
      break;
  return index;
}

size_t
eg_load_targets_choose (struct eg_load_targets *self)
{
  size_t healthy = count_healthy (self);
  size_t n_candidates = healthy > 0 ? healthy : self->scenario->n_targets;
  size_t choice = self->scenario->random_choice
                      ? eg_random_below (&self->random, n_candidates)
                      : self->next_turn++ % n_candidates;

  if (healthy > 0)
    choice = nth_healthy (self, choice);
  self->targets[choice].chosen++;
  return choice;
}

size_t
eg_load_targets_choose_other (struct eg_load_targets *self, size_t refused)
{
  size_t count = self->scenario->n_targets;
  size_t choice = (refused + 1) % count;

  for (size_t i = 1; i < count; i++)
    if (self->targets[(refused + i) % count].healthy)
      {
        choice = (refused + i) % count;
        break;
      }
  self->targets[choice].chosen++;
  return choice;
}

void
eg_load_targets_mark_refused (struct eg_load_targets *self, size_t index)
{
  if (self->scenario->health_interval_us > 0)
    self->targets[index].healthy = false;
}

bool
eg_load_targets_is_healthy (const struct eg_load_targets *self, size_t index)
{
  return self->targets[index].healthy;
}

uint64_t
eg_load_targets_chosen (const struct eg_load_targets *self, size_t index)
{
  return self->targets[index].chosen;
}
