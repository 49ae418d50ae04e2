/**
 * @file
 * Reads a TOML file into a flat list of dotted keys. Hides the TOML library
 * from the rest of the code.
 */
#ifndef EG_BASE_TOML_DOCUMENT_H
#define EG_BASE_TOML_DOCUMENT_H

#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** Value types that settings use. */
enum eg_toml_kind
{
  EG_TOML_STRING,
  EG_TOML_INTEGER,
  EG_TOML_BOOLEAN,
  EG_TOML_NUMBER,
  EG_TOML_OTHER,
};

/** One value and its dotted key. */
struct eg_toml_entry
{
  char *key;
  enum eg_toml_kind kind;
  char *text;      /**< String value; "" for other kinds. */
  int64_t integer; /**< Integer value; 0 or 1 for a boolean. */
  double number;
  unsigned line;
};

/** All values of a file, in unspecified order. */
struct eg_toml_document
{
  struct eg_toml_entry *entries;
  size_t count;
};

/**
 * Parses the file at @p path.
 * @return EG_OK; EG_NOT_FOUND or EG_INVALID with a message that names the file,
 *         line and cause.
 */
enum eg_status eg_toml_document_init (struct eg_toml_document *self,
                                      const char *path,
                                      struct eg_error *error);

/** Frees all entries. */
void eg_toml_document_finish (struct eg_toml_document *self);

EG_END_DECLS

#endif
