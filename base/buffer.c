#include "base/buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/status.h"

#define MIN_CAPACITY_BYTES 64

static void
reserve (struct eg_buffer *self, size_t extra)
{
  size_t needed = self->len + extra + 1;
  size_t capacity = self->capacity ? self->capacity : MIN_CAPACITY_BYTES;

  if (needed <= self->capacity)
    return;
  while (capacity < needed)
    capacity *= 2;
  self->data = realloc (self->data, capacity);
  EG_INVARIANT (self->data != NULL);
  self->capacity = capacity;
}

void
eg_buffer_init (struct eg_buffer *self)
{
  *self = (struct eg_buffer){0};
}

void
eg_buffer_finish (struct eg_buffer *self)
{
  free (self->data);
  *self = (struct eg_buffer){0};
}

void
eg_buffer_reserve (struct eg_buffer *self, size_t capacity)
{
  if (capacity <= self->capacity)
    return;
  self->data = realloc (self->data, capacity);
  EG_INVARIANT (self->data != NULL);
  self->capacity = capacity;
}

void
eg_buffer_clear (struct eg_buffer *self)
{
  self->len = 0;
}

void
eg_buffer_append (struct eg_buffer *self, struct eg_str s)
{
  if (s.len == 0)
    return;
  reserve (self, s.len);
  memcpy (self->data + self->len, s.data, s.len);
  self->len += s.len;
}

void
eg_buffer_printf (struct eg_buffer *self, const char *format, ...)
{
  va_list args;
  int len;

  va_start (args, format);
  len = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (len <= 0)
    return;
  reserve (self, (size_t) len);
  va_start (args, format);
  vsnprintf (self->data + self->len, (size_t) len + 1, format, args);
  va_end (args);
  self->len += (size_t) len;
}

void
eg_buffer_consume (struct eg_buffer *self, size_t len)
{
  EG_INVARIANT (len <= self->len);
  if (len == 0)
    return;
  self->len -= len;
  memmove (self->data, self->data + len, self->len);
}

struct eg_str
eg_buffer_view (const struct eg_buffer *self)
{
  return (struct eg_str){self->data, self->len};
}

const char *
eg_buffer_text (struct eg_buffer *self)
{
  reserve (self, 0);
  self->data[self->len] = '\0';
  return self->data;
}
