#include "router/ticket_requests.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/random.h"

#define TICKET_LIFETIME_US (300 * EG_US_PER_S)
#define TICKET_RETENTION_US (600 * EG_US_PER_S)
#define TICKETS_MAX 16384
#define TICKETS_ORGANISATION_MAX 4096
#define TICKET_ANSWER_BYTES_MAX ((size_t) 64 * 1024)
#define TICKET_ANSWERS_BYTES_MAX ((size_t) 8 * 1024 * 1024)

struct eg_ticket_requests
{
  struct eg_tickets *tickets;
  const struct eg_fleet *fleet;
  struct eg_ticket_requests_callbacks callbacks;
};

static enum eg_ticket_issuer_state
find_issuer (void *context, struct eg_str address, uint64_t incarnation)
{
  const struct eg_ticket_requests *self = context;

  (void) incarnation; /* Checked by the issuer itself. */
  return eg_fleet_has_entry_vm (self->fleet, address) ? EG_TICKET_ISSUER_LIVE
                                                      : EG_TICKET_ISSUER_GONE;
}

struct eg_ticket_requests *
eg_ticket_requests_new (const char *address,
                        uint64_t incarnation,
                        const struct eg_fleet *fleet,
                        const struct eg_ticket_requests_callbacks *callbacks)
{
  struct eg_ticket_requests *self = calloc (1, sizeof *self);
  struct eg_tickets_config config = {
      .incarnation = incarnation,
      .lifetime_us = TICKET_LIFETIME_US,
      .keep_us = TICKET_RETENTION_US,
      .retry_after_us = EG_US_PER_S,
      .entries_max = TICKETS_MAX,
      .organisation_max = TICKETS_ORGANISATION_MAX,
      .answer_bytes_max = TICKET_ANSWER_BYTES_MAX,
      .answers_bytes_max = TICKET_ANSWERS_BYTES_MAX,
      .issuer_state = find_issuer,
      .issuer_state_context = self,
  };

  if (!self)
    return NULL;
  self->fleet = fleet;
  self->callbacks = *callbacks;
  eg_str_copy (eg_str_from (address), config.address, sizeof config.address);
  self->tickets = eg_tickets_new (&config);
  if (self->tickets)
    return self;
  free (self);
  return NULL;
}

void
eg_ticket_requests_free (struct eg_ticket_requests *self)
{
  if (!self)
    return;
  eg_tickets_free (self->tickets);
  free (self);
}

void
eg_ticket_requests_issue (struct eg_ticket_requests *self,
                          struct eg_call *call,
                          int64_t now_us)
{
  const struct eg_ticket_number number = {eg_random_system_seed (),
                                          eg_random_system_seed ()};
  struct eg_claim_answer answer = {
      .kept = true,
      .status = 200,
      .content_type = EG_STR ("application/json"),
  };
  char text[EG_TICKET_TEXT_BYTES];
  struct eg_buffer json = {0};

  if (eg_tickets_issue (self->tickets, eg_str_from (call->organisation), number,
                        now_us, text)
      != EG_OK)
    {
      self->callbacks.refuse (self->callbacks.context, call,
                              EG_REFUSAL_IN_FLIGHT_LIMIT, EG_RAN_NO,
                              EG_US_PER_S);
      return;
    }
  eg_buffer_printf (&json, "{\"ticket\":\"%s\",\"expires_in_ms\":%" PRId64 "}",
                    text, TICKET_LIFETIME_US / EG_US_PER_MS);
  answer.body = eg_buffer_view (&json);
  self->callbacks.answer (self->callbacks.context, call, &answer);
  eg_buffer_finish (&json);
}

void
eg_ticket_requests_redeem (struct eg_ticket_requests *self,
                           struct eg_call *call,
                           int64_t now_us)
{
  void *context = self->callbacks.context;
  uint64_t fingerprint = eg_claim_fingerprint (eg_str_from (call->method),
                                               eg_buffer_view (&call->path),
                                               eg_buffer_view (&call->body));
  struct eg_ticket_result result;

  eg_outcome_init (&call->outcome, EG_OUTCOME_TICKETED);
  eg_tickets_redeem (self->tickets, eg_str_from (call->ticket),
                     eg_str_from (call->organisation), fingerprint, now_us,
                     &call->outcome, &result);
  switch (result.decision)
    {
    case EG_TICKET_RUN:
      self->callbacks.run (context, call);
      return;
    case EG_TICKET_FORWARD:
      self->callbacks.forward (context, call, result.ticket.address);
      return;
    case EG_TICKET_ANSWER:
      self->callbacks.answer (context, call, &result.answer);
      return;
    case EG_TICKET_REFUSE:
      self->callbacks.refuse (context, call, result.refusal, result.ran,
                              result.retry_after_us);
      return;
    }
}

void
eg_ticket_requests_complete (struct eg_ticket_requests *self,
                             struct eg_call *call,
                             const struct eg_claim_answer *answer,
                             int64_t now_us)
{
  struct eg_ticket ticket;

  if (eg_ticket_parse (&ticket, eg_str_from (call->ticket)))
    eg_tickets_complete (self->tickets, &ticket, &call->outcome, answer,
                         now_us);
}

void
eg_ticket_requests_sweep (struct eg_ticket_requests *self, int64_t now_us)
{
  eg_tickets_sweep (self->tickets, now_us);
}
