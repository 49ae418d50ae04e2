#include "policy/rule_delta.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define HEX_BYTES 20

/* Returns whether the histories are equal except for the newest edit of
   @p after and, if the history was full, the oldest edit of @p before. */
static bool
is_one_edit (const struct eg_rule_document *before,
             const struct eg_rule_document *after)
{
  size_t dropped = before->edit_count == EG_RULE_EDITS_MAX;

  if (after->edit_count == 0
      || after->edit_count + dropped != before->edit_count + 1)
    return false;
  for (size_t i = 0; i + 1 < after->edit_count; i++)
    if (after->edits[i].id != before->edits[i + dropped].id)
      return false;
  return true;
}

static size_t
common_prefix_len (struct eg_str a, struct eg_str b)
{
  size_t len = 0;

  while (len < a.len && len < b.len && a.data[len] == b.data[len])
    len++;
  return len;
}

static size_t
common_suffix_len (struct eg_str a, struct eg_str b)
{
  size_t len = 0;

  while (len < a.len && len < b.len
         && a.data[a.len - 1 - len] == b.data[b.len - 1 - len])
    len++;
  return len;
}

/* Returns whether @p at is a UTF-8 continuation byte, at which the text must
   not be cut. */
static bool
is_inside_character (struct eg_str text, size_t at)
{
  return at < text.len && ((unsigned char) text.data[at] & 0xc0) == 0x80;
}

static uint64_t
document_hash (const struct eg_rule_document *document)
{
  struct eg_buffer json = {0};
  uint64_t hash;

  eg_rule_document_encode (document, &json);
  hash = eg_hash_str (eg_buffer_view (&json));
  eg_buffer_finish (&json);
  return hash;
}

static int
append_bytes (const char *bytes, size_t len, void *context)
{
  eg_buffer_append (context, (struct eg_str){bytes, len});
  return 0;
}

bool
eg_rule_delta_encode (const struct eg_rule_document *before,
                      const struct eg_rule_document *after,
                      struct eg_buffer *delta)
{
  struct eg_str old = eg_buffer_view (&before->text);
  struct eg_str new = eg_buffer_view (&after->text);
  const struct eg_rule_edit_record *edit;
  char hash[HEX_BYTES];
  char id[HEX_BYTES];
  size_t start;
  size_t end;
  json_t *object;

  if (!is_one_edit (before, after))
    return false;
  start = common_prefix_len (old, new);
  while (is_inside_character (new, start) || is_inside_character (old, start))
    start--;
  end = common_suffix_len ((struct eg_str){old.data + start, old.len - start},
                           (struct eg_str){new.data + start, new.len - start});
  while (end > 0 && is_inside_character (new, new.len - end))
    end--;
  edit = &after->edits[after->edit_count - 1];
  snprintf (hash, sizeof hash, "%016" PRIx64, document_hash (after));
  snprintf (id, sizeof id, "%016" PRIx64, edit->id);
  object = json_pack ("{s:I, s:I, s:s%, s:s, s:s, s:s, s:I}", "start",
                      (json_int_t) start, "end", (json_int_t) end, "middle",
                      new.len > start ? new.data + start : "",
                      new.len - start - end, "hash", hash, "id", id, "who",
                      edit->who, "wall_ms", (json_int_t) edit->wall_ms);
  if (!object)
    return false;
  json_dump_callback (object, append_bytes, delta, JSON_COMPACT);
  json_decref (object);
  return true;
}

/* A decoded delta; the pointers belong to its JSON object. */
struct delta_fields
{
  json_int_t start; /* Length of the unchanged start, in bytes. */
  json_int_t end;   /* Length of the unchanged end, in bytes. */
  json_int_t wall_ms;
  const char *middle;
  const char *hash; /* Of the resulting document, as JSON. */
  const char *id;
  const char *who;
  size_t middle_len;
};

static bool
decode_delta (json_t *object, struct delta_fields *fields)
{
  return object
         && json_unpack_ex (object, NULL, JSON_STRICT,
                            "{s:I, s:I, s:s%, s:s, s:s, s:s, s:I}", "start",
                            &fields->start, "end", &fields->end, "middle",
                            &fields->middle, &fields->middle_len, "hash",
                            &fields->hash, "id", &fields->id, "who",
                            &fields->who, "wall_ms", &fields->wall_ms)
                == 0;
}

/* A delta of another document may cut a UTF-8 character. */
static bool
is_utf8 (struct eg_str text)
{
  json_t *value = json_stringn (text.data ? text.data : "", text.len);

  json_decref (value);
  return value != NULL;
}

static bool
apply_to_text (const struct eg_rule_document *before,
               const struct delta_fields *fields,
               struct eg_buffer *text)
{
  struct eg_str old = eg_buffer_view (&before->text);

  if (fields->start < 0 || fields->end < 0
      || (uint64_t) fields->start + (uint64_t) fields->end > old.len)
    return false;
  eg_buffer_append (text, (struct eg_str){old.data, (size_t) fields->start});
  eg_buffer_append (text, (struct eg_str){fields->middle, fields->middle_len});
  eg_buffer_append (text, (struct eg_str){old.data + old.len - fields->end,
                                          (size_t) fields->end});
  return is_utf8 (eg_buffer_view (text));
}

enum eg_status
eg_rule_delta_apply (const struct eg_rule_document *before,
                     struct eg_str delta,
                     struct eg_buffer *json)
{
  json_t *object =
      json_loadb (delta.data ? delta.data : "", delta.len, 0, NULL);
  struct eg_rule_document after;
  struct eg_buffer text = {0};
  struct delta_fields fields;
  enum eg_status status = EG_INVALID;

  eg_rule_document_init (&after);
  if (!decode_delta (object, &fields)
      || !apply_to_text (before, &fields, &text))
    goto out;
  eg_rule_document_copy (&after, before);
  eg_rule_document_edit (&after, strtoull (fields.id, NULL, 16),
                         eg_str_from (fields.who), fields.wall_ms,
                         eg_buffer_view (&text));
  /* The hash differs if the delta was made from another document. */
  if (document_hash (&after) != strtoull (fields.hash, NULL, 16))
    goto out;
  eg_rule_document_encode (&after, json);
  status = EG_OK;
out:
  eg_rule_document_finish (&after);
  eg_buffer_finish (&text);
  json_decref (object);
  return status;
}
