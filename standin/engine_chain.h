/**
 * @file
 * Execution of a stream by the stages of its chain.
 *
 * Stages of the same process are called directly, those of other processes by
 * `POST /standin/stage`.
 */
#ifndef EG_STANDIN_ENGINE_CHAIN_H
#define EG_STANDIN_ENGINE_CHAIN_H

#include <curl/curl.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "standin/engine.h"
#include "standin/engine_stage.h"

EG_BEGIN_DECLS

/** One stage of a chain. */
struct eg_stage_chain_entry
{
  const char *address;
  struct eg_layers layers;
  struct eg_engine *local; /**< NULL for a stage of another process. */
  struct eg_stage_run run; /**< Used by a local stage. */
  bool is_open;
  CURL *client; /**< Of a remote stage, from its first step on. */
  struct eg_buffer response;
};

/** A chain, whose head is the engine that handles the exchange. */
struct eg_stage_chain
{
  struct eg_engine *head;
  struct eg_server_exchange *exchange;
  struct eg_stage_params params; /**< Common to all stages. */
  struct eg_stage_chain_entry *stages;
  size_t count;
  size_t failed_stage;
  enum eg_step failure; /**< EG_STEP_DONE: no failure. */
};

/** Initializes a chain of @p count stages; set each of them before use. */
void eg_stage_chain_init (struct eg_stage_chain *self,
                          struct eg_engine *head,
                          struct eg_server_exchange *exchange,
                          size_t count);

/** Closes all stages and frees them. */
void eg_stage_chain_finish (struct eg_stage_chain *self);

/** Sets the stage at @p index; @p address is borrowed. */
void eg_stage_chain_set_entry (struct eg_stage_chain *self,
                               size_t index,
                               const char *address,
                               struct eg_layers layers);

/**
 * Opens the run at the head.
 * @return EG_STEP_DONE, or the reason for the refusal.
 */
enum eg_step eg_stage_chain_open_head (struct eg_stage_chain *self);

/**
 * Runs one position through all stages, in order.
 * @return false after a failure, which @c failure and @c failed_stage hold.
 */
bool eg_stage_chain_run (struct eg_stage_chain *self, int64_t position);

EG_END_DECLS

#endif
