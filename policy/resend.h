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
  unsigned refusals;     /**< Sends that a server refused without running. */
  unsigned tries; /**< All sends, including those that found no connection. */
  int64_t now_us;
  int64_t deadline_us;
};

/** What rules out another send. */
enum eg_resend_limit
{
  EG_LIMIT_NONE,
  EG_LIMIT_NOT_REPEATABLE, /**< It may have run, or cannot be resumed. */
  EG_LIMIT_SENDS,          /**< It was sent or run as often as allowed. */
  EG_LIMIT_QUARANTINED,    /**< It is known to crash servers. */
  EG_LIMIT_TRIAL,          /**< Another request like it is being tried. */
  EG_LIMIT_REFUSALS,       /**< It has to pause after several refusals. */
  EG_LIMIT_DEADLINE,       /**< Too little time is left. */
  EG_LIMIT_RETRY_BUDGET,   /**< The service's retry budget is used up. */
  EG_LIMIT_NO_SERVER,      /**< No server is available at present. */
  EG_LIMIT_SERVER_LIMITS,  /**< The servers' own limits are used up. */
  EG_LIMIT_NO_SERVICE,     /**< The configuration has removed the service. */
  EG_LIMIT_KEYS,           /**< API keys may not be used at present. */
  EG_LIMIT_STOPPING,       /**< The daemon is shutting down. */
  EG_RESEND_LIMITS,
};

/** What to do with the request. */
enum eg_resend_decision
{
  EG_RESEND,         /**< Send again, if the retry budget allows. */
  EG_RESEND_WAIT,    /**< Wait for the send in flight. */
  EG_RESEND_LATER,   /**< Keep the partial response open and try again. */
  EG_RESEND_REFUSE,  /**< Refuse; the request has not run. */
  EG_RESEND_FAIL,    /**< Fail; the request may have run. */
  EG_RESEND_TIMEOUT, /**< Fail because the deadline has passed. */
  EG_RESEND_ABORT,   /**< Abort the partial response. */
};

/** Returns the name of @p limit, as used in logs and metrics. */
const char *eg_resend_limit_name (enum eg_resend_limit limit);

/** Returns what rules out another send on the side of the request itself. */
enum eg_resend_limit eg_resend_check (const struct eg_resend_context *context);

/**
 * Returns how long a started stream pauses after @p refusals refusals in a row,
 * in microseconds: a full server has no use for the same request every moment.
 */
int64_t eg_resend_pause_us (unsigned refusals);

/** Decides on another send. */
enum eg_resend_decision
eg_resend_decide (const struct eg_resend_context *context);

/**
 * Decides what to do with a request for which @p limit rules out another send.
 * A response that has started is not ended for a limit that may pass: neither a
 * server's silence nor a lack of room says that the client stops waiting.
 */
enum eg_resend_decision
eg_resend_give_up (const struct eg_resend_context *context,
                   enum eg_resend_limit limit);

EG_END_DECLS

#endif
