#include "net/response_writer.h"

#include <http_parser.h>

const char *
eg_response_reason (unsigned status)
{
  return http_status_str ((enum http_status) status);
}

void
eg_response_begin (struct eg_buffer *out, unsigned status)
{
  eg_buffer_printf (out, "HTTP/1.1 %u %s\r\n", status,
                    eg_response_reason (status));
}

void
eg_response_field (struct eg_buffer *out,
                   struct eg_str name,
                   struct eg_str value)
{
  eg_buffer_append (out, name);
  eg_buffer_append (out, EG_STR (": "));
  eg_buffer_append (out, value);
  eg_buffer_append (out, EG_STR ("\r\n"));
}

void
eg_response_chunk (struct eg_buffer *out, struct eg_str bytes)
{
  if (bytes.len == 0)
    return;
  eg_buffer_printf (out, "%zx\r\n", bytes.len);
  eg_buffer_append (out, bytes);
  eg_buffer_append (out, EG_STR ("\r\n"));
}

void
eg_response_last_chunk (struct eg_buffer *out)
{
  eg_buffer_append (out, EG_STR ("0\r\n\r\n"));
}
