/**
 * @file
 * Checks a response token by token and determines the outcome of its request.
 */
#ifndef EG_STANDIN_LOAD_CHECK_H
#define EG_STANDIN_LOAD_CHECK_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Outcome of a request. */
enum eg_load_outcome
{
  EG_LOAD_COMPLETE,  /**< Every token, in order, and the end marker. */
  EG_LOAD_REFUSED,   /**< A status other than 2xx. */
  EG_LOAD_ABORTED,   /**< A stream terminated by an error event. */
  EG_LOAD_TRANSPORT, /**< The connection failed or the request timed out. */
  EG_LOAD_WRONG,     /**< An incorrect response, which is never acceptable. */
  EG_LOAD_OUTCOME_COUNT
};

/** Capacity for a cause, including the terminating zero byte. */
#define EG_LOAD_CAUSE_BYTES 64

/** Outcome of a request and its cause. */
struct eg_load_verdict
{
  enum eg_load_outcome outcome;
  int http_status;
  char cause[EG_LOAD_CAUSE_BYTES]; /**< Problem type or defect. */
  char ran[8];                     /**< Field `ran` of a problem. */
};

/** Expected form of a response. */
enum eg_load_response_kind
{
  EG_LOAD_RESPONSE_STREAM, /**< Event stream of an entry VM. */
  EG_LOAD_RESPONSE_DIRECT, /**< Event stream of a model engine. */
  EG_LOAD_RESPONSE_OBJECT, /**< JSON object of an entry VM. */
  EG_LOAD_RESPONSE_PLAIN,  /**< Any body, of a plain service. */
};

/** State of the check of one response. */
struct eg_load_check
{
  enum eg_load_response_kind kind;
  struct eg_str prompt; /**< Borrowed. */
  int64_t expected;     /**< Tokens requested. */
  int64_t position;     /**< Tokens received in order. */
  bool done;
  bool error_event;
  const char *wrong;              /**< First defect found, or NULL. */
  struct eg_load_verdict problem; /**< Read from an error event. */
};

/** Starts the check of a response of @p expected tokens to @p prompt. */
void eg_load_check_init (struct eg_load_check *self,
                         enum eg_load_response_kind kind,
                         struct eg_str prompt,
                         int64_t expected);

/**
 * Checks one event of a streamed response.
 * @return whether it was the next token.
 */
bool eg_load_check_event (struct eg_load_check *self,
                          struct eg_str event,
                          struct eg_str data);

/** Marks the response as wrong unless it is already; @p wrong is borrowed. */
void eg_load_check_mark_wrong (struct eg_load_check *self, const char *wrong);

/**
 * Ends the check.
 * @param http_status 0 if no response was received.
 * @param transport_error NULL if the response was received completely.
 * @param body body of an error response or of one that is not a stream.
 */
void eg_load_check_end (struct eg_load_check *self,
                        int http_status,
                        const char *transport_error,
                        struct eg_str body,
                        struct eg_load_verdict *verdict);

/** Returns the name of @p outcome in reports. */
const char *eg_load_outcome_name (enum eg_load_outcome outcome);

EG_END_DECLS

#endif
