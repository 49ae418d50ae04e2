#include "router/operators.h"

#include <civetweb.h>
#include <stdlib.h>
#include <string.h>

#include "router/operators_nodes.h"
#include "router/operators_page.h"
#include "router/operators_rules.h"
#include "router/operators_status.h"

/* Leaves threads for metrics scrapers while edits wait for the store. */
#define LISTENER_THREADS "16"
#define BODY_CHUNK_BYTES 4096
/* JSON escapes may make the text of the rules longer. */
#define BODY_BYTES_MAX (2 * EG_RULES_BYTES_MAX)

struct eg_operators
{
  struct eg_operators_deps deps;
  struct mg_context *server;
};

struct route
{
  const char *method;
  const char *path;
  bool is_public; /* Accessible without a token. */
  eg_operators_handler *handle;
};

static const struct route routes[] = {
    {"GET", "/", true, eg_operators_get_page},
    {"GET", "/metrics", true, eg_operators_get_metrics},
    {"GET", "/version", true, eg_operators_get_version},
    {"GET", "/status", false, eg_operators_get_status},
    {"GET", "/nodes", false, eg_operators_get_nodes},
    {"GET", "/servers", false, eg_operators_get_servers},
    {"GET", "/rules", false, eg_operators_get_rules},
    {"POST", "/rules", false, eg_operators_edit_rules},
    {"POST", "/rules/check", false, eg_operators_check_rules},
    {"POST", "/drain", false, eg_operators_drain},
};

static const struct route *
find_route (const struct mg_request_info *info,
            struct eg_operators_answer *answer)
{
  bool path_exists = false;

  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    if (strcmp (routes[i].path, info->local_uri) == 0)
      {
        if (strcmp (routes[i].method, info->request_method) == 0)
          return &routes[i];
        path_exists = true;
      }
  if (path_exists)
    eg_operators_set_error (answer, 405, "method",
                            "the path has other methods");
  else
    eg_operators_set_error (answer, 404, "unknown-path",
                            "there is no such path");
  return NULL;
}

/* Compares in constant time for a given length of @p presented, so that timing
   reveals nothing about the token. */
static bool
tokens_equal (struct eg_str presented, struct eg_str token)
{
  unsigned difference = presented.len != token.len;

  for (size_t i = 0; i < presented.len; i++)
    difference |= (unsigned char) presented.data[i]
                  ^ (unsigned char) token.data[token.len ? i % token.len : 0];
  return difference == 0;
}

static bool
is_authorized (const struct eg_operators *self,
               struct mg_connection *connection,
               struct eg_operators_answer *answer)
{
  struct eg_str scheme = EG_STR ("Bearer ");
  struct eg_str token = eg_str_from (self->deps.settings->operators_token);
  struct eg_str presented =
      eg_str_from (mg_get_header (connection, "Authorization"));

  if (token.len == 0)
    {
      eg_operators_set_error (
          answer, 403, "no-token-set",
          "the settings of this entry VM have no operators.token, so it "
          "takes no commands");
      return false;
    }
  if (eg_str_starts_with (presented, scheme))
    {
      presented.data += scheme.len;
      presented.len -= scheme.len;
      if (tokens_equal (presented, token))
        return true;
    }
  eg_operators_set_error (
      answer, 401, "token",
      "expected 'Authorization: Bearer TOKEN' with the token of "
      "the operators");
  return false;
}

static bool
read_body (struct mg_connection *connection,
           struct eg_buffer *body,
           struct eg_operators_answer *answer)
{
  long long expected_len = mg_get_request_info (connection)->content_length;
  char chunk[BODY_CHUNK_BYTES];
  int len = 0;

  if (expected_len <= (long long) BODY_BYTES_MAX)
    while (body->len <= BODY_BYTES_MAX
           && (len = mg_read (connection, chunk, sizeof chunk)) > 0)
      eg_buffer_append (body, (struct eg_str){chunk, (size_t) len});
  if (expected_len > (long long) BODY_BYTES_MAX || body->len > BODY_BYTES_MAX)
    {
      eg_operators_set_error (answer, 413, "too-large", "the body is too long");
      return false;
    }
  if (len < 0 || (expected_len >= 0 && body->len != (size_t) expected_len))
    {
      eg_operators_set_error (answer, 400, "malformed",
                              "the body ended before its stated length");
      return false;
    }
  return true;
}

static void
send_answer (struct mg_connection *connection,
             struct eg_operators_answer *answer)
{
  int status = answer->status ? answer->status : 200;

  /* After an error the body may be partly unread; the connection is closed so
     that the rest is not parsed as the next request. */
  mg_printf (connection,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "Cache-Control: no-store\r\nX-Content-Type-Options: nosniff\r\n"
             "%s\r\n",
             status, mg_get_response_code_text (connection, status),
             answer->content_type ? answer->content_type : "application/json",
             answer->body.len, status < 400 ? "" : "Connection: close\r\n");
  mg_write (connection, eg_buffer_text (&answer->body), answer->body.len);
}

static int
handle_request (struct mg_connection *connection, void *context)
{
  const struct eg_operators *self = context;
  struct eg_operators_answer answer = {0};
  struct eg_buffer body = {0};
  const struct route *route =
      find_route (mg_get_request_info (connection), &answer);

  if (route && (route->is_public || is_authorized (self, connection, &answer))
      && read_body (connection, &body, &answer))
    route->handle (&self->deps, eg_buffer_view (&body), &answer);
  send_answer (connection, &answer);
  eg_buffer_finish (&body);
  eg_buffer_finish (&answer.body);
  return answer.status ? answer.status : 200;
}

struct eg_operators *
eg_operators_new (const struct eg_router_settings *settings,
                  struct eg_decision *decision,
                  struct eg_error *error)
{
  struct eg_operators *self = calloc (1, sizeof *self);
  const struct mg_callbacks callbacks = {0};
  const char *options[] = {
      "listening_ports",
      settings->listen_operators,
      "num_threads",
      LISTENER_THREADS,
      NULL,
  };

  EG_INVARIANT (self != NULL);
  self->deps = (struct eg_operators_deps){settings, decision};
  self->server = mg_start (&callbacks, self, options);
  if (!self->server)
    {
      eg_error_set (error, EG_SYSTEM, "listen.operators: cannot listen on %s",
                    settings->listen_operators);
      free (self);
      return NULL;
    }
  mg_set_request_handler (self->server, "/", handle_request, self);
  return self;
}

void
eg_operators_free (struct eg_operators *self)
{
  if (!self)
    return;
  mg_stop (self->server);
  free (self);
}
