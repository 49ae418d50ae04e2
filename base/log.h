/**
 * @file
 * Logging of events in syslog format, to standard error by default.
 *
 * Line format: `<PRI>1 TIME PROGRAM[PID] MODULE: event=NAME key=value ...`.
 */
#ifndef EG_BASE_LOG_H
#define EG_BASE_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Syslog severities. */
enum eg_log_level
{
  EG_LOG_ERROR = 3,
  EG_LOG_WARNING = 4,
  EG_LOG_NOTICE = 5,
  EG_LOG_INFO = 6,
  EG_LOG_DEBUG = 7,
};

/**
 * Sets the program name and the least severe level that is logged.
 * Must be called before the first thread starts.
 */
void eg_log_configure (const char *program, enum eg_log_level level);

/** Receives complete lines, each with its line feed; must not block. */
struct eg_log_writer
{
  void (*write) (void *context, struct eg_str line);
  void *context;
};

/** Sends all further lines to @p writer instead of standard error. */
void eg_log_set_writer (const struct eg_log_writer *writer);

/** Returns the level named @p name ("error" to "debug"), or -1. */
int eg_log_level_from_name (const char *name);

/**
 * Logs one event; control characters are replaced by '?'.
 * @param module component that logs the event, such as "router".
 * @param format printf format of `event=NAME key=value ...`.
 */
void
eg_log (enum eg_log_level level, const char *module, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * Occurrences of an event of which each line would be one too many;
 * zero-initialised memory is valid.
 */
struct eg_log_rate
{
  int64_t logged_us;
  uint64_t count; /**< Occurrences so far. */
};

/**
 * Counts an occurrence.
 * @return whether it is to be logged: the first one, then one in ten seconds.
 */
bool eg_log_rate_admits (struct eg_log_rate *self, int64_t now_us);

/**
 * Logs, at a limited rate, that input was left out because a fixed capacity is
 * exhausted.
 * @param capacity its name in docs/design/platform.md.
 */
void eg_log_capacity (struct eg_log_rate *rate,
                      const char *module,
                      const char *capacity,
                      size_t limit);

EG_END_DECLS

#endif
