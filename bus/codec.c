#include "bus/codec.h"

#include <msgpack.h>
#include <string.h>

#include "bus/msgpack_lengths.h"

/* Protocol version, kind, sender, its incarnation, and the body. */
#define MESSAGE_FIELDS 5
#define SUBJECT_FIELDS 3
#define DIGEST_FIELDS 2
#define RUMOUR_FIELDS 7
#define SHARE_FIELDS 2
#define RULES_FIELDS 5
/* Larger values could overflow where an incarnation is incremented. */
#define NUMBER_MAX (UINT64_MAX / 4)
#define LOAD_ENTRY_BYTES 12

/* Encoding. */

static int
append_bytes (void *context, const char *data, size_t len)
{
  eg_buffer_append (context, (struct eg_str){data, len});
  return 0;
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  size_t len = strlen (text);

  msgpack_pack_str (packer, len);
  msgpack_pack_str_body (packer, text, len);
}

static void
pack_subject (msgpack_packer *packer, const struct eg_peer_message *message)
{
  msgpack_pack_array (packer, SUBJECT_FIELDS);
  msgpack_pack_uint64 (packer, message->subject);
  msgpack_pack_uint64 (packer, message->subject_incarnation);
  msgpack_pack_uint32 (packer, message->age_ms);
}

static void
pack_rumours (msgpack_packer *packer, const struct eg_peer_message *message)
{
  msgpack_pack_array (packer, message->count);
  for (size_t i = 0; i < message->count; i++)
    {
      const struct eg_rumour *rumour = &message->rumours[i];

      msgpack_pack_array (packer, RUMOUR_FIELDS);
      msgpack_pack_uint32 (packer, rumour->kind);
      msgpack_pack_uint32 (packer, rumour->state);
      msgpack_pack_uint64 (packer, rumour->subject);
      msgpack_pack_uint64 (packer, rumour->number);
      msgpack_pack_uint64 (packer, (uint64_t) rumour->expires_ms);
      pack_text (packer, rumour->address);
      pack_text (packer, rumour->failure_domain);
    }
}

static void
pack_digest (msgpack_packer *packer, const struct eg_peer_message *message)
{
  msgpack_pack_array (packer, DIGEST_FIELDS);
  if (message->reply)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
  msgpack_pack_bin (packer, sizeof message->buckets);
  for (size_t i = 0; i < EG_PEER_BUCKETS; i++)
    {
      uint32_t bucket = message->buckets[i];
      const uint8_t bytes[] = {(uint8_t) (bucket >> 24),
                               (uint8_t) (bucket >> 16),
                               (uint8_t) (bucket >> 8), (uint8_t) bucket};

      msgpack_pack_bin_body (packer, bytes, sizeof bytes);
    }
}

static void
pack_loads (msgpack_packer *packer, const struct eg_peer_message *message)
{
  msgpack_pack_bin (packer, message->count * LOAD_ENTRY_BYTES);
  for (size_t i = 0; i < message->count; i++)
    {
      const struct eg_load_entry *entry = &message->loads[i];
      const uint8_t bytes[LOAD_ENTRY_BYTES] = {(uint8_t) (entry->server >> 24),
                                               (uint8_t) (entry->server >> 16),
                                               (uint8_t) (entry->server >> 8),
                                               (uint8_t) entry->server,
                                               (uint8_t) (entry->running >> 8),
                                               (uint8_t) entry->running,
                                               entry->queued,
                                               entry->kv_free,
                                               entry->flags,
                                               entry->description,
                                               entry->range,
                                               entry->age};

      msgpack_pack_bin_body (packer, bytes, sizeof bytes);
    }
}

static void
pack_shares (msgpack_packer *packer, const struct eg_peer_message *message)
{
  msgpack_pack_array (packer, 1 + message->count);
  msgpack_pack_uint32 (packer, message->request_number);
  for (size_t i = 0; i < message->count; i++)
    {
      msgpack_pack_array (packer, SHARE_FIELDS);
      msgpack_pack_uint64 (packer, message->shares[i].organisation);
      msgpack_pack_uint32 (packer, message->shares[i].rate_milli);
    }
}

static void
pack_empty (msgpack_packer *packer, const struct eg_peer_message *message)
{
  (void) message;
  msgpack_pack_nil (packer);
}

/* Decoding. */

static bool
read_uint (const msgpack_object *object, uint64_t max, uint64_t *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return false;
  *value = object->via.u64;
  return true;
}

static bool
read_text (const msgpack_object *object, char *text, size_t capacity)
{
  const struct eg_str view = {object->via.str.ptr, object->via.str.size};

  return object->type == MSGPACK_OBJECT_STR
         && (view.len == 0 || !memchr (view.data, '\0', view.len))
         && eg_str_copy (view, text, capacity);
}

static void
pack_rules (msgpack_packer *packer, const struct eg_peer_message *message)
{
  const struct eg_rules_part *part = &message->rules;

  msgpack_pack_array (packer, RULES_FIELDS);
  msgpack_pack_uint64 (packer, part->base);
  msgpack_pack_uint64 (packer, part->version);
  msgpack_pack_uint32 (packer, part->total);
  msgpack_pack_uint32 (packer, part->offset);
  msgpack_pack_bin (packer, part->len);
  msgpack_pack_bin_body (packer, part->bytes, part->len);
}

static bool
is_array (const msgpack_object *object, size_t size)
{
  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == size;
}

static bool
read_subject (const msgpack_object *body, struct eg_peer_message *message)
{
  const msgpack_object *fields = body->via.array.ptr;
  uint64_t age_ms;

  if (!is_array (body, SUBJECT_FIELDS)
      || !read_uint (&fields[0], UINT64_MAX, &message->subject)
      || !read_uint (&fields[1], NUMBER_MAX, &message->subject_incarnation)
      || !read_uint (&fields[2], UINT32_MAX, &age_ms))
    return false;
  message->age_ms = (uint32_t) age_ms;
  return true;
}

static bool
read_rumour (const msgpack_object *object, struct eg_rumour *rumour)
{
  const msgpack_object *fields = object->via.array.ptr;
  uint64_t kind;
  uint64_t state;
  uint64_t expires_ms;

  if (!is_array (object, RUMOUR_FIELDS)
      || !read_uint (&fields[0], EG_RUMOUR_KINDS - 1, &kind)
      || !read_uint (&fields[1], EG_RUMOUR_STATE_MAX, &state)
      || !read_uint (&fields[2], UINT64_MAX, &rumour->subject)
      || !read_uint (&fields[3], NUMBER_MAX, &rumour->number)
      || !read_uint (&fields[4], NUMBER_MAX, &expires_ms)
      || !read_text (&fields[5], rumour->address, sizeof rumour->address)
      || !read_text (&fields[6], rumour->failure_domain,
                     sizeof rumour->failure_domain))
    return false;
  rumour->kind = (enum eg_rumour_kind) kind;
  rumour->state = (uint32_t) state;
  rumour->expires_ms = (int64_t) expires_ms;
  return state != 0;
}

static bool
read_rumours (const msgpack_object *body, struct eg_peer_message *message)
{
  if (body->type != MSGPACK_OBJECT_ARRAY
      || body->via.array.size > EG_PEER_RUMOURS_MAX)
    return false;
  message->count = body->via.array.size;
  for (size_t i = 0; i < message->count; i++)
    if (!read_rumour (&body->via.array.ptr[i], &message->rumours[i]))
      return false;
  return true;
}

static uint32_t
read_big_endian (const uint8_t *bytes)
{
  return (uint32_t) bytes[0] << 24 | (uint32_t) bytes[1] << 16
         | (uint32_t) bytes[2] << 8 | bytes[3];
}

static bool
read_digest (const msgpack_object *body, struct eg_peer_message *message)
{
  const msgpack_object *fields = body->via.array.ptr;

  if (!is_array (body, DIGEST_FIELDS)
      || fields[0].type != MSGPACK_OBJECT_BOOLEAN
      || fields[1].type != MSGPACK_OBJECT_BIN
      || fields[1].via.bin.size != sizeof message->buckets)
    return false;
  message->reply = fields[0].via.boolean;
  message->count = EG_PEER_BUCKETS;
  for (size_t i = 0; i < EG_PEER_BUCKETS; i++)
    message->buckets[i] =
        read_big_endian ((const uint8_t *) fields[1].via.bin.ptr + 4 * i);
  return true;
}

static bool
read_loads (const msgpack_object *body, struct eg_peer_message *message)
{
  if (body->type != MSGPACK_OBJECT_BIN
      || body->via.bin.size % LOAD_ENTRY_BYTES != 0
      || body->via.bin.size / LOAD_ENTRY_BYTES > EG_PEER_LOADS_MAX)
    return false;
  message->count = body->via.bin.size / LOAD_ENTRY_BYTES;
  for (size_t i = 0; i < message->count; i++)
    {
      const uint8_t *bytes =
          (const uint8_t *) body->via.bin.ptr + i * LOAD_ENTRY_BYTES;

      message->loads[i] = (struct eg_load_entry){
          .server = read_big_endian (bytes),
          .running = (uint16_t) (bytes[4] << 8 | bytes[5]),
          .queued = bytes[6],
          .kv_free = bytes[7],
          .flags = bytes[8],
          .description = bytes[9],
          .range = bytes[10],
          .age = bytes[11],
      };
      if (bytes[8] & ~EG_LOAD_FLAGS_ALL)
        return false;
    }
  return true;
}

static bool
read_share (const msgpack_object *object, struct eg_share_entry *share)
{
  const msgpack_object *fields = object->via.array.ptr;
  uint64_t rate_milli;

  if (!is_array (object, SHARE_FIELDS)
      || !read_uint (&fields[0], UINT64_MAX, &share->organisation)
      || !read_uint (&fields[1], UINT32_MAX, &rate_milli))
    return false;
  share->rate_milli = (uint32_t) rate_milli;
  return true;
}

static bool
read_shares (const msgpack_object *body, struct eg_peer_message *message)
{
  uint64_t request_number;

  if (body->type != MSGPACK_OBJECT_ARRAY || body->via.array.size < 1
      || body->via.array.size - 1 > EG_PEER_SHARES_MAX
      || !read_uint (&body->via.array.ptr[0], UINT32_MAX, &request_number))
    return false;
  message->request_number = (uint32_t) request_number;
  message->count = body->via.array.size - 1;
  for (size_t i = 0; i < message->count; i++)
    if (!read_share (&body->via.array.ptr[i + 1], &message->shares[i]))
      return false;
  return true;
}

static bool
read_empty (const msgpack_object *body, struct eg_peer_message *message)
{
  (void) message;
  return body->type == MSGPACK_OBJECT_NIL;
}

static bool
read_rules (const msgpack_object *body, struct eg_peer_message *message)
{
  const msgpack_object *fields = body->via.array.ptr;
  struct eg_rules_part *part = &message->rules;
  uint64_t total;
  uint64_t offset;

  if (!is_array (body, RULES_FIELDS)
      || !read_uint (&fields[0], NUMBER_MAX, &part->base)
      || !read_uint (&fields[1], NUMBER_MAX, &part->version)
      || !read_uint (&fields[2], EG_RULES_OBJECT_MAX, &total)
      || !read_uint (&fields[3], total, &offset)
      || fields[4].type != MSGPACK_OBJECT_BIN
      || fields[4].via.bin.size > EG_PEER_RULES_PART_BYTES_MAX
      || fields[4].via.bin.size > total - offset)
    return false;
  part->total = (uint32_t) total;
  part->offset = (uint32_t) offset;
  part->len = fields[4].via.bin.size;
  if (part->len > 0)
    memcpy (part->bytes, fields[4].via.bin.ptr, part->len);
  return true;
}

static const struct
{
  void (*pack) (msgpack_packer *packer, const struct eg_peer_message *message);
  bool (*read) (const msgpack_object *body, struct eg_peer_message *message);
} body_codecs[EG_PEER_KINDS] = {
    [EG_PEER_HEARTBEAT] = {pack_empty, read_empty},
    [EG_PEER_PROBE] = {pack_empty, read_empty},
    [EG_PEER_LIVENESS_QUERY] = {pack_subject, read_subject},
    [EG_PEER_LIVENESS_REPLY] = {pack_subject, read_subject},
    [EG_PEER_RUMOURS] = {pack_rumours, read_rumours},
    [EG_PEER_DIGEST] = {pack_digest, read_digest},
    [EG_PEER_LOADS] = {pack_loads, read_loads},
    [EG_PEER_SHARE_REQUEST] = {pack_shares, read_shares},
    [EG_PEER_SHARE_GRANT] = {pack_shares, read_shares},
    [EG_PEER_RULES_REQUEST] = {pack_rules, read_rules},
    [EG_PEER_RULES_PART] = {pack_rules, read_rules},
};

void
eg_bus_encode (const struct eg_peer_message *message, struct eg_buffer *bytes)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, bytes, append_bytes);
  msgpack_pack_array (&packer, MESSAGE_FIELDS);
  msgpack_pack_uint32 (&packer, EG_BUS_VERSION);
  msgpack_pack_uint32 (&packer, message->kind);
  msgpack_pack_uint64 (&packer, message->from);
  msgpack_pack_uint64 (&packer, message->incarnation);
  body_codecs[message->kind].pack (&packer, message);
}

static bool
read_message (const msgpack_object *object, struct eg_peer_message *message)
{
  const msgpack_object *fields = object->via.array.ptr;
  uint64_t version;
  uint64_t kind;

  if (!is_array (object, MESSAGE_FIELDS)
      || !read_uint (&fields[0], EG_BUS_VERSION, &version)
      || version != EG_BUS_VERSION
      || !read_uint (&fields[1], EG_PEER_KINDS - 1, &kind)
      || !read_uint (&fields[2], UINT64_MAX, &message->from)
      || !read_uint (&fields[3], NUMBER_MAX, &message->incarnation))
    return false;
  message->kind = (enum eg_peer_kind) kind;
  return body_codecs[kind].read (&fields[4], message);
}

enum eg_status
eg_bus_decode (struct eg_str bytes, struct eg_peer_message *message)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool valid;

  if (bytes.len == 0 || bytes.len > EG_BUS_MESSAGE_MAX
      || !eg_msgpack_lengths_valid (bytes))
    return EG_INVALID;
  memset (message, 0, sizeof *message);
  msgpack_unpacked_init (&unpacked);
  valid = msgpack_unpack_next (&unpacked, bytes.data, bytes.len, &offset)
              == MSGPACK_UNPACK_SUCCESS
          && offset == bytes.len && read_message (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  return valid ? EG_OK : EG_INVALID;
}
