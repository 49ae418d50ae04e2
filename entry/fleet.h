/**
 * @file
 * Backend servers known to this entry VM: their registry records, last reported
 * state, load, and health.
 */
#ifndef EG_ENTRY_FLEET_H
#define EG_ENTRY_FLEET_H

#include "base/hash_table.h"
#include "base/list.h"
#include "net/exchange.h"
#include "platform/headers.h"
#include "platform/servers.h"
#include "policy/server_rate.h"
#include "policy/server_reach.h"
#include "policy/server_room.h"
#include "policy/token_bucket.h"

struct eg_fleet;

/** Maximum number of failure domains tracked separately. */
#define EG_FLEET_DOMAINS_MAX 32
/** Number of servers that have left which are remembered. */
#define EG_FLEET_LEFT_MAX 64
/** Number of recently removed servers remembered per failure domain. */
#define EG_DOMAIN_REMOVALS_MAX 64

/** Faults recorded against a server. */
enum eg_server_fault
{
  EG_SERVER_FAULT_UNREACHABLE, /**< Connection refused or timed out. */
  EG_SERVER_FAULT_REPORTED,    /**< Another server named it as the cause of a
                                  failure. */
  EG_SERVER_FAULT_TIMED_OUT,   /**< No response to a probe. */
  /** Connection lost in mid-response, or an invalid response. */
  EG_SERVER_FAULT_BAD_RESPONSE,
  EG_SERVER_FAULT_ERROR_STATUS, /**< Response with an error status. */
  EG_SERVER_FAULT_NO_CAPACITY,  /**< No capacity at present, or about to unload
                                   its layers. */
};

/** A request for an engine's report. */
struct eg_probe
{
  struct eg_exchange exchange;
  struct eg_buffer body;
  unsigned status;
  int64_t started_us;
  /** Time-out after which the server counts as not responding. */
  int64_t timeout_us;
};

/** One backend server. */
struct eg_backend
{
  struct eg_hash_node by_id;
  struct eg_list all;
  struct eg_fleet *fleet;
  struct eg_server_record record;
  unsigned references; /**< Number of requests that refer to it. */
  bool listed;         /**< Its record is in the store. */
  bool marked;         /**< Seen in the list being read. */
  /** Its record may reappear until then; 0: no grace period. */
  int64_t grace_until_us;
  int64_t suspect_until_us;
  int64_t suspected_us;
  /** The last suspicion is due to a connection that was not established. */
  bool refused_connection;
  /** When this start of the server was found to have ended without leaving; 0:
   *  it was not. */
  int64_t ended_us;
  /** When it refused a connection, until it is known whether it or this VM's
   *  path to servers is the cause; 0: it did not. */
  int64_t refused_us;
  int64_t connected_us; /**< Start of the last connection established. */
  int64_t checked_us;   /**< Last check by entry/reach_watch. */
  /** Start of the last check of this server that it passed. */
  int64_t alive_us;
  struct eg_exchange port_check; /**< See eg_backend_check_alive(). */
  int64_t port_check_us;
  int64_t draining_us; /**< When it was first seen leaving; 0: it is not. */
  bool said_leaving;   /**< It has said so itself since its start. */
  struct eg_server_room room; /**< See EG_SERVER_FAULT_NO_CAPACITY. */
  struct eg_server_rate rate; /**< See eg_server_limits_may_send(). */
  bool limit_unreadable;      /**< As its last response named it; was logged. */
  uint32_t rate_rank; /**< This VM's rank among those that share the rate. */
  unsigned rate_rank_list; /**< Number of the list of members it is from. */
  double penalty; /**< Decaying weight of recent faults, as of @c penalty_us. */
  int64_t penalty_us;
  unsigned running;       /**< Requests of this entry VM. */
  double kv_running;      /**< Their tokens times layers. */
  unsigned first_running; /**< Requests of which it is the first server. */
  double kv_others;       /**< Reported by other entry VMs. */
  double first_others;
  int64_t others_us; /**< When the figures of the others were received. */
  bool has_load;
  unsigned load; /**< Running and waiting requests, from its last response. */
  unsigned slots;
  int64_t load_us;
  double kv_used; /**< From its last report. */
  double kv_total;
  double slowness; /**< From its last report; 1 until then. */
  int64_t report_us;
  double peer_slowness; /**< From reports received by other entry VMs. */
  int64_t peer_slowness_us;
  /** When another entry VM last reported it as down. */
  int64_t reported_down_us;
  /** Last event of a run that passed it; see eg_backend_is_seen(). */
  int64_t seen_us;
  struct eg_probe probe;
  /** Pending order of the planner; ends with @c ordered at the latest. */
  struct eg_exchange order;
  /** Orders the engine has accepted since its start; negative: unknown. */
  int64_t orders;
  /** Layers of the order in progress; from == to: none. */
  struct eg_layer_range ordered;
  int64_t ordered_us;
  unsigned order_status;
  int64_t orders_resume_us; /**< No order is sent before this time. */
};

/** Recent removals and returns of servers in one failure domain. */
struct eg_domain_history
{
  char name[EG_SERVER_DOMAIN_BYTES];
  int64_t reappeared_us; /**< When a server with layers last reappeared. */
  /** Removals without draining first, as a ring buffer. */
  int64_t removed_us[EG_DOMAIN_REMOVALS_MAX];
  unsigned removed_count; /**< Total number of removals recorded. */
};

/** A start of a server that has left. */
struct eg_left_server
{
  uint64_t id_hash;
  int64_t start_ms;
};

/** Callbacks of a fleet. */
struct eg_fleet_events
{
  void (*reported) (void *context,
                    struct eg_backend *backend,
                    const struct eg_engine_report *report);
  /** A server became suspect or started draining. */
  void (*availability_changed) (void *context);
  /** A server has named the limit of its requests; NULL: not needed. */
  void (*limit_named) (void *context,
                       struct eg_backend *backend,
                       double limit_per_s);
  void *context;
};

/** All backend servers; allocated by the caller. */
struct eg_fleet
{
  struct eg_hash_table by_id;
  struct eg_list all;
  size_t count;
  struct eg_exchange_pool *pool;
  struct eg_fleet_events events;
  bool list_complete; /**< A complete list has been received. */
  /** When the store became unreachable; 0: it is reachable. */
  int64_t store_lost_us;
  int64_t store_back_us; /**< When the store was last reachable again. */
  /** Records may have expired during an outage of the store. */
  bool records_expiring;
  int64_t changed_us; /**< Time of the last change to a record. */
  struct eg_domain_history domains[EG_FLEET_DOMAINS_MAX];
  size_t domain_count;
  struct eg_left_server left[EG_FLEET_LEFT_MAX]; /**< Ring buffer. */
  size_t left_count;                             /**< Total number recorded. */
  uint64_t probes;
  uint64_t undecodable; /**< Values of reports that were left out. */
  uint64_t pauses;      /**< Responses that asked for one. */
  struct eg_token_bucket probes_allowed;
  unsigned vms; /**< Entry VMs that share the probes; see eg_fleet_check(). */
  struct eg_server_reach reach; /**< Path of this VM to all of them. */
  /** Service of a server that has refused_us set; empty: there is none. */
  struct eg_buffer questioned_service;
};

/** Initialises an empty fleet. */
void eg_fleet_init (struct eg_fleet *self,
                    struct eg_exchange_pool *pool,
                    const struct eg_fleet_events *events);

/** Frees all servers. */
void eg_fleet_finish (struct eg_fleet *self);

/** Starts a complete list of records. */
void eg_fleet_begin_list (struct eg_fleet *self);

/** Applies a new, changed or deleted record. */
void eg_fleet_update_server (struct eg_fleet *self,
                             json_t *object,
                             bool deleted,
                             int64_t now_us);

/** Ends a list or a batch of changes; see eg_feed_events. */
void eg_fleet_synced (struct eg_fleet *self, bool listed, int64_t now_us);

/** Records that the store itself is unreachable. */
void eg_fleet_store_lost (struct eg_fleet *self, int64_t now_us);

/**
 * Records that the store was unreachable until @p end_us: records that expired
 * meanwhile may be written again. 0: for this VM alone, so that none expired.
 */
void
eg_fleet_store_back (struct eg_fleet *self, int64_t end_us, int64_t now_us);

/**
 * Records that the store has come back from an older copy: records that it
 * lacks may be written again.
 */
void eg_fleet_store_restored (struct eg_fleet *self, int64_t now_us);

/** Returns what identifies a server in eg_fleet_reached(). */
uint64_t eg_backend_hash (const struct eg_backend *self);

/** Records that a new connection to a server was established. */
void eg_fleet_reached (struct eg_fleet *self,
                       uint64_t server,
                       int64_t started_us,
                       int64_t now_us);

/** Records that a new connection to a server was refused, or timed out. */
void eg_fleet_not_reached (struct eg_fleet *self,
                           uint64_t server,
                           int64_t started_us,
                           int64_t now_us);

/**
 * Settles for all servers that have refused a connection whether they have
 * ended, or this VM's path to them is lost.
 */
void
eg_fleet_settle_refusals (struct eg_fleet *self, bool ended, int64_t now_us);

/** Returns the server with the given id, or NULL. */
struct eg_backend *eg_fleet_find_id (struct eg_fleet *self, struct eg_str id);

/** Returns the server with the given address, or NULL. */
struct eg_backend *eg_fleet_find_by_endpoint (struct eg_fleet *self,
                                              struct eg_endpoint endpoint);

/**
 * Probes suspects and removes servers whose grace period has ended.
 * @param vms number of entry VMs, which share the work of probing.
 */
void eg_fleet_check (struct eg_fleet *self, unsigned vms, int64_t now_us);

/**
 * Returns whether the view of a failure domain is stable enough to move layers
 * there: its servers are neither partitioned nor just reappearing.
 * @param listed number of its servers in the store.
 */
bool eg_fleet_domain_is_stable (const struct eg_fleet *self,
                                const char *domain,
                                size_t listed,
                                int64_t now_us);

/** Probes a server that another entry VM reports as down. */
void eg_fleet_suspect_reported (struct eg_fleet *self,
                                struct eg_str id,
                                int64_t now_us);

/** Probes the server at the other end of an idle connection that was closed. */
void eg_fleet_connection_ended (struct eg_fleet *self,
                                struct eg_endpoint endpoint,
                                int64_t now_us);

/** Returns whether a server's record is in the store, or may reappear there. */
bool eg_backend_is_present (const struct eg_backend *self, int64_t now_us);

/** Returns why a server may not receive new requests; NULL: it may. */
const char *eg_backend_find_obstacle (const struct eg_backend *self,
                                      int64_t now_us);

/** Returns whether a server may receive new requests. */
bool eg_backend_is_usable (const struct eg_backend *self, int64_t now_us);

/** Returns whether a server is suspected to be down. */
bool eg_backend_is_suspect (const struct eg_backend *self, int64_t now_us);

/**
 * Returns whether a suspect's process has ended, as far as can be told: it
 * refuses connections and was not leaving. A server that leaves refuses them
 * while it completes its requests.
 */
bool eg_backend_has_ended (const struct eg_backend *self, int64_t now_us);

/**
 * Returns whether a suspect is leaving and refuses connections, as it does
 * while it completes its requests.
 */
bool eg_backend_refuses_while_leaving (const struct eg_backend *self,
                                       int64_t now_us);

/** Returns whether a suspect is out of reach of a VM that reaches no server. */
bool eg_backend_is_cut_off (const struct eg_backend *self, int64_t now_us);

/** Records that an event of a run that passes a server has arrived. */
void eg_backend_seen (struct eg_backend *self, int64_t now_us);

/** Returns whether a server has shown that it runs since @p since_us. */
bool eg_backend_is_seen (const struct eg_backend *self, int64_t since_us);

/**
 * Returns the current weight of recent faults, and of reports of other VMs that
 * this VM has not verified; 0: none.
 */
double eg_backend_penalty (const struct eg_backend *self, int64_t now_us);

/** Takes note of what a server says of itself in a response. */
void eg_backend_notice (struct eg_backend *self,
                        const struct eg_server_notice *notice,
                        int64_t now_us);

/**
 * Returns whether a server is leaving: its record says so, or it has itself
 * said so since its start, to this VM or another one.
 */
bool eg_backend_is_leaving (const struct eg_backend *self);

/** Takes note that the start @p start_ms of a server has said it is leaving. */
void eg_fleet_leaving_reported (struct eg_fleet *self,
                                struct eg_str id,
                                int64_t start_ms,
                                int64_t now_us);

/**
 * Lists the starts of servers that are leaving or have left, as far as they are
 * remembered.
 * @return their number, at most @p max.
 */
size_t eg_fleet_list_left (const struct eg_fleet *self,
                           struct eg_left_server *starts,
                           size_t max);

/** Takes note that a start of a server is leaving or has left, whether or not
 *  its record has been read. */
void eg_fleet_left_reported (struct eg_fleet *self,
                             const struct eg_left_server *start,
                             int64_t now_us);

/** Records a fault of a server. */
void eg_backend_record_fault (struct eg_backend *self,
                              enum eg_server_fault fault,
                              struct eg_str request_id,
                              int64_t now_us);

/** Updates the load from the header of a response. */
void eg_backend_update_load (struct eg_backend *self,
                             unsigned load,
                             unsigned slots,
                             int64_t now_us);

/** Returns the slowdown relative to servers of its kind; 1 if unknown. */
double eg_backend_slowness (const struct eg_backend *self, int64_t now_us);

/**
 * Requests an engine's report, unless it was probed recently or the probe limit
 * is reached. A plain server has no report; this only ends an expired
 * suspicion.
 */
void eg_backend_probe (struct eg_backend *self, int64_t now_us);

/**
 * Finds out whether a server has ended, unless that was asked since
 * @p since_us. A plain server is alive if it accepts a connection.
 */
void eg_backend_check_alive (struct eg_backend *self,
                             int64_t since_us,
                             int64_t now_us);

/** Requests an engine's report as part of regular monitoring. */
void eg_backend_poll_report (struct eg_backend *self, int64_t now_us);

/**
 * Ends the order in progress, if there is one; a response that arrives later is
 * ignored.
 */
void eg_backend_end_order (struct eg_backend *self);

/** Suspends orders to a server that is executing one or has refused one. */
void eg_backend_pause_orders (struct eg_backend *self, int64_t now_us);

/** Takes a reference for a request. */
void eg_backend_ref (struct eg_backend *self);

/** Drops a reference; frees a server that is no longer in use. */
void eg_backend_unref (struct eg_backend *self);

#endif
