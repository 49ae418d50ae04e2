/**
 * @file
 * HTTP listener: a CivetWeb server that can be aborted and reopened.
 */
#ifndef EG_STANDIN_LISTENER_H
#define EG_STANDIN_LISTENER_H

#include <pthread.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

struct eg_server_exchange;
struct mg_context;

/** Size of an address string, with the terminating null byte. */
#define EG_LISTENER_ADDRESS_BYTES 24

/** HTTP server on one address. */
struct eg_listener
{
  char address[EG_LISTENER_ADDRESS_BYTES];
  int port;
  int threads;
  void (*handle) (void *context, struct eg_server_exchange *exchange);
  void *context;
  pthread_mutex_t lock;
  struct mg_context *server; /**< NULL while the listener is closed. */
  pthread_t stop_thread;     /**< Stops the server that was aborted last. */
  bool has_stop_thread;
};

/**
 * Initializes a listener without opening it.
 * @param threads limit of concurrent connections.
 * @param handle handles an exchange; called from several threads.
 */
void eg_listener_init (struct eg_listener *self,
                       const char *address,
                       int threads,
                       void (*handle) (void *context,
                                       struct eg_server_exchange *exchange),
                       void *context);

/** Closes the listener and waits for its threads. */
void eg_listener_finish (struct eg_listener *self);

/**
 * Opens the listener, unless it is open.
 * @return EG_OK, or EG_SYSTEM if the address cannot be listened on.
 */
enum eg_status eg_listener_open (struct eg_listener *self,
                                 struct eg_error *error);

/**
 * Stops listening and shuts down all connections.
 *
 * May be called by a handler of this listener, since the threads of the server
 * are joined in the background.
 */
void eg_listener_abort (struct eg_listener *self);

EG_END_DECLS

#endif
