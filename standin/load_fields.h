/**
 * @file
 * Strict reading of JSON objects by tables of fields.
 */
#ifndef EG_STANDIN_LOAD_FIELDS_H
#define EG_STANDIN_LOAD_FIELDS_H

#include <jansson.h>
#include <stddef.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** What a field holds and how the target keeps it. */
enum eg_load_field_kind
{
  EG_LOAD_FIELD_INTEGER, /**< int64_t */
  EG_LOAD_FIELD_NUMBER,  /**< double */
  EG_LOAD_FIELD_BOOLEAN, /**< bool */
  EG_LOAD_FIELD_TIME_MS, /**< int64_t in microseconds; milliseconds in JSON */
  EG_LOAD_FIELD_TEXT,    /**< char array of @c max bytes */
  EG_LOAD_FIELD_ADDRESS, /**< char array of @c max bytes, holding IP:PORT */
  EG_LOAD_FIELD_NESTED,  /**< read by the field's own function */
};

/**
 * Reads one nested value.
 * @param value what stands at @p path.
 * @param target the structure that the whole table describes.
 */
typedef enum eg_status (*eg_load_field_reader) (json_t *value,
                                                const char *path,
                                                void *target,
                                                struct eg_error *error);

/** One key of an object. */
struct eg_load_field
{
  const char *key;
  enum eg_load_field_kind kind;
  bool required;
  size_t offset;
  double min; /**< Least number, or least bytes of text. */
  double max; /**< Greatest number, or bytes of the array that takes a text. */
  eg_load_field_reader read; /**< For nested fields alone. */
};

/** The keys of an object. */
struct eg_load_fields
{
  const struct eg_load_field *fields;
  size_t count;
};

/** Longest path to a value in messages. */
#define EG_LOAD_PATH_BYTES 128

/**
 * Reads @p object into @p target; absent optional keys leave it as it is.
 * @param path where the object stands, for messages; empty for the top.
 * @return EG_INVALID, naming the key, for an unknown or missing key, a wrong
 *   type or a value out of range.
 */
enum eg_status eg_load_fields_read (const struct eg_load_fields *table,
                                    json_t *object,
                                    const char *path,
                                    void *target,
                                    struct eg_error *error);

/** Writes the path of element @p index of the array at @p path. */
void eg_load_fields_element_path (const char *path,
                                  size_t index,
                                  char element[EG_LOAD_PATH_BYTES]);

EG_END_DECLS

#endif
