/**
 * @file
 * Helpers for jansson: strict parsing of object members, and writing of
 * strings.
 */
#ifndef EG_HTTP_JSON_H
#define EG_HTTP_JSON_H

#include <jansson.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** Types of members, with the type of their target. */
enum eg_json_kind
{
  EG_JSON_TEXT,    /**< char[capacity]; string without zero bytes. */
  EG_JSON_VIEW,    /**< struct eg_str that points into the document. */
  EG_JSON_INTEGER, /**< int64_t, not negative. */
  EG_JSON_BOOLEAN, /**< bool. */
  EG_JSON_ARRAY,   /**< json_t *, borrowed from the document. */
};

/** A required or optional member of an object. */
struct eg_json_member
{
  const char *name;
  enum eg_json_kind kind;
  bool required;
  void *target;
  size_t capacity; /**< Size of an EG_JSON_TEXT target in bytes, else 0. */
};

/** Parses @p text; on failure returns NULL, and @p error has the location. */
json_t *eg_json_parse (struct eg_str text, struct eg_error *error);

/**
 * Parses @p text without the members and elements that cannot be decoded.
 * @param levels nesting depth down to which a container may lose some of its
 *               content; below it, a container is decoded whole or not at all.
 * @param dropped is increased by the number of values left out.
 * @return NULL if nothing can be decoded or the structure is invalid.
 */
json_t *
eg_json_parse_decodable (struct eg_str text, unsigned levels, size_t *dropped);

/**
 * Parses @p text, at any depth with substitutes for the values that cannot be
 * decoded: for a number the nearest finite real, for anything else a string of
 * one zero byte, which no reader takes for a value.
 * @param replaced is increased by the number of such values, and of members
 *                 left out because their keys cannot be decoded.
 * @return NULL if the structure is invalid.
 */
json_t *eg_json_parse_replacing (struct eg_str text, size_t *replaced);

/**
 * Reads the members of @p object into their targets; any other member is an
 * error.
 * @return EG_OK, or EG_INVALID with a message that names the member.
 */
enum eg_status eg_json_read (json_t *object,
                             const struct eg_json_member *members,
                             size_t count,
                             struct eg_error *error);

/**
 * Appends a member with a string value, preceded by a comma unless it is the
 * first member of its object.
 */
void eg_json_append_member (struct eg_buffer *buffer,
                            const char *name,
                            const char *text);

/**
 * Appends @p text as a JSON string. If it isn't valid UTF-8, all non-ASCII
 * bytes are replaced by '?'.
 */
void eg_json_append_string (struct eg_buffer *buffer, struct eg_str text);

EG_END_DECLS

#endif
