/**
 * @file
 * HTTP/1.1 client: one request and its answer, over connections that are kept
 * for later requests.
 */
#ifndef EG_NET_EXCHANGE_H
#define EG_NET_EXCHANGE_H

#include "base/list.h"
#include "base/map.h"
#include "net/http_reader.h"
#include "net/socket.h"

/** How an exchange failed. */
enum eg_exchange_fault
{
  EG_EXCHANGE_UNREACHABLE, /**< No connection; no byte was sent. */
  EG_EXCHANGE_STALE,       /**< A kept connection ended before any answer. */
  EG_EXCHANGE_NO_ANSWER,   /**< A new connection ended before any answer. */
  EG_EXCHANGE_BROKEN,      /**< The answer was cut off. */
  EG_EXCHANGE_MALFORMED,   /**< The bytes are no HTTP. */
};

/** Returns the name of @p fault for logs. */
const char *eg_exchange_fault_name (enum eg_exchange_fault fault);

/** What to do with an answer whose head has come. */
enum eg_exchange_verdict
{
  EG_EXCHANGE_ACCEPT, /**< It answers this request. */
  EG_EXCHANGE_SKIP,   /**< It answers another; read on behind it. */
};

/** Called from the loop, never from within a call of the owner. */
struct eg_exchange_events
{
  enum eg_exchange_verdict (*head) (void *context,
                                    const struct eg_http_head *head);
  void (*body) (void *context, struct eg_str bytes); /**< May be NULL. */
  /** The answer is whole. */
  void (*done) (void *context);
  void (*failed) (void *context, enum eg_exchange_fault fault);
};

struct eg_http_connection;

/** Told when the other side ends a connection on which nothing was awaited. */
struct eg_exchange_pool_events
{
  void (*idle_ended) (void *context, struct eg_endpoint endpoint);
  void *context;
};

/** Connections that are kept, by endpoint. */
struct eg_exchange_pool
{
  uv_loop_t *loop;
  struct eg_map hosts;
  struct eg_list links; /**< All connections. */
  int64_t idle_us;      /**< Longest time that a connection is kept idle. */
  struct eg_exchange_pool_events events; /**< All NULL: nobody is told. */
  uint64_t opened;                       /**< Connections opened so far. */
  uint64_t reused; /**< Requests sent on a kept connection so far. */
};

/** One request; memory of its owner. */
struct eg_exchange
{
  const struct eg_exchange_events *events;
  void *context;
  struct eg_http_connection
      *link; /**< NULL before the start and after the end. */
};

/** What to send. */
struct eg_exchange_request
{
  struct eg_endpoint endpoint;
  struct eg_str head; /**< Start line and fields, with the empty line. */
  struct eg_str body;
  bool fresh;   /**< Only on a new connection. */
  bool no_body; /**< The answer has none: a HEAD request. */
};

/** Makes an empty pool. */
void eg_exchange_pool_init (struct eg_exchange_pool *self,
                            uv_loop_t *loop,
                            int64_t idle_us);

/** Closes all connections; run the loop once more before it ends. */
void eg_exchange_pool_finish (struct eg_exchange_pool *self);

/** Closes connections that have been idle for too long. */
void eg_exchange_pool_trim (struct eg_exchange_pool *self, int64_t now_us);

/** Closes the idle connections to one endpoint. */
void eg_exchange_pool_close_idle (struct eg_exchange_pool *self,
                                  struct eg_endpoint endpoint);

/** Prepares an exchange that is not under way. */
void eg_exchange_init (struct eg_exchange *self,
                       const struct eg_exchange_events *events,
                       void *context);

/**
 * Sends a request, whose bytes are copied where they have to wait.
 * @return false if no socket could be had; no event follows then.
 */
bool eg_exchange_start (struct eg_exchange *self,
                        struct eg_exchange_pool *pool,
                        const struct eg_exchange_request *request);

/** Ends an exchange by closing its connection; no event follows. */
void eg_exchange_cancel (struct eg_exchange *self);

/** Tells whether an exchange is under way. */
bool eg_exchange_is_active (const struct eg_exchange *self);

/** Tells whether the connection stands, so that bytes may have been sent. */
bool eg_exchange_is_connected (const struct eg_exchange *self);

/** Stops or resumes reading of the answer. */
void eg_exchange_set_paused (struct eg_exchange *self, bool hold);

#endif
