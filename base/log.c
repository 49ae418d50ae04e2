#include "base/log.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

#define LINE_BYTES 2048
#define RATE_INTERVAL_US (10 * EG_US_PER_S)
#define FACILITY_DAEMON (3 << 3)

static const char *log_program = "eelgrasswood";
static enum eg_log_level log_level = EG_LOG_INFO;
static struct eg_log_writer log_writer;

static const struct
{
  const char *name;
  enum eg_log_level level;
} level_names[] = {
    {"error", EG_LOG_ERROR},   {"warning", EG_LOG_WARNING},
    {"notice", EG_LOG_NOTICE}, {"info", EG_LOG_INFO},
    {"debug", EG_LOG_DEBUG},
};

void
eg_log_configure (const char *program, enum eg_log_level level)
{
  log_program = program;
  log_level = level;
}

void
eg_log_set_writer (const struct eg_log_writer *writer)
{
  log_writer = *writer;
}

int
eg_log_level_from_name (const char *name)
{
  for (size_t i = 0; i < sizeof level_names / sizeof level_names[0]; i++)
    if (strcmp (level_names[i].name, name) == 0)
      return (int) level_names[i].level;
  return -1;
}

static size_t
write_prefix (char *line, enum eg_log_level level, const char *module)
{
  struct timespec now;
  struct tm utc;
  char timestamp[32];
  int len;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  len = snprintf (line, LINE_BYTES,
                  "<%d>1 %s.%03ldZ %s[%d] %s: ", FACILITY_DAEMON | (int) level,
                  timestamp, now.tv_nsec / 1000000, log_program,
                  (int) getpid (), module);
  return (size_t) len;
}

/* Prevents log injection: logged values may contain bytes from clients. */
static void
mask_control_bytes (char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if ((unsigned char) text[i] < ' ' || text[i] == 0x7f)
      text[i] = '?';
}

void
eg_log (enum eg_log_level level, const char *module, const char *format, ...)
{
  char line[LINE_BYTES];
  size_t len;
  va_list args;
  int written;

  if (level > log_level)
    return;
  len = write_prefix (line, level, module);
  va_start (args, format);
  written = vsnprintf (line + len, sizeof line - len - 1, format, args);
  va_end (args);
  if (written < 0)
    return;
  len += (size_t) written;
  if (len > sizeof line - 2)
    len = sizeof line - 2;
  mask_control_bytes (line, len);
  line[len++] = '\n';
  if (log_writer.write)
    {
      log_writer.write (log_writer.context, (struct eg_str){line, len});
      return;
    }
  /* A single write() per line keeps lines of different threads from mixing. */
  if (write (STDERR_FILENO, line, len) < 0)
    return;
}

bool
eg_log_rate_admits (struct eg_log_rate *self, int64_t now_us)
{
  if (self->count++ > 0 && now_us - self->logged_us < RATE_INTERVAL_US)
    return false;
  self->logged_us = now_us;
  return true;
}

void
eg_log_capacity (struct eg_log_rate *rate,
                 const char *module,
                 const char *capacity,
                 size_t limit)
{
  if (eg_log_rate_admits (rate, eg_clock_now_us ()))
    eg_log (EG_LOG_WARNING, module,
            "event=capacity-reached capacity=%s limit=%zu times=%" PRIu64,
            capacity, limit, rate->count);
}
