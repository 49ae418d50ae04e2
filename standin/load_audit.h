/**
 * @file
 * Checks the engines' execution records against the tokens that callers got:
 * every layer once for each token, in order. The sequence numbers of all
 * records must rise with time.
 *
 * Entry VMs name requests towards engines in their own way, so the tokens of
 * each recorded request are checked by themselves, and only the number of
 * tokens is compared with what callers received.
 *
 * A token may have been computed by an attempt whose answer was lost before
 * the caller had it; the highest attempt that ran a position counts, and such
 * positions are counted apart.
 */
#ifndef EG_STANDIN_LOAD_AUDIT_H
#define EG_STANDIN_LOAD_AUDIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** What an audit found. */
struct eg_load_audit_result
{
  uint64_t engines;
  uint64_t unreadable_engines; /**< Whose record could not be had. */
  uint64_t requests;           /**< Requests in the records. */
  uint64_t tokens;             /**< Tokens that every layer ran. */
  uint64_t missing;            /**< Tokens that some layer did not run. */
  uint64_t unverified;         /**< The same, where a record was unreadable. */
  uint64_t repeated;       /**< Tokens that a layer ran twice in one attempt. */
  uint64_t out_of_order;   /**< Tokens or layers run after a later one. */
  uint64_t other_attempts; /**< Tokens that more than one attempt ran. */
};

struct eg_load_audit;

/** Makes an audit of a model with @p model_layers layers. */
struct eg_load_audit *eg_load_audit_new (int64_t model_layers);

/** Frees the audit. */
void eg_load_audit_free (struct eg_load_audit *self);

/** Takes an engine's record; NULL for one that could not be had. */
enum eg_status eg_load_audit_add_engine (struct eg_load_audit *self,
                                         json_t *record,
                                         struct eg_error *error);

/**
 * Checks all requests of the records; after all engines, and once.
 * @param received tokens that callers got from all of them; as many must have
 *   been run by every layer.
 */
void eg_load_audit_check (struct eg_load_audit *self, uint64_t received);

/** Returns what was found so far. */
const struct eg_load_audit_result *
eg_load_audit_result (const struct eg_load_audit *self);

/** Tells whether some layer did not run exactly once, in order. */
bool eg_load_audit_is_bad (const struct eg_load_audit_result *result);

EG_END_DECLS

#endif
