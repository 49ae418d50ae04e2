#include "http/json.h"

#include <float.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "http/json_splitter.h"

json_t *
eg_json_parse (struct eg_str text, struct eg_error *error)
{
  json_error_t parse_error;
  json_t *value =
      json_loadb (text.data ? text.data : "", text.len,
                  JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &parse_error);

  if (!value)
    eg_error_set (error, EG_INVALID, "not valid JSON: line %d, column %d: %s",
                  parse_error.line, parse_error.column, parse_error.text);
  return value;
}

static json_t *
decode (struct eg_str text, json_error_t *error)
{
  return json_loadb (text.data ? text.data : "", text.len, JSON_DECODE_ANY,
                     error);
}

/** Parses text in which some values cannot be decoded. */
struct salvage
{
  /** Returns what stands for a scalar, or a container below all levels; NULL:
   *  it is left out. */
  json_t *(*replace) (struct eg_str text, const json_error_t *error);
  size_t undecodable; /**< Number of values replaced or left out. */
};

static json_t *
leave_out (struct eg_str text, const json_error_t *error)
{
  (void) text;
  (void) error;
  return NULL;
}

static json_t *
nearest_real (struct eg_str text)
{
  struct eg_buffer copy = {0};
  double number;

  eg_buffer_append (&copy, text);
  number = strtod (eg_buffer_text (&copy), NULL);
  eg_buffer_finish (&copy);
  if (isinf (number))
    number = copysign (DBL_MAX, number);
  return json_real (number);
}

static json_t *
substitute (struct eg_str text, const json_error_t *error)
{
  return json_error_code (error) == json_error_numeric_overflow
             ? nearest_real (text)
             : json_stringn ("", 1);
}

/* Decodes the key of a member, which may have escapes; NULL if it cannot be
 * decoded. */
static json_t *
decode_key (struct eg_str key)
{
  struct eg_buffer text = {0};
  json_t *decoded;

  eg_buffer_append (&text, EG_STR ("\""));
  eg_buffer_append (&text, key);
  eg_buffer_append (&text, EG_STR ("\""));
  decoded = decode (eg_buffer_view (&text), NULL);
  eg_buffer_finish (&text);
  return decoded;
}

/* Adds a value, if there is one; false if it is left out. */
static bool
add_value (json_t *container, struct eg_str key, json_t *value)
{
  json_t *name;
  bool added;

  if (json_is_array (container))
    return json_array_append_new (container, value) == 0;
  name = decode_key (key);
  added =
      name && json_object_set (container, json_string_value (name), value) == 0;
  json_decref (name);
  json_decref (value);
  return added;
}

static json_t *
salvage_value (struct salvage *self, struct eg_str text, unsigned levels);

static json_t *
salvage_items (struct salvage *self,
               struct eg_json_splitter *items,
               unsigned levels)
{
  json_t *container = items->close == '}' ? json_object () : json_array ();
  struct eg_str key;
  struct eg_str text;

  while (eg_json_splitter_next (items, &key) == EG_JSON_SPLIT_ITEM
         && eg_json_splitter_take (items, &text))
    {
      size_t before = self->undecodable;
      json_t *value = salvage_value (self, text, levels - 1);

      if (!add_value (container, key, value) && self->undecodable == before)
        self->undecodable++;
    }
  if (items->complete)
    return container;
  self->undecodable++;
  json_decref (container);
  return NULL;
}

static json_t *
salvage_value (struct salvage *self, struct eg_str text, unsigned levels)
{
  struct eg_json_splitter items;
  json_error_t error;
  json_t *value = decode (text, &error);

  if (value)
    return value;
  if (levels > 0 && eg_json_splitter_open (&items, text))
    return salvage_items (self, &items, levels);
  self->undecodable++;
  return self->replace (text, &error);
}

json_t *
eg_json_parse_decodable (struct eg_str text, unsigned levels, size_t *dropped)
{
  struct salvage salvage = {.replace = leave_out};
  json_t *value = salvage_value (&salvage, text, levels);

  *dropped += salvage.undecodable;
  return value;
}

json_t *
eg_json_parse_replacing (struct eg_str text, size_t *replaced)
{
  struct salvage salvage = {.replace = substitute};
  struct eg_json_splitter items;
  json_t *value = decode (text, NULL);

  if (!value && eg_json_splitter_open (&items, text))
    {
      value = salvage_items (&salvage, &items, EG_JSON_SPLITTER_DEPTH_MAX);
      if (value && eg_str_trim (items.rest).len > 0)
        {
          json_decref (value);
          value = NULL;
        }
    }
  *replaced += salvage.undecodable;
  return value;
}

static const struct eg_json_member *
find_member (const struct eg_json_member *members,
             size_t count,
             const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (members[i].name, name) == 0)
      return &members[i];
  return NULL;
}

static const char *const expected_values[] = {
    [EG_JSON_TEXT] = "a string",
    [EG_JSON_VIEW] = "a string",
    [EG_JSON_INTEGER] = "an integer, 0 or more",
    [EG_JSON_BOOLEAN] = "true or false",
    [EG_JSON_ARRAY] = "an array",
};

static bool
store_member (const struct eg_json_member *member, json_t *value)
{
  struct eg_str text = {json_string_value (value), json_string_length (value)};

  switch (member->kind)
    {
    case EG_JSON_TEXT:
      return json_is_string (value) && !memchr (text.data, '\0', text.len)
             && eg_str_copy (text, member->target, member->capacity);
    case EG_JSON_VIEW:
      if (json_is_string (value))
        *(struct eg_str *) member->target = text;
      return json_is_string (value);
    case EG_JSON_INTEGER:
      if (!json_is_integer (value) || json_integer_value (value) < 0)
        return false;
      *(int64_t *) member->target = json_integer_value (value);
      return true;
    case EG_JSON_BOOLEAN:
      *(bool *) member->target = json_is_true (value);
      return json_is_boolean (value);
    case EG_JSON_ARRAY:
      *(json_t **) member->target = value;
      return json_is_array (value);
    }
  return false;
}

enum eg_status
eg_json_read (json_t *object,
              const struct eg_json_member *members,
              size_t count,
              struct eg_error *error)
{
  const char *name;
  json_t *value;

  if (!json_is_object (object))
    return eg_error_set (error, EG_INVALID, "expected a JSON object");
  json_object_foreach (object, name, value)
  {
    const struct eg_json_member *member = find_member (members, count, name);

    if (!member)
      return eg_error_set (error, EG_INVALID, "unknown field '%.64s'", name);
    if (!store_member (member, value))
      return eg_error_set (error, EG_INVALID, "field '%s': expected %s%s", name,
                           expected_values[member->kind],
                           member->capacity ? " that is short enough" : "");
  }
  for (size_t i = 0; i < count; i++)
    if (members[i].required && !json_object_get (object, members[i].name))
      return eg_error_set (error, EG_INVALID, "field '%s' is missing",
                           members[i].name);
  return EG_OK;
}

static int
append_bytes (const char *bytes, size_t len, void *context)
{
  eg_buffer_append (context, (struct eg_str){bytes, len});
  return 0;
}

static json_t *
ascii_string (struct eg_str text)
{
  char *copy = malloc (text.len + 1);
  json_t *value;

  EG_INVARIANT (copy != NULL);
  EG_INVARIANT (text.data != NULL || text.len == 0);
  for (size_t i = 0; i < text.len; i++)
    copy[i] = (char) ((unsigned char) text.data[i] < 0x80 ? text.data[i] : '?');
  value = json_stringn (copy, text.len);
  free (copy);
  return value;
}

void
eg_json_append_string (struct eg_buffer *buffer, struct eg_str text)
{
  json_t *value = json_stringn (text.data ? text.data : "", text.len);

  if (!value)
    value = ascii_string (text);
  json_dump_callback (value, append_bytes, buffer, JSON_ENCODE_ANY);
  json_decref (value);
}

void
eg_json_append_member (struct eg_buffer *buffer,
                       const char *name,
                       const char *text)
{
  bool first = buffer->len > 0 && buffer->data[buffer->len - 1] == '{';

  eg_buffer_printf (buffer, "%s\"%s\":", first ? "" : ",", name);
  eg_json_append_string (buffer, eg_str_from (text));
}
