/**
 * @file
 * Limits the number of claims that each organisation may begin on this entry VM
 * within one claim lifetime, which bounds the memory used in the store.
 *
 * The limit is local to the entry VM: the total is the sum over all entry VMs,
 * and a replaced entry VM starts with no claims counted.
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
  uint32_t claims_max;      /**< Per organisation and lifetime. */
  size_t organisations_max; /**< Organisations tracked at a time. */
  int64_t lifetime_us;      /**< Lifetime of claims. */
};

struct eg_claim_quota;

/** Creates an empty quota; NULL if out of memory. */
struct eg_claim_quota *
eg_claim_quota_new (const struct eg_claim_quota_config *config);

/** Frees the quota; NULL is allowed. */
void eg_claim_quota_free (struct eg_claim_quota *self);

/**
 * Counts a claim that is about to be begun.
 * @param[out] retry_after_us time in microseconds until the oldest claims in
 *             the window may expire, after which a retry can succeed.
 * @return false if the organisation is at its limit or the table is full.
 */
bool eg_claim_quota_take (struct eg_claim_quota *self,
                          struct eg_str organisation,
                          int64_t now_us,
                          int64_t *retry_after_us);

/** Uncounts a claim that created no object because the request was a repeat. */
void eg_claim_quota_return (struct eg_claim_quota *self,
                            struct eg_str organisation,
                            int64_t now_us);

/** Removes organisations without a claim in the last lifetime. */
void eg_claim_quota_sweep (struct eg_claim_quota *self, int64_t now_us);

/** Returns the number of claims counted for @p organisation. */
uint32_t eg_claim_quota_count (const struct eg_claim_quota *self,
                               struct eg_str organisation,
                               int64_t now_us);

EG_END_DECLS

#endif
