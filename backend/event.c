#include "backend/event.h"

#include <stdlib.h>

#include "base/status.h"

#define INITIAL_TOKEN_CAPACITY 4

struct eg_backend_event *
eg_backend_event_new (enum eg_backend_event_kind kind)
{
  struct eg_backend_event *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->kind = kind;
  return self;
}

void
eg_backend_event_free (struct eg_backend_event *self)
{
  if (!self)
    return;
  eg_buffer_finish (&self->text);
  free (self->tokens);
  free (self);
}

void
eg_backend_event_add_token (struct eg_backend_event *self,
                            int64_t position,
                            struct eg_str text)
{
  if (self->token_count == self->token_capacity)
    {
      self->token_capacity = self->token_capacity ? self->token_capacity * 2
                                                  : INITIAL_TOKEN_CAPACITY;
      self->tokens =
          realloc (self->tokens, self->token_capacity * sizeof *self->tokens);
      EG_INVARIANT (self->tokens != NULL);
    }
  self->tokens[self->token_count++] = (struct eg_backend_token){
      .position = position,
      .offset = self->text.len,
      .len = text.len,
  };
  eg_buffer_append (&self->text, text);
}
