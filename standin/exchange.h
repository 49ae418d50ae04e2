/**
 * @file
 * An HTTP request and its response on the server side, on top of CivetWeb.
 */
#ifndef EG_STANDIN_EXCHANGE_H
#define EG_STANDIN_EXCHANGE_H

#include <jansson.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "base/str.h"

EG_BEGIN_DECLS

struct mg_connection;

/** A request in progress; valid until its handler returns. */
struct eg_server_exchange
{
  struct mg_connection *conn;
  const char *method;
  const char *path;  /**< URL-decoded. */
  const char *query; /**< NULL: none. */
  int port;          /**< Local port of the connection. */
  struct eg_buffer body;
  struct eg_buffer out; /**< Buffer for writing. */
  json_t *json;         /**< The parsed body, or NULL; owned. */
  int status;           /**< Status of the response; 0: none yet. */
  bool failed;          /**< The connection is closed or broken. */
};

/**
 * Reads a request and passes it to @p handle.
 * @return the status for CivetWeb.
 */
int eg_server_exchange_run (
    struct mg_connection *conn,
    void (*handle) (void *context, struct eg_server_exchange *exchange),
    void *context);

/** The init_connection callback of CivetWeb. */
int eg_server_exchange_init_connection (const struct mg_connection *conn,
                                        void **data);

/** Returns the request header @p name, or NULL. */
const char *
eg_server_exchange_get_header (const struct eg_server_exchange *self,
                               const char *name);

/** Returns whether the request is for @p method and @p path. */
bool eg_server_exchange_matches (const struct eg_server_exchange *self,
                                 const char *method,
                                 const char *path);

/**
 * Copies the query parameter @p name into @p value.
 * @return false if it is absent or too long for @p capacity.
 */
bool eg_server_exchange_get_query (const struct eg_server_exchange *self,
                                   const char *name,
                                   char *value,
                                   size_t capacity);

/** Responds with 400 and returns false if a parameter is not in @p names. */
bool eg_server_exchange_check_query (struct eg_server_exchange *self,
                                     const char *const names[],
                                     size_t count);

/** Parses the body into self->json; responds with 400 if it is not JSON. */
bool eg_server_exchange_parse_json (struct eg_server_exchange *self);

/**
 * Sends a complete response.
 * @param headers additional header lines, each with CR LF; "" for none.
 */
void eg_server_exchange_respond (struct eg_server_exchange *self,
                                 int status,
                                 const char *type,
                                 struct eg_str body,
                                 const char *headers);

/** Responds with @p value as JSON and takes ownership of it. */
void eg_server_exchange_respond_json (struct eg_server_exchange *self,
                                      int status,
                                      json_t *value);

/** Responds with `{"error": MESSAGE}`. */
void eg_server_exchange_respond_error (struct eg_server_exchange *self,
                                       int status,
                                       const char *format,
                                       ...)
    __attribute__ ((format (printf, 3, 4)));

/** Starts a chunked response with status 200. */
void eg_server_exchange_begin_chunked (struct eg_server_exchange *self,
                                       const char *type);

/** Sends a chunk in one write; returns false if the connection failed. */
bool eg_server_exchange_send_chunk (struct eg_server_exchange *self,
                                    struct eg_str part);

/** Ends a chunked response. */
void eg_server_exchange_end_chunked (struct eg_server_exchange *self);

/** Shuts down the connection, before or during the response. */
void eg_server_exchange_abort (struct eg_server_exchange *self);

/** Polls whether the client has disconnected; costs a system call. */
bool eg_server_exchange_is_disconnected (struct eg_server_exchange *self);

EG_END_DECLS

#endif
