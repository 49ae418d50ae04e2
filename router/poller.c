#include "router/poller.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"

struct eg_poll_state
{
  bool known;
  bool plain; /* Whether the server is a plain service. */
  bool under_way;
  unsigned misses;
  int64_t next_us;
};

void
eg_poller_finish (struct eg_poller *self)
{
  free (self->states);
  *self = (struct eg_poller){0};
}

static void
cover (struct eg_poller *self, uint32_t count)
{
  if (count <= self->count)
    return;
  self->states = realloc (self->states, count * sizeof *self->states);
  EG_INVARIANT (self->states != NULL);
  memset (self->states + self->count, 0,
          (count - self->count) * sizeof *self->states);
  self->count = count;
}

static struct eg_backend_command *
make_poll (struct eg_poll_state *state, const struct eg_server *server)
{
  struct eg_backend_command *command = eg_backend_command_new (
      state->plain ? EG_BACKEND_POLL_SERVICE : EG_BACKEND_POLL_ENGINE);

  memcpy (command->address, server->address, sizeof command->address);
  state->under_way = true;
  return command;
}

struct eg_backend_command *
eg_poller_next (struct eg_poller *self,
                const struct eg_servers *servers,
                int64_t now_us)
{
  cover (self, eg_servers_count (servers));
  for (uint32_t i = 0; i < self->count; i++)
    {
      struct eg_poll_state *state = &self->states[i];
      const struct eg_server *server = eg_servers_get (servers, i);

      if (!server || !*server->address || state->under_way
          || now_us < state->next_us || (server->stops & EG_SERVER_GONE))
        continue;
      /* The first poll is due at once; later ones are spread by address, so
         that they do not all fall together. */
      if (!state->known)
        state->next_us =
            now_us
            + (int64_t) (eg_hash_str (eg_str_from (server->address))
                         % (uint64_t) self->interval_us);
      else
        state->next_us = now_us + self->interval_us;
      state->known = true;
      return make_poll (state, server);
    }
  return NULL;
}

bool
eg_poller_ended (struct eg_poller *self,
                 uint32_t server,
                 const struct eg_backend_event *event)
{
  struct eg_poll_state *state = &self->states[server];

  state->under_way = false;
  if (event->kind == EG_BACKEND_LOAD)
    {
      state->misses = 0;
      return false;
    }
  if (event->not_found)
    {
      state->plain = !state->plain;
      return false;
    }
  if (!event->silent)
    return false;
  state->misses++;
  return state->misses >= EG_POLLER_MISSES_MAX;
}
