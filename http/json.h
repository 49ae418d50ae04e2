/**
 * @file
 * Small helpers over the JSON library: strict reading of members, writing of
 * strings.
 */
#ifndef EG_HTTP_JSON_H
#define EG_HTTP_JSON_H

#include <jansson.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** The kinds of member that eg_json_read() takes. */
enum eg_json_kind
{
  EG_JSON_TEXT,    /**< char[capacity]; the member is a string. */
  EG_JSON_VIEW,    /**< struct eg_str into the document. */
  EG_JSON_INTEGER, /**< int64_t, 0 or more. */
  EG_JSON_BOOLEAN, /**< bool. */
  EG_JSON_ARRAY,   /**< json_t *, borrowed from the document. */
};

/** One member that an object may or must have. */
struct eg_json_member
{
  const char *name;
  enum eg_json_kind kind;
  bool required;
  void *target;
  size_t capacity; /**< Of a text, in bytes. */
};

/** Parses @p text; NULL with a message that says where it is wrong. */
json_t *eg_json_parse (struct eg_str text, struct eg_error *error);

/**
 * Reads the members of @p object; one that is not listed is an error.
 * @return EG_OK, or EG_INVALID with a message that names the member.
 */
enum eg_status eg_json_read (json_t *object,
                             const struct eg_json_member *members,
                             size_t count,
                             struct eg_error *error);

/**
 * Appends the member @p name with a string for its value, after a comma unless
 * it is the first of its object.
 */
void eg_json_append_member (struct eg_buffer *buffer,
                            const char *name,
                            const char *text);

/** Appends @p text as a JSON string; bytes that are not UTF-8 become '?'. */
void eg_json_append_string (struct eg_buffer *buffer, struct eg_str text);

EG_END_DECLS

#endif
