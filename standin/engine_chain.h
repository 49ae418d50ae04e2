/**
 * @file
 * A stream's way through the stages of its chain.
 *
 * A stage of the same process is called; another one is reached over HTTP by
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
  struct eg_stage_run run; /**< Of a local stage. */
  bool is_open;
  CURL *client; /**< Of a remote stage, once it is open. */
  struct eg_buffer response;
};

/** A chain; its head is the engine that serves the exchange. */
struct eg_stage_chain
{
  struct eg_engine *head;
  struct eg_server_exchange *exchange;
  struct eg_stage_params params; /**< Common to all stages. */
  struct eg_stage_chain_entry *stages;
  size_t count;
  size_t failed_stage;
  enum eg_step failure; /**< EG_STEP_DONE while nothing failed. */
};

/** Makes a chain of @p count stages, which are to be set next. */
void eg_stage_chain_init (struct eg_stage_chain *self,
                          struct eg_engine *head,
                          struct eg_server_exchange *exchange,
                          size_t count);

/** Closes all stages. */
void eg_stage_chain_finish (struct eg_stage_chain *self);

/** Sets a stage; @p address is borrowed. */
void eg_stage_chain_set_entry (struct eg_stage_chain *self,
                               size_t index,
                               const char *address,
                               struct eg_layers layers);

/** Opens the head's part. */
enum eg_step eg_stage_chain_open_head (struct eg_stage_chain *self);

/** Runs one position through all stages, in order. */
bool eg_stage_chain_run (struct eg_stage_chain *self, int64_t position);

EG_END_DECLS

#endif
