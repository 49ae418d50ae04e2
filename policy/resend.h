/**
 * @file
 * Decides whether a request may be sent to a server again, and which outcome
 * the client is told otherwise.
 */
#ifndef EG_POLICY_RESEND_H
#define EG_POLICY_RESEND_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** A request whose last send failed or is late, as input to the decision. */
struct eg_resend_context
{
  bool repeatable;       /**< It is safe to run the request again. */
  bool may_have_run;     /**< An earlier send may have run, or may still run. */
  bool in_flight;        /**< The last send may still succeed. */
  bool response_started; /**< Part of the response was sent to the client. */
  bool resumable;        /**< Another server can continue a partial response. */
  unsigned sends;        /**< Sends that reached a server. */
  unsigned tries; /**< All sends, including those that found no connection. */
  int64_t now_us;
  int64_t deadline_us;
};

/** What to do with the request. */
enum eg_resend_decision
{
  EG_RESEND,         /**< Send again, if the retry budget allows. */
  EG_RESEND_WAIT,    /**< Wait for the send in flight. */
  EG_RESEND_REFUSE,  /**< Refuse; the request has not run. */
  EG_RESEND_FAIL,    /**< Fail; the request may have run. */
  EG_RESEND_TIMEOUT, /**< Fail because the deadline has passed. */
  EG_RESEND_ABORT,   /**< Abort the partial response. */
};

/** Decides on another send. */
enum eg_resend_decision
eg_resend_decide (const struct eg_resend_context *context);

/** Decides as eg_resend_decide(), where another send is not possible. */
enum eg_resend_decision
eg_resend_give_up (const struct eg_resend_context *context);

EG_END_DECLS

#endif
