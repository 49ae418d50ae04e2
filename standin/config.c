#include "standin/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_ELEMENTS(array) (sizeof (array) / sizeof *(array))
#define WHERE_BYTES 32

/* One field per line. */
/* clang-format off */
#define FIELD(struct_name, member, type, required, min, max)                   \
  {                                                                            \
    #member, type, required, min, max, offsetof (struct struct_name, member)   \
  }

static const struct eg_field platform_fields[] = {
    FIELD (eg_platform_config, listen, EG_FIELD_ADDRESS, true, 0, 0),
    FIELD (eg_platform_config, threads, EG_FIELD_INTEGER, false, 2, 4096),
    FIELD (eg_platform_config, latency_ms, EG_FIELD_INTEGER, false, 0, 60000),
    FIELD (eg_platform_config,
           writes_per_s,
           EG_FIELD_INTEGER,
           false,
           0,
           1000000),
    FIELD (eg_platform_config,
           reads_per_s,
           EG_FIELD_INTEGER,
           false,
           0,
           1000000),
    FIELD (eg_platform_config, vms, EG_FIELD_ARRAY, false, 0, 0),
};

static const struct eg_field engine_fields[] = {
    FIELD (eg_engine_config, listen, EG_FIELD_ADDRESS, true, 0, 0),
    FIELD (eg_engine_config, threads, EG_FIELD_INTEGER, false, 2, 4096),
    FIELD (eg_engine_config,
           server,
           EG_FIELD_STRING,
           true,
           1,
           EG_FIELD_NAME_MAX),
    FIELD (eg_engine_config,
           service,
           EG_FIELD_STRING,
           true,
           1,
           EG_FIELD_NAME_MAX),
    FIELD (eg_engine_config,
           model,
           EG_FIELD_STRING,
           true,
           1,
           EG_FIELD_NAME_MAX),
    FIELD (eg_engine_config,
           version,
           EG_FIELD_STRING,
           true,
           1,
           EG_FIELD_NAME_MAX),
    FIELD (eg_engine_config, layers, EG_FIELD_LAYERS, true, 1, 10000),
    FIELD (eg_engine_config, model_layers, EG_FIELD_INTEGER, true, 1, 10000),
    FIELD (eg_engine_config, accelerator, EG_FIELD_STRING, true, 1,
           EG_FIELD_NAME_MAX),
    FIELD (eg_engine_config, slots, EG_FIELD_INTEGER, true, 1, 4096),
    FIELD (eg_engine_config, queue_max, EG_FIELD_INTEGER, false, 0, 4096),
    FIELD (eg_engine_config, token_us, EG_FIELD_INTEGER, true, 0, 60000000),
    FIELD (eg_engine_config, prefill_us, EG_FIELD_INTEGER, false, 0, 60000000),
    FIELD (eg_engine_config, load_lag_ms, EG_FIELD_INTEGER, false, 0, 10000),
    FIELD (eg_engine_config, stage_timeout_ms, EG_FIELD_INTEGER, false, 1,
           600000),
    FIELD (eg_engine_config,
           kv_total,
           EG_FIELD_INTEGER,
           false,
           1,
           EG_FIELD_INTEGER_MAX),
    FIELD (eg_engine_config, cache_blocks, EG_FIELD_INTEGER, false, 0, 1000000),
    FIELD (eg_engine_config, record_max, EG_FIELD_INTEGER, false, 0, 100000000),
    FIELD (eg_engine_config, checks_fencing, EG_FIELD_BOOLEAN, false, 0, 0),
};

static const struct eg_field service_fields[] = {
    FIELD (eg_service_config, listen, EG_FIELD_ADDRESS, true, 0, 0),
    FIELD (eg_service_config, threads, EG_FIELD_INTEGER, false, 2, 4096),
    FIELD (eg_service_config,
           service,
           EG_FIELD_STRING,
           true,
           1,
           EG_FIELD_NAME_MAX),
    FIELD (eg_service_config, latency_ms, EG_FIELD_INTEGER, false, 0, 60000),
    FIELD (eg_service_config, slots, EG_FIELD_INTEGER, false, 1, 4096),
    FIELD (eg_service_config, queue_max, EG_FIELD_INTEGER, false, 0, 4096),
    FIELD (eg_service_config,
           record_max,
           EG_FIELD_INTEGER,
           false,
           0,
           100000000),
};
/* clang-format on */

static const struct eg_platform_config platform_defaults = {.threads = 128};
static const struct eg_engine_config engine_defaults = {
    .queue_max = 32,
    .stage_timeout_ms = 1000,
    .kv_total = 100000,
    .record_max = 2000000,
    .checks_fencing = true,
};
static const struct eg_service_config service_defaults = {
    .slots = 8,
    .queue_max = 32,
    .record_max = 2000000,
};

/* Top-level members of the file. */
struct sections
{
  const char *admin;
  json_t *platform;
  json_t *engines;
  json_t *services;
};

static const struct eg_field section_fields[] = {
    {"admin", EG_FIELD_ADDRESS, false, 0, 0, offsetof (struct sections, admin)},
    {"platform", EG_FIELD_OBJECT, false, 0, 0,
     offsetof (struct sections, platform)},
    {"engines", EG_FIELD_ARRAY, false, 0, 0,
     offsetof (struct sections, engines)},
    {"services", EG_FIELD_ARRAY, false, 0, 0,
     offsetof (struct sections, services)},
};

enum eg_status
eg_config_check_vms (const json_t *vms, struct eg_error *error)
{
  static const char *const names[] = {"address", "failure_domain", "kind",
                                      "service", "state"};
  static const char *const kinds[] = {"entry", "backend"};
  static const char *const states[] = {"live", "leaving"};
  const char *values[N_ELEMENTS (names)];
  struct eg_field fields[N_ELEMENTS (names)];
  size_t i;
  json_t *vm;

  for (size_t f = 0; f < N_ELEMENTS (names); f++)
    fields[f] =
        (struct eg_field){names[f], EG_FIELD_STRING,   f != 3,
                          0,        EG_FIELD_NAME_MAX, f * sizeof *values};
  fields[0].type = EG_FIELD_ADDRESS;
  json_array_foreach (vms, i, vm)
  {
    char where[WHERE_BYTES];

    snprintf (where, sizeof where, "vms[%zu]", i);
    if (eg_fields_read (fields, N_ELEMENTS (fields), vm, values, where, error)
        != EG_OK)
      return EG_INVALID;
    if (strcmp (values[2], kinds[0]) != 0 && strcmp (values[2], kinds[1]) != 0)
      return eg_error_set (error, EG_INVALID,
                           "%s: kind must be \"entry\" or \"backend\"", where);
    if (strcmp (values[4], states[0]) != 0
        && strcmp (values[4], states[1]) != 0)
      return eg_error_set (error, EG_INVALID,
                           "%s: state must be \"live\" or \"leaving\"", where);
  }
  return EG_OK;
}

static enum eg_status
parse_platform (struct eg_config *self, json_t *object, struct eg_error *error)
{
  self->platform = platform_defaults;
  self->has_platform = object != NULL;
  if (!object)
    return EG_OK;
  if (eg_fields_read (platform_fields, N_ELEMENTS (platform_fields), object,
                      &self->platform, "platform", error)
      != EG_OK)
    return EG_INVALID;
  return eg_config_check_vms (self->platform.vms, error);
}

static enum eg_status
parse_engine (struct eg_engine_config *engine,
              const json_t *object,
              const char *where,
              struct eg_error *error)
{
  *engine = engine_defaults;
  if (eg_fields_read (engine_fields, N_ELEMENTS (engine_fields), object, engine,
                      where, error)
      != EG_OK)
    return EG_INVALID;
  if (engine->layers.last > engine->model_layers)
    return eg_error_set (error, EG_INVALID, "%s: layers exceed model_layers",
                         where);
  return EG_OK;
}

static enum eg_status
parse_service (struct eg_service_config *service,
               const json_t *object,
               const char *where,
               struct eg_error *error)
{
  *service = service_defaults;
  return eg_fields_read (service_fields, N_ELEMENTS (service_fields), object,
                         service, where, error);
}

static enum eg_status
parse_lists (struct eg_config *self,
             const struct sections *sections,
             struct eg_error *error)
{
  char where[WHERE_BYTES];
  size_t i;
  json_t *object;

  self->engine_count = json_array_size (sections->engines);
  self->engines = calloc (self->engine_count + 1, sizeof *self->engines);
  self->service_count = json_array_size (sections->services);
  self->services = calloc (self->service_count + 1, sizeof *self->services);
  EG_INVARIANT (self->engines && self->services);
  json_array_foreach (sections->engines, i, object)
  {
    snprintf (where, sizeof where, "engines[%zu]", i);
    if (parse_engine (&self->engines[i], object, where, error) != EG_OK)
      return EG_INVALID;
  }
  json_array_foreach (sections->services, i, object)
  {
    snprintf (where, sizeof where, "services[%zu]", i);
    if (parse_service (&self->services[i], object, where, error) != EG_OK)
      return EG_INVALID;
  }
  return EG_OK;
}

enum eg_status
eg_config_read (struct eg_config *self, json_t *root, struct eg_error *error)
{
  struct sections sections = {0};

  *self = (struct eg_config){.root = root};
  if (eg_fields_read (section_fields, N_ELEMENTS (section_fields), root,
                      &sections, "file", error)
      != EG_OK)
    return EG_INVALID;
  self->admin = sections.admin;
  if (parse_platform (self, sections.platform, error) != EG_OK)
    return EG_INVALID;
  return parse_lists (self, &sections, error);
}

enum eg_status
eg_config_load (struct eg_config *self,
                const char *path,
                struct eg_error *error)
{
  json_error_t json_error;
  json_t *root = json_load_file (path, JSON_REJECT_DUPLICATES, &json_error);

  *self = (struct eg_config){0};
  if (!root)
    return eg_error_set (error, EG_INVALID, "%s:%d: %s", path, json_error.line,
                         json_error.text);
  return eg_config_read (self, root, error);
}

void
eg_config_finish (struct eg_config *self)
{
  free (self->engines);
  free (self->services);
  json_decref (self->root);
  *self = (struct eg_config){0};
}
