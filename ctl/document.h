/**
 * @file
 * Reading the rules in force on a node, and sending edits to it.
 */
#ifndef EG_CTL_DOCUMENT_H
#define EG_CTL_DOCUMENT_H

#include "ctl/call.h"
#include "policy/rule_document.h"

EG_BEGIN_DECLS

/** The rules in force. */
struct eg_ctl_document
{
  int64_t version;
  struct eg_rule_document document;
  struct eg_ctl_answer answer; /**< The answer that they were read from. */
};

/**
 * Reads the rules; on failure, too, the document must be finished.
 * @return EG_CTL_OK, or another exit code after printing the error.
 */
int eg_ctl_document_init (struct eg_ctl_document *self,
                          const struct eg_ctl *ctl);

/** Frees the members of the document. */
void eg_ctl_document_finish (struct eg_ctl_document *self);

/**
 * Checks @p text locally and sends it to replace version @p base_version. After
 * a lost reply the edit is sent again under the same id, so that it is applied
 * at most once.
 * @param own_lines changed lines to print if another edit came first; may be
 * empty.
 * @return an exit code, after printing the outcome.
 */
int eg_ctl_send_text (const struct eg_ctl *ctl,
                      struct eg_str text,
                      int64_t base_version,
                      struct eg_str own_lines);

/**
 * Sends an edit in any form that @p path accepts. Adds the members `who` and
 * `id` to @p request and takes over its reference.
 * @return as eg_ctl_send_text().
 */
int eg_ctl_send (const struct eg_ctl *ctl,
                 const char *path,
                 json_t *request,
                 struct eg_str own_lines);

/** Prints an edit from the history. */
void eg_ctl_print_edit (const struct eg_ctl *ctl,
                        const struct eg_rule_edit_record *edit);

/**
 * Checks @p text locally and prints its faults; EG_CTL_OK if there are none.
 */
int eg_ctl_check_text (const struct eg_ctl *ctl, struct eg_str text);

EG_END_DECLS

#endif
