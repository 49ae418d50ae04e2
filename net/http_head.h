/**
 * @file
 * The head of one HTTP/1.1 message: start line and header fields.
 */
#ifndef EG_NET_HTTP_HEAD_H
#define EG_NET_HTTP_HEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

/** Most header fields of one message. */
#define EG_HTTP_FIELDS_MAX 96

/** Where one header field lies in the text of its head. */
struct eg_http_field
{
  uint32_t name_at;
  uint32_t name_len;
  uint32_t value_at;
  uint32_t value_len;
};

/** A parsed head; memory of the caller. */
struct eg_http_head
{
  struct eg_buffer text; /**< Target, names and values, one after another. */
  struct eg_http_field fields[EG_HTTP_FIELDS_MAX];
  size_t field_count;
  size_t target_len; /**< The target lies at the start of the text. */
  const char *method;
  unsigned status;
  unsigned minor_version; /**< 0 or 1 of HTTP/1.x. */
  bool keep_alive;
  bool has_body; /**< Of a request: a length above 0 or chunks. */
};

/** Makes an empty head. */
void eg_http_head_init (struct eg_http_head *self);

/** Frees the text. */
void eg_http_head_finish (struct eg_http_head *self);

/** Empties the head and keeps its memory. */
void eg_http_head_clear (struct eg_http_head *self);

/** Returns the request target. */
struct eg_str eg_http_head_target (const struct eg_http_head *self);

/** Returns the name of field @p index. */
struct eg_str eg_http_head_name (const struct eg_http_head *self, size_t index);

/** Returns the value of field @p index, without space at either end. */
struct eg_str eg_http_head_value (const struct eg_http_head *self,
                                  size_t index);

/**
 * Finds a field by name, in any case.
 * @return its value, or a view whose data is NULL.
 */
struct eg_str eg_http_head_find (const struct eg_http_head *self,
                                 const char *name);

/** Counts the fields of that name. */
size_t eg_http_head_count (const struct eg_http_head *self, const char *name);

/** Compares without regard to ASCII case. */
bool eg_http_same_name (struct eg_str a, const char *b);

/** Tells whether a field concerns one connection alone (RFC 9110, 7.6.1). */
bool eg_http_is_hop_by_hop (struct eg_str name);

/** Tells whether field @p index is named in the Connection field. */
bool eg_http_head_is_connection_option (const struct eg_http_head *self,
                                        struct eg_str name);

#endif
