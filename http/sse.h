/**
 * @file
 * Splits a byte stream into server-sent events.
 */
#ifndef EG_HTTP_SSE_H
#define EG_HTTP_SSE_H

#include "base/buffer.h"
#include "base/decls.h"

EG_BEGIN_DECLS

/** Longest event taken, in bytes. */
#define EG_SSE_EVENT_MAX ((size_t) 64 * 1024)

/** One event; the views are valid during the call. */
struct eg_sse_event
{
  struct eg_str name; /**< Of its `event:` line, or empty. */
  struct eg_str data; /**< Of its `data:` line. */
};

/** A parser; zero-initialised memory is a fresh one. */
struct eg_sse_parser
{
  struct eg_buffer pending;
};

/** Frees what the parser holds. */
void eg_sse_parser_finish (struct eg_sse_parser *self);

/**
 * Takes bytes and calls @p on_event for each event that they complete.
 * @return false if an event is longer than EG_SSE_EVENT_MAX.
 */
bool eg_sse_parser_feed (struct eg_sse_parser *self,
                         struct eg_str bytes,
                         void (*on_event) (void *context,
                                           const struct eg_sse_event *event),
                         void *context);

EG_END_DECLS

#endif
