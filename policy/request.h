/**
 * @file
 * What the decision modules know of a request, and how a request may end.
 */
#ifndef EG_POLICY_REQUEST_H
#define EG_POLICY_REQUEST_H

#include <stdint.h>

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Most traffic classes that rules may define. */
#define EG_CLASSES_MAX 8
/** Longest name of an organisation, service, model or failure domain. */
#define EG_NAME_BYTES 64
/** Longest `IP:PORT`, with its final zero. */
#define EG_ADDRESS_BYTES 24

/** Whether a backend server ran any of a request. */
enum eg_ran
{
  EG_RAN_NO,      /**< A promise: none of it ran, and none will. */
  EG_RAN_UNKNOWN, /**< Some of it may have run, or may be running. */
  EG_RAN_YES,     /**< It ran. */
};

/** Why a request got no whole answer. */
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

/** How callers and counters see one refusal. */
struct eg_refusal_info
{
  const char *name;  /**< Label in metrics and the problem's type. */
  int http_status;   /**< Status code towards the caller. */
  const char *title; /**< One line for people. */
};

/** Returns the row of @p refusal in the table of refusals. */
const struct eg_refusal_info *eg_refusal_info (enum eg_refusal refusal);

/** Returns "no", "unknown" or "yes". */
const char *eg_ran_name (enum eg_ran ran);

EG_END_DECLS

#endif
