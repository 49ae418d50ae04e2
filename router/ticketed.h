/**
 * @file
 * Requests with a ticket: gives tickets, and decides where a request that
 * brings one runs.
 */
#ifndef EG_ROUTER_TICKETED_H
#define EG_ROUTER_TICKETED_H

#include "policy/ticket.h"
#include "router/call.h"
#include "router/fleet.h"

/** What the owner does when a ticket asks for it. */
struct eg_ticketed_callbacks
{
  /** The request runs here. */
  void (*run) (void *context, struct eg_call *call);
  /** The entry VM at @p address runs it. */
  void (*forward) (void *context, struct eg_call *call, const char *address);
  /** The caller gets an answer: a new ticket, or that of an earlier sending. */
  void (*answer) (void *context,
                  struct eg_call *call,
                  const struct eg_claim_answer *answer);
  /** The caller is refused. */
  void (*refuse) (void *context,
                  struct eg_call *call,
                  enum eg_refusal refusal,
                  enum eg_ran ran,
                  int64_t retry_after_us);
  void *context;
};

struct eg_ticketed;

/**
 * Makes an empty table; NULL without memory.
 * @param address where callers reach this entry VM.
 * @param fleet knows the other entry VMs; outlives the table.
 */
struct eg_ticketed *
eg_ticketed_new (const char *address,
                 uint64_t incarnation,
                 const struct eg_fleet *fleet,
                 const struct eg_ticketed_callbacks *callbacks);

/** Frees the table; its tickets never run. */
void eg_ticketed_free (struct eg_ticketed *self);

/** Answers a request for a ticket. */
void eg_ticketed_give (struct eg_ticketed *self,
                       struct eg_call *call,
                       int64_t now_us);

/** Takes in a request that brings a ticket; one of the callbacks follows. */
void eg_ticketed_use (struct eg_ticketed *self,
                      struct eg_call *call,
                      int64_t now_us);

/**
 * Ends a request that ran here.
 * @param answer kept for repeats; NULL for none.
 */
void eg_ticketed_end (struct eg_ticketed *self,
                      struct eg_call *call,
                      const struct eg_claim_answer *answer,
                      int64_t now_us);

/** Forgets tickets past their time. */
void eg_ticketed_sweep (struct eg_ticketed *self, int64_t now_us);

#endif
