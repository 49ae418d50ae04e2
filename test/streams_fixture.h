/**
 * @file
 * One to three eelgrass-entry processes between a stand-in for the store,
 * engines that each hold the whole model, plain servers, and clients.
 */
#ifndef EG_TEST_STREAMS_FIXTURE_H
#define EG_TEST_STREAMS_FIXTURE_H

#include <jansson.h>

#include "base/random.h"
#include "net/exchange.h"
#include "policy/event_relay.h"
#include "test/soak/http_server.h"
#include "test/soak/proxy.h"
#include "test/soak/store.h"

#define STREAMS_ENGINES 3
/** Engines, and plain servers after them. */
#define STREAMS_SERVERS 6
#define STREAMS_VMS 3
#define STREAMS_CLIENTS 4
/** Events of a stream, one each STREAMS_EVENT_MS; one in STREAMS_PAUSE_PERIOD
 *  comes after STREAMS_PAUSE_MS. */
#define STREAMS_EVENTS 150
#define STREAMS_EVENT_MS 20
#define STREAMS_PAUSE_PERIOD 10
#define STREAMS_PAUSE_MS 80

struct streams_fixture;

/** How a server answers. */
enum streams_answer
{
  STREAMS_ANSWER_WELL,
  /** Without length and chunks; the answer ends with its connection. */
  STREAMS_ANSWER_UNFRAMED,
  /** The same, but the connection is reset in the middle of the body. */
  STREAMS_ANSWER_UNFRAMED_RESET,
  /** As unframed, but the stream ends inside an event. */
  STREAMS_ANSWER_ENDS_INSIDE_EVENT,
  /** The same with chunks, and their proper end. */
  STREAMS_ANSWER_CHUNKS_END_INSIDE_EVENT,
  /** Unframed and empty. */
  STREAMS_ANSWER_EMPTY,
  /** A body without end and without a signature. */
  STREAMS_ANSWER_ENDLESS,
  /** Well, but with streams_fixture.bad_status as its status. */
  STREAMS_ANSWER_BAD_STATUS,
  /** Status 500 without a signature, after the request has run. */
  STREAMS_ANSWER_UNSIGNED_ERROR,
  /** The same with status 503. */
  STREAMS_ANSWER_UNSIGNED_UNAVAILABLE,
};

/** What an engine does with an order to hold layers. */
enum streams_order
{
  STREAMS_ORDER_REFUSED,
  STREAMS_ORDER_ANSWERED,   /**< Carried out at once. */
  STREAMS_ORDER_UNANSWERED, /**< Carried out at once, but not answered. */
  STREAMS_ORDER_LOST,       /**< Neither carried out nor answered. */
};

/** An engine or a plain server; refuses or accepts requests as the test says.
 */
struct streams_engine
{
  struct streams_fixture *fixture;
  struct soak_http_server server;
  /** By which all VMs but the first reach it, in tests with cuts. */
  struct soak_proxy path;
  char id[32];
  unsigned number;
  bool plain;
  int64_t crash_us;   /**< When it ends under a deadly request; 0: never. */
  int64_t restart_us; /**< When it starts again after that; 0: it runs. */
  bool full;          /**< Refuses each new stream with 503. */
  bool silent;        /**< Neither delivers events nor answers reports. */
  bool leaving;       /**< Says so in its responses. */
  /** Resets each stream; ends a while after the first of them. */
  bool aborting;
  bool aborting_reports; /**< Resets the connections of reports. */
  int64_t start_ms;      /**< Of its record and reports. */
  const char *pause;     /**< Retry-After of its refusals; NULL: none. */
  const char *limit;     /**< Server-Limit of its responses; NULL: none. */
  enum streams_order on_order; /**< What it does with its orders. */
  int layers_to;               /**< It holds the layers up to this one. */
  unsigned orders;             /**< Orders received. */
  unsigned accepted;           /**< Orders accepted since its start. */
  unsigned requests;           /**< All requests received, also for reports. */
  unsigned arrivals;           /**< Stream requests received. */
  unsigned runs;               /**< Stream requests not refused. */
  unsigned once_runs;          /**< Those that must not be repeated. */
};

/** A client with one stream. */
struct streams_client
{
  struct eg_exchange exchange;
  struct eg_event_relay relay;
  bool plain; /**< Its response is not a stream. */
  size_t body_len;
  unsigned status;
  double retry_after_s; /**< From the response; negative: none. */
  bool done;            /**< The response ended completely. */
  bool failed; /**< The connection ended in the middle of the response. */
};

/** Settings of the daemon that tests vary. */
struct streams_options
{
  double retry_ratio;
  int retry_extra; /**< The daemon uses half of it. */
  int retry_window_ms;
  unsigned engines; /**< Listed in the store at the start. */
  unsigned plain;   /**< Plain servers listed in the store at the start. */
  unsigned vms;     /**< Entry VMs, each in its own failure domain; 0: one. */
  bool one_domain;  /**< All entry VMs are in the first one's domain. */
  bool first_start; /**< The whole system starts, so no VM joins later. */
  bool cuts;        /**< streams_cut() is used; not with @c one_domain. */
  int grace_ms;     /**< Of a planned stop; 0: 500. */
  unsigned stream_goal_ms; /**< Of the route of streams; 0: 500. */
  /** A route /bulk/ of streams, less urgent than the other one. */
  bool bulk_route;
  /** More tables of the settings file; NULL: none. */
  const char *settings;
  /** Lines of its table [limits]; NULL: those of a VM with 260 MB. */
  const char *limits;
  unsigned plain_goal_ms; /**< Of the plain routes; 0: 2000. */
  unsigned plain_ms;      /**< That plain servers take; 0: 80. */
};

/** A request of a client. */
struct streams_request
{
  unsigned vm;       /**< That it is sent to. */
  bool plain;        /**< To a plain server; else a stream. */
  bool once;         /**< A plain request that must not be repeated. */
  const char *body;  /**< If it starts with "deadly", its server ends. */
  const char *parts; /**< Parts of the prompt; NULL: none. */
  const char *path;  /**< NULL: that of its kind. */
  /** Of the event after which a stream is resumed; NULL: it begins. */
  const char *last_event_id;
};

/** An entry VM. */
struct streams_vm
{
  struct streams_fixture *fixture;
  uv_process_t process;
  bool running;
  int64_t exit_status; /**< Of the last process that has ended. */
  int exit_signal;     /**< That ended it; 0: none. */
  unsigned number;
  uint16_t callers_port;
  uint16_t readiness_port;
  uint16_t peers_port;
  char settings_path[32];
  char log_path[32];
};

/** The processes and stand-ins of a test; memory of the caller. */
struct streams_fixture
{
  uv_loop_t loop;
  uv_timer_t tick; /**< Lets streams_wait() see the time. */
  struct eg_random random;
  struct eg_exchange_pool pool;
  struct soak_store store;
  struct streams_engine engines[STREAMS_SERVERS];
  struct streams_client clients[STREAMS_CLIENTS];
  struct streams_vm vms[STREAMS_VMS];
  unsigned vm_count;
  unsigned stream_goal_ms;
  unsigned plain_goal_ms;
  unsigned plain_ms;
  bool bulk_route;
  /** Of the organisation in the configuration. Clients send "key". */
  const char *key;
  unsigned next_id;
  /** Of the next run on any server; those after it are answered well. */
  enum streams_answer next_answer;
  /** Status and reason phrase for STREAMS_ANSWER_BAD_STATUS. */
  const char *bad_status;
  /** Part of a prompt that ends servers; NULL: none. */
  const char *deadly_part;
  int64_t id_step;    /**< Between the ids of events; 0: one. */
  size_t plain_bytes; /**< Length of plain servers' answers; 0: a few. */
  /** Prefix of the paths that get answers of this length; NULL: all. */
  const char *plain_bytes_prefix;
  /** Limits that published configurations set for clients; 0: the default. */
  int header_bytes_max;
  int idle_timeout_ms;
  bool has_paths;
  unsigned deadly_arrivals; /**< Requests that may end a server, received. */
  unsigned crashes;         /**< Servers that ended under them. */
};

/** Starts everything and waits until the daemon is ready. */
void streams_fixture_init (struct streams_fixture *self,
                           const struct streams_options *options);

/** Stops the daemon and frees everything. */
void streams_fixture_finish (struct streams_fixture *self);

/** Runs the loop until @p condition holds; false after @p ms. */
bool streams_wait (struct streams_fixture *self,
                   bool (*condition) (const struct streams_fixture *self),
                   int64_t ms);

/** Runs the loop for @p ms. */
void streams_run (struct streams_fixture *self, int64_t ms);

/** Returns a new document with the configuration that is published. */
json_t *streams_pack_configuration (const struct streams_fixture *self,
                                    int version);

/**
 * Writes the configuration. Each version has a route of its own, /vN/, beside
 * those of all versions.
 */
void streams_publish_configuration (struct streams_fixture *self, int version);

/** Lists an engine in the store as ready or draining. */
void streams_engine_publish (struct streams_engine *self, bool draining);

/** Deletes an engine's record from the store. */
void streams_engine_withdraw (struct streams_engine *self);

/**
 * Closes the listener and the idle connections, as a server does that only
 * completes the requests it has.
 */
void streams_engine_stop_listening (struct streams_engine *self);

/** Ends the engine: closes the listener and all connections. */
void streams_engine_crash (struct streams_engine *self);

/** Kills an entry VM's process and starts it again. */
void streams_vm_restart (struct streams_fixture *self, unsigned vm);

/** Begins a planned stop of an entry VM. */
void streams_vm_stop (struct streams_fixture *self, unsigned vm);

/** Returns the number of runs on all servers. */
unsigned streams_count_runs (const struct streams_fixture *self);

/** Returns how many lines of an entry VM's log contain @p text. */
unsigned streams_count_log (const struct streams_fixture *self,
                            unsigned vm,
                            const char *text);

/** Kills an entry VM's process for good. */
void streams_vm_kill (struct streams_fixture *self, unsigned vm);

/** Kills all entry VMs' processes at once and starts them again. */
void streams_vms_restart (struct streams_fixture *self);

/**
 * Lets each entry VM send its datagrams to addresses where none is, once they
 * read their list again.
 */
void streams_vms_separate (struct streams_fixture *self);

/** Cuts all VMs but the first off from all servers, or heals the cut. */
void streams_cut (struct streams_fixture *self, enum soak_cut cut);

/** Sends a request as client @p number. */
void streams_client_send (struct streams_fixture *self,
                          unsigned number,
                          const struct streams_request *sent);

/** Returns whether the response of a client has ended, whole or not. */
bool streams_client_has_ended (const struct streams_fixture *self,
                               unsigned number);

/** Sends a request as client @p number, waits until the response has ended, and
 *  returns its status. */
unsigned streams_client_request (struct streams_fixture *self,
                                 unsigned number,
                                 const struct streams_request *sent);

/** Sends a stream request as client @p number to the first VM. */
void streams_client_start (struct streams_fixture *self, unsigned number);

/** Closes the connection of client @p number. */
void streams_client_leave (struct streams_fixture *self, unsigned number);

#endif
