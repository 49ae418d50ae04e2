#include "policy/lifecycle.h"

#include <stdlib.h>

#include "policy/lifecycle_state.h"

struct eg_lifecycle *
eg_lifecycle_new (const struct eg_lifecycle_config *config,
                  struct eg_servers *servers,
                  uint64_t seed)
{
  static const struct eg_limit_rule no_limit = {0};
  struct eg_lifecycle *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  self->config = *config;
  self->servers = servers;
  eg_list_init (&self->running);
  eg_random_init (&self->random, seed);
  self->limits = eg_limits_new (&config->default_limit);
  self->class_limits = eg_limits_new (&no_limit);
  self->quarantine = eg_quarantine_new (&config->quarantine);
  self->prefixes = eg_prefix_table_new (config->prefixes_max);
  self->config.placement.prefixes = self->prefixes;
  if (self->limits && self->class_limits && self->quarantine && self->prefixes)
    return self;
  eg_lifecycle_free (self);
  return NULL;
}

void
eg_lifecycle_free (struct eg_lifecycle *self)
{
  size_t cursor = 0;
  struct eg_request_state *request;

  if (!self)
    return;
  while ((request = eg_map_next (&self->requests, &cursor)))
    free (request);
  eg_map_finish (&self->requests);
  eg_target_table_finish (&self->targets);
  eg_limits_free (self->limits);
  eg_limits_free (self->class_limits);
  eg_quarantine_free (self->quarantine);
  eg_prefix_table_free (self->prefixes);
  eg_action_queue_finish (&self->actions);
  free (self);
}

void
eg_lifecycle_configure (struct eg_lifecycle *self,
                        const struct eg_lifecycle_config *config)
{
  size_t cursor = 0;
  struct eg_target *target;

  self->config = *config;
  self->config.placement.prefixes = self->prefixes;
  eg_limits_set_default (self->limits, &config->default_limit);
  while ((target = eg_target_table_next (&self->targets, &cursor)))
    eg_admission_configure (target->admission, &config->admission);
}

void
eg_lifecycle_set_preferred_domain (struct eg_lifecycle *self,
                                   struct eg_str service,
                                   struct eg_str failure_domain)
{
  struct eg_target *target =
      eg_target_table_add (&self->targets, true, service, &self->config);

  eg_str_copy (failure_domain, target->preferred_domain,
               sizeof target->preferred_domain);
}

void
eg_lifecycle_sweep (struct eg_lifecycle *self, int64_t now_us)
{
  eg_limits_sweep (self->limits, now_us);
  eg_limits_sweep (self->class_limits, now_us);
  eg_servers_sweep (self->servers, now_us);
}

void
eg_lifecycle_stop (struct eg_lifecycle *self)
{
  self->stopping = true;
}

bool
eg_lifecycle_next_action (struct eg_lifecycle *self, struct eg_action *action)
{
  return eg_action_queue_pop (&self->actions, action);
}

struct eg_lifecycle_counts
eg_lifecycle_counts (const struct eg_lifecycle *self)
{
  return self->counts;
}

struct eg_limits *
eg_lifecycle_limits (struct eg_lifecycle *self)
{
  return self->limits;
}

struct eg_limits *
eg_lifecycle_class_limits (struct eg_lifecycle *self)
{
  return self->class_limits;
}

struct eg_quarantine *
eg_lifecycle_quarantine (struct eg_lifecycle *self)
{
  return self->quarantine;
}
