/**
 * @file
 * Watches the engines of the failure domain, so that the loss of one is known
 * before a request meets it.
 */
#ifndef EG_ENTRY_MONITOR_H
#define EG_ENTRY_MONITOR_H

#include <stdint.h>

struct eg_entry;

/**
 * Asks the engines that fall to this entry VM for their reports. The
 * connections are kept between two questions: that of a process which ends is
 * closed at once.
 */
void eg_monitor_check (struct eg_entry *entry, int64_t now_us);

#endif
