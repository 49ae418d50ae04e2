/**
 * @file
 * Scenario of an at-most-once check: requests and injected faults.
 */
#ifndef EG_STANDIN_ONCE_SCENARIO_H
#define EG_STANDIN_ONCE_SCENARIO_H

#include "base/decls.h"
#include "standin/load_scenario.h"

EG_BEGIN_DECLS

/** A scenario; its requests arrive evenly spaced over the duration. */
struct eg_once_scenario
{
  /** Name, targets, faults, records, duration, drain and request timeout. */
  struct eg_load_scenario base;
  char service[EG_LOAD_NAME_BYTES];
  char organisation[EG_LOAD_NAME_BYTES];
  int64_t requests;
  double ticket_share;     /**< Share of requests that carry a ticket. */
  double plain_share;      /**< Share of requests with neither a ticket nor
                                a key; the rest have keys. */
  double other_body_share; /**< Share of requests with a key or ticket some
                                of whose attempts have a different body. */
  bool duplicates;         /**< Whether the first attempt of a request
                                goes to all targets at once. */
  bool repeats;        /**< Whether a request is repeated until it is known to
                            have been executed. */
  int64_t repeat_us;   /**< Range of the random delay before a repeat. */
  int64_t deadline_us; /**< Deadline that each attempt states. */
  int64_t record_interval_us; /**< Between reads of the records; 0 to read
                                   them only at the end. */
};

/**
 * Reads a scenario from the file at @p path; the caller finishes it in either
 * case.
 * @return EG_INVALID, naming the key or line, if it is malformed.
 */
enum eg_status eg_once_scenario_init_file (struct eg_once_scenario *self,
                                           const char *path,
                                           struct eg_error *error);

/** Frees the memory. */
void eg_once_scenario_finish (struct eg_once_scenario *self);

EG_END_DECLS

#endif
