/**
 * @file
 * Dispatches requests: feeds events to the lifecycle and executes the actions
 * it returns, until each request has exactly one outcome. Runs on the decision
 * thread.
 */
#ifndef EG_ROUTER_DISPATCHER_H
#define EG_ROUTER_DISPATCHER_H

#include "backend/worker.h"
#include "platform/worker.h"
#include "policy/lifecycle.h"
#include "policy/rules.h"
#include "router/call.h"
#include "router/fleet.h"
#include "router/metrics.h"
#include "router/settings.h"

struct eg_dispatcher;

/** Dependencies of a dispatcher; all must outlive it. */
struct eg_dispatcher_deps
{
  const struct eg_router_settings *settings;
  struct eg_fleet *fleet;
  struct eg_backend_worker *backend;
  struct eg_platform_worker *platform;
  uint64_t incarnation; /**< Random value chosen at process start. */
  /** Called when this node starts a quarantine, to announce it; may be NULL. */
  void (*on_quarantine) (void *context, uint64_t fingerprint, int64_t until_us);
  void *context;
};

/** Creates a dispatcher; NULL if out of memory. */
struct eg_dispatcher *eg_dispatcher_new (const struct eg_dispatcher_deps *deps);

/** Frees the dispatcher; requests in progress get no reply. */
void eg_dispatcher_free (struct eg_dispatcher *self);

/**
 * Submits a request and takes over its reference; replies go to the call's
 * ring.
 */
void eg_dispatcher_submit (struct eg_dispatcher *self, struct eg_call *call);

/** Handles the disconnection of a call's client. */
void eg_dispatcher_abandon (struct eg_dispatcher *self, struct eg_call *call);

/** Handles the progress or end of an attempt. */
void eg_dispatcher_attempt_event (struct eg_dispatcher *self,
                                  struct eg_backend_event *event);

/** Handles a reply of the platform's object API. */
void eg_dispatcher_store_reply (struct eg_dispatcher *self,
                                const struct eg_platform_reply *reply);

/**
 * Handles an unresponsive server; with EG_SERVER_NONE, a change of any servers'
 * state.
 */
void eg_dispatcher_servers_changed (struct eg_dispatcher *self,
                                    uint32_t unresponsive);

/**
 * Replaces the rules in force.
 * @param rules must stay valid until the next call has returned.
 */
void eg_dispatcher_apply_rules (struct eg_dispatcher *self,
                                const struct eg_rules *rules);

/** Applies the drain rules after a new list of VMs, which may add servers. */
void eg_dispatcher_vm_list_changed (struct eg_dispatcher *self);

/** Begins a planned stop: new requests are refused. */
void eg_dispatcher_stop (struct eg_dispatcher *self);

/** Runs the work that is due at @p now_us, in microseconds. */
void eg_dispatcher_tick (struct eg_dispatcher *self, int64_t now_us);

/** Returns whether requests are queued, running or storing their answer. */
bool eg_dispatcher_is_busy (const struct eg_dispatcher *self);

/** Returns the lifecycle, for queries. */
const struct eg_lifecycle *
eg_dispatcher_lifecycle (const struct eg_dispatcher *self);

/**
 * Returns the lifecycle, to apply limits and quarantines received from peers.
 */
struct eg_lifecycle *
eg_dispatcher_mutable_lifecycle (struct eg_dispatcher *self);

/** Returns the metrics, for queries. */
const struct eg_metrics *
eg_dispatcher_metrics (const struct eg_dispatcher *self);

#endif
