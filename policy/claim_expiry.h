/**
 * @file
 * Decides when a claim object has reached the end of its lifetime without
 * comparing the clocks of different machines: a tick object assigns ages to the
 * versions of the store.
 *
 * Tick N + 1 is written, with `If-Match`, by an entry VM whose monotonic clock
 * measured a whole period since it first read tick N. So objects that are not
 * newer than tick N - k are at least k periods old, whichever entry VM reads
 * them and whatever its wall clock says.
 */
#ifndef EG_POLICY_CLAIM_EXPIRY_H
#define EG_POLICY_CLAIM_EXPIRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Key of the tick object. */
#define EG_CLAIM_TICKS_KEY "claim-ticks"
/** Number of tick periods in a lifetime. */
#define EG_CLAIM_LIFETIME_TICKS 24

/** Content of the tick object: versions of earlier ticks, oldest first. */
struct eg_claim_ticks
{
  uint64_t versions[EG_CLAIM_LIFETIME_TICKS];
  size_t count;
};

/** The ticks as last read by one entry VM; allocated by the owner. */
struct eg_claim_expiry
{
  int64_t period_us;
  struct eg_claim_ticks ticks;
  uint64_t version; /**< Of the last tick read; 0 before the first. */
  int64_t seen_us;  /**< When that version was first read. */
};

/** Initialises; a claim lives at least @p lifetime_us after its last write. */
void eg_claim_expiry_init (struct eg_claim_expiry *self, int64_t lifetime_us);

/** Records the tick object as it was read; older versions are ignored. */
void eg_claim_expiry_observe (struct eg_claim_expiry *self,
                              uint64_t version,
                              const struct eg_claim_ticks *ticks,
                              int64_t now_us);

/**
 * Returns whether the next tick is due, and what to write for it. After the
 * write, whatever its result, the object must be read and observed again.
 * @param[out] ticks content to write.
 * @param[out] version value of `If-Match`; 0 stands for `If-None-Match: *`.
 */
bool eg_claim_expiry_next_tick (const struct eg_claim_expiry *self,
                                int64_t now_us,
                                struct eg_claim_ticks *ticks,
                                uint64_t *version);

/**
 * Returns whether the claim object with @p version may be deleted, with
 * `If-Match` and that version.
 */
bool eg_claim_expiry_is_expired (const struct eg_claim_expiry *self,
                                 uint64_t version);

/** Appends the ticks as JSON. */
void eg_claim_ticks_encode (const struct eg_claim_ticks *self,
                            struct eg_buffer *target);

/** Parses ticks from JSON; returns EG_OK or EG_INVALID. */
enum eg_status eg_claim_ticks_decode (struct eg_claim_ticks *self,
                                      struct eg_str json,
                                      struct eg_error *error);

EG_END_DECLS

#endif
