#include "policy/rule_edit.h"

#include <string.h>

#include "base/clock.h"

#define BACKOFF_MIN_US (20 * EG_US_PER_MS)
#define BACKOFF_MAX_US (500 * EG_US_PER_MS)

void
eg_rule_edit_init (struct eg_rule_edit *self,
                   const struct eg_rule_edit_request *request,
                   const struct eg_rule_document *current)
{
  memset (self, 0, sizeof *self);
  self->id = request->id;
  self->base_version = request->base_version;
  self->deadline_us = request->deadline_us;
  self->backoff_us = BACKOFF_MIN_US;
  self->retry_us = INT64_MAX;
  if (current)
    eg_rule_document_copy (&self->document, current);
  eg_rule_document_edit (&self->document, request->id, request->who,
                         request->wall_ms, request->text);
}

void
eg_rule_edit_finish (struct eg_rule_edit *self)
{
  eg_rule_document_finish (&self->document);
}

static enum eg_rule_edit_action
end (struct eg_rule_edit *self, enum eg_rule_edit_action action)
{
  self->ended = true;
  self->retry_us = INT64_MAX;
  return action;
}

static enum eg_rule_edit_action
ask (struct eg_rule_edit *self, enum eg_rule_edit_action action)
{
  self->asked = true;
  self->writing = action == EG_RULE_EDIT_WRITE;
  self->retry_us = INT64_MAX;
  return action;
}

static enum eg_rule_edit_action
back_off (struct eg_rule_edit *self, int64_t now_us, struct eg_random *random)
{
  uint64_t jitter = eg_random_below (random, (uint64_t) self->backoff_us);

  self->retry_us = now_us + self->backoff_us / 2 + (int64_t) jitter / 2;
  self->backoff_us *= 2;
  if (self->backoff_us > BACKOFF_MAX_US)
    self->backoff_us = BACKOFF_MAX_US;
  return EG_RULE_EDIT_WAIT;
}

/* The object as it stands decides: our edit is in it, another came first, or
   neither did, and then the same conditional write may go again: if an
   earlier one of ours still arrives, only one of the two can take effect. */
static enum eg_rule_edit_action
settle (struct eg_rule_edit *self,
        uint64_t version,
        const struct eg_rule_document *found,
        int64_t now_us,
        struct eg_random *random)
{
  if (found && eg_rule_document_find (found, self->id))
    {
      self->version = version;
      return end (self, EG_RULE_EDIT_ACCEPTED);
    }
  /* A read from a replica that lags behind says nothing. */
  if (version < self->base_version)
    return back_off (self, now_us, random);
  if (version != self->base_version)
    {
      self->version = version;
      return end (self, EG_RULE_EDIT_STALE);
    }
  return ask (self, EG_RULE_EDIT_WRITE);
}

static enum eg_rule_edit_action
pass_time (struct eg_rule_edit *self, int64_t now_us)
{
  if (now_us >= self->deadline_us)
    return end (self, self->may_stand || self->writing ? EG_RULE_EDIT_UNKNOWN
                                                       : EG_RULE_EDIT_REFUSED);
  if (self->asked || now_us < self->retry_us)
    return EG_RULE_EDIT_WAIT;
  return ask (self, self->may_stand ? EG_RULE_EDIT_READ : EG_RULE_EDIT_WRITE);
}

enum eg_rule_edit_action
eg_rule_edit_update (struct eg_rule_edit *self,
                     enum eg_rule_edit_event event,
                     uint64_t version,
                     const struct eg_rule_document *found,
                     int64_t now_us,
                     struct eg_random *random)
{
  if (self->ended)
    return EG_RULE_EDIT_WAIT;
  if (event != EG_RULE_EDIT_TIME)
    {
      self->asked = false;
      self->writing = false;
    }
  switch (event)
    {
    case EG_RULE_EDIT_START:
      return ask (self, EG_RULE_EDIT_WRITE);
    case EG_RULE_EDIT_WRITTEN:
      self->version = version;
      return end (self, EG_RULE_EDIT_ACCEPTED);
    case EG_RULE_EDIT_CONFLICT:
      return ask (self, EG_RULE_EDIT_READ);
    case EG_RULE_EDIT_FOUND:
      return settle (self, version, found, now_us, random);
    case EG_RULE_EDIT_MISSING:
      return settle (self, 0, NULL, now_us, random);
    case EG_RULE_EDIT_UNAVAILABLE:
      return back_off (self, now_us, random);
    case EG_RULE_EDIT_NO_REPLY:
      self->may_stand = true;
      return back_off (self, now_us, random);
    case EG_RULE_EDIT_TIME:
      return pass_time (self, now_us);
    }
  return EG_RULE_EDIT_WAIT;
}

int64_t
eg_rule_edit_wake_us (const struct eg_rule_edit *self)
{
  return self->retry_us < self->deadline_us ? self->retry_us
                                            : self->deadline_us;
}
