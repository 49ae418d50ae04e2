/* Random redeem of tickets at three entry VMs that are restarted, with repeated
 * requests, changed bodies, other organisations and lost forwards. Guards
 * against two runs of one ticket and wrong reports of whether a request ran. */
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "base/clock.h"
#include "base/random.h"
#include "policy/ticket.h"

namespace
{

constexpr unsigned NODES = 3;
constexpr unsigned STEPS = 120;
constexpr int CASES = 100;
constexpr int64_t LIFETIME_US = 60 * EG_US_PER_S;
constexpr size_t ENTRIES = 8;
constexpr size_t ORGANISATION_MAX = 5;

struct
{
  long uses, runs, answers, refused_no, unknown, gone, full, key_reused;
} total;

/* A ticket, and what actually happened to it. */
struct ticket
{
  std::string text;
  unsigned organisation;
  int runs = 0;
  int body = -1;
};

/* A request that a ticket is bound to. */
struct open_request
{
  unsigned node;
  uint64_t incarnation;
  size_t ticket;
  eg_ticket parsed;
  eg_outcome outcome;
  bool dispatched, sent;
};

class simulation
{
public:
  explicit simulation (uint64_t seed)
  {
    eg_random_init (&random, seed);
    list_lacks_incarnations = pick (2) == 0;
    for (unsigned i = 0; i < NODES; i++)
      replace (i);
  }

  ~simulation ()
  {
    for (auto *table : tables)
      eg_tickets_free (table);
  }

  void
  explore ()
  {
    for (unsigned i = 0; i < STEPS; i++)
      step ();
  }

private:
  eg_random random;
  int64_t now = 0;
  bool list_lacks_incarnations;
  eg_tickets *tables[NODES] = {};
  uint64_t incarnations[NODES] = {};
  uint64_t last_incarnation = 0;
  std::vector<ticket> tickets;
  std::vector<open_request> open;

  unsigned
  pick (unsigned bound)
  {
    return (unsigned) eg_random_below (&random, bound);
  }

  static std::string
  address_of (unsigned node)
  {
    return "127.0.0.1:" + std::to_string (7000 + node);
  }

  static eg_ticket_issuer_state
  issuer_state (void *context, eg_str address, uint64_t incarnation)
  {
    const auto *self = (const simulation *) context;

    for (unsigned i = 0; i < NODES; i++)
      if (eg_str_equal (address, eg_str_from (address_of (i).c_str ()))
          && (self->list_lacks_incarnations
              || self->incarnations[i] == incarnation))
        return EG_TICKET_ISSUER_LIVE;
    return EG_TICKET_ISSUER_GONE;
  }

  void
  replace (unsigned node)
  {
    eg_tickets_config config = {};

    eg_str_copy (eg_str_from (address_of (node).c_str ()), config.address,
                 sizeof config.address);
    config.incarnation = incarnations[node] = ++last_incarnation;
    config.lifetime_us = LIFETIME_US;
    config.keep_us = LIFETIME_US;
    config.retry_after_us = EG_US_PER_S;
    config.entries_max = ENTRIES;
    config.organisation_max = ORGANISATION_MAX;
    config.answer_bytes_max = 16;
    config.answers_bytes_max = 64;
    config.issuer_state = issuer_state;
    config.issuer_state_context = this;
    eg_tickets_free (tables[node]);
    tables[node] = eg_tickets_new (&config);
  }

  void
  step ()
  {
    unsigned choice = pick (100);

    if (choice < 20)
      issue ();
    else if (choice < 55 && !tickets.empty ())
      redeem (pick (NODES), pick ((unsigned) tickets.size ()));
    else if (choice < 90 && !open.empty ())
      advance (pick ((unsigned) open.size ()));
    else if (choice < 96)
      pass_time ();
    else
      replace (pick (NODES));
  }

  void
  issue ()
  {
    unsigned node = pick (NODES);
    unsigned organisation = pick (2);
    char text[EG_TICKET_TEXT_BYTES];
    std::string name = "organisation-" + std::to_string (organisation);
    size_t before = eg_tickets_count (tables[node]);
    eg_status status = eg_tickets_issue (
        tables[node], eg_str_from (name.c_str ()),
        {eg_random_next (&random), eg_random_next (&random)}, now, text);

    total.full += status == EG_FULL;
    RC_ASSERT (eg_tickets_count (tables[node]) <= ENTRIES);
    RC_ASSERT (status != EG_FULL || before >= ORGANISATION_MAX);
    if (status == EG_OK)
      tickets.push_back ({text, organisation});
  }

  void
  redeem (unsigned node, size_t index)
  {
    ticket &t = tickets[index];
    bool other_organisation = pick (8) == 0;
    int body = pick (6) == 0;
    unsigned organisation =
        other_organisation ? 1 - t.organisation : t.organisation;
    std::string name = "organisation-" + std::to_string (organisation);
    eg_outcome outcome;
    eg_ticket_result result;

    total.uses++;
    eg_outcome_init (&outcome, EG_OUTCOME_TICKETED);
    eg_tickets_redeem (tables[node], eg_str_from (t.text.c_str ()),
                       eg_str_from (name.c_str ()), (uint64_t) body, now,
                       &outcome, &result);
    RC_ASSERT (!other_organisation || result.decision == EG_TICKET_REFUSE
               || result.decision == EG_TICKET_FORWARD);
    bool elsewhere = result.ticket.incarnation != incarnations[node];
    bool live = issuer_state (this, eg_str_from (result.ticket.address),
                              result.ticket.incarnation)
                == EG_TICKET_ISSUER_LIVE;
    bool own = address_of (node) == result.ticket.address;
    RC_ASSERT ((result.decision == EG_TICKET_FORWARD)
               == (elsewhere && live && !own));
    handle_result (node, index, body, outcome, result);
  }

  void
  handle_result (unsigned node,
                 size_t index,
                 int body,
                 const eg_outcome &outcome,
                 const eg_ticket_result &result)
  {
    ticket &t = tickets[index];

    switch (result.decision)
      {
      case EG_TICKET_RUN:
        RC_ASSERT (t.runs == 0 && (t.body < 0 || t.body == body));
        t.body = body;
        open.push_back ({node, incarnations[node], index, result.ticket,
                         outcome, false, false});
        break;
      case EG_TICKET_FORWARD:
        forward (index, result);
        break;
      case EG_TICKET_ANSWER:
        total.answers++;
        RC_ASSERT (t.runs == 1 && t.body == body
                   && result.answer.status == (int) (200 + index));
        break;
      case EG_TICKET_REFUSE:
        check_refusal (t, body, result);
      }
  }

  void
  forward (size_t index, const eg_ticket_result &result)
  {
    for (unsigned i = 0; i < NODES; i++)
      if (result.ticket.incarnation == incarnations[i] && pick (4) != 0)
        redeem (i, index);
  }

  static void
  check_refusal (const ticket &t, int body, const eg_ticket_result &result)
  {
    total.key_reused += result.refusal == EG_REFUSAL_KEY_REUSED;
    total.refused_no += result.ran == EG_RAN_NO;
    total.unknown += result.ran == EG_RAN_UNKNOWN;
    total.gone += result.retry_after_us == 0;
    if (result.ran == EG_RAN_NO)
      RC_ASSERT (t.runs == 0 || t.body != body);
    if (result.ran == EG_RAN_YES)
      RC_ASSERT (t.runs == 1);
  }

  /* An attempt continues even if its entry VM is replaced. */
  void
  advance (size_t index)
  {
    open_request request = open[index];

    if (!request.dispatched && pick (4) == 0)
      {
        end (index);
        return;
      }
    if (!request.dispatched)
      {
        open[index].dispatched = true;
        eg_outcome_update (&open[index].outcome, EG_OUTCOME_EVENT_DISPATCHED);
      }
    else if (!request.sent && pick (4) == 0)
      {
        open[index].dispatched = false;
        eg_outcome_update (&open[index].outcome, EG_OUTCOME_EVENT_NOT_SENT);
      }
    else if (!request.sent)
      run (index);
    else
      {
        unsigned lost = pick (3) == 0;

        eg_outcome_update (&open[index].outcome,
                           lost ? EG_OUTCOME_EVENT_INCONCLUSIVE
                                : EG_OUTCOME_EVENT_RAN);
        end (index);
      }
  }

  void
  run (size_t index)
  {
    ticket &t = tickets[open[index].ticket];

    eg_outcome_update (&open[index].outcome, EG_OUTCOME_EVENT_FIRST_BYTE);
    open[index].sent = true;
    t.runs++;
    total.runs++;
    RC_ASSERT (t.runs == 1);
  }

  void
  end (size_t index)
  {
    open_request request = open[index];
    bool alive = incarnations[request.node] == request.incarnation;
    eg_claim_answer answer = {true, (int) (200 + request.ticket),
                              EG_STR ("text/plain"), EG_STR ("done")};

    open.erase (open.begin () + (long) index);
    if (alive)
      eg_tickets_complete (tables[request.node], &request.parsed,
                           &request.outcome, &answer, now);
  }

  void
  pass_time ()
  {
    now += (int64_t) eg_random_below (&random, (uint64_t) LIFETIME_US);
    for (auto *table : tables)
      eg_tickets_sweep (table, now);
  }
};

} // namespace

int
main ()
{
  bool passed =
      rc::check ("a ticket runs at most once, and reports are true", [] () {
        const auto seed = *rc::gen::arbitrary<uint32_t> ();

        for (int i = 0; i < CASES; i++)
          simulation ((uint64_t) seed * CASES + (uint64_t) i).explore ();
      });

  std::printf ("uses=%ld runs=%ld answers=%ld refused_no=%ld unknown=%ld "
               "gone=%ld full=%ld key_reused=%ld\n",
               total.uses, total.runs, total.answers, total.refused_no,
               total.unknown, total.gone, total.full, total.key_reused);
  bool covered = total.runs && total.answers && total.refused_no
                 && total.unknown && total.gone && total.full
                 && total.key_reused;

  return passed && covered ? EXIT_SUCCESS : EXIT_FAILURE;
}
