#include "base/settings.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"
#include "base/toml_document.h"

static const char *const type_names[] = {
    [EG_SETTING_INTEGER] = "integer",  [EG_SETTING_BOOLEAN] = "boolean",
    [EG_SETTING_TEXT] = "text",        [EG_SETTING_SECRET] = "secret text",
    [EG_SETTING_NUMBER] = "number",    [EG_SETTING_ADDRESS] = "address",
    [EG_SETTING_THOUSANDS] = "number",
};

/* Kinds of values; a number may also be given without a fraction. */
static const enum eg_toml_kind toml_kinds[] = {
    [EG_SETTING_INTEGER] = EG_TOML_NUMBER,
    [EG_SETTING_BOOLEAN] = EG_TOML_BOOLEAN,
    [EG_SETTING_NUMBER] = EG_TOML_NUMBER,
    [EG_SETTING_THOUSANDS] = EG_TOML_NUMBER,
    [EG_SETTING_TEXT] = EG_TOML_STRING,
    [EG_SETTING_SECRET] = EG_TOML_STRING,
    [EG_SETTING_ADDRESS] = EG_TOML_STRING,
};

static void *
field_of (const struct eg_setting *setting, const void *target)
{
  return (char *) target + setting->offset;
}

bool
eg_settings_is_address (const char *text)
{
  struct eg_str rest = eg_str_from (text);
  struct eg_str ip = eg_str_cut (&rest, ':');
  char ip_text[INET_ADDRSTRLEN];
  struct in_addr parsed;
  int64_t port;

  return eg_str_copy (ip, ip_text, sizeof ip_text)
         && inet_pton (AF_INET, ip_text, &parsed) == 1
         && eg_str_to_int64 (rest, &port) && port >= 1 && port <= 65535;
}

static void
describe_value (const struct eg_setting *setting, char *text, size_t capacity)
{
  switch (setting->type)
    {
    case EG_SETTING_INTEGER:
      snprintf (text, capacity,
                "an integer from %" PRId64 " to %" PRId64 "%s%s", setting->min,
                setting->max, *setting->unit ? " " : "", setting->unit);
      return;
    case EG_SETTING_BOOLEAN:
      snprintf (text, capacity, "true or false");
      return;
    case EG_SETTING_THOUSANDS:
      snprintf (text, capacity, "a number from %g to %g %s",
                (double) setting->min / 1000, (double) setting->max / 1000,
                setting->unit);
      return;
    case EG_SETTING_NUMBER:
      snprintf (text, capacity, "a number from %" PRId64 " to %" PRId64 "%s%s",
                setting->min, setting->max, *setting->unit ? " " : "",
                setting->unit);
      return;
    case EG_SETTING_TEXT:
    case EG_SETTING_SECRET:
      snprintf (text, capacity, "text of %" PRId64 " to %" PRId64 " bytes",
                setting->min, setting->max - 1);
      return;
    case EG_SETTING_ADDRESS:
      snprintf (text, capacity, "an address such as \"127.0.0.1:8080\"");
      return;
    }
}

/* Rounds down, apart from what decimal fractions lose in binary. */
static int64_t
thousandths (double number)
{
  return (int64_t) floor (number * 1000 + 1e-6);
}

/* Not a number is out of each range. */
static bool
is_in_range (const struct eg_setting *setting, double number)
{
  return number >= (double) setting->min && number <= (double) setting->max;
}

static bool
store (const struct eg_setting *setting,
       void *target,
       const char *text,
       int64_t integer,
       double number)
{
  size_t len = strlen (text);

  switch (setting->type)
    {
    case EG_SETTING_INTEGER:
      if (integer < setting->min || integer > setting->max)
        return false;
      memcpy (field_of (setting, target), &integer, sizeof integer);
      return true;
    case EG_SETTING_THOUSANDS:
      if (!is_in_range (setting, number * 1000))
        return false;
      integer = thousandths (number);
      memcpy (field_of (setting, target), &integer, sizeof integer);
      return true;
    case EG_SETTING_BOOLEAN:
      *(bool *) field_of (setting, target) = integer != 0;
      return true;
    case EG_SETTING_NUMBER:
      if (!is_in_range (setting, number))
        return false;
      memcpy (field_of (setting, target), &number, sizeof number);
      return true;
    case EG_SETTING_TEXT:
    case EG_SETTING_SECRET:
      if ((int64_t) len < setting->min || (int64_t) len >= setting->max)
        return false;
      memcpy (field_of (setting, target), text, len + 1);
      return true;
    case EG_SETTING_ADDRESS:
      if ((int64_t) len >= setting->max || !eg_settings_is_address (text))
        return false;
      memcpy (field_of (setting, target), text, len + 1);
      return true;
    }
  return false;
}

static void
store_default (const struct eg_setting *setting, void *target)
{
  int64_t integer = 0;
  bool stored;

  if (setting->type == EG_SETTING_BOOLEAN)
    integer = strcmp (setting->default_text, "true") == 0;
  else if (setting->type == EG_SETTING_INTEGER)
    eg_str_to_int64 (eg_str_from (setting->default_text), &integer);
  if (!*setting->default_text)
    {
      *(char *) field_of (setting, target) = '\0';
      return;
    }
  stored = store (setting, target, setting->default_text, integer,
                  strtod (setting->default_text, NULL));
  EG_INVARIANT (stored);
}

static const struct eg_setting *
find_setting (const struct eg_setting_table *table, const char *key)
{
  for (size_t i = 0; i < table->count; i++)
    if (strcmp (table->settings[i].key, key) == 0)
      return &table->settings[i];
  return NULL;
}

/* Returns the other key of the same field; NULL if there is none. */
static const struct eg_setting *
find_alternative (const struct eg_setting_table *table,
                  const struct eg_setting *setting)
{
  for (size_t i = 0; i < table->count; i++)
    if (&table->settings[i] != setting
        && table->settings[i].offset == setting->offset)
      return &table->settings[i];
  return NULL;
}

/* Rejects a number in milliseconds that is written with a fraction if the field
 * has a key in seconds. Former templates appended "000" to seconds, so that
 * 7.5 s became 7.5000 ms. */
static enum eg_status
check_fraction (const struct eg_setting_table *table,
                const struct eg_setting *setting,
                const struct eg_toml_entry *entry,
                const char *path,
                struct eg_error *error)
{
  const struct eg_setting *seconds = find_alternative (table, setting);

  if (setting->type != EG_SETTING_INTEGER || entry->kind != EG_TOML_NUMBER
      || strcmp (setting->unit, "ms") != 0 || !seconds)
    return EG_OK;
  return eg_error_set (error, EG_INVALID,
                       "%s:%u: %s: expected an integer, found %g; %s takes "
                       "seconds with a fraction",
                       path, entry->line, entry->key, entry->number,
                       seconds->key);
}

static enum eg_status
apply_entry (const struct eg_setting_table *table,
             const struct eg_toml_entry *entry,
             const char *path,
             void *target,
             struct eg_error *error)
{
  const struct eg_setting *setting = find_setting (table, entry->key);
  double number = entry->number;
  char expected[128];
  bool stored;

  if (!setting)
    return eg_error_set (error, EG_INVALID,
                         "%s:%u: %s: unknown key; --help lists the keys", path,
                         entry->line, entry->key);
  describe_value (setting, expected, sizeof expected);
  if (toml_kinds[setting->type] == EG_TOML_NUMBER
      && entry->kind == EG_TOML_INTEGER)
    number = (double) entry->integer;
  else if (entry->kind != toml_kinds[setting->type])
    return eg_error_set (error, EG_INVALID, "%s:%u: %s: expected %s", path,
                         entry->line, entry->key, expected);
  if (check_fraction (table, setting, entry, path, error) != EG_OK)
    return EG_INVALID;
  if (setting->type == EG_SETTING_INTEGER && entry->kind == EG_TOML_NUMBER)
    stored = is_in_range (setting, floor (number))
             && store (setting, target, entry->text, (int64_t) floor (number),
                       number);
  else
    stored = store (setting, target, entry->text, entry->integer, number);
  if (stored)
    return EG_OK;
  if (setting->type == EG_SETTING_SECRET)
    return eg_error_set (error, EG_INVALID, "%s:%u: %s: expected %s", path,
                         entry->line, entry->key, expected);
  if (entry->kind == EG_TOML_INTEGER)
    return eg_error_set (error, EG_INVALID,
                         "%s:%u: %s: expected %s, found %" PRId64, path,
                         entry->line, entry->key, expected, entry->integer);
  if (entry->kind == EG_TOML_NUMBER)
    return eg_error_set (error, EG_INVALID, "%s:%u: %s: expected %s, found %g",
                         path, entry->line, entry->key, expected,
                         entry->number);
  return eg_error_set (error, EG_INVALID,
                       "%s:%u: %s: expected %s, found \"%s\"", path,
                       entry->line, entry->key, expected, entry->text);
}

static bool
document_has (const struct eg_toml_document *document, const char *key)
{
  for (size_t i = 0; i < document->count; i++)
    if (strcmp (document->entries[i].key, key) == 0)
      return true;
  return false;
}

/* Stores the default of a key that is not in the file, or requires that the
 * file has exactly one of a field's keys. */
static enum eg_status
prepare_field (const struct eg_setting_table *table,
               const struct eg_setting *setting,
               const struct eg_toml_document *document,
               const char *path,
               void *target,
               struct eg_error *error)
{
  const struct eg_setting *other = find_alternative (table, setting);
  bool given = document_has (document, setting->key);

  if (setting->default_text)
    store_default (setting, target);
  if (other && given && document_has (document, other->key))
    return eg_error_set (error, EG_INVALID, "%s:1: %s: given beside %s", path,
                         setting->key, other->key);
  if (given || setting->default_text || (other && other->default_text)
      || (other && document_has (document, other->key)))
    return EG_OK;
  return eg_error_set (error, EG_INVALID, "%s:1: %s: must be given", path,
                       setting->key);
}

enum eg_status
eg_settings_load (const struct eg_setting_table *table,
                  const char *path,
                  void *target,
                  struct eg_error *error)
{
  struct eg_toml_document document;
  enum eg_status status = eg_toml_document_init (&document, path, error);

  if (status != EG_OK)
    goto out;
  for (size_t i = 0; i < table->count && status == EG_OK; i++)
    status = prepare_field (table, &table->settings[i], &document, path, target,
                            error);
  for (size_t i = 0; i < document.count && status == EG_OK; i++)
    status = apply_entry (table, &document.entries[i], path, target, error);
out:
  eg_toml_document_finish (&document);
  return status;
}

static void
print_quoted (const char *text, FILE *stream)
{
  fputc ('"', stream);
  for (; *text; text++)
    {
      if (*text == '"' || *text == '\\')
        fputc ('\\', stream);
      fputc (*text, stream);
    }
  fputc ('"', stream);
}

void
eg_settings_print (const struct eg_setting_table *table,
                   const void *source,
                   FILE *stream)
{
  for (size_t i = 0; i < table->count; i++)
    {
      const struct eg_setting *setting = &table->settings[i];
      const void *field = field_of (setting, source);

      if (setting->type == EG_SETTING_THOUSANDS)
        continue;
      fprintf (stream, "%s = ", setting->key);
      if (setting->type == EG_SETTING_INTEGER)
        fprintf (stream, "%" PRId64, *(const int64_t *) field);
      else if (setting->type == EG_SETTING_BOOLEAN)
        fputs (*(const bool *) field ? "true" : "false", stream);
      else if (setting->type == EG_SETTING_NUMBER)
        fprintf (stream, "%g", *(const double *) field);
      else if (setting->type == EG_SETTING_SECRET && *(const char *) field)
        fputs ("\"\" # given, and not shown", stream);
      else
        print_quoted (field, stream);
      fputc ('\n', stream);
    }
}

void
eg_settings_print_reference (const struct eg_setting_table *table, FILE *stream)
{
  for (size_t i = 0; i < table->count; i++)
    {
      const struct eg_setting *setting = &table->settings[i];
      char expected[128];

      describe_value (setting, expected, sizeof expected);
      fprintf (stream, "  %s (%s)\n      %s. Takes %s; ", setting->key,
               type_names[setting->type], setting->help, expected);
      if (setting->type == EG_SETTING_THOUSANDS)
        fprintf (stream, "in place of %s.\n",
                 find_alternative (table, setting)->key);
      else if (find_alternative (table, setting))
        fprintf (stream, "or give %s.\n",
                 find_alternative (table, setting)->key);
      else if (!setting->default_text)
        fputs ("must be given.\n", stream);
      else if (!*setting->default_text)
        fputs ("empty by default.\n", stream);
      else
        fprintf (stream, "default %s.\n", setting->default_text);
    }
}
