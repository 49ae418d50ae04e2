#include "standin/load_fields.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/settings.h"

static const char *const kind_names[] = {
    [EG_LOAD_FIELD_INTEGER] = "an integer",
    [EG_LOAD_FIELD_NUMBER] = "a number",
    [EG_LOAD_FIELD_BOOLEAN] = "true or false",
    [EG_LOAD_FIELD_TIME_MS] = "an integer of milliseconds",
    [EG_LOAD_FIELD_STRING] = "a string",
    [EG_LOAD_FIELD_ADDRESS] = "an address such as \"127.0.0.1:8080\"",
    [EG_LOAD_FIELD_NESTED] = "a value",
};

static void
join_path (const char *path,
           const char *key,
           char full_path[EG_LOAD_PATH_BYTES])
{
  snprintf (full_path, EG_LOAD_PATH_BYTES, "%s%s%s", path, *path ? "." : "",
            key);
}

void
eg_load_fields_element_path (const char *path,
                             size_t index,
                             char element[EG_LOAD_PATH_BYTES])
{
  snprintf (element, EG_LOAD_PATH_BYTES, "%s[%zu]", path, index);
}

static bool
has_type (enum eg_load_field_kind kind, const json_t *value)
{
  switch (kind)
    {
    case EG_LOAD_FIELD_INTEGER:
    case EG_LOAD_FIELD_TIME_MS:
      return json_is_integer (value);
    case EG_LOAD_FIELD_NUMBER:
      return json_is_number (value);
    case EG_LOAD_FIELD_BOOLEAN:
      return json_is_boolean (value);
    case EG_LOAD_FIELD_STRING:
      return json_is_string (value);
    case EG_LOAD_FIELD_ADDRESS:
      return json_is_string (value)
             && eg_settings_is_address (json_string_value (value));
    case EG_LOAD_FIELD_NESTED:
      return true;
    }
  return false;
}

static bool
in_range (const struct eg_load_field *field, const json_t *value)
{
  double size = json_number_value (value);

  if (field->kind == EG_LOAD_FIELD_BOOLEAN
      || field->kind == EG_LOAD_FIELD_NESTED)
    return true;
  if (json_is_string (value))
    {
      size = (double) json_string_length (value);
      return size >= field->min && size < field->max;
    }
  return size >= field->min && size <= field->max;
}

static void
store (const struct eg_load_field *field, const json_t *value, void *output)
{
  char *member = (char *) output + field->offset;

  switch (field->kind)
    {
    case EG_LOAD_FIELD_INTEGER:
      *(int64_t *) member = json_integer_value (value);
      return;
    case EG_LOAD_FIELD_TIME_MS:
      *(int64_t *) member = json_integer_value (value) * EG_US_PER_MS;
      return;
    case EG_LOAD_FIELD_NUMBER:
      *(double *) member = json_number_value (value);
      return;
    case EG_LOAD_FIELD_BOOLEAN:
      *(bool *) member = json_is_true (value);
      return;
    case EG_LOAD_FIELD_STRING:
    case EG_LOAD_FIELD_ADDRESS:
      memcpy (member, json_string_value (value),
              json_string_length (value) + 1);
      return;
    case EG_LOAD_FIELD_NESTED:
      return;
    }
}

static enum eg_status
read_field (const struct eg_load_field *field,
            json_t *value,
            const char *path,
            void *output,
            struct eg_error *error)
{
  char full_path[EG_LOAD_PATH_BYTES];

  join_path (path, field->key, full_path);
  if (!has_type (field->kind, value))
    return eg_error_set (error, EG_INVALID, "%s: expected %s", full_path,
                         kind_names[field->kind]);
  if (!in_range (field, value))
    return eg_error_set (error, EG_INVALID, "%s: expected %s from %g to %g%s",
                         full_path, kind_names[field->kind], field->min,
                         json_is_string (value) ? field->max - 1 : field->max,
                         json_is_string (value) ? " bytes" : "");
  if (field->kind == EG_LOAD_FIELD_NESTED)
    return field->read (value, full_path, output, error);
  store (field, value, output);
  return EG_OK;
}

static bool
is_known_key (const struct eg_load_fields *table, const char *key)
{
  for (size_t i = 0; i < table->count; i++)
    if (strcmp (table->fields[i].key, key) == 0)
      return true;
  return false;
}

enum eg_status
eg_load_fields_read (const struct eg_load_fields *table,
                     json_t *object,
                     const char *path,
                     void *output,
                     struct eg_error *error)
{
  char full_path[EG_LOAD_PATH_BYTES];
  const char *key;
  json_t *value;

  if (!json_is_object (object))
    return eg_error_set (error, EG_INVALID, "%s: expected an object",
                         *path ? path : "scenario");
  json_object_foreach (object, key, value)
  {
    join_path (path, key, full_path);
    if (!is_known_key (table, key))
      return eg_error_set (error, EG_INVALID, "%s: unknown key", full_path);
  }
  for (size_t i = 0; i < table->count; i++)
    {
      const struct eg_load_field *field = &table->fields[i];
      enum eg_status status = EG_OK;

      value = json_object_get (object, field->key);
      join_path (path, field->key, full_path);
      if (value)
        status = read_field (field, value, path, output, error);
      else if (field->required)
        status =
            eg_error_set (error, EG_INVALID, "%s: must be given", full_path);
      if (status != EG_OK)
        return status;
    }
  return EG_OK;
}
