#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/status.h"
#include "test/soak/soak.h"

#define PORT_LEAST 10000
#define PORTS 20000
#define RESTART_MS 200
/* Shorter than the users', so that a soak sees many whole stops. */
#define GRACE_MS 6000
#define REVOCATION_MS 5000

/** Two ends of one proxied connection. */
struct pair
{
  struct eg_list all;
  struct soak_proxy *proxy;
  struct eg_socket ends[2];
  struct side
  {
    struct pair *pair;
    int number;
  } sides[2];
  unsigned open;
  bool closing;
};

/** Bytes that are held back by a slow link. */
struct delayed
{
  uv_timer_t timer;
  struct pair *pair;
  int to;
  size_t len;
  char bytes[];
};

static void
close_pair (struct pair *pair)
{
  if (pair->closing)
    return;
  pair->closing = true;
  for (int i = 0; i < 2; i++)
    eg_socket_close (&pair->ends[i]);
}

static void
on_end_closed (void *context)
{
  struct pair *pair = ((struct side *) context)->pair;

  if (--pair->open > 0)
    return;
  eg_list_remove (&pair->all);
  free (pair);
}

static void
on_delayed_closed (uv_handle_t *handle)
{
  free (handle->data);
}

/* The pair may be gone by then: it is found by its address. */
static void
on_delayed (uv_timer_t *timer)
{
  struct delayed *delayed = timer->data;
  struct soak *soak = timer->loop->data;

  for (int n = 0; n < SOAK_NODES; n++)
    {
      struct soak_proxy *proxy = &soak->nodes[n].to_store;

      for (struct eg_list *at = proxy->pairs.next; at != &proxy->pairs;
           at = at->next)
        {
          struct pair *pair = EG_CONTAINER_OF (at, struct pair, all);

          if (pair == delayed->pair && !pair->closing)
            eg_socket_write (&pair->ends[delayed->to],
                             (struct eg_str){delayed->bytes, delayed->len});
        }
    }
  uv_close ((uv_handle_t *) timer, on_delayed_closed);
}

static void
pass_later (struct pair *pair, int to, struct eg_str bytes)
{
  struct delayed *delayed = malloc (sizeof *delayed + bytes.len);

  delayed->pair = pair;
  delayed->to = to;
  delayed->len = bytes.len;
  memcpy (delayed->bytes, bytes.data, bytes.len);
  uv_timer_init (&pair->proxy->soak->loop, &delayed->timer);
  delayed->timer.data = delayed;
  uv_timer_start (&delayed->timer, on_delayed, pair->proxy->delay_ms, 0);
}

static void
on_end_bytes (void *context, struct eg_str bytes)
{
  struct side *side = context;
  struct pair *pair = side->pair;
  int to = 1 - side->number;

  if (pair->proxy->mute && to == 0)
    return;
  if (pair->proxy->delay_ms > 0)
    pass_later (pair, to, bytes);
  else
    eg_socket_write (&pair->ends[to], bytes);
}

static void
on_end_ended (void *context, int uv_error)
{
  (void) uv_error;
  close_pair (((struct side *) context)->pair);
}

static void
on_end_connected (void *context)
{
  struct pair *pair = ((struct side *) context)->pair;

  for (int i = 0; i < 2; i++)
    if (eg_socket_read (&pair->ends[i]) != 0)
      close_pair (pair);
}

static void
on_end_drained (void *context)
{
  (void) context;
}

static const struct eg_socket_events end_events = {
    on_end_connected, on_end_bytes, on_end_ended, on_end_drained,
    on_end_closed};

static void
on_proxied (uv_stream_t *listener, int status)
{
  struct soak_proxy *proxy = listener->data;
  struct pair *pair;

  if (status != 0)
    return;
  pair = calloc (1, sizeof *pair);
  pair->proxy = proxy;
  pair->open = 2;
  for (int i = 0; i < 2; i++)
    {
      pair->sides[i] = (struct side){pair, i};
      eg_socket_init (&pair->ends[i], &proxy->soak->loop, &end_events,
                      &pair->sides[i]);
    }
  eg_list_append (&proxy->pairs, &pair->all);
  if (eg_socket_accept (&pair->ends[0], listener) != 0
      || eg_socket_connect (&pair->ends[1], proxy->target) != 0)
    close_pair (pair);
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
  eg_list_init (&self->pairs);
  uv_tcp_init (&soak->loop, &self->listener);
  self->listener.data = self;
  uv_tcp_bind (&self->listener, (struct sockaddr *) &address, 0);
  uv_listen ((uv_stream_t *) &self->listener, 64, on_proxied);
  uv_tcp_getsockname (&self->listener, (struct sockaddr *) &address, &len);
  self->endpoint =
      (struct eg_endpoint){address.sin_addr.s_addr, address.sin_port};
}

void
soak_proxy_reset (struct soak_proxy *self)
{
  for (struct eg_list *at = self->pairs.next; at != &self->pairs; at = at->next)
    close_pair (EG_CONTAINER_OF (at, struct pair, all));
}

void
soak_proxy_close (struct soak_proxy *self)
{
  uv_close ((uv_handle_t *) &self->listener, NULL);
  soak_proxy_reset (self);
}

static void
on_restart (uv_timer_t *timer)
{
  soak_node_start (timer->data);
}

static void
on_node_exit (uv_process_t *process, int64_t status, int number)
{
  struct soak_node *self = process->data;

  self->running = false;
  self->frozen = false;
  if (!self->expected_exit || (number != 0 && number != SIGKILL))
    soak_violation (self->soak,
                    "daemon %u ended by itself: status %d signal %d",
                    self->number, (int) status, number);
  if (self->term_us > 0 && number == 0
      && eg_clock_now_us () - self->term_us > (GRACE_MS + 500) * EG_US_PER_MS
      && self->harmed_us < self->term_us)
    soak_violation (self->soak, "daemon %u took too long to stop",
                    self->number);
  uv_close ((uv_handle_t *) process, NULL);
  if (!self->soak->over)
    uv_timer_start (&self->restart, on_restart, RESTART_MS, 0);
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

  snprintf (log_path, sizeof log_path, "%s/node-%u.log", self->soak->folder,
            self->number);
  log = fopen (log_path, "a");
  EG_INVARIANT (log);
  for (int i = 1; i < 3; i++)
    outputs[i] =
        (uv_stdio_container_t){.flags = UV_INHERIT_FD, .data.fd = fileno (log)};
  self->process.data = self;
  self->expected_exit = false;
  self->term_us = 0;
  self->started_us = eg_clock_now_us ();
  self->running = uv_spawn (&self->soak->loop, &self->process, &options) == 0;
  if (!self->running)
    soak_violation (self->soak, "daemon %u cannot be started", self->number);
  fclose (log);
}

void
soak_node_signal (struct soak_node *self, int number)
{
  if (!self->running)
    return;
  if (number == SIGTERM && self->term_us == 0)
    self->term_us = eg_clock_now_us ();
  else if (number != SIGHUP)
    self->harmed_us = eg_clock_now_us ();
  if (number == SIGTERM || number == SIGKILL)
    self->expected_exit = true;
  if (number == SIGSTOP)
    self->frozen = true;
  if (number == SIGCONT)
    self->frozen = false;
  uv_process_kill (&self->process, number);
}

/* Finds a port that is free now, below those that the system gives to outgoing
 * connections: one of these could take it before the daemon listens. */
static uint16_t
free_port (void)
{
  for (;;)
    {
      uint16_t port =
          (uint16_t) (PORT_LEAST + eg_random_system_seed () % PORTS);
      struct sockaddr_in address = {.sin_family = AF_INET,
                                    .sin_port = htons (port),
                                    .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
      int probe = socket (AF_INET, SOCK_STREAM, 0);
      bool is_free =
          bind (probe, (struct sockaddr *) &address, sizeof address) == 0;

      close (probe);
      if (is_free)
        return port;
    }
}

static void
write_settings (struct soak_node *self)
{
  char store[32];
  FILE *file;

  soak_address (self->to_store.endpoint, store, sizeof store);
  snprintf (self->settings_path, sizeof self->settings_path, "%s/node-%u.toml",
            self->soak->folder, self->number);
  file = fopen (self->settings_path, "w");
  EG_INVARIANT (file);
  fprintf (file,
           "[node]\nname = \"node-%u\"\nfailure_domain = \"room\"\n"
           "[listen]\ncallers = \"127.0.0.1:%u\"\n"
           "readiness = \"127.0.0.1:%u\"\npeers = \"127.0.0.1:%u\"\n"
           "[store]\naddress = \"%s\"\n"
           "[limits]\nmemory_mb = 260\ndescriptors = 4100\n"
           "[stop]\ngrace_ms = %d\n[keys]\nrevocation_ms = %d\n"
           "[retry]\nratio = 0.2\nwindow_ms = 10000\nextra = 200\n",
           self->number, self->callers_port, free_port (), free_port (), store,
           GRACE_MS, REVOCATION_MS);
  fclose (file);
}

void
soak_nodes_init (struct soak *self)
{
  for (unsigned i = 0; i < SOAK_NODES; i++)
    {
      struct soak_node *node = &self->nodes[i];

      node->soak = self;
      node->number = i;
      soak_proxy_open (&node->to_store, self, self->store.server.endpoint);
      node->callers_port = free_port ();
      uv_timer_init (&self->loop, &node->restart);
      node->restart.data = node;
      write_settings (node);
      soak_node_start (node);
    }
}
