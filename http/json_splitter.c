#include "http/json_splitter.h"

#include <stdint.h>
#include <string.h>

/** Position within one value; a bit of @c objects for each open bracket. */
struct scanner
{
  struct eg_str rest;
  uint64_t objects;
  unsigned depth;
};

_Static_assert(EG_JSON_SPLITTER_DEPTH_MAX <= 64,
               "one bit of scanner.objects for each level");

static void
advance (struct eg_str *text, size_t len)
{
  text->data += len;
  text->len -= len;
}

static void
skip_blanks (struct eg_str *text)
{
  while (text->len > 0
         && (*text->data == ' ' || *text->data == '\t' || *text->data == '\n'
             || *text->data == '\r'))
    advance (text, 1);
}

/* Skips blanks and @p expected; false if something else follows. */
static bool
skip_char (struct eg_str *text, char expected)
{
  skip_blanks (text);
  if (text->len == 0 || *text->data != expected)
    return false;
  advance (text, 1);
  return true;
}

static bool
begins_with (struct eg_str text, char expected)
{
  return skip_char (&text, expected);
}

/* Skips blanks and a string, whose content is returned with its escapes. */
static bool
skip_string (struct eg_str *text, struct eg_str *content)
{
  if (!skip_char (text, '"'))
    return false;
  content->data = text->data;
  while (text->len > 0 && *text->data != '"')
    advance (text, *text->data == '\\' && text->len > 1 ? 2 : 1);
  content->len = (size_t) (text->data - content->data);
  return skip_char (text, '"');
}

static bool
skip_key (struct eg_str *text, struct eg_str *key)
{
  return skip_string (text, key) && skip_char (text, ':');
}

/* Skips a number or a literal, or what another writer takes for one. */
static bool
skip_token (struct eg_str *text)
{
  size_t len = 0;

  while (len < text->len
         && (text->data[len] == '\0'
             || !strchr (" \t\r\n,:[]{}\"", text->data[len])))
    len++;
  advance (text, len);
  return len > 0;
}

static bool
is_in_object (const struct scanner *self)
{
  return self->objects >> (self->depth - 1) & 1;
}

static bool
open_bracket (struct scanner *self)
{
  bool is_object = *self->rest.data == '{';

  if (self->depth == EG_JSON_SPLITTER_DEPTH_MAX)
    return false;
  self->objects &= ~(UINT64_C (1) << self->depth);
  self->objects |= (uint64_t) is_object << self->depth;
  self->depth++;
  advance (&self->rest, 1);
  return true;
}

/* Skips the closing brackets that follow a value, and the comma and key before
 * the next one; at depth 0 the value is complete. */
static bool
skip_separators (struct scanner *self)
{
  struct eg_str key;

  while (self->depth > 0)
    {
      if (skip_char (&self->rest, ','))
        return !is_in_object (self) || skip_key (&self->rest, &key);
      if (!skip_char (&self->rest, is_in_object (self) ? '}' : ']'))
        return false;
      self->depth--;
    }
  return true;
}

/* Skips a scalar, or the opening bracket and first key of a container. */
static bool
skip_value_start (struct scanner *self, bool *is_complete)
{
  struct eg_str ignored;

  skip_blanks (&self->rest);
  *is_complete = true;
  if (self->rest.len == 0)
    return false;
  if (*self->rest.data == '"')
    return skip_string (&self->rest, &ignored);
  if (*self->rest.data != '{' && *self->rest.data != '[')
    return skip_token (&self->rest);
  if (!open_bracket (self))
    return false;
  *is_complete = begins_with (self->rest, is_in_object (self) ? '}' : ']');
  return *is_complete || !is_in_object (self)
         || skip_key (&self->rest, &ignored);
}

static bool
skip_value (struct eg_str *text)
{
  struct scanner scanner = {.rest = *text};
  bool is_complete;

  do
    if (!skip_value_start (&scanner, &is_complete)
        || (is_complete && !skip_separators (&scanner)))
      return false;
  while (scanner.depth > 0);
  *text = scanner.rest;
  return true;
}

bool
eg_json_splitter_open (struct eg_json_splitter *self, struct eg_str text)
{
  *self = (struct eg_json_splitter){.rest = text, .separated = true};
  if (skip_char (&self->rest, '{'))
    self->close = '}';
  else if (skip_char (&self->rest, '['))
    self->close = ']';
  return self->close != 0;
}

enum eg_json_split
eg_json_splitter_next (struct eg_json_splitter *self, struct eg_str *key)
{
  *key = (struct eg_str){self->rest.data, 0};
  if (self->separated || !begins_with (self->rest, ','))
    {
      if (skip_char (&self->rest, self->close))
        {
          self->complete = true;
          return EG_JSON_SPLIT_END;
        }
      if (!self->separated)
        return EG_JSON_SPLIT_FAULT;
    }
  else
    skip_char (&self->rest, ',');
  self->separated = false;
  if (self->close == '}' && !skip_key (&self->rest, key))
    return EG_JSON_SPLIT_FAULT;
  skip_blanks (&self->rest);
  return EG_JSON_SPLIT_ITEM;
}

bool
eg_json_splitter_take (struct eg_json_splitter *self, struct eg_str *value)
{
  struct eg_str after = self->rest;

  *value = self->rest;
  if (!skip_value (&after))
    return false;
  value->len = (size_t) (after.data - value->data);
  self->rest = after;
  return true;
}

bool
eg_json_splitter_open_array (struct eg_json_splitter *self,
                             struct eg_str text,
                             const struct eg_str *keys,
                             size_t key_count)
{
  struct eg_str first;

  if (!eg_json_splitter_open (self, text) || self->close != ']')
    return false;
  self->keys = keys;
  self->key_count = key_count;
  first = self->rest;
  if (!skip_char (&first, '{') || !skip_key (&first, &self->first_key))
    self->first_key = (struct eg_str){0};
  return true;
}

static bool
is_element_start (const struct eg_json_splitter *self, struct eg_str text)
{
  struct eg_str key;

  if (!skip_char (&text, '{') || !skip_key (&text, &key))
    return false;
  for (size_t i = 0; i < self->key_count; i++)
    if (eg_str_equal (key, self->keys[i]))
      return true;
  return self->first_key.len > 0 && eg_str_equal (key, self->first_key);
}

/* Returns whether the text after an array's closing bracket continues an
 * object, or ends. */
static bool
is_after_array (struct eg_str text)
{
  skip_blanks (&text);
  if (text.len == 0 || *text.data == '}')
    return true;
  return skip_char (&text, ',') && begins_with (text, '"');
}

/* Finds the last closing bracket that may end the array; the members after it
 * are scalars. Returns its offset, or the length of the text. */
static size_t
find_array_end (struct eg_str text)
{
  for (size_t at = text.len; at > 0; at--)
    if (text.data[at - 1] == ']'
        && is_after_array ((struct eg_str){text.data + at, text.len - at}))
      return at - 1;
  return text.len;
}

/* Finds the next element in text that does not begin with one. In valid JSON, a
 * quote follows an opening bracket only where an object begins. */
static size_t
find_element (const struct eg_json_splitter *self, struct eg_str text)
{
  for (size_t at = 0; at < text.len; at++)
    {
      struct eg_str after = {text.data + at, text.len - at};

      if (text.data[at] == ',')
        advance (&after, 1);
      else if (at > 0)
        continue;
      if (!is_element_start (self, after))
        continue;
      skip_blanks (&after);
      return (size_t) (after.data - text.data);
    }
  return text.len;
}

/* Returns whether an element extends over the ones after it: an array in it is
 * not closed, so that the closing bracket of the array of elements was taken
 * for its own, and nothing of that array follows. */
static bool
extends_too_far (const struct eg_json_splitter *self, struct eg_str element)
{
  if (begins_with (self->rest, ',') || begins_with (self->rest, self->close))
    return false;
  advance (&element, 1);
  return find_element (self, element) < element.len;
}

/* Skips an element with an invalid structure. */
static void
skip_to_element (struct eg_json_splitter *self,
                 bool at_value,
                 struct eg_str *element)
{
  struct eg_str searched = self->rest;
  size_t skipped = at_value && searched.len > 0 ? 1 : 0;
  size_t len;

  advance (&searched, skipped);
  len = skipped + find_element (self, searched);
  if (len == self->rest.len)
    len = find_array_end (self->rest);
  *element = (struct eg_str){self->rest.data, len};
  advance (&self->rest, len);
  self->separated = true;
}

bool
eg_json_splitter_next_element (struct eg_json_splitter *self,
                               struct eg_str *element,
                               bool *intact)
{
  const struct eg_json_splitter before = *self;
  enum eg_json_split next;
  struct eg_str key;

  *intact = false;
  if (self->complete || self->rest.len == 0)
    return false;
  next = eg_json_splitter_next (self, &key);
  if (next == EG_JSON_SPLIT_END && is_after_array (self->rest))
    return false;
  if (next == EG_JSON_SPLIT_END)
    *self = before;
  /* A string or an array that ends too early may contain the beginnings of
   * other elements. */
  if (next == EG_JSON_SPLIT_ITEM && !begins_with (self->rest, '"')
      && !begins_with (self->rest, '['))
    {
      const struct eg_str text = self->rest;

      *intact = eg_json_splitter_take (self, element);
      if (*intact && extends_too_far (self, *element))
        {
          *intact = false;
          self->rest = text;
        }
    }
  if (!*intact)
    skip_to_element (self, next != EG_JSON_SPLIT_FAULT, element);
  return true;
}

bool
eg_json_find_member (struct eg_str text,
                     struct eg_str key,
                     struct eg_str *value,
                     bool *intact)
{
  struct eg_json_splitter members;
  struct eg_str member;
  bool found = false;
  bool taken = true;

  if (!eg_json_splitter_open (&members, text) || members.close != '}')
    return false;
  while (taken
         && eg_json_splitter_next (&members, &member) == EG_JSON_SPLIT_ITEM)
    {
      struct eg_str taken_value;

      taken = eg_json_splitter_take (&members, &taken_value);
      if (!eg_str_equal (member, key))
        continue;
      found = true;
      *value = taken_value;
      *intact = taken;
    }
  return found;
}
