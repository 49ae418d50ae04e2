/**
 * @file
 * Requests with an idempotency key: runs the claim protocol of each against the
 * platform's store.
 */
#ifndef EG_ROUTER_KEYED_REQUESTS_H
#define EG_ROUTER_KEYED_REQUESTS_H

#include "platform/worker.h"
#include "policy/claim.h"
#include "policy/claim_quota.h"
#include "router/call.h"

/** Callbacks for the decisions of a claim. */
struct eg_keyed_requests_callbacks
{
  /** The request may be dispatched, until @p send_by_us. */
  void (*dispatch) (void *context, struct eg_call *call, int64_t send_by_us);
  /** The client gets the answer of an earlier request with the key. */
  void (*answer) (void *context,
                  struct eg_call *call,
                  const struct eg_claim_answer *answer);
  /** The request is refused. */
  void (*refuse) (void *context,
                  struct eg_call *call,
                  const struct eg_claim_action *refusal);
  void *context;
};

struct eg_keyed_requests;

/** Creates an empty set of requests; never NULL. */
struct eg_keyed_requests *
eg_keyed_requests_new (struct eg_platform_worker *platform,
                       uint64_t incarnation,
                       uint64_t seed,
                       const struct eg_keyed_requests_callbacks *callbacks);

/** Frees all requests; their claims in the store are kept. */
void eg_keyed_requests_free (struct eg_keyed_requests *self);

/** Submits a request with a key; exactly one callback follows. */
void eg_keyed_requests_submit (struct eg_keyed_requests *self,
                               struct eg_call *call,
                               int64_t now_us);

/** Handles a reply of the platform; false if it belongs to no claim. */
bool eg_keyed_requests_store_reply (struct eg_keyed_requests *self,
                                    const struct eg_platform_reply *reply,
                                    int64_t now_us);

/** Reports the complete answer of a dispatched request. */
void eg_keyed_requests_answered (struct eg_keyed_requests *self,
                                 uint64_t id,
                                 const struct eg_claim_answer *answer,
                                 int64_t now_us);

/** Reports that a dispatched request failed; its refusal follows. */
void eg_keyed_requests_refused (struct eg_keyed_requests *self,
                                uint64_t id,
                                enum eg_refusal refusal,
                                int64_t now_us);

/** Runs the work that is due at @p now_us, in microseconds. */
void eg_keyed_requests_tick (struct eg_keyed_requests *self, int64_t now_us);

/** Returns the number of claims in progress. */
size_t eg_keyed_requests_count (const struct eg_keyed_requests *self);

#endif
