#include "net/http_reader.h"

#include <string.h>

static struct eg_http_reader *
reader_of (http_parser *parser)
{
  return parser->data;
}

/* Records the error and returns the value that stops the parser. */
static int
set_fault (struct eg_http_reader *self, enum eg_http_fault fault)
{
  self->fault = fault;
  return -1;
}

static int
on_message_begin (http_parser *parser)
{
  struct eg_http_reader *self = reader_of (parser);

  eg_http_head_clear (&self->head);
  self->begun = true;
  return 0;
}

static int
on_url (http_parser *parser, const char *at, size_t len)
{
  struct eg_http_reader *self = reader_of (parser);

  eg_buffer_append (&self->head.text, (struct eg_str){at, len});
  self->head.target_len += len;
  return 0;
}

static int
on_field (http_parser *parser, const char *at, size_t len)
{
  struct eg_http_reader *self = reader_of (parser);
  struct eg_http_head *head = &self->head;
  struct eg_http_field *field;

  if (self->head_done)
    return 0;
  if (self->in_value || head->field_count == 0)
    {
      if (head->field_count == EG_HTTP_FIELDS_MAX)
        {
          self->too_many_fields = true;
          return 0;
        }
      field = &head->fields[head->field_count++];
      field->name_at = (uint32_t) head->text.len;
      field->name_len = 0;
      field->value_at = 0;
      field->value_len = 0;
      self->in_value = false;
    }
  field = &head->fields[head->field_count - 1];
  field->name_len += (uint32_t) len;
  eg_buffer_append (&head->text, (struct eg_str){at, len});
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t len)
{
  struct eg_http_reader *self = reader_of (parser);
  struct eg_http_head *head = &self->head;
  struct eg_http_field *field;

  if (self->head_done || self->too_many_fields)
    return 0;
  if (head->field_count == 0)
    return set_fault (self, EG_HTTP_MALFORMED);
  field = &head->fields[head->field_count - 1];
  if (!self->in_value)
    field->value_at = (uint32_t) head->text.len;
  self->in_value = true;
  field->value_len += (uint32_t) len;
  eg_buffer_append (&head->text, (struct eg_str){at, len});
  return 0;
}

/* Rejects heads that the parser accepts, but that other implementations would
   frame differently: a risk of request smuggling. */
static bool
is_framing_unambiguous (const struct eg_http_head *head)
{
  size_t lengths = eg_http_head_count (head, "content-length");
  size_t encodings = eg_http_head_count (head, "transfer-encoding");

  for (size_t i = 0; i < head->field_count; i++)
    {
      struct eg_str name = eg_http_head_name (head, i);

      if (name.len == 0 || memchr (name.data, ' ', name.len)
          || memchr (name.data, '\t', name.len))
        return false;
    }
  if (lengths > 1 || encodings > 1 || lengths + encodings > 1)
    return false;
  return encodings == 0
         || eg_http_same_name (eg_http_head_find (head, "transfer-encoding"),
                               "chunked");
}

/* Returns whether a response has a status of HTTP (RFC 9110, 15). No request
 * asks for an upgrade, so that none is answered by 101. */
static bool
is_status_valid (unsigned status)
{
  return status >= 100 && status <= 599 && status != 101;
}

static int
on_head (http_parser *parser)
{
  struct eg_http_reader *self = reader_of (parser);
  struct eg_http_head *head = &self->head;

  /* Not before the end of the head: the parser reports a name only once it is
     complete, or at the end of a packet. */
  if (self->too_many_fields)
    return set_fault (self, EG_HTTP_HEAD_TOO_LARGE);
  if (!is_framing_unambiguous (head))
    return set_fault (self, EG_HTTP_MALFORMED);
  if (parser->type == HTTP_RESPONSE && !is_status_valid (parser->status_code))
    return set_fault (self, EG_HTTP_MALFORMED);
  head->status = parser->status_code;
  head->minor_version = parser->http_minor;
  head->keep_alive = http_should_keep_alive (parser);
  if (parser->type == HTTP_REQUEST)
    {
      head->method = http_method_str ((enum http_method) parser->method);
      if (parser->method == HTTP_CONNECT || parser->http_major != 1)
        return set_fault (self, EG_HTTP_MALFORMED);
      head->has_body = (parser->flags & F_CHUNKED) != 0
                       || (parser->content_length > 0
                           && parser->content_length != UINT64_MAX);
    }
  /* Upgrades are not supported; the body is parsed as usual. */
  parser->upgrade = 0;
  self->head_done = true;
  self->events->head (self->context);
  return self->no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  struct eg_http_reader *self = reader_of (parser);
  uint64_t framing =
      self->read + (uint64_t) (at - self->slice) - self->body_read;

  if (parser->type == HTTP_REQUEST
      && framing > 2 * self->head_max + EG_HTTP_FRAMING_RATIO * self->body_read)
    return set_fault (self, EG_HTTP_HEAD_TOO_LARGE);
  self->body_read += len;
  self->events->body (self->context, (struct eg_str){at, len});
  return 0;
}

static int
on_complete (http_parser *parser)
{
  struct eg_http_reader *self = reader_of (parser);

  self->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void
eg_http_reader_init (struct eg_http_reader *self,
                     enum eg_http_kind kind,
                     size_t head_max,
                     const struct eg_http_reader_events *events,
                     void *context)
{
  memset (self, 0, sizeof *self);
  http_parser_init (&self->parser,
                    kind == EG_HTTP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
  self->parser.data = self;
  self->events = events;
  self->context = context;
  self->head_max = head_max;
  eg_http_head_init (&self->head);
}

void
eg_http_reader_finish (struct eg_http_reader *self)
{
  eg_http_head_finish (&self->head);
}

/* Parses at most as many bytes as the head may still have, so that it makes no
 * difference how it is split. */
static size_t
feed_slice (struct eg_http_reader *self, struct eg_str bytes)
{
  size_t consumed;
  enum http_errno error;

  if (!self->head_done && bytes.len > self->head_max - self->head_bytes)
    bytes.len = self->head_max - self->head_bytes;
  self->slice = bytes.data;
  consumed = http_parser_execute (&self->parser, &parser_settings, bytes.data,
                                  bytes.len);
  error = HTTP_PARSER_ERRNO (&self->parser);
  self->read += consumed;
  if (!self->head_done)
    self->head_bytes += consumed;
  if (self->fault != EG_HTTP_NO_FAULT || self->complete)
    return consumed;
  if (error != HPE_OK)
    self->fault = error == HPE_HEADER_OVERFLOW ? EG_HTTP_HEAD_TOO_LARGE
                                               : EG_HTTP_MALFORMED;
  else if (!self->head_done && self->head_bytes >= self->head_max)
    self->fault = EG_HTTP_HEAD_TOO_LARGE;
  return consumed;
}

size_t
eg_http_reader_feed (struct eg_http_reader *self, struct eg_str bytes)
{
  size_t consumed = 0;

  while (consumed < bytes.len && self->fault == EG_HTTP_NO_FAULT
         && !self->complete)
    consumed += feed_slice (
        self, (struct eg_str){bytes.data + consumed, bytes.len - consumed});
  return consumed;
}

bool
eg_http_reader_end (struct eg_http_reader *self)
{
  if (self->fault != EG_HTTP_NO_FAULT || self->complete || !self->head_done)
    return false;
  http_parser_execute (&self->parser, &parser_settings, NULL, 0);
  return self->complete;
}

void
eg_http_reader_next (struct eg_http_reader *self)
{
  http_parser_pause (&self->parser, 0);
  self->complete = false;
  self->begun = false;
  self->head_done = false;
  self->in_value = false;
  self->too_many_fields = false;
  self->head_bytes = 0;
  self->read = 0;
  self->body_read = 0;
}
