/**
 * @file
 * Growable byte buffer that owns its memory.
 */
#ifndef EG_BASE_BUFFER_H
#define EG_BASE_BUFFER_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** A byte buffer; zero-initialised memory is a valid empty buffer. */
struct eg_buffer
{
  char *data;
  size_t len;
  size_t capacity;
};

/** Initialises an empty buffer. */
void eg_buffer_init (struct eg_buffer *self);

/** Frees the memory and leaves the buffer empty. */
void eg_buffer_finish (struct eg_buffer *self);

/**
 * Makes room for @p capacity bytes in all, and no more; text appended within
 * it, but for the last byte, causes no allocation.
 */
void eg_buffer_reserve (struct eg_buffer *self, size_t capacity);

/** Sets the length to 0 and keeps the allocated memory. */
void eg_buffer_clear (struct eg_buffer *self);

/** Appends the bytes of @p s. */
void eg_buffer_append (struct eg_buffer *self, struct eg_str s);

/** Appends printf-formatted text. */
void eg_buffer_printf (struct eg_buffer *self, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Removes the first @p len bytes. */
void eg_buffer_consume (struct eg_buffer *self, size_t len);

/** Returns a view of the content, valid until the buffer is modified. */
struct eg_str eg_buffer_view (const struct eg_buffer *self);

/** Returns the content as a C string, valid until the buffer is modified. */
const char *eg_buffer_text (struct eg_buffer *self);

EG_END_DECLS

#endif
