#include "standin/fields.h"

#include <inttypes.h>
#include <string.h>

#include "base/settings.h"

static const struct eg_field *
find_field (const struct eg_field *fields, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (fields[i].name, name) == 0)
      return &fields[i];
  return NULL;
}

static bool
is_within (const struct eg_field *field, int64_t value)
{
  return value >= field->min && value <= field->max;
}

static bool
read_integer (const struct eg_field *field, const json_t *value, void *member)
{
  int64_t integer = json_integer_value (value);

  if (!json_is_integer (value) || !is_within (field, integer))
    return false;
  memcpy (member, &integer, sizeof integer);
  return true;
}

static bool
read_number (const struct eg_field *field, const json_t *value, void *member)
{
  double number = json_number_value (value);

  if (!json_is_number (value) || number < (double) field->min
      || number > (double) field->max)
    return false;
  memcpy (member, &number, sizeof number);
  return true;
}

static bool
read_boolean (const struct eg_field *field, const json_t *value, void *member)
{
  bool boolean = json_is_true (value);

  (void) field;
  if (!json_is_boolean (value))
    return false;
  memcpy (member, &boolean, sizeof boolean);
  return true;
}

static bool
read_string (const struct eg_field *field, const json_t *value, void *member)
{
  const char *text = json_string_value (value);

  if (!text || !is_within (field, (int64_t) json_string_length (value)))
    return false;
  memcpy (member, &text, sizeof text);
  return true;
}

static bool
read_address (const struct eg_field *field, const json_t *value, void *member)
{
  const char *text = json_string_value (value);

  (void) field;
  if (!text || !eg_settings_is_address (text))
    return false;
  memcpy (member, &text, sizeof text);
  return true;
}

static bool
read_layers (const struct eg_field *field, const json_t *value, void *member)
{
  const json_t *first = json_array_get (value, 0);
  const json_t *last = json_array_get (value, 1);
  struct eg_layers layers = {json_integer_value (first),
                             json_integer_value (last)};

  if (json_array_size (value) != 2 || !json_is_integer (first)
      || !json_is_integer (last))
    return false;
  if (!is_within (field, layers.first) || !is_within (field, layers.last)
      || layers.first > layers.last)
    return false;
  memcpy (member, &layers, sizeof layers);
  return true;
}

static bool
read_array (const struct eg_field *field, const json_t *value, void *member)
{
  (void) field;
  if (!json_is_array (value))
    return false;
  memcpy (member, &value, sizeof (json_t *));
  return true;
}

static bool
read_object (const struct eg_field *field, const json_t *value, void *member)
{
  (void) field;
  if (!json_is_object (value))
    return false;
  memcpy (member, &value, sizeof (json_t *));
  return true;
}

static const struct
{
  const char *description;
  bool has_range;
  bool (*read) (const struct eg_field *field,
                const json_t *value,
                void *member);
} types[] = {
    [EG_FIELD_INTEGER] = {"an integer", true, read_integer},
    [EG_FIELD_NUMBER] = {"a number", true, read_number},
    [EG_FIELD_BOOLEAN] = {"true or false", false, read_boolean},
    [EG_FIELD_STRING] = {"a string with a length in bytes", true, read_string},
    [EG_FIELD_ADDRESS] = {"an address such as \"127.0.0.1:8080\"", false,
                          read_address},
    [EG_FIELD_LAYERS] = {"[first, last] with first <= last, each", true,
                         read_layers},
    [EG_FIELD_ARRAY] = {"an array", false, read_array},
    [EG_FIELD_OBJECT] = {"an object", false, read_object},
};

static enum eg_status
set_value_error (const struct eg_field *field,
                 const char *where,
                 struct eg_error *error)
{
  const char *description = types[field->type].description;

  if (!types[field->type].has_range)
    return eg_error_set (error, EG_INVALID, "%s: field \"%s\" must be %s",
                         where, field->name, description);
  return eg_error_set (error, EG_INVALID,
                       "%s: field \"%s\" must be %s from %" PRId64
                       " to %" PRId64,
                       where, field->name, description, field->min, field->max);
}

enum eg_status
eg_fields_read (const struct eg_field *fields,
                size_t count,
                const json_t *object,
                void *target,
                const char *where,
                struct eg_error *error)
{
  const char *name;
  json_t *value;

  if (!json_is_object (object))
    return eg_error_set (error, EG_INVALID, "%s: must be an object", where);
  json_object_foreach ((json_t *) object, name, value)
  {
    const struct eg_field *field = find_field (fields, count, name);

    if (!field)
      return eg_error_set (error, EG_INVALID, "%s: unknown field \"%.64s\"",
                           where, name);
    if (!types[field->type].read (field, value,
                                  (char *) target + field->offset))
      return set_value_error (field, where, error);
  }
  for (size_t i = 0; i < count; i++)
    if (fields[i].required && !json_object_get (object, fields[i].name))
      return eg_error_set (error, EG_INVALID, "%s: field \"%s\" is missing",
                           where, fields[i].name);
  return EG_OK;
}

enum eg_status
eg_fields_check_strings (const json_t *array,
                         int64_t max,
                         const char *where,
                         struct eg_error *error)
{
  size_t i;
  json_t *value;

  json_array_foreach (array, i, value)
  {
    if (!json_is_string (value) || (int64_t) json_string_length (value) > max)
      return eg_error_set (error, EG_INVALID,
                           "%s[%zu]: must be a string of up to %" PRId64
                           " bytes",
                           where, i, max);
  }
  return EG_OK;
}
