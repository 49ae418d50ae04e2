/**
 * @file
 * Syslog-style lines on standard error, one for each event.
 *
 * A line reads `<PRI>1 TIME PROGRAM[PID] MODULE: event=NAME key=value ...`.
 */
#ifndef EG_BASE_LOG_H
#define EG_BASE_LOG_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Severities, numbered as syslog numbers them. */
enum eg_log_level
{
  EG_LOG_ERROR = 3,
  EG_LOG_WARNING = 4,
  EG_LOG_NOTICE = 5,
  EG_LOG_INFO = 6,
  EG_LOG_DEBUG = 7,
};

/**
 * Names the program and the least severe level that is written.
 * Call it before the first thread starts.
 */
void eg_log_configure (const char *program, enum eg_log_level level);

/** Takes whole lines with their line feeds; must not block. */
struct eg_log_writer
{
  void (*write) (void *context, struct eg_str line);
  void *context;
};

/** Hands lines to @p writer from now on, in place of standard error. */
void eg_log_set_writer (const struct eg_log_writer *writer);

/** Finds the level called @p name ("error" ... "debug"); -1 if none is. */
int eg_log_level_from_name (const char *name);

/**
 * Writes one line.
 * @param module the module that speaks, such as "router".
 * @param format printf format that gives `event=NAME key=value ...`.
 */
void
eg_log (enum eg_log_level level, const char *module, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

EG_END_DECLS

#endif
