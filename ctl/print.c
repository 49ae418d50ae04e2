#include "ctl/print.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/status.h"

#define MS_PER_S 1000

/* The longest part of a text that fits into a line, in bytes. */
struct line_part
{
  size_t len;  /* Length to print. */
  size_t next; /* Start of the rest. */
};

static bool
is_continuation (char byte)
{
  return ((unsigned char) byte & 0xC0) == 0x80;
}

/* Counts each UTF-8 character as one column. */
static struct line_part
cut_line (struct eg_str text, size_t columns)
{
  struct line_part space = {0, 0};
  size_t used = 0;
  size_t i;

  for (i = 0; i < text.len; i++)
    {
      if (is_continuation (text.data[i]))
        continue;
      if (isspace ((unsigned char) text.data[i]))
        space = (struct line_part){i, i + 1};
      if (used == columns)
        break;
      used++;
    }
  if (i < text.len && space.len > 0)
    return space;
  return (struct line_part){i, i};
}

void
eg_ctl_print (FILE *stream, const char *prefix, struct eg_str text)
{
  size_t indent = strlen (prefix);
  bool continued = false;

  do
    {
      struct line_part line_part = cut_line (text, EG_CTL_COLUMNS - indent);

      fprintf (stream, "%*s%.*s\n", (int) indent, continued ? "" : prefix,
               (int) line_part.len, text.data ? text.data : "");
      text.data += line_part.next;
      text.len -= line_part.next;
      continued = true;
    }
  while (text.len > 0);
}

void
eg_ctl_format_time (int64_t wall_ms, char text[EG_CTL_TIME_BYTES])
{
  time_t seconds = (time_t) (wall_ms / MS_PER_S);
  struct tm local;

  localtime_r (&seconds, &local);
  strftime (text, EG_CTL_TIME_BYTES, "%Y-%m-%d %H:%M:%S", &local);
}

void
eg_ctl_printf (FILE *stream, const char *prefix, const char *format, ...)
{
  char *text = NULL;
  va_list args;
  int len;

  va_start (args, format);
  len = vasprintf (&text, format, args);
  va_end (args);
  EG_INVARIANT (len >= 0);
  eg_ctl_print (stream, prefix, (struct eg_str){text, (size_t) len});
  free (text);
}
