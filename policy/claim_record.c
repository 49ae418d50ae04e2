#include "policy/claim_record.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/hash.h"

#define HEX_BYTES 17

static const char *const mark_names[EG_CLAIM_STATE_COUNT] = {
    [EG_CLAIM_CLAIMED] = "claimed",
    [EG_CLAIM_FINISHED] = "finished",
    [EG_CLAIM_RELEASED] = "released",
};

bool
eg_claim_nonce_equal (struct eg_claim_nonce a, struct eg_claim_nonce b)
{
  return a.incarnation == b.incarnation && a.request == b.request;
}

uint64_t
eg_claim_fingerprint (struct eg_str method,
                      struct eg_str path,
                      struct eg_str body)
{
  uint64_t hash = EG_HASH_START;

  hash = eg_hash_add (hash, method);
  hash = eg_hash_add (hash, path);
  hash = eg_hash_add (hash, body);
  return eg_hash_mix (hash);
}

static void
append_escaped (struct eg_buffer *target, struct eg_str s)
{
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char byte = (unsigned char) s.data[i];
      bool plain =
          byte < 0x80 && (isalnum (byte) || byte == '-' || byte == '_');

      if (plain)
        eg_buffer_append (target, (struct eg_str){s.data + i, 1});
      else
        eg_buffer_printf (target, "~%02x", byte);
    }
}

void
eg_claim_bucket_prefix (struct eg_buffer *target, unsigned bucket)
{
  eg_buffer_printf (target, EG_CLAIM_PREFIX "%03x/", bucket);
}

bool
eg_claim_object_key (struct eg_buffer *target,
                     struct eg_str organisation,
                     struct eg_str key)
{
  uint64_t hash = eg_hash_add (eg_hash_add (EG_HASH_START, organisation), key);
  size_t before = target->len;

  eg_claim_bucket_prefix (target,
                          (unsigned) (eg_hash_mix (hash) % EG_CLAIM_BUCKETS));
  append_escaped (target, organisation);
  eg_buffer_append (target, EG_STR ("/"));
  append_escaped (target, key);
  if (target->len - before <= EG_CLAIM_OBJECT_KEY_MAX)
    return true;
  target->len = before;
  return false;
}

static json_t *
hex_value (uint64_t value)
{
  char text[HEX_BYTES];

  snprintf (text, sizeof text, "%016" PRIx64, value);
  return json_string (text);
}

/* Widens each byte to the code point of the same number, so that bytes which
 * are not UTF-8 fit a JSON string. */
static json_t *
widened_value (struct eg_str s)
{
  struct eg_buffer wide = {0};
  json_t *value;

  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char byte = (unsigned char) s.data[i];
      char pair[2] = {(char) (0xc0 | (byte >> 6)),
                      (char) (0x80 | (byte & 0x3f))};
      struct eg_str one = {s.data + i, 1};

      eg_buffer_append (&wide, byte < 0x80 ? one : (struct eg_str){pair, 2});
    }
  value = json_stringn (eg_buffer_text (&wide), wide.len);
  eg_buffer_finish (&wide);
  return value;
}

static void
set_bytes (json_t *object,
           const char *name,
           const char *widened_name,
           struct eg_str s)
{
  json_t *value = json_stringn (s.len ? s.data : "", s.len);

  if (value != NULL)
    json_object_set_new (object, name, value);
  else
    json_object_set_new (object, widened_name, widened_value (s));
}

static json_t *
answer_value (const struct eg_claim_answer *answer)
{
  json_t *object = json_object ();

  json_object_set_new (object, "status", json_integer (answer->status));
  set_bytes (object, "type", "type_bytes", answer->content_type);
  set_bytes (object, "body", "body_bytes", answer->body);
  return object;
}

void
eg_claim_record_encode (const struct eg_claim_record *self,
                        struct eg_buffer *target)
{
  json_t *object = json_object ();
  char *text;

  json_object_set_new (object, "incarnation",
                       hex_value (self->nonce.incarnation));
  json_object_set_new (object, "request", hex_value (self->nonce.request));
  json_object_set_new (object, "fingerprint", hex_value (self->fingerprint));
  json_object_set_new (object, "mark", json_string (mark_names[self->state]));
  json_object_set_new (object, "ran", json_string (eg_ran_name (self->ran)));
  json_object_set_new (object, "claimed_wall_us",
                       json_integer (self->claimed_wall_us));
  if (self->answer.kept)
    json_object_set_new (object, "answer", answer_value (&self->answer));
  text = json_dumps (object, JSON_COMPACT);
  EG_INVARIANT (text != NULL);
  eg_buffer_append (target, eg_str_from (text));
  free (text);
  json_decref (object);
}

static bool
get_hex (const json_t *object, const char *name, uint64_t *value)
{
  const char *text = json_string_value (json_object_get (object, name));
  char *end;

  if (text == NULL || !isxdigit ((unsigned char) text[0]))
    return false;
  *value = strtoull (text, &end, 16);
  return *end == '\0';
}

static bool
get_mark (const json_t *object, enum eg_claim_state *mark)
{
  const char *text = json_string_value (json_object_get (object, "mark"));

  for (int i = 0; text != NULL && i < EG_CLAIM_STATE_COUNT; i++)
    if (eg_str_equal (eg_str_from (text), eg_str_from (mark_names[i])))
      {
        *mark = (enum eg_claim_state) i;
        return true;
      }
  return false;
}

static bool
get_ran (const json_t *object, enum eg_ran *ran)
{
  const char *text = json_string_value (json_object_get (object, "ran"));

  for (int i = EG_RAN_NO; text != NULL && i <= EG_RAN_YES; i++)
    if (eg_str_equal (eg_str_from (text),
                      eg_str_from (eg_ran_name ((enum eg_ran) i))))
      {
        *ran = (enum eg_ran) i;
        return true;
      }
  return false;
}

static void
append_narrowed (struct eg_buffer *target, struct eg_str wide)
{
  for (size_t i = 0; i < wide.len; i++)
    {
      unsigned char byte = (unsigned char) wide.data[i];

      if (byte >= 0x80 && i + 1 < wide.len)
        {
          i++;
          byte = (unsigned char) ((byte << 6) | (wide.data[i] & 0x3f));
        }
      eg_buffer_append (target, (struct eg_str){(const char *) &byte, 1});
    }
}

static bool
get_bytes (const json_t *object,
           const char *name,
           const char *widened_name,
           struct eg_buffer *storage)
{
  const json_t *plain = json_object_get (object, name);
  const json_t *wide = json_object_get (object, widened_name);
  const json_t *value = plain != NULL ? plain : wide;
  struct eg_str s = {json_string_value (value), json_string_length (value)};

  if (!json_is_string (value))
    return false;
  if (plain != NULL)
    eg_buffer_append (storage, s);
  else
    append_narrowed (storage, s);
  return true;
}

static bool
get_answer (const json_t *object,
            struct eg_claim_answer *answer,
            struct eg_buffer *storage)
{
  const json_t *value = json_object_get (object, "answer");
  const json_t *status = json_object_get (value, "status");
  size_t type_len;

  if (value == NULL)
    return true;
  eg_buffer_clear (storage);
  if (!json_is_integer (status)
      || !get_bytes (value, "type", "type_bytes", storage))
    return false;
  type_len = storage->len;
  if (!get_bytes (value, "body", "body_bytes", storage))
    return false;
  eg_buffer_text (storage);
  answer->kept = true;
  answer->status = (int) json_integer_value (status);
  answer->content_type = (struct eg_str){storage->data, type_len};
  answer->body =
      (struct eg_str){storage->data + type_len, storage->len - type_len};
  return true;
}

enum eg_status
eg_claim_record_decode (struct eg_claim_record *self,
                        struct eg_str json,
                        struct eg_buffer *storage,
                        struct eg_error *error)
{
  enum eg_status status = EG_OK;
  json_error_t problem;
  json_t *object = json_loadb (json.data, json.len, JSON_ALLOW_NUL, &problem);

  *self = (struct eg_claim_record){0};
  if (object == NULL)
    return eg_error_set (error, EG_INVALID, "claim object: %s", problem.text);
  self->claimed_wall_us =
      json_integer_value (json_object_get (object, "claimed_wall_us"));
  if (!get_hex (object, "incarnation", &self->nonce.incarnation)
      || !get_hex (object, "request", &self->nonce.request)
      || !get_hex (object, "fingerprint", &self->fingerprint)
      || !get_mark (object, &self->state) || !get_ran (object, &self->ran)
      || !get_answer (object, &self->answer, storage))
    status = eg_error_set (error, EG_INVALID,
                           "claim object: a field is missing or malformed");
  json_decref (object);
  return status;
}
