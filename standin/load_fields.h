/**
 * @file
 * Strict, table-driven parser of JSON objects.
 */
#ifndef EG_STANDIN_LOAD_FIELDS_H
#define EG_STANDIN_LOAD_FIELDS_H

#include <jansson.h>
#include <stddef.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** Type of a field, and its representation in the output structure. */
enum eg_load_field_kind
{
  EG_LOAD_FIELD_INTEGER, /**< int64_t */
  EG_LOAD_FIELD_NUMBER,  /**< double */
  EG_LOAD_FIELD_BOOLEAN, /**< bool */
  EG_LOAD_FIELD_TIME_MS, /**< int64_t in microseconds; milliseconds in JSON */
  EG_LOAD_FIELD_STRING,  /**< char array of @c max bytes */
  EG_LOAD_FIELD_ADDRESS, /**< char array of @c max bytes for IP:PORT */
  EG_LOAD_FIELD_NESTED,  /**< parsed by the field's @c read function */
};

/**
 * Parses a nested value.
 * @param path path of @p value, for messages.
 * @param output the structure that the whole table describes.
 */
typedef enum eg_status (*eg_load_field_reader) (json_t *value,
                                                const char *path,
                                                void *output,
                                                struct eg_error *error);

/** A key of an object. */
struct eg_load_field
{
  const char *key;
  enum eg_load_field_kind kind;
  bool required;
  size_t offset;
  double min; /**< Minimum of a number, or of the length of a string. */
  double max; /**< Maximum of a number, or size of a string's array. */
  eg_load_field_reader read; /**< Of nested fields; else NULL. */
};

/** All keys that an object may have. */
struct eg_load_fields
{
  const struct eg_load_field *fields;
  size_t count;
};

/** Capacity for the path of a value in messages, with terminating zero. */
#define EG_LOAD_PATH_BYTES 128

/**
 * Parses @p object into @p output; members of absent optional keys are not
 * modified.
 * @param path path of the object, for messages; empty for the top level.
 * @return EG_INVALID, naming the key, for an unknown or missing key, a wrong
 *   type or a value out of range.
 */
enum eg_status eg_load_fields_read (const struct eg_load_fields *table,
                                    json_t *object,
                                    const char *path,
                                    void *output,
                                    struct eg_error *error);

/** Formats the path of element @p index of the array at @p path. */
void eg_load_fields_element_path (const char *path,
                                  size_t index,
                                  char element[EG_LOAD_PATH_BYTES]);

EG_END_DECLS

#endif
