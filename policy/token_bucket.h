/**
 * @file
 * A token bucket: limits a rate, with a burst allowance.
 */
#ifndef EG_POLICY_TOKEN_BUCKET_H
#define EG_POLICY_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** A token bucket; zero-initialised memory is a full one. */
struct eg_token_bucket
{
  double taken;       /**< Tokens missing from the bucket at @c updated_us. */
  int64_t updated_us; /**< Time of the last call. */
};

/**
 * Takes tokens.
 * @param tokens number of tokens; more than @p burst never succeeds.
 * @param rate_per_s refill rate in tokens per second.
 * @param burst bucket capacity in tokens; at least 1.
 * @return false if the bucket holds fewer tokens; none is taken then.
 */
bool eg_token_bucket_take (struct eg_token_bucket *self,
                           double tokens,
                           double rate_per_s,
                           double burst,
                           int64_t now_us);

EG_END_DECLS

#endif
