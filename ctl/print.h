/**
 * @file
 * Output wrapped for the narrow terminal of a phone.
 */
#ifndef EG_CTL_PRINT_H
#define EG_CTL_PRINT_H

#include <stdint.h>
#include <stdio.h>

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Maximum width of a line, in characters. */
#define EG_CTL_COLUMNS 40

/**
 * Prints @p text in lines of at most EG_CTL_COLUMNS characters, broken between
 * words where possible.
 * @param prefix prefix of the first line; the others are indented by its
 * length.
 */
void eg_ctl_print (FILE *stream, const char *prefix, struct eg_str text);

/** Capacity for a formatted time, including the terminating NUL. */
#define EG_CTL_TIME_BYTES 32

/** Formats a time, in ms since 1970-01-01 UTC, in the local time zone. */
void eg_ctl_format_time (int64_t wall_ms, char text[EG_CTL_TIME_BYTES]);

/** Formats a text and prints it like eg_ctl_print(). */
void eg_ctl_printf (FILE *stream, const char *prefix, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

EG_END_DECLS

#endif
