/**
 * @file
 * One HTTP request and its answer, over CivetWeb.
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

/** A request being answered; lives until its handler returns. */
struct eg_server_exchange
{
  struct mg_connection *conn;
  const char *method;
  const char *path;  /**< Decoded. */
  const char *query; /**< NULL where there is none. */
  int port;          /**< Of the listener. */
  struct eg_buffer body;
  struct eg_buffer out; /**< Scratch for the answer. */
  json_t *json;         /**< The body, once read as JSON; owned. */
  int status;           /**< What was answered; 0 before. */
  bool failed;          /**< The caller's connection no longer takes bytes. */
};

/** Reads a request, has it handled, and returns the status for CivetWeb. */
int eg_server_exchange_run (
    struct mg_connection *conn,
    void (*handle) (void *context, struct eg_server_exchange *exchange),
    void *context);

/** CivetWeb's callback for a new connection. */
int eg_server_exchange_init_connection (const struct mg_connection *conn,
                                        void **data);

/** Returns the request header @p name, or NULL. */
const char *
eg_server_exchange_get_header (const struct eg_server_exchange *self,
                               const char *name);

/** Tells whether the method is @p method and the path is @p path. */
bool eg_server_exchange_matches (const struct eg_server_exchange *self,
                                 const char *method,
                                 const char *path);

/**
 * Finds the parameter @p name of the query.
 * @return false if it is absent or too long for @p capacity.
 */
bool eg_server_exchange_get_query (const struct eg_server_exchange *self,
                                   const char *name,
                                   char *value,
                                   size_t capacity);

/** Answers 400 if the query has a parameter that @p names lacks. */
bool eg_server_exchange_check_query (struct eg_server_exchange *self,
                                     const char *const names[],
                                     size_t count);

/** Reads the body as JSON into self->json; answers 400 if it isn't. */
bool eg_server_exchange_parse_json (struct eg_server_exchange *self);

/**
 * Answers in whole.
 * @param headers further header lines, each ended by CR LF; "" for none.
 */
void eg_server_exchange_respond (struct eg_server_exchange *self,
                                 int status,
                                 const char *type,
                                 struct eg_str body,
                                 const char *headers);

/** Answers with @p value, which it takes over. */
void eg_server_exchange_respond_json (struct eg_server_exchange *self,
                                      int status,
                                      json_t *value);

/** Answers `{"error": MESSAGE}`. */
void eg_server_exchange_respond_error (struct eg_server_exchange *self,
                                       int status,
                                       const char *format,
                                       ...)
    __attribute__ ((format (printf, 3, 4)));

/** Starts an answer whose length isn't known. */
void eg_server_exchange_begin_chunked (struct eg_server_exchange *self,
                                       const char *type);

/** Sends a part of such an answer, in one write. */
bool eg_server_exchange_send_chunk (struct eg_server_exchange *self,
                                    struct eg_str part);

/** Ends such an answer. */
void eg_server_exchange_end_chunked (struct eg_server_exchange *self);

/** Closes the connection without an answer, or in the middle of one. */
void eg_server_exchange_abort (struct eg_server_exchange *self);

/** Tells whether the caller has closed the connection; a system call. */
bool eg_server_exchange_is_disconnected (struct eg_server_exchange *self);

EG_END_DECLS

#endif
