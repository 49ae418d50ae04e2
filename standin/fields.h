/**
 * @file
 * Strict reading of JSON objects: one table of fields, nothing guessed.
 */
#ifndef EG_STANDIN_FIELDS_H
#define EG_STANDIN_FIELDS_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** What a field takes, and what its member in the target struct is. */
enum eg_field_type
{
  EG_FIELD_INTEGER, /**< int64_t, between min and max. */
  EG_FIELD_NUMBER,  /**< double, between min and max. */
  EG_FIELD_BOOLEAN, /**< bool. */
  EG_FIELD_STRING,  /**< const char *, borrowed; min to max bytes long. */
  EG_FIELD_ADDRESS, /**< const char *, borrowed: an IP number and port. */
  EG_FIELD_LAYERS,  /**< struct eg_layers, from [first, last]. */
  EG_FIELD_ARRAY,   /**< json_t *, borrowed. */
  EG_FIELD_OBJECT,  /**< json_t *, borrowed. */
};

/** A range of model layers, counted from 1; both ends belong to it. */
struct eg_layers
{
  int64_t first;
  int64_t last;
};

/** One field of an object. An absent optional field keeps its old value. */
struct eg_field
{
  const char *name;
  enum eg_field_type type;
  bool required;
  int64_t min;
  int64_t max;
  size_t offset;
};

/** Largest value of a field without a bound of its own. */
#define EG_FIELD_INTEGER_MAX INT64_C (1000000000000000)

/** Most bytes of a short text, such as a name. */
#define EG_FIELD_NAME_MAX 256

/** Most bytes of a long text, such as a prompt. */
#define EG_FIELD_LONG_STRING_MAX (INT64_C (8) << 20)

/**
 * Reads @p object into @p target.
 * @param where names the object in messages, such as "engines[0]".
 * @return EG_OK, or EG_INVALID with the field and what was expected.
 */
enum eg_status eg_fields_read (const struct eg_field *fields,
                               size_t count,
                               const json_t *object,
                               void *target,
                               const char *where,
                               struct eg_error *error);

/** Reads an array of texts, each up to @p max bytes, without keeping any. */
enum eg_status eg_fields_check_strings (const json_t *array,
                                        int64_t max,
                                        const char *where,
                                        struct eg_error *error);

EG_END_DECLS

#endif
