#include "policy/claim.h"

#include "base/status.h"

/* Arguments that every event handler takes besides the claim. */
struct step
{
  const struct eg_claim_event *event;
  int64_t now_us;
  struct eg_random *random;
  struct eg_claim_actions *actions;
};

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static struct eg_claim_action *
add_action (struct step *step, enum eg_claim_action_type type)
{
  struct eg_claim_actions *actions = step->actions;
  struct eg_claim_action *action = &actions->items[actions->count];

  EG_INVARIANT (actions->count < EG_CLAIM_ACTIONS_MAX);
  actions->count++;
  *action = (struct eg_claim_action){.type = type};
  return action;
}

static struct eg_claim_action *
begin_operation (struct eg_claim *self,
                 struct step *step,
                 enum eg_claim_action_type type)
{
  struct eg_claim_action *action = add_action (step, type);

  self->operations++;
  self->operation = self->operations;
  self->operation_phase = self->phase;
  self->retry_us = EG_CLAIM_NO_WAKE;
  action->operation = self->operation;
  return action;
}

static void
read_object (struct eg_claim *self, struct step *step)
{
  begin_operation (self, step, EG_CLAIM_ACTION_GET);
}

static void
write_object (struct eg_claim *self, struct step *step)
{
  bool match = self->version != 0;
  struct eg_claim_action *action = begin_operation (
      self, step, match ? EG_CLAIM_ACTION_PUT_MATCH : EG_CLAIM_ACTION_PUT_NEW);

  action->version = self->version;
  action->record = &self->record;
  if (self->phase == EG_CLAIM_PHASE_ACQUIRING)
    {
      self->held_by_other = false;
      self->replaced_version = self->version;
    }
}

static void
write_at_version (struct eg_claim *self, struct step *step, uint64_t version)
{
  self->writable = true;
  self->version = version;
  write_object (self, step);
}

static void
close_claim (struct eg_claim *self)
{
  self->phase = EG_CLAIM_PHASE_CLOSED;
  self->retry_us = EG_CLAIM_NO_WAKE;
}

static void
back_off (struct eg_claim *self, struct step *step)
{
  int64_t ceiling = self->backoff_us;
  int64_t jitter =
      (int64_t) eg_random_below (step->random, (uint64_t) (ceiling / 2) + 1);

  self->retry_us = step->now_us + ceiling - jitter;
  self->backoff_us = earlier (ceiling * 2, self->config->backoff_max_us);
}

/* Begins the next operation of the phase unless one is outstanding. */
static void
begin_next_operation (struct eg_claim *self, struct step *step)
{
  if (self->operation != 0)
    return;
  if (self->writable)
    write_object (self, step);
  else
    read_object (self, step);
}

static void
begin_background (struct eg_claim *self,
                  struct step *step,
                  enum eg_claim_phase phase)
{
  self->phase = phase;
  self->backoff_us = self->config->backoff_min_us;
  self->give_up_us = step->now_us + self->config->background_max_us;
  begin_next_operation (self, step);
}

/* The client is refused before the release is written: until then no other
 * submission can have run the request, so a refusal that says "not run" is
 * true. */
static void
refuse (struct eg_claim *self, struct step *step, enum eg_refusal refusal)
{
  struct eg_claim_action *action = add_action (step, EG_CLAIM_ACTION_REFUSE);
  bool final = refusal == EG_REFUSAL_KEY_REUSED;

  /* A claim this old may have expired, and another submission may have run. */
  if (step->now_us > self->stale_us)
    eg_outcome_update (self->outcome, EG_OUTCOME_EVENT_CLAIMED_ELSEWHERE);
  action->refusal = refusal;
  action->ran = eg_outcome_ran (self->outcome);
  action->retry_after_us = final ? 0 : self->config->retry_after_us;
  eg_outcome_update (self->outcome, EG_OUTCOME_EVENT_CLOSE);
}

/* Once another submission holds the claim, no delayed write of this one can
 * take effect any more, and there is nothing to release. */
static void
release (struct eg_claim *self, struct step *step)
{
  if (self->operations == 0 || self->held_by_other)
    {
      close_claim (self);
      return;
    }
  self->record.state = EG_CLAIM_RELEASED;
  begin_background (self, step, EG_CLAIM_PHASE_RELEASING);
}

static void
enter_held (struct eg_claim *self, struct step *step, uint64_t version)
{
  self->writable = true;
  self->version = version;
  eg_outcome_update (self->outcome, EG_OUTCOME_EVENT_CLAIMED);
  if (step->now_us >= self->dispatch_by_us)
    {
      refuse (self, step, EG_REFUSAL_DEADLINE);
      release (self, step);
      return;
    }
  self->phase = EG_CLAIM_PHASE_HELD;
  add_action (step, EG_CLAIM_ACTION_DISPATCH);
}

static void
on_start (struct eg_claim *self, struct step *step)
{
  if (self->phase == EG_CLAIM_PHASE_ACQUIRING && self->operations == 0)
    write_at_version (self, step, 0);
}

static void
on_written (struct eg_claim *self, struct step *step)
{
  if (self->phase == EG_CLAIM_PHASE_ACQUIRING)
    enter_held (self, step, step->event->version);
  else if (self->operation_phase == self->phase)
    close_claim (self);
  else
    write_at_version (self, step, step->event->version);
}

static void
on_conflict (struct eg_claim *self, struct step *step)
{
  self->writable = false;
  read_object (self, step);
}

static void
on_no_reply (struct eg_claim *self, struct step *step)
{
  self->writable = false;
  back_off (self, step);
}

static void
on_missing (struct eg_claim *self, struct step *step)
{
  /* A finished claim only disappears at the end of its lifetime. */
  if (self->phase == EG_CLAIM_PHASE_FINISHING)
    close_claim (self);
  else
    write_at_version (self, step, 0);
}

static void
answer_from_record (struct eg_claim *self,
                    struct step *step,
                    const struct eg_claim_record *record)
{
  bool ran = record->ran == EG_RAN_YES;

  eg_outcome_update (self->outcome, ran ? EG_OUTCOME_EVENT_RAN_ELSEWHERE
                                        : EG_OUTCOME_EVENT_CLAIMED_ELSEWHERE);
  if (ran && record->answer.kept)
    add_action (step, EG_CLAIM_ACTION_ANSWER)->answer = record->answer;
  else
    {
      refuse (self, step, EG_REFUSAL_CLAIM_CONFLICT);
      step->actions->items[0].retry_after_us = 0;
    }
  close_claim (self);
}

static void
found_other_claim (struct eg_claim *self, struct step *step)
{
  const struct eg_claim_record *record = step->event->record;

  if (record->fingerprint != self->record.fingerprint)
    {
      eg_outcome_update (self->outcome, EG_OUTCOME_EVENT_BODY_MISMATCH);
      refuse (self, step, EG_REFUSAL_KEY_REUSED);
      close_claim (self);
    }
  else if (record->state == EG_CLAIM_FINISHED)
    answer_from_record (self, step, record);
  else if (record->state == EG_CLAIM_RELEASED)
    write_at_version (self, step, step->event->version);
  else
    {
      self->held_by_other = true;
      back_off (self, step);
    }
}

/* Another submission holds the claim, or the object is a released claim. A
 * released one that a delayed write of ours could still replace is written once
 * more, so that the delayed write fails on its condition. */
static void
found_other_claim_in_background (struct eg_claim *self, struct step *step)
{
  const struct eg_claim_event *event = step->event;
  bool replaceable = event->record->state == EG_CLAIM_RELEASED
                     && event->version == self->replaced_version;

  if (self->phase == EG_CLAIM_PHASE_RELEASING && replaceable)
    write_at_version (self, step, event->version);
  else
    close_claim (self);
}

static void
on_found (struct eg_claim *self, struct step *step)
{
  const struct eg_claim_event *event = step->event;
  bool own = eg_claim_nonce_equal (event->record->nonce, self->record.nonce);
  bool up_to_date = event->record->state == self->record.state;

  if (!own && self->phase == EG_CLAIM_PHASE_ACQUIRING)
    found_other_claim (self, step);
  else if (!own)
    found_other_claim_in_background (self, step);
  else if (self->phase == EG_CLAIM_PHASE_ACQUIRING)
    enter_held (self, step, event->version);
  else if (up_to_date)
    close_claim (self);
  else
    write_at_version (self, step, event->version);
}

static void
on_time (struct eg_claim *self, struct step *step)
{
  if (self->phase == EG_CLAIM_PHASE_ACQUIRING
      && step->now_us >= self->answer_by_us)
    {
      refuse (self, step,
              self->held_by_other ? EG_REFUSAL_CLAIM_CONFLICT
                                  : EG_REFUSAL_STORE_DOWN);
      release (self, step);
    }
  else if (step->now_us >= self->give_up_us)
    close_claim (self);
  else if (step->now_us >= self->retry_us)
    begin_next_operation (self, step);
}

static void
store_answer (struct eg_claim *self, const struct eg_claim_answer *answer)
{
  size_t type_len = answer->content_type.len;
  struct eg_claim_answer *stored = &self->record.answer;

  if (!answer->kept
      || type_len + answer->body.len > self->config->answer_bytes_max)
    return;
  eg_buffer_append (&self->answer, answer->content_type);
  eg_buffer_append (&self->answer, answer->body);
  stored->kept = true;
  stored->status = answer->status;
  stored->content_type = (struct eg_str){self->answer.data, type_len};
  stored->body = (struct eg_str){
      self->answer.data ? self->answer.data + type_len : NULL,
      answer->body.len,
  };
}

static void
finish_run (struct eg_claim *self, struct step *step, enum eg_ran ran)
{
  self->record.state = EG_CLAIM_FINISHED;
  self->record.ran = ran;
  begin_background (self, step, EG_CLAIM_PHASE_FINISHING);
}

static void
on_answered (struct eg_claim *self, struct step *step)
{
  if (self->phase != EG_CLAIM_PHASE_HELD)
    return;
  store_answer (self, &step->event->answer);
  finish_run (self, step, EG_RAN_YES);
}

static void
on_in_doubt (struct eg_claim *self, struct step *step)
{
  if (self->phase == EG_CLAIM_PHASE_HELD)
    finish_run (self, step, EG_RAN_UNKNOWN);
}

/* Only a request that was never sent, by its outcome, is released. One in doubt
 * is never released, whatever the owner of the claim asks for. */
static void
on_refuse (struct eg_claim *self, struct step *step)
{
  bool held = self->phase == EG_CLAIM_PHASE_HELD;
  bool unsent = eg_outcome_may_send (self->outcome);

  if (!held && self->phase != EG_CLAIM_PHASE_ACQUIRING)
    return;
  refuse (self, step, step->event->refusal);
  if (held && !unsent)
    finish_run (self, step, EG_RAN_UNKNOWN);
  else
    release (self, step);
}

typedef void handler (struct eg_claim *self, struct step *step);

static handler *const handlers[EG_CLAIM_EVENT_COUNT] = {
    [EG_CLAIM_EVENT_START] = on_start,
    [EG_CLAIM_EVENT_WRITTEN] = on_written,
    [EG_CLAIM_EVENT_CONFLICT] = on_conflict,
    [EG_CLAIM_EVENT_FOUND] = on_found,
    [EG_CLAIM_EVENT_MISSING] = on_missing,
    [EG_CLAIM_EVENT_NO_REPLY] = on_no_reply,
    [EG_CLAIM_EVENT_TIME] = on_time,
    [EG_CLAIM_EVENT_ANSWERED] = on_answered,
    [EG_CLAIM_EVENT_IN_DOUBT] = on_in_doubt,
    [EG_CLAIM_EVENT_REFUSE] = on_refuse,
};

static bool
is_reply (enum eg_claim_event_type type)
{
  return type >= EG_CLAIM_EVENT_WRITTEN && type <= EG_CLAIM_EVENT_NO_REPLY;
}

void
eg_claim_init (struct eg_claim *self,
               const struct eg_claim_config *config,
               struct eg_outcome *outcome,
               const struct eg_claim_start *start)
{
  int64_t stale_us = start->now_us + config->dispatch_max_us;

  *self = (struct eg_claim){
      .config = config,
      .outcome = outcome,
      .record = {.nonce = start->nonce,
                 .fingerprint = start->fingerprint,
                 .state = EG_CLAIM_CLAIMED,
                 .ran = EG_RAN_UNKNOWN,
                 .claimed_wall_us = start->claimed_wall_us},
      .phase = EG_CLAIM_PHASE_ACQUIRING,
      .dispatch_by_us = earlier (start->deadline_us, stale_us),
      .stale_us = stale_us,
      .answer_by_us =
          earlier (start->deadline_us, start->now_us + config->wait_max_us),
      .give_up_us = EG_CLAIM_NO_WAKE,
      .retry_us = EG_CLAIM_NO_WAKE,
      .backoff_us = config->backoff_min_us,
  };
}

void
eg_claim_finish (struct eg_claim *self)
{
  eg_buffer_finish (&self->answer);
}

void
eg_claim_update (struct eg_claim *self,
                 const struct eg_claim_event *event,
                 int64_t now_us,
                 struct eg_random *random,
                 struct eg_claim_actions *actions)
{
  struct step step = {event, now_us, random, actions};

  actions->count = 0;
  if (self->phase == EG_CLAIM_PHASE_CLOSED)
    return;
  if (is_reply (event->type))
    {
      if (event->operation != self->operation)
        return;
      self->operation = 0;
    }
  handlers[event->type](self, &step);
}

int64_t
eg_claim_wake_us (const struct eg_claim *self)
{
  if (self->phase == EG_CLAIM_PHASE_ACQUIRING)
    return earlier (self->retry_us, self->answer_by_us);
  if (self->phase == EG_CLAIM_PHASE_HELD
      || self->phase == EG_CLAIM_PHASE_CLOSED)
    return EG_CLAIM_NO_WAKE;
  return earlier (self->retry_us, self->give_up_us);
}

bool
eg_claim_may_send (const struct eg_claim *self, int64_t now_us)
{
  return self->phase == EG_CLAIM_PHASE_HELD && now_us < self->dispatch_by_us
         && eg_outcome_may_send (self->outcome);
}

int64_t
eg_claim_send_by_us (const struct eg_claim *self)
{
  return self->dispatch_by_us;
}

bool
eg_claim_is_closed (const struct eg_claim *self)
{
  return self->phase == EG_CLAIM_PHASE_CLOSED;
}
