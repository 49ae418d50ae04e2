/**
 * @file
 * The thread that owns all policy state and takes every decision.
 */
#ifndef EG_ROUTER_DECISION_H
#define EG_ROUTER_DECISION_H

#include "platform/vms.h"
#include "policy/lifecycle.h"
#include "router/call.h"
#include "router/gossip.h"
#include "router/metrics.h"
#include "router/ruleset.h"
#include "router/settings.h"

struct eg_decision;

/**
 * Starts the thread and those of backend servers and platform.
 * @param settings outlives the thread.
 * @return NULL with a message if the system refuses.
 */
struct eg_decision *eg_decision_new (const struct eg_router_settings *settings,
                                     struct eg_error *error);

/** Ends the threads; requests that still run get no reply. */
void eg_decision_free (struct eg_decision *self);

/**
 * Hands a request over; for any thread. The call's replies follow.
 * @return false if the ring is full.
 */
bool eg_decision_submit (struct eg_decision *self, struct eg_call *call);

/** Tells that a call's caller left; for any thread. */
void eg_decision_abandon (struct eg_decision *self, struct eg_call *call);

/** Refuses new requests from now on; for any thread. */
void eg_decision_stop (struct eg_decision *self);

/** Tells whether requests wait or run; for any thread. */
bool eg_decision_is_busy (struct eg_decision *self);

/** Tells whether the balancer may send callers here; for any thread. */
bool eg_decision_is_ready (struct eg_decision *self);

/**
 * Hands an edit of the rules over and waits for its result; for other threads.
 * @param edit its @c done and @c context are set here.
 * @return EG_OK with @p result filled, or EG_FULL.
 */
enum eg_status eg_decision_edit_rules (struct eg_decision *self,
                                       const struct eg_ruleset_edit *edit,
                                       struct eg_ruleset_result *result);

/** What an inquiry may read; valid during its callback. */
struct eg_decision_view
{
  const struct eg_lifecycle *lifecycle;
  const struct eg_servers *servers;
  const struct eg_metrics *metrics;
  const struct eg_ruleset *ruleset;
  const struct eg_gossip *gossip; /**< NULL while the bus is off. */
  const struct eg_vm_list *vms;   /**< The platform's, as last read. */
  int64_t now_us;
};

/**
 * Runs @p inquire on the decision thread and waits for it; for other threads.
 * @return false if the thread is too busy to take it.
 */
bool eg_decision_inquire (struct eg_decision *self,
                          void (*inquire) (void *context,
                                           const struct eg_decision_view *view),
                          void *context);

#endif
