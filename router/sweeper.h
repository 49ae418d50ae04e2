/**
 * @file
 * Deletes expired claims from the platform's store.
 */
#ifndef EG_ROUTER_SWEEPER_H
#define EG_ROUTER_SWEEPER_H

#include "platform/worker.h"
#include "policy/claim_sweeper.h"

/** Minimum lifetime of a claim and its answer in the store. */
#define EG_CLAIM_LIFETIME_US (INT64_C (86400) * EG_US_PER_S)

/** The sweeper; allocated by its owner. */
struct eg_sweeper
{
  struct eg_platform_worker *platform;
  struct eg_claim_sweeper claims;
  struct eg_random random;
};

/** Initialises the sweeper. */
void eg_sweeper_init (struct eg_sweeper *self,
                      struct eg_platform_worker *platform,
                      uint64_t seed);

/** Starts a sweep if one is due at @p now_us. */
void eg_sweeper_tick (struct eg_sweeper *self, int64_t now_us);

/** Handles a reply of the platform; false if it is not for the sweeper. */
bool eg_sweeper_reply (struct eg_sweeper *self,
                       const struct eg_platform_reply *reply,
                       int64_t now_us);

#endif
