/**
 * @file
 * One proxied HTTP request: server selection, attempts, and the single response
 * sent to the client.
 */
#ifndef EG_ENTRY_CALL_H
#define EG_ENTRY_CALL_H

#include "entry/crash_watch.h"
#include "entry/fleet.h"
#include "entry/placement.h"
#include "entry/wait_queue.h"
#include "platform/headers.h"
#include "policy/configuration.h"
#include "policy/event_relay.h"
#include "policy/resend.h"
#include "policy/run_progress.h"

struct eg_entry;
struct eg_connection;

/** Maximum number of distinct first servers tried for one request. */
#define EG_CALL_FIRST_SERVERS_MAX 8
/** Maximum number of peers tried for one request. */
#define EG_CALL_PEERS_MAX 4

/** Body of the 403 response to a request of a sender that is no known VM. */
#define EG_HOP_FORBIDDEN_TEXT "only entry VMs may send requests here\n"

/** How the response body of the current attempt is handled. */
enum eg_response_mode
{
  EG_RESPONSE_PENDING,   /**< No response head received yet. */
  EG_RESPONSE_BUFFERED,  /**< Buffered until complete. */
  EG_RESPONSE_FORWARDED, /**< Too large to buffer: forwarded as it arrives. */
  EG_RESPONSE_EVENTS,    /**< Event stream, forwarded event by event. */
};

/** One attempt to run the request on a server or a path of servers, or to have
 *  a peer do so. */
struct eg_attempt
{
  struct eg_exchange exchange;
  /** Holds references while the attempt is active; empty if @c by_peer. */
  struct eg_placement placement;
  bool by_peer;
  struct eg_endpoint peer;
  unsigned peer_servers_max; /**< Servers that the peer may send it to. */
  bool credit_passed; /**< The request counts for the peer's retry budget. */
  double kv_tokens;   /**< Charged to each server of the path, per layer. */
  bool active;
  /** Its first server is one that the request had not been sent to before. */
  bool first_is_new;
  bool charged; /**< A retry was taken from the budget for it. */
  /** Server of whose limit a request was taken for the peer; referenced. NULL:
   *  none. */
  struct eg_backend *lent;
  /** The peer that sent the request has taken it from its own share of the
   *  first server's limit. */
  bool is_lent;
  /** An earlier attempt may have executed the request. */
  bool earlier_may_have_run;
  int64_t started_us;
  int64_t received_us; /**< Time of the last byte received, or of the start. */
  int64_t
      first_event_us; /**< Of this attempt; set once @c progress has begun. */
  struct eg_run_progress progress;
  int64_t proved_us; /**< When it last showed that the request is sound. */
  enum eg_response_mode mode;
  size_t body_bytes; /**< Received of the body, unless it is a stream. */
  struct eg_response_headers headers;
  unsigned status;
  /** Request that moves the stream to another path. */
  struct eg_exchange move;
  /** Target path of the move; holds references while @c moving. */
  struct eg_placement next_placement;
  bool moving;
  unsigned move_status;
  unsigned move_refusals; /**< Refused move requests of this attempt. */
  struct eg_buffer move_body;
  int64_t move_started_us;
};

/** A proxied request; embedded in its connection. */
struct eg_call
{
  struct eg_entry *entry;
  struct eg_connection *connection;
  const struct eg_http_head *head;
  struct eg_str body;
  struct eg_request_headers headers;
  /** Holds the strings of the three following members; NULL: none. */
  struct eg_configuration *configuration;
  struct eg_route route;
  struct eg_str service;
  struct eg_str organisation;
  bool needs_key;
  unsigned priority;
  struct eg_crash_subjects subjects;
  uint64_t *parts; /**< Of @c subjects. */
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t first_event_us; /**< 0: no event sent yet. */
  int64_t last_event_us;
  int64_t longest_gap_us; /**< Between consecutive events. */
  unsigned sends;         /**< Attempts that reached a server. */
  unsigned refusals;      /**< Attempts that a server refused to run. */
  /** Refusals since the last attempt that was run. */
  unsigned refusals_in_row;
  unsigned tries;           /**< Attempts started. */
  unsigned moves;           /**< Moves to other paths without a new attempt. */
  const char *cause;        /**< Of the last attempt's failure. */
  int64_t attempt_ended_us; /**< When the last attempt ended. */
  /** What ruled out the last send that was not made; for the log. */
  enum eg_resend_limit limit;
  bool waiting;      /**< Without an attempt until another send is possible. */
  int64_t resume_us; /**< While waiting, when to look for a server again. */
  struct eg_call_wait wait; /**< For room, before it has begun. */
  bool may_have_run;
  bool is_from_peer;    /**< Another VM has sent it; it goes to no third one. */
  unsigned servers_max; /**< Number of servers that it may be sent to. */
  bool is_credited;     /**< It counts for this VM's retry budget. */
  struct eg_str lent_server;               /**< See struct eg_hop_headers. */
  uint64_t tried_peers[EG_CALL_PEERS_MAX]; /**< Keys of their endpoints. */
  size_t tried_peer_count;
  unsigned servers_used_by_peers;
  int64_t peer_retry_after_us; /**< From the last refusal of a peer; 0: none. */
  char peer_name[64];          /**< Of the last peer tried. */
  bool head_sent; /**< The response head has been sent to the client. */
  bool active;
  /** First servers of all attempts; each one is referenced. */
  struct eg_backend *first_servers[EG_CALL_FIRST_SERVERS_MAX];
  size_t first_server_count;
  struct eg_attempt attempt;
  struct eg_buffer response_head;
  struct eg_buffer response_body;
  unsigned response_status;
  struct eg_event_relay relay;
};

/** Initialises an inactive call. */
void eg_call_init (struct eg_call *self,
                   struct eg_entry *entry,
                   struct eg_connection *connection);

/** Releases the buffers of the call. */
void eg_call_finish (struct eg_call *self);

/**
 * Starts processing a request that was received completely. Every call ends
 * with eg_connection_response_done() or eg_connection_abort(), possibly before
 * this function returns.
 * @param head must stay valid and unchanged until the call ends.
 * @param hop what another VM has added; NULL: a client has sent the request.
 */
void eg_call_start (struct eg_call *self,
                    const struct eg_http_head *head,
                    struct eg_str body,
                    const struct eg_hop_headers *hop);

/** Returns the memory that the call holds besides its own structure. */
size_t eg_call_memory (const struct eg_call *self);

/** Cancels the call because the client has disconnected. */
void eg_call_cancel (struct eg_call *self);

/**
 * Ends the call at shutdown: aborts a response already started, otherwise
 * answers with an error.
 */
void eg_call_abort (struct eg_call *self);

/** Handles timeouts and starts pending attempts; call it on every tick. */
void eg_call_check (struct eg_call *self, int64_t now_us);

/** Resumes reading from the server once the client's send queue has drained. */
void eg_call_resume_reading (struct eg_call *self);

/**
 * Moves or retries the request if a server of its path has become suspect or is
 * draining.
 */
void eg_call_servers_changed (struct eg_call *self, int64_t now_us);

/** Handles an engine's report that it cannot continue this stream. */
void eg_call_stream_stalled (struct eg_call *self,
                             const struct eg_stalled_stream *stalled,
                             int64_t now_us);

#endif
