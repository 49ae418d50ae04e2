#include "entry/entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "platform/configuration.h"

/* Margin subtracted from the maximum age of keys, for the time between the
 * check and the start of execution on the server. */
#define KEY_MARGIN_US (120 * EG_US_PER_MS)

void
eg_entry_init_configuration (struct eg_entry *self)
{
  self->configuration = (struct eg_accepted_configuration){0};
  EG_INVARIANT (eg_hash_table_init (&self->services));
}

/* Frees the state of a service that the configuration in force lacks. */
static bool
drop_service (struct eg_hash_node *node, void *context)
{
  const struct eg_configuration *current = context;
  struct eg_service_state *state =
      EG_CONTAINER_OF (node, struct eg_service_state, by_name);

  if (eg_configuration_find_service (current, state->name) != SIZE_MAX
      || !eg_service_wait_drop (state->wait))
    return false;
  free (state);
  return true;
}

struct eg_service_state *
eg_entry_service (struct eg_entry *self, struct eg_str service)
{
  uint64_t hash = eg_hash_mix (eg_hash_str (service));
  struct eg_hash_node *node = eg_hash_table_find (&self->services, hash);
  struct eg_service_state *state;
  char *name;

  for (; node; node = eg_hash_node_next (node))
    {
      state = EG_CONTAINER_OF (node, struct eg_service_state, by_name);
      if (eg_str_equal (state->name, service))
        return state;
    }
  state = calloc (1, sizeof *state + service.len + 1);
  EG_INVARIANT (state);
  name = (char *) (state + 1);
  memcpy (name, service.data, service.len);
  state->name = (struct eg_str){name, service.len};
  eg_retry_window_init (&state->retries,
                        self->settings->retry_window_ms * EG_US_PER_MS);
  eg_hash_table_insert (&self->services, &state->by_name, hash);
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
eg_entry_configuration_unusable (struct eg_entry *self,
                                 int64_t version,
                                 const char *cause)
{
  struct eg_accepted_configuration *configuration = &self->configuration;
  bool is_newer = version < 0 || !configuration->current
                  || version > configuration->current->version;
  int64_t unapplied = version < 0 ? INT64_MAX : version;

  eg_metrics_count (&self->metrics, EG_COUNT_CONFIGURATIONS_INVALID);
  eg_log (EG_LOG_ERROR, "configuration",
          "event=configuration-invalid version=%" PRId64 " in_force=%" PRId64
          " keys=%s cause=\"%s\"",
          version,
          configuration->current ? configuration->current->version : -1,
          is_newer ? "outdated" : "kept", cause);
  if (is_newer && unapplied > configuration->unapplied)
    configuration->unapplied = unapplied;
}

void
eg_entry_configuration_read (struct eg_entry *self, int64_t as_of_us)
{
  struct eg_accepted_configuration *configuration = &self->configuration;

  if (configuration->current && configuration->unapplied == 0
      && as_of_us > configuration->as_of_us)
    configuration->as_of_us = as_of_us;
}

static void
put_into_force (struct eg_entry *self,
                struct eg_configuration *decoded,
                json_t *object)
{
  struct eg_accepted_configuration *configuration = &self->configuration;

  if (configuration->current)
    eg_configuration_drop_keys (configuration->current);
  eg_configuration_unref (configuration->current);
  configuration->current = decoded;
  eg_object_text_finish (&configuration->text);
  eg_object_text_init (&configuration->text, object);
  /* Any newer one replaces one whose version could not be read. */
  if (configuration->unapplied <= decoded->version
      || configuration->unapplied == INT64_MAX)
    configuration->unapplied = 0;
  eg_hash_table_filter (&self->services, drop_service, decoded);
  eg_configuration_spread_set_version (&self->configuration_spread,
                                       decoded->version);
}

/** A configuration that is being decoded. */
struct decoded_version
{
  struct eg_entry *entry;
  int64_t version;
};

static void
on_defect (void *context, const char *description)
{
  const struct decoded_version *self = context;

  eg_metrics_count (&self->entry->metrics, EG_COUNT_CONFIGURATION_DEFECTS);
  eg_log (EG_LOG_WARNING, "configuration",
          "event=configuration-defect version=%" PRId64 " cause=\"%s\"",
          self->version, description);
}

void
eg_entry_accept_configuration (struct eg_entry *self, json_t *object)
{
  const json_t *spec = eg_store_object_spec (object);
  const struct eg_configuration *current = self->configuration.current;
  int64_t version = eg_configuration_read_version (spec);
  struct decoded_version context = {self, version};
  const struct eg_configuration_sink sink = {on_defect, &context};
  struct eg_configuration *decoded;
  struct eg_error error;

  if (current && version >= 0 && version <= current->version)
    return;
  decoded = eg_configuration_decode (spec, &sink, &error);
  if (!decoded)
    {
      eg_entry_configuration_unusable (self, version, error.message);
      return;
    }
  eg_log (EG_LOG_NOTICE, "configuration",
          "event=configuration-in-force version=%" PRId64
          " routes=%zu services=%zu organisations=%zu",
          decoded->version, decoded->route_count, decoded->service_count,
          decoded->organisation_count);
  put_into_force (self, decoded, object);
}
