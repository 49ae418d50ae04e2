#include "router/poller.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"

struct eg_poll_state
{
  uint64_t address_hash; /* Detects reuse of the index. */
  bool polled;
  bool plain; /* Whether the server is a plain service. */
  bool in_progress;
  unsigned timeouts;
  int64_t next_us;
};

void
eg_poller_finish (struct eg_poller *self)
{
  free (self->states);
  *self = (struct eg_poller){0};
}

static void
reserve_states (struct eg_poller *self, uint32_t count)
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
new_poll_command (struct eg_poll_state *state, const struct eg_server *server)
{
  struct eg_backend_command *command = eg_backend_command_new (
      state->plain ? EG_BACKEND_POLL_SERVICE : EG_BACKEND_POLL_ENGINE);

  memcpy (command->address, server->address, sizeof command->address);
  state->in_progress = true;
  return command;
}

static bool
is_due (struct eg_poll_state *state,
        const struct eg_server *server,
        int64_t now_us)
{
  uint64_t address_hash = eg_hash_str (eg_str_from (server->address));

  if (!*server->address || (server->block_reasons & EG_SERVER_GONE))
    return false;
  if (state->address_hash != address_hash)
    *state = (struct eg_poll_state){.address_hash = address_hash};
  return !state->in_progress && now_us >= state->next_us;
}

static int64_t
poll_interval (const struct eg_poller *self, uint32_t server, int64_t now_us)
{
  if (!self->plan.interval_us)
    return self->interval_us;
  return self->plan.interval_us (self->plan.context, server, now_us);
}

struct eg_backend_command *
eg_poller_next (struct eg_poller *self,
                const struct eg_servers *servers,
                int64_t now_us)
{
  reserve_states (self, eg_servers_count (servers));
  while (self->cursor < self->count)
    {
      uint32_t i = self->cursor++;
      struct eg_poll_state *state = &self->states[i];
      const struct eg_server *server = eg_servers_get (servers, i);
      uint64_t interval_us;

      if (!is_due (state, server, now_us))
        continue;
      interval_us = (uint64_t) poll_interval (self, i, now_us);
      if (interval_us == 0)
        {
          /* Polled by another node; checked again later, as the owner may
             change. */
          state->next_us = now_us + self->interval_us;
          continue;
        }
      /* The first poll is sent at once. The second is offset by the hash of the
         address, so that later polls are spread evenly. */
      if (!state->polled)
        interval_us = state->address_hash % interval_us;
      state->next_us = now_us + (int64_t) interval_us;
      state->polled = true;
      return new_poll_command (state, server);
    }
  self->cursor = 0;
  return NULL;
}

void
eg_poller_send_failed (struct eg_poller *self, uint32_t server)
{
  self->states[server].in_progress = false;
}

bool
eg_poller_poll_done (struct eg_poller *self,
                     uint32_t server,
                     const struct eg_backend_event *event)
{
  struct eg_poll_state *state = &self->states[server];

  state->in_progress = false;
  if (event->kind == EG_BACKEND_LOAD)
    {
      state->timeouts = 0;
      return false;
    }
  if (event->not_found)
    {
      state->plain = !state->plain;
      return false;
    }
  if (!event->timed_out)
    return false;
  state->timeouts++;
  return state->timeouts >= EG_POLLER_TIMEOUTS_MAX;
}
