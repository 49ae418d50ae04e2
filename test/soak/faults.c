#include <signal.h>

#include "base/clock.h"
#include "test/soak/soak.h"

/* Duration of a fault that ends by itself, such as a paused daemon. */
#define FAULT_MIN_MS 300
#define FAULT_MAX_MS 3000
#define DELAY_MS_MAX 400

static int64_t
random_fault_end (struct soak *self)
{
  uint64_t ms = FAULT_MIN_MS
                + eg_random_below (&self->random, FAULT_MAX_MS - FAULT_MIN_MS);

  return eg_clock_now_us () + (int64_t) ms * EG_US_PER_MS;
}

static struct soak_node *
random_node (struct soak *self)
{
  return &self->nodes[eg_random_below (&self->random, SOAK_NODES)];
}

static struct soak_backend *
random_backend (struct soak *self)
{
  self->backend_fault_us = eg_clock_now_us ();
  return &self->backends[eg_random_below (&self->random, SOAK_BACKENDS)];
}

static void
kill_daemon (struct soak *self)
{
  soak_node_signal (random_node (self), SIGKILL);
}

static void
stop_daemon (struct soak *self)
{
  soak_node_signal (random_node (self), SIGTERM);
}

static void
pause_daemon (struct soak *self)
{
  struct soak_node *node = random_node (self);

  soak_node_signal (node, SIGSTOP);
  node->resume_us = random_fault_end (self);
}

static void
reload_daemon (struct soak *self)
{
  soak_node_signal (random_node (self), SIGHUP);
}

static void
fail_store (struct soak *self)
{
  self->store.mode = (enum soak_store_mode) (
      1 + eg_random_below (&self->random, SOAK_STORE_MODE_COUNT - 1));
  self->store_fault_until_us = random_fault_end (self);
}

static void
reset_store_connections (struct soak *self)
{
  soak_proxy_reset (&random_node (self)->store_proxy);
}

static void
drop_store_responses (struct soak *self)
{
  struct soak_proxy *proxy = &random_node (self)->store_proxy;

  proxy->drop_responses = true;
  proxy->fault_until_us = random_fault_end (self);
}

static void
delay_store_traffic (struct soak *self)
{
  struct soak_proxy *proxy = &random_node (self)->store_proxy;

  proxy->delay_ms = eg_random_below (&self->random, DELAY_MS_MAX);
  proxy->fault_until_us = random_fault_end (self);
}

static void
crash_backend (struct soak *self)
{
  struct soak_backend *backend = random_backend (self);

  soak_backend_crash (backend);
  backend->restart_us = random_fault_end (self);
}

static void
abort_responses (struct soak *self)
{
  struct soak_backend *backend = random_backend (self);

  backend->aborting = true;
  backend->abort_until_us = random_fault_end (self);
}

void
soak_inject_fault (struct soak *self)
{
  /* stop_daemon occurs twice: it is chosen twice as often. */
  static void (*const faults[]) (struct soak * self) = {
      kill_daemon,
      stop_daemon,
      stop_daemon,
      pause_daemon,
      reload_daemon,
      fail_store,
      reset_store_connections,
      drop_store_responses,
      delay_store_traffic,
      crash_backend,
      abort_responses,
      soak_publish_configuration,
  };

  self->fault_count++;
  faults[eg_random_below (&self->random, sizeof faults / sizeof faults[0])](
      self);
}

void
soak_clear_faults (struct soak *self, bool all)
{
  int64_t now_us = all ? INT64_MAX : eg_clock_now_us ();

  if (now_us >= self->store_fault_until_us)
    self->store.mode = SOAK_STORE_HEALTHY;
  for (int i = 0; i < SOAK_NODES; i++)
    {
      struct soak_node *node = &self->nodes[i];

      if (node->paused && now_us >= node->resume_us)
        soak_node_signal (node, SIGCONT);
      if (now_us >= node->store_proxy.fault_until_us)
        {
          /* Discarded bytes are not sent again, so the connections are of no
           * further use. */
          if (node->store_proxy.drop_responses)
            soak_proxy_reset (&node->store_proxy);
          node->store_proxy.drop_responses = false;
          node->store_proxy.delay_ms = 0;
        }
    }
  for (int i = 0; i < SOAK_BACKENDS; i++)
    {
      struct soak_backend *backend = &self->backends[i];

      if (!backend->running && now_us >= backend->restart_us)
        soak_backend_start (backend);
      if (now_us >= backend->abort_until_us)
        backend->aborting = false;
    }
}
