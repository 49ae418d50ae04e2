/**
 * @file
 * Generation at the head of a chain, streamed as server-sent events.
 */
#ifndef EG_STANDIN_ENGINE_GENERATE_H
#define EG_STANDIN_ENGINE_GENERATE_H

#include "base/decls.h"
#include "standin/engine.h"

EG_BEGIN_DECLS

/** Handles `POST /v1/generate`. */
void eg_engine_handle_generate (struct eg_engine *self,
                                struct eg_server_exchange *exchange);

EG_END_DECLS

#endif
