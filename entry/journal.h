/**
 * @file
 * Bounded queue of log lines, written to standard output without blocking.
 */
#ifndef EG_ENTRY_JOURNAL_H
#define EG_ENTRY_JOURNAL_H

#include "base/buffer.h"

/** Queued log lines; allocated by the caller. */
struct eg_journal
{
  struct eg_buffer pending;
  /** Lines dropped for lack of space since the last report. */
  uint64_t dropped;
};

/** Installs the queue as the destination of eg_log(). */
void eg_journal_init (struct eg_journal *self);

/**
 * Writes the remaining lines and restores the default destination of eg_log().
 */
void eg_journal_finish (struct eg_journal *self);

/** Writes as much as standard output accepts without blocking. */
void eg_journal_flush (struct eg_journal *self);

#endif
