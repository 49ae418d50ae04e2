/**
 * @file
 * Log lines on their way to standard output: gathered, bounded, and written
 * without ever waiting for the reader.
 */
#ifndef EG_ENTRY_LOG_QUEUE_H
#define EG_ENTRY_LOG_QUEUE_H

#include "base/buffer.h"

/** Lines that wait to be written; memory of the caller. */
struct eg_log_queue
{
  struct eg_buffer waiting;
  uint64_t dropped; /**< Lines that found no room, since the last report. */
};

/** Takes the lines of eg_log() from now on. */
void eg_log_queue_init (struct eg_log_queue *self);

/** Writes what is left and gives the lines of eg_log() back. */
void eg_log_queue_finish (struct eg_log_queue *self);

/** Writes as much as standard output takes now. */
void eg_log_queue_flush (struct eg_log_queue *self);

#endif
