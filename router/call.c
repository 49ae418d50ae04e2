#include "router/call.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/status.h"
#include "http/json.h"

#define REPLY_SLOTS 64
/* Reserves 4 slots: two for the final replies (the pending tokens and the end),
   one that a ring always keeps empty, and a spare one. */
#define REPLY_SLOTS_FOR_TOKENS (REPLY_SLOTS - 4)

struct eg_call *
eg_call_new (uint64_t id)
{
  struct eg_call *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  atomic_init (&self->references, 1);
  self->id = id;
  if (eg_ring_init (&self->replies, REPLY_SLOTS))
    return self;
  free (self);
  return NULL;
}

struct eg_call *
eg_call_ref (struct eg_call *self)
{
  atomic_fetch_add (&self->references, 1);
  return self;
}

void
eg_call_unref (struct eg_call *self)
{
  struct eg_reply *reply;

  if (!self)
    return;
  if (atomic_fetch_sub (&self->references, 1) > 1)
    return;
  while ((reply = eg_ring_pop (&self->replies)))
    eg_reply_free (reply);
  eg_ring_finish (&self->replies);
  eg_reply_free (self->pending_tokens);
  eg_buffer_finish (&self->path);
  eg_buffer_finish (&self->body);
  eg_buffer_finish (&self->prompt);
  eg_buffer_finish (&self->answer);
  eg_buffer_finish (&self->tokens);
  free (self);
}

void
eg_call_write_completion (const struct eg_call *self,
                          struct eg_str text,
                          int64_t token_count,
                          struct eg_buffer *json)
{
  eg_buffer_append (json, EG_STR ("{\"id\":"));
  eg_json_append_string (json, eg_str_from (self->request_id));
  eg_buffer_append (json, EG_STR (",\"model\":"));
  eg_json_append_string (json, eg_str_from (self->target));
  eg_buffer_append (json, EG_STR (",\"text\":"));
  eg_json_append_string (json, text);
  eg_buffer_printf (json, ",\"tokens\":%" PRId64 "}", token_count);
}

struct eg_reply *
eg_reply_new (enum eg_reply_kind kind)
{
  struct eg_reply *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->kind = kind;
  return self;
}

void
eg_reply_free (struct eg_reply *self)
{
  if (!self)
    return;
  eg_buffer_finish (&self->events);
  eg_buffer_finish (&self->text);
  free (self);
}

void
eg_call_flush_tokens (struct eg_call *self)
{
  if (!self->pending_tokens
      || eg_ring_count (&self->replies) >= REPLY_SLOTS_FOR_TOKENS)
    return;
  if (eg_ring_push (&self->replies, self->pending_tokens))
    self->pending_tokens = NULL;
}

void
eg_call_end (struct eg_call *self, struct eg_reply *reply)
{
  bool fits = true;

  if (self->pending_tokens)
    fits = eg_ring_push (&self->replies, self->pending_tokens);
  self->pending_tokens = NULL;
  fits = fits && eg_ring_push (&self->replies, reply);
  EG_INVARIANT (fits);
}
