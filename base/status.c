#include "base/status.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static const char *const status_names[] = {
    [EG_OK] = "ok",
    [EG_INVALID] = "invalid",
    [EG_NOT_FOUND] = "not-found",
    [EG_CONFLICT] = "conflict",
    [EG_FULL] = "full",
    [EG_UNAVAILABLE] = "unavailable",
    [EG_TIMEOUT] = "timeout",
    [EG_UNKNOWN] = "unknown",
    [EG_SYSTEM] = "system",
};

const char *
eg_status_name (enum eg_status status)
{
  return status_names[status];
}

enum eg_status
eg_error_set (struct eg_error *error,
              enum eg_status status,
              const char *format,
              ...)
{
  va_list args;

  if (!error)
    return status;
  error->status = status;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return status;
}

void
eg_invariant_failed (const char *expression, const char *file, int line)
{
  fprintf (stderr, "invariant violated: %s (%s:%d)\n", expression, file, line);
  abort ();
}
