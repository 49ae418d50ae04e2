/**
 * @file
 * Soak test of the entry daemon: runs eelgrass-entry processes against an
 * in-process object store, backend servers and clients, and injects faults
 * chosen by a seeded random generator.
 */
#ifndef EG_SOAK_SOAK_H
#define EG_SOAK_SOAK_H

#include <jansson.h>

#include "base/random.h"
#include "net/exchange.h"
#include "policy/event_relay.h"
#include "test/soak/http_server.h"
#include "test/soak/proxy.h"
#include "test/soak/store.h"

#define SOAK_NODES 3
/** Arrivals at a backend server that are remembered. */
#define SOAK_ARRIVALS 512
/** Versions of the configuration that have a route of their own each. */
#define SOAK_VERSION_ROUTES 4
#define SOAK_BACKENDS 4
#define SOAK_CLIENTS 20
/** Short streams end long before a leaving server does; long ones may be in
 *  progress when it stops listening. */
#define SOAK_SHORT_STREAM_EVENTS 25
#define SOAK_LONG_STREAM_EVENTS 300
/** Layers of the model, which each engine holds. */
#define SOAK_LAYERS 8
/** A failure counts as a violation only if, since this time before the request
 *  was sent, no fault affected it. */
#define SOAK_FAULT_QUIET_US (3 * EG_US_PER_S)
/** Grace period of a daemon's stop. Shorter than in production, so that a run
 *  has several complete shutdowns, but enough for a long stream that is sent
 *  while clients still use the daemon. */
#define SOAK_STOP_GRACE_MS 9000
/** Longest time until the process has exited. */
#define SOAK_STOP_MAX_US ((SOAK_STOP_GRACE_MS + 500) * EG_US_PER_MS)
/** Time that the users allow for recovery after the last fault; requests sent
 *  later count for the success ratio. */
#define SOAK_RECOVERY_US (6 * EG_US_PER_S)

/** Types of request that clients send. */
enum soak_request_type
{
  SOAK_READ,   /**< Idempotent. */
  SOAK_WRITE,  /**< Not idempotent. */
  SOAK_STREAM, /**< Resumable event stream. */
  SOAK_REQUEST_TYPE_COUNT,
};

/** Phases of a backend server that runs or has left. */
enum soak_backend_phase
{
  SOAK_BACKEND_SERVING,
  SOAK_BACKEND_LEAVING,   /**< Still accepts requests. */
  SOAK_BACKEND_FINISHING, /**< Completes the requests in progress. */
  SOAK_BACKEND_LEFT,
};

struct soak;

/** A backend server that answers plain requests and event streams. */
struct soak_backend
{
  struct soak *soak;
  struct soak_http_server server;
  char id[32]; /**< Instance id; changes with each start. */
  unsigned number;
  unsigned start_count;
  bool running;
  bool aborting;      /**< Some responses are aborted. */
  int64_t restart_us; /**< When a crashed server starts again. */
  int64_t abort_until_us;
  enum soak_backend_phase phase;
  int64_t phase_end_us;
  int64_t started_us;
  int64_t leaving_us;    /**< Start of SOAK_BACKEND_LEAVING. */
  bool unannounced;      /**< It leaves without a draining record. */
  int64_t full_until_us; /**< Until then it refuses requests. */
  int64_t deadly_end_us; /**< When it ends under a request; 0: never. */
  unsigned limit_per_s;  /**< That it names; valid until limit_until_us. */
  int64_t limited_us;    /**< When it first named it. */
  int64_t limit_until_us;
  int64_t arrivals_us[SOAK_ARRIVALS]; /**< Ring buffer. */
  unsigned arrival_count;             /**< Total number recorded. */
};

/** A daemon process. */
struct soak_node
{
  struct soak *soak;
  uv_process_t process;
  unsigned number;
  char settings_path[256];
  uint16_t callers_port;
  uint16_t ready_port;
  uint16_t peers_port;
  bool was_started;
  int64_t seen_version; /**< Served since its start. */
  struct soak_proxy store_proxy;
  /** With cuts: the store as this node sees it, and its paths to the backend
   *  servers. */
  struct soak_store_view store_view;
  struct soak_proxy paths[SOAK_BACKENDS];
  int64_t cut_us;       /**< Start of the cut; 0: none. */
  int64_t cut_until_us; /**< End of the cut. */
  bool running;
  bool exit_expected;
  bool paused;        /**< By SIGSTOP. */
  int64_t resume_us;  /**< When to send SIGCONT. */
  int64_t sigterm_us; /**< First SIGTERM since the start; 0: none. */
  int64_t started_us;
  /** Time of the last signal other than SIGHUP and the first SIGTERM. */
  int64_t last_fault_us;
  uv_timer_t restart_timer;
};

/** A client that has one request in flight at a time. */
struct soak_client
{
  struct soak *soak;
  struct eg_exchange exchange;
  struct eg_event_relay relay;
  struct eg_buffer body;
  struct soak_node *node; /**< That the current request was sent to. */
  enum soak_request_type type;
  unsigned stream_events; /**< Events of the requested stream. */
  char id[32];
  unsigned status;
  bool should_succeed;  /**< Unless a fault affects it. */
  bool beside_cut;      /**< Sent while a daemon had no path to servers. */
  bool at_cut;          /**< To such a daemon. */
  bool signed_response; /**< The response has a server signature. */
  int64_t sent_us;
  uv_timer_t timer;
};

/** The client whose requests crash backend servers. */
struct soak_deadly
{
  struct soak *soak;
  struct eg_exchange exchange;
  uv_timer_t timer;
  bool by_part; /**< A part of the prompt does it, not the whole request. */
  unsigned crashes;
  int64_t known_us;       /**< When enough servers had crashed; 0: not yet. */
  unsigned late_arrivals; /**< At servers, although it must be known. */
};

/** The client that asks for routes of recent configurations. */
struct soak_canary
{
  struct soak *soak;
  struct eg_exchange exchange;
  uv_timer_t timer;
  struct soak_node *node;
  int64_t node_started_us; /**< Start of the node that was asked. */
  int64_t version;         /**< That was asked for. */
  int64_t published_us;    /**< When it was first written. */
  unsigned status;
  int64_t sent_us;
  int64_t newest; /**< Served by any node. */
  int64_t newest_us;
};

/** Requests sent while some daemons have no path to servers. */
struct soak_cut_count
{
  unsigned sent;
  unsigned served;
};

/** State of the run of one seed. */
struct soak
{
  uv_loop_t loop;
  struct eg_random random;
  struct eg_exchange_pool pool;
  struct soak_store store;
  struct soak_backend backends[SOAK_BACKENDS];
  struct soak_node nodes[SOAK_NODES];
  struct soak_client clients[SOAK_CLIENTS];
  struct soak_deadly deadly;
  struct soak_canary canary;
  json_t *run_counts; /**< Executions of each request, by request id. */
  uv_timer_t fault_timer;
  uv_timer_t heartbeat_timer;
  uv_timer_t check_timer;
  const char *daemon;    /**< Path of the executable. */
  const char *directory; /**< For settings files and logs. */
  uint64_t next_id;
  int64_t start_us;
  int64_t faults_end_us; /**< From then on, only planned events occur. */
  int64_t unplanned_us;  /**< Last time with a fault that was not planned. */
  int64_t last_check_us;
  int64_t all_full_allowed_us; /**< Not all servers are full before. */
  bool planned_only;           /**< No fault is injected. */
  bool engines; /**< The backend servers are engines with a model. */
  /** Daemons lose their paths to backend servers; each is in a failure domain
   *  of its own. */
  bool cuts;
  /** Nothing else that daemons would notice happens to them or their store, but
   *  for SIGHUP, and one keeps its paths. */
  bool cuts_alone;
  struct soak_cut_count
      cut_counts[2];                 /**< Of daemons without and with a cut. */
  struct soak_store_copy store_copy; /**< Some seconds old, or zeroed. */
  int64_t store_copied_us;
  /** When its writers write again what a step back has lost; 0: nothing is. */
  int64_t store_rewrite_us;
  int64_t store_fault_until_us;
  int64_t backend_fault_us; /**< Last crash or abort fault of a backend. */
  int64_t configuration_version;
  /** When the last versions were first written, by version. */
  int64_t published_us[SOAK_VERSION_ROUTES];
  unsigned routes_added;    /**< To those that requests use. */
  json_t *reported_not_run; /**< Ids of writes refused with 429 or 503. */
  bool stopping;
  unsigned fault_count;
  unsigned planned_count;
  unsigned sent_count;
  unsigned success_count;
  unsigned recovered_sent_count; /**< Sent after the recovery time. */
  unsigned recovered_success_count;
  unsigned violation_count;
};

/** Prints and counts a violation of a guarantee. */
void soak_violation (struct soak *self, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Starts the backend servers. */
void soak_backends_init (struct soak *self);

/** Starts a backend server under a new instance id; no-op if it runs. */
void soak_backend_start (struct soak_backend *self);

/** Resets the connections of a backend server, closes its listener and deletes
 *  its store object; no-op if it doesn't run. */
void soak_backend_crash (struct soak_backend *self);

/** Writes the store object of a backend server, if it has one now. */
void soak_backend_publish (struct soak_backend *self);

/** Writes the store objects of the running backend servers. */
void soak_backends_publish (struct soak *self);

/** Lets a backend server leave, if enough others are in service. */
void soak_leave_backend (struct soak *self);

/** Lets a backend server refuse requests for a while. */
void soak_fill_backend (struct soak *self);

/** Lets all backend servers refuse requests at the same time. */
void soak_fill_all_backends (struct soak *self);

/** Lets a backend server name a limit for some seconds. */
void soak_limit_backend (struct soak *self);

/** Appends the field by which a backend server names its limit. */
void soak_backend_write_limit (const struct soak_backend *self,
                               char *fields,
                               size_t capacity);

/** Records a request that reached a backend server. */
void soak_backend_arrived (struct soak_backend *self);

/** Starts the client that asks for routes of recent configurations. */
void soak_canary_init (struct soak *self);

/** Cancels its request in flight. */
void soak_canary_finish (struct soak *self);

/** Returns whether a server in service takes requests: if not, they must be
 *  refused. */
bool soak_has_room (const struct soak *self);

/** Advances the leaving backend servers. */
void soak_backends_check_leaving (struct soak *self, int64_t now_us);

/** Returns whether all daemons must know that a backend server leaves, as no
 *  fault kept them from it. */
bool soak_backend_is_avoidable (const struct soak_backend *self);

/** Formats the response body that a backend sends to request @p id. */
void soak_format_body (const char *id, char *text, size_t capacity);

/** Starts the daemons and their store proxies. */
void soak_nodes_init (struct soak *self);

void soak_node_start (struct soak_node *self);

/** Sends signal @p number to a daemon; no-op if it doesn't run. */
void soak_node_signal (struct soak_node *self, int number);

void soak_clients_init (struct soak *self);

/** Cancels the requests in flight and frees the clients' resources. */
void soak_clients_finish (struct soak *self);

/** Starts the client whose requests crash backend servers. */
void soak_deadly_init (struct soak *self, bool by_part);

/** Cancels its request in flight. */
void soak_deadly_finish (struct soak *self);

/** Returns whether a request crashes the backend server that runs it. */
bool soak_is_deadly (const struct eg_http_head *head);

/** Records that a backend server begins to run such a request. */
void soak_deadly_arrived (struct soak_backend *backend);

/** Ends a backend server whose time has come. */
void soak_deadly_check (struct soak_backend *backend, int64_t now_us);

/** Writes the next version of the configuration to the store. */
void soak_publish_configuration (struct soak *self);

/** Writes the present version of the configuration to the store. */
void soak_write_configuration (struct soak *self);

/** Writes again what a step back of the store has lost, once it is time. */
void soak_check_rewrite (struct soak *self, int64_t now_us);

/** Opens the paths of a daemon to the backend servers. */
void soak_cuts_open_paths (struct soak_node *node);

/** Handles a backend server that begins or ceases to listen. */
void soak_cuts_backend_changed (void *context, bool listening);

/** Heals all cuts, and closes the paths of a daemon. */
void soak_cuts_close_paths (struct soak_node *node);

/** Cuts one daemon, some or all of them off from all backend servers. */
void soak_cuts_begin (struct soak *self);

/** Heals the cuts that have ended; returns whether there are others. */
bool soak_cuts_clear (struct soak *self, int64_t now_us);

/** Notes whether a request is sent beside a cut. */
void soak_cuts_note_sent (struct soak_client *client);

/** Counts the outcome of a request. */
void soak_cuts_note_ended (struct soak_client *client, bool succeeded);

/** Checks that callers of daemons without paths were served as others, where
 *  cuts alone happen: a daemon that reads the store through another one is told
 *  the paths of that one. */
void soak_cuts_check (struct soak *self);

/** Injects a fault or a planned event, chosen at random. */
void soak_inject_fault (struct soak *self);

/** Starts a planned event, chosen at random. After the faults, no daemon is
 *  stopped: the success ratio is measured on all of them. */
void soak_inject_planned (struct soak *self);

/** Ends the faults whose duration has elapsed, or all faults. */
void soak_clear_faults (struct soak *self, bool all);

#endif
