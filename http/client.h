/**
 * @file
 * Single-threaded HTTP client for many concurrent transfers, based on libcurl's
 * multi interface. Responses can be streamed as they arrive.
 */
#ifndef EG_HTTP_CLIENT_H
#define EG_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/ring.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Maximum length of the path and query of a request, in bytes. */
#define EG_HTTP_TARGET_MAX 2000
/** Buffer size of a URL, including the terminating zero. */
#define EG_HTTP_URL_BYTES 2048
/** Buffer size of a response header value, including the terminating zero. */
#define EG_HTTP_VALUE_BYTES 128

/** How a transfer ended. */
enum eg_http_outcome
{
  EG_HTTP_ANSWERED,  /**< Complete response with any status. */
  EG_HTTP_NOT_SENT,  /**< Not connected, or too late: nothing was sent. */
  EG_HTTP_BROKEN,    /**< Interrupted; the server may have acted. */
  EG_HTTP_TIMED_OUT, /**< Timed out; the server may have acted. */
};

/** Result of a transfer; valid during the on_done callback. */
struct eg_http_result
{
  enum eg_http_outcome outcome;
  int status;     /**< HTTP status, or 0 if there was no response. */
  bool timed_out; /**< Timed out, whether or not anything was sent. */
  char content_type[EG_HTTP_VALUE_BYTES];
  char etag[EG_HTTP_VALUE_BYTES];
  struct eg_str body; /**< Empty if passed to @c on_data. */
  const char *detail; /**< Error description from libcurl. */
};

/** A request header. */
struct eg_http_header
{
  struct eg_str name;
  struct eg_str value;
};

/** A request; eg_http_client_start() copies all that it points to. */
struct eg_http_request
{
  const char *method;
  const char *address;  /**< `IP:PORT`. */
  struct eg_str target; /**< Path and query; starts with '/'. */
  const struct eg_http_header *headers;
  size_t header_count;
  struct eg_str body; /**< No body if `data` is NULL. */
  int64_t connect_timeout_us;
  int64_t timeout_us; /**< For the whole transfer; 0 for no timeout. */
  /** Whether @c timeout_us, not 0, ends when the response begins; the transfer
   *  then lasts as long as it goes on arriving, and the same holds while the
   *  request's body is being sent. */
  bool lasts_while_arriving;
  /** Nothing is sent after this monotonic time; 0 for no limit. */
  int64_t send_by_us;
  size_t body_max; /**< Longest response body in bytes; 0 for no limit. */

  /**
   * Whether the request must be sent at most once. It then gets its own
   * connection, as libcurl resends a request if a reused connection turns out
   * to be closed.
   */
  bool at_most_once;

  /** Receives the body of a 200 response; if NULL, it is passed to on_done. */
  void (*on_data) (void *context, struct eg_str bytes);
  /** Called once when the transfer has ended, unless it is aborted. */
  void (*on_done) (void *context, const struct eg_http_result *result);
  void *context;
};

struct eg_http_client;
struct eg_http_transfer;

/** Creates a client; NULL on failure. */
struct eg_http_client *eg_http_client_new (void);

/** Aborts all transfers and frees the client. */
void eg_http_client_free (struct eg_http_client *self);

/**
 * Starts a transfer. Its callbacks are only called by eg_http_client_run().
 * @return NULL if the request could not be set up.
 */
struct eg_http_transfer *
eg_http_client_start (struct eg_http_client *self,
                      const struct eg_http_request *request);

/** Aborts a transfer whose on_done was not called yet; it won't be called. */
void eg_http_client_abort (struct eg_http_client *self,
                           struct eg_http_transfer *transfer);

/**
 * Drives all transfers until there is activity, @p ring has an item or
 * @p timeout_us has passed.
 * @param ring queue whose consumer is the calling thread.
 */
void eg_http_client_run (struct eg_http_client *self,
                         struct eg_ring *ring,
                         int64_t timeout_us);

EG_END_DECLS

#endif
