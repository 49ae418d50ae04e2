#include "base/str.h"

#include <ctype.h>
#include <string.h>

struct eg_str
eg_str_from (const char *text)
{
  return (struct eg_str){text, text ? strlen (text) : 0};
}

bool
eg_str_equal (struct eg_str a, struct eg_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
eg_str_starts_with (struct eg_str s, struct eg_str prefix)
{
  return s.len >= prefix.len
         && eg_str_equal ((struct eg_str){s.data, prefix.len}, prefix);
}

struct eg_str
eg_str_trim (struct eg_str s)
{
  while (s.len > 0 && isspace ((unsigned char) s.data[0]))
    {
      s.data++;
      s.len--;
    }
  while (s.len > 0 && isspace ((unsigned char) s.data[s.len - 1]))
    s.len--;
  return s;
}

struct eg_str
eg_str_cut (struct eg_str *s, char separator)
{
  const char *end = s->len ? memchr (s->data, separator, s->len) : NULL;
  struct eg_str head = *s;

  if (!end)
    {
      *s = (struct eg_str){s->data + s->len, 0};
      return head;
    }
  head.len = (size_t) (end - s->data);
  *s = (struct eg_str){end + 1, s->len - head.len - 1};
  return head;
}

bool
eg_str_to_int64 (struct eg_str s, int64_t *value)
{
  bool negative = s.len > 0 && s.data[0] == '-';
  size_t i = negative ? 1 : 0;
  int64_t negated = 0;

  if (i == s.len)
    return false;
  for (; i < s.len; i++)
    {
      int digit = s.data[i] - '0';

      if (digit < 0 || digit > 9)
        return false;
      if (__builtin_mul_overflow (negated, 10, &negated)
          || __builtin_sub_overflow (negated, digit, &negated))
        return false;
    }
  /* The sum is accumulated as a negative number, as INT64_MIN has no positive
     counterpart. */
  if (!negative && negated == INT64_MIN)
    return false;
  *value = negative ? negated : -negated;
  return true;
}

bool
eg_str_copy (struct eg_str s, char *target, size_t capacity)
{
  size_t len = s.len < capacity ? s.len : capacity - 1;

  if (len > 0)
    memcpy (target, s.data, len);
  target[len] = '\0';
  return len == s.len;
}
