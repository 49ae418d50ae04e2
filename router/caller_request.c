#include "router/caller_request.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "http/client.h"
#include "http/json.h"

#define DEADLINE_MAX_MS INT64_C (86400000)
#define BODY_CHUNK_BYTES 4096
#define DEFAULT_MAX_TOKENS 256

static const char services_prefix[] = "/services/";

/* Sets the refusal; always returns false, so that a check can return its
   result. */
static bool
refuse (struct eg_problem *problem,
        struct eg_error *error,
        enum eg_refusal refusal,
        const char *detail)
{
  problem->refusal = refusal;
  problem->ran = EG_RAN_NO;
  if (detail)
    eg_error_set (error, EG_INVALID, "%s", detail);
  return false;
}

/* Header values are copied into log fields and outgoing headers, so characters
   that need quoting are rejected. */
static bool
is_plain_text (const char *text)
{
  for (; *text; text++)
    if ((unsigned char) *text <= ' ' || (unsigned char) *text >= 0x7f
        || *text == '"' || *text == '\\')
      return false;
  return true;
}

struct header_row
{
  const char *name;
  size_t offset;
  size_t capacity;
  bool token; /* Must be non-empty and pass is_plain_text(). */
};

#define HEADER(name, field, token)                                             \
  {                                                                            \
    name, offsetof (struct eg_call, field),                                    \
        sizeof (((struct eg_call *) NULL)->field), token                       \
  }

static const struct header_row header_rows[] = {
    HEADER ("X-Request-Id", request_id, true),
    HEADER ("X-Organisation", organisation, true),
    HEADER ("Idempotency-Key", key, true),
    HEADER ("X-Ticket", ticket, true),
    HEADER ("Content-Type", content_type, false),
};

static bool
copy_headers (struct mg_connection *connection,
              struct eg_call *call,
              struct eg_problem *problem,
              struct eg_error *error)
{
  for (size_t i = 0; i < sizeof header_rows / sizeof header_rows[0]; i++)
    {
      const struct header_row *row = &header_rows[i];
      const char *value = mg_get_header (connection, row->name);
      char *field = (char *) call + row->offset;

      if (!value)
        continue;
      if (!eg_str_copy (eg_str_from (value), field, row->capacity)
          || (row->token && (!*field || !is_plain_text (field))))
        {
          *field = '\0';
          eg_error_set (error, EG_INVALID,
                        "header %s: expected 1 to %zu printable characters "
                        "without blanks, quotes or backslashes",
                        row->name, row->capacity - 1);
          return refuse (problem, error, EG_REFUSAL_MALFORMED, NULL);
        }
    }
  return true;
}

static bool
read_deadline (struct mg_connection *connection,
               struct eg_call *call,
               struct eg_problem *problem,
               struct eg_error *error)
{
  const char *value = mg_get_header (connection, "X-Deadline-Ms");
  int64_t budget_ms = 0;

  if (value
      && (!eg_str_to_int64 (eg_str_from (value), &budget_ms) || budget_ms < 1
          || budget_ms > DEADLINE_MAX_MS))
    return refuse (problem, error, EG_REFUSAL_MALFORMED,
                   "header X-Deadline-Ms: expected 1 to 86400000");
  call->budget_us = budget_ms * EG_US_PER_MS;
  return true;
}

static bool
read_headers (struct mg_connection *connection,
              const struct eg_router_settings *settings,
              struct eg_call *call,
              struct eg_problem *problem,
              struct eg_error *error)
{
  const char *class_name = mg_get_header (connection, "X-Class");

  call->arrived_us = eg_clock_now_us ();
  if (!copy_headers (connection, call, problem, error)
      || !read_deadline (connection, call, problem, error))
    return false;
  if (!*call->request_id)
    snprintf (call->request_id, sizeof call->request_id, "%s-%" PRIx64,
              settings->name, call->id);
  if (*call->key && *call->ticket)
    return refuse (problem, error, EG_REFUSAL_MALFORMED,
                   "give Idempotency-Key or X-Ticket, not both");
  if (!*call->organisation)
    return refuse (problem, error, EG_REFUSAL_NO_ORGANISATION,
                   "header X-Organisation is missing");
  if (!eg_str_copy (eg_str_from (class_name), call->class_name,
                    sizeof call->class_name))
    return refuse (problem, error, EG_REFUSAL_MALFORMED,
                   "header X-Class: no such class");
  return true;
}

static bool
read_body (struct mg_connection *connection,
           const struct eg_router_settings *settings,
           struct eg_call *call,
           struct eg_problem *problem,
           struct eg_error *error)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  char chunk[BODY_CHUNK_BYTES];
  int len;

  if (info->content_length > settings->body_max)
    return refuse (problem, error, EG_REFUSAL_TOO_LARGE,
                   "the body is longer than this entry VM takes");
  while ((len = mg_read (connection, chunk, sizeof chunk)) > 0)
    {
      eg_buffer_append (&call->body, (struct eg_str){chunk, (size_t) len});
      if (call->body.len > (size_t) settings->body_max)
        return refuse (problem, error, EG_REFUSAL_TOO_LARGE,
                       "the body is longer than this entry VM takes");
    }
  if (len < 0
      || (info->content_length >= 0
          && call->body.len != (size_t) info->content_length))
    return refuse (problem, error, EG_REFUSAL_MALFORMED,
                   "the body ended before its stated length");
  return true;
}

static bool
parse_completion (const struct eg_router_settings *settings,
                  struct eg_call *call,
                  struct eg_error *error)
{
  struct eg_str prompt = {0};
  const struct eg_json_member members[] = {
      {"model", EG_JSON_TEXT, true, call->target, sizeof call->target},
      {"prompt", EG_JSON_VIEW, true, &prompt, 0},
      {"max_tokens", EG_JSON_INTEGER, false, &call->max_tokens, 0},
      {"stream", EG_JSON_BOOLEAN, false, &call->stream, 0},
  };
  json_t *object = eg_json_parse (eg_buffer_view (&call->body), error);
  enum eg_status status = EG_INVALID;

  if (!object)
    goto out;
  call->max_tokens = settings->tokens_max < DEFAULT_MAX_TOKENS
                         ? settings->tokens_max
                         : DEFAULT_MAX_TOKENS;
  status =
      eg_json_read (object, members, sizeof members / sizeof members[0], error);
  if (status != EG_OK)
    goto out;
  eg_buffer_append (&call->prompt, prompt);
  if (call->max_tokens < 1 || call->max_tokens > settings->tokens_max)
    status = eg_error_set (error, EG_INVALID,
                           "field 'max_tokens': expected 1 to %" PRId64,
                           settings->tokens_max);
out:
  json_decref (object);
  return status == EG_OK;
}

bool
eg_caller_read_completion (struct mg_connection *connection,
                           const struct eg_router_settings *settings,
                           struct eg_call *call,
                           struct eg_problem *problem,
                           struct eg_error *error)
{
  const struct mg_request_info *info = mg_get_request_info (connection);

  call->kind = EG_CALL_COMPLETION;
  if (!read_headers (connection, settings, call, problem, error)
      || !read_body (connection, settings, call, problem, error))
    return false;
  if (strcmp (info->request_method, "POST") != 0)
    return refuse (problem, error, EG_REFUSAL_MALFORMED,
                   "completions take the method POST");
  if (!parse_completion (settings, call, error))
    return refuse (problem, error, EG_REFUSAL_MALFORMED, NULL);
  return true;
}

static bool
read_service_path (const struct mg_request_info *info, struct eg_call *call)
{
  struct eg_str path = eg_str_from (info->request_uri);
  struct eg_str name;

  path.data += sizeof services_prefix - 1;
  path.len -= sizeof services_prefix - 1;
  name = eg_str_cut (&path, '/');
  if (name.len == 0 || !eg_str_copy (name, call->target, sizeof call->target))
    return false;
  eg_buffer_printf (&call->path, "/%.*s", EG_STR_ARGS (path));
  if (info->query_string)
    eg_buffer_printf (&call->path, "?%s", info->query_string);
  return true;
}

bool
eg_caller_read_service (struct mg_connection *connection,
                        const struct eg_router_settings *settings,
                        struct eg_call *call,
                        struct eg_problem *problem,
                        struct eg_error *error)
{
  const struct mg_request_info *info = mg_get_request_info (connection);

  call->kind = EG_CALL_SERVICE;
  if (!read_headers (connection, settings, call, problem, error)
      || !read_body (connection, settings, call, problem, error))
    return false;
  if (!eg_str_copy (eg_str_from (info->request_method), call->method,
                    sizeof call->method))
    return refuse (problem, error, EG_REFUSAL_MALFORMED, "unknown method");
  if (!read_service_path (info, call))
    return refuse (problem, error, EG_REFUSAL_UNKNOWN_SERVICE,
                   "expected /services/NAME/PATH");
  if (call->path.len > EG_HTTP_TARGET_MAX)
    return refuse (problem, error, EG_REFUSAL_TOO_LARGE,
                   "path and query are longer than this entry VM passes on");
  return true;
}

bool
eg_caller_read_ticket (struct mg_connection *connection,
                       const struct eg_router_settings *settings,
                       struct eg_call *call,
                       struct eg_problem *problem,
                       struct eg_error *error)
{
  const struct mg_request_info *info = mg_get_request_info (connection);

  call->kind = EG_CALL_TICKET;
  if (!read_headers (connection, settings, call, problem, error)
      || !read_body (connection, settings, call, problem, error))
    return false;
  if (strcmp (info->request_method, "POST") != 0)
    return refuse (problem, error, EG_REFUSAL_MALFORMED,
                   "tickets take the method POST");
  if (call->body.len > 0)
    return refuse (problem, error, EG_REFUSAL_MALFORMED,
                   "a ticket is asked for without a body");
  return true;
}
