#include <signal.h>

#include "base/clock.h"
#include "test/soak/soak.h"

/* Length of a fault that lasts. */
#define LEAST_MS 300
#define MOST_MS 3000
#define DELAY_MS_MAX 400

static int64_t
draw_end (struct soak *self)
{
  uint64_t ms = LEAST_MS + eg_random_below (&self->random, MOST_MS - LEAST_MS);

  return eg_clock_now_us () + (int64_t) ms * EG_US_PER_MS;
}

static struct soak_node *
draw_node (struct soak *self)
{
  return &self->nodes[eg_random_below (&self->random, SOAK_NODES)];
}

static struct soak_backend *
draw_backend (struct soak *self)
{
  self->servers_harmed_us = eg_clock_now_us ();
  return &self->backends[eg_random_below (&self->random, SOAK_BACKENDS)];
}

static void
kill_node (struct soak *self)
{
  soak_node_signal (draw_node (self), SIGKILL);
}

static void
stop_node (struct soak *self)
{
  soak_node_signal (draw_node (self), SIGTERM);
}

static void
freeze_node (struct soak *self)
{
  struct soak_node *node = draw_node (self);

  soak_node_signal (node, SIGSTOP);
  node->thaw_us = draw_end (self);
}

static void
reload_node (struct soak *self)
{
  soak_node_signal (draw_node (self), SIGHUP);
}

static void
harm_store (struct soak *self)
{
  self->store.mode = (enum soak_store_mode) (
      1 + eg_random_below (&self->random, SOAK_STORE_MODES - 1));
  self->store_until_us = draw_end (self);
}

static void
reset_link (struct soak *self)
{
  soak_proxy_reset (&draw_node (self)->to_store);
}

static void
mute_link (struct soak *self)
{
  struct soak_proxy *proxy = &draw_node (self)->to_store;

  proxy->mute = true;
  proxy->until_us = draw_end (self);
}

static void
slow_link (struct soak *self)
{
  struct soak_proxy *proxy = &draw_node (self)->to_store;

  proxy->delay_ms = eg_random_below (&self->random, DELAY_MS_MAX);
  proxy->until_us = draw_end (self);
}

static void
crash_server (struct soak *self)
{
  struct soak_backend *backend = draw_backend (self);

  soak_backend_down (backend);
  backend->up_us = draw_end (self);
}

static void
cut_answers (struct soak *self)
{
  struct soak_backend *backend = draw_backend (self);

  backend->cuts = true;
  backend->cuts_until_us = draw_end (self);
}

void
soak_fault (struct soak *self)
{
  static void (*const faults[]) (struct soak * self) = {
      kill_node,   stop_node,    stop_node,   freeze_node,
      reload_node, harm_store,   reset_link,  mute_link,
      slow_link,   crash_server, cut_answers, soak_configure,
  };

  self->faults_begun++;
  faults[eg_random_below (&self->random, sizeof faults / sizeof faults[0])](
      self);
}

void
soak_faults_check (struct soak *self, bool all)
{
  int64_t now_us = all ? INT64_MAX : eg_clock_now_us ();

  if (now_us >= self->store_until_us)
    self->store.mode = SOAK_STORE_SOUND;
  for (int i = 0; i < SOAK_NODES; i++)
    {
      struct soak_node *node = &self->nodes[i];

      if (node->frozen && now_us >= node->thaw_us)
        soak_node_signal (node, SIGCONT);
      if (now_us >= node->to_store.until_us)
        {
          /* What was lost on the way does not come again. */
          if (node->to_store.mute)
            soak_proxy_reset (&node->to_store);
          node->to_store.mute = false;
          node->to_store.delay_ms = 0;
        }
    }
  for (int i = 0; i < SOAK_BACKENDS; i++)
    {
      struct soak_backend *backend = &self->backends[i];

      if (!backend->up && now_us >= backend->up_us)
        soak_backend_up (backend);
      if (now_us >= backend->cuts_until_us)
        backend->cuts = false;
    }
}
