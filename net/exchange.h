/**
 * @file
 * HTTP/1.1 client with a connection pool. An exchange is one request and its
 * response.
 */
#ifndef EG_NET_EXCHANGE_H
#define EG_NET_EXCHANGE_H

#include "base/list.h"
#include "base/map.h"
#include "net/http_reader.h"
#include "net/socket.h"

/** Why an exchange failed. */
enum eg_exchange_fault
{
  EG_EXCHANGE_UNREACHABLE, /**< Connection not established; nothing was sent. */
  EG_EXCHANGE_STALE,       /**< Reused connection closed without a response. */
  EG_EXCHANGE_NO_ANSWER,   /**< New connection closed without a response. */
  EG_EXCHANGE_BROKEN,      /**< The response was truncated. */
  EG_EXCHANGE_MALFORMED,   /**< The response is not valid HTTP. */
};

/** Returns the name of @p fault, as used in logs. */
const char *eg_exchange_fault_name (enum eg_exchange_fault fault);

/** What to do with a response after its head was received. */
enum eg_exchange_verdict
{
  EG_EXCHANGE_ACCEPT, /**< It belongs to this request. */
  EG_EXCHANGE_SKIP,   /**< It belongs to another request: ignore it. */
};

/** Callbacks, called from the event loop and never from eg_exchange_*(). */
struct eg_exchange_events
{
  /** The response head was received; 1xx responses are skipped. */
  enum eg_exchange_verdict (*head) (void *context,
                                    const struct eg_http_head *head);
  /** Decoded bytes of the response body; may be NULL. */
  void (*body) (void *context, struct eg_str bytes);
  /** The response is complete. */
  void (*done) (void *context);
  /** The exchange failed; no further callback follows. */
  void (*failed) (void *context, enum eg_exchange_fault fault);
};

struct eg_http_connection;

/** Callbacks of a pool. */
struct eg_exchange_pool_events
{
  /** The server closed an idle connection; may be NULL. */
  void (*idle_ended) (void *context, struct eg_endpoint endpoint);
  void *context;
};

/** Pool of persistent connections. */
struct eg_exchange_pool
{
  uv_loop_t *loop;
  struct eg_map hosts;        /**< Idle connections by endpoint. */
  struct eg_list connections; /**< All connections. */
  int64_t idle_us;            /**< Longest idle time of a connection. */
  struct eg_exchange_pool_events events; /**< Set by the owner, or zero. */
  uint64_t opened;                       /**< Number of connections opened. */
  uint64_t reused; /**< Number of requests sent on a reused connection. */
};

/** An exchange, allocated by the caller. */
struct eg_exchange
{
  const struct eg_exchange_events *events;
  void *context;
  struct eg_http_connection *connection; /**< NULL while not in progress. */
};

/** A request. */
struct eg_exchange_request
{
  struct eg_endpoint endpoint;
  struct eg_str head; /**< Request line and fields, including the empty line. */
  struct eg_str body;
  /** The body remains valid until the exchange ends; it is not copied. */
  bool body_is_held;
  bool fresh;        /**< Always open a new connection. */
  bool connect_only; /**< Send nothing; done once a connection is open. */
  bool no_body;      /**< The response has no body, as for a HEAD request. */
};

/** Initialises an empty pool. */
void eg_exchange_pool_init (struct eg_exchange_pool *self,
                            uv_loop_t *loop,
                            int64_t idle_us);

/** Closes all connections; the loop must run afterwards to free them. */
void eg_exchange_pool_finish (struct eg_exchange_pool *self);

/** Closes the connections whose idle time has expired. */
void eg_exchange_pool_trim (struct eg_exchange_pool *self, int64_t now_us);

/** Closes all idle connections to @p endpoint. */
void eg_exchange_pool_close_idle (struct eg_exchange_pool *self,
                                  struct eg_endpoint endpoint);

/**
 * Initialises an exchange; nothing is sent yet. One that is in progress must be
 * cancelled before: its connection refers to it until then.
 */
void eg_exchange_init (struct eg_exchange *self,
                       const struct eg_exchange_events *events,
                       void *context);

/**
 * Sends a request; its head and body are copied, except for a body that is
 * held by the caller.
 * @return false if no socket could be opened; no callback follows then.
 */
bool eg_exchange_start (struct eg_exchange *self,
                        struct eg_exchange_pool *pool,
                        const struct eg_exchange_request *request);

/** Aborts an exchange and closes its connection; no callback follows. */
void eg_exchange_cancel (struct eg_exchange *self);

/** Returns whether an exchange is in progress. */
bool eg_exchange_is_active (const struct eg_exchange *self);

/** Returns whether the connection is established: bytes may have been sent. */
bool eg_exchange_is_connected (const struct eg_exchange *self);

/** Returns whether the connection was opened for this exchange. */
bool eg_exchange_is_fresh (const struct eg_exchange *self);

/** Pauses or resumes reading of the response. */
void eg_exchange_set_paused (struct eg_exchange *self, bool paused);

/** Returns whether reading of the response is paused. */
bool eg_exchange_is_paused (const struct eg_exchange *self);

#endif
