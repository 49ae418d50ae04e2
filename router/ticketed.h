/**
 * @file
 * Requests with a ticket: issues tickets and decides where a request that
 * presents one runs.
 */
#ifndef EG_ROUTER_TICKETED_H
#define EG_ROUTER_TICKETED_H

#include "policy/ticket.h"
#include "router/call.h"
#include "router/fleet.h"

/** Callbacks for the decisions on a ticket. */
struct eg_ticketed_callbacks
{
  /** The request runs on this entry VM. */
  void (*run) (void *context, struct eg_call *call);
  /** The request is forwarded to the entry VM at @p address. */
  void (*forward) (void *context, struct eg_call *call, const char *address);
  /**
   * The caller gets a new ticket, or the answer of an earlier request with the
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

struct eg_ticketed;

/**
 * Creates an empty table of tickets; NULL if out of memory.
 * @param address of this entry VM's listener for callers.
 * @param fleet lists the other entry VMs; must outlive the table.
 */
struct eg_ticketed *
eg_ticketed_new (const char *address,
                 uint64_t incarnation,
                 const struct eg_fleet *fleet,
                 const struct eg_ticketed_callbacks *callbacks);

/** Frees the table; its unused tickets can no longer run. */
void eg_ticketed_free (struct eg_ticketed *self);

/** Issues a ticket as the answer to @p call. */
void eg_ticketed_give (struct eg_ticketed *self,
                       struct eg_call *call,
                       int64_t now_us);

/** Handles a request with a ticket; exactly one callback follows. */
void eg_ticketed_use (struct eg_ticketed *self,
                      struct eg_call *call,
                      int64_t now_us);

/**
 * Reports the end of a request that ran on this entry VM.
 * @param answer stored for repeated requests; NULL if the request failed.
 */
void eg_ticketed_end (struct eg_ticketed *self,
                      struct eg_call *call,
                      const struct eg_claim_answer *answer,
                      int64_t now_us);

/** Removes expired tickets. */
void eg_ticketed_sweep (struct eg_ticketed *self, int64_t now_us);

#endif
