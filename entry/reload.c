#include "entry/reload.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Interval between checks of the file; changes without a signal are rare. */
#define CHECK_INTERVAL_US (2 * EG_US_PER_S)

/* Prefixes of keys whose values were already used to set up other modules. */
static const char *const restart_prefixes[] = {"node.", "listen.", "store."};

/* Describes how the system was started; a later change is meaningless. */
static const char start_key[] = "node.first_start";

static bool
needs_restart (const char *key)
{
  for (size_t i = 0; i < sizeof restart_prefixes / sizeof restart_prefixes[0];
       i++)
    if (strncmp (key, restart_prefixes[i], strlen (restart_prefixes[i])) == 0)
      return true;
  return false;
}

static size_t
field_bytes (const struct eg_setting *row)
{
  switch (row->type)
    {
    case EG_SETTING_INTEGER:
    case EG_SETTING_THOUSANDS:
      return sizeof (int64_t);
    case EG_SETTING_BOOLEAN:
      return sizeof (bool);
    case EG_SETTING_NUMBER:
      return sizeof (double);
    default:
      return (size_t) row->max;
    }
}

static bool
is_equal (const struct eg_setting *row, const char *a, const char *b)
{
  bool is_text = row->type == EG_SETTING_TEXT || row->type == EG_SETTING_SECRET
                 || row->type == EG_SETTING_ADDRESS;

  return is_text ? strcmp (a, b) == 0 : memcmp (a, b, field_bytes (row)) == 0;
}

struct eg_reload_outcome
eg_reload_apply (struct eg_entry_settings *settings,
                 const struct eg_entry_settings *loaded)
{
  struct eg_reload_outcome outcome = {0, 0};

  for (size_t i = 0; i < eg_entry_setting_table.count; i++)
    {
      const struct eg_setting *row = &eg_entry_setting_table.settings[i];
      char *current = (char *) settings + row->offset;
      const char *updated = (const char *) loaded + row->offset;

      /* Its field is that of another row. */
      if (row->type == EG_SETTING_THOUSANDS)
        continue;
      if (is_equal (row, current, updated) || strcmp (row->key, start_key) == 0)
        continue;
      if (needs_restart (row->key))
        {
          outcome.kept++;
          eg_log (EG_LOG_WARNING, "reload",
                  "event=setting-kept key=%s cause=needs-restart", row->key);
          continue;
        }
      memcpy (current, updated, field_bytes (row));
      outcome.changed++;
      eg_log (EG_LOG_NOTICE, "reload", "event=setting-changed key=%s",
              row->key);
    }
  return outcome;
}

void
eg_reload_init (struct eg_reload *self,
                struct eg_entry_settings *settings,
                const char *path)
{
  memset (self, 0, sizeof *self);
  self->settings = settings;
  self->path = path;
  if (stat (path, &self->last_stat) != 0)
    eg_log (EG_LOG_WARNING, "reload", "event=file-not-seen file=%s", path);
}

void
eg_reload_now (struct eg_reload *self)
{
  struct eg_entry_settings loaded;
  struct eg_reload_outcome outcome;
  struct eg_error error;
  int level;

  if (stat (self->path, &self->last_stat) != 0)
    eg_log (EG_LOG_WARNING, "reload", "event=file-not-seen file=%s",
            self->path);
  if (eg_entry_settings_load (self->path, &loaded, &error) != EG_OK)
    {
      eg_log (EG_LOG_ERROR, "reload", "event=reload-refused cause=\"%s\"",
              error.message);
      return;
    }
  level = eg_log_level_from_name (loaded.log_level);
  if (level < 0)
    {
      eg_log (EG_LOG_ERROR, "reload",
              "event=reload-refused cause=\"%s: log.level: unknown level %s\"",
              self->path, loaded.log_level);
      return;
    }
  outcome = eg_reload_apply (self->settings, &loaded);
  eg_log_configure ("eelgrass-entry", (enum eg_log_level) level);
  eg_log (EG_LOG_NOTICE, "reload", "event=reloaded changed=%u kept=%u",
          outcome.changed, outcome.kept);
}

void
eg_reload_check (struct eg_reload *self, int64_t now_us)
{
  struct stat found;

  if (now_us < self->next_check_us)
    return;
  self->next_check_us = now_us + CHECK_INTERVAL_US;
  if (stat (self->path, &found) != 0
      || (found.st_mtim.tv_sec == self->last_stat.st_mtim.tv_sec
          && found.st_mtim.tv_nsec == self->last_stat.st_mtim.tv_nsec
          && found.st_size == self->last_stat.st_size
          && found.st_ino == self->last_stat.st_ino))
    return;
  eg_reload_now (self);
}
