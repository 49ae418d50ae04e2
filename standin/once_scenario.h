/**
 * @file
 * What a check of "at most once" sends, and what it breaks meanwhile.
 */
#ifndef EG_STANDIN_ONCE_SCENARIO_H
#define EG_STANDIN_ONCE_SCENARIO_H

#include "base/decls.h"
#include "standin/load_scenario.h"

EG_BEGIN_DECLS

/** A whole check; its requests arrive evenly over the duration. */
struct eg_once_scenario
{
  /** Name, targets, faults, records, duration, drain and request timeout. */
  struct eg_load_scenario base;
  char service[EG_LOAD_NAME_BYTES];
  char organisation[EG_LOAD_NAME_BYTES];
  int64_t requests;
  double ticket_share;     /**< Of requests that carry a ticket. */
  double plain_share;      /**< Of requests with neither; the rest have keys. */
  double other_body_share; /**< Of those with a key or ticket: some sendings
                                have another body. */
  bool duplicates;         /**< Whether each goes to all targets at once. */
  bool repeats;        /**< Whether each is repeated until it is answered. */
  int64_t repeat_us;   /**< Longest wait before a repeat. */
  int64_t deadline_us; /**< The budget that each sending states. */
  int64_t record_interval_us; /**< Between readings of the records; 0: none
                                   before the end. */
};

/** Reads a scenario from the file at @p path; finish it in either case. */
enum eg_status eg_once_scenario_init_file (struct eg_once_scenario *self,
                                           const char *path,
                                           struct eg_error *error);

/** Frees what the scenario holds. */
void eg_once_scenario_finish (struct eg_once_scenario *self);

EG_END_DECLS

#endif
