/**
 * @file
 * Limits for each organisation: token buckets for the rate of requests, and a
 * cap on those in flight.
 */
#ifndef EG_POLICY_LIMIT_H
#define EG_POLICY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** A limit on one organisation, on this entry VM's share of it. */
struct eg_limit_rule
{
  double rate_per_s;      /**< Requests a second; 0 means no limit. */
  double burst;           /**< Requests that may come at once. */
  uint32_t in_flight_max; /**< 0 means no limit. */
};

struct eg_limits;

/** Makes an empty table with the rule for organisations not named. */
struct eg_limits *eg_limits_new (const struct eg_limit_rule *fallback);

/** Frees the table. */
void eg_limits_free (struct eg_limits *self);

/** Sets or replaces the rule of @p organisation; its bucket keeps its level. */
void eg_limits_set (struct eg_limits *self,
                    struct eg_str organisation,
                    const struct eg_limit_rule *rule);

/** Returns @p organisation to the fallback rule. */
void eg_limits_clear (struct eg_limits *self, struct eg_str organisation);

/**
 * Admits one request, which counts as in flight until eg_limits_end().
 * @param[out] retry_after_us when the bucket will hold enough.
 * @return EG_REFUSAL_NONE, EG_REFUSAL_RATE_LIMIT or
 *         EG_REFUSAL_IN_FLIGHT_LIMIT.
 */
enum eg_refusal eg_limits_begin (struct eg_limits *self,
                                 struct eg_str organisation,
                                 int64_t now_us,
                                 int64_t *retry_after_us);

/** Ends one request that eg_limits_begin() admitted. */
void eg_limits_end (struct eg_limits *self, struct eg_str organisation);

/**
 * Forgets organisations on the fallback rule that have been idle, so that the
 * table is bounded by the organisations in use.
 */
void eg_limits_sweep (struct eg_limits *self, int64_t now_us);

EG_END_DECLS

#endif
