/**
 * @file
 * Whether a request may be sent to a server once more, and what its caller is
 * told when it may not.
 */
#ifndef EG_POLICY_RESEND_H
#define EG_POLICY_RESEND_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** What is known of a request whose last send has failed, or might. */
struct eg_resend_context
{
  bool repeatable;       /**< Running it again does no harm. */
  bool may_have_run;     /**< Some send may have run, or may run later. */
  bool in_flight;        /**< The last send may still come to something. */
  bool response_started; /**< A part of the answer has gone to the caller. */
  bool resumable;        /**< A begun answer may go on at another server. */
  unsigned sends;        /**< That reached a server so far. */
  unsigned tries; /**< All sends so far, those without a connection too. */
  int64_t now_us;
  int64_t deadline_us;
};

/** What to do. */
enum eg_resend_decision
{
  EG_RESEND,         /**< Send again, if the budget allows. */
  EG_RESEND_WAIT,    /**< Let the send under way go on. */
  EG_RESEND_REFUSE,  /**< Say that it has not run. */
  EG_RESEND_FAIL,    /**< Say that it has failed. */
  EG_RESEND_TIMEOUT, /**< Say that its time is over. */
  EG_RESEND_ABORT,   /**< Break off the answer that has begun. */
};

/** Decides on one more send. */
enum eg_resend_decision
eg_resend_decide (const struct eg_resend_context *question);

/** As eg_resend_decide(), where no more sends are possible. */
enum eg_resend_decision
eg_resend_give_up (const struct eg_resend_context *question);

EG_END_DECLS

#endif
