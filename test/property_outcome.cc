/* Sequences of events on policy/outcome, against a plain account of what left
 * the entry VM. */
#include <cstdlib>

#include <rapidcheck.h>

#include "policy/outcome.h"

namespace
{

/* What really happened to one request. */
struct account
{
  bool doubt =
      false; /* An attempt may have run, with no word that it did not. */
  bool open = false;    /* An attempt is with the sending thread. */
  bool left = false;    /* Its first byte may have left. */
  bool known = false;   /* No earlier sending can have run it. */
  bool refused = false; /* The caller was answered. */

  void
  begin ()
  {
    doubt = doubt || open;
    open = true;
    left = false;
  }

  void
  end (bool unrun)
  {
    doubt = doubt || (!unrun && open);
    open = false;
    left = false;
  }

  void
  follow (eg_outcome_event event)
  {
    switch (event)
      {
      case EG_OUTCOME_EVENT_CLAIMED:
        known = known || !refused;
        break;
      case EG_OUTCOME_EVENT_DISPATCHED:
        begin ();
        break;
      case EG_OUTCOME_EVENT_FIRST_BYTE:
        doubt = doubt || !open;
        left = true;
        break;
      case EG_OUTCOME_EVENT_NOT_SENT:
        end (!left);
        break;
      case EG_OUTCOME_EVENT_NOT_RUN:
        end (true);
        break;
      case EG_OUTCOME_EVENT_INCONCLUSIVE:
      case EG_OUTCOME_EVENT_RAN:
        doubt = true;
        open = false;
        break;
      case EG_OUTCOME_EVENT_RAN_ELSEWHERE:
        doubt = true;
        break;
      case EG_OUTCOME_EVENT_CLOSE:
        refused = true;
        break;
      default:
        break;
      }
  }
};

void
play (eg_outcome_kind kind, const std::vector<int> &events, bool obedient)
{
  bool shared = kind == EG_OUTCOME_KEYED || kind == EG_OUTCOME_TICKETED;
  eg_outcome outcome;
  account truth;

  eg_outcome_init (&outcome, kind);
  for (int value : events)
    {
      const auto event = (eg_outcome_event) value;
      bool hands = event == EG_OUTCOME_EVENT_DISPATCHED;

      if (obedient && hands && !eg_outcome_may_send (&outcome))
        continue;
      if (hands && kind != EG_OUTCOME_IDEMPOTENT
          && eg_outcome_may_send (&outcome))
        RC_ASSERT (!truth.doubt && !truth.open && (truth.known || !shared));
      eg_outcome_update (&outcome, event);
      truth.follow (event);
      if (truth.doubt || truth.open)
        RC_ASSERT (eg_outcome_ran (&outcome) != EG_RAN_NO);
      if (shared && !truth.known && outcome.state != EG_OUTCOME_NOT_RUN)
        RC_ASSERT (eg_outcome_ran (&outcome) != EG_RAN_NO);
      if (truth.refused && kind != EG_OUTCOME_IDEMPOTENT)
        RC_ASSERT (!eg_outcome_may_send (&outcome) || !truth.doubt);
    }
}

void
check_kind (bool obedient)
{
  const auto kind = *rc::gen::inRange (0, (int) EG_OUTCOME_KIND_COUNT);
  const auto events = *rc::gen::container<std::vector<int> > (
      24, rc::gen::inRange (0, (int) EG_OUTCOME_EVENT_COUNT));

  play ((eg_outcome_kind) kind, events, obedient);
}

/* Idempotent work may be repeated once something was sent or ran. */
bool
allows_repeat (int kind, int event)
{
  return kind == EG_OUTCOME_IDEMPOTENT
         && (event == EG_OUTCOME_EVENT_DISPATCHED
             || event == EG_OUTCOME_EVENT_FIRST_BYTE
             || event == EG_OUTCOME_EVENT_INCONCLUSIVE
             || event == EG_OUTCOME_EVENT_RAN);
}

/* A refusal that said no stays true: nothing may be sent after it. */
void
check_refused ()
{
  const auto kind = *rc::gen::inRange (0, (int) EG_OUTCOME_KIND_COUNT);
  const auto events = *rc::gen::container<std::vector<int> > (
      12, rc::gen::inRange (0, (int) EG_OUTCOME_EVENT_COUNT));
  eg_outcome outcome;

  eg_outcome_init (&outcome, (eg_outcome_kind) kind);
  for (int event : events)
    eg_outcome_update (&outcome, (eg_outcome_event) event);
  bool no = eg_outcome_ran (&outcome) == EG_RAN_NO;

  eg_outcome_update (&outcome, EG_OUTCOME_EVENT_CLOSE);
  for (int event = 0; no && event < EG_OUTCOME_EVENT_COUNT; event++)
    {
      eg_outcome after = outcome;

      RC_ASSERT (!eg_outcome_may_send (&after));
      eg_outcome_update (&after, (eg_outcome_event) event);
      RC_ASSERT (!eg_outcome_may_send (&after) || allows_repeat (kind, event));
    }
}

} // namespace

int
main ()
{
  bool held = true;

  held &= rc::check ("no sequence gives `ran: no` after bytes may have left",
                     [] () {
                       for (int i = 0; i < 100; i++)
                         check_kind (false);
                     });
  held &=
      rc::check ("the same where attempts are only made when allowed", [] () {
        for (int i = 0; i < 100; i++)
          check_kind (true);
      });
  held &= rc::check ("nothing is sent after a refusal that said no", [] () {
    for (int i = 0; i < 20; i++)
      check_refused ();
  });
  return held ? EXIT_SUCCESS : EXIT_FAILURE;
}
