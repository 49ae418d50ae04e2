/**
 * @file
 * Results of a run: counts, histograms and time series.
 *
 * Histograms and totals cover the requests that arrived in the measured time;
 * the time series cover the whole run.
 */
#ifndef EG_STANDIN_LOAD_RESULTS_H
#define EG_STANDIN_LOAD_RESULTS_H

#include "base/decls.h"
#include "base/histogram.h"
#include "standin/load_audit.h"
#include "standin/load_check.h"
#include "standin/load_recovery.h"
#include "standin/load_scenario.h"

EG_BEGIN_DECLS

/** Results of one organisation and class. */
struct eg_load_group
{
  const char *organisation;
  const char *class_name;
  uint64_t arrivals;
  uint64_t outcomes[EG_LOAD_OUTCOME_COUNT];
  uint64_t tokens;                    /**< Of measured requests. */
  struct eg_histogram first_token_us; /**< Since arrival. */
  struct eg_histogram between_tokens_us;
  struct eg_histogram total_us; /**< Of complete responses. */
};

/** Number of requests with the same outcome and cause. */
struct eg_load_cause
{
  struct eg_load_verdict verdict;
  uint64_t count;
};

/** Measurements of one request. */
struct eg_load_sample
{
  int64_t arrival_us;
  int64_t end_us;         /**< -1 while in flight. */
  int64_t first_token_us; /**< Since arrival; -1 without a token. */
  uint32_t tokens;        /**< Received. */
  uint16_t stream;
  uint8_t outcome;
};

/** Result of a fault. */
struct eg_load_fault_result
{
  bool done; /**< Whether it was injected. */
  int64_t done_us;
  char detail[EG_LOAD_NAME_BYTES]; /**< Cause of failure if it was not. */
  uint64_t in_flight;              /**< Requests in flight at injection. */
  uint64_t in_flight_complete;
  struct eg_load_recovery recovery;
};

/** Results of a run. */
struct eg_load_results
{
  const struct eg_load_scenario *scenario;
  struct eg_load_group *groups;
  size_t n_groups;
  size_t *group_of_stream;
  struct eg_load_cause *causes;
  size_t n_causes;
  struct eg_load_sample *samples;
  size_t n_samples;
  size_t samples_capacity;
  struct eg_load_bucket *buckets;
  struct eg_histogram *first_token_us; /**< By bucket of arrival. */
  size_t n_buckets;
  struct eg_load_fault_result *faults;
  struct eg_histogram send_lag_us; /**< From scheduled arrival to sending. */
  int64_t longest_stall_us;        /**< Of the tool's own event loop. */
  uint64_t wrong;                  /**< Wrong responses in the whole run. */
  uint64_t missing_request_id;
  uint64_t tokens_in_measured_time;
  uint64_t completed_in_measured_time; /**< Complete responses that ended
                                      in the measured time. */
  bool audited;
  struct eg_load_audit_result audit;
};

/** Initialises empty results; the scenario must outlive them. */
void eg_load_results_init (struct eg_load_results *self,
                           const struct eg_load_scenario *scenario);

/** Frees the memory. */
void eg_load_results_finish (struct eg_load_results *self);

/** Records an arrival; returns the index of its sample. */
size_t eg_load_results_record_arrival (struct eg_load_results *self,
                                       size_t stream,
                                       int64_t arrival_us,
                                       int64_t sent_us);

/**
 * Records the arrival of a token.
 * @param previous_us time of the previous token, or -1 for the first.
 */
void eg_load_results_record_token (struct eg_load_results *self,
                                   size_t sample,
                                   int64_t previous_us,
                                   int64_t now_us);

/** Records @p count tokens that were received together. */
void eg_load_results_record_tokens (struct eg_load_results *self,
                                    size_t sample,
                                    int64_t count,
                                    int64_t now_us);

/** Records the end of a request. */
void eg_load_results_record_end (struct eg_load_results *self,
                                 size_t sample,
                                 const struct eg_load_verdict *verdict,
                                 int64_t now_us);

/**
 * Returns the exact quantile @p share, from 0 to 1, of the time to the first
 * token of measured requests, in microseconds; 0 if there are none.
 */
int64_t eg_load_results_first_token_us (const struct eg_load_results *self,
                                        double share);

/** Returns the maximum number of requests in flight at the end of a bucket. */
uint64_t eg_load_results_peak_in_flight (const struct eg_load_results *self);

/**
 * Computes, after the run, the recovery from each fault and the outcomes of
 * the requests that it found in flight.
 */
void eg_load_results_finalize (struct eg_load_results *self);

/** Computes the totals over all groups; the names in @p total are NULL. */
void eg_load_results_total (const struct eg_load_results *self,
                            struct eg_load_group *total);

EG_END_DECLS

#endif
