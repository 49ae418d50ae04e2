#include "http/json.h"

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

/* Adds a value, if there is one, under a key without escapes. */
static bool
add_value (json_t *container, struct eg_str key, json_t *value)
{
  char name[128];

  if (json_is_array (container))
    return json_array_append_new (container, value) == 0;
  if (!memchr (key.data, '\\', key.len) && eg_str_copy (key, name, sizeof name))
    return json_object_set_new (container, name, value) == 0;
  json_decref (value);
  return false;
}

static json_t *
parse_items (struct eg_json_splitter *items, unsigned levels, size_t *dropped)
{
  json_t *container = items->close == '}' ? json_object () : json_array ();
  struct eg_str key;
  struct eg_str text;

  while (eg_json_splitter_next (items, &key) == EG_JSON_SPLIT_ITEM
         && eg_json_splitter_take (items, &text))
    {
      size_t before = *dropped;
      json_t *value = eg_json_parse_decodable (text, levels - 1, dropped);

      if (!add_value (container, key, value) && *dropped == before)
        (*dropped)++;
    }
  if (items->complete)
    return container;
  (*dropped)++;
  json_decref (container);
  return NULL;
}

json_t *
eg_json_parse_decodable (struct eg_str text, unsigned levels, size_t *dropped)
{
  struct eg_json_splitter items;
  json_t *value =
      json_loadb (text.data ? text.data : "", text.len, JSON_DECODE_ANY, NULL);

  if (value)
    return value;
  if (levels > 0 && eg_json_splitter_open (&items, text))
    return parse_items (&items, levels, dropped);
  (*dropped)++;
  return NULL;
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
