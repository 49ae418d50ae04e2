/**
 * @file
 * The late load report of an engine: what was true some time ago.
 */
#ifndef EG_STANDIN_ENGINE_LOAD_H
#define EG_STANDIN_ENGINE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

#define EG_ENGINE_LOAD_SAMPLES 2048

/** The changing part of a load report. */
struct eg_engine_load
{
  int64_t running;
  int64_t queued;
  int64_t kv_free;
  bool draining;
};

/** Samples of the recent past. */
struct eg_engine_load_history
{
  struct
  {
    int64_t at_us;
    struct eg_engine_load load;
  } samples[EG_ENGINE_LOAD_SAMPLES];
  int64_t count; /**< Samples ever taken. */
};

/** Notes that the load is @p load from @p now_us on. */
void eg_engine_load_history_add (struct eg_engine_load_history *self,
                                 struct eg_engine_load load,
                                 int64_t now_us);

/** Returns the load as it was at @p at_us, or the oldest one known. */
struct eg_engine_load
eg_engine_load_history_at (const struct eg_engine_load_history *self,
                           int64_t at_us);

EG_END_DECLS

#endif
