#include "policy/claim_sweeper.h"

void
eg_claim_sweeper_init (struct eg_claim_sweeper *self, int64_t lifetime_us)
{
  *self = (struct eg_claim_sweeper){.entry_vms = 1};
  eg_claim_expiry_init (&self->sweep, lifetime_us);
}

void
eg_claim_sweeper_set_entry_vms (struct eg_claim_sweeper *self,
                                uint32_t entry_vms)
{
  self->entry_vms = entry_vms > 0 ? entry_vms : 1;
}

int64_t
eg_claim_sweeper_wake_us (const struct eg_claim_sweeper *self)
{
  return self->outstanding == EG_CLAIM_SWEEPER_WAIT ? self->wake_us : INT64_MAX;
}

static void
ask (struct eg_claim_sweeper *self,
     struct eg_claim_sweeper_action *action,
     enum eg_claim_sweeper_action_type type)
{
  self->outstanding = type;
  *action = (struct eg_claim_sweeper_action){.type = type};
}

/* Half to one and a half times the pace, so that entry VMs do not fall into
 * step. */
static void
end_round (struct eg_claim_sweeper *self,
           int64_t now_us,
           struct eg_random *random,
           struct eg_claim_sweeper_action *action)
{
  int64_t pace_us =
      self->sweep.period_us / EG_CLAIM_BUCKETS * self->entry_vms + 1;

  self->delete_count = 0;
  self->wake_us = now_us + pace_us / 2
                  + (int64_t) eg_random_below (random, (uint64_t) pace_us + 1);
  ask (self, action, EG_CLAIM_SWEEPER_WAIT);
}

static void
list_bucket (struct eg_claim_sweeper *self,
             struct eg_random *random,
             struct eg_claim_sweeper_action *action)
{
  struct eg_buffer prefix = {0};

  eg_claim_bucket_prefix (
      &prefix, (unsigned) eg_random_below (random, EG_CLAIM_BUCKETS));
  ask (self, action, EG_CLAIM_SWEEPER_LIST);
  eg_str_copy (eg_buffer_view (&prefix), action->key, sizeof action->key);
  eg_buffer_finish (&prefix);
}

static void
delete_next (struct eg_claim_sweeper *self,
             int64_t now_us,
             struct eg_random *random,
             struct eg_claim_sweeper_action *action)
{
  const struct eg_claim_sweeper_delete *next;

  if (self->delete_count == 0)
    {
      end_round (self, now_us, random, action);
      return;
    }
  self->delete_count--;
  next = &self->deletes[self->delete_count];
  ask (self, action, EG_CLAIM_SWEEPER_DELETE);
  action->version = next->version;
  eg_str_copy (eg_str_from (next->key), action->key, sizeof action->key);
}

void
eg_claim_sweeper_wake (struct eg_claim_sweeper *self,
                       int64_t now_us,
                       struct eg_claim_sweeper_action *action)
{
  if (now_us >= eg_claim_sweeper_wake_us (self))
    ask (self, action, EG_CLAIM_SWEEPER_READ_TICKS);
  else
    *action = (struct eg_claim_sweeper_action){0};
}

void
eg_claim_sweeper_ticks_read (struct eg_claim_sweeper *self,
                             uint64_t version,
                             const struct eg_claim_ticks *ticks,
                             int64_t now_us,
                             struct eg_random *random,
                             struct eg_claim_sweeper_action *action)
{
  struct eg_claim_ticks next;
  uint64_t expected;

  if (version != 0)
    eg_claim_expiry_observe (&self->sweep, version, ticks, now_us);
  if (eg_claim_expiry_next_tick (&self->sweep, now_us, &next, &expected))
    {
      ask (self, action, EG_CLAIM_SWEEPER_WRITE_TICKS);
      action->version = expected;
      action->ticks = next;
    }
  else
    list_bucket (self, random, action);
}

void
eg_claim_sweeper_listed (struct eg_claim_sweeper *self,
                         struct eg_str key,
                         uint64_t version)
{
  struct eg_claim_sweeper_delete *next = &self->deletes[self->delete_count];

  if (self->outstanding != EG_CLAIM_SWEEPER_LIST
      || self->delete_count == EG_CLAIM_SWEEPER_DELETES_MAX
      || !eg_claim_expiry_is_expired (&self->sweep, version)
      || !eg_str_starts_with (key, EG_STR (EG_CLAIM_PREFIX))
      || !eg_str_copy (key, next->key, sizeof next->key))
    return;
  next->version = version;
  self->delete_count++;
}

void
eg_claim_sweeper_done (struct eg_claim_sweeper *self,
                       bool ok,
                       int64_t now_us,
                       struct eg_random *random,
                       struct eg_claim_sweeper_action *action)
{
  if (self->outstanding == EG_CLAIM_SWEEPER_WRITE_TICKS && ok)
    list_bucket (self, random, action);
  else if (ok
           && (self->outstanding == EG_CLAIM_SWEEPER_LIST
               || self->outstanding == EG_CLAIM_SWEEPER_DELETE))
    delete_next (self, now_us, random, action);
  else
    end_round (self, now_us, random, action);
}
