#include "router/sweeper.h"

#include "base/clock.h"
#include "http/json.h"

#define STORE_TIMEOUT_US (2 * EG_US_PER_S)
/* Tag of all operations of the sweeper, which has at most one in progress. */
#define TAG_SWEEPER (UINT64_C (1) << 62)

void
eg_sweeper_init (struct eg_sweeper *self,
                 struct eg_platform_worker *platform,
                 uint64_t seed)
{
  self->platform = platform;
  eg_random_init (&self->random, seed);
  eg_claim_sweeper_init (&self->claims, EG_CLAIM_LIFETIME_US);
}

static enum eg_platform_call
platform_call (const struct eg_claim_sweeper_action *action)
{
  switch (action->type)
    {
    case EG_CLAIM_SWEEPER_WRITE_TICKS:
      return action->version > 0 ? EG_PLATFORM_UPDATE : EG_PLATFORM_CREATE;
    case EG_CLAIM_SWEEPER_LIST:
      return EG_PLATFORM_WATCH;
    case EG_CLAIM_SWEEPER_DELETE:
      return EG_PLATFORM_DELETE;
    default:
      return EG_PLATFORM_GET;
    }
}

static void
fill_command (const struct eg_claim_sweeper_action *action,
              struct eg_platform_command *command)
{
  bool ticks = action->type == EG_CLAIM_SWEEPER_READ_TICKS
               || action->type == EG_CLAIM_SWEEPER_WRITE_TICKS;

  eg_str_copy (ticks ? EG_STR (EG_CLAIM_TICKS_KEY) : eg_str_from (action->key),
               command->key, sizeof command->key);
  if (action->type == EG_CLAIM_SWEEPER_WRITE_TICKS)
    eg_claim_ticks_encode (&action->ticks, &command->value);
  /* A listing is a watch from version 0 that does not wait. */
  if (action->type != EG_CLAIM_SWEEPER_LIST)
    {
      command->version = action->version;
      command->timeout_us = STORE_TIMEOUT_US;
    }
}

static void
apply (struct eg_sweeper *self,
       struct eg_claim_sweeper_action *action,
       int64_t now_us)
{
  struct eg_platform_command *command;

  while (action->type != EG_CLAIM_SWEEPER_WAIT)
    {
      command = eg_platform_command_new (platform_call (action), TAG_SWEEPER);
      fill_command (action, command);
      if (eg_platform_worker_push (self->platform, command))
        return;
      eg_platform_command_free (command);
      eg_claim_sweeper_done (&self->claims, false, now_us, &self->random,
                             action);
    }
}

void
eg_sweeper_tick (struct eg_sweeper *self, int64_t now_us)
{
  struct eg_claim_sweeper_action action;

  if (now_us < eg_claim_sweeper_wake_us (&self->claims))
    return;
  eg_claim_sweeper_wake (&self->claims, now_us, &action);
  apply (self, &action, now_us);
}

static void
apply_ticks (struct eg_sweeper *self,
             const struct eg_platform_reply *reply,
             int64_t now_us,
             struct eg_claim_sweeper_action *action)
{
  struct eg_claim_ticks ticks = {0};
  bool missing = reply->status == EG_NOT_FOUND;

  if (missing
      || (reply->status == EG_OK
          && eg_claim_ticks_decode (&ticks, eg_buffer_view (&reply->value),
                                    NULL)
                 == EG_OK))
    eg_claim_sweeper_ticks_read (&self->claims, missing ? 0 : reply->version,
                                 &ticks, now_us, &self->random, action);
  else
    eg_claim_sweeper_done (&self->claims, false, now_us, &self->random, action);
}

static void
apply_listing (struct eg_sweeper *self, const struct eg_platform_reply *reply)
{
  json_t *object = eg_json_parse (eg_buffer_view (&reply->value), NULL);
  json_t *change;
  size_t index;

  json_array_foreach (json_object_get (object, "changes"), index, change)
  {
    const char *key = json_string_value (json_object_get (change, "key"));
    json_int_t version =
        json_integer_value (json_object_get (change, "version"));

    if (key && !json_is_null (json_object_get (change, "value")))
      eg_claim_sweeper_listed (&self->claims, eg_str_from (key),
                               (uint64_t) version);
  }
  json_decref (object);
}

bool
eg_sweeper_reply (struct eg_sweeper *self,
                  const struct eg_platform_reply *reply,
                  int64_t now_us)
{
  bool ok = reply->status == EG_OK;
  struct eg_claim_sweeper_action action;

  if (reply->tag != TAG_SWEEPER)
    return false;
  if (reply->call == EG_PLATFORM_GET)
    apply_ticks (self, reply, now_us, &action);
  else
    {
      if (reply->call == EG_PLATFORM_WATCH && ok)
        apply_listing (self, reply);
      if (reply->call == EG_PLATFORM_DELETE)
        ok = ok || reply->status == EG_CONFLICT;
      eg_claim_sweeper_done (&self->claims, ok, now_us, &self->random, &action);
    }
  apply (self, &action, now_us);
  return true;
}
