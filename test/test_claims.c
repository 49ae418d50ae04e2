/* Single courses of claims and tickets: bounds, kept answers, waiting. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "policy/claim.h"
#include "policy/claim_quota.h"
#include "policy/claim_sweeper.h"
#include "policy/ticket.h"

static const struct eg_claim_config claim_config = {
    .dispatch_max_us = 60 * EG_US_PER_S,
    .wait_max_us = 30 * EG_US_PER_S,
    .backoff_min_us = 10 * EG_US_PER_MS,
    .backoff_max_us = 100 * EG_US_PER_MS,
    .background_max_us = 60 * EG_US_PER_S,
    .retry_after_us = EG_US_PER_S,
    .answer_bytes_max = 16,
};

struct sending
{
  struct eg_claim claim;
  struct eg_outcome outcome;
  struct eg_random random;
  struct eg_claim_actions actions;
};

static const struct eg_claim_action *
feed (struct sending *self, struct eg_claim_event event, int64_t now_us)
{
  event.operation = self->claim.operation;
  eg_claim_update (&self->claim, &event, now_us, &self->random, &self->actions);
  return self->actions.count > 0 ? &self->actions.items[0] : NULL;
}

static const struct eg_claim_action *
start (struct sending *self, uint64_t number)
{
  struct eg_claim_start start = {
      .nonce = {1, number}, .fingerprint = 5, .deadline_us = 20 * EG_US_PER_S};

  memset (self, 0, sizeof *self);
  eg_outcome_init (&self->outcome, EG_OUTCOME_KEYED);
  eg_claim_init (&self->claim, &claim_config, &self->outcome, &start);
  return feed (self, (struct eg_claim_event){.type = EG_CLAIM_EVENT_START}, 0);
}

static const struct eg_claim_action *
feed_type (struct sending *self, enum eg_claim_event_type type, int64_t now_us)
{
  return feed (self, (struct eg_claim_event){.type = type, .version = 3},
               now_us);
}

/* Takes the claim, runs it and gives the write that keeps its answer. */
static const struct eg_claim_action *
run (struct sending *self, struct eg_str body)
{
  struct eg_claim_event event = {
      .type = EG_CLAIM_EVENT_ANSWERED,
      .answer = {true, 201, EG_STR ("text"), body},
  };

  assert_int_equal (start (self, 1)->type, EG_CLAIM_ACTION_PUT_NEW);
  assert_int_equal (feed_type (self, EG_CLAIM_EVENT_WRITTEN, 1)->type,
                    EG_CLAIM_ACTION_DISPATCH);
  eg_outcome_update (&self->outcome, EG_OUTCOME_EVENT_DISPATCHED);
  eg_outcome_update (&self->outcome, EG_OUTCOME_EVENT_RAN);
  return feed (self, event, 2);
}

/* Lets a repeat find @p record, after it waited for a while. */
static struct eg_claim_action
repeat (struct sending *self, const struct eg_claim_record *record)
{
  struct eg_claim_record unfinished = *record;
  struct eg_claim_event event = {
      .type = EG_CLAIM_EVENT_FOUND, .version = 4, .record = &unfinished};

  unfinished.state = EG_CLAIM_CLAIMED;
  start (self, 2);
  assert_int_equal (feed_type (self, EG_CLAIM_EVENT_CONFLICT, 1)->type,
                    EG_CLAIM_ACTION_GET);
  assert_null (feed (self, event, 2));
  assert_true (eg_claim_wake_us (&self->claim) <= 2 + 10 * EG_US_PER_MS);
  assert_int_equal (
      feed_type (self, EG_CLAIM_EVENT_TIME, eg_claim_wake_us (&self->claim))
          ->type,
      EG_CLAIM_ACTION_GET);
  event.record = record;
  return *feed (self, event, EG_US_PER_S);
}

static void
test_repeat_gets_first_answer (void **state)
{
  struct sending first;
  struct sending second;
  struct eg_claim_action action;
  const struct eg_claim_action *write = run (&first, EG_STR ("done"));

  (void) state;
  assert_int_equal (write->type, EG_CLAIM_ACTION_PUT_MATCH);
  assert_int_equal (write->version, 3);
  action = repeat (&second, write->record);
  assert_int_equal (action.type, EG_CLAIM_ACTION_ANSWER);
  assert_int_equal (action.answer.status, 201);
  assert_true (eg_str_equal (action.answer.content_type, EG_STR ("text")));
  assert_true (eg_str_equal (action.answer.body, EG_STR ("done")));
  assert_true (eg_claim_is_closed (&second.claim));
  eg_claim_finish (&first.claim);
}

static void
test_long_answer_is_not_kept (void **state)
{
  struct sending first;
  struct sending second;
  struct eg_claim_action action;
  const struct eg_claim_action *write =
      run (&first, EG_STR ("longer than the bound"));

  (void) state;
  assert_false (write->record->answer.kept);
  action = repeat (&second, write->record);
  assert_int_equal (action.type, EG_CLAIM_ACTION_REFUSE);
  assert_int_equal (action.refusal, EG_REFUSAL_CLAIM_CONFLICT);
  assert_int_equal (action.ran, EG_RAN_YES);
  assert_int_equal (action.retry_after_us, 0);
  eg_claim_finish (&first.claim);
}

static void
test_lost_finish_is_settled (void **state)
{
  struct sending sending;
  const struct eg_claim_action *write = run (&sending, EG_STR ("done"));
  struct eg_claim_event event = {.type = EG_CLAIM_EVENT_FOUND, .version = 9};
  struct eg_claim_record stored = *write->record;

  (void) state;
  event.record = &stored;
  assert_null (feed_type (&sending, EG_CLAIM_EVENT_NO_REPLY, 3));
  assert_int_equal (feed_type (&sending, EG_CLAIM_EVENT_TIME,
                               eg_claim_wake_us (&sending.claim))
                        ->type,
                    EG_CLAIM_ACTION_GET);
  assert_null (feed (&sending, event, EG_US_PER_S));
  assert_true (eg_claim_is_closed (&sending.claim));
  eg_claim_finish (&sending.claim);
}

static void
test_store_down_is_refused_in_time (void **state)
{
  struct sending sending;
  const struct eg_claim_action *action;

  (void) state;
  start (&sending, 1);
  assert_int_equal (eg_claim_wake_us (&sending.claim), 20 * EG_US_PER_S);
  action = feed_type (&sending, EG_CLAIM_EVENT_TIME, 20 * EG_US_PER_S);
  assert_int_equal (action->type, EG_CLAIM_ACTION_REFUSE);
  assert_int_equal (action->refusal, EG_REFUSAL_STORE_DOWN);
  assert_int_equal (action->ran, EG_RAN_UNKNOWN);
  assert_int_equal (action->retry_after_us, EG_US_PER_S);
  /* The claim was written after all: it is released. */
  action = feed_type (&sending, EG_CLAIM_EVENT_WRITTEN, 21 * EG_US_PER_S);
  assert_int_equal (action->type, EG_CLAIM_ACTION_PUT_MATCH);
  assert_int_equal (action->record->state, EG_CLAIM_RELEASED);
  assert_int_equal (eg_claim_wake_us (&sending.claim), 80 * EG_US_PER_S);
  feed_type (&sending, EG_CLAIM_EVENT_TIME, 80 * EG_US_PER_S);
  assert_true (eg_claim_is_closed (&sending.claim));
}

static enum eg_ticket_issuer_state
no_home (void *context, struct eg_str address, uint64_t incarnation)
{
  (void) context;
  (void) address;
  (void) incarnation;
  return EG_TICKET_ISSUER_UNREACHABLE;
}

static struct eg_tickets *
new_tickets (void)
{
  struct eg_tickets_config config = {
      .address = "127.0.0.1:7000",
      .incarnation = 7,
      .lifetime_us = 10,
      .keep_us = 10,
      .retry_after_us = 1,
      .entries_max = 4,
      .organisation_max = 3,
      .answer_bytes_max = 8,
      .answers_bytes_max = 12,
      .issuer_state = no_home,
  };

  return eg_tickets_new (&config);
}

static void
test_tickets_are_bounded (void **state)
{
  struct eg_tickets *tickets = new_tickets ();
  char text[EG_TICKET_TEXT_BYTES];

  (void) state;
  for (uint64_t i = 0; i < 3; i++)
    assert_int_equal (eg_tickets_issue (tickets, EG_STR ("a"),
                                        (struct eg_ticket_number){1, i}, 0,
                                        text),
                      EG_OK);
  assert_int_equal (eg_tickets_issue (tickets, EG_STR ("a"),
                                      (struct eg_ticket_number){1, 9}, 0, text),
                    EG_FULL);
  assert_int_equal (eg_tickets_issue (tickets, EG_STR ("b"),
                                      (struct eg_ticket_number){1, 9}, 0, text),
                    EG_OK);
  assert_int_equal (eg_tickets_issue (tickets, EG_STR ("c"),
                                      (struct eg_ticket_number){1, 10}, 0,
                                      text),
                    EG_FULL);
  eg_tickets_sweep (tickets, 20);
  assert_int_equal (eg_tickets_count (tickets), 0);
  assert_int_equal (eg_tickets_issue (tickets, EG_STR ("c"),
                                      (struct eg_ticket_number){1, 10}, 0,
                                      text),
                    EG_OK);
  eg_tickets_free (tickets);
}

/* Gives and runs one ticket; returns what a repeat is told. */
static enum eg_ticket_decision
run_ticket (struct eg_tickets *tickets, uint64_t number, int64_t now_us)
{
  const struct eg_claim_answer answer = {true, 200, EG_STR ("t"),
                                         EG_STR ("1234567")};
  struct eg_ticket_result verdict;
  struct eg_outcome outcome;
  char text[EG_TICKET_TEXT_BYTES];

  eg_tickets_issue (tickets, EG_STR ("a"), (struct eg_ticket_number){0, number},
                    now_us, text);
  eg_outcome_init (&outcome, EG_OUTCOME_TICKETED);
  eg_tickets_redeem (tickets, eg_str_from (text), EG_STR ("a"), 1, now_us,
                     &outcome, &verdict);
  assert_int_equal (verdict.decision, EG_TICKET_RUN);
  eg_outcome_update (&outcome, EG_OUTCOME_EVENT_DISPATCHED);
  eg_outcome_update (&outcome, EG_OUTCOME_EVENT_RAN);
  eg_tickets_complete (tickets, &verdict.ticket, &outcome, &answer, now_us);
  eg_outcome_init (&outcome, EG_OUTCOME_TICKETED);
  eg_tickets_redeem (tickets, eg_str_from (text), EG_STR ("a"), 1, now_us,
                     &outcome, &verdict);
  if (verdict.decision == EG_TICKET_REFUSE)
    assert_int_equal (verdict.ran, EG_RAN_YES);
  return verdict.decision;
}

static void
test_kept_answers_are_bounded (void **state)
{
  struct eg_tickets *tickets = new_tickets ();

  (void) state;
  assert_int_equal (run_ticket (tickets, 1, 0), EG_TICKET_ANSWER);
  assert_int_equal (run_ticket (tickets, 2, 0), EG_TICKET_REFUSE);
  eg_tickets_sweep (tickets, 20);
  assert_int_equal (run_ticket (tickets, 3, 20), EG_TICKET_ANSWER);
  eg_tickets_free (tickets);
}

static void
test_quota_counts_one_lifetime (void **state)
{
  const struct eg_claim_quota_config config = {
      .claims_max = 3, .organisations_max = 2, .lifetime_us = 240};
  struct eg_claim_quota *quota = eg_claim_quota_new (&config);
  int64_t retry_us = 0;

  (void) state;
  assert_true (eg_claim_quota_take (quota, EG_STR ("a"), 0, &retry_us));
  assert_true (eg_claim_quota_take (quota, EG_STR ("a"), 100, &retry_us));
  assert_true (eg_claim_quota_take (quota, EG_STR ("a"), 200, &retry_us));
  assert_false (eg_claim_quota_take (quota, EG_STR ("a"), 239, &retry_us));
  assert_true (retry_us > 0);
  eg_claim_quota_return (quota, EG_STR ("a"), 239);
  assert_int_equal (eg_claim_quota_count (quota, EG_STR ("a"), 239), 2);
  assert_true (eg_claim_quota_take (quota, EG_STR ("b"), 239, &retry_us));
  assert_false (eg_claim_quota_take (quota, EG_STR ("c"), 239, &retry_us));
  /* The claims at 0 and 100 are forgotten, the one of b is not. */
  assert_int_equal (eg_claim_quota_count (quota, EG_STR ("a"), 370), 0);
  eg_claim_quota_sweep (quota, 370);
  assert_int_equal (eg_claim_quota_count (quota, EG_STR ("b"), 370), 1);
  assert_true (eg_claim_quota_take (quota, EG_STR ("c"), 370, &retry_us));
  /* Long afterwards nothing counts. */
  assert_int_equal (eg_claim_quota_count (quota, EG_STR ("b"), 100000), 0);
  eg_claim_quota_free (quota);
}

/* Lets a sweeper take rounds until its ticks make a lifetime; nothing may be
 * deleted before. Returns the time. */
static int64_t
pass_ticks (struct eg_claim_sweeper *sweeper, struct eg_random *random)
{
  struct eg_claim_ticks ticks = {0};
  struct eg_claim_sweeper_action action;
  uint64_t version = 0;
  int64_t now_us = 0;

  while (ticks.count < EG_CLAIM_LIFETIME_TICKS)
    {
      now_us = eg_claim_sweeper_wake_us (sweeper);
      eg_claim_sweeper_wake (sweeper, now_us, &action);
      assert_int_equal (action.type, EG_CLAIM_SWEEPER_READ_TICKS);
      eg_claim_sweeper_ticks_read (sweeper, version, &ticks, now_us, random,
                                   &action);
      if (action.type == EG_CLAIM_SWEEPER_WRITE_TICKS)
        {
          assert_int_equal (action.version, version);
          ticks = action.ticks;
          version += 100;
          eg_claim_sweeper_done (sweeper, true, now_us, random, &action);
        }
      assert_int_equal (action.type, EG_CLAIM_SWEEPER_LIST);
      eg_claim_sweeper_listed (sweeper, EG_STR ("claims/000/a/b"), 1);
      eg_claim_sweeper_done (sweeper, true, now_us, random, &action);
      assert_int_equal (action.type, EG_CLAIM_SWEEPER_WAIT);
    }
  /* Reads the last tick, whose version the next listing goes by. */
  eg_claim_sweeper_wake (sweeper, eg_claim_sweeper_wake_us (sweeper), &action);
  eg_claim_sweeper_ticks_read (sweeper, version, &ticks, now_us, random,
                               &action);
  assert_int_equal (action.type, EG_CLAIM_SWEEPER_LIST);
  return now_us;
}

static void
test_sweeper_deletes_what_expired (void **state)
{
  const int64_t lifetime_us = 240 * EG_US_PER_S;
  struct eg_claim_sweeper sweeper;
  struct eg_claim_sweeper_action action;
  struct eg_random random;
  int64_t now_us;

  (void) state;
  eg_random_init (&random, 1);
  eg_claim_sweeper_init (&sweeper, lifetime_us);
  eg_claim_sweeper_set_entry_vms (&sweeper, 1000);
  now_us = pass_ticks (&sweeper, &random);
  assert_true (now_us >= lifetime_us);
  /* The oldest tick has version 100. */
  eg_claim_sweeper_listed (&sweeper, EG_STR ("claims/000/a/b"), 100);
  eg_claim_sweeper_listed (&sweeper, EG_STR ("claims/000/a/c"), 101);
  eg_claim_sweeper_listed (&sweeper, EG_STR ("rules"), 50);
  eg_claim_sweeper_done (&sweeper, true, now_us, &random, &action);
  assert_int_equal (action.type, EG_CLAIM_SWEEPER_DELETE);
  assert_string_equal (action.key, "claims/000/a/b");
  assert_int_equal (action.version, 100);
  eg_claim_sweeper_done (&sweeper, true, now_us, &random, &action);
  assert_int_equal (action.type, EG_CLAIM_SWEEPER_WAIT);
  assert_true (eg_claim_sweeper_wake_us (&sweeper) > now_us);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_repeat_gets_first_answer),
      cmocka_unit_test (test_long_answer_is_not_kept),
      cmocka_unit_test (test_lost_finish_is_settled),
      cmocka_unit_test (test_store_down_is_refused_in_time),
      cmocka_unit_test (test_tickets_are_bounded),
      cmocka_unit_test (test_kept_answers_are_bounded),
      cmocka_unit_test (test_quota_counts_one_lifetime),
      cmocka_unit_test (test_sweeper_deletes_what_expired),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
