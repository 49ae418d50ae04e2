#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/status.h"
#include "test/soak/ports.h"
#include "test/soak/soak.h"

#define RESTART_DELAY_MS 200
#define KEY_REVOCATION_MS 5000

/** A proxied connection; freed once both sockets are closed. */
struct proxy_connection
{
  struct eg_list link; /**< In soak_proxy.connections. */
  struct soak_proxy *proxy;
  struct eg_socket sockets[2]; /**< Of the daemon and of the target. */
  struct proxy_side
  {
    struct proxy_connection *connection;
    int number; /**< Index in proxy_connection.sockets. */
  } sides[2];
  unsigned open_sockets;
  bool closing;
};

/** Bytes that a proxy forwards after its delay. */
struct delayed_chunk
{
  uv_timer_t timer;
  struct proxy_connection *connection;
  int to; /**< Index of the receiving socket. */
  size_t len;
  char bytes[];
};

static void
close_connection (struct proxy_connection *connection)
{
  if (connection->closing)
    return;
  connection->closing = true;
  for (int i = 0; i < 2; i++)
    eg_socket_close (&connection->sockets[i]);
}

static void
on_socket_closed (void *context)
{
  struct proxy_connection *connection =
      ((struct proxy_side *) context)->connection;

  if (--connection->open_sockets > 0)
    return;
  eg_list_remove (&connection->link);
  free (connection);
}

static void
on_delay_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

/* The connection may have been freed since, so its pointer is only compared
 * with those of the open connections. */
static void
on_delay_elapsed (uv_timer_t *timer)
{
  struct delayed_chunk *chunk = timer->data;
  struct soak *soak = timer->loop->data;

  for (int n = 0; n < SOAK_NODES; n++)
    {
      struct soak_proxy *proxy = &soak->nodes[n].store_proxy;

      for (struct eg_list *at = proxy->connections.next;
           at != &proxy->connections; at = at->next)
        {
          struct proxy_connection *connection =
              EG_CONTAINER_OF (at, struct proxy_connection, link);

          if (connection == chunk->connection && !connection->closing)
            eg_socket_write (&connection->sockets[chunk->to],
                             (struct eg_str){chunk->bytes, chunk->len});
        }
    }
  uv_close ((uv_handle_t *) timer, on_delay_timer_closed);
}

static void
write_delayed (struct proxy_connection *connection, int to, struct eg_str bytes)
{
  struct delayed_chunk *chunk = malloc (sizeof *chunk + bytes.len);

  chunk->connection = connection;
  chunk->to = to;
  chunk->len = bytes.len;
  memcpy (chunk->bytes, bytes.data, bytes.len);
  uv_timer_init (&connection->proxy->soak->loop, &chunk->timer);
  chunk->timer.data = chunk;
  uv_timer_start (&chunk->timer, on_delay_elapsed, connection->proxy->delay_ms,
                  0);
}

static void
on_socket_bytes (void *context, struct eg_str bytes)
{
  struct proxy_side *side = context;
  struct proxy_connection *connection = side->connection;
  int to = 1 - side->number;

  if (connection->proxy->drop_responses && to == 0)
    return;
  if (connection->proxy->delay_ms > 0)
    write_delayed (connection, to, bytes);
  else
    eg_socket_write (&connection->sockets[to], bytes);
}

static void
on_socket_ended (void *context, int uv_error)
{
  (void) uv_error;
  close_connection (((struct proxy_side *) context)->connection);
}

static void
on_socket_connected (void *context)
{
  struct proxy_connection *connection =
      ((struct proxy_side *) context)->connection;

  for (int i = 0; i < 2; i++)
    if (eg_socket_read (&connection->sockets[i]) != 0)
      close_connection (connection);
}

static void
on_socket_drained (void *context)
{
  (void) context;
}

static const struct eg_socket_events socket_events = {
    on_socket_connected, on_socket_bytes, on_socket_ended, on_socket_drained,
    on_socket_closed};

static void
on_connection (uv_stream_t *listener, int status)
{
  struct soak_proxy *proxy = listener->data;
  struct proxy_connection *connection;

  if (status != 0)
    return;
  connection = calloc (1, sizeof *connection);
  connection->proxy = proxy;
  connection->open_sockets = 2;
  for (int i = 0; i < 2; i++)
    {
      connection->sides[i] = (struct proxy_side){connection, i};
      eg_socket_init (&connection->sockets[i], &proxy->soak->loop,
                      &socket_events, &connection->sides[i]);
    }
  eg_list_append (&proxy->connections, &connection->link);
  if (eg_socket_accept (&connection->sockets[0], listener) != 0
      || eg_socket_connect (&connection->sockets[1], proxy->target) != 0)
    close_connection (connection);
}

void
soak_proxy_open (struct soak_proxy *self,
                 struct soak *soak,
                 struct eg_endpoint target)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  int len = sizeof address;

  memset (self, 0, sizeof *self);
  self->soak = soak;
  self->target = target;
  eg_list_init (&self->connections);
  uv_tcp_init (&soak->loop, &self->listener);
  self->listener.data = self;
  uv_tcp_bind (&self->listener, (struct sockaddr *) &address, 0);
  uv_listen ((uv_stream_t *) &self->listener, 64, on_connection);
  uv_tcp_getsockname (&self->listener, (struct sockaddr *) &address, &len);
  self->endpoint =
      (struct eg_endpoint){address.sin_addr.s_addr, address.sin_port};
}

void
soak_proxy_reset (struct soak_proxy *self)
{
  for (struct eg_list *at = self->connections.next; at != &self->connections;
       at = at->next)
    close_connection (EG_CONTAINER_OF (at, struct proxy_connection, link));
}

void
soak_proxy_close (struct soak_proxy *self)
{
  uv_close ((uv_handle_t *) &self->listener, NULL);
  soak_proxy_reset (self);
}

static void
on_restart_timer (uv_timer_t *timer)
{
  soak_node_start (timer->data);
}

static void
on_node_exit (uv_process_t *process, int64_t status, int number)
{
  struct soak_node *self = process->data;

  self->running = false;
  self->paused = false;
  if (!self->exit_expected || (number != 0 && number != SIGKILL))
    soak_violation (self->soak,
                    "daemon %u exited unexpectedly: status %d, signal %d",
                    self->number, (int) status, number);
  if (self->sigterm_us > 0 && number == 0
      && eg_clock_now_us () - self->sigterm_us > SOAK_STOP_MAX_US
      && self->last_fault_us < self->sigterm_us)
    soak_violation (self->soak,
                    "daemon %u did not stop within its grace period",
                    self->number);
  uv_close ((uv_handle_t *) process, NULL);
  if (!self->soak->stopping)
    uv_timer_start (&self->restart_timer, on_restart_timer, RESTART_DELAY_MS,
                    0);
}

static void
write_settings (struct soak_node *self)
{
  char store[32];
  FILE *file;

  soak_format_address (self->store_proxy.endpoint, store, sizeof store);
  snprintf (self->settings_path, sizeof self->settings_path, "%s/node-%u.toml",
            self->soak->directory, self->number);
  file = fopen (self->settings_path, "w");
  EG_INVARIANT (file);
  fprintf (file,
           "[node]\nname = \"node-%u\"\nfailure_domain = \"room\"\n"
           "first_start = %s\n"
           "[listen]\ncallers = \"127.0.0.1:%u\"\n"
           "readiness = \"127.0.0.1:%u\"\npeers = \"127.0.0.1:%u\"\n"
           "[store]\naddress = \"%s\"\n"
           "[limits]\nmemory_mb = 260\ndescriptors = 4100\n"
           "[stop]\ngrace_ms = %d\n[keys]\nrevocation_ms = %d\n"
           "[retry]\nratio = 0.2\nwindow_ms = 10000\nextra = 200\n",
           self->number, self->was_started ? "false" : "true",
           self->callers_port, self->ready_port, self->peers_port, store,
           SOAK_STOP_GRACE_MS, KEY_REVOCATION_MS);
  fclose (file);
}

void
soak_node_start (struct soak_node *self)
{
  char *arguments[] = {(char *) self->soak->daemon, "--settings",
                       self->settings_path, NULL};
  char log_path[300];
  uv_stdio_container_t outputs[3] = {{.flags = UV_IGNORE}};
  uv_process_options_t options = {.exit_cb = on_node_exit,
                                  .file = self->soak->daemon,
                                  .args = arguments,
                                  .stdio = outputs,
                                  .stdio_count = 3};
  FILE *log;

  write_settings (self);
  self->was_started = true;
  self->seen_version = 0;
  snprintf (log_path, sizeof log_path, "%s/node-%u.log", self->soak->directory,
            self->number);
  log = fopen (log_path, "a");
  EG_INVARIANT (log);
  for (int i = 1; i < 3; i++)
    outputs[i] =
        (uv_stdio_container_t){.flags = UV_INHERIT_FD, .data.fd = fileno (log)};
  self->process.data = self;
  self->exit_expected = false;
  self->sigterm_us = 0;
  self->started_us = eg_clock_now_us ();
  self->running = uv_spawn (&self->soak->loop, &self->process, &options) == 0;
  if (!self->running)
    soak_violation (self->soak, "daemon %u could not be started", self->number);
  fclose (log);
}

void
soak_node_signal (struct soak_node *self, int number)
{
  if (!self->running)
    return;
  if (number == SIGTERM && self->sigterm_us == 0)
    self->sigterm_us = eg_clock_now_us ();
  else if (number != SIGHUP)
    self->last_fault_us = eg_clock_now_us ();
  if (number == SIGTERM || number == SIGKILL)
    self->exit_expected = true;
  if (number == SIGSTOP)
    self->paused = true;
  if (number == SIGCONT)
    self->paused = false;
  uv_process_kill (&self->process, number);
}

void
soak_nodes_init (struct soak *self)
{
  for (unsigned i = 0; i < SOAK_NODES; i++)
    {
      struct soak_node *node = &self->nodes[i];

      node->soak = self;
      node->number = i;
      soak_proxy_open (&node->store_proxy, self, self->store.server.endpoint);
      node->callers_port = soak_find_free_port ();
      node->ready_port = soak_find_free_port ();
      node->peers_port = soak_find_free_port ();
      uv_timer_init (&self->loop, &node->restart_timer);
      node->restart_timer.data = node;
      soak_node_start (node);
    }
}
