/**
 * @file
 * Writes the head and chunks of HTTP/1.1 responses.
 */
#ifndef EG_NET_RESPONSE_WRITER_H
#define EG_NET_RESPONSE_WRITER_H

#include "base/buffer.h"

/** Returns the reason phrase for @p status. */
const char *eg_response_reason (unsigned status);

/** Appends the status line. */
void eg_response_begin (struct eg_buffer *out, unsigned status);

/** Appends a header field. */
void eg_response_field (struct eg_buffer *out,
                        struct eg_str name,
                        struct eg_str value);

/** Appends a chunk of a chunked body; nothing if @p bytes is empty. */
void eg_response_chunk (struct eg_buffer *out, struct eg_str bytes);

/** Appends the chunk that ends a chunked body. */
void eg_response_last_chunk (struct eg_buffer *out);

#endif
