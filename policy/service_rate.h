/**
 * @file
 * Estimates the rate at which a service completes work while it is busy.
 */
#ifndef EG_POLICY_SERVICE_RATE_H
#define EG_POLICY_SERVICE_RATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/**
 * Exponentially decayed sums of work and busy time. Idle time is excluded,
 * since the throughput of an idle service says nothing about its capacity.
 */
struct eg_service_rate
{
  double work;   /**< Cost completed while requests were queued. */
  double busy_s; /**< Time during which requests were queued. */
  int64_t updated_us;
  bool started; /**< Whether @c updated_us is set. */
};

/** Initialises an estimate without observations. */
void eg_service_rate_init (struct eg_service_rate *self);

/**
 * Advances the time of the estimate.
 * @param busy whether requests have been queued since the last call.
 */
void eg_service_rate_advance (struct eg_service_rate *self,
                              int64_t now_us,
                              bool busy);

/** Adds completed work, at the time of the last eg_service_rate_advance(). */
void eg_service_rate_add (struct eg_service_rate *self, uint64_t cost);

/** Returns the cost per second; 0 if the busy time observed is too short. */
double eg_service_rate_get (const struct eg_service_rate *self);

EG_END_DECLS

#endif
