/**
 * @file
 * One listening address: a CivetWeb server that can be cut off and restored.
 */
#ifndef EG_STANDIN_LISTENER_H
#define EG_STANDIN_LISTENER_H

#include <pthread.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

struct eg_server_exchange;
struct mg_context;

/** Bytes of an address as text, with the final zero. */
#define EG_LISTENER_ADDRESS_BYTES 24

/** A server on one address. */
struct eg_listener
{
  char address[EG_LISTENER_ADDRESS_BYTES];
  int port;
  int threads;
  void (*handle) (void *context, struct eg_server_exchange *exchange);
  void *context;
  pthread_mutex_t lock;
  struct mg_context *server; /**< NULL while the listener is closed. */
  pthread_t stop_thread;     /**< Ends the server that was cut off last. */
  bool has_stop_thread;
};

/**
 * Prepares a listener without opening it.
 * @param threads the most connections served at one time.
 * @param handle answers one exchange; called on many threads.
 */
void eg_listener_init (struct eg_listener *self,
                       const char *address,
                       int threads,
                       void (*handle) (void *context,
                                       struct eg_server_exchange *exchange),
                       void *context);

/** Closes the listener and waits for its threads. */
void eg_listener_finish (struct eg_listener *self);

/** Listens; does nothing where it listens already. */
enum eg_status eg_listener_open (struct eg_listener *self,
                                 struct eg_error *error);

/**
 * Refuses connections from now on and cuts those that exist. May be called
 * by a handler of this listener: the threads end in the background.
 */
void eg_listener_abort (struct eg_listener *self);

EG_END_DECLS

#endif
