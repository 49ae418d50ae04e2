/**
 * @file
 * Counters and latency histograms in the Prometheus text format.
 */
#ifndef EG_ENTRY_METRICS_H
#define EG_ENTRY_METRICS_H

#include "base/buffer.h"
#include "base/histogram.h"
#include "entry/client_limits.h"
#include "policy/resend.h"
#include "policy/server_reach.h"

struct eg_entry;

/** Counters. */
enum eg_counter
{
  EG_COUNT_CONNECTIONS,     /**< Connections accepted from clients. */
  EG_COUNT_REQUESTS,        /**< Requests received completely. */
  EG_COUNT_ANSWERED,        /**< Completed with a response from a server. */
  EG_COUNT_REFUSED,         /**< Refused by this daemon without execution. */
  EG_COUNT_FAILED,          /**< Failed with another error from this daemon. */
  EG_COUNT_ABANDONED,       /**< Cancelled because the client disconnected. */
  EG_COUNT_STREAMS_ABORTED, /**< Streams aborted before their end. */
  EG_COUNT_SENDS,           /**< Attempts sent to servers. */
  EG_COUNT_RETRIES,         /**< Attempts after the first one of a request. */
  EG_COUNT_RESUMES,         /**< Streams resumed by a new attempt. */
  EG_COUNT_REPATHS,         /**< Streams moved to another path. */
  EG_COUNT_RUNS_LOST,       /**< Runs whose connection to the server ended. */
  EG_COUNT_QUARANTINED,     /**< Refused because they crash servers. */
  EG_COUNT_ORDERS,          /**< Layer orders sent. */
  EG_COUNT_HOPS_REFUSED,    /**< Requests that a peer refused. */
  EG_COUNT_HOPS_LOST,       /**< Requests that may have run through a peer. */
  EG_COUNT_FROM_PEERS,      /**< Requests received from peers. */
  EG_COUNT_RESPONSES_CUT,   /**< Their client stopped reading, or a stop. */
  EG_COUNT_CONFIGURATIONS_INVALID, /**< Read, but not applicable. */
  EG_COUNT_CONFIGURATION_DEFECTS,  /**< Reported for those in force. */
  EG_COUNT_EXPLANATIONS,           /**< Answers of entry/explain. */
  EG_COUNT_MESSAGES_FOREIGN,       /**< Dropped: the sender is no entry VM. */
  EG_COUNTERS,
};

/** Histograms, in microseconds. */
enum eg_timing
{
  EG_TIME_FIRST_EVENT, /**< From a stream's request to its first event. */
  EG_TIME_EVENT_GAP,   /**< Between consecutive reads from a stream. */
  EG_TIME_ANSWER,      /**< From a plain request to its complete response. */
  EG_TIMINGS,
};

/** All metrics of the process; allocated by the caller. */
struct eg_metrics
{
  uint64_t counts[EG_COUNTERS];
  /** EG_COUNT_STREAMS_ABORTED by what ruled out another send. */
  uint64_t streams_aborted[EG_RESEND_LIMITS];
  /** Requests refused, by what ruled out a send. */
  uint64_t refused[EG_RESEND_LIMITS];
  /** Requests sent through peers, by what was known of this VM's own path. */
  uint64_t hops[EG_REACH_STATES];
  /** Connections closed and requests rejected because of the client. */
  uint64_t clients[EG_CLIENT_CAUSES];
  struct eg_histogram times[EG_TIMINGS];
};

/** Resets all metrics to zero. */
void eg_metrics_init (struct eg_metrics *self);

/** Increments a counter. */
void eg_metrics_count (struct eg_metrics *self, enum eg_counter counter);

/** Records a duration. */
void eg_metrics_observe (struct eg_metrics *self,
                         enum eg_timing timing,
                         int64_t duration_us);

/** Appends all metrics as text. */
void eg_metrics_print (const struct eg_entry *entry, struct eg_buffer *out);

#endif
