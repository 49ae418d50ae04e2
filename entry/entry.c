#include "entry/entry.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "platform/configuration.h"

/* Margin subtracted from the maximum age of keys, for the time between the
 * check and the start of execution on the server. */
#define KEY_MARGIN_US (120 * EG_US_PER_MS)

struct eg_service_state *
eg_entry_service (struct eg_entry *self, const char *service)
{
  struct eg_service_state *state;

  for (size_t i = 0; i < self->service_count; i++)
    if (strcmp (self->services[i].service, service) == 0)
      return &self->services[i];
  /* Services beyond the maximum share the last state. */
  if (self->service_count == EG_SERVICES_MAX)
    return &self->services[EG_SERVICES_MAX - 1];
  state = &self->services[self->service_count++];
  eg_str_copy (eg_str_from (service), state->service, sizeof state->service);
  eg_retry_window_init (&state->retries,
                        self->settings->retry_window_ms * EG_US_PER_MS);
  return state;
}

bool
eg_entry_keys_are_fresh (const struct eg_entry *self, int64_t now_us)
{
  int64_t age_us = now_us - self->configuration.as_of_us;

  return !self->settings->revocation_bounded
         || age_us
                < self->settings->revocation_ms * EG_US_PER_MS - KEY_MARGIN_US;
}

bool
eg_entry_has_configuration (const struct eg_entry *self)
{
  return self->configuration.current
         && eg_version_spread_is_confirmed (
             &self->configuration_spread.versions);
}

bool
eg_entry_is_ready (const struct eg_entry *self, int64_t now_us)
{
  (void) now_us;
  return self->stop_us == 0 && eg_entry_has_configuration (self)
         && self->fleet.list_complete;
}

void
eg_entry_accept_configuration (struct eg_entry *self, json_t *object)
{
  struct eg_configuration *decoded;
  struct eg_error error;

  decoded = eg_configuration_decode (eg_store_object_spec (object), &error);
  if (!decoded)
    {
      eg_log (EG_LOG_ERROR, "configuration",
              "event=configuration-invalid cause=\"%s\"", error.message);
      return;
    }
  if (self->configuration.current
      && decoded->version <= self->configuration.current->version)
    {
      eg_configuration_free_decoded (decoded);
      return;
    }
  eg_log (EG_LOG_NOTICE, "configuration",
          "event=configuration-in-force version=%" PRId64
          " routes=%zu services=%zu organisations=%zu",
          decoded->version, decoded->route_count, decoded->service_count,
          decoded->organisation_count);
  eg_configuration_free_decoded (self->configuration.current);
  self->configuration.current = decoded;
  json_decref (self->configuration.object);
  self->configuration.object = json_incref (object);
  eg_configuration_spread_set_version (&self->configuration_spread,
                                       decoded->version);
}
