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

/* Returns the length of the first event including its blank line; 0 if it is
   incomplete. */
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

static bool
is_number (struct eg_str id)
{
  for (size_t i = 0; i < id.len; i++)
    if (id.data[i] < '0' || id.data[i] > '9')
      return false;
  return id.len > 0;
}

static struct eg_str
skip_zeros (struct eg_str number)
{
  while (number.len > 1 && *number.data == '0')
    {
      number.data++;
      number.len--;
    }
  return number;
}

/* Compares numbers of any length. */
static bool
is_higher (struct eg_str number, struct eg_str than)
{
  number = skip_zeros (number);
  than = skip_zeros (than);
  if (number.len != than.len)
    return number.len > than.len;
  return memcmp (number.data, than.data, number.len) > 0;
}

/* Ids that are numbers increase within the stream, not always by one: the next
 * attempt continues after the last id, so an id that is not higher is sent
 * twice. Other ids have no order, and must only differ from the last one. A
 * client may name any id to resume its own stream, but a stream does not change
 * between numbers and others. */
static bool
is_next (const struct eg_event_relay *self, struct eg_str id)
{
  struct eg_str last = eg_str_from (self->last_id);

  if (is_number (id) && is_number (last))
    return is_higher (id, last);
  if (is_number (id) != is_number (last) && self->id_received)
    return false;
  return !eg_str_equal (id, last);
}

static enum eg_relay_result
forward_event (struct eg_event_relay *self,
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
      self->id_received = true;
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
  /* A blank line may be split between two calls. */
  size_t scanned = self->partial.len > 3 ? self->partial.len - 3 : 0;
  struct eg_str pending;
  size_t consumed = 0;
  size_t len;

  if (self->partial.len + bytes.len > EG_EVENT_BYTES_MAX)
    return EG_RELAY_TOO_LONG;
  eg_buffer_append (&self->partial, bytes);
  pending = eg_buffer_view (&self->partial);
  while ((len = event_length (pending, scanned)) > 0)
    {
      enum eg_relay_result result =
          forward_event (self, (struct eg_str){pending.data, len}, out);

      if (result != EG_RELAY_OK)
        return result;
      pending.data += len;
      pending.len -= len;
      consumed += len;
      scanned = 0;
    }
  eg_buffer_consume (&self->partial, consumed);
  return EG_RELAY_OK;
}
