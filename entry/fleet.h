/**
 * @file
 * The backend servers that this entry VM knows: their entries, what they last
 * said, what it has under way on them, and which it does not trust for now.
 */
#ifndef EG_ENTRY_FLEET_H
#define EG_ENTRY_FLEET_H

#include "base/hash_table.h"
#include "base/list.h"
#include "net/exchange.h"
#include "platform/servers.h"
#include "policy/token_bucket.h"

struct eg_fleet;

/** Most failure domains of a fleet that are told apart. */
#define EG_FLEET_DOMAINS_MAX 32
/** Vanished servers of one failure domain that are remembered. */
#define EG_DOMAIN_REMOVALS_MAX 64

/** Why a server is no longer trusted. */
enum eg_server_fault
{
  EG_SERVER_FAULT_UNREACHABLE, /**< It takes no connection. */
  EG_SERVER_FAULT_REPORTED, /**< Another server named it as the one at fault. */
  EG_SERVER_FAULT_TIMED_OUT,    /**< A question was not answered. */
  EG_SERVER_FAULT_BAD_RESPONSE, /**< It broke off, or sent what is no answer. */
  EG_SERVER_FAULT_ERROR_STATUS, /**< It answered with a failure. */
  EG_SERVER_FAULT_NO_CAPACITY,  /**< It has no room now, or gives up its layers.
                                 */
};

/** A request of this entry VM to a server about itself. */
struct eg_probe
{
  struct eg_exchange exchange;
  struct eg_buffer body;
  unsigned status;
  int64_t begun_us;
  int64_t patience_us; /**< Without an answer for this long, it is silent. */
};

/** One backend server. */
struct eg_backend
{
  struct eg_hash_node by_id;
  struct eg_list all;
  struct eg_fleet *fleet;
  struct eg_server_record entry;
  unsigned references; /**< Requests that name it. */
  bool listed;         /**< Its entry stands in the store. */
  bool marked;         /**< Seen in the list that is being read. */
  int64_t lapse_us;    /**< Not 0: its entry may come back until then. */
  int64_t suspect_until_us;
  int64_t suspected_us;
  int64_t draining_us; /**< When it was seen to leave; 0: it does not. */
  int64_t
      full_until_us; /**< It had no room; see EG_SERVER_FAULT_NO_CAPACITY. */
  double penalty;    /**< Recent faults, as of @c penalty_us. */
  int64_t penalty_us;
  unsigned running;       /**< Requests of this entry VM. */
  double kv_running;      /**< Their tokens x layers. */
  unsigned first_running; /**< Those of which it is the first server. */
  double kv_others;       /**< Of other entry VMs, as they told. */
  double first_others;
  int64_t others_us; /**< When they told it. */
  bool tells_load;
  unsigned load; /**< Running and waiting, when it last said so. */
  unsigned slots;
  int64_t load_us;
  double kv_used; /**< Of its last report. */
  double kv_total;
  double slowness; /**< Of its last report; 1 until then. */
  int64_t report_us;
  double slowness_told; /**< By other entry VMs that asked it. */
  int64_t slowness_told_us;
  int64_t told_down_us; /**< When one of them last said that it is down. */
  struct eg_probe probe;
  struct eg_exchange order;      /**< Of the planner. */
  int64_t orders;                /**< That it has begun; negative: not known. */
  struct eg_layer_range ordered; /**< Under way; from == to: none. */
  int64_t ordered_us;
  unsigned order_status;
  int64_t order_next_us; /**< It takes no order before. */
};

/** Servers of a failure domain that came and went lately. */
struct eg_domain_history
{
  char name[EG_CONFIG_NAME_BYTES];
  int64_t returned_us; /**< When one came back with its layers. */
  int64_t vanished_us[EG_DOMAIN_REMOVALS_MAX]; /**< Without leaving first. */
  unsigned vanished;                           /**< All so far. */
};

/** Told of what servers report. */
struct eg_fleet_events
{
  void (*reported) (void *context,
                    struct eg_backend *backend,
                    const struct eg_engine_report *report);
  /** A server came under suspicion, or is leaving. */
  void (*unsettled) (void *context);
  void *context;
};

/** All servers; memory of the caller. */
struct eg_fleet
{
  struct eg_hash_table by_id;
  struct eg_list all;
  size_t count;
  struct eg_exchange_pool *pool;
  struct eg_fleet_events events;
  bool known;         /**< A whole list was read. */
  int64_t lost_us;    /**< Since when the store does not answer; 0: it does. */
  int64_t found_us;   /**< When it last answered again. */
  bool lapsing;       /**< Entries may have lapsed while it was away. */
  int64_t changed_us; /**< When an entry last changed. */
  struct eg_domain_history domains[EG_FLEET_DOMAINS_MAX];
  size_t domain_count;
  uint64_t probes;
  struct eg_token_bucket probes_allowed;
};

/** Makes an empty fleet. */
void eg_fleet_init (struct eg_fleet *self,
                    struct eg_exchange_pool *pool,
                    const struct eg_fleet_events *events);

/** Frees all servers. */
void eg_fleet_finish (struct eg_fleet *self);

/** A list of all entries begins. */
void eg_fleet_begin_list (struct eg_fleet *self);

/** An entry is as told, or deleted. */
void eg_fleet_update_server (struct eg_fleet *self,
                             json_t *object,
                             bool deleted,
                             int64_t now_us);

/** A list has ended, or a watch has told all; see eg_feed_events. */
void eg_fleet_synced (struct eg_fleet *self, bool listed, int64_t now_us);

/** The store does not answer. */
void eg_fleet_store_lost (struct eg_fleet *self, int64_t now_us);

/** Finds a server by address; NULL if none in use has it. */
struct eg_backend *eg_fleet_find_by_endpoint (struct eg_fleet *self,
                                              struct eg_endpoint endpoint);

/** Does what is due: probes of suspects, entries that stay away. */
void eg_fleet_check (struct eg_fleet *self, int64_t now_us);

/**
 * Tells whether what is known of a failure domain is whole enough to move
 * layers there: its servers are neither cut off nor just coming back.
 * @param listed how many of its servers stand in the store.
 */
bool eg_fleet_domain_is_stable (const struct eg_fleet *self,
                                const char *domain,
                                size_t listed,
                                int64_t now_us);

/** Another entry VM suspects a server: asks it. */
void eg_fleet_suspect_reported (struct eg_fleet *self,
                                struct eg_str id,
                                int64_t now_us);

/** An idle connection to a server has ended: asks it. */
void eg_fleet_connection_ended (struct eg_fleet *self,
                                struct eg_endpoint endpoint,
                                int64_t now_us);

/** Tells whether a server may be sent new requests. */
bool eg_backend_is_usable (const struct eg_backend *self, int64_t now_us);

/** Tells whether it is suspected of being down. */
bool eg_backend_is_suspect (const struct eg_backend *self, int64_t now_us);

/** Returns the weight of recent faults, 0 for none. */
double eg_backend_penalty (const struct eg_backend *self, int64_t now_us);

/** Counts a fault against a server. */
void eg_backend_record_fault (struct eg_backend *self,
                              enum eg_server_fault blame,
                              struct eg_str request_id,
                              int64_t now_us);

/** Takes in the load that an answer tells. */
void eg_backend_update_load (struct eg_backend *self,
                             unsigned load,
                             unsigned slots,
                             int64_t now_us);

/** How many times slower than its kind it is, 1 where nothing is known. */
double eg_backend_slowness (const struct eg_backend *self, int64_t now_us);

/** Asks a server for its report or health, unless it was just asked. */
void eg_backend_probe (struct eg_backend *self, int64_t now_us);

/** Asks an engine for its report in the course of watching it. */
void eg_backend_poll_report (struct eg_backend *self, int64_t now_us);

/** It carries out an order, or has refused one: gives it no other for now. */
void eg_backend_pause_orders (struct eg_backend *self, int64_t now_us);

/** Holds a server for a request. */
void eg_backend_ref (struct eg_backend *self);

/** Lets go of a server, which may be freed by that. */
void eg_backend_unref (struct eg_backend *self);

#endif
