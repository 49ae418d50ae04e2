/**
 * @file
 * History of an engine's load, from which delayed reports are made.
 */
#ifndef EG_STANDIN_ENGINE_LOAD_H
#define EG_STANDIN_ENGINE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

#define EG_ENGINE_LOAD_SAMPLES 2048

/** Variable part of a load report. */
struct eg_engine_load
{
  int64_t running;
  int64_t queued;
  int64_t kv_free;
  bool draining;
};

/** Ring buffer of recent samples. */
struct eg_engine_load_history
{
  struct
  {
    int64_t at_us;
    struct eg_engine_load load;
  } samples[EG_ENGINE_LOAD_SAMPLES];
  int64_t count; /**< Samples added in total. */
};

/** Records that the load is @p load from @p now_us on. */
void eg_engine_load_history_add (struct eg_engine_load_history *self,
                                 struct eg_engine_load load,
                                 int64_t now_us);

/** Returns the load at the time @p at_us, or else the oldest sample. */
struct eg_engine_load
eg_engine_load_history_at (const struct eg_engine_load_history *self,
                           int64_t at_us);

EG_END_DECLS

#endif
