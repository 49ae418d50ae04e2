/**
 * @file
 * An HTTP client for one thread with many transfers at once, over libcurl's
 * multi interface. Bytes of an answer are handed on as they arrive.
 */
#ifndef EG_HTTP_CLIENT_H
#define EG_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/ring.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Longest path and query of a request. */
#define EG_HTTP_TARGET_MAX 2000
/** Longest URL, with its final zero. */
#define EG_HTTP_URL_BYTES 2048
/** Longest value kept of a header of the answer, with its final zero. */
#define EG_HTTP_VALUE_BYTES 128

/** How a transfer ended. */
enum eg_http_outcome
{
  EG_HTTP_ANSWERED,  /**< A whole answer came, whatever its status. */
  EG_HTTP_NOT_SENT,  /**< No connection was made: no byte left. */
  EG_HTTP_BROKEN,    /**< It broke off; the other side may have acted. */
  EG_HTTP_TIMED_OUT, /**< No whole answer in time; it may have acted. */
};

/** What is known when a transfer has ended; valid during the call. */
struct eg_http_result
{
  enum eg_http_outcome outcome;
  int status;     /**< HTTP status, or 0 if none came. */
  bool timed_out; /**< Whether silence ended it, before or after it was sent. */
  char content_type[EG_HTTP_VALUE_BYTES];
  char etag[EG_HTTP_VALUE_BYTES];
  struct eg_str body; /**< Empty if @c on_data took it. */
  const char *detail; /**< The library's words for a failure. */
};

/** One header of a request. */
struct eg_http_header
{
  struct eg_str name;
  struct eg_str value;
};

/** A request; everything it points to is copied by eg_http_client_start(). */
struct eg_http_request
{
  const char *method;
  const char *address;  /**< `IP:PORT`. */
  struct eg_str target; /**< Path and query, starting with '/'. */
  const struct eg_http_header *headers;
  size_t header_count;
  struct eg_str body; /**< `data` NULL for no body. */
  int64_t connect_timeout_us;
  int64_t timeout_us; /**< For the whole transfer; 0 for none. */
  /** No byte leaves after this monotonic time; 0 for no bound. */
  int64_t send_by_us;
  size_t body_max; /**< Longest answer taken, in bytes; 0 for no bound. */

  /**
   * Whether the request must go out at most once. It gets a connection of its
   * own, as the library repeats a request by itself when a kept connection
   * turns out to be closed.
   */
  bool at_most_once;

  /** Takes bytes of a 200 answer; NULL gathers them for on_done. */
  void (*on_data) (void *context, struct eg_str bytes);
  /** Called once, unless the transfer is aborted. */
  void (*on_done) (void *context, const struct eg_http_result *result);
  void *context;
};

struct eg_http_client;
struct eg_http_transfer;

/** Makes a client; NULL if the system refuses. */
struct eg_http_client *eg_http_client_new (void);

/** Aborts what still runs and frees the client. */
void eg_http_client_free (struct eg_http_client *self);

/**
 * Starts a transfer. Callbacks come from eg_http_client_run() alone.
 * @return NULL if the request could not be set up.
 */
struct eg_http_transfer *
eg_http_client_start (struct eg_http_client *self,
                      const struct eg_http_request *request);

/** Ends a transfer without a callback; for any time before its on_done. */
void eg_http_client_abort (struct eg_http_client *self,
                           struct eg_http_transfer *transfer);

/**
 * Moves transfers on until @p ring has an item or @p timeout_us has passed.
 * @param ring woken by other threads; its consumer is this thread.
 */
void eg_http_client_run (struct eg_http_client *self,
                         struct eg_ring *ring,
                         int64_t timeout_us);

EG_END_DECLS

#endif
