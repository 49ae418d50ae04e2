/**
 * @file
 * Detects requests that crash backend servers, by a fingerprint, and refuses
 * them for a while.
 */
#ifndef EG_POLICY_QUARANTINE_H
#define EG_POLICY_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Upper bound of the number of distinct servers that must crash. */
#define EG_QUARANTINE_CRASHES_MAX 8

/** Settings of the quarantine. */
struct eg_quarantine_config
{
  /** Distinct backend servers that must crash to start a quarantine; clamped to
      the range from 1 to EG_QUARANTINE_CRASHES_MAX. */
  unsigned crashes_min;
  int64_t window_us;   /**< Older crashes are not counted. */
  int64_t duration_us; /**< How long a fingerprint is refused. */
  size_t entries_max;  /**< Most fingerprints kept; at least 1. */
};

/** Suspected and quarantined fingerprints. */
struct eg_quarantine;

/** Returns the fingerprint of a request. */
uint64_t eg_quarantine_fingerprint (struct eg_str organisation,
                                    struct eg_str path,
                                    struct eg_str body);

/** Creates an empty quarantine; NULL if out of memory. */
struct eg_quarantine *
eg_quarantine_new (const struct eg_quarantine_config *config);

/** Frees the quarantine. */
void eg_quarantine_free (struct eg_quarantine *self);

/**
 * Records that backend server @p server crashed with the request in flight.
 * Crashes of the same server within @c window_us count once. Once the
 * quarantine has ended, earlier crashes no longer count.
 * If the table is full, ended quarantines are evicted first, then the suspect
 * with the oldest last crash, then the quarantine that ends soonest.
 * @return true if this crash started the quarantine, so that the caller can
 *         notify peers.
 */
bool eg_quarantine_record_crash (struct eg_quarantine *self,
                                 uint64_t fingerprint,
                                 uint64_t server,
                                 int64_t now_us);

/**
 * Starts a quarantine that a peer or a rule requires; an existing one is
 * extended, but never shortened.
 */
void eg_quarantine_add (struct eg_quarantine *self,
                        uint64_t fingerprint,
                        int64_t until_us);

/**
 * Ends a quarantine.
 * @return false if there was none; one that has already ended by time counts
 *         until it is evicted.
 */
bool eg_quarantine_remove (struct eg_quarantine *self, uint64_t fingerprint);

/**
 * Returns whether a request must be refused.
 * @param[out] retry_after_us time in microseconds until the quarantine ends, or
 *             0 if there is none; may be NULL.
 */
bool eg_quarantine_is_active (const struct eg_quarantine *self,
                              uint64_t fingerprint,
                              int64_t now_us,
                              int64_t *retry_after_us);

/** Returns the number of fingerprints kept. */
size_t eg_quarantine_count (const struct eg_quarantine *self);

EG_END_DECLS

#endif
