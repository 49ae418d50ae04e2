/**
 * @file
 * A stage's part of a stream: it runs one position after another.
 */
#ifndef EG_STANDIN_ENGINE_STAGE_H
#define EG_STANDIN_ENGINE_STAGE_H

#include "base/decls.h"
#include "base/str.h"
#include "standin/engine.h"

EG_BEGIN_DECLS

/** How a step at a stage ended. */
enum eg_step
{
  EG_STEP_DONE,
  EG_STEP_WAITING, /**< Not yet: the time given to it is over. */
  EG_STEP_REFUSED, /**< The state of the request forbids it. */
  EG_STEP_SUPERSEDED,
  EG_STEP_CANCELLED,
  EG_STEP_BUSY, /**< Queue or KV cache is full. */
  EG_STEP_DRAINING,
  EG_STEP_UNLOADED, /**< The layers asked for are not held. */
  EG_STEP_UNREACHABLE,
  EG_STEP_DIED,
  EG_STEP_TIMEOUT,
  EG_STEP_GONE, /**< The caller of the stream has left. */
  EG_STEP_COUNT,
};

/** Returns the cause that an error event names. */
const char *eg_step_cause (enum eg_step step);

/** Finds an outcome by its cause; EG_STEP_COUNT if there is none. */
enum eg_step eg_step_from_cause (const char *cause);

/** What a stream asks of a stage. */
struct eg_stage_params
{
  const char *request;
  int64_t attempt;
  int64_t priority;
  struct eg_str prompt;
  int64_t committed; /**< Positions committed before this attempt. */
  int64_t max_tokens;
  struct eg_layers layers;
  bool is_head;            /**< The queue's bound is for heads alone. */
  bool keeps_slot;         /**< Whether the next step follows at once. */
  int64_t hang_timeout_us; /**< How long a hang is borne; 0: for ever. */
  bool (*is_disconnected) (
      void *context); /**< Whether the caller left; or NULL. */
  void *context;
};

/** A stream at a stage. */
struct eg_stage_run
{
  struct eg_engine *engine; /**< NULL while the run isn't open. */
  struct eg_engine_request *request;
  struct eg_stage_params params; /**< Texts are borrowed for the opening. */
  uint64_t generation;
  struct eg_slot_rank rank;
  int64_t prompt_tokens;
  int64_t cached_tokens;
  int64_t due_us;      /**< When the last step was due to end. */
  int64_t deadline_us; /**< Of the step going on; INT64_MAX: none. */
  bool crashes_on_prompt;
  bool has_slot;
  bool has_started;
  enum eg_step interruption;
};

/** Opens a run; a refused one needs no closing. */
enum eg_step eg_stage_open (struct eg_stage_run *self,
                            struct eg_engine *engine,
                            const struct eg_stage_params *params);

/**
 * Runs @p position through the stage's layers.
 * @param deadline_us when to give up waiting, with the run still open.
 */
enum eg_step eg_stage_step (struct eg_stage_run *self,
                            int64_t position,
                            int64_t deadline_us);

/** Ends a run that is open. */
void eg_stage_close (struct eg_stage_run *self);

/**
 * Tells, without a lock, whether the run was overtaken, cancelled or killed.
 * @return EG_STEP_DONE if it was not.
 */
enum eg_step eg_stage_check_ended (const struct eg_stage_run *self);

/** Returns how many tokens a prompt counts as. */
int64_t eg_stage_prompt_tokens (struct eg_str prompt);

EG_END_DECLS

#endif
