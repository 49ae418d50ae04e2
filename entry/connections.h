/**
 * @file
 * Inbound connections: clients, readiness probes of the load balancer, other
 * entry VMs, and metrics scrapers.
 */
#ifndef EG_ENTRY_CONNECTIONS_H
#define EG_ENTRY_CONNECTIONS_H

#include "base/log.h"
#include "entry/call.h"
#include "entry/client_limits.h"
#include "net/http_reader.h"
#include "net/socket.h"
#include "platform/mirror.h"
#include "policy/client_memory.h"

/** One inbound connection. */
struct eg_connection
{
  struct eg_list all;
  struct eg_list in_turns; /**< In eg_connections.in_turns if @c has_turn. */
  struct eg_entry *entry;
  enum eg_listener_kind kind;
  struct eg_socket socket;
  struct eg_http_reader reader;
  struct eg_call call;
  struct eg_buffer body;
  /** Length of the body that the head states; SIZE_MAX: it states none. */
  size_t body_len;
  size_t body_max; /**< Limit for the body. */
  /** Bytes received after the request being served, from @c pipelined_at. */
  struct eg_buffer pipelined;
  size_t pipelined_at;
  struct eg_client_holder holder;
  /** Error status found while reading the request; 0: none. */
  unsigned reject_status;
  /** Time of the last response, of the request's first byte, or of closing;
   *  later, when the client was last seen to receive bytes. */
  int64_t last_activity_us;
  uint64_t accepted_tick; /**< Value of eg_connections::ticks at that time. */
  /** Bytes that the client had not acknowledged at the last check. */
  size_t undelivered;
  /** Bytes that it had acknowledged, and when it is checked next. */
  uint64_t delivered;
  int64_t delivery_check_us;
  /** A peer's mirror query; pending if @c query_pending. */
  struct eg_mirror_query query;
  bool query_pending;
  bool idle; /**< No byte of the next request has been received. */
  bool processing;
  bool read_ended; /**< The client sends no more. */
  bool closing;    /**< No more requests are served. */
  bool has_turn;   /**< It goes on in its next turn. */
  bool counted;    /**< In eg_connections.memory and eg_connections.counts. */
};

/** All inbound connections; allocated by the caller. */
struct eg_connections
{
  struct eg_entry *entry;
  uv_tcp_t listeners[EG_LISTENERS];
  bool listening[EG_LISTENERS];
  /** Size of the kernel's buffer of their next connections; 0: not set. */
  size_t receive_bytes[EG_LISTENERS];
  struct eg_list all;
  size_t counts[EG_LISTENERS];
  size_t running; /**< Requests being processed, as of the last tick. */
  struct eg_client_memory memory;
  uint64_t ticks; /**< Calls of eg_connections_check(). */
  /** Connections that sent more than is handled at once. */
  struct eg_list in_turns;
  uv_idle_t next_turns;
  /** A connection has arrived for which there will soon be room. */
  bool accept_later[EG_LISTENERS];
  struct eg_log_rate log_rates[EG_CLIENT_CAUSES];
};

/**
 * Opens the listeners.
 * @return false with a message if an address cannot be bound.
 */
bool eg_connections_open (struct eg_connections *self,
                          struct eg_entry *entry,
                          struct eg_error *error);

/** Returns the number of connections of all ports. */
size_t eg_connections_count (const struct eg_connections *self);

/** Handles timeouts on all connections; call it on every tick. */
void eg_connections_check (struct eg_connections *self, int64_t now_us);

/** Answers pending mirror queries that the new state satisfies. */
void eg_connections_mirror_changed (struct eg_connections *self,
                                    int64_t now_us);

/** Notifies all active calls that servers became suspect or are draining. */
void eg_connections_servers_changed (struct eg_connections *self,
                                     int64_t now_us);

/** Stops accepting clients and closes their idle connections. */
void eg_connections_close_idle (struct eg_connections *self);

/**
 * Counts the connections whose clients have not received all of their
 * responses, up to @p max: each costs a system call.
 */
size_t eg_connections_count_delivering (const struct eg_connections *self,
                                        size_t max);

/** Aborts all active calls. */
void eg_connections_abort_requests (struct eg_connections *self);

/**
 * Closes all listeners and connections. Run the event loop once more before
 * freeing the memory.
 */
void eg_connections_finish (struct eg_connections *self);

/** Handles the stalled streams listed in an engine's report. */
void eg_connections_report_received (struct eg_connections *self,
                                     struct eg_backend *backend,
                                     const struct eg_engine_report *report);

/** Sends part of a response. */
void eg_connection_send (struct eg_connection *self, struct eg_str bytes);

/** Returns whether the connection closes after this response. */
bool eg_connection_will_close (const struct eg_connection *self);

/** Completes the response and prepares for the next request. */
void eg_connection_response_done (struct eg_connection *self);

/** Closes the connection because the response cannot be completed. */
void eg_connection_abort (struct eg_connection *self);

/**
 * Returns whether the send queue is long enough that reading from the server
 * should pause.
 */
bool eg_connection_is_congested (const struct eg_connection *self);

#endif
