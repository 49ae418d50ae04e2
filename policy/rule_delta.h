/**
 * @file
 * The difference that one edit made to the rules document: the text between the
 * unchanged start and end, and the record of the edit. It is small enough to be
 * sent to all entry VMs at every change.
 */
#ifndef EG_POLICY_RULE_DELTA_H
#define EG_POLICY_RULE_DELTA_H

#include "base/decls.h"
#include "policy/rule_document.h"

EG_BEGIN_DECLS

/**
 * Appends the delta from @p before to @p after.
 * @return false if @p after is not exactly one edit later than @p before.
 */
bool eg_rule_delta_encode (const struct eg_rule_document *before,
                           const struct eg_rule_document *after,
                           struct eg_buffer *delta);

/**
 * Applies @p delta to @p before and appends the resulting document as JSON.
 * @return EG_OK; EG_INVALID if the delta is malformed or was made from another
 *         document.
 */
enum eg_status eg_rule_delta_apply (const struct eg_rule_document *before,
                                    struct eg_str delta,
                                    struct eg_buffer *json);

EG_END_DECLS

#endif
