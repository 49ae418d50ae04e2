/**
 * @file
 * Table of tickets. A ticket lets one non-idempotent request run at most once
 * without the store: it is valid only at the entry VM that issued it, and only
 * until that process ends.
 *
 * A ticket contains a random number of 128 bits that is looked up in the table.
 * It cannot be guessed, so it needs no signature.
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

/** Size of a ticket's text: address, incarnation and number, with the
 *  terminating zero. */
#define EG_TICKET_TEXT_BYTES (EG_ADDRESS_BYTES + 1 + 16 + 1 + 32)

/** Number of a ticket; from the operating system's random source, never from a
 *  seeded generator. */
struct eg_ticket_number
{
  uint64_t high;
  uint64_t low;
};

/** A parsed ticket; its address comes from the client and is not trusted. */
struct eg_ticket
{
  char address[EG_ADDRESS_BYTES]; /**< Of the entry VM that issued it. */
  uint64_t incarnation;
  struct eg_ticket_number number;
};

/** State of the entry VM that issued a ticket, according to membership. */
enum eg_ticket_issuer_state
{
  EG_TICKET_ISSUER_LIVE,        /**< A live member; requests are forwarded. */
  EG_TICKET_ISSUER_UNREACHABLE, /**< A member that cannot be reached now. */
  EG_TICKET_ISSUER_GONE,        /**< Not a member, or since replaced. */
};

/** Settings of the table. */
struct eg_tickets_config
{
  char address[EG_ADDRESS_BYTES]; /**< At which other entry VMs reach it. */
  uint64_t incarnation;
  int64_t lifetime_us;      /**< From issue to last redemption. */
  int64_t keep_us;          /**< Time to keep outcomes of ended requests. */
  int64_t retry_after_us;   /**< Retry-After of refusals that may be retried. */
  size_t entries_max;       /**< Capacity of the table. */
  size_t organisation_max;  /**< Tickets per organisation. */
  size_t answer_bytes_max;  /**< Longer answers are not stored. */
  size_t answers_bytes_max; /**< Total of all stored answers. */
  /** Looks up membership; requests are only forwarded to live addresses. */
  enum eg_ticket_issuer_state (*issuer_state) (void *context,
                                               struct eg_str address,
                                               uint64_t incarnation);
  void *issuer_state_context;
};

/** What to do with a request that carries a ticket. */
enum eg_ticket_decision
{
  EG_TICKET_RUN,     /**< Run it; the ticket is now bound to it. */
  EG_TICKET_FORWARD, /**< Forward the request to @c ticket.address. */
  EG_TICKET_ANSWER,  /**< Return the stored answer. */
  EG_TICKET_REFUSE,  /**< Refuse the request. */
};

/** A decision and its details. */
struct eg_ticket_result
{
  enum eg_ticket_decision decision;
  struct eg_ticket ticket;
  struct eg_claim_answer answer; /**< ANSWER; valid until the next change. */
  enum eg_refusal refusal;
  enum eg_ran ran;
  int64_t retry_after_us; /**< REFUSE; 0 if a retry cannot help. */
};

struct eg_tickets;

/** Creates an empty table; NULL if out of memory. */
struct eg_tickets *eg_tickets_new (const struct eg_tickets_config *config);

/** Frees the table; NULL is allowed. */
void eg_tickets_free (struct eg_tickets *self);

/**
 * Issues a ticket to @p organisation.
 * @param[out] text the ticket, zero-terminated.
 * @return EG_OK; EG_FULL if the table is full, the number is in use or the
 *         organisation is at its limit; EG_INVALID if the organisation's
 *         name is too long.
 */
enum eg_status eg_tickets_issue (struct eg_tickets *self,
                                 struct eg_str organisation,
                                 struct eg_ticket_number number,
                                 int64_t now_us,
                                 char text[EG_TICKET_TEXT_BYTES]);

/**
 * Decides on a request that carries a ticket.
 * @param text the ticket.
 * @param outcome outcome of the request, of kind EG_OUTCOME_TICKETED; updated
 *        with what the table knows of earlier requests.
 * @param[out] result the decision.
 */
void eg_tickets_redeem (struct eg_tickets *self,
                        struct eg_str text,
                        struct eg_str organisation,
                        uint64_t fingerprint,
                        int64_t now_us,
                        struct eg_outcome *outcome,
                        struct eg_ticket_result *result);

/**
 * Ends the request that a ticket is bound to, after its client was answered.
 * If the request was never sent, by its outcome, the ticket can be redeemed
 * again.
 * @param answer answer to store for repeats; NULL for none.
 */
void eg_tickets_complete (struct eg_tickets *self,
                          const struct eg_ticket *ticket,
                          struct eg_outcome *outcome,
                          const struct eg_claim_answer *answer,
                          int64_t now_us);

/** Removes expired tickets, except those whose request is running. */
void eg_tickets_sweep (struct eg_tickets *self, int64_t now_us);

/** Returns the number of tickets in the table. */
size_t eg_tickets_count (const struct eg_tickets *self);

/** Returns the size of the table in bytes, without the stored answers. */
size_t eg_tickets_bytes (const struct eg_tickets *self);

/** Parses a ticket's text; returns false if it is malformed. */
bool eg_ticket_parse (struct eg_ticket *self, struct eg_str text);

EG_END_DECLS

#endif
