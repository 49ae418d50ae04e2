/**
 * @file
 * String views: pointer and length, without ownership.
 */
#ifndef EG_BASE_STR_H
#define EG_BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** A view of @c len bytes; not necessarily zero-terminated. */
struct eg_str
{
  const char *data;
  size_t len;
};

/** Returns a view of a string literal. */
#define EG_STR(literal) ((struct eg_str){(literal), sizeof (literal) - 1})

/** Expands to the length and pointer arguments of a "%.*s" conversion. */
#define EG_STR_ARGS(s) (int) (s).len, (s).data

/** Longest part of a name without a maximum length that log lines show. */
#define EG_STR_START_BYTES 64

/** Like EG_STR_ARGS(), but for the first EG_STR_START_BYTES bytes only. */
#define EG_STR_START_ARGS(s)                                                   \
  (int) ((s).len < EG_STR_START_BYTES ? (s).len : EG_STR_START_BYTES), (s).data

/** Returns a view of a zero-terminated string; empty if @p text is NULL. */
struct eg_str eg_str_from (const char *text);

/** Returns whether both views have the same content. */
bool eg_str_equal (struct eg_str a, struct eg_str b);

bool eg_str_starts_with (struct eg_str s, struct eg_str prefix);

/** Returns @p s without leading and trailing white space. */
struct eg_str eg_str_trim (struct eg_str s);

/**
 * Splits @p s at the first @p separator.
 * @param[in,out] s set to the part after the separator; empty if there is none.
 * @return the part before the separator; all of @p s if there is none.
 */
struct eg_str eg_str_cut (struct eg_str *s, char separator);

/** Parses a decimal integer; false on overflow or any other character. */
bool eg_str_to_int64 (struct eg_str s, int64_t *value);

/**
 * Copies @p s into @p target as a zero-terminated string.
 * @return false if it was truncated to fit @p capacity bytes.
 */
bool eg_str_copy (struct eg_str s, char *target, size_t capacity);

EG_END_DECLS

#endif
