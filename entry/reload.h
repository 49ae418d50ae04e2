/**
 * @file
 * Reloads the settings file while the daemon runs.
 */
#ifndef EG_ENTRY_RELOAD_H
#define EG_ENTRY_RELOAD_H

#include <sys/stat.h>

#include "entry/settings.h"

/** The active settings and their source file. */
struct eg_reload
{
  struct eg_entry_settings *settings;
  const char *path;
  struct stat last_stat; /**< File status at the last read. */
  int64_t next_check_us; /**< When to check the file next. */
};

/** Prepares to reload settings that were just read from @p path. */
void eg_reload_init (struct eg_reload *self,
                     struct eg_entry_settings *settings,
                     const char *path);

/**
 * Reads the file again. Settings that can change at run time take effect
 * immediately. Other changes, and an invalid file, are logged and ignored.
 */
void eg_reload_now (struct eg_reload *self);

/** Reloads the file if it was modified; a signal is not needed. */
void eg_reload_check (struct eg_reload *self, int64_t now_us);

/** Result of a reload. */
struct eg_reload_outcome
{
  unsigned changed; /**< Settings that took effect. */
  unsigned kept;    /**< Settings that need a restart. */
};

/** Applies the settings from @p loaded that can change at run time. */
struct eg_reload_outcome
eg_reload_apply (struct eg_entry_settings *settings,
                 const struct eg_entry_settings *loaded);

#endif
