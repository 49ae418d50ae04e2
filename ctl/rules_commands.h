/**
 * @file
 * The commands `rules ...` and `drain`.
 */
#ifndef EG_CTL_RULES_COMMANDS_H
#define EG_CTL_RULES_COMMANDS_H

#include "ctl/ctl.h"

EG_BEGIN_DECLS

/* Each returns one of enum eg_ctl_exit. */

/** Checks a file on this side alone. */
int eg_ctl_rules_check (const struct eg_ctl *ctl);
/** Shows the text in force; on a terminal, with numbers. */
int eg_ctl_rules_show (const struct eg_ctl *ctl);
/** Adds, removes or replaces one line. */
int eg_ctl_rules_edit (const struct eg_ctl *ctl);
/** Puts a whole file in the place of the version it was read from. */
int eg_ctl_rules_apply (const struct eg_ctl *ctl);
/** Lists edits: when, who, which lines, for whom. */
int eg_ctl_rules_history (const struct eg_ctl *ctl);
/** Shows for each line who brought it, and when. */
int eg_ctl_rules_blame (const struct eg_ctl *ctl);
/** Takes the lines of an edit back, by a new edit. */
int eg_ctl_rules_undo (const struct eg_ctl *ctl);
/** Prints the reference page of all verbs. */
int eg_ctl_rules_reference (const struct eg_ctl *ctl);
/** Stops new work on a backend server, or ends that. */
int eg_ctl_drain (const struct eg_ctl *ctl);

EG_END_DECLS

#endif
