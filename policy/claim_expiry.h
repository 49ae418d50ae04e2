/**
 * @file
 * When a claim object is past its lifetime, without comparing clocks: the
 * store's own versions are dated by a tick object.
 *
 * Tick N + 1 is written, with `If-Match`, by a node whose monotonic clock saw
 * tick N stand for a whole period. So objects no newer than tick N - k are at
 * least k periods old, whoever reads them and whatever their wall clocks say.
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

/** The object key of the ticks. */
#define EG_CLAIM_TICKS_KEY "claim-ticks"
/** Periods that make a lifetime. */
#define EG_CLAIM_LIFETIME_TICKS 24

/** The content of the tick object: versions of earlier ticks, oldest first. */
struct eg_claim_ticks
{
  uint64_t versions[EG_CLAIM_LIFETIME_TICKS];
  size_t count;
};

/** What one entry VM knows of the ticks; memory of the caller. */
struct eg_claim_expiry
{
  int64_t period_us;
  struct eg_claim_ticks ticks;
  uint64_t version; /**< Of the last tick seen; 0 before. */
  int64_t seen_us;  /**< When that version was first seen. */
};

/** Starts; a claim lives at least @p lifetime_us from its last write. */
void eg_claim_expiry_init (struct eg_claim_expiry *self, int64_t lifetime_us);

/** Takes in the tick object as it was read. */
void eg_claim_expiry_observe (struct eg_claim_expiry *self,
                              uint64_t version,
                              const struct eg_claim_ticks *ticks,
                              int64_t now_us);

/**
 * Tells whether the next tick is due, and what to write for it.
 * After the write, whatever became of it, the object is read again and
 * observed.
 * @param[out] version for `If-Match`; 0 stands for `If-None-Match: *`.
 */
bool eg_claim_expiry_next_tick (const struct eg_claim_expiry *self,
                                int64_t now_us,
                                struct eg_claim_ticks *ticks,
                                uint64_t *version);

/**
 * Tells whether the claim object of @p version may be deleted, with
 * `If-Match` and that version.
 */
bool eg_claim_expiry_is_expired (const struct eg_claim_expiry *self,
                                 uint64_t version);

/** Appends the JSON form. */
void eg_claim_ticks_encode (const struct eg_claim_ticks *self,
                            struct eg_buffer *target);

/** Reads the JSON form: EG_OK or EG_INVALID. */
enum eg_status eg_claim_ticks_decode (struct eg_claim_ticks *self,
                                      struct eg_str json,
                                      struct eg_error *error);

EG_END_DECLS

#endif
