/**
 * @file
 * The rate at which a service gets work done while work waits for it.
 */
#ifndef EG_POLICY_SERVICE_RATE_H
#define EG_POLICY_SERVICE_RATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/**
 * Work and busy time, both decayed. Idle time is left out: a service that had
 * little to do says nothing about what it could do.
 */
struct eg_service_rate
{
  double work;   /**< Cost finished while requests waited. */
  double busy_s; /**< Time in which requests waited. */
  int64_t updated_us;
  bool started;
};

/** Starts with no evidence. */
void eg_service_rate_init (struct eg_service_rate *self);

/**
 * Moves the clock on.
 * @param busy whether requests waited since the last call.
 */
void eg_service_rate_advance (struct eg_service_rate *self,
                              int64_t now_us,
                              bool busy);

/** Counts finished work, at the time of the last eg_service_rate_advance(). */
void eg_service_rate_add (struct eg_service_rate *self, uint64_t cost);

/** Returns cost per second; 0 while there is too little evidence. */
double eg_service_rate_get (const struct eg_service_rate *self);

EG_END_DECLS

#endif
