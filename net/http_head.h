/**
 * @file
 * The head of an HTTP/1.1 message: start line and header fields.
 */
#ifndef EG_NET_HTTP_HEAD_H
#define EG_NET_HTTP_HEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

/** Maximum number of header fields of a message. */
#define EG_HTTP_FIELDS_MAX 96

/** Offsets and lengths of a header field in eg_http_head.text. */
struct eg_http_field
{
  uint32_t name_at;
  uint32_t name_len;
  uint32_t value_at;
  uint32_t value_len;
};

/** A parsed head, allocated by the caller. */
struct eg_http_head
{
  struct eg_buffer text; /**< Request target, field names and values. */
  struct eg_http_field fields[EG_HTTP_FIELDS_MAX];
  size_t field_count;
  size_t target_len;      /**< The target is at the start of the text. */
  const char *method;     /**< Of a request. */
  unsigned status;        /**< Of a response. */
  unsigned minor_version; /**< Minor version of HTTP/1.x: 0 or 1. */
  bool keep_alive;        /**< Whether the connection stays open afterwards. */
  bool has_body;          /**< Of a request: non-zero length, or chunked. */
};

/** Initialises an empty head. */
void eg_http_head_init (struct eg_http_head *self);

/** Frees the memory of the head. */
void eg_http_head_finish (struct eg_http_head *self);

/** Empties the head and keeps the allocated memory. */
void eg_http_head_clear (struct eg_http_head *self);

struct eg_str eg_http_head_target (const struct eg_http_head *self);

/** Returns the name of field @p index. */
struct eg_str eg_http_head_name (const struct eg_http_head *self, size_t index);

/** Returns the value of field @p index, without surrounding white space. */
struct eg_str eg_http_head_value (const struct eg_http_head *self,
                                  size_t index);

/**
 * Finds the first field with the given name, ignoring case.
 * @return its value, or a view with NULL data if there is none.
 */
struct eg_str eg_http_head_find (const struct eg_http_head *self,
                                 const char *name);

/** Returns the number of fields with the given name, ignoring case. */
size_t eg_http_head_count (const struct eg_http_head *self, const char *name);

/** Returns whether two field names are equal, ignoring ASCII case. */
bool eg_http_same_name (struct eg_str a, const char *b);

/** Returns whether proxies must not forward a field (RFC 9110, 7.6.1). */
bool eg_http_is_hop_by_hop (struct eg_str name);

/** Returns whether the Connection field lists @p name as an option. */
bool eg_http_head_is_connection_option (const struct eg_http_head *self,
                                        struct eg_str name);

#endif
