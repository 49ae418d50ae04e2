/**
 * @file
 * What one edit changed in the rules document, small enough to be passed on at
 * every change: the text between the parts that stayed, and the edit's record.
 */
#ifndef EG_POLICY_RULE_DELTA_H
#define EG_POLICY_RULE_DELTA_H

#include "base/decls.h"
#include "policy/rule_document.h"

EG_BEGIN_DECLS

/**
 * Appends the delta from @p before to @p after.
 * @return false if more than one edit lies between them.
 */
bool eg_rule_delta_encode (const struct eg_rule_document *before,
                           const struct eg_rule_document *after,
                           struct eg_buffer *delta);

/**
 * Appends the JSON form of the document that @p delta makes of @p before.
 * @return EG_OK; EG_INVALID if the delta is broken or belongs to another
 *         document.
 */
enum eg_status eg_rule_delta_apply (const struct eg_rule_document *before,
                                    struct eg_str delta,
                                    struct eg_buffer *json);

EG_END_DECLS

#endif
