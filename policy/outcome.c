#include "policy/outcome.h"

#define NEW EG_OUTCOME_NEW
#define READY EG_OUTCOME_READY
#define DISPATCHED EG_OUTCOME_DISPATCHED
#define SENT EG_OUTCOME_SENT
#define UNCERTAIN EG_OUTCOME_UNCERTAIN
#define RETRYING EG_OUTCOME_RETRYING
#define RAN EG_OUTCOME_RAN
#define NOT_RUN EG_OUTCOME_NOT_RUN
#define CLOSED EG_OUTCOME_CLOSED

/* Columns follow enum eg_outcome_event: claimed, claimed elsewhere, ran
 * elsewhere, body mismatch, dispatched, first byte, not sent, not run,
 * inconclusive, ran, close. */
static const unsigned char
    transitions[EG_OUTCOME_STATE_COUNT][EG_OUTCOME_EVENT_COUNT] = {
        [NEW] = {READY, CLOSED, RAN, NOT_RUN, UNCERTAIN, UNCERTAIN, NEW, NEW,
                 UNCERTAIN, RAN, CLOSED},
        [READY] = {READY, CLOSED, RAN, CLOSED, DISPATCHED, UNCERTAIN, READY,
                   READY, UNCERTAIN, RAN, CLOSED},
        [DISPATCHED] = {DISPATCHED, DISPATCHED, RAN, DISPATCHED, UNCERTAIN,
                        SENT, READY, READY, UNCERTAIN, RAN, UNCERTAIN},
        [SENT] = {SENT, SENT, RAN, SENT, UNCERTAIN, SENT, UNCERTAIN, READY,
                  UNCERTAIN, RAN, UNCERTAIN},
        [UNCERTAIN] = {UNCERTAIN, UNCERTAIN, RAN, UNCERTAIN, RETRYING,
                       UNCERTAIN, UNCERTAIN, UNCERTAIN, UNCERTAIN, RAN,
                       UNCERTAIN},
        [RETRYING] = {RETRYING, RETRYING, RAN, RETRYING, RETRYING, RETRYING,
                      UNCERTAIN, UNCERTAIN, UNCERTAIN, RAN, UNCERTAIN},
        [RAN] = {RAN, RAN, RAN, RAN, RAN, RAN, RAN, RAN, RAN, RAN, RAN},
        [NOT_RUN] = {NOT_RUN, NOT_RUN, CLOSED, NOT_RUN, UNCERTAIN, UNCERTAIN,
                     NOT_RUN, NOT_RUN, UNCERTAIN, RAN, NOT_RUN},
        [CLOSED] = {CLOSED, CLOSED, RAN, CLOSED, UNCERTAIN, UNCERTAIN, CLOSED,
                    CLOSED, UNCERTAIN, RAN, CLOSED},
};

static const enum eg_ran ran[EG_OUTCOME_STATE_COUNT] = {
    [NEW] = EG_RAN_UNKNOWN,
    [READY] = EG_RAN_NO,
    [DISPATCHED] = EG_RAN_UNKNOWN,
    [SENT] = EG_RAN_UNKNOWN,
    [UNCERTAIN] = EG_RAN_UNKNOWN,
    [RETRYING] = EG_RAN_UNKNOWN,
    [RAN] = EG_RAN_YES,
    [NOT_RUN] = EG_RAN_NO,
    [CLOSED] = EG_RAN_UNKNOWN,
};

static const bool may_repeat[EG_OUTCOME_STATE_COUNT] = {
    [READY] = true,
    [UNCERTAIN] = true,
    [RAN] = true,
};

/* Without a key or a ticket, no other submission can run the same request. */
static bool
is_single_submission (enum eg_outcome_kind kind)
{
  return kind == EG_OUTCOME_IDEMPOTENT || kind == EG_OUTCOME_NON_IDEMPOTENT;
}

void
eg_outcome_init (struct eg_outcome *self, enum eg_outcome_kind kind)
{
  bool single =
      kind == EG_OUTCOME_IDEMPOTENT || kind == EG_OUTCOME_NON_IDEMPOTENT;

  self->kind = kind;
  self->state = single ? READY : NEW;
}

void
eg_outcome_update (struct eg_outcome *self, enum eg_outcome_event event)
{
  bool closes_unsent = event == EG_OUTCOME_EVENT_CLOSE && self->state == READY
                       && is_single_submission (self->kind);

  self->state = closes_unsent
                    ? NOT_RUN
                    : (enum eg_outcome_state) transitions[self->state][event];
}

enum eg_ran
eg_outcome_ran (const struct eg_outcome *self)
{
  return ran[self->state];
}

bool
eg_outcome_may_send (const struct eg_outcome *self)
{
  if (self->kind == EG_OUTCOME_IDEMPOTENT)
    return may_repeat[self->state];
  return self->state == READY;
}
