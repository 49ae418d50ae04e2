/**
 * @file
 * How many claims each organisation may begin on this entry VM within one
 * lifetime, so that the store's memory is bounded.
 *
 * The bound is this entry VM's own: over all of them it is the sum, and a
 * replaced entry VM starts from nothing.
 */
#ifndef EG_POLICY_CLAIM_QUOTA_H
#define EG_POLICY_CLAIM_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Settings of the quota. */
struct eg_claim_quota_config
{
  uint32_t claims_max;      /**< Of one organisation within a lifetime. */
  size_t organisations_max; /**< Counted at a time. */
  int64_t lifetime_us;      /**< Of claims. */
};

struct eg_claim_quota;

/** Makes an empty quota; NULL if memory could not be had. */
struct eg_claim_quota *
eg_claim_quota_new (const struct eg_claim_quota_config *config);

/** Frees the quota. */
void eg_claim_quota_free (struct eg_claim_quota *self);

/**
 * Counts a claim that is about to be begun.
 * @param[out] retry_after_us when the oldest ones counted are forgotten.
 * @return false if the organisation has no room, or no more fit the table.
 */
bool eg_claim_quota_take (struct eg_claim_quota *self,
                          struct eg_str organisation,
                          int64_t now_us,
                          int64_t *retry_after_us);

/** Takes back a claim that left no object of its own: it was a repeat. */
void eg_claim_quota_return (struct eg_claim_quota *self,
                            struct eg_str organisation,
                            int64_t now_us);

/** Forgets organisations without a claim in the last lifetime. */
void eg_claim_quota_sweep (struct eg_claim_quota *self, int64_t now_us);

/** Returns how many claims of @p organisation count now. */
uint32_t eg_claim_quota_count (const struct eg_claim_quota *self,
                               struct eg_str organisation,
                               int64_t now_us);

EG_END_DECLS

#endif
