#include "policy/event_relay.h"

#include <string.h>

void
eg_event_relay_init (struct eg_event_relay *self, struct eg_str last_id)
{
  memset (self, 0, sizeof *self);
  eg_buffer_init (&self->partial);
  eg_str_copy (last_id, self->last_id, sizeof self->last_id);
}

void
eg_event_relay_finish (struct eg_event_relay *self)
{
  eg_buffer_finish (&self->partial);
}

void
eg_event_relay_restart (struct eg_event_relay *self)
{
  eg_buffer_clear (&self->partial);
  self->run_begun = false;
}

bool
eg_event_relay_is_partial (const struct eg_event_relay *self)
{
  return self->partial.len > 0;
}

/* Returns the length of the first event with its empty line, or 0. */
static size_t
event_length (struct eg_str bytes, size_t from)
{
  for (size_t i = from; i < bytes.len; i++)
    {
      if (bytes.data[i] != '\n')
        continue;
      if (i + 1 < bytes.len && bytes.data[i + 1] == '\n')
        return i + 2;
      if (i + 2 < bytes.len && bytes.data[i + 1] == '\r'
          && bytes.data[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

static struct eg_str
find_id (struct eg_str event)
{
  while (event.len > 0)
    {
      struct eg_str line = eg_str_cut (&event, '\n');

      if (eg_str_starts_with (line, EG_STR ("id:")))
        {
          eg_str_cut (&line, ':');
          return eg_str_trim (line);
        }
    }
  return (struct eg_str){NULL, 0};
}

/* Ids that are numbers must rise by one within the stream. */
static bool
is_next (const struct eg_event_relay *self, struct eg_str id)
{
  int64_t last;
  int64_t next;

  if (!eg_str_to_int64 (eg_str_from (self->last_id), &last)
      || !eg_str_to_int64 (id, &next))
    return true;
  return next == last + 1;
}

static enum eg_relay_result
pass_event (struct eg_event_relay *self,
            struct eg_str event,
            struct eg_buffer *out)
{
  struct eg_str id = find_id (event);

  if (id.len > 0)
    {
      if (!is_next (self, id))
        return EG_RELAY_OUT_OF_ORDER;
      if (!eg_str_copy (id, self->last_id, sizeof self->last_id))
        return EG_RELAY_TOO_LONG;
    }
  self->run_begun = true;
  self->events++;
  eg_buffer_append (out, event);
  return EG_RELAY_OK;
}

enum eg_relay_result
eg_event_relay_feed (struct eg_event_relay *self,
                     struct eg_str bytes,
                     struct eg_buffer *out)
{
  /* An empty line may lie across two feeds. */
  size_t known = self->partial.len > 3 ? self->partial.len - 3 : 0;
  struct eg_str view;
  size_t used = 0;
  size_t len;

  if (self->partial.len + bytes.len > EG_EVENT_BYTES_MAX)
    return EG_RELAY_TOO_LONG;
  eg_buffer_append (&self->partial, bytes);
  view = eg_buffer_view (&self->partial);
  while ((len = event_length (view, known)) > 0)
    {
      enum eg_relay_result result =
          pass_event (self, (struct eg_str){view.data, len}, out);

      if (result != EG_RELAY_OK)
        return result;
      view.data += len;
      view.len -= len;
      used += len;
      known = 0;
    }
  eg_buffer_consume (&self->partial, used);
  return EG_RELAY_OK;
}
