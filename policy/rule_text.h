/**
 * @file
 * Changes of single lines in the text of the rules, and where lines come from.
 */
#ifndef EG_POLICY_RULE_TEXT_H
#define EG_POLICY_RULE_TEXT_H

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "policy/rule_document.h"

EG_BEGIN_DECLS

/** One line for another; an empty view stands for none. */
struct eg_rule_line_edit
{
  struct eg_str removed; /**< As it stands, without white space around it. */
  struct eg_str added;   /**< Takes the removed line's place, else the end. */
};

/**
 * Appends @p text, changed by one edit, to @p result.
 * @return EG_OK, EG_NOT_FOUND if the removed line is not in @p text, or
 *         EG_INVALID if there is nothing to do or a line has an end in it.
 */
enum eg_status eg_rule_text_edit (struct eg_str text,
                                  const struct eg_rule_line_edit *edit,
                                  struct eg_buffer *result,
                                  struct eg_error *error);

/**
 * Appends @p text without what an edit of the history brought, and with what it
 * took away.
 * @return EG_OK; EG_NOT_FOUND if a line that it brought has gone since;
 *         EG_INVALID if the history does not hold all lines of the edit.
 */
enum eg_status eg_rule_text_undo (struct eg_str text,
                                  const struct eg_rule_edit_record *record,
                                  struct eg_buffer *result,
                                  struct eg_error *error);

/** Returns line @p number, from 1, trimmed; empty if there is none. */
struct eg_str eg_rule_text_line (struct eg_str text, unsigned number);

/** Returns the comment of a line, without the '#'; empty if there is none. */
struct eg_str eg_rule_line_comment (struct eg_str line);

/** Returns the last edit that brought @p line, or NULL if it is older than the
 *  history. */
const struct eg_rule_edit_record *
eg_rule_document_blame (const struct eg_rule_document *document,
                        struct eg_str line);

EG_END_DECLS

#endif
