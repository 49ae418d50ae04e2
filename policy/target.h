/**
 * @file
 * What requests are sent to: a model or a plain service, with its queues, its
 * retry budget and the attempts that wait to be repeated.
 */
#ifndef EG_POLICY_TARGET_H
#define EG_POLICY_TARGET_H

#include "base/decls.h"
#include "base/list.h"
#include "base/map.h"
#include "policy/lifecycle.h"

EG_BEGIN_DECLS

/** One model or plain service. */
struct eg_target
{
  char name[EG_NAME_BYTES];
  bool plain;
  struct eg_admission *admission;
  struct eg_retry_budget retries;
  struct eg_list waiting;        /**< Requests that wait for a retry. */
  char preferred[EG_NAME_BYTES]; /**< Failure domain; empty for our own. */
  double token_gap_us; /**< Smoothed time between tokens; 0 before any. */
  int64_t observed_us; /**< When a token last came. */
  double length_share; /**< Smoothed tokens given over tokens asked for. */
  int64_t no_capacity_since_us; /**< 0 while there is a usable server. */
};

/** All targets of one entry VM; zero-initialised memory is an empty table. */
struct eg_target_table
{
  struct eg_map by_name;
};

/** Frees the targets. */
void eg_target_table_finish (struct eg_target_table *self);

/** Finds a target; NULL if there is none of this name. */
struct eg_target *eg_target_table_find (const struct eg_target_table *self,
                                        bool plain,
                                        struct eg_str name);

/** Finds or makes a target. */
struct eg_target *
eg_target_table_add (struct eg_target_table *self,
                     bool plain,
                     struct eg_str name,
                     const struct eg_lifecycle_config *config);

/** Takes in the time between two tokens. */
void eg_target_observe_token_interval (struct eg_target *self,
                                       int64_t gap_us,
                                       int64_t now_us);

/** Takes in how long an answer became. */
void eg_target_observe_output_length (struct eg_target *self,
                                      int64_t tokens,
                                      int64_t tokens_max);

/**
 * Returns the time to expect for an answer; 0 while nothing is known, or what
 * is known is old: else a slow spell would keep out the requests that could
 * show its end.
 */
int64_t eg_target_expected_us (const struct eg_target *self,
                               int64_t tokens_max,
                               int64_t now_us);

/** Walks all targets; @p cursor is 0 at the start. */
struct eg_target *eg_target_table_next (const struct eg_target_table *self,
                                        size_t *cursor);

EG_END_DECLS

#endif
