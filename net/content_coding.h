/**
 * @file
 * Compression of message bodies by the content coding "zstd" (RFC 8878).
 */
#ifndef EG_NET_CONTENT_CODING_H
#define EG_NET_CONTENT_CODING_H

#include "net/http_head.h"

/** Name of the coding in header fields. */
#define EG_CONTENT_CODING "zstd"

/** Returns whether the sender of a request accepts the coding in answers. */
bool eg_content_coding_is_accepted (const struct eg_http_head *head);

/** Returns whether the body of a response is coded. */
bool eg_content_coding_is_used (const struct eg_http_head *head);

/**
 * Appends the coded form of @p text. Several of them, one after another, are
 * the coded form of their texts together.
 */
void eg_content_encode (struct eg_str text, struct eg_buffer *coded);

/**
 * Appends the text of a coded body.
 * @param text_max longest content of @p text, in bytes.
 * @return false if the body is malformed, or its text longer; some of it may
 *         have been appended.
 */
bool eg_content_decode (struct eg_str coded,
                        size_t text_max,
                        struct eg_buffer *text);

#endif
