/**
 * @file
 * Deletes claim objects past their lifetime from the platform's store.
 */
#ifndef EG_ROUTER_SWEEPER_H
#define EG_ROUTER_SWEEPER_H

#include "platform/worker.h"
#include "policy/claim_sweeper.h"

/** Least time that a claim and its answer are kept. */
#define EG_CLAIM_LIFETIME_US (INT64_C (86400) * EG_US_PER_S)

/** The sweeper; memory of its owner. */
struct eg_sweeper
{
  struct eg_platform_worker *platform;
  struct eg_claim_sweeper claims;
  struct eg_random random;
};

/** Starts. */
void eg_sweeper_init (struct eg_sweeper *self,
                      struct eg_platform_worker *platform,
                      uint64_t seed);

/** Begins a round when it is due. */
void eg_sweeper_tick (struct eg_sweeper *self, int64_t now_us);

/** Takes in a reply of the platform; false if it is not for the sweeper. */
bool eg_sweeper_reply (struct eg_sweeper *self,
                       const struct eg_platform_reply *reply,
                       int64_t now_us);

#endif
