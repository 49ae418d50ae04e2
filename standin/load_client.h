/**
 * @file
 * HTTP exchanges without blocking, all on the calling thread.
 */
#ifndef EG_STANDIN_LOAD_CLIENT_H
#define EG_STANDIN_LOAD_CLIENT_H

#include <curl/curl.h>

#include "base/decls.h"
#include "base/status.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** How an exchange ended. */
struct eg_load_end
{
  int http_status;       /**< 0 if none came. */
  bool refused;          /**< No connection could be made; nothing was sent. */
  const char *transport; /**< Name of the failure; NULL if there was none. */
};

/** One exchange; the caller owns it and all it points to until its end. */
struct eg_load_exchange
{
  const char *method;
  const char *url;
  struct curl_slist *headers;
  struct eg_str body;
  int64_t timeout_us;
  /**
   * Whether it must go out at most once. It gets a connection of its own, as
   * libcurl repeats a request when a kept connection turns out to be closed.
   */
  bool at_most_once;
  /** Takes a header line of the answer; may be NULL. */
  void (*on_header) (void *context, struct eg_str line);
  /** Takes a piece of the answer's body. */
  void (*on_body) (void *context, int http_status, struct eg_str bytes);
  /** Takes the end; called once, after which the exchange is free. */
  void (*on_end) (void *context, const struct eg_load_end *end);
  void *context;
};

struct eg_load_client;

/** Makes a client; NULL with a message on failure. */
struct eg_load_client *eg_load_client_new (struct eg_error *error);

/** Ends exchanges without calling back, and frees the client. */
void eg_load_client_free (struct eg_load_client *self);

/** Starts an exchange. */
void eg_load_client_start (struct eg_load_client *self,
                           const struct eg_load_exchange *exchange);

/** Waits up to @p timeout_us for the network, and handles what came. */
void eg_load_client_run (struct eg_load_client *self, int64_t timeout_us);

/** Returns how many exchanges have not ended. */
size_t eg_load_client_active (const struct eg_load_client *self);

/** Ends every exchange as a transport failure named @p cause. */
void eg_load_client_abort (struct eg_load_client *self, const char *cause);

EG_END_DECLS

#endif
