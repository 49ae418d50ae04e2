/**
 * @file
 * The head of a chain: it answers a stream, token by token.
 */
#ifndef EG_STANDIN_ENGINE_GENERATE_H
#define EG_STANDIN_ENGINE_GENERATE_H

#include "base/decls.h"
#include "standin/engine.h"

EG_BEGIN_DECLS

/** Answers `POST /v1/generate`. */
void eg_engine_handle_generate (struct eg_engine *self,
                                struct eg_server_exchange *exchange);

EG_END_DECLS

#endif
