/**
 * @file
 * The rules as the node has them in force, and edits sent to it.
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
  struct eg_ctl_answer answer; /**< What they were read from. */
};

/**
 * Reads the rules; the document is to be finished in any case.
 * @return EG_CTL_OK, or an exit code; what went wrong is printed.
 */
int eg_ctl_document_init (struct eg_ctl_document *self,
                          const struct eg_ctl *ctl);

/** Frees the document. */
void eg_ctl_document_finish (struct eg_ctl_document *self);

/**
 * Checks @p text here and sends it in the place of @p base_version. A lost
 * reply is settled by the id of the edit.
 * @param own what the loser of a race is shown as his own edit; may be empty.
 * @return an exit code; the outcome is printed.
 */
int eg_ctl_send_text (const struct eg_ctl *ctl,
                      struct eg_str text,
                      int64_t base_version,
                      struct eg_str own);

/**
 * Sends an edit that the node works out itself; @p request is given its `who`
 * and `id`, and is taken over.
 * @return as eg_ctl_send_text().
 */
int eg_ctl_send (const struct eg_ctl *ctl,
                 const char *path,
                 json_t *request,
                 struct eg_str own);

/** Prints one edit of the history. */
void eg_ctl_print_edit (const struct eg_ctl *ctl,
                        const struct eg_rule_edit_record *edit);

/** Prints the faults of @p text; EG_CTL_OK if there are none. */
int eg_ctl_check_text (const struct eg_ctl *ctl, struct eg_str text);

EG_END_DECLS

#endif
