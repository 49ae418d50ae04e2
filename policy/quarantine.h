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

/** Settings of the quarantine. */
struct eg_quarantine_config
{
  unsigned deaths_max; /**< Distinct backend servers that may die first. */
  int64_t memory_us;   /**< How long a death is remembered. */
  int64_t duration_us; /**< How long a fingerprint stays refused. */
  size_t entries_max;  /**< Fingerprints remembered at most. */
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
 * Deaths of the same server within @c memory_us count once.
 * @return true if this death began the quarantine, so that peers be told.
 */
bool eg_quarantine_death (struct eg_quarantine *self,
                          uint64_t fingerprint,
                          uint64_t server,
                          int64_t now_us);

/** Begins a quarantine that a peer or a rule told of. */
void eg_quarantine_impose (struct eg_quarantine *self,
                           uint64_t fingerprint,
                           int64_t until_us);

/** Ends a quarantine; false if there was none. */
bool eg_quarantine_release (struct eg_quarantine *self, uint64_t fingerprint);

/**
 * Tells whether a request must be refused.
 * @param[out] retry_after_us until the quarantine ends; may be NULL.
 */
bool eg_quarantine_holds (const struct eg_quarantine *self,
                          uint64_t fingerprint,
                          int64_t now_us,
                          int64_t *retry_after_us);

EG_END_DECLS

#endif
