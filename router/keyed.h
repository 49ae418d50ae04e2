/**
 * @file
 * Requests with an idempotency key: drives a claim for each through the
 * platform's store.
 */
#ifndef EG_ROUTER_KEYED_H
#define EG_ROUTER_KEYED_H

#include "platform/worker.h"
#include "policy/claim.h"
#include "policy/claim_quota.h"
#include "router/call.h"

/** What the owner does when a claim asks for it. */
struct eg_keyed_callbacks
{
  /** The request may be placed and sent, until @p send_by_us. */
  void (*dispatch) (void *context, struct eg_call *call, int64_t send_by_us);
  /** The caller gets the answer of an earlier sending. */
  void (*answer) (void *context,
                  struct eg_call *call,
                  const struct eg_claim_answer *answer);
  /** The caller is refused. */
  void (*refuse) (void *context,
                  struct eg_call *call,
                  const struct eg_claim_action *refusal);
  void *context;
};

struct eg_keyed;

/** Makes an empty set of claims; never NULL. */
struct eg_keyed *eg_keyed_new (struct eg_platform_worker *platform,
                               uint64_t incarnation,
                               uint64_t seed,
                               const struct eg_keyed_callbacks *callbacks);

/** Forgets all claims; those in the store stay. */
void eg_keyed_free (struct eg_keyed *self);

/** Takes in a request with a key; one of the callbacks follows. */
void
eg_keyed_arrive (struct eg_keyed *self, struct eg_call *call, int64_t now_us);

/** Takes in a reply of the platform; false if it belongs to no claim. */
bool eg_keyed_reply (struct eg_keyed *self,
                     const struct eg_platform_reply *reply,
                     int64_t now_us);

/** Tells that the answer of a dispatched request is whole. */
void eg_keyed_answered (struct eg_keyed *self,
                        uint64_t id,
                        const struct eg_claim_answer *answer,
                        int64_t now_us);

/** Tells that a dispatched request was given up; its refusal follows. */
void eg_keyed_refused (struct eg_keyed *self,
                       uint64_t id,
                       enum eg_refusal refusal,
                       int64_t now_us);

/** Lets time pass. */
void eg_keyed_tick (struct eg_keyed *self, int64_t now_us);

/** Returns how many claims are under way. */
size_t eg_keyed_count (const struct eg_keyed *self);

#endif
