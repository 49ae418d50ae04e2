/**
 * @file
 * Limits for each organisation: token buckets for the rate of requests, and a
 * cap on those in flight.
 */
#ifndef EG_POLICY_LIMIT_H
#define EG_POLICY_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** A limit on one organisation, on this entry VM's share of it. */
struct eg_limit_rule
{
  double rate_per_s;      /**< Requests a second; 0 means no limit. */
  double burst;           /**< Requests that may come at once; at least 1. */
  uint32_t in_flight_max; /**< 0 means no limit. */
};

struct eg_limits;

/**
 * Makes an empty table with the rule for organisations not named.
 * @return NULL if memory could not be had.
 */
struct eg_limits *eg_limits_new (const struct eg_limit_rule *fallback);

/** Frees the table. */
void eg_limits_free (struct eg_limits *self);

/**
 * Sets or replaces the rule of @p organisation; its bucket keeps its level.
 * The time since its last request counts at the lower of the two rates.
 * @return false if memory could not be had; no rule is then set.
 */
bool eg_limits_set (struct eg_limits *self,
                    struct eg_str organisation,
                    const struct eg_limit_rule *rule);

/** Replaces the rule of all organisations without one of their own. */
void eg_limits_set_default (struct eg_limits *self,
                            const struct eg_limit_rule *rule);

/** Returns @p organisation to the fallback rule. */
void eg_limits_clear (struct eg_limits *self, struct eg_str organisation);

/**
 * Admits one request, which counts as in flight until eg_limits_release().
 * In any time t it admits at most burst + rate * t requests.
 * @param[out] retry_after_us for EG_REFUSAL_RATE_LIMIT, how long until the
 *             bucket will hold enough; otherwise 0.
 * @return EG_REFUSAL_NONE, EG_REFUSAL_RATE_LIMIT, EG_REFUSAL_IN_FLIGHT_LIMIT,
 *         or EG_REFUSAL_NO_CAPACITY if memory could not be had.
 */
enum eg_refusal eg_limits_acquire (struct eg_limits *self,
                                   struct eg_str organisation,
                                   int64_t now_us,
                                   int64_t *retry_after_us);

/** Ends one request that eg_limits_acquire() admitted. */
void eg_limits_release (struct eg_limits *self, struct eg_str organisation);

/**
 * Forgets organisations on the fallback rule that have nothing in flight and a
 * full bucket, which are the same as new ones. eg_limits_acquire() does so each
 * time the table has doubled, so that it is bounded by the organisations in
 * use; call it now and then to free memory early.
 */
void eg_limits_sweep (struct eg_limits *self, int64_t now_us);

/** Returns how many organisations are in the table. */
size_t eg_limits_count (const struct eg_limits *self);

EG_END_DECLS

#endif
