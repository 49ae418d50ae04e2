/**
 * @file
 * Requests that crash backend servers: found by a fingerprint, and refused
 * for a time.
 */
#ifndef EG_POLICY_QUARANTINE_H
#define EG_POLICY_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Most distinct servers that a quarantine may wait for. */
#define EG_QUARANTINE_CRASHES_MAX 8

/** Settings of the quarantine. */
struct eg_quarantine_config
{
  /** Distinct backend servers whose deaths begin a quarantine; from 1 to
      EG_QUARANTINE_CRASHES_MAX, and a value beyond is brought into range. */
  unsigned crashes_min;
  int64_t window_us;   /**< How long a death is remembered. */
  int64_t duration_us; /**< How long a fingerprint stays refused. */
  size_t entries_max;  /**< Fingerprints remembered at most; at least 1. */
};

struct eg_quarantine;

/** Returns the fingerprint of a request. */
uint64_t eg_quarantine_fingerprint (struct eg_str organisation,
                                    struct eg_str path,
                                    struct eg_str body);

/** Makes an empty quarantine; NULL if memory could not be had. */
struct eg_quarantine *
eg_quarantine_new (const struct eg_quarantine_config *config);

/** Frees the quarantine. */
void eg_quarantine_free (struct eg_quarantine *self);

/**
 * Reports that backend server @p server died with the request in flight.
 * Deaths of the same server within @c window_us count once. Once the
 * quarantine has ended, earlier deaths no longer count.
 * Where the table is full, ended quarantines make room first, then the
 * suspect that has been quiet longest, then the quarantine that ends soonest.
 * @return true if this death began the quarantine, so that peers be told.
 */
bool eg_quarantine_record_crash (struct eg_quarantine *self,
                                 uint64_t fingerprint,
                                 uint64_t server,
                                 int64_t now_us);

/**
 * Begins a quarantine that a peer or a rule told of; one that stands is
 * extended and never shortened.
 */
void eg_quarantine_add (struct eg_quarantine *self,
                        uint64_t fingerprint,
                        int64_t until_us);

/**
 * Ends a quarantine; false if there was none. One that has ended by time counts
 * until it is forgotten.
 */
bool eg_quarantine_remove (struct eg_quarantine *self, uint64_t fingerprint);

/**
 * Tells whether a request must be refused.
 * @param[out] retry_after_us until the quarantine ends; may be NULL.
 */
bool eg_quarantine_is_active (const struct eg_quarantine *self,
                              uint64_t fingerprint,
                              int64_t now_us,
                              int64_t *retry_after_us);

/** Returns how many fingerprints are remembered. */
size_t eg_quarantine_count (const struct eg_quarantine *self);

EG_END_DECLS

#endif
