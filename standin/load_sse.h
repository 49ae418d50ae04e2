/**
 * @file
 * Incremental parser of server-sent events.
 */
#ifndef EG_STANDIN_LOAD_SSE_H
#define EG_STANDIN_LOAD_SSE_H

#include "base/buffer.h"
#include "base/decls.h"

EG_BEGIN_DECLS

/**
 * Receives an event.
 * @param event name of the event; empty if it has none.
 * @param data data lines of the event, joined by line feeds.
 */
typedef void (*eg_load_sse_callback) (void *context,
                                      struct eg_str event,
                                      struct eg_str data);

/** Parser of one event stream. */
struct eg_load_sse
{
  eg_load_sse_callback callback;
  void *context;
  struct eg_buffer pending; /**< Start of an incomplete line. */
  struct eg_buffer event;
  struct eg_buffer data;
  bool has_data;
};

/** Initialises a parser that passes events to @p callback. */
void eg_load_sse_init (struct eg_load_sse *self,
                       eg_load_sse_callback callback,
                       void *context);

/** Frees the memory. */
void eg_load_sse_finish (struct eg_load_sse *self);

/** Parses the next bytes; calls back for each event that they complete. */
void eg_load_sse_feed (struct eg_load_sse *self, struct eg_str bytes);

/** Tells whether the input so far ends within an event. */
bool eg_load_sse_is_partial (const struct eg_load_sse *self);

EG_END_DECLS

#endif
