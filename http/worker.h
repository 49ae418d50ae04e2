/**
 * @file
 * A thread that carries out commands over HTTP: a ring, a client and a loop.
 */
#ifndef EG_HTTP_WORKER_H
#define EG_HTTP_WORKER_H

#include <pthread.h>

#include "http/client.h"

EG_BEGIN_DECLS

/** What a thread does with its commands. */
struct eg_http_worker_ops
{
  /** Carries out a command and owns it; on the worker's thread. */
  void (*handle) (void *context, void *command);
  /** Frees a command that the thread did not come to. */
  void (*drop) (void *command);
  void *context;
};

/** The thread; memory of its owner. */
struct eg_http_worker
{
  struct eg_http_worker_ops ops;
  struct eg_http_client *http;
  struct eg_ring ring;
  pthread_t thread;
  unsigned stopping;
};

/**
 * Starts the thread.
 * @param slots of the ring of commands, a power of two.
 * @return false if the system refuses.
 */
bool eg_http_worker_init (struct eg_http_worker *self,
                          const struct eg_http_worker_ops *ops,
                          unsigned slots);

/** Ends the thread, aborts its transfers and drops its commands. */
void eg_http_worker_finish (struct eg_http_worker *self);

/** Hands a command over, from any thread; false if the ring is full. */
bool eg_http_worker_push (struct eg_http_worker *self, void *command);

EG_END_DECLS

#endif
