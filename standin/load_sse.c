#include "standin/load_sse.h"

#include <string.h>

void
eg_load_sse_init (struct eg_load_sse *self,
                  eg_load_sse_callback callback,
                  void *context)
{
  *self = (struct eg_load_sse){.callback = callback, .context = context};
}

void
eg_load_sse_finish (struct eg_load_sse *self)
{
  eg_buffer_finish (&self->pending);
  eg_buffer_finish (&self->event);
  eg_buffer_finish (&self->data);
}

static void
dispatch (struct eg_load_sse *self)
{
  if (self->has_data)
    self->callback (self->context, eg_buffer_view (&self->event),
                    eg_buffer_view (&self->data));
  eg_buffer_clear (&self->event);
  eg_buffer_clear (&self->data);
  self->has_data = false;
}

static void
process_line (struct eg_load_sse *self, struct eg_str line)
{
  struct eg_str field;

  if (line.len > 0 && line.data[line.len - 1] == '\r')
    line.len--;
  if (line.len == 0)
    {
      dispatch (self);
      return;
    }
  field = eg_str_cut (&line, ':');
  if (line.len > 0 && line.data[0] == ' ')
    line = (struct eg_str){line.data + 1, line.len - 1};
  if (eg_str_equal (field, EG_STR ("data")))
    {
      if (self->has_data)
        eg_buffer_append (&self->data, EG_STR ("\n"));
      eg_buffer_append (&self->data, line);
      self->has_data = true;
    }
  else if (eg_str_equal (field, EG_STR ("event")))
    {
      eg_buffer_clear (&self->event);
      eg_buffer_append (&self->event, line);
    }
}

void
eg_load_sse_feed (struct eg_load_sse *self, struct eg_str bytes)
{
  while (bytes.len > 0)
    {
      const char *end = memchr (bytes.data, '\n', bytes.len);
      struct eg_str line = {bytes.data, end ? (size_t) (end - bytes.data) : 0};

      if (!end)
        {
          eg_buffer_append (&self->pending, bytes);
          return;
        }
      bytes = (struct eg_str){end + 1, bytes.len - line.len - 1};
      if (self->pending.len == 0)
        {
          process_line (self, line);
          continue;
        }
      eg_buffer_append (&self->pending, line);
      process_line (self, eg_buffer_view (&self->pending));
      eg_buffer_clear (&self->pending);
    }
}

bool
eg_load_sse_is_partial (const struct eg_load_sse *self)
{
  return self->has_data || self->pending.len > 0;
}
