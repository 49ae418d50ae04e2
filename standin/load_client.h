/**
 * @file
 * Non-blocking HTTP client; all work is done on the calling thread.
 */
#ifndef EG_STANDIN_LOAD_CLIENT_H
#define EG_STANDIN_LOAD_CLIENT_H

#include <curl/curl.h>

#include "base/decls.h"
#include "base/status.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Result of an exchange. */
struct eg_load_exchange_result
{
  int http_status;             /**< 0 if no response was received. */
  bool refused;                /**< Connecting failed; nothing was sent. */
  const char *transport_error; /**< Name of the failure; NULL on success. */
};

/** An HTTP exchange. All that it points to must stay valid until it ends. */
struct eg_load_exchange
{
  const char *method;
  const char *url;
  struct curl_slist *headers;
  struct eg_str body;
  int64_t timeout_us;
  /**
   * Whether the request must be sent at most once. It then uses a connection of
   * its own, as libcurl resends a request when a reused connection turns out to
   * be closed.
   */
  bool at_most_once;
  /** Receives a header line of the response; may be NULL. */
  void (*on_header) (void *context, struct eg_str line);
  /** Receives a piece of the response body. */
  void (*on_body) (void *context, int http_status, struct eg_str bytes);
  /** Receives the result; called exactly once, as the last callback. */
  void (*on_end) (void *context, const struct eg_load_exchange_result *result);
  void *context;
};

struct eg_load_client;

/** Creates a client; returns NULL and sets @p error on failure. */
struct eg_load_client *eg_load_client_new (struct eg_error *error);

/** Cancels all exchanges without calling back, and frees the client. */
void eg_load_client_free (struct eg_load_client *self);

/** Starts an exchange. */
void eg_load_client_start (struct eg_load_client *self,
                           const struct eg_load_exchange *exchange);

/** Waits for network events for up to @p timeout_us, and processes them. */
void eg_load_client_run (struct eg_load_client *self, int64_t timeout_us);

/** Returns the number of exchanges in progress. */
size_t eg_load_client_active (const struct eg_load_client *self);

/** Ends every exchange with the transport error @p cause. */
void eg_load_client_abort (struct eg_load_client *self, const char *cause);

EG_END_DECLS

#endif
