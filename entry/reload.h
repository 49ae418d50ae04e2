/**
 * @file
 * Takes changes of the settings file while the daemon runs.
 */
#ifndef EG_ENTRY_RELOAD_H
#define EG_ENTRY_RELOAD_H

#include <sys/stat.h>

#include "entry/settings.h"

/** The settings in force and the file that they come from. */
struct eg_reload
{
  struct eg_entry_settings *settings;
  const char *path;
  struct stat seen; /**< The file, when it was last read. */
  int64_t look_us;  /**< When to look at it next. */
};

/** Prepares for settings that were just loaded from @p path. */
void eg_reload_init (struct eg_reload *self,
                     struct eg_entry_settings *settings,
                     const char *path);

/**
 * Reads the file anew. What may change while the daemon runs is in force at
 * once; other keys, and a file with a mistake, are logged and left as they are.
 */
void eg_reload_now (struct eg_reload *self);

/** Reads the file if it has changed without a signal. */
void eg_reload_check (struct eg_reload *self, int64_t now_us);

/** What became of the settings that were read. */
struct eg_reload_outcome
{
  unsigned changed; /**< Keys with a new value in force. */
  unsigned kept;    /**< Keys whose new value needs a restart. */
};

/** Takes from @p read what may change while the daemon runs. */
struct eg_reload_outcome eg_reload_apply (struct eg_entry_settings *settings,
                                          const struct eg_entry_settings *read);

#endif
