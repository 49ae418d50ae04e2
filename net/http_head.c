#include "net/http_head.h"

#include <string.h>
#include <strings.h>

void
eg_http_head_init (struct eg_http_head *self)
{
  memset (self, 0, sizeof *self);
  eg_buffer_init (&self->text);
}

void
eg_http_head_finish (struct eg_http_head *self)
{
  eg_buffer_finish (&self->text);
}

void
eg_http_head_clear (struct eg_http_head *self)
{
  eg_buffer_clear (&self->text);
  self->field_count = 0;
  self->target_len = 0;
  self->method = "";
  self->status = 0;
  self->keep_alive = false;
  self->has_body = false;
}

struct eg_str
eg_http_head_target (const struct eg_http_head *self)
{
  return (struct eg_str){self->text.data, self->target_len};
}

struct eg_str
eg_http_head_name (const struct eg_http_head *self, size_t index)
{
  const struct eg_http_field *field = &self->fields[index];

  return (struct eg_str){self->text.data + field->name_at, field->name_len};
}

struct eg_str
eg_http_head_value (const struct eg_http_head *self, size_t index)
{
  const struct eg_http_field *field = &self->fields[index];

  return eg_str_trim (
      (struct eg_str){self->text.data + field->value_at, field->value_len});
}

bool
eg_http_same_name (struct eg_str a, const char *b)
{
  return strlen (b) == a.len && strncasecmp (a.data, b, a.len) == 0;
}

struct eg_str
eg_http_head_find (const struct eg_http_head *self, const char *name)
{
  for (size_t i = 0; i < self->field_count; i++)
    if (eg_http_same_name (eg_http_head_name (self, i), name))
      return eg_http_head_value (self, i);
  return (struct eg_str){NULL, 0};
}

size_t
eg_http_head_count (const struct eg_http_head *self, const char *name)
{
  size_t count = 0;

  for (size_t i = 0; i < self->field_count; i++)
    if (eg_http_same_name (eg_http_head_name (self, i), name))
      count++;
  return count;
}

bool
eg_http_is_hop_by_hop (struct eg_str name)
{
  static const char *const names[] = {
      "connection",
      "keep-alive",
      "proxy-connection",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade",
      "content-length",
      "expect",
      "proxy-authenticate",
      "proxy-authorization",
  };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (eg_http_same_name (name, names[i]))
      return true;
  return false;
}

bool
eg_http_head_is_connection_option (const struct eg_http_head *self,
                                   struct eg_str name)
{
  for (size_t i = 0; i < self->field_count; i++)
    {
      struct eg_str rest;

      if (!eg_http_same_name (eg_http_head_name (self, i), "connection"))
        continue;
      rest = eg_http_head_value (self, i);
      while (rest.len > 0)
        {
          struct eg_str option = eg_str_trim (eg_str_cut (&rest, ','));

          if (option.len == name.len
              && strncasecmp (option.data, name.data, name.len) == 0)
            return true;
        }
    }
  return false;
}
