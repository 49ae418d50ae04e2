/**
 * @file
 * Answers where a request would be sent now, and why, without sending it.
 *
 * The decision is made by the functions that decide on real requests, with
 * copies of what they would change. No counter of requests changes.
 */
#ifndef EG_ENTRY_EXPLAIN_H
#define EG_ENTRY_EXPLAIN_H

#include "base/buffer.h"
#include "entry/explain_query.h"

struct eg_entry;

/** Maximum number of placements in an answer, those of least cost. */
#define EG_EXPLAIN_OPTIONS_MAX 32
/** Maximum number of servers that are not used, with the reason, in an answer.
 */
#define EG_EXPLAIN_REJECTED_MAX 64
/** Maximum length of a name in an answer, in bytes. */
#define EG_EXPLAIN_NAME_MAX 256

/**
 * Writes the answer, a JSON object.
 * @param target of the request for an explanation.
 * @return the HTTP status: 200; 400 for a query that is not valid; 404 if there
 *   is no such route or organisation; 503 without a configuration. If it is not
 *   200, the member "error" says why.
 */
unsigned eg_explain_answer (struct eg_entry *entry,
                            struct eg_str target,
                            struct eg_buffer *out);

#endif
