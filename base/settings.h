/**
 * @file
 * Settings described by one table of keys with type, unit, range and default.
 */
#ifndef EG_BASE_SETTINGS_H
#define EG_BASE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** What a key takes, and what its field in the settings struct is. */
enum eg_setting_type
{
  EG_SETTING_INTEGER, /**< int64_t, between min and max. */
  EG_SETTING_BOOLEAN, /**< bool. */
  EG_SETTING_NUMBER,  /**< double, between min and max. */
  EG_SETTING_TEXT,    /**< char[max], at least min bytes long. */
  EG_SETTING_SECRET,  /**< As TEXT, and never shown. */
  EG_SETTING_ADDRESS, /**< char[max]: an IP number and port, `1.2.3.4:80`. */
};

/** One key. */
struct eg_setting
{
  const char *key; /**< Dotted, as in `listen.callers`. */
  enum eg_setting_type type;
  const char *unit; /**< Such as "ms"; "" where there is none. */
  int64_t min;
  int64_t max;              /**< Largest value, or bytes of a text field. */
  const char *default_text; /**< NULL for a key that must be given. */
  size_t offset;            /**< Of the field in the settings struct. */
  const char *help;
};

/** All keys of one program. */
struct eg_setting_table
{
  const struct eg_setting *settings;
  size_t count;
};

/**
 * Fills @p target with the defaults and the values of the file at @p path.
 * @return EG_OK; otherwise the message names file, line, key and what was
 *         expected.
 */
enum eg_status eg_settings_load (const struct eg_setting_table *table,
                                 const char *path,
                                 void *target,
                                 struct eg_error *error);

/** Writes the values in force as TOML. */
void eg_settings_print (const struct eg_setting_table *table,
                        const void *source,
                        FILE *stream);

/** Writes each key with its type, unit, range, default and meaning. */
void eg_settings_print_reference (const struct eg_setting_table *table,
                                  FILE *stream);

/** Tells whether @p text is an IPv4 number, a colon and a port. */
bool eg_settings_is_address (const char *text);

EG_END_DECLS

#endif
