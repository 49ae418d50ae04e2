/* Prints the state transition table of policy/outcome.h as a Markdown table. */
#include <stdio.h>
#include <stdlib.h>

#include "policy/outcome.h"

/* Names of states and events in the manual's copy of the table. */
static const char *const state_names[EG_OUTCOME_STATE_COUNT] = {
    [EG_OUTCOME_NEW] = "new",
    [EG_OUTCOME_READY] = "ready",
    [EG_OUTCOME_DISPATCHED] = "dispatched",
    [EG_OUTCOME_SENT] = "sent",
    [EG_OUTCOME_UNCERTAIN] = "uncertain",
    [EG_OUTCOME_RETRYING] = "retrying",
    [EG_OUTCOME_RAN] = "ran",
    [EG_OUTCOME_NOT_RUN] = "not run",
    [EG_OUTCOME_CLOSED] = "closed",
};

static const char *const event_names[EG_OUTCOME_EVENT_COUNT] = {
    [EG_OUTCOME_EVENT_CLAIMED] = "claimed",
    [EG_OUTCOME_EVENT_CLAIMED_ELSEWHERE] = "claimed elsewhere",
    [EG_OUTCOME_EVENT_RAN_ELSEWHERE] = "ran elsewhere",
    [EG_OUTCOME_EVENT_BODY_MISMATCH] = "body mismatch",
    [EG_OUTCOME_EVENT_DISPATCHED] = "dispatched",
    [EG_OUTCOME_EVENT_FIRST_BYTE] = "first byte",
    [EG_OUTCOME_EVENT_NOT_SENT] = "not sent",
    [EG_OUTCOME_EVENT_NOT_RUN] = "not run",
    [EG_OUTCOME_EVENT_INCONCLUSIVE] = "inconclusive",
    [EG_OUTCOME_EVENT_RAN] = "ran",
    [EG_OUTCOME_EVENT_CLOSE] = "close",
};

static void
print_state (enum eg_outcome_state state)
{
  struct eg_outcome before = {EG_OUTCOME_KEYED, state};
  struct eg_outcome idempotent = {EG_OUTCOME_IDEMPOTENT, state};

  printf ("| %s | %s | %s | %s |", state_names[state],
          eg_ran_name (eg_outcome_ran (&before)),
          eg_outcome_may_send (&before) ? "yes" : "no",
          eg_outcome_may_send (&idempotent) ? "yes" : "no");
  for (int event = 0; event < EG_OUTCOME_EVENT_COUNT; event++)
    {
      struct eg_outcome after = before;

      eg_outcome_update (&after, (enum eg_outcome_event) event);
      printf (" %s |", after.state == state ? "=" : state_names[after.state]);
    }
  printf ("\n");
}

int
main (void)
{
  printf ("| state | ran | may send | idempotent may send |");
  for (int event = 0; event < EG_OUTCOME_EVENT_COUNT; event++)
    printf (" %s |", event_names[event]);
  printf ("\n");
  for (int state = 0; state < EG_OUTCOME_STATE_COUNT; state++)
    print_state ((enum eg_outcome_state) state);
  return EXIT_SUCCESS;
}
