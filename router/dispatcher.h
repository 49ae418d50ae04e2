/**
 * @file
 * Carries requests from arrival to their one outcome: feeds the lifecycle and
 * carries out what it decides. All on the decision thread.
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

/** What a dispatcher works with; all of it outlives the dispatcher. */
struct eg_dispatcher_parts
{
  const struct eg_router_settings *settings;
  struct eg_fleet *fleet;
  struct eg_backend_worker *backend;
  struct eg_platform_worker *platform;
  uint64_t incarnation; /**< Random, drawn as the process starts. */
  /** A quarantine began here, so that peers be told; may be NULL. */
  void (*on_quarantine) (void *context, uint64_t fingerprint, int64_t until_us);
  void *context;
};

/** Makes a dispatcher without requests; NULL without memory. */
struct eg_dispatcher *
eg_dispatcher_new (const struct eg_dispatcher_parts *parts);

/** Frees the dispatcher; requests that still run get no reply. */
void eg_dispatcher_free (struct eg_dispatcher *self);

/** Takes in a request and its reference; replies go to the call. */
void eg_dispatcher_arrive (struct eg_dispatcher *self, struct eg_call *call);

/** Takes in that a caller left. */
void eg_dispatcher_abandon (struct eg_dispatcher *self, struct eg_call *call);

/** Takes in a report on an attempt. */
void eg_dispatcher_attempt_event (struct eg_dispatcher *self,
                                  struct eg_backend_event *event);

/** Takes in a reply of the platform's object API. */
void eg_dispatcher_store_reply (struct eg_dispatcher *self,
                                const struct eg_platform_reply *reply);

/** Takes in that a server fell silent, or EG_SERVER_NONE: that some changed. */
void eg_dispatcher_servers_changed (struct eg_dispatcher *self,
                                    uint32_t silent);

/**
 * Puts rules in force in place of those before.
 * @param rules stay valid until the next call has returned.
 */
void eg_dispatcher_apply_rules (struct eg_dispatcher *self,
                                const struct eg_rules *rules);

/** Takes in that the platform's list was read: some servers may be new. */
void eg_dispatcher_servers_listed (struct eg_dispatcher *self);

/** Refuses new requests from now on. */
void eg_dispatcher_stop (struct eg_dispatcher *self);

/** Lets time pass. */
void eg_dispatcher_tick (struct eg_dispatcher *self, int64_t now_us);

/** Tells whether requests wait, run or keep their answer. */
bool eg_dispatcher_is_busy (const struct eg_dispatcher *self);

/** Returns the lifecycle, for inquiries. */
const struct eg_lifecycle *
eg_dispatcher_lifecycle (const struct eg_dispatcher *self);

/** Returns the lifecycle, for peers to change its limits and quarantine. */
struct eg_lifecycle *
eg_dispatcher_lifecycle_to_change (struct eg_dispatcher *self);

/** Returns the metrics, for inquiries. */
const struct eg_metrics *
eg_dispatcher_metrics (const struct eg_dispatcher *self);

#endif
