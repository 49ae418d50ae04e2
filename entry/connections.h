/**
 * @file
 * Connections of callers, of the balancer's readiness checks, of other entry
 * VMs and of the readers of metrics.
 */
#ifndef EG_ENTRY_CONNECTIONS_H
#define EG_ENTRY_CONNECTIONS_H

#include "entry/call.h"
#include "net/http_reader.h"
#include "net/socket.h"
#include "platform/mirror.h"

/** What a listener is for. */
enum eg_listener_kind
{
  EG_LISTEN_CALLERS,
  EG_LISTEN_READINESS,
  EG_LISTEN_PEERS, /**< And readers of metrics. */
  EG_LISTENERS,
};

/** One connection. */
struct eg_connection
{
  struct eg_list all;
  struct eg_entry *entry;
  enum eg_listener_kind kind;
  struct eg_socket socket;
  struct eg_http_reader reader;
  struct eg_call call;
  struct eg_buffer body;
  struct eg_buffer early; /**< Bytes behind the request being served. */
  unsigned reject_status; /**< Not 0: found while the request was read. */
  int64_t since_us; /**< Of the last answer, or of the request's first byte. */
  struct eg_mirror_query question; /**< Of a peer; waits if @c parked. */
  bool parked;
  bool idle; /**< No byte of a request has come. */
  bool processing;
  bool closing;
};

/** All connections; memory of the caller. */
struct eg_callers
{
  struct eg_entry *entry;
  uv_tcp_t listeners[EG_LISTENERS];
  bool listening[EG_LISTENERS];
  struct eg_list all;
  size_t connections;
  size_t running;    /**< Requests being served. */
  size_t body_bytes; /**< Of requests being read. */
};

/** Opens the listeners; false with a message if one cannot be had. */
bool eg_connections_open (struct eg_callers *self,
                          struct eg_entry *entry,
                          struct eg_error *error);

/** Does what is due on all connections. */
void eg_connections_check (struct eg_callers *self, int64_t now_us);

/** Answers peers whose questions can be answered by now. */
void eg_connections_mirror_changed (struct eg_callers *self, int64_t now_us);

/** Servers came under suspicion, or are leaving. */
void eg_connections_servers_changed (struct eg_callers *self, int64_t now_us);

/** Takes no more connections, and closes those without a request. */
void eg_connections_close_idle (struct eg_callers *self);

/** Breaks off all requests. */
void eg_connections_abort_requests (struct eg_callers *self);

/** Closes all; run the loop once more before its memory goes. */
void eg_connections_finish (struct eg_callers *self);

/** An engine's report names streams that it cannot go on with. */
void eg_connections_report_received (struct eg_callers *self,
                                     struct eg_backend *backend,
                                     const struct eg_engine_report *report);

/** Sends a part of the answer. */
void eg_connection_send (struct eg_connection *self, struct eg_str bytes);

/** Tells whether the connection ends with this answer. */
bool eg_connection_will_close (const struct eg_connection *self);

/** The answer is whole. */
void eg_connection_response_done (struct eg_connection *self);

/** The answer cannot be completed: the connection is broken off. */
void eg_connection_abort (struct eg_connection *self);

/** Tells whether the caller takes bytes more slowly than they come. */
bool eg_connection_is_congested (const struct eg_connection *self);

#endif
