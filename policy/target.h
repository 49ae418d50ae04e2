/**
 * @file
 * A destination of requests, which is a model or a plain service (one without a
 * model): its admission queues, its retry budget and the requests waiting for a
 * retry.
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
  struct eg_list retry_queue; /**< Requests waiting for a retry. */
  /** Failure domain preferred for placement; empty for this entry VM's own. */
  char preferred_domain[EG_NAME_BYTES];
  double token_interval_us; /**< Moving average; 0 before the first token. */
  int64_t observed_us;      /**< Time of the latest token. */
  /** Moving average of output tokens over @c tokens_max; 0 if unknown. */
  double output_ratio;
  int64_t no_capacity_since_us; /**< 0 while a server is usable. */
};

/** The targets of one entry VM; zero-initialised memory is an empty table. */
struct eg_target_table
{
  struct eg_map by_name;
};

/** Frees the targets. */
void eg_target_table_finish (struct eg_target_table *self);

/** Finds a target; NULL if there is none with this name. */
struct eg_target *eg_target_table_find (const struct eg_target_table *self,
                                        bool plain,
                                        struct eg_str name);

/** Finds or creates a target. */
struct eg_target *
eg_target_table_add (struct eg_target_table *self,
                     bool plain,
                     struct eg_str name,
                     const struct eg_lifecycle_config *config);

/** Updates the average time between two tokens of a response. */
void eg_target_observe_token_interval (struct eg_target *self,
                                       int64_t interval_us,
                                       int64_t now_us);

/** Updates the average output length, relative to the requested maximum. */
void eg_target_observe_output_length (struct eg_target *self,
                                      int64_t tokens,
                                      int64_t tokens_max);

/**
 * Estimates how long a response takes, in microseconds; 0 without recent
 * observations. Old ones are ignored, since after a slow period they would keep
 * out the very requests that could show that it is over.
 */
int64_t eg_target_expected_us (const struct eg_target *self,
                               int64_t tokens_max,
                               int64_t now_us);

/** Iterates over all targets; @p cursor is 0 at the start, NULL is the end. */
struct eg_target *eg_target_table_next (const struct eg_target_table *self,
                                        size_t *cursor);

EG_END_DECLS

#endif
