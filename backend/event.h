/**
 * @file
 * Events that the backend thread reports.
 */
#ifndef EG_BACKEND_EVENT_H
#define EG_BACKEND_EVENT_H

#include "base/buffer.h"
#include "base/decls.h"
#include "policy/lifecycle.h"
#include "policy/orders.h"

EG_BEGIN_DECLS

/** Kinds of events. */
enum eg_backend_event_kind
{
  EG_BACKEND_TOKENS,      /**< An attempt produced tokens. */
  EG_BACKEND_DONE,        /**< An attempt received its complete response. */
  EG_BACKEND_FAILED,      /**< An attempt failed. */
  EG_BACKEND_LOAD,        /**< A poll returned a load report. */
  EG_BACKEND_POLL_FAILED, /**< A poll returned no load report. */
  EG_BACKEND_ORDER_DONE,  /**< An order to an engine finished. */
};

/** A token; its text is stored in eg_backend_event.text. */
struct eg_backend_token
{
  int64_t position;
  size_t offset;
  size_t len;
};

/** An event. */
struct eg_backend_event
{
  enum eg_backend_event_kind kind;
  uint64_t request;
  uint32_t attempt;

  /* TOKENS: texts of the tokens. DONE of a plain service: response body. */
  struct eg_buffer text;
  struct eg_backend_token *tokens;
  size_t token_count;
  size_t token_capacity;

  /* DONE of a plain service; ORDER_DONE, where 0 means no response. */
  int http_status;
  char content_type[EG_NAME_BYTES * 2];

  /* FAILED. */
  enum eg_attempt_cause cause;
  /** Server of the failed stage; empty for the first server of the chain. */
  char server[EG_ADDRESS_BYTES];
  bool leaving; /**< Whether the first server refuses new work. */

  enum eg_order_result order_result; /**< ORDER_DONE. */

  /* LOAD, POLL_FAILED and ORDER_DONE. */
  char address[EG_ADDRESS_BYTES];
  struct eg_server_report report;
  bool not_found; /**< The server doesn't support this kind of poll. */
  bool timed_out; /**< The poll timed out; false for a refused connection. */
};

/** Creates an event; never returns NULL. */
struct eg_backend_event *eg_backend_event_new (enum eg_backend_event_kind kind);

/** Frees an event. */
void eg_backend_event_free (struct eg_backend_event *self);

/** Appends a token to a TOKENS event. */
void eg_backend_event_add_token (struct eg_backend_event *self,
                                 int64_t position,
                                 struct eg_str text);

EG_END_DECLS

#endif
