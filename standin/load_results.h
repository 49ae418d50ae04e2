/**
 * @file
 * What a run gave: counts, histograms and series.
 *
 * Histograms and totals count requests that arrived in the measured time;
 * series cover the whole run.
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
  uint64_t outcomes[EG_LOAD_OUTCOMES];
  uint64_t tokens;                    /**< Of requests that are measured. */
  struct eg_histogram first_token_us; /**< From the time of arrival. */
  struct eg_histogram between_tokens_us;
  struct eg_histogram total_us; /**< Of whole answers. */
};

/** How often requests ended in one way for one cause. */
struct eg_load_cause
{
  struct eg_load_verdict verdict;
  uint64_t count;
};

/** One request. */
struct eg_load_record
{
  int64_t arrival_us;
  int64_t end_us;         /**< -1 while it lasts. */
  int64_t first_token_us; /**< From its arrival; -1 if there is none. */
  uint32_t tokens;        /**< Received. */
  uint16_t stream;
  uint8_t outcome;
};

/** What became of a fault. */
struct eg_load_fault_result
{
  bool done; /**< Whether it could be brought about. */
  int64_t done_us;
  char detail[EG_LOAD_NAME_BYTES]; /**< Why not, if it could not. */
  uint64_t in_flight;              /**< Requests in flight at that time. */
  uint64_t in_flight_whole;
  struct eg_load_recovery recovery;
};

/** Everything that a run gave. */
struct eg_load_results
{
  const struct eg_load_scenario *scenario;
  struct eg_load_group *groups;
  size_t n_groups;
  size_t *group_of_stream;
  struct eg_load_cause *causes;
  size_t n_causes;
  struct eg_load_record *records;
  size_t n_records;
  size_t records_capacity;
  struct eg_load_bucket *buckets;
  struct eg_histogram *first_token_us; /**< For each bucket, by arrival. */
  size_t n_buckets;
  struct eg_load_fault_result *faults;
  struct eg_histogram send_lag_us; /**< From due arrival until sent. */
  int64_t longest_stall_us;        /**< That the tool itself stood still. */
  uint64_t wrong;                  /**< In the whole run. */
  uint64_t missing_request_id;
  uint64_t tokens_in_measured_time;
  uint64_t whole_in_measured_time; /**< Whole answers that ended in it. */
  bool audited;
  struct eg_load_audit_result audit;
};

/** Makes empty results; the scenario must outlive them. */
void eg_load_results_init (struct eg_load_results *self,
                           const struct eg_load_scenario *scenario);

/** Frees the memory. */
void eg_load_results_finish (struct eg_load_results *self);

/** Counts an arrival, and returns the number of its record. */
size_t eg_load_results_arrival (struct eg_load_results *self,
                                size_t stream,
                                int64_t arrival_us,
                                int64_t sent_us);

/**
 * Counts a token.
 * @param previous_us time of the token before, or -1 for the first.
 */
void eg_load_results_token (struct eg_load_results *self,
                            size_t record,
                            int64_t previous_us,
                            int64_t now_us);

/** Counts @p count tokens that came in one piece. */
void eg_load_results_tokens_at_once (struct eg_load_results *self,
                                     size_t record,
                                     int64_t count,
                                     int64_t now_us);

/** Counts the end of a request. */
void eg_load_results_end (struct eg_load_results *self,
                          size_t record,
                          const struct eg_load_verdict *verdict,
                          int64_t now_us);

/**
 * Returns an exact quantile of the first-token times of measured requests, in
 * microseconds; 0 if there are none.
 */
int64_t eg_load_results_first_token (const struct eg_load_results *self,
                                     double share);

/** Returns the most requests that were in flight at a bucket's end. */
uint64_t eg_load_results_peak_in_flight (const struct eg_load_results *self);

/** Computes what a run's end makes known: recovery and fates in flight. */
void eg_load_results_conclude (struct eg_load_results *self);

/** Returns totals over all groups; its names are NULL. */
void eg_load_results_total (const struct eg_load_results *self,
                            struct eg_load_group *total);

EG_END_DECLS

#endif
