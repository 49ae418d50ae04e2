/**
 * @file
 * HTTP handlers of an engine, apart from generation.
 */
#ifndef EG_STANDIN_ENGINE_CALLS_H
#define EG_STANDIN_ENGINE_CALLS_H

#include "base/decls.h"
#include "standin/engine.h"

EG_BEGIN_DECLS

/** Handles `GET /v1/load`. */
void eg_engine_handle_load (struct eg_engine *self,
                            struct eg_server_exchange *exchange);

/** Handles `POST /v1/cancel`. */
void eg_engine_handle_cancel (struct eg_engine *self,
                              struct eg_server_exchange *exchange);

/** Handles `POST /v1/kv/export`. */
void eg_engine_handle_kv_export (struct eg_engine *self,
                                 struct eg_server_exchange *exchange);

/** Handles `POST /v1/kv/import`. */
void eg_engine_handle_kv_import (struct eg_engine *self,
                                 struct eg_server_exchange *exchange);

/** Handles `POST /v1/orders`. */
void eg_engine_handle_order (struct eg_engine *self,
                             struct eg_server_exchange *exchange);

/** Handles `GET /v1/cache-events`. */
void eg_engine_handle_cache_events (struct eg_engine *self,
                                    struct eg_server_exchange *exchange);

/** Handles `POST /standin/stage`: one step for a head in another process. */
void eg_engine_handle_stage (struct eg_engine *self,
                             struct eg_server_exchange *exchange);

/** Handles `POST /standin/stage/close`. */
void eg_engine_handle_stage_close (struct eg_engine *self,
                                   struct eg_server_exchange *exchange);

EG_END_DECLS

#endif
