/**
 * @file
 * Counters and latency histograms, served as text.
 */
#ifndef EG_ENTRY_METRICS_H
#define EG_ENTRY_METRICS_H

#include "base/buffer.h"
#include "base/histogram.h"

struct eg_entry;

/** What is counted. */
enum eg_counter
{
  EG_COUNT_CONNECTIONS,     /**< Callers' connections accepted. */
  EG_COUNT_REQUESTS,        /**< Requests read whole. */
  EG_COUNT_ANSWERED,        /**< Ended with a server's whole answer. */
  EG_COUNT_REFUSED,         /**< Ended with a refusal of our own: not run. */
  EG_COUNT_FAILED,          /**< Ended with another failure of our own. */
  EG_COUNT_ABANDONED,       /**< The caller left. */
  EG_COUNT_STREAMS_ABORTED, /**< A stream was broken off. */
  EG_COUNT_SENDS,           /**< Requests sent to servers. */
  EG_COUNT_RETRIES,         /**< Of these, sent once more. */
  EG_COUNT_RESUMES,         /**< Streams that went on in another run. */
  EG_COUNT_REPATHS,         /**< Streams moved to another path. */
  EG_COUNT_ORDERS,          /**< Orders of layers sent. */
  EG_COUNTERS,
};

/** What is timed, in microseconds. */
enum eg_timing
{
  EG_TIME_FIRST_EVENT, /**< From a stream's request to its first event. */
  EG_TIME_EVENT_GAP,   /**< Between two reads of a stream. */
  EG_TIME_ANSWER,      /**< From a plain request to its whole answer. */
  EG_TIMINGS,
};

/** All figures; memory of the caller. */
struct eg_metrics
{
  uint64_t counts[EG_COUNTERS];
  struct eg_histogram times[EG_TIMINGS];
};

/** Starts at zero. */
void eg_metrics_init (struct eg_metrics *self);

/** Adds one to a counter. */
void eg_metrics_count (struct eg_metrics *self, enum eg_counter counter);

/** Adds a duration. */
void eg_metrics_observe (struct eg_metrics *self,
                         enum eg_timing timing,
                         int64_t duration_us);

/** Appends all figures of a process as text. */
void eg_metrics_print (const struct eg_entry *entry, struct eg_buffer *out);

#endif
