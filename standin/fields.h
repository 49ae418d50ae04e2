/**
 * @file
 * Strict parsing of JSON objects by a table of fields, without conversions.
 */
#ifndef EG_STANDIN_FIELDS_H
#define EG_STANDIN_FIELDS_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** Type of a field, with the type of its member in the target struct. */
enum eg_field_type
{
  EG_FIELD_INTEGER, /**< int64_t, between min and max. */
  EG_FIELD_NUMBER,  /**< double, between min and max. */
  EG_FIELD_BOOLEAN, /**< bool. */
  EG_FIELD_STRING,  /**< const char *, borrowed; min to max bytes long. */
  EG_FIELD_ADDRESS, /**< const char *, borrowed: IP address and port. */
  EG_FIELD_LAYERS,  /**< struct eg_layers, from [first, last]. */
  EG_FIELD_ARRAY,   /**< json_t *, borrowed. */
  EG_FIELD_OBJECT,  /**< json_t *, borrowed. */
};

/** An inclusive range of model layers, numbered from 1. */
struct eg_layers
{
  int64_t first;
  int64_t last;
};

/** One field of an object; an absent optional one leaves its member as is. */
struct eg_field
{
  const char *name;
  enum eg_field_type type;
  bool required;
  int64_t min;
  int64_t max;
  size_t offset;
};

/** Largest integer in a field that sets no lower maximum. */
#define EG_FIELD_INTEGER_MAX INT64_C (1000000000000000)

/** Largest length of a short string, such as a name, in bytes. */
#define EG_FIELD_NAME_MAX 256

/** Largest length of a long string, such as a prompt, in bytes. */
#define EG_FIELD_LONG_STRING_MAX (INT64_C (8) << 20)

/**
 * Parses @p object into @p target.
 * @param where name of the object in messages, such as "engines[0]".
 * @return EG_OK, or EG_INVALID with the field and the expected value.
 */
enum eg_status eg_fields_read (const struct eg_field *fields,
                               size_t count,
                               const json_t *object,
                               void *target,
                               const char *where,
                               struct eg_error *error);

/**
 * Checks that @p array has only strings, each of up to @p max bytes.
 * @return EG_OK, or EG_INVALID with the index at fault.
 */
enum eg_status eg_fields_check_strings (const json_t *array,
                                        int64_t max,
                                        const char *where,
                                        struct eg_error *error);

EG_END_DECLS

#endif
