/**
 * @file
 * What the back-end thread reports.
 */
#ifndef EG_BACKEND_EVENT_H
#define EG_BACKEND_EVENT_H

#include "base/buffer.h"
#include "base/decls.h"
#include "policy/lifecycle.h"
#include "policy/orders.h"

EG_BEGIN_DECLS

/** The kinds of report. */
enum eg_backend_event_kind
{
  EG_BACKEND_TOKENS,      /**< Tokens of an attempt. */
  EG_BACKEND_DONE,        /**< An attempt's answer is whole. */
  EG_BACKEND_FAILED,      /**< An attempt failed. */
  EG_BACKEND_LOAD,        /**< A load report came in. */
  EG_BACKEND_POLL_FAILED, /**< A poll got no load report. */
  EG_BACKEND_ORDER_DONE,  /**< An order to an engine ended. */
};

/** One token; its text lies in the event's buffer. */
struct eg_backend_token
{
  int64_t position;
  size_t offset;
  size_t len;
};

/** One report. */
struct eg_backend_event
{
  enum eg_backend_event_kind kind;
  uint64_t request;
  uint32_t attempt;

  /* Of TOKENS: token texts. Of DONE, for a plain service: the body. */
  struct eg_buffer text;
  struct eg_backend_token *tokens;
  size_t token_count;
  size_t token_capacity;

  /* Of DONE, for a plain service; of ORDER_DONE, 0 if no answer came. */
  int http_status;
  char content_type[EG_NAME_BYTES * 2];

  /* Of FAILED. */
  enum eg_attempt_cause cause;
  char server[EG_ADDRESS_BYTES]; /**< At fault; empty for the head. */
  bool leaving;                  /**< Whether the head refuses new work. */

  enum eg_order_result order_result; /**< Of ORDER_DONE. */

  /* Of LOAD, POLL_FAILED and ORDER_DONE. */
  char address[EG_ADDRESS_BYTES];
  struct eg_server_report report;
  bool not_found; /**< The server does not know this kind of poll. */
  bool timed_out; /**< Nothing came in time; a refused connection is no silence.
                   */
};

/** Makes an event; never NULL. */
struct eg_backend_event *eg_backend_event_new (enum eg_backend_event_kind kind);

/** Frees an event. */
void eg_backend_event_free (struct eg_backend_event *self);

/** Adds a token to a TOKENS event. */
void eg_backend_event_add_token (struct eg_backend_event *self,
                                 int64_t position,
                                 struct eg_str text);

EG_END_DECLS

#endif
