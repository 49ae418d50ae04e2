#include "policy/lease.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/status.h"

void
eg_lease_init (struct eg_lease *self,
               const struct eg_lease_config *config,
               uint64_t incarnation,
               struct eg_str holder)
{
  *self = (struct eg_lease){.config = config};
  self->next.incarnation = incarnation;
  eg_str_copy (holder, self->next.holder, sizeof self->next.holder);
}

/* Extends the lease as counted from @p from_us, which must lie before the time
   at which the write took effect. */
static void
extend (struct eg_lease *self, int64_t from_us)
{
  int64_t until_us =
      from_us + self->config->duration_us - self->config->drift_us;

  if (until_us > self->valid_until_us && !self->releasing)
    self->valid_until_us = until_us;
}

static void
observe (struct eg_lease *self, uint64_t version, bool ours, int64_t now_us)
{
  if (!self->seen)
    self->watched_us = now_us;
  if (!self->seen || version != self->version)
    self->seen_us = now_us;
  self->seen = true;
  self->must_read = false;
  self->checked_us = now_us;
  self->version = version;
  self->ours = ours;
  self->confirmed_us = ours ? self->sent_us : 0;
  self->confirming = false;
  if (ours)
    return;
  self->valid_until_us = 0;
  self->releasing = false;
}

/* Returns whether a record says that nobody holds the lease. After a step back
 * of the store, the holder may act on until its time ends, and a delayed write
 * of an earlier one may take effect. */
static bool
is_release (const struct eg_lease *self,
            uint64_t version,
            const struct eg_lease_record *found,
            int64_t now_us)
{
  return found->released && self->seen && version != self->version
         && now_us - self->watched_us
                >= self->config->duration_us + self->config->pause_us;
}

static void
handle_found (struct eg_lease *self,
              uint64_t version,
              const struct eg_lease_record *found,
              int64_t now_us)
{
  bool ours = found->incarnation == self->next.incarnation
              && found->sequence > self->lost_sequence && !found->released;
  bool was_released = is_release (self, version, found, now_us);

  observe (self, version, ours, now_us);
  if (was_released)
    self->seen_us = now_us - self->config->duration_us - self->config->pause_us;
  /* A delayed earlier write of this process does not extend the lease, as its
     send time is no longer known; the lease is renewed at once instead. */
  if (ours && found->sequence == self->next.sequence)
    extend (self, self->written_us);
}

static void
handle_reply (struct eg_lease *self,
              enum eg_lease_event event,
              uint64_t version,
              const struct eg_lease_record *found,
              int64_t now_us)
{
  switch (event)
    {
    case EG_LEASE_FOUND:
      handle_found (self, version, found, now_us);
      return;
    case EG_LEASE_MISSING:
      observe (self, 0, false, now_us);
      return;
    case EG_LEASE_WRITTEN:
      observe (self, version, !self->next.released, now_us);
      if (self->ours)
        extend (self, self->sent_us);
      return;
    case EG_LEASE_CONFLICT:
      self->confirmed_us = 0;
      self->must_read = true;
      return;
    case EG_LEASE_NO_REPLY:
      self->must_read = true;
      return;
    case EG_LEASE_UNAVAILABLE:
    case EG_LEASE_TIME:
      return;
    }
}

/* Returns when the holder renews the lease, or a candidate may take it. */
static int64_t
write_due_us (const struct eg_lease *self)
{
  const struct eg_lease_config *config = self->config;

  if (!self->ours)
    return self->seen_us + config->duration_us + config->pause_us;
  return self->valid_until_us - config->duration_us + config->drift_us
         + config->renew_us;
}

static enum eg_lease_action
start_operation (struct eg_lease *self,
                 enum eg_lease_action action,
                 int64_t now_us)
{
  self->outstanding = action;
  self->outstanding_is_outdated = false;
  self->sent_us = now_us;
  self->wake_us = INT64_MAX;
  if (action == EG_LEASE_READ)
    return action;
  self->next.sequence++;
  self->next.released = self->releasing;
  self->written_us = now_us;
  return action;
}

/* A candidate reads before it writes: usually the holder has renewed the lease,
   and a read costs less than a write whose condition fails. */
static enum eg_lease_action
poll_holder (struct eg_lease *self, int64_t due_us, int64_t now_us)
{
  self->wake_us = self->checked_us + self->config->watch_us;
  if (self->wake_us > due_us)
    self->wake_us = due_us;
  return now_us < self->wake_us ? EG_LEASE_WAIT
                                : start_operation (self, EG_LEASE_READ, now_us);
}

static enum eg_lease_action
choose_action (struct eg_lease *self, int64_t now_us)
{
  int64_t due_us;

  if (!self->seen || self->must_read || self->confirming)
    return start_operation (self, EG_LEASE_READ, now_us);
  due_us = self->releasing ? now_us : write_due_us (self);
  if (!self->ours && self->checked_us < due_us)
    return poll_holder (self, due_us, now_us);
  self->wake_us = due_us;
  if (now_us < due_us)
    return EG_LEASE_WAIT;
  return start_operation (
      self, self->version > 0 ? EG_LEASE_UPDATE : EG_LEASE_CREATE, now_us);
}

enum eg_lease_action
eg_lease_update (struct eg_lease *self,
                 enum eg_lease_event event,
                 uint64_t version,
                 const struct eg_lease_record *found,
                 int64_t now_us,
                 struct eg_random *random)
{
  bool failed;

  /* Its condition may have held by chance: versions are given out again. */
  if (event == EG_LEASE_WRITTEN && self->outstanding_is_outdated)
    event = EG_LEASE_NO_REPLY;
  failed = event == EG_LEASE_UNAVAILABLE || event == EG_LEASE_NO_REPLY;
  if (event != EG_LEASE_TIME)
    {
      handle_reply (self, event, version, found, now_us);
      self->outstanding = EG_LEASE_WAIT;
    }
  else if (self->outstanding != EG_LEASE_WAIT
           || (now_us < self->wake_us && !self->confirming))
    return EG_LEASE_WAIT;
  if (!failed)
    return choose_action (self, now_us);
  self->confirming = false;
  self->wake_us =
      now_us + self->config->retry_us
      + (int64_t) eg_random_below (random, (uint64_t) self->config->retry_us);
  return EG_LEASE_WAIT;
}

static void
wake (struct eg_lease *self, int64_t now_us)
{
  if (self->outstanding == EG_LEASE_WAIT)
    self->wake_us = now_us;
}

void
eg_lease_store_restored (struct eg_lease *self, int64_t now_us)
{
  bool held = eg_lease_is_held (self, now_us);

  self->seen = false;
  self->must_read = true;
  self->confirmed_us = 0;
  if (!held)
    {
      self->ours = false;
      self->lost_sequence = self->next.sequence;
      self->outstanding_is_outdated = true;
    }
  wake (self, now_us);
}

void
eg_lease_release (struct eg_lease *self, int64_t now_us)
{
  if (!self->ours || self->releasing)
    return;
  self->releasing = true;
  self->valid_until_us = 0;
  wake (self, now_us);
}

bool
eg_lease_is_releasing (const struct eg_lease *self)
{
  return self->releasing;
}

void
eg_lease_look (struct eg_lease *self, int64_t now_us)
{
  self->confirming = true;
  wake (self, now_us);
}

void
eg_lease_confirm (struct eg_lease *self)
{
  self->confirming = true;
}

int64_t
eg_lease_wake_us (const struct eg_lease *self)
{
  return self->wake_us;
}

bool
eg_lease_is_held (const struct eg_lease *self, int64_t now_us)
{
  return now_us < self->valid_until_us;
}

int64_t
eg_lease_until_us (const struct eg_lease *self)
{
  return self->valid_until_us;
}

int64_t
eg_lease_confirmed_us (const struct eg_lease *self)
{
  return self->confirmed_us;
}

uint64_t
eg_lease_fencing (const struct eg_lease *self)
{
  return self->version;
}

void
eg_lease_record_encode (const struct eg_lease_record *self,
                        struct eg_buffer *json)
{
  json_t *holder = json_string (self->holder);
  char *text;

  EG_INVARIANT (holder != NULL);
  text = json_dumps (holder, JSON_ENCODE_ANY);
  EG_INVARIANT (text != NULL);
  /* Not every JSON parser supports integers of 64 bits. */
  eg_buffer_printf (json,
                    "{\"holder\":%s,\"incarnation\":\"%016" PRIx64
                    "\",\"sequence\":%" PRIu64 ",\"released\":%s}",
                    text, self->incarnation, self->sequence,
                    self->released ? "true" : "false");
  free (text);
  json_decref (holder);
}

bool
eg_lease_record_decode (struct eg_lease_record *self, struct eg_str json)
{
  json_t *object = json_loadb (json.data, json.len, 0, NULL);
  const char *holder = json_string_value (json_object_get (object, "holder"));
  const char *hex = json_string_value (json_object_get (object, "incarnation"));
  json_t *sequence = json_object_get (object, "sequence");
  bool valid = holder && hex && json_is_integer (sequence);

  if (valid)
    {
      self->incarnation = strtoull (hex, NULL, 16);
      self->sequence = (uint64_t) json_integer_value (sequence);
      self->released = json_is_true (json_object_get (object, "released"));
      valid =
          eg_str_copy (eg_str_from (holder), self->holder, sizeof self->holder);
    }
  json_decref (object);
  return valid;
}
