#include "entry/explain_query.h"

#include <inttypes.h>
#include <string.h>

#include "net/percent.h"

/** Types of parameters, with the type of their target. */
enum kind
{
  KIND_HOST,   /**< struct eg_str, not empty. */
  KIND_PATH,   /**< struct eg_str that begins with a slash. */
  KIND_NAME,   /**< struct eg_str, not empty. */
  KIND_COUNT,  /**< uint32_t. */
  KIND_TIMEOUT /**< int64_t. */
};

/** A parameter of the query. */
struct parameter
{
  struct eg_str name;
  void *target;
  enum kind kind;
  bool seen;
};

bool
eg_explain_is_target (struct eg_str target)
{
  return eg_str_equal (eg_str_cut (&target, '?'), EG_STR ("/explain"));
}

/* Decodes a value into @p out, whose memory is large enough for all values, so
 * that earlier ones stay valid; false if it is not valid. */
static bool
decode (struct eg_str text, struct eg_buffer *out, struct eg_str *decoded)
{
  size_t start = out->len;

  if (!eg_percent_decode (text, out))
    return false;
  *decoded = (struct eg_str){out->data + start, out->len - start};
  return true;
}

/* Returns whether a request line or a Host field can contain the text. */
static bool
is_visible (struct eg_str text)
{
  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char) text.data[i] <= ' ' || text.data[i] == 0x7f)
      return false;
  return text.len > 0;
}

static bool
set_number (const struct parameter *parameter, struct eg_str value)
{
  int64_t number;

  if (!eg_str_to_int64 (value, &number) || number < 0 || number > UINT32_MAX)
    return false;
  if (parameter->kind == KIND_COUNT)
    *(uint32_t *) parameter->target = (uint32_t) number;
  else
    *(int64_t *) parameter->target = number;
  return true;
}

/* Sets the target of a parameter; returns what is expected if the value is not
 * valid, else NULL. */
static const char *
set_value (const struct parameter *parameter, struct eg_str value)
{
  switch (parameter->kind)
    {
    case KIND_COUNT:
    case KIND_TIMEOUT:
      return set_number (parameter, value) ? NULL
                                           : "a whole number up to 4294967295";
    case KIND_PATH:
      if (!is_visible (value) || value.data[0] != '/')
        return "a path that begins with / and has no spaces";
      break;
    case KIND_HOST:
      if (!is_visible (value))
        return "a host name";
      break;
    case KIND_NAME:
      if (value.len == 0)
        return "a name";
      break;
    }
  *(struct eg_str *) parameter->target = value;
  return NULL;
}

static bool
read_pair (struct eg_explain_query *self,
           struct parameter *parameters,
           size_t count,
           struct eg_str pair,
           struct eg_error *error)
{
  struct eg_str name = eg_str_cut (&pair, '=');
  struct eg_str value;
  const char *expected;
  size_t at = 0;

  while (at < count && !eg_str_equal (parameters[at].name, name))
    at++;
  if (at == count || parameters[at].seen)
    {
      eg_error_set (error, EG_INVALID, "%s parameter: %.*s",
                    at == count ? "unknown" : "repeated",
                    EG_STR_START_ARGS (name));
      return false;
    }
  parameters[at].seen = true;
  if (!decode (pair, &self->text, &value))
    {
      eg_error_set (error, EG_INVALID, "%.*s: invalid percent-encoding: %.*s",
                    EG_STR_ARGS (name), EG_STR_START_ARGS (pair));
      return false;
    }
  expected = set_value (&parameters[at], value);
  if (expected)
    eg_error_set (error, EG_INVALID, "%.*s: expected %s, not \"%.*s\"",
                  EG_STR_ARGS (name), expected, EG_STR_START_ARGS (pair));
  return !expected;
}

/* Takes the memory for decoded text at once. */
static void
reserve (struct eg_buffer *buffer, struct eg_str query)
{
  eg_buffer_append (buffer, query);
  eg_buffer_clear (buffer);
}

bool
eg_explain_query_parse (struct eg_explain_query *self,
                        struct eg_str target,
                        struct eg_error *error)
{
  struct parameter parameters[] = {
      {EG_STR ("host"), &self->host, KIND_HOST, false},
      {EG_STR ("path"), &self->path, KIND_PATH, false},
      {EG_STR ("organisation"), &self->organisation, KIND_NAME, false},
      {EG_STR ("prompt-tokens"), &self->prompt_tokens, KIND_COUNT, false},
      {EG_STR ("answer-tokens"), &self->answer_tokens, KIND_COUNT, false},
      {EG_STR ("deadline-ms"), &self->deadline_ms, KIND_TIMEOUT, false},
  };
  const size_t count = sizeof parameters / sizeof parameters[0];

  memset (self, 0, sizeof *self);
  self->deadline_ms = -1;
  eg_str_cut (&target, '?');
  reserve (&self->text, target);
  while (target.len > 0)
    if (!read_pair (self, parameters, count, eg_str_cut (&target, '&'), error))
      return false;
  if (self->host.len > 0 && self->path.len > 0)
    return true;
  eg_error_set (error, EG_INVALID, "parameter is missing: %s",
                self->host.len == 0 ? "host" : "path");
  return false;
}

void
eg_explain_query_finish (struct eg_explain_query *self)
{
  eg_buffer_finish (&self->text);
}
