/**
 * @file
 * Minimal HTTP server on the loopback address for the store and the backend
 * servers of the soak test.
 */
#ifndef EG_SOAK_HTTP_SERVER_H
#define EG_SOAK_HTTP_SERVER_H

#include "base/list.h"
#include "net/http_reader.h"
#include "net/socket.h"

struct soak_http_server;

/** A connection, with at most one request in progress. */
struct soak_http_connection
{
  struct eg_list link; /**< In soak_http_server.connections. */
  struct soak_http_server *server;
  struct eg_socket socket;
  struct eg_http_reader reader;
  struct eg_buffer body; /**< Of the request. */
  /** Of the response, over a narrow link; sent up to @c sent. */
  struct eg_buffer unsent;
  size_t sent;
  uv_timer_t timer; /**< For soak_http_schedule(). */
  void (*on_schedule) (struct soak_http_connection *self);
  void *state; /**< Of the handler; freed with free() after the request. */
  unsigned closing_handles;
  bool handling; /**< A request is in progress. */
  bool last;     /**< The response has Connection: close. */
  bool closed;
};

/** A listener; its memory belongs to the caller. */
struct soak_http_server
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  struct eg_endpoint endpoint;
  bool listening;
  bool closes_connections; /**< Responses have Connection: close. */
  /** Of the link that all responses share; 0: as many as possible. */
  size_t bytes_per_ms;
  size_t stalls_after; /**< Bytes of each response; 0: none stalls. */
  size_t sending;      /**< Connections whose responses share the link. */
  struct eg_list connections;
  /** Called with each complete request. */
  void (*handle) (void *context, struct soak_http_connection *connection);
  /** Called when it begins or ceases to listen; NULL: not needed. */
  void (*listening_changed) (void *context, bool listening);
  void *context;
};

/** Initializes a server; with @p port 0, it gets a free port at its first
 *  start and keeps it. */
void soak_http_server_init (
    struct soak_http_server *self,
    uv_loop_t *loop,
    uint16_t port,
    void (*handle) (void *context, struct soak_http_connection *connection),
    void *context);

/** Listens on the loopback address. */
void soak_http_server_start (struct soak_http_server *self);

/** Stops listening and resets all connections. */
void soak_http_server_stop (struct soak_http_server *self);

/** Resets all connections. */
void soak_http_server_reset (struct soak_http_server *self);

/** Stops listening and closes idle connections; the others are closed when
 *  their request has finished. */
void soak_http_server_drain (struct soak_http_server *self);

/** Returns whether connections are open: after soak_http_server_drain(), as
 *  long as requests are in progress. */
bool soak_http_server_is_busy (const struct soak_http_server *self);

/** Returns the number of requests without a complete response on connections
 *  that are open. */
unsigned soak_http_server_count_requests (const struct soak_http_server *self);

/** Returns the Connection field for the head of a response, or nothing. */
struct eg_str soak_http_connection_field (struct soak_http_connection *self);

/** Sends a complete response and finishes the request. @p fields are header
 *  lines, each with its CRLF. */
void soak_http_respond (struct soak_http_connection *self,
                        unsigned status,
                        struct eg_str fields,
                        struct eg_str body);

/** Calls @p on_schedule after @p ms, unless the connection closes before. */
void
soak_http_schedule (struct soak_http_connection *self,
                    uint64_t ms,
                    void (*on_schedule) (struct soak_http_connection *self));

/** Ends the request in progress and reads the next one. */
void soak_http_finish_request (struct soak_http_connection *self);

/** Closes the connection, also in the middle of a response. */
void soak_http_abort (struct soak_http_connection *self);

/** Formats an endpoint as IP:PORT. */
void
soak_format_address (struct eg_endpoint endpoint, char *text, size_t capacity);

#endif
