#include "policy/rule_document.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/map.h"

#define ID_TEXT_BYTES 20
/* Upper bound for the member names, id and time of an edit as JSON. */
#define EDIT_OVERHEAD_BYTES 128

void
eg_rule_document_init (struct eg_rule_document *self)
{
  memset (self, 0, sizeof *self);
}

static void
finish_edit (struct eg_rule_edit_record *edit)
{
  eg_buffer_finish (&edit->removed);
  eg_buffer_finish (&edit->added);
}

void
eg_rule_document_finish (struct eg_rule_document *self)
{
  eg_buffer_finish (&self->text);
  for (size_t i = 0; i < self->edit_count; i++)
    finish_edit (&self->edits[i]);
  self->edit_count = 0;
}

static bool
read_string (json_t *object, const char *name, struct eg_str *text)
{
  json_t *value = json_object_get (object, name);

  *text =
      (struct eg_str){json_string_value (value), json_string_length (value)};
  return json_is_string (value);
}

static bool
read_edit (json_t *object, struct eg_rule_edit_record *edit)
{
  struct eg_str id;
  struct eg_str who;
  struct eg_str removed;
  struct eg_str added;
  json_t *wall = json_object_get (object, "wall_ms");

  if (!read_string (object, "id", &id) || !read_string (object, "who", &who)
      || !read_string (object, "removed", &removed)
      || !read_string (object, "added", &added) || !json_is_integer (wall))
    return false;
  edit->id = strtoull (id.data, NULL, 16);
  eg_str_copy (who, edit->who, sizeof edit->who);
  edit->wall_ms = json_integer_value (wall);
  eg_buffer_append (&edit->removed, removed);
  eg_buffer_append (&edit->added, added);
  return true;
}

enum eg_status
eg_rule_document_decode (struct eg_rule_document *self,
                         struct eg_str json,
                         struct eg_error *error)
{
  json_t *object = json_loadb (json.data ? json.data : "", json.len, 0, NULL);
  json_t *edits = json_object_get (object, "edits");
  enum eg_status status = EG_OK;
  struct eg_str text;

  if (!read_string (object, "text", &text) || !json_is_array (edits)
      || json_array_size (edits) > EG_RULE_EDITS_MAX)
    {
      status =
          eg_error_set (error, EG_INVALID,
                        "rules object: text or edits missing or malformed");
      goto out;
    }
  eg_buffer_append (&self->text, text);
  for (size_t i = 0; i < json_array_size (edits) && status == EG_OK; i++)
    if (!read_edit (json_array_get (edits, i),
                    &self->edits[self->edit_count++]))
      status = eg_error_set (error, EG_INVALID,
                             "rules object: edit %zu is malformed", i);
out:
  json_decref (object);
  return status;
}

static json_t *
buffer_to_json (const struct eg_buffer *buffer)
{
  json_t *value = json_stringn (buffer->data ? buffer->data : "", buffer->len);

  /* Text that is not valid UTF-8 is refused before an edit is made. */
  EG_INVARIANT (value != NULL);
  return value;
}

static json_t *
edit_to_json (const struct eg_rule_edit_record *edit)
{
  char id[ID_TEXT_BYTES];

  snprintf (id, sizeof id, "%016" PRIx64, edit->id);
  return json_pack ("{s:s, s:s, s:I, s:o, s:o}", "id", id, "who", edit->who,
                    "wall_ms", (json_int_t) edit->wall_ms, "removed",
                    buffer_to_json (&edit->removed), "added",
                    buffer_to_json (&edit->added));
}

static int
append_bytes (const char *bytes, size_t len, void *context)
{
  eg_buffer_append (context, (struct eg_str){bytes, len});
  return 0;
}

void
eg_rule_document_encode (const struct eg_rule_document *self,
                         struct eg_buffer *json)
{
  json_t *edits = json_array ();
  json_t *object;

  for (size_t i = 0; i < self->edit_count; i++)
    json_array_append_new (edits, edit_to_json (&self->edits[i]));
  object = json_pack ("{s:o, s:o}", "text", buffer_to_json (&self->text),
                      "edits", edits);
  EG_INVARIANT (object != NULL);
  json_dump_callback (object, append_bytes, json, JSON_COMPACT);
  json_decref (object);
}

/* Adds the number of occurrences of each line of @p text to @p counts. */
static void
count_lines (struct eg_map *counts, struct eg_str text)
{
  while (text.len > 0)
    {
      uint64_t key = eg_hash_str (eg_str_trim (eg_str_cut (&text, '\n')));
      uintptr_t count = (uintptr_t) eg_map_get (counts, key);

      eg_map_put (counts, key, (void *) (count + 1));
    }
}

/* Appends the lines of @p text that are not in @p counts, and removes the
   others from it. */
static void
append_missing (struct eg_map *counts,
                struct eg_str text,
                struct eg_buffer *lines)
{
  size_t shown = 0;

  while (text.len > 0)
    {
      struct eg_str line = eg_str_trim (eg_str_cut (&text, '\n'));
      uint64_t key = eg_hash_str (line);
      uintptr_t count = (uintptr_t) eg_map_get (counts, key);

      if (count > 1)
        eg_map_put (counts, key, (void *) (count - 1));
      else if (count == 1)
        eg_map_remove (counts, key);
      else if (line.len > 0 && shown++ < EG_RULE_EDIT_LINES_MAX)
        eg_buffer_printf (lines, "%.*s\n", EG_STR_ARGS (line));
    }
  if (shown > EG_RULE_EDIT_LINES_MAX)
    eg_buffer_printf (lines, "(and %zu more lines)\n",
                      shown - EG_RULE_EDIT_LINES_MAX);
}

static void
diff_lines (struct eg_str before,
            struct eg_str after,
            struct eg_rule_edit_record *edit)
{
  struct eg_map counts = {0};

  count_lines (&counts, before);
  append_missing (&counts, after, &edit->added);
  eg_map_finish (&counts);
  count_lines (&counts, after);
  append_missing (&counts, before, &edit->removed);
  eg_map_finish (&counts);
}

/* Returns the length of a text as a JSON string. */
static size_t
json_bytes (struct eg_str text)
{
  size_t bytes = 2;

  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char) text.data[i] < ' ')
      bytes += strchr ("\n\r\t\b\f", text.data[i]) ? 2 : 6;
    else
      bytes += text.data[i] == '"' || text.data[i] == '\\' ? 2 : 1;
  return bytes;
}

static size_t
edit_bytes (const struct eg_rule_edit_record *edit)
{
  return EDIT_OVERHEAD_BYTES + json_bytes (eg_str_from (edit->who))
         + json_bytes (eg_buffer_view (&edit->removed))
         + json_bytes (eg_buffer_view (&edit->added));
}

static void
drop_oldest (struct eg_rule_document *self)
{
  finish_edit (&self->edits[0]);
  self->edit_count--;
  memmove (&self->edits[0], &self->edits[1],
           self->edit_count * sizeof self->edits[0]);
}

/* Drops old edits until the object fits the store. The last one is kept, as it
   shows after a missing reply that the edit was accepted. */
static void
fit_object (struct eg_rule_document *self)
{
  size_t bytes = json_bytes (eg_buffer_view (&self->text));

  for (size_t i = 0; i < self->edit_count; i++)
    bytes += edit_bytes (&self->edits[i]);
  while (self->edit_count > 1 && bytes > EG_RULES_OBJECT_BYTES_MAX)
    {
      bytes -= edit_bytes (&self->edits[0]);
      drop_oldest (self);
    }
}

void
eg_rule_document_edit (struct eg_rule_document *self,
                       uint64_t id,
                       struct eg_str who,
                       int64_t wall_ms,
                       struct eg_str text)
{
  struct eg_rule_edit_record *edit;

  if (self->edit_count == EG_RULE_EDITS_MAX)
    drop_oldest (self);
  edit = &self->edits[self->edit_count++];
  *edit = (struct eg_rule_edit_record){.id = id, .wall_ms = wall_ms};
  eg_str_copy (who, edit->who, sizeof edit->who);
  diff_lines (eg_buffer_view (&self->text), text, edit);
  eg_buffer_clear (&self->text);
  eg_buffer_append (&self->text, text);
  fit_object (self);
}

const struct eg_rule_edit_record *
eg_rule_document_find (const struct eg_rule_document *self, uint64_t id)
{
  for (size_t i = self->edit_count; i > 0; i--)
    if (self->edits[i - 1].id == id)
      return &self->edits[i - 1];
  return NULL;
}

void
eg_rule_document_copy (struct eg_rule_document *target,
                       const struct eg_rule_document *source)
{
  eg_rule_document_init (target);
  eg_buffer_append (&target->text, eg_buffer_view (&source->text));
  target->edit_count = source->edit_count;
  for (size_t i = 0; i < source->edit_count; i++)
    {
      target->edits[i] = source->edits[i];
      target->edits[i].removed = (struct eg_buffer){0};
      target->edits[i].added = (struct eg_buffer){0};
      eg_buffer_append (&target->edits[i].removed,
                        eg_buffer_view (&source->edits[i].removed));
      eg_buffer_append (&target->edits[i].added,
                        eg_buffer_view (&source->edits[i].added));
    }
}
