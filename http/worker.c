#include "http/worker.h"

#include <ck_pr.h>
#include <string.h>

#include "base/clock.h"

#define RUN_TIMEOUT_US (100 * EG_US_PER_MS)

static void *
run_worker (void *context)
{
  struct eg_http_worker *self = context;

  while (!ck_pr_load_uint (&self->stopping))
    {
      void *command;

      while ((command = eg_ring_pop (&self->ring)))
        self->ops.handle (self->ops.context, command);
      eg_http_client_run (self->http, &self->ring, RUN_TIMEOUT_US);
    }
  return NULL;
}

bool
eg_http_worker_init (struct eg_http_worker *self,
                     const struct eg_http_worker_ops *ops,
                     unsigned slots)
{
  memset (self, 0, sizeof *self);
  self->ops = *ops;
  self->ring.event_fd = -1;
  self->http = eg_http_client_new ();
  if (self->http && eg_ring_init (&self->ring, slots)
      && pthread_create (&self->thread, NULL, run_worker, self) == 0)
    return true;
  eg_http_client_free (self->http);
  eg_ring_finish (&self->ring);
  return false;
}

void
eg_http_worker_finish (struct eg_http_worker *self)
{
  void *command;

  ck_pr_store_uint (&self->stopping, 1);
  eg_ring_wake (&self->ring);
  pthread_join (self->thread, NULL);
  eg_http_client_free (self->http);
  while ((command = eg_ring_pop (&self->ring)))
    self->ops.drop (command);
  eg_ring_finish (&self->ring);
}

bool
eg_http_worker_push (struct eg_http_worker *self, void *command)
{
  return eg_ring_push (&self->ring, command);
}
