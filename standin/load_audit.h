/**
 * @file
 * Checks the engines' execution records: every layer must have been executed
 * exactly once for each token that clients received, in order. Sequence numbers
 * must increase with time across all records.
 *
 * Entry VMs use request ids of their own towards engines, so each recorded
 * request is checked separately, and only the total number of tokens is
 * compared with the number that clients received.
 *
 * A token may have been computed by an attempt whose response was lost before
 * it reached the client. Only the highest attempt at a position is checked;
 * positions with several attempts are counted separately.
 */
#ifndef EG_STANDIN_LOAD_AUDIT_H
#define EG_STANDIN_LOAD_AUDIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** Findings of an audit. */
struct eg_load_audit_result
{
  uint64_t engines;
  uint64_t unreadable_engines; /**< Engines whose record could not be
                                    read. */
  uint64_t requests;           /**< Requests found in the records. */
  uint64_t tokens;             /**< Tokens computed by every layer. */
  uint64_t missing;            /**< Tokens that a layer did not compute. */
  uint64_t unverified;         /**< Missing tokens that an unreadable record
                                    may contain. */
  uint64_t repeated;       /**< Tokens that a layer computed more than once in
                                an attempt. */
  uint64_t out_of_order;   /**< Tokens computed after the next token, or in
                                the wrong order of layers. */
  uint64_t other_attempts; /**< Tokens computed by more than one attempt. */
};

struct eg_load_audit;

/** Creates an audit of a model with @p model_layers layers. */
struct eg_load_audit *eg_load_audit_new (int64_t model_layers);

/** Frees the audit. */
void eg_load_audit_free (struct eg_load_audit *self);

/**
 * Adds the record of an engine.
 * @param record NULL if it could not be read.
 * @return EG_INVALID if the record is malformed.
 */
enum eg_status eg_load_audit_add_engine (struct eg_load_audit *self,
                                         json_t *record,
                                         struct eg_error *error);

/**
 * Checks all recorded requests. Call it once, after adding all engines.
 * @param received tokens that clients received in total; at least as many must
 *   have been computed by every layer.
 */
void eg_load_audit_check (struct eg_load_audit *self, uint64_t received);

/** Returns the findings so far. */
const struct eg_load_audit_result *
eg_load_audit_result (const struct eg_load_audit *self);

/** Tells whether a layer was not executed exactly once, or out of order. */
bool eg_load_audit_failed (const struct eg_load_audit_result *result);

EG_END_DECLS

#endif
