/**
 * @file
 * Limits and outcomes of requests that the policy modules share.
 */
#ifndef EG_POLICY_REQUEST_H
#define EG_POLICY_REQUEST_H

#include <stdint.h>

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Most traffic classes that the rules may define. */
#define EG_CLASSES_MAX 8
/** Size in bytes of a buffer for the name of an organisation, service, model or
    failure domain. */
#define EG_NAME_BYTES 64
/** Size in bytes of a buffer for an `IP:PORT`, including its final NUL. */
#define EG_ADDRESS_BYTES 24

/** Whether a backend server ran any part of a request. */
enum eg_ran
{
  EG_RAN_NO,      /**< Guaranteed: no part of it ran or will run. */
  EG_RAN_UNKNOWN, /**< Part of it may have run, or may be running. */
  EG_RAN_YES,     /**< Some or all of it ran. */
};

/** Why a request got no complete response. */
enum eg_refusal
{
  EG_REFUSAL_NONE,
  EG_REFUSAL_MALFORMED,
  EG_REFUSAL_NO_ORGANISATION,
  EG_REFUSAL_UNKNOWN_MODEL,
  EG_REFUSAL_UNKNOWN_SERVICE,
  EG_REFUSAL_CLAIM_CONFLICT,
  EG_REFUSAL_TOO_LARGE,
  EG_REFUSAL_KEY_REUSED,
  EG_REFUSAL_RATE_LIMIT,
  EG_REFUSAL_IN_FLIGHT_LIMIT,
  EG_REFUSAL_QUEUE_FULL,
  EG_REFUSAL_NO_CAPACITY,
  EG_REFUSAL_QUARANTINED,
  EG_REFUSAL_STOPPING,
  EG_REFUSAL_STORE_DOWN,
  EG_REFUSAL_BACKEND_FAILED,
  EG_REFUSAL_DEADLINE,
  EG_REFUSAL_COUNT
};

/** How a refusal is reported to clients and in metrics. */
struct eg_refusal_info
{
  const char *name;  /**< Metrics label, and type of the problem document. */
  int http_status;   /**< HTTP status code sent to the client. */
  const char *title; /**< Human-readable summary. */
};

/** Returns how @p refusal is reported. */
const struct eg_refusal_info *eg_refusal_info (enum eg_refusal refusal);

/** Returns "no", "unknown" or "yes". */
const char *eg_ran_name (enum eg_ran ran);

EG_END_DECLS

#endif
