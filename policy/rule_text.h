/**
 * @file
 * Edits of single lines in the text of the rules, undo, and blame.
 */
#ifndef EG_POLICY_RULE_TEXT_H
#define EG_POLICY_RULE_TEXT_H

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "policy/rule_document.h"

EG_BEGIN_DECLS

/** Replacement of one line; an empty view stands for no line. */
struct eg_rule_line_edit
{
  struct eg_str removed; /**< Compared without surrounding white space. */
  struct eg_str added;   /**< Replaces @c removed, or is appended. */
};

/**
 * Appends @p text with one edit applied to @p result.
 * @return EG_OK; EG_NOT_FOUND if the removed line is not in @p text; EG_INVALID
 * if both lines are empty or one contains a line break.
 */
enum eg_status eg_rule_text_edit (struct eg_str text,
                                  const struct eg_rule_line_edit *edit,
                                  struct eg_buffer *result,
                                  struct eg_error *error);

/**
 * Appends @p text with an edit of the history reverted to @p result.
 * @return EG_OK; EG_NOT_FOUND if a line that the edit added was removed since;
 *         EG_INVALID if the history does not have all lines of the edit.
 */
enum eg_status eg_rule_text_undo (struct eg_str text,
                                  const struct eg_rule_edit_record *record,
                                  struct eg_buffer *result,
                                  struct eg_error *error);

/** Returns line @p number, counted from 1, trimmed; empty if there is none. */
struct eg_str eg_rule_text_line (struct eg_str text, unsigned number);

/** Returns the comment of a line, without the '#'; empty if there is none. */
struct eg_str eg_rule_line_comment (struct eg_str line);

/** Returns the last edit that added @p line, or NULL if it is older than the
 *  history. */
const struct eg_rule_edit_record *
eg_rule_document_blame (const struct eg_rule_document *document,
                        struct eg_str line);

EG_END_DECLS

#endif
