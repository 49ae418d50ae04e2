/**
 * @file
 * The commands `rules ...` and `drain`.
 */
#ifndef EG_CTL_RULES_COMMANDS_H
#define EG_CTL_RULES_COMMANDS_H

#include "ctl/ctl.h"

EG_BEGIN_DECLS

/* Each function returns one of enum eg_ctl_exit. */

/** Checks a file locally. */
int eg_ctl_rules_check (const struct eg_ctl *ctl);
/** Prints the rules in force; on a terminal, with line numbers. */
int eg_ctl_rules_show (const struct eg_ctl *ctl);
/** Adds, removes or replaces one line. */
int eg_ctl_rules_edit (const struct eg_ctl *ctl);
/** Replaces the rules by a file that is based on version --base. */
int eg_ctl_rules_apply (const struct eg_ctl *ctl);
/** Lists the edits: time, author and changed lines. */
int eg_ctl_rules_history (const struct eg_ctl *ctl);
/** Prints for each line who added it, and when. */
int eg_ctl_rules_blame (const struct eg_ctl *ctl);
/** Reverts an edit by a new edit. */
int eg_ctl_rules_undo (const struct eg_ctl *ctl);
/** Prints the reference page of all verbs. */
int eg_ctl_rules_reference (const struct eg_ctl *ctl);
/** Drains a backend server, or ends its drain. */
int eg_ctl_drain (const struct eg_ctl *ctl);

EG_END_DECLS

#endif
