/* Benchmark of claims and tickets: throughput of one thread, and memory use.
 * Not run by ctest. Usage: bench_claims [CLAIMS] */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "policy/claim.h"
#include "policy/ticket.h"

#define DEFAULT_COUNT 200000
#define ANSWER_BYTES 200

static const struct eg_claim_config config = {
    .dispatch_max_us = 60 * EG_US_PER_S,
    .wait_max_us = 30 * EG_US_PER_S,
    .backoff_min_us = 10 * EG_US_PER_MS,
    .backoff_max_us = EG_US_PER_S,
    .background_max_us = 60 * EG_US_PER_S,
    .retry_after_us = EG_US_PER_S,
    .answer_bytes_max = 65536,
};

struct submission
{
  struct eg_claim claim;
  struct eg_outcome outcome;
};

static size_t
heap_bytes (void)
{
  return mallinfo2 ().uordblks;
}

static void
update_claim (struct submission *self,
              struct eg_random *random,
              enum eg_claim_event_type type,
              struct eg_claim_answer answer)
{
  struct eg_claim_actions actions;
  struct eg_claim_event event = {
      .type = type,
      .operation = self->claim.operation,
      .version = 7,
      .answer = answer,
  };

  eg_claim_update (&self->claim, &event, 1, random, &actions);
}

/* Writes the claims but doesn't dispatch their requests, so that all claims are
 * held at the same time. */
static void
acquire_claims (struct submission *submissions,
                size_t count,
                struct eg_random *random)
{
  for (size_t i = 0; i < count; i++)
    {
      struct submission *submission = &submissions[i];
      struct eg_claim_start start = {
          .nonce = {1, i}, .fingerprint = i, .deadline_us = EG_US_PER_S};

      eg_outcome_init (&submission->outcome, EG_OUTCOME_KEYED);
      eg_claim_init (&submission->claim, &config, &submission->outcome, &start);
      update_claim (submission, random, EG_CLAIM_EVENT_START,
                    (struct eg_claim_answer){0});
      update_claim (submission, random, EG_CLAIM_EVENT_WRITTEN,
                    (struct eg_claim_answer){0});
    }
}

static void
complete_claims (struct submission *submissions,
                 size_t count,
                 struct eg_random *random,
                 size_t *answer_bytes)
{
  static const char body[ANSWER_BYTES];
  struct eg_claim_answer answer = {
      true, 200, EG_STR ("application/json"), {body, sizeof body}};
  size_t before = heap_bytes ();

  for (size_t i = 0; i < count; i++)
    {
      eg_outcome_update (&submissions[i].outcome, EG_OUTCOME_EVENT_DISPATCHED);
      eg_outcome_update (&submissions[i].outcome, EG_OUTCOME_EVENT_RAN);
      update_claim (&submissions[i], random, EG_CLAIM_EVENT_ANSWERED, answer);
    }
  *answer_bytes = (heap_bytes () - before) / count;
  for (size_t i = 0; i < count; i++)
    {
      update_claim (&submissions[i], random, EG_CLAIM_EVENT_WRITTEN, answer);
      eg_claim_finish (&submissions[i].claim);
    }
}

static void
bench_claims (size_t count)
{
  struct submission *submissions = calloc (count, sizeof *submissions);
  struct eg_random random;
  size_t answer_bytes;
  int64_t start_us;
  int64_t elapsed_us;

  if (submissions == NULL)
    return;
  eg_random_init (&random, 1);
  start_us = eg_clock_now_us ();
  acquire_claims (submissions, count, &random);
  complete_claims (submissions, count, &random, &answer_bytes);
  elapsed_us = eg_clock_now_us () - start_us;
  printf ("claims=%zu per_s=%.0f bytes_each=%zu with_answer_of_%d=%zu\n", count,
          (double) count * (double) EG_US_PER_S / (double) elapsed_us,
          sizeof *submissions, ANSWER_BYTES,
          sizeof *submissions + answer_bytes);
  free (submissions);
}

static void
bench_codec (size_t count)
{
  static const char body[ANSWER_BYTES] = "{\"certificate\":1}";
  struct eg_claim_record record = {
      .state = EG_CLAIM_FINISHED,
      .ran = EG_RAN_YES,
      .answer = {true, 200, EG_STR ("application/json"), {body, 17}},
  };
  struct eg_buffer json = {0};
  struct eg_buffer storage = {0};
  int64_t start_us = eg_clock_now_us ();
  int64_t elapsed_us;

  for (size_t i = 0; i < count; i++)
    {
      eg_buffer_clear (&json);
      eg_claim_record_encode (&record, &json);
      eg_claim_record_decode (&record, eg_buffer_view (&json), &storage, NULL);
      record.answer.body = (struct eg_str){body, 17};
      record.answer.content_type = EG_STR ("application/json");
    }
  elapsed_us = eg_clock_now_us () - start_us;
  printf ("records=%zu per_s=%.0f bytes_stored=%zu\n", count,
          (double) count * (double) EG_US_PER_S / (double) elapsed_us,
          json.len);
  eg_buffer_finish (&json);
  eg_buffer_finish (&storage);
}

static enum eg_ticket_issuer_state
issuer_gone (void *context, struct eg_str address, uint64_t incarnation)
{
  (void) context;
  (void) address;
  (void) incarnation;
  return EG_TICKET_ISSUER_GONE;
}

static void
process_ticket (struct eg_tickets *tickets, struct eg_random *random)
{
  struct eg_ticket_number number = {eg_random_next (random),
                                    eg_random_next (random)};
  struct eg_ticket_result result;
  struct eg_outcome outcome;
  char text[EG_TICKET_TEXT_BYTES];

  eg_tickets_issue (tickets, EG_STR ("registry"), number, 0, text);
  eg_outcome_init (&outcome, EG_OUTCOME_TICKETED);
  eg_tickets_redeem (tickets, eg_str_from (text), EG_STR ("registry"), 1, 0,
                     &outcome, &result);
  eg_outcome_update (&outcome, EG_OUTCOME_EVENT_DISPATCHED);
  eg_outcome_update (&outcome, EG_OUTCOME_EVENT_RAN);
  eg_tickets_complete (tickets, &result.ticket, &outcome, NULL, 0);
}

static void
bench_tickets (size_t count)
{
  struct eg_tickets_config tickets_config = {
      .address = "127.0.0.1:7000",
      .incarnation = 1,
      .lifetime_us = EG_US_PER_S,
      .keep_us = EG_US_PER_S,
      .entries_max = count,
      .organisation_max = count,
      .issuer_state = issuer_gone,
  };
  struct eg_tickets *tickets = eg_tickets_new (&tickets_config);
  struct eg_random random;
  int64_t start_us;
  int64_t elapsed_us;

  if (tickets == NULL)
    return;
  eg_random_init (&random, 1);
  start_us = eg_clock_now_us ();
  for (size_t i = 0; i < count; i++)
    process_ticket (tickets, &random);
  elapsed_us = eg_clock_now_us () - start_us;
  printf ("tickets=%zu per_s=%.0f bytes_each=%zu\n", count,
          (double) count * (double) EG_US_PER_S / (double) elapsed_us,
          eg_tickets_bytes (tickets) / count);
  eg_tickets_free (tickets);
}

int
main (int argc, char **argv)
{
  size_t count = argc > 1 ? strtoul (argv[1], NULL, 10) : DEFAULT_COUNT;

  if (count == 0)
    return EXIT_FAILURE;
  bench_claims (count);
  bench_codec (count);
  bench_tickets (count);
  return EXIT_SUCCESS;
}
