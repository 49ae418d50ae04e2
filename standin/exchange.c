#include "standin/exchange.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#define MAX_BODY_BYTES (INT64_C (16) << 20)
#define READ_BYTES 16384

/* The lowest free descriptor is allocated first: a search can stop after this
   many unused ones in a row. */
#define MAX_UNUSED_FDS 1024

/* User data of a connection: its socket plus 1, as a pointer, or NULL while it
   has not been found. */
int
eg_server_exchange_init_connection (const struct mg_connection *conn,
                                    void **data)
{
  (void) conn;
  *data = NULL;
  return 0;
}

/* CivetWeb does not expose the socket: it is searched for by its two ports. */
static int
find_fd (const struct mg_request_info *info)
{
  struct rlimit limit;
  int consecutive_unused = 0;

  getrlimit (RLIMIT_NOFILE, &limit);
  for (int fd = 0;
       fd < (int) limit.rlim_cur && consecutive_unused < MAX_UNUSED_FDS; fd++)
    {
      struct sockaddr_in peer = {0};
      struct sockaddr_in local = {0};
      socklen_t peer_len = sizeof peer;
      socklen_t local_len = sizeof local;
      int failed = getpeername (fd, (struct sockaddr *) &peer, &peer_len);

      consecutive_unused =
          failed && errno == EBADF ? consecutive_unused + 1 : 0;
      if (!failed && ntohs (peer.sin_port) == info->remote_port
          && getsockname (fd, (struct sockaddr *) &local, &local_len) == 0
          && ntohs (local.sin_port) == info->server_port)
        return fd;
    }
  return -1;
}

static int
get_socket (struct eg_server_exchange *self)
{
  intptr_t cached = (intptr_t) mg_get_user_connection_data (self->conn);
  int fd;

  if (cached > 0)
    return (int) cached - 1;
  fd = find_fd (mg_get_request_info (self->conn));
  mg_set_user_connection_data (self->conn, (void *) (intptr_t) (fd + 1));
  return fd;
}

static bool
read_body (struct eg_server_exchange *self)
{
  char part[READ_BYTES];
  int len;

  while ((len = mg_read (self->conn, part, sizeof part)) > 0)
    {
      if ((int64_t) self->body.len + len > MAX_BODY_BYTES)
        return false;
      eg_buffer_append (&self->body, (struct eg_str){part, (size_t) len});
    }
  return true;
}

int
eg_server_exchange_run (struct mg_connection *conn,
                        void (*handle) (void *context,
                                        struct eg_server_exchange *exchange),
                        void *context)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  struct eg_server_exchange self = {.conn = conn,
                                    .method = info->request_method,
                                    .path =
                                        info->local_uri ? info->local_uri : "",
                                    .query = info->query_string,
                                    .port = info->server_port};

  if (read_body (&self))
    handle (context, &self);
  else
    eg_server_exchange_respond_error (&self, 413, "body exceeds %lld bytes",
                                      (long long) MAX_BODY_BYTES);
  if (self.status == 0)
    eg_server_exchange_abort (&self);
  if (self.failed)
    mg_disable_connection_keep_alive (conn);
  json_decref (self.json);
  eg_buffer_finish (&self.body);
  eg_buffer_finish (&self.out);
  return self.status ? self.status : 500;
}

const char *
eg_server_exchange_get_header (const struct eg_server_exchange *self,
                               const char *name)
{
  return mg_get_header (self->conn, name);
}

bool
eg_server_exchange_matches (const struct eg_server_exchange *self,
                            const char *method,
                            const char *path)
{
  return strcmp (self->method, method) == 0 && strcmp (self->path, path) == 0;
}

bool
eg_server_exchange_get_query (const struct eg_server_exchange *self,
                              const char *name,
                              char *value,
                              size_t capacity)
{
  return self->query
         && mg_get_var (self->query, strlen (self->query), name, value,
                        capacity)
                >= 0;
}

static bool
is_one_of (struct eg_str name, const char *const names[], size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (eg_str_equal (name, eg_str_from (names[i])))
      return true;
  return false;
}

bool
eg_server_exchange_check_query (struct eg_server_exchange *self,
                                const char *const names[],
                                size_t count)
{
  struct eg_str rest = eg_str_from (self->query);

  while (rest.len > 0)
    {
      struct eg_str pair = eg_str_cut (&rest, '&');
      struct eg_str name = eg_str_cut (&pair, '=');

      if (is_one_of (name, names, count))
        continue;
      eg_server_exchange_respond_error (
          self, 400, "query: unknown parameter \"%.*s\"", EG_STR_ARGS (name));
      return false;
    }
  return true;
}

bool
eg_server_exchange_parse_json (struct eg_server_exchange *self)
{
  json_error_t error;

  self->json = json_loadb (self->body.data ? self->body.data : "",
                           self->body.len, JSON_REJECT_DUPLICATES, &error);
  if (!self->json)
    eg_server_exchange_respond_error (self, 400, "body is not JSON: %s",
                                      error.text);
  return self->json != NULL;
}

static bool
flush_out (struct eg_server_exchange *self)
{
  if (!self->failed
      && mg_write (self->conn, self->out.data, self->out.len)
             != (int) self->out.len)
    self->failed = true;
  return !self->failed;
}

void
eg_server_exchange_respond (struct eg_server_exchange *self,
                            int status,
                            const char *type,
                            struct eg_str body,
                            const char *headers)
{
  bool has_body = status != 204;

  self->status = status;
  eg_buffer_clear (&self->out);
  eg_buffer_printf (&self->out, "HTTP/1.1 %d %s\r\n%s", status,
                    mg_get_response_code_text (self->conn, status), headers);
  if (has_body)
    eg_buffer_printf (&self->out, "Content-Type: %s\r\nContent-Length: %zu\r\n",
                      type, body.len);
  eg_buffer_append (&self->out, EG_STR ("\r\n"));
  if (has_body && strcmp (self->method, "HEAD") != 0)
    eg_buffer_append (&self->out, body);
  flush_out (self);
}

void
eg_server_exchange_respond_json (struct eg_server_exchange *self,
                                 int status,
                                 json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  EG_INVARIANT (text != NULL);
  eg_server_exchange_respond (self, status, "application/json",
                              eg_str_from (text), "");
  free (text);
  json_decref (value);
}

void
eg_server_exchange_respond_error (struct eg_server_exchange *self,
                                  int status,
                                  const char *format,
                                  ...)
{
  char message[EG_ERROR_MESSAGE_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  for (char *c = message; *c; c++) /* Truncation may split a character. */
    if ((unsigned char) *c >= 0x80)
      *c = '?';
  eg_server_exchange_respond_json (self, status,
                                   json_pack ("{s:s}", "error", message));
}

void
eg_server_exchange_begin_chunked (struct eg_server_exchange *self,
                                  const char *type)
{
  self->status = 200;
  eg_buffer_clear (&self->out);
  eg_buffer_printf (&self->out,
                    "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
                    "Cache-Control: no-store\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    type);
  flush_out (self);
}

bool
eg_server_exchange_send_chunk (struct eg_server_exchange *self,
                               struct eg_str part)
{
  if (part.len == 0)
    return !self->failed;
  eg_buffer_clear (&self->out);
  eg_buffer_printf (&self->out, "%zx\r\n", part.len);
  eg_buffer_append (&self->out, part);
  eg_buffer_append (&self->out, EG_STR ("\r\n"));
  return flush_out (self);
}

void
eg_server_exchange_end_chunked (struct eg_server_exchange *self)
{
  eg_buffer_clear (&self->out);
  eg_buffer_append (&self->out, EG_STR ("0\r\n\r\n"));
  flush_out (self);
}

void
eg_server_exchange_abort (struct eg_server_exchange *self)
{
  int fd = get_socket (self);

  if (fd >= 0)
    shutdown (fd, SHUT_RDWR);
  self->failed = true;
}

bool
eg_server_exchange_is_disconnected (struct eg_server_exchange *self)
{
  struct pollfd pollfd = {.fd = get_socket (self), .events = POLLRDHUP};

  if (self->failed || pollfd.fd < 0)
    return true;
  if (poll (&pollfd, 1, 0) > 0)
    self->failed = true;
  return self->failed;
}
