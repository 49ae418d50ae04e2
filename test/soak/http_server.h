/**
 * @file
 * A small HTTP server for the soak's stand-ins, on the soak's event loop.
 */
#ifndef EG_SOAK_HTTP_SERVER_H
#define EG_SOAK_HTTP_SERVER_H

#include "base/list.h"
#include "net/http_reader.h"
#include "net/socket.h"

struct soak_server;

/** One connection, and the request on it that waits for its answer. */
struct soak_connection
{
  struct eg_list all;
  struct soak_server *server;
  struct eg_socket socket;
  struct eg_http_reader reader;
  struct eg_buffer body;
  uv_timer_t timer; /**< For the handler: answers later. */
  void (*timed) (struct soak_connection *self);
  void *state; /**< Of the handler; freed when the request ends. */
  unsigned closing_handles;
  bool busy;
  bool closed;
};

/** A listener; memory of the caller. */
struct soak_server
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  struct eg_endpoint endpoint;
  bool listening;
  struct eg_list connections;
  /** Called with each whole request. */
  void (*handle) (void *context, struct soak_connection *connection);
  void *context;
};

/** Prepares a server; a port of 0 is chosen when it opens. */
void soak_server_init (struct soak_server *self,
                       uv_loop_t *loop,
                       uint16_t port,
                       void (*handle) (void *context,
                                       struct soak_connection *connection),
                       void *context);

/** Listens on the loopback address. */
void soak_server_open (struct soak_server *self);

/** Stops listening and resets all connections. */
void soak_server_crash (struct soak_server *self);

/** Answers the request of a connection. */
void soak_answer (struct soak_connection *self,
                  unsigned status,
                  struct eg_str fields,
                  struct eg_str body);

/** Calls @p timed after @p ms, unless the connection ends before. */
void soak_later (struct soak_connection *self,
                 uint64_t ms,
                 void (*timed) (struct soak_connection *self));

/** Goes on to the next request on the connection. */
void soak_done (struct soak_connection *self);

/** Breaks the connection off. */
void soak_cut (struct soak_connection *self);

/** Formats an endpoint as IP:PORT. */
void soak_address (struct eg_endpoint endpoint, char *text, size_t capacity);

#endif
