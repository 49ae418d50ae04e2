/**
 * @file
 * A token bucket: so many at once, and so many a second.
 */
#ifndef EG_POLICY_TOKEN_BUCKET_H
#define EG_POLICY_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Zero is a full bucket. */
struct eg_token_bucket
{
  double taken; /**< As of @c updated_us. */
  int64_t updated_us;
};

/**
 * Takes tokens.
 * @param tokens how many, no more than @p burst where it is to succeed.
 * @param rate_per_s tokens that come back each second.
 * @param burst most tokens at once; at least 1.
 * @return false if there are not so many; none is taken then.
 */
bool eg_token_bucket_take (struct eg_token_bucket *self,
                           double tokens,
                           double rate_per_s,
                           double burst,
                           int64_t now_us);

EG_END_DECLS

#endif
