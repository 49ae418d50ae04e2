/**
 * @file
 * Execution of a stream at one stage, position by position.
 */
#ifndef EG_STANDIN_ENGINE_STAGE_H
#define EG_STANDIN_ENGINE_STAGE_H

#include "base/decls.h"
#include "base/str.h"
#include "standin/engine.h"

EG_BEGIN_DECLS

/** Result of a step at a stage. */
enum eg_step
{
  EG_STEP_DONE,
  EG_STEP_WAITING, /**< Not done by its deadline; may be continued. */
  EG_STEP_REFUSED, /**< Not valid in the state of the request. */
  EG_STEP_SUPERSEDED,
  EG_STEP_CANCELLED,
  EG_STEP_BUSY, /**< The queue or the KV cache is full. */
  EG_STEP_DRAINING,
  EG_STEP_UNLOADED, /**< The requested layers are not loaded. */
  EG_STEP_UNREACHABLE,
  EG_STEP_DIED,
  EG_STEP_TIMEOUT,
  EG_STEP_GONE, /**< The client disconnected or the head's run ended. */
  EG_STEP_COUNT,
};

/** Returns the name of @p step, as used in error events. */
const char *eg_step_cause (enum eg_step step);

/** Returns the result with the name @p cause, or EG_STEP_COUNT. */
enum eg_step eg_step_from_cause (const char *cause);

/** Parameters of a run. */
struct eg_stage_params
{
  const char *request;
  int64_t attempt;
  int64_t priority;
  struct eg_str prompt;
  int64_t committed; /**< Positions committed before this attempt. */
  int64_t max_tokens;
  struct eg_layers layers;
  bool is_head; /**< Only heads are subject to queue_max. */
  /** Whether the slot is kept between steps; for chains of one stage, whose
      steps follow each other at once. */
  bool keeps_slot;
  int64_t hang_timeout_us; /**< Time-out of a hung step; 0: none. */
  /** Polls for the reasons of EG_STEP_GONE; may be NULL. */
  bool (*is_disconnected) (void *context);
  void *context;
};

/** Run of a stream at a stage. */
struct eg_stage_run
{
  struct eg_engine *engine; /**< NULL unless the run is open. */
  struct eg_engine_request *request;
  struct eg_stage_params params; /**< Strings are valid while opening only. */
  uint64_t generation;
  struct eg_slot_rank rank;
  int64_t prompt_tokens;
  int64_t cached_tokens;
  int64_t due_us;      /**< Scheduled end of the last sleep. */
  int64_t deadline_us; /**< Of the current step; INT64_MAX: none. */
  bool crashes_on_prompt;
  bool has_slot;
  bool has_started;
  enum eg_step interruption;
};

/**
 * Opens a run.
 * @return EG_STEP_DONE, or the reason for the refusal; a run that was refused
 *         needs no closing.
 */
enum eg_step eg_stage_open (struct eg_stage_run *self,
                            struct eg_engine *engine,
                            const struct eg_stage_params *params);

/**
 * Runs @p position through the stage's layers.
 * @param deadline_us when to return EG_STEP_WAITING; the run stays open.
 */
enum eg_step eg_stage_step (struct eg_stage_run *self,
                            int64_t position,
                            int64_t deadline_us);

/** Closes a run, if it is open. */
void eg_stage_close (struct eg_stage_run *self);

/**
 * Checks, without a lock, whether the run was superseded, cancelled or ended
 * by a crash.
 * @return the reason, or EG_STEP_DONE if it goes on.
 */
enum eg_step eg_stage_check_ended (const struct eg_stage_run *self);

/** Returns the length of a prompt in tokens. */
int64_t eg_stage_prompt_tokens (struct eg_str prompt);

EG_END_DECLS

#endif
