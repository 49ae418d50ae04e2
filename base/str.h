/**
 * @file
 * Length-counted strings: a view that owns nothing.
 */
#ifndef EG_BASE_STR_H
#define EG_BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** A view of @c len bytes; not necessarily followed by a zero byte. */
struct eg_str
{
  const char *data;
  size_t len;
};

/** Builds a view of a string literal. */
#define EG_STR(literal) ((struct eg_str){(literal), sizeof (literal) - 1})

/** Expands to the two arguments that the "%.*s" conversion takes. */
#define EG_STR_ARGS(s) (int) (s).len, (s).data

/** Returns a view of the zero-terminated @p text; NULL gives an empty view. */
struct eg_str eg_str_from (const char *text);

/** Tells whether both views hold the same bytes. */
bool eg_str_equal (struct eg_str a, struct eg_str b);

/** Tells whether @p s starts with @p prefix. */
bool eg_str_starts_with (struct eg_str s, struct eg_str prefix);

/** Returns @p s without white space at either end. */
struct eg_str eg_str_trim (struct eg_str s);

/**
 * Cuts @p s at the first @p separator.
 * @param[in,out] s becomes what follows the separator, or empty.
 * @return what stands before the separator, or all of @p s.
 */
struct eg_str eg_str_cut (struct eg_str *s, char separator);

/** Reads a decimal integer that fills the whole view. */
bool eg_str_to_int64 (struct eg_str s, int64_t *value);

/**
 * Copies @p s into @p target and ends it with a zero byte.
 * @return false if it had to be cut to fit @p capacity.
 */
bool eg_str_copy (struct eg_str s, char *target, size_t capacity);

EG_END_DECLS

#endif
