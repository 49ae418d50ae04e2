/**
 * @file
 * A thread that executes commands from a queue with an HTTP client.
 */
#ifndef EG_HTTP_WORKER_H
#define EG_HTTP_WORKER_H

#include <pthread.h>

#include "http/client.h"

EG_BEGIN_DECLS

/** Callbacks of a worker. */
struct eg_http_worker_ops
{
  /** Executes a command and takes ownership; called on the worker thread. */
  void (*handle) (void *context, void *command);
  /** Frees a command that was not executed. */
  void (*drop) (void *command);
  void *context;
};

/** A worker, allocated by the caller. */
struct eg_http_worker
{
  struct eg_http_worker_ops ops;
  struct eg_http_client *http; /**< For the worker thread only. */
  struct eg_ring ring;         /**< Queued commands. */
  pthread_t thread;
  unsigned stopping; /**< Non-zero to stop; accessed atomically. */
};

/**
 * Starts the worker thread.
 * @param slots size of the command ring, a power of two.
 * @return false on failure.
 */
bool eg_http_worker_init (struct eg_http_worker *self,
                          const struct eg_http_worker_ops *ops,
                          unsigned slots);

/** Stops the thread, aborts its transfers and drops the queued commands. */
void eg_http_worker_finish (struct eg_http_worker *self);

/** Queues a command; false if the ring is full. Safe from any thread. */
bool eg_http_worker_push (struct eg_http_worker *self, void *command);

EG_END_DECLS

#endif
