/**
 * @file
 * Bounded queue of log lines, written to standard output without blocking.
 */
#ifndef EG_ENTRY_LOG_QUEUE_H
#define EG_ENTRY_LOG_QUEUE_H

#include "base/buffer.h"

/** Queued log lines; allocated by the caller. */
struct eg_log_queue
{
  struct eg_buffer pending;
  /** Lines dropped for lack of space since the last report. */
  uint64_t dropped;
};

/** Installs the queue as the destination of eg_log(). */
void eg_log_queue_init (struct eg_log_queue *self);

/**
 * Writes the remaining lines and restores the default destination of eg_log().
 */
void eg_log_queue_finish (struct eg_log_queue *self);

/** Writes as much as standard output accepts without blocking. */
void eg_log_queue_flush (struct eg_log_queue *self);

#endif
