#include "policy/rule_delta.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define HEX_BYTES 20

/* The edits of both must agree but for the last of the new ones, and for the
   oldest, which may have made room. */
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
common_start (struct eg_str a, struct eg_str b)
{
  size_t len = 0;

  while (len < a.len && len < b.len && a.data[len] == b.data[len])
    len++;
  return len;
}

static size_t
common_end (struct eg_str a, struct eg_str b)
{
  size_t len = 0;

  while (len < a.len && len < b.len
         && a.data[a.len - 1 - len] == b.data[b.len - 1 - len])
    len++;
  return len;
}

/* Bytes that continue a character of UTF-8 cannot begin a string. */
static bool
is_inside_character (struct eg_str text, size_t at)
{
  return at < text.len && ((unsigned char) text.data[at] & 0xc0) == 0x80;
}

static uint64_t
hash_of (const struct eg_rule_document *document)
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
  start = common_start (old, new);
  while (is_inside_character (new, start) || is_inside_character (old, start))
    start--;
  end = common_end ((struct eg_str){old.data + start, old.len - start},
                    (struct eg_str){new.data + start, new.len - start});
  while (end > 0 && is_inside_character (new, new.len - end))
    end--;
  edit = &after->edits[after->edit_count - 1];
  snprintf (hash, sizeof hash, "%016" PRIx64, hash_of (after));
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

/* A delta as it was read; the views lie in its JSON. */
struct reading
{
  json_int_t start;
  json_int_t end;
  json_int_t wall_ms;
  const char *middle;
  const char *hash;
  const char *id;
  const char *who;
  size_t middle_len;
};

static bool
read_delta (json_t *object, struct reading *reading)
{
  return object
         && json_unpack_ex (object, NULL, JSON_STRICT,
                            "{s:I, s:I, s:s%, s:s, s:s, s:s, s:I}", "start",
                            &reading->start, "end", &reading->end, "middle",
                            &reading->middle, &reading->middle_len, "hash",
                            &reading->hash, "id", &reading->id, "who",
                            &reading->who, "wall_ms", &reading->wall_ms)
                == 0;
}

/* A delta of another document may cut a character in two. */
static bool
is_utf8 (struct eg_str text)
{
  json_t *value = json_stringn (text.data ? text.data : "", text.len);

  json_decref (value);
  return value != NULL;
}

static bool
write_text (const struct eg_rule_document *before,
            const struct reading *reading,
            struct eg_buffer *text)
{
  struct eg_str old = eg_buffer_view (&before->text);

  if (reading->start < 0 || reading->end < 0
      || (uint64_t) reading->start + (uint64_t) reading->end > old.len)
    return false;
  eg_buffer_append (text, (struct eg_str){old.data, (size_t) reading->start});
  eg_buffer_append (text,
                    (struct eg_str){reading->middle, reading->middle_len});
  eg_buffer_append (text, (struct eg_str){old.data + old.len - reading->end,
                                          (size_t) reading->end});
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
  struct reading reading;
  enum eg_status status = EG_INVALID;

  eg_rule_document_init (&after);
  if (!read_delta (object, &reading) || !write_text (before, &reading, &text))
    goto out;
  eg_rule_document_copy (&after, before);
  eg_rule_document_edit (&after, strtoull (reading.id, NULL, 16),
                         eg_str_from (reading.who), reading.wall_ms,
                         eg_buffer_view (&text));
  /* The hash shows whether both sides began from the same document. */
  if (hash_of (&after) != strtoull (reading.hash, NULL, 16))
    goto out;
  eg_rule_document_encode (&after, json);
  status = EG_OK;
out:
  eg_rule_document_finish (&after);
  eg_buffer_finish (&text);
  json_decref (object);
  return status;
}
