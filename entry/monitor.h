/**
 * @file
 * Monitors the engines of the failure domain, so that a failed engine is
 * detected before a request is sent to it.
 */
#ifndef EG_ENTRY_MONITOR_H
#define EG_ENTRY_MONITOR_H

#include <stdint.h>

struct eg_entry;

/**
 * Requests reports from the engines assigned to this entry VM. The connections
 * stay open between polls: the connection to a process that exits is closed
 * immediately, and its server is then probed without waiting for the next poll.
 */
void eg_monitor_check (struct eg_entry *entry, int64_t now_us);

#endif
