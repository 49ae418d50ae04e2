#include "policy/claim_expiry.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

void
eg_claim_expiry_init (struct eg_claim_expiry *self, int64_t lifetime_us)
{
  *self = (struct eg_claim_expiry){
      .period_us = lifetime_us / EG_CLAIM_LIFETIME_TICKS + 1,
  };
}

void
eg_claim_expiry_observe (struct eg_claim_expiry *self,
                         uint64_t version,
                         const struct eg_claim_ticks *ticks,
                         int64_t now_us)
{
  if (version <= self->version)
    return;
  self->version = version;
  self->ticks = *ticks;
  self->seen_us = now_us;
}

bool
eg_claim_expiry_next_tick (const struct eg_claim_expiry *self,
                           int64_t now_us,
                           struct eg_claim_ticks *ticks,
                           uint64_t *version)
{
  *version = self->version;
  *ticks = self->ticks;
  if (self->version == 0)
    return true;
  if (now_us < self->seen_us + self->period_us)
    return false;
  if (ticks->count == EG_CLAIM_LIFETIME_TICKS)
    {
      ticks->count--;
      memmove (ticks->versions, ticks->versions + 1,
               ticks->count * sizeof ticks->versions[0]);
    }
  ticks->versions[ticks->count] = self->version;
  ticks->count++;
  return true;
}

bool
eg_claim_expiry_is_expired (const struct eg_claim_expiry *self,
                            uint64_t version)
{
  return self->ticks.count == EG_CLAIM_LIFETIME_TICKS
         && version <= self->ticks.versions[0];
}

void
eg_claim_ticks_encode (const struct eg_claim_ticks *self,
                       struct eg_buffer *target)
{
  eg_buffer_append (target, EG_STR ("{\"versions\":["));
  for (size_t i = 0; i < self->count; i++)
    eg_buffer_printf (target, "%s%" PRIu64, i ? "," : "", self->versions[i]);
  eg_buffer_append (target, EG_STR ("]}"));
}

enum eg_status
eg_claim_ticks_decode (struct eg_claim_ticks *self,
                       struct eg_str json,
                       struct eg_error *error)
{
  json_error_t problem;
  json_t *object = json_loadb (json.data, json.len, 0, &problem);
  const json_t *versions = json_object_get (object, "versions");
  bool valid = json_is_array (versions)
               && json_array_size (versions) <= EG_CLAIM_LIFETIME_TICKS;

  *self = (struct eg_claim_ticks){0};
  for (size_t i = 0; valid && i < json_array_size (versions); i++)
    {
      const json_t *item = json_array_get (versions, i);

      valid =
          json_is_integer (item)
          && (i == 0
              || (uint64_t) json_integer_value (item) > self->versions[i - 1]);
      self->versions[i] = (uint64_t) json_integer_value (item);
      self->count = i + 1;
    }
  json_decref (object);
  if (valid)
    return EG_OK;
  *self = (struct eg_claim_ticks){0};
  return eg_error_set (error, EG_INVALID,
                       "claim ticks: not a rising list of versions");
}
