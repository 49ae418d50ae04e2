/**
 * @file
 * Settings files, described by a table of keys with type, unit, range and
 * default value.
 */
#ifndef EG_BASE_SETTINGS_H
#define EG_BASE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** Value types, with the type of the field in the settings struct. */
enum eg_setting_type
{
  /** int64_t, between min and max. A fraction is rounded down: such values are
   *  bounds, which then hold. A key in ms whose field has a key in seconds
   *  accepts no fraction. */
  EG_SETTING_INTEGER,
  EG_SETTING_BOOLEAN, /**< bool. */
  EG_SETTING_NUMBER,  /**< double, between min and max. */
  /** int64_t of thousandths between min and max, given as a number of whole
   *  units. Another way to give the EG_SETTING_INTEGER with the same field, in
   *  seconds instead of milliseconds. Not printed; the default is NULL. */
  EG_SETTING_THOUSANDS,
  EG_SETTING_TEXT,    /**< char[max], at least min bytes long. */
  EG_SETTING_SECRET,  /**< As TEXT, but never printed. */
  EG_SETTING_ADDRESS, /**< char[max]: IPv4 address and port, `1.2.3.4:80`. */
};

/** Description of one key. */
struct eg_setting
{
  const char *key; /**< Dotted key, such as `listen.callers`. */
  enum eg_setting_type type;
  const char *unit; /**< Such as "ms"; "" for none. */
  int64_t min;
  int64_t max; /**< Largest value, or size of a text field in bytes. */
  const char *default_text; /**< NULL if the key is required. */
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
 * Fills the settings struct @p target from the TOML file at @p path; keys that
 * are not in the file get their defaults.
 * @return EG_OK; otherwise the message names the file, line, key and expected
 *         value.
 */
enum eg_status eg_settings_load (const struct eg_setting_table *table,
                                 const char *path,
                                 void *target,
                                 struct eg_error *error);

/** Writes the values of the settings struct @p source as TOML. */
void eg_settings_print (const struct eg_setting_table *table,
                        const void *source,
                        FILE *stream);

/** Writes a reference of all keys: type, unit, range, default and help. */
void eg_settings_print_reference (const struct eg_setting_table *table,
                                  FILE *stream);

/** Returns whether @p text is an IPv4 address and port, `1.2.3.4:80`. */
bool eg_settings_is_address (const char *text);

EG_END_DECLS

#endif
