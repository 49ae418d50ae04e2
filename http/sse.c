#include "http/sse.h"

#include <string.h>

void
eg_sse_parser_finish (struct eg_sse_parser *self)
{
  eg_buffer_finish (&self->pending);
}

static struct eg_str
field_value (struct eg_str line, struct eg_str name)
{
  line.data += name.len;
  line.len -= name.len;
  if (line.len > 0 && line.data[0] == ' ')
    {
      line.data++;
      line.len--;
    }
  return line;
}

static struct eg_sse_event
parse_event (struct eg_str text)
{
  static const struct eg_str data_field = {"data:", 5};
  static const struct eg_str event_field = {"event:", 6};
  struct eg_sse_event event = {0};

  while (text.len > 0)
    {
      struct eg_str line = eg_str_cut (&text, '\n');

      if (line.len > 0 && line.data[line.len - 1] == '\r')
        line.len--;
      if (eg_str_starts_with (line, data_field))
        event.data = field_value (line, data_field);
      else if (eg_str_starts_with (line, event_field))
        event.name = field_value (line, event_field);
    }
  return event;
}

/* Returns the length of the first event including the blank line that ends it,
   or 0 if the event is incomplete. */
static size_t
event_length (struct eg_str text)
{
  size_t line_start = 0;

  for (size_t i = 0; i < text.len; i++)
    {
      size_t line_len = i - line_start;

      if (text.data[i] != '\n')
        continue;
      if (line_len == 0 || (line_len == 1 && text.data[line_start] == '\r'))
        return i + 1;
      line_start = i + 1;
    }
  return 0;
}

bool
eg_sse_parser_feed (struct eg_sse_parser *self,
                    struct eg_str bytes,
                    void (*on_event) (void *context,
                                      const struct eg_sse_event *event),
                    void *context)
{
  struct eg_str rest;
  size_t len;

  eg_buffer_append (&self->pending, bytes);
  rest = eg_buffer_view (&self->pending);
  while ((len = event_length (rest)) > 0)
    {
      struct eg_sse_event event = parse_event ((struct eg_str){rest.data, len});

      if (event.data.len > 0 || event.name.len > 0)
        on_event (context, &event);
      rest.data += len;
      rest.len -= len;
    }
  eg_buffer_consume (&self->pending, self->pending.len - rest.len);
  return rest.len <= EG_SSE_EVENT_MAX;
}
