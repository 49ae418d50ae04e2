/**
 * @file
 * Writes heads and chunks of HTTP/1.1 answers.
 */
#ifndef EG_NET_RESPONSE_WRITER_H
#define EG_NET_RESPONSE_WRITER_H

#include "base/buffer.h"

/** Returns the reason phrase of @p status. */
const char *eg_response_reason (unsigned status);

/** Appends the status line. */
void eg_response_begin (struct eg_buffer *out, unsigned status);

/** Appends one field. */
void eg_response_field (struct eg_buffer *out,
                        struct eg_str name,
                        struct eg_str value);

/** Appends one chunk of a chunked body; nothing for no bytes. */
void eg_response_chunk (struct eg_buffer *out, struct eg_str bytes);

/** Appends the last chunk. */
void eg_response_last_chunk (struct eg_buffer *out);

#endif
