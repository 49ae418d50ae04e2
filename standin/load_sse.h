/**
 * @file
 * Parser of server-sent events, fed in pieces of any size.
 */
#ifndef EG_STANDIN_LOAD_SSE_H
#define EG_STANDIN_LOAD_SSE_H

#include "base/buffer.h"
#include "base/decls.h"

EG_BEGIN_DECLS

/**
 * Takes one event.
 * @param event its name; empty if none was given.
 * @param data its data lines, joined by line feeds.
 */
typedef void (*eg_load_sse_callback) (void *context,
                                      struct eg_str event,
                                      struct eg_str data);

/** A stream of events. */
struct eg_load_sse
{
  eg_load_sse_callback callback;
  void *context;
  struct eg_buffer pending; /**< A line that has not ended yet. */
  struct eg_buffer event;
  struct eg_buffer data;
  bool has_data;
};

/** Starts a stream whose events go to @p callback. */
void eg_load_sse_init (struct eg_load_sse *self,
                       eg_load_sse_callback callback,
                       void *context);

/** Frees the memory. */
void eg_load_sse_finish (struct eg_load_sse *self);

/** Takes the next bytes; each event that they complete is called back. */
void eg_load_sse_feed (struct eg_load_sse *self, struct eg_str bytes);

/** Tells whether the stream stopped within an event. */
bool eg_load_sse_is_partial (const struct eg_load_sse *self);

EG_END_DECLS

#endif
