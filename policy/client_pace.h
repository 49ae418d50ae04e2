/**
 * @file
 * The pace at which a client sends its request or reads its response, compared
 * with a minimum rate.
 *
 * Each byte pays for the time that it takes at the minimum rate. A client that
 * is at least as fast has paid up to the present; a slower one falls behind by
 * the time that it has not paid for, whatever the size and number of the pieces
 * that it transfers. Time is not paid in advance, so that a pause counts in
 * full, as with an ordinary time-out.
 */
#ifndef EG_POLICY_CLIENT_PACE_H
#define EG_POLICY_CLIENT_PACE_H

#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** The pace of one transfer; allocated by the caller. */
struct eg_client_pace
{
  int64_t paid_us; /**< Time up to which the transfer is not late. */
};

/** Starts a transfer at @p now_us. */
void eg_client_pace_start (struct eg_client_pace *self, int64_t now_us);

/**
 * Records that bytes have been transferred.
 * @param rate minimum rate in bytes per second; 0: any byte suffices.
 */
void eg_client_pace_moved (struct eg_client_pace *self,
                           size_t bytes,
                           int64_t rate,
                           int64_t now_us);

/** Returns how far the transfer is behind the minimum rate. */
int64_t eg_client_pace_lag_us (const struct eg_client_pace *self,
                               int64_t now_us);

EG_END_DECLS

#endif
