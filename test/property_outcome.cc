/* Random sequences of events on policy/outcome, checked against a model of what
 * the entry VM has sent. */
#include <cstdlib>

#include <rapidcheck.h>

#include "policy/outcome.h"

namespace
{

/* What has actually happened to one request. */
struct model
{
  /* Some attempt may have run, and no server guaranteed that it did not. */
  bool may_have_run = false;
  bool open = false;      /* An attempt is with the sender thread. */
  bool sent = false;      /* Its first byte may have been sent. */
  bool exclusive = false; /* No earlier submission can have run it. */
  bool closed = false;    /* The client got a response. */

  void
  begin ()
  {
    may_have_run = may_have_run || open;
    open = true;
    sent = false;
  }

  void
  end (bool not_run)
  {
    may_have_run = may_have_run || (!not_run && open);
    open = false;
    sent = false;
  }

  void
  apply (eg_outcome_event event)
  {
    switch (event)
      {
      case EG_OUTCOME_EVENT_CLAIMED:
        exclusive = exclusive || !closed;
        break;
      case EG_OUTCOME_EVENT_DISPATCHED:
        begin ();
        break;
      case EG_OUTCOME_EVENT_FIRST_BYTE:
        may_have_run = may_have_run || !open;
        sent = true;
        break;
      case EG_OUTCOME_EVENT_NOT_SENT:
        end (!sent);
        break;
      case EG_OUTCOME_EVENT_NOT_RUN:
        end (true);
        break;
      case EG_OUTCOME_EVENT_INCONCLUSIVE:
      case EG_OUTCOME_EVENT_RAN:
        may_have_run = true;
        open = false;
        break;
      case EG_OUTCOME_EVENT_RAN_ELSEWHERE:
        may_have_run = true;
        break;
      case EG_OUTCOME_EVENT_CLOSE:
        closed = true;
        break;
      default:
        break;
      }
  }
};

void
run_events (eg_outcome_kind kind,
            const std::vector<int> &events,
            bool only_allowed)
{
  bool shared = kind == EG_OUTCOME_KEYED || kind == EG_OUTCOME_TICKETED;
  eg_outcome outcome;
  model actual;

  eg_outcome_init (&outcome, kind);
  for (int value : events)
    {
      const auto event = (eg_outcome_event) value;
      bool dispatches = event == EG_OUTCOME_EVENT_DISPATCHED;

      if (only_allowed && dispatches && !eg_outcome_may_send (&outcome))
        continue;
      if (dispatches && kind != EG_OUTCOME_IDEMPOTENT
          && eg_outcome_may_send (&outcome))
        RC_ASSERT (!actual.may_have_run && !actual.open
                   && (actual.exclusive || !shared));
      eg_outcome_update (&outcome, event);
      actual.apply (event);
      if (actual.may_have_run || actual.open)
        RC_ASSERT (eg_outcome_ran (&outcome) != EG_RAN_NO);
      if (shared && !actual.exclusive && outcome.state != EG_OUTCOME_NOT_RUN)
        RC_ASSERT (eg_outcome_ran (&outcome) != EG_RAN_NO);
      if (actual.closed && kind != EG_OUTCOME_IDEMPOTENT)
        RC_ASSERT (!eg_outcome_may_send (&outcome) || !actual.may_have_run);
    }
}

void
check_kind (bool only_allowed)
{
  const auto kind = *rc::gen::inRange (0, (int) EG_OUTCOME_KIND_COUNT);
  const auto events = *rc::gen::container<std::vector<int> > (
      24, rc::gen::inRange (0, (int) EG_OUTCOME_EVENT_COUNT));

  run_events ((eg_outcome_kind) kind, events, only_allowed);
}

/* An idempotent request may be repeated after it was sent or ran. */
bool
allows_repeat (int kind, int event)
{
  return kind == EG_OUTCOME_IDEMPOTENT
         && (event == EG_OUTCOME_EVENT_DISPATCHED
             || event == EG_OUTCOME_EVENT_FIRST_BYTE
             || event == EG_OUTCOME_EVENT_INCONCLUSIVE
             || event == EG_OUTCOME_EVENT_RAN);
}

/* Once the client was told `ran: no`, the request must not be sent. */
void
check_closed ()
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
  bool passed = true;

  passed &= rc::check (
      "`ran: no` is never reported after bytes may have been sent", [] () {
        for (int i = 0; i < 100; i++)
          check_kind (false);
      });
  passed &=
      rc::check ("the same if attempts are made only when allowed", [] () {
        for (int i = 0; i < 100; i++)
          check_kind (true);
      });
  passed &= rc::check ("nothing is sent after a refusal with `ran: no`", [] () {
    for (int i = 0; i < 20; i++)
      check_closed ();
  });
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
