#include "standin/listener.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "base/str.h"
#include "standin/exchange.h"

#define OPTION_TEXT_BYTES 16
#define KEEP_ALIVE_MS "60000"
#define TIMER_SLACK_NS 1000

void
eg_listener_init (struct eg_listener *self,
                  const char *address,
                  int threads,
                  void (*handle) (void *context,
                                  struct eg_server_exchange *exchange),
                  void *context)
{
  struct eg_str port = eg_str_from (address);
  int64_t number = 0;

  *self = (struct eg_listener){
      .threads = threads, .handle = handle, .context = context};
  eg_str_copy (port, self->address, sizeof self->address);
  eg_str_cut (&port, ':');
  EG_INVARIANT (eg_str_to_int64 (port, &number));
  self->port = (int) number;
  pthread_mutex_init (&self->lock, NULL);
}

static int
handle_begin_request (struct mg_connection *conn)
{
  struct eg_listener *self = mg_get_user_context_data (conn);

  return eg_server_exchange_run (conn, self->handle, self->context);
}

static int
discard_log_message (const struct mg_connection *conn, const char *message)
{
  (void) conn;
  (void) message;
  return 1;
}

static void *
init_thread (const struct mg_context *server, int type)
{
  (void) server;
  (void) type;
  prctl (PR_SET_TIMERSLACK, TIMER_SLACK_NS);
  return NULL;
}

static struct mg_context *
start_server (struct eg_listener *self)
{
  static const struct mg_callbacks callbacks = {
      .begin_request = handle_begin_request,
      .log_message = discard_log_message,
      .log_access = discard_log_message,
      .init_thread = init_thread,
      .init_connection = eg_server_exchange_init_connection,
  };
  char threads[OPTION_TEXT_BYTES];
  const char *options[] = {"listening_ports",
                           self->address,
                           "num_threads",
                           threads,
                           "tcp_nodelay",
                           "1",
                           "enable_keep_alive",
                           "yes",
                           "keep_alive_timeout_ms",
                           KEEP_ALIVE_MS,
                           "request_timeout_ms",
                           KEEP_ALIVE_MS,
                           "decode_url",
                           "yes",
                           NULL};

  snprintf (threads, sizeof threads, "%d", self->threads);
  return mg_start (&callbacks, self, options);
}

/* Joins unlocked, as handlers on the threads may call eg_listener_abort(). */
static void
join_stop_thread (struct eg_listener *self)
{
  pthread_t stop_thread;
  bool has_stop_thread;

  pthread_mutex_lock (&self->lock);
  stop_thread = self->stop_thread;
  has_stop_thread = self->has_stop_thread;
  self->has_stop_thread = false;
  pthread_mutex_unlock (&self->lock);
  if (has_stop_thread)
    pthread_join (stop_thread, NULL);
}

enum eg_status
eg_listener_open (struct eg_listener *self, struct eg_error *error)
{
  enum eg_status status = EG_OK;

  join_stop_thread (self);
  pthread_mutex_lock (&self->lock);
  if (!self->server)
    {
      self->server = start_server (self);
      if (!self->server)
        status = eg_error_set (error, EG_SYSTEM, "cannot listen on %s",
                               self->address);
    }
  pthread_mutex_unlock (&self->lock);
  return status;
}

/*
 * CivetWeb does not expose its sockets, and mg_stop() waits for handlers; so
 * all descriptors are searched for sockets on the port, including the listening
 * one.
 */
static void
shutdown_sockets (int port)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  for (int fd = 0; fd < (int) limit.rlim_cur; fd++)
    {
      struct sockaddr_in local = {0};
      socklen_t len = sizeof local;

      if (getsockname (fd, (struct sockaddr *) &local, &len) == 0
          && local.sin_family == AF_INET && ntohs (local.sin_port) == port)
        shutdown (fd, SHUT_RDWR);
    }
}

static void *
stop_server (void *server)
{
  mg_stop (server);
  return NULL;
}

void
eg_listener_abort (struct eg_listener *self)
{
  pthread_mutex_lock (&self->lock);
  if (self->server)
    {
      shutdown_sockets (self->port);
      self->has_stop_thread =
          pthread_create (&self->stop_thread, NULL, stop_server, self->server)
          == 0;
      EG_INVARIANT (self->has_stop_thread);
      self->server = NULL;
    }
  pthread_mutex_unlock (&self->lock);
}

void
eg_listener_finish (struct eg_listener *self)
{
  eg_listener_abort (self);
  join_stop_thread (self);
  pthread_mutex_destroy (&self->lock);
}
