#include "entry/suspect_codec.h"

#include "base/clock.h"

static json_t *
encode_age (int64_t at_us, int64_t now_us)
{
  return json_integer (at_us > 0 ? (now_us - at_us) / EG_US_PER_MS : -1);
}

static int64_t
decode_age (const json_t *age, int64_t now_us)
{
  json_int_t ms = json_integer_value (age);

  if (!json_is_integer (age) || ms < 0)
    return 0;
  /* The clock of a VM that has just booted does not reach back so far. */
  if (ms >= now_us / EG_US_PER_MS)
    return 1;
  return now_us - ms * EG_US_PER_MS;
}

json_t *
eg_suspect_encode (const struct eg_suspect *self, int64_t now_us)
{
  json_t *crashes = json_array ();

  for (unsigned i = 0; i < self->crash_count; i++)
    json_array_append_new (
        crashes, json_pack ("[I, o, b]", (json_int_t) self->crashes[i].server,
                            encode_age (self->crashes[i].at_us, now_us),
                            self->crashes[i].delivered));
  return json_pack ("[i, I, o, o, o, I, I]", (int) self->subject.kind,
                    (json_int_t) self->subject.id,
                    encode_age (self->served_us, now_us),
                    encode_age (self->blamed_us, now_us), crashes,
                    (json_int_t) self->place, (json_int_t) self->requests);
}

/* Older builds do not say where a part was found; that is then not known. */
static void
decode_uses (const json_t *document, struct eg_suspect *suspect)
{
  json_int_t place = json_integer_value (json_array_get (document, 5));

  if (place <= 0 || place > UINT32_MAX)
    return;
  suspect->place = (uint32_t) place;
  suspect->requests =
      (uint64_t) json_integer_value (json_array_get (document, 6));
}

bool
eg_suspect_decode (struct eg_suspect *self,
                   const json_t *document,
                   int64_t now_us)
{
  json_int_t kind = json_integer_value (json_array_get (document, 0));
  const json_t *id = json_array_get (document, 1);
  const json_t *crashes = json_array_get (document, 4);
  const json_t *crash;
  size_t index;

  *self = (struct eg_suspect){
      .subject = {(enum eg_subject_kind) kind,
                  (uint64_t) json_integer_value (id)},
      .served_us = decode_age (json_array_get (document, 2), now_us),
      .blamed_us = decode_age (json_array_get (document, 3), now_us)};
  if (kind < 0 || kind >= EG_SUBJECT_KINDS || !json_is_integer (id)
      || !json_is_array (crashes)
      || json_array_size (crashes) > EG_SUSPECT_CRASHES_MAX)
    return false;
  decode_uses (document, self);
  json_array_foreach (crashes, index, crash)
  {
    const json_t *server = json_array_get (crash, 0);
    int64_t at_us = decode_age (json_array_get (crash, 1), now_us);

    if (!json_is_integer (server) || at_us == 0)
      return false;
    self->crashes[self->crash_count++] =
        (struct eg_crash){(uint64_t) json_integer_value (server), at_us,
                          json_is_true (json_array_get (crash, 2))};
  }
  return true;
}
