/**
 * @file
 * Requests with a ticket: issues tickets and decides where a request that
 * presents one runs.
 */
#ifndef EG_ROUTER_TICKET_REQUESTS_H
#define EG_ROUTER_TICKET_REQUESTS_H

#include "policy/ticket.h"
#include "router/call.h"
#include "router/fleet.h"

/** Callbacks for the decisions on a ticket. */
struct eg_ticket_requests_callbacks
{
  /** The request runs on this entry VM. */
  void (*run) (void *context, struct eg_call *call);
  /** The request is forwarded to the entry VM at @p address. */
  void (*forward) (void *context, struct eg_call *call, const char *address);
  /**
   * The client gets a new ticket, or the answer of an earlier request with the
   * ticket.
   */
  void (*answer) (void *context,
                  struct eg_call *call,
                  const struct eg_claim_answer *answer);
  /** The request is refused. */
  void (*refuse) (void *context,
                  struct eg_call *call,
                  enum eg_refusal refusal,
                  enum eg_ran ran,
                  int64_t retry_after_us);
  void *context;
};

struct eg_ticket_requests;

/**
 * Creates an empty table of tickets; NULL if out of memory.
 * @param address of this entry VM's listener for clients.
 * @param fleet lists the other entry VMs; must outlive the table.
 */
struct eg_ticket_requests *
eg_ticket_requests_new (const char *address,
                        uint64_t incarnation,
                        const struct eg_fleet *fleet,
                        const struct eg_ticket_requests_callbacks *callbacks);

/** Frees the table; its tickets can no longer be redeemed. */
void eg_ticket_requests_free (struct eg_ticket_requests *self);

/** Issues a ticket as the answer to @p call. */
void eg_ticket_requests_issue (struct eg_ticket_requests *self,
                               struct eg_call *call,
                               int64_t now_us);

/** Handles a request with a ticket; exactly one callback follows. */
void eg_ticket_requests_redeem (struct eg_ticket_requests *self,
                                struct eg_call *call,
                                int64_t now_us);

/**
 * Reports the end of a request that ran on this entry VM.
 * @param answer stored for repeated requests; NULL if the request failed.
 */
void eg_ticket_requests_complete (struct eg_ticket_requests *self,
                                  struct eg_call *call,
                                  const struct eg_claim_answer *answer,
                                  int64_t now_us);

/** Removes expired tickets. */
void eg_ticket_requests_sweep (struct eg_ticket_requests *self, int64_t now_us);

#endif
