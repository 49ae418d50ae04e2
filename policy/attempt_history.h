/**
 * @file
 * Times at which attempts of this entry VM began and ended on one server, so
 * that a load report with an older timestamp can be brought up to date.
 */
#ifndef EG_POLICY_ATTEMPT_HISTORY_H
#define EG_POLICY_ATTEMPT_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Entries per server; older events are merged when they run out. */
#define EG_ATTEMPT_HISTORY_ENTRIES 64

/** Events that are close in time. */
struct eg_attempt_history_entry
{
  int64_t last_us; /**< Time of the latest event. */
  uint32_t begun;  /**< Attempts that began. */
  uint32_t ended;  /**< Attempts that ended. */
};

/** Events of one server, oldest first; older ones have a coarser resolution. */
struct eg_attempt_history
{
  uint32_t count;
  struct eg_attempt_history_entry entries[EG_ATTEMPT_HISTORY_ENTRIES];
};

/** Adds the start (@p begin) or the end of one attempt. */
void eg_attempt_history_add (struct eg_attempt_history *self,
                             bool begin,
                             int64_t now_us);

/** Discards the events up to and including @p as_of_us. */
void eg_attempt_history_discard_until (struct eg_attempt_history *self,
                                       int64_t as_of_us);

/** Counts the events kept. */
void eg_attempt_history_totals (const struct eg_attempt_history *self,
                                uint32_t *begun,
                                uint32_t *ended);

EG_END_DECLS

#endif
