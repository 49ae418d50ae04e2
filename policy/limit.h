/**
 * @file
 * Limits per organisation: a token bucket for the request rate, and a cap on
 * the requests in flight.
 */
#ifndef EG_POLICY_LIMIT_H
#define EG_POLICY_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Limits of one organisation; this entry VM's share of them. */
struct eg_limit_rule
{
  double rate_per_s;      /**< Requests per second; 0 means no limit. */
  double burst;           /**< Bucket capacity in requests; at least 1. */
  uint32_t in_flight_max; /**< 0 means no limit. */
};

/** Table of the limits of all organisations. */
struct eg_limits;

/**
 * Creates an empty table.
 * @param default_rule rule of organisations without one of their own.
 * @return NULL if out of memory.
 */
struct eg_limits *eg_limits_new (const struct eg_limit_rule *default_rule);

/** Frees the table. */
void eg_limits_free (struct eg_limits *self);

/**
 * Sets or replaces the rule of @p organisation; its bucket keeps its level.
 * The time since its last request is refilled at the lower of the two rates.
 * @return false if out of memory; no rule is set then.
 */
bool eg_limits_set (struct eg_limits *self,
                    struct eg_str organisation,
                    const struct eg_limit_rule *rule);

/** Replaces the default rule, of organisations without one of their own. */
void eg_limits_set_default (struct eg_limits *self,
                            const struct eg_limit_rule *rule);

/** Reverts @p organisation to the default rule. */
void eg_limits_clear (struct eg_limits *self, struct eg_str organisation);

/**
 * Admits one request, which counts as in flight until eg_limits_release().
 * At most burst + rate * t requests are admitted in any interval t.
 * @param[out] retry_after_us for EG_REFUSAL_RATE_LIMIT, the time in
 *             microseconds until the bucket holds a whole request; otherwise 0.
 * @return EG_REFUSAL_NONE, EG_REFUSAL_RATE_LIMIT, EG_REFUSAL_IN_FLIGHT_LIMIT,
 *         or EG_REFUSAL_NO_CAPACITY if out of memory.
 */
enum eg_refusal eg_limits_acquire (struct eg_limits *self,
                                   struct eg_str organisation,
                                   int64_t now_us,
                                   int64_t *retry_after_us);

/** Releases one request that eg_limits_acquire() admitted. */
void eg_limits_release (struct eg_limits *self, struct eg_str organisation);

/**
 * Removes organisations on the default rule that have nothing in flight and a
 * full bucket, since these do not differ from new ones. eg_limits_acquire()
 * does so each time the table has doubled, so that its size is bounded by the
 * number of organisations in use; call it periodically to free memory earlier.
 */
void eg_limits_sweep (struct eg_limits *self, int64_t now_us);

/** Returns the number of organisations in the table. */
size_t eg_limits_count (const struct eg_limits *self);

EG_END_DECLS

#endif
