#include "router/defaults.h"

#include <string.h>

#include "base/clock.h"

#define QUANTUM_TOKENS 256
#define RETRY_RATIO 0.2
#define RETRY_RESERVE 400.0
#define RETRY_ATTEMPTS_MAX 6
#define RETRY_BACKOFF_MIN_US (2 * EG_US_PER_MS)
#define RETRY_BACKOFF_MAX_US (500 * EG_US_PER_MS)
#define QUARANTINE_CRASHES_MIN 2
#define QUARANTINE_WINDOW_US (600 * EG_US_PER_S)
#define QUARANTINE_DURATION_US (600 * EG_US_PER_S)
#define QUARANTINE_ENTRIES_MAX 4096
#define UNKNOWN_LINK_LATENCY_US (2 * EG_US_PER_MS)
#define AFFINITY_LOAD_MAX 0.8
#define HEADROOM 0.5
#define PREFIXES_MAX 8192
#define NO_CAPACITY_TIMEOUT_US (3 * EG_US_PER_S)

static const struct
{
  const char *name;
  int priority;
  double floor;
} classes[] = {
    {"counter", 0, 0.0},
    {"standard", 1, 0.0},
    {"bulk", 2, 0.1},
};

static void
fill_classes (const struct eg_router_settings *settings,
              struct eg_admission_config *admission)
{
  admission->class_count = sizeof classes / sizeof classes[0];
  for (size_t i = 0; i < admission->class_count; i++)
    {
      struct eg_admission_class *target = &admission->classes[i];

      eg_str_copy (eg_str_from (classes[i].name), target->name, EG_NAME_BYTES);
      target->priority = classes[i].priority;
      target->floor = classes[i].floor;
      target->queue_max = (size_t) settings->queue_max;
    }
  admission->organisation_queue_max = (size_t) settings->organisation_queue_max;
  admission->quantum = QUANTUM_TOKENS;
}

void
eg_defaults_lifecycle (const struct eg_router_settings *settings,
                       struct eg_lifecycle_config *config)
{
  memset (config, 0, sizeof *config);
  fill_classes (settings, &config->admission);
  config->default_limit.rate_per_s = (double) settings->organisation_rate;
  config->default_limit.burst = (double) settings->organisation_rate;
  config->default_limit.in_flight_max =
      (uint32_t) settings->organisation_in_flight;
  config->retry.ratio = RETRY_RATIO;
  config->retry.reserve = RETRY_RESERVE;
  config->retry.attempts_max = RETRY_ATTEMPTS_MAX;
  config->retry.backoff_min_us = RETRY_BACKOFF_MIN_US;
  config->retry.backoff_max_us = RETRY_BACKOFF_MAX_US;
  config->quarantine.crashes_min = QUARANTINE_CRASHES_MIN;
  config->quarantine.window_us = QUARANTINE_WINDOW_US;
  config->quarantine.duration_us = QUARANTINE_DURATION_US;
  config->quarantine.entries_max = QUARANTINE_ENTRIES_MAX;
  memcpy (config->placement.failure_domain, settings->failure_domain,
          EG_NAME_BYTES);
  config->placement.unknown_link_us = UNKNOWN_LINK_LATENCY_US;
  config->placement.default_slots = (uint32_t) settings->default_slots;
  config->placement.affinity_load_max = AFFINITY_LOAD_MAX;
  config->requests_max = (size_t) settings->requests_max;
  config->first_token_timeout_us =
      settings->first_token_silence_ms * EG_US_PER_MS;
  config->inter_token_timeout_us = settings->token_silence_ms * EG_US_PER_MS;
  config->headroom = HEADROOM;
  config->prefixes_max = PREFIXES_MAX;
  config->no_capacity_timeout_us = NO_CAPACITY_TIMEOUT_US;
}
