#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define RECORD_LINE_MAX 1024

static FILE *record;
static char folder[256];
static bool has_trouble;
static int64_t started_us;
static pid_t children[32];
static size_t child_count;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
clock_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * RIG_US_PER_S + now.tv_nsec / 1000;
}

void
rig_adopt (pid_t process)
{
  children[child_count++] = process;
}

int64_t
rig_now_us (void)
{
  return clock_us () - started_us;
}

void
rig_sleep_us (int64_t us)
{
  struct timespec wait = {us / RIG_US_PER_S, us % RIG_US_PER_S * 1000};

  if (us > 0)
    nanosleep (&wait, NULL);
}

void
rig_sleep_until (int64_t at_us)
{
  rig_sleep_us (at_us - rig_now_us ());
}

/* Ends the processes that were started; safe in a signal handler. */
static void
kill_children (void)
{
  for (size_t i = 0; i < child_count; i++)
    if (children[i] > 0)
      {
        kill (children[i], SIGCONT);
        kill (children[i], SIGKILL);
        waitpid (children[i], NULL, 0);
      }
}

static void
on_signal (int number)
{
  (void) number;
  kill_children ();
  _exit (RIG_NOT_RUN);
}

void
rig_begin (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");

  if (argc < 3)
    {
      fprintf (stderr, "usage: %s RECORD FOLDER\n", argv[0]);
      exit (RIG_NOT_RUN);
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  started_us = clock_us ();
  has_trouble = !trouble || strcmp (trouble, "0") != 0;
  snprintf (folder, sizeof folder, "%s", argv[2]);
  record = fopen (argv[1], "w");
  if (!record)
    {
      perror (argv[1]);
      exit (RIG_NOT_RUN);
    }
  rig_note ("trouble=%d", has_trouble);
}

bool
rig_has_trouble (void)
{
  return has_trouble;
}

void
rig_note (const char *format, ...)
{
  char line[RECORD_LINE_MAX];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (line, sizeof line, format, arguments);
  va_end (arguments);
  pthread_mutex_lock (&record_lock);
  fprintf (record, "%9.3f %s\n", (double) rig_now_us () / RIG_US_PER_S, line);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
rig_end (enum rig_verdict verdict)
{
  static const char *const names[] = {"held", "broken", "not run"};

  rig_note ("verdict: %s", names[verdict]);
  kill_children ();
  printf ("%s\n", names[verdict]);
  fflush (NULL);
  _exit ((int) verdict);
}

static struct sockaddr_in
make_address (const char *ip, uint16_t port)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_port = htons (port)};

  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static int
open_listener (const char *ip, uint16_t *port)
{
  struct sockaddr_in address = make_address (ip, *port);
  socklen_t len = sizeof address;
  int one = 1;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener, (struct sockaddr *) &address, sizeof address) != 0
      || listen (listener, 256) != 0)
    {
      close (listener);
      return -1;
    }
  getsockname (listener, (struct sockaddr *) &address, &len);
  *port = ntohs (address.sin_port);
  return listener;
}

uint16_t
rig_free_port (const char *ip)
{
  uint16_t port = 0;
  int listener = open_listener (ip, &port);

  if (listener < 0)
    rig_end (RIG_NOT_RUN);
  close (listener);
  return port;
}

void
rig_message_finish (struct rig_message *self)
{
  free (self->body);
  self->body = NULL;
}

bool
rig_field (const struct rig_message *self,
           const char *name,
           char *value,
           size_t capacity)
{
  size_t name_len = strlen (name);

  for (const char *line = strstr (self->head, "\r\n"); line && line[2];
       line = strstr (line + 2, "\r\n"))
    {
      const char *at = line + 2;
      size_t len;

      if (strncasecmp (at, name, name_len) != 0 || at[name_len] != ':')
        continue;
      at += name_len + 1;
      at += strspn (at, " \t");
      len = strcspn (at, "\r");
      if (len >= capacity)
        len = capacity - 1;
      memcpy (value, at, len);
      value[len] = '\0';
      return true;
    }
  return false;
}

bool
rig_send (int socket, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (socket, bytes, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      bytes += sent;
      len -= (size_t) sent;
    }
  return true;
}

bool
rig_respond (int socket, unsigned status, const char *fields, const char *body)
{
  size_t size = strlen (fields) + strlen (body) + 128;
  char *text = malloc (size);
  int len =
      snprintf (text, size, "HTTP/1.1 %u X\r\nContent-Length: %zu\r\n%s\r\n%s",
                status, strlen (body), fields, body);
  bool sent = rig_send (socket, text, (size_t) len);

  free (text);
  return sent;
}

/* Reads up to @p len bytes; false if the connection ended before. */
static bool
read_exactly (int socket, char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t got = recv (socket, bytes, len, 0);

      if (got <= 0)
        return false;
      bytes += got;
      len -= (size_t) got;
    }
  return true;
}

/* Reads up to the end of a line or of a head. */
static bool
read_until (int socket, char *text, size_t capacity, const char *end)
{
  size_t end_len = strlen (end);
  size_t len = 0;

  while (len + 1 < capacity)
    {
      if (recv (socket, text + len, 1, 0) <= 0)
        return false;
      text[++len] = '\0';
      if (len >= end_len && strcmp (text + len - end_len, end) == 0)
        return true;
    }
  return false;
}

static void
append_body (struct rig_message *self, const char *bytes, size_t len)
{
  self->body = realloc (self->body, self->body_len + len + 1);
  if (len > 0)
    memcpy (self->body + self->body_len, bytes, len);
  self->body_len += len;
  self->body[self->body_len] = '\0';
}

static bool
read_chunks (int socket, struct rig_message *self)
{
  char line[64];
  char piece[65536];

  while (read_until (socket, line, sizeof line, "\r\n"))
    {
      size_t len = strtoul (line, NULL, 16);

      if (len == 0)
        return read_until (socket, line, sizeof line, "\r\n");
      while (len > 0)
        {
          size_t part = len < sizeof piece ? len : sizeof piece;

          if (!read_exactly (socket, piece, part))
            return false;
          append_body (self, piece, part);
          len -= part;
        }
      if (!read_until (socket, line, sizeof line, "\r\n"))
        return false;
    }
  return false;
}

/* Reads a message; false if nothing, or an incomplete head, has come. */
static bool
read_message (int socket, struct rig_message *self, bool is_response)
{
  char value[64];

  memset (self, 0, sizeof *self);
  append_body (self, "", 0);
  if (!read_until (socket, self->head, sizeof self->head, "\r\n\r\n"))
    return false;
  if (is_response)
    sscanf (self->head, "HTTP/1.1 %u", &self->status);
  else
    sscanf (self->head, "%15s %1023s", self->method, self->target);
  if (rig_field (self, "transfer-encoding", value, sizeof value))
    self->complete = read_chunks (socket, self);
  else if (rig_field (self, "content-length", value, sizeof value))
    {
      size_t len = strtoul (value, NULL, 10);
      char *bytes = malloc (len + 1);

      self->complete = read_exactly (socket, bytes, len);
      if (self->complete)
        append_body (self, bytes, len);
      free (bytes);
    }
  else
    self->complete = true;
  return true;
}

struct connection
{
  struct rig_server *server;
  int socket;
  size_t slot;
};

static void *
serve_connection (void *context)
{
  struct connection *self = context;
  struct rig_message request;
  bool goes_on = true;

  while (goes_on && read_message (self->socket, &request, false))
    {
      goes_on = request.complete
                && self->server->handle (self->server->context, &request,
                                         self->socket);
      rig_message_finish (&request);
    }
  if (!goes_on)
    rig_message_finish (&request);
  pthread_mutex_lock (&self->server->lock);
  self->server->sockets[self->slot] = -1;
  close (self->socket);
  pthread_mutex_unlock (&self->server->lock);
  free (self);
  return NULL;
}

static void
start_thread (void *(*run) (void *context), void *context)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 512U << 10);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    rig_end (RIG_NOT_RUN);
  pthread_attr_destroy (&attributes);
}

static void *
accept_connections (void *context)
{
  struct rig_server *self = context;
  int listener = self->listener;
  int socket;

  while ((socket = accept (listener, NULL, NULL)) >= 0)
    {
      struct connection *connection = calloc (1, sizeof *connection);
      int one = 1;

      fcntl (socket, F_SETFD, FD_CLOEXEC);
      setsockopt (socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      connection->server = self;
      connection->socket = socket;
      pthread_mutex_lock (&self->lock);
      while (connection->slot < 511 && self->sockets[connection->slot] >= 0)
        connection->slot++;
      self->sockets[connection->slot] = socket;
      pthread_mutex_unlock (&self->lock);
      start_thread (serve_connection, connection);
    }
  return NULL;
}

void
rig_server_start (struct rig_server *self,
                  const char *ip,
                  uint16_t port,
                  rig_handler handle,
                  void *context)
{
  if (ip != self->ip)
    snprintf (self->ip, sizeof self->ip, "%s", ip);
  self->port = port;
  self->handle = handle;
  self->context = context;
  pthread_mutex_init (&self->lock, NULL);
  for (size_t i = 0; i < 512; i++)
    self->sockets[i] = -1;
  self->listener = open_listener (ip, &self->port);
  if (self->listener < 0)
    rig_end (RIG_NOT_RUN);
  start_thread (accept_connections, self);
}

void
rig_server_reset (struct rig_server *self)
{
  struct linger reset = {1, 0};

  pthread_mutex_lock (&self->lock);
  for (size_t i = 0; i < 512; i++)
    if (self->sockets[i] >= 0)
      {
        setsockopt (self->sockets[i], SOL_SOCKET, SO_LINGER, &reset,
                    sizeof reset);
        shutdown (self->sockets[i], SHUT_RDWR);
      }
  pthread_mutex_unlock (&self->lock);
}

void
rig_server_stop (struct rig_server *self)
{
  shutdown (self->listener, SHUT_RDWR);
  close (self->listener);
  rig_server_reset (self);
}

/* Connects within the time given; a negative number if it fails. */
static int
connect_to (const char *ip, uint16_t port, int64_t timeout_us)
{
  struct sockaddr_in address = make_address (ip, port);
  struct timeval limit = {timeout_us / RIG_US_PER_S, timeout_us % RIG_US_PER_S};
  int one = 1;
  int connected = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (connected, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (connected, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (connected, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (connected, (struct sockaddr *) &address, sizeof address) == 0)
    return connected;
  close (connected);
  return -1;
}

bool
rig_call (const char *ip,
          uint16_t port,
          const char *head,
          const char *body,
          int64_t timeout_us,
          struct rig_message *response)
{
  int socket = connect_to (ip, port, timeout_us);
  bool answered;

  memset (response, 0, sizeof *response);
  if (socket < 0)
    return false;
  answered = rig_send (socket, head, strlen (head))
             && rig_send (socket, body, strlen (body))
             && read_message (socket, response, true);
  close (socket);
  return answered;
}

static void
write_settings (const struct rig_node *self, const char *path)
{
  FILE *file = fopen (path, "w");

  if (!file)
    rig_end (RIG_NOT_RUN);
  fprintf (file,
           "[node]\nname = \"%s\"\nfailure_domain = \"%s\"\n"
           "first_start = %s\n\n"
           "[listen]\ncallers = \"%s:%u\"\nreadiness = \"%s:%u\"\n"
           "peers = \"%s:%u\"\n\n[store]\naddress = \"%s:%u\"\n\n"
           "[limits]\nmemory_mb = 260\ndescriptors = 4100\n"
           "link_mbps = 1000.0\ncpu_share = 0.25\n\n[stop]\ngrace_s = 8\n\n"
           "[keys]\nrevocation_bounded = true\nrevocation_ms = 5000\n\n"
           "[retry]\nratio = 0.2\nwindow_s = 10\nextra = 202\n\n"
           "[engines]\nstall_ms = 2000\nfenced = false\n",
           self->name, self->zone, self->was_started ? "false" : "true",
           self->ip, self->callers_port, self->ip, self->ready_port, self->ip,
           self->peers_port, self->store_ip, self->store_port);
  fclose (file);
}

void
rig_node_init (struct rig_node *self,
               const char *name,
               const char *zone,
               const char *ip,
               const struct rig_store *store)
{
  memset (self, 0, sizeof *self);
  snprintf (self->name, sizeof self->name, "%s", name);
  snprintf (self->zone, sizeof self->zone, "%s", zone);
  snprintf (self->ip, sizeof self->ip, "%s", ip);
  snprintf (self->store_ip, sizeof self->store_ip, "%s", store->server.ip);
  self->store_port = store->server.port;
  self->callers_port = rig_free_port (ip);
  self->ready_port = rig_free_port (ip);
  self->peers_port = rig_free_port (ip);
}

void
rig_node_start (struct rig_node *self)
{
  char settings[400];
  char log[400];

  snprintf (settings, sizeof settings, "%s/%s.toml", folder, self->name);
  snprintf (log, sizeof log, "%s/%s.log", folder, self->name);
  write_settings (self, settings);
  self->was_started = true;
  self->pid = fork ();
  if (self->pid < 0)
    rig_end (RIG_NOT_RUN);
  if (self->pid == 0)
    {
      int output = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      dup2 (output, 1);
      dup2 (output, 2);
      setenv ("EELGRASSWOOD_SETTINGS", settings, 1);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      execl ("target/entry/eelgrass-entry", "target/entry/eelgrass-entry",
             (char *) NULL);
      _exit (127);
    }
  rig_adopt (self->pid);
  rig_note ("started %s pid=%d callers=%s:%u", self->name, (int) self->pid,
            self->ip, self->callers_port);
}

void
rig_node_signal (struct rig_node *self, int number)
{
  rig_note ("signal %d to %s", number, self->name);
  kill (self->pid, number);
}

void
rig_node_kill (struct rig_node *self)
{
  rig_node_signal (self, SIGKILL);
  waitpid (self->pid, NULL, 0);
  for (size_t i = 0; i < child_count; i++)
    if (children[i] == self->pid)
      children[i] = 0;
}

static bool
is_ready (const struct rig_node *node)
{
  struct rig_message response;
  bool ready = rig_call (node->ip, node->ready_port,
                         "GET /eelgrasswood/readyz HTTP/1.1\r\n"
                         "Host: ready\r\nConnection: close\r\n\r\n",
                         "", RIG_US_PER_S, &response)
               && response.status == 200;

  rig_message_finish (&response);
  return ready;
}

bool
rig_nodes_wait (struct rig_node *nodes, size_t count, int64_t timeout_us)
{
  int64_t end_us = rig_now_us () + timeout_us;
  size_t ready = 0;

  while (ready < count && rig_now_us () < end_us)
    if (is_ready (&nodes[ready]))
      ready++;
    else
      rig_sleep_us (50 * RIG_US_PER_MS);
  rig_note ("%zu of %zu daemons are ready", ready, count);
  return ready == count;
}
