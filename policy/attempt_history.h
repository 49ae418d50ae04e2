/**
 * @file
 * When attempts of this node began and ended on one server, so that a load
 * report that was true some time ago can be brought up to date.
 */
#ifndef EG_POLICY_ATTEMPT_HISTORY_H
#define EG_POLICY_ATTEMPT_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Entries kept; more events than that share entries. */
#define EG_ATTEMPT_HISTORY_ENTRIES 64

/** Events close in time. */
struct eg_attempt_history_entry
{
  int64_t last_us; /**< Time of the latest of them. */
  uint32_t begun;
  uint32_t ended;
};

/** Events of one server, oldest first; fine for recent ones, coarse for old. */
struct eg_attempt_history
{
  uint32_t count;
  struct eg_attempt_history_entry entries[EG_ATTEMPT_HISTORY_ENTRIES];
};

/** Adds one begin, or one end, at @p now_us. */
void eg_attempt_history_add (struct eg_attempt_history *self,
                             bool begin,
                             int64_t now_us);

/** Forgets events up to and with @p as_of_us. */
void eg_attempt_history_discard_until (struct eg_attempt_history *self,
                                       int64_t as_of_us);

/** Sums the events that are kept. */
void eg_attempt_history_totals (const struct eg_attempt_history *self,
                                uint32_t *begun,
                                uint32_t *ended);

EG_END_DECLS

#endif
