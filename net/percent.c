#include "net/percent.h"

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

bool
eg_percent_decode (struct eg_str text, struct eg_buffer *out)
{
  for (size_t i = 0; i < text.len; i++)
    {
      char c = text.data[i];

      if (c == '%')
        {
          int high = i + 2 < text.len ? hex_digit (text.data[i + 1]) : -1;
          int low = i + 2 < text.len ? hex_digit (text.data[i + 2]) : -1;

          if (high < 0 || low < 0 || high + low == 0)
            return false;
          c = (char) (high * 16 + low);
          i += 2;
        }
      eg_buffer_append (out, (struct eg_str){&c, 1});
    }
  return true;
}
