#include "policy/outcome.h"

#define NEW EG_OUTCOME_NEW
#define READY EG_OUTCOME_READY
#define HANDED EG_OUTCOME_DISPATCHED
#define LEFT EG_OUTCOME_SENT
#define DOUBT EG_OUTCOME_UNCERTAIN
#define RETRIED EG_OUTCOME_RETRYING
#define RAN EG_OUTCOME_RAN
#define NEVER EG_OUTCOME_NOT_RUN
#define CLOSED EG_OUTCOME_CLOSED

/* Columns follow enum eg_outcome_event: held, foreign, foreign ran, other
 * body, handed, bytes, not sent, not run, lost, ran, close. */
static const unsigned char
    transitions[EG_OUTCOME_STATE_COUNT][EG_OUTCOME_EVENT_COUNT] = {
        [NEW] = {READY, CLOSED, RAN, NEVER, DOUBT, DOUBT, NEW, NEW, DOUBT, RAN,
                 CLOSED},
        [READY] = {READY, CLOSED, RAN, CLOSED, HANDED, DOUBT, READY, READY,
                   DOUBT, RAN, CLOSED},
        [HANDED] = {HANDED, HANDED, RAN, HANDED, DOUBT, LEFT, READY, READY,
                    DOUBT, RAN, DOUBT},
        [LEFT] = {LEFT, LEFT, RAN, LEFT, DOUBT, LEFT, DOUBT, READY, DOUBT, RAN,
                  DOUBT},
        [DOUBT] = {DOUBT, DOUBT, RAN, DOUBT, RETRIED, DOUBT, DOUBT, DOUBT,
                   DOUBT, RAN, DOUBT},
        [RETRIED] = {RETRIED, RETRIED, RAN, RETRIED, RETRIED, RETRIED, DOUBT,
                     DOUBT, DOUBT, RAN, DOUBT},
        [RAN] = {RAN, RAN, RAN, RAN, RAN, RAN, RAN, RAN, RAN, RAN, RAN},
        [NEVER] = {NEVER, NEVER, CLOSED, NEVER, DOUBT, DOUBT, NEVER, NEVER,
                   DOUBT, RAN, NEVER},
        [CLOSED] = {CLOSED, CLOSED, RAN, CLOSED, DOUBT, DOUBT, CLOSED, CLOSED,
                    DOUBT, RAN, CLOSED},
};

static const enum eg_ran ran[EG_OUTCOME_STATE_COUNT] = {
    [NEW] = EG_RAN_UNKNOWN,    [READY] = EG_RAN_NO,
    [HANDED] = EG_RAN_UNKNOWN, [LEFT] = EG_RAN_UNKNOWN,
    [DOUBT] = EG_RAN_UNKNOWN,  [RETRIED] = EG_RAN_UNKNOWN,
    [RAN] = EG_RAN_YES,        [NEVER] = EG_RAN_NO,
    [CLOSED] = EG_RAN_UNKNOWN,
};

static const bool may_repeat[EG_OUTCOME_STATE_COUNT] = {
    [READY] = true,
    [DOUBT] = true,
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
                    ? NEVER
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
