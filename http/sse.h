/**
 * @file
 * Incremental parser for server-sent events (text/event-stream).
 */
#ifndef EG_HTTP_SSE_H
#define EG_HTTP_SSE_H

#include "base/buffer.h"
#include "base/decls.h"

EG_BEGIN_DECLS

/** Maximum size of an event, in bytes. */
#define EG_SSE_EVENT_MAX ((size_t) 64 * 1024)

/** An event; the views are valid during the callback. */
struct eg_sse_event
{
  struct eg_str name; /**< Value of the `event:` field, or empty. */
  struct eg_str data; /**< Value of the last `data:` field, or empty. */
};

/** A parser; zero-initialised memory is a valid new parser. */
struct eg_sse_parser
{
  struct eg_buffer pending; /**< Bytes of an incomplete event. */
};

/** Frees the memory of the parser. */
void eg_sse_parser_finish (struct eg_sse_parser *self);

/**
 * Parses @p bytes and calls @p on_event for each complete event. Events with
 * neither data nor a name, such as comments, are ignored.
 * @return false if an event exceeds EG_SSE_EVENT_MAX.
 */
bool eg_sse_parser_feed (struct eg_sse_parser *self,
                         struct eg_str bytes,
                         void (*on_event) (void *context,
                                           const struct eg_sse_event *event),
                         void *context);

EG_END_DECLS

#endif
