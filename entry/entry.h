/**
 * @file
 * The state of one entry VM's process; one thread owns all of it.
 */
#ifndef EG_ENTRY_ENTRY_H
#define EG_ENTRY_ENTRY_H

#include "base/random.h"
#include "entry/connections.h"
#include "entry/fleet.h"
#include "entry/log_queue.h"
#include "entry/load_gossip.h"
#include "entry/members.h"
#include "entry/metrics.h"
#include "entry/planner.h"
#include "entry/reload.h"
#include "entry/settings.h"
#include "entry/source_selector.h"
#include "platform/store.h"
#include "policy/retry_window.h"

/** Most services whose retries are counted apart. */
#define EG_RETRY_SERVICES_MAX 32

/** Retries of one service. */
struct eg_service_retries
{
  char service[EG_CONFIG_NAME_BYTES];
  struct eg_retry_window window;
};

/** The configuration in force, and how old it may be. */
struct eg_accepted_configuration
{
  struct eg_configuration *now; /**< NULL until one was read. */
  int64_t as_of_us; /**< The store was asked for it, or for changes, then. */
  bool reachable;   /**< The store answered last time. */
};

/** The process. */
struct eg_entry
{
  const struct eg_entry_settings *settings; /**< Changed by @c reload alone. */
  struct eg_reload reload;
  uv_loop_t loop;
  uv_timer_t tick;
  uv_timer_t urgent; /**< Runs once, after what runs now. */
  struct eg_random random;
  struct eg_log_queue journal;
  struct eg_exchange_pool pool;
  struct eg_store store;
  struct eg_source_selector sources;
  struct eg_mirror mirror;
  struct eg_store_feed configuration_feed;
  struct eg_store_feed servers_feed;
  struct eg_accepted_configuration configuration;
  struct eg_fleet fleet;
  struct eg_planner planner;
  struct eg_callers callers;
  struct eg_metrics metrics;
  struct eg_service_retries retries[EG_RETRY_SERVICES_MAX];
  size_t retry_services;
  struct eg_members members;
  struct eg_load_gossip loads;
  int64_t begun_us;
  int64_t stop_us; /**< When a planned stop began; 0: none has. */
};

/** Returns the retry window of a service. */
struct eg_retry_window *eg_entry_retry_window (struct eg_entry *self,
                                               const char *service);

/** Tells whether API keys may be used: the configuration is new enough. */
bool eg_entry_keys_are_fresh (const struct eg_entry *self, int64_t now_us);

/** Tells whether this entry VM can serve callers. */
bool eg_entry_is_ready (const struct eg_entry *self, int64_t now_us);

#endif
