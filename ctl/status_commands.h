/**
 * @file
 * The commands `status`, `nodes`, `servers` and `watch`.
 */
#ifndef EG_CTL_STATUS_COMMANDS_H
#define EG_CTL_STATUS_COMMANDS_H

#include "ctl/ctl.h"

EG_BEGIN_DECLS

/* Each function returns one of enum eg_ctl_exit. */

/** Prints the status of the node. */
int eg_ctl_status (const struct eg_ctl *ctl);
/** Prints the version in force on each entry VM. */
int eg_ctl_nodes (const struct eg_ctl *ctl);
/** Prints the backend servers. */
int eg_ctl_servers (const struct eg_ctl *ctl);
/** Prints the status whenever it changes. */
int eg_ctl_watch (const struct eg_ctl *ctl);

EG_END_DECLS

#endif
