/**
 * @file
 * The decision thread, which owns all policy state.
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
 * Starts the decision thread and the backend, platform and bus threads.
 * @param settings must outlive the thread.
 * @return NULL with @p error set on failure.
 */
struct eg_decision *eg_decision_new (const struct eg_router_settings *settings,
                                     struct eg_error *error);

/** Stops the threads; requests in progress get no reply. */
void eg_decision_free (struct eg_decision *self);

/**
 * Submits a request; its replies arrive in the call's ring. Thread-safe.
 * @return false if the ring of the decision thread is full.
 */
bool eg_decision_submit (struct eg_decision *self, struct eg_call *call);

/** Reports that the client of a call has disconnected. Thread-safe. */
void eg_decision_abandon (struct eg_decision *self, struct eg_call *call);

/** Begins a planned stop: new requests are refused. Thread-safe. */
void eg_decision_stop (struct eg_decision *self);

/** Returns whether requests are queued or running. Thread-safe. */
bool eg_decision_is_busy (struct eg_decision *self);

/** Returns whether the load balancer may send requests here. Thread-safe. */
bool eg_decision_is_ready (struct eg_decision *self);

/**
 * Submits an edit of the rules and waits for its result. Must not be called on
 * the decision thread.
 * @param edit its @c done and @c context members are ignored.
 * @return EG_OK with @p result set, or EG_FULL.
 */
enum eg_status eg_decision_edit_rules (struct eg_decision *self,
                                       const struct eg_ruleset_edit *edit,
                                       struct eg_ruleset_result *result);

/** State that a query may read; valid only during its callback. */
struct eg_decision_view
{
  const struct eg_lifecycle *lifecycle;
  const struct eg_servers *servers;
  const struct eg_metrics *metrics;
  const struct eg_ruleset *ruleset;
  const struct eg_gossip *gossip; /**< NULL if the bus is disabled. */
  const struct eg_vm_list *vms;   /**< As last read from the platform. */
  int64_t now_us;
};

/**
 * Runs @p callback on the decision thread and waits for it. Must not be called
 * on the decision thread.
 * @return false if the ring of the decision thread is full.
 */
bool eg_decision_query (struct eg_decision *self,
                        void (*callback) (void *context,
                                          const struct eg_decision_view *view),
                        void *context);

#endif
