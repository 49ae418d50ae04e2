/**
 * @file
 * State of an entry daemon. All of it belongs to the event loop's thread.
 */
#ifndef EG_ENTRY_ENTRY_H
#define EG_ENTRY_ENTRY_H

#include "base/random.h"
#include "entry/configuration_spread.h"
#include "entry/connections.h"
#include "entry/crash_watch.h"
#include "entry/fleet.h"
#include "entry/log_queue.h"
#include "entry/load_gossip.h"
#include "entry/members.h"
#include "entry/metrics.h"
#include "entry/peer_paths.h"
#include "entry/planner.h"
#include "entry/quarantine_store.h"
#include "entry/reach_watch.h"
#include "entry/reload.h"
#include "entry/server_alerts.h"
#include "entry/server_limits.h"
#include "entry/settings.h"
#include "entry/source_selector.h"
#include "entry/vm_messages.h"
#include "entry/wait_queue.h"
#include "platform/object_text.h"
#include "platform/store.h"
#include "policy/retry_window.h"
#include "policy/shortage.h"

/** What this VM keeps of one service. */
struct eg_service_state
{
  struct eg_hash_node by_name;
  struct eg_str name; /**< In the memory after the state. */
  struct eg_retry_window retries;
  struct eg_shortage shortage;
  /** When a peer could not serve it either, although this VM reaches servers.
   */
  int64_t peers_refused_us;
  /** Requests that wait for room; NULL: none has needed to. */
  struct eg_service_wait *wait;
};

/** The active configuration and its age. */
struct eg_accepted_configuration
{
  /** NULL until a configuration has been received. */
  struct eg_configuration *current;
  struct eg_object_text text; /**< As it was read. */
  /** Time at which the store was last known to have no newer version. */
  int64_t as_of_us;
  /** The newest version that was read but cannot be applied; INT64_MAX if it
   * has no readable version; 0: none. */
  int64_t unapplied;
  bool reachable; /**< The last call to the store succeeded. */
};

/** The entry daemon. */
struct eg_entry
{
  const struct eg_entry_settings *settings; /**< Modified only by @c reload. */
  struct eg_reload reload;
  uv_loop_t loop;
  uv_timer_t tick;
  /** One-shot timer that runs after the current callback. */
  uv_timer_t deferred;
  struct eg_random random;
  struct eg_log_queue log_queue;
  struct eg_exchange_pool pool;
  struct eg_store_era store_era;
  struct eg_store store;
  struct eg_source_selector configuration_source;
  struct eg_source_selector servers_source;
  struct eg_mirror mirror;
  struct eg_store_feed configuration_feed;
  struct eg_store_feed servers_feed;
  struct eg_accepted_configuration configuration;
  struct eg_configuration_spread configuration_spread;
  struct eg_fleet fleet;
  struct eg_reach_watch reach_watch;
  struct eg_peer_paths peer_paths;
  struct eg_planner planner;
  struct eg_connections connections;
  struct eg_metrics metrics;
  struct eg_hash_table services; /**< States of services, by name. */
  struct eg_members members;
  struct eg_vm_messages vm_messages;
  struct eg_load_gossip load_gossip;
  struct eg_server_alerts server_alerts;
  struct eg_crash_watch crash_watch;
  struct eg_quarantine_store quarantine_store;
  struct eg_wait_queues wait_queues;
  int64_t started_us;
  int64_t ticked_us;   /**< Time of the last tick. */
  int64_t lateness_us; /**< Of ticks, on average. */
  bool was_paused;     /**< The last tick came late and was skipped. */
  int64_t stop_us; /**< Start of a graceful shutdown; 0: not shutting down. */
};

/** Initialises the states of services and the configuration. */
void eg_entry_init_configuration (struct eg_entry *self);

/**
 * Returns the state of a service. It is kept until a configuration without the
 * service is accepted.
 */
struct eg_service_state *eg_entry_service (struct eg_entry *self,
                                           struct eg_str service);

/** Returns whether the configuration is recent enough to accept API keys. */
bool eg_entry_keys_are_fresh (const struct eg_entry *self, int64_t now_us);

/**
 * Puts a configuration into force if it is newer than the present one.
 * @param object as the store holds it; borrowed.
 */
void eg_entry_accept_configuration (struct eg_entry *self, json_t *object);

/**
 * Takes note that the store has a configuration that cannot be read. The keys
 * in use are outdated from now on; see eg_entry_configuration_read().
 * @param version its version; negative: unknown.
 * @param cause place, value and limit, for the log.
 */
void eg_entry_configuration_unusable (struct eg_entry *self,
                                      int64_t version,
                                      const char *cause);

/**
 * Takes note that the store had no configuration newer than those passed to
 * eg_entry_accept_configuration() at @p as_of_us. Renews the age of the keys,
 * unless the newest configuration could not be applied.
 */
void eg_entry_configuration_read (struct eg_entry *self, int64_t as_of_us);

/** Returns whether there is a configuration that requests may be served by. */
bool eg_entry_has_configuration (const struct eg_entry *self);

/** Returns whether this entry VM can serve clients. */
bool eg_entry_is_ready (const struct eg_entry *self, int64_t now_us);

#endif
