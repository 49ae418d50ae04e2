/**
 * @file
 * Tickets: each lets one non-idempotent request run at most once, on the
 * entry VM that gave it and in this incarnation of it, without the store.
 *
 * A ticket names a random number in this table; guessing one is as hard as
 * guessing 128 bits, so it needs no signature.
 */
#ifndef EG_POLICY_TICKET_H
#define EG_POLICY_TICKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/str.h"
#include "base/status.h"
#include "policy/claim_record.h"
#include "policy/outcome.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Longest ticket text: address, incarnation and number, with final zero. */
#define EG_TICKET_TEXT_BYTES (EG_ADDRESS_BYTES + 1 + 16 + 1 + 32)

/** The number of a ticket; from the operating system, never from a seed. */
struct eg_ticket_number
{
  uint64_t high;
  uint64_t low;
};

/** What a ticket's text says; the address is a claim, not a fact. */
struct eg_ticket
{
  char address[EG_ADDRESS_BYTES]; /**< Of the entry VM that gave it. */
  uint64_t incarnation;
  struct eg_ticket_number number;
};

/** Where a ticket's entry VM stands, as membership knows it. */
enum eg_ticket_issuer_state
{
  EG_TICKET_ISSUER_LIVE,        /**< A live member: forward to it. */
  EG_TICKET_ISSUER_UNREACHABLE, /**< A member, cut off at the moment. */
  EG_TICKET_ISSUER_GONE,        /**< Never a member, or replaced by another. */
};

/** Settings of the table. */
struct eg_tickets_config
{
  char address[EG_ADDRESS_BYTES]; /**< Where other entry VMs reach this one. */
  uint64_t incarnation;
  int64_t lifetime_us;      /**< A ticket may be used until then. */
  int64_t keep_us;          /**< How long an outcome is kept after the end. */
  int64_t retry_after_us;   /**< Told to callers where waiting helps. */
  size_t entries_max;       /**< Tickets at a time. */
  size_t organisation_max;  /**< Tickets of one organisation at a time. */
  size_t answer_bytes_max;  /**< A longer answer is not kept. */
  size_t answers_bytes_max; /**< All kept answers together. */
  /** Asks membership; only addresses it calls live are ever forwarded to. */
  enum eg_ticket_issuer_state (*issuer_state) (void *context,
                                               struct eg_str address,
                                               uint64_t incarnation);
  void *issuer_state_context;
};

/** What to do with a request that brings a ticket. */
enum eg_ticket_decision
{
  EG_TICKET_RUN,     /**< The ticket is ours and taken for this request. */
  EG_TICKET_FORWARD, /**< Pass the request on to @c ticket.address. */
  EG_TICKET_ANSWER,  /**< Give the stored answer. */
  EG_TICKET_REFUSE,
};

/** The decision with its particulars. */
struct eg_ticket_result
{
  enum eg_ticket_decision decision;
  struct eg_ticket ticket;
  struct eg_claim_answer answer; /**< Of ANSWER; until the next change. */
  enum eg_refusal refusal;
  enum eg_ran ran;
  int64_t retry_after_us; /**< 0 where waiting does not help. */
};

struct eg_tickets;

/** Makes an empty table; NULL if memory could not be had. */
struct eg_tickets *eg_tickets_new (const struct eg_tickets_config *config);

/** Frees the table. */
void eg_tickets_free (struct eg_tickets *self);

/**
 * Gives a ticket to @p organisation.
 * @param[out] text the ticket, zero-terminated.
 * @return EG_OK, or EG_FULL if the table or the organisation's share is full.
 */
enum eg_status eg_tickets_issue (struct eg_tickets *self,
                                 struct eg_str organisation,
                                 struct eg_ticket_number number,
                                 int64_t now_us,
                                 char text[EG_TICKET_TEXT_BYTES]);

/**
 * Decides on a request that brings @p text.
 * @param outcome of the request, of kind EG_OUTCOME_TICKETED; is told what the
 *        table knows.
 */
void eg_tickets_redeem (struct eg_tickets *self,
                        struct eg_str text,
                        struct eg_str organisation,
                        uint64_t fingerprint,
                        int64_t now_us,
                        struct eg_outcome *outcome,
                        struct eg_ticket_result *verdict);

/**
 * Ends the request that a ticket was taken for, after its caller was answered.
 * A request that the outcome calls unsent gives its ticket back.
 * @param answer what to keep for repeats; NULL for none.
 */
void eg_tickets_complete (struct eg_tickets *self,
                          const struct eg_ticket *ticket,
                          struct eg_outcome *outcome,
                          const struct eg_claim_answer *answer,
                          int64_t now_us);

/** Forgets tickets past their time; a running one stays. */
void eg_tickets_sweep (struct eg_tickets *self, int64_t now_us);

/** Returns how many tickets the table holds. */
size_t eg_tickets_count (const struct eg_tickets *self);

/** Returns how many bytes the table takes, without the kept answers. */
size_t eg_tickets_bytes (const struct eg_tickets *self);

/** Reads a ticket's text; false if it is malformed. */
bool eg_ticket_parse (struct eg_ticket *self, struct eg_str text);

EG_END_DECLS

#endif
