/* Prints the table of policy/outcome as rows of Markdown. */
#include <stdio.h>
#include <stdlib.h>

#include "policy/outcome.h"

static const char *const state_names[EG_OUTCOME_STATE_COUNT] = {
    "new",     "ready", "handed", "left",   "doubt",
    "retried", "ran",   "never",  "closed",
};

static const char *const event_names[EG_OUTCOME_EVENT_COUNT] = {
    "held",     "foreign", "foreign ran", "other body", "handed", "bytes",
    "not sent", "not run", "lost",        "ran",        "close",
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
