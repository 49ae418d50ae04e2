#include "policy/rule_value.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define NAME_BYTES_MAX 63
#define NUMBER_TEXT_BYTES 32
#define LAYERS_MAX 1024

static bool
parse_name (struct eg_str text, struct eg_rule_value *value)
{
  (void) value;
  if (eg_str_equal (text, EG_STR ("*")))
    return true;
  if (text.len == 0 || text.len > NAME_BYTES_MAX)
    return false;
  for (size_t i = 0; i < text.len; i++)
    if (!isalnum ((unsigned char) text.data[i]) && text.data[i] != '-'
        && text.data[i] != '_' && text.data[i] != '.')
      return false;
  return true;
}

static bool
parse_address (struct eg_str text, struct eg_rule_value *value)
{
  char ip_text[INET_ADDRSTRLEN];
  struct in_addr parsed;
  struct eg_str ip = eg_str_cut (&text, ':');
  int64_t port;

  (void) value;
  return eg_str_copy (ip, ip_text, sizeof ip_text)
         && inet_pton (AF_INET, ip_text, &parsed) == 1
         && eg_str_to_int64 (text, &port) && port >= 1 && port <= 65535;
}

static bool
parse_path (struct eg_str text, struct eg_rule_value *value)
{
  (void) value;
  return text.len > 0 && text.data[0] == '/';
}

static bool
parse_integer (struct eg_str text, struct eg_rule_value *value)
{
  return eg_str_to_int64 (text, &value->integer) && value->integer >= 0;
}

/* Digits with at most one point: no exponents, signs or words. */
static bool
parse_decimal (struct eg_str text, double *number)
{
  char copy[NUMBER_TEXT_BYTES];
  size_t points = 0;

  if (text.len == 0 || !eg_str_copy (text, copy, sizeof copy))
    return false;
  for (size_t i = 0; i < text.len; i++)
    {
      points += text.data[i] == '.';
      if (text.data[i] != '.' && !isdigit ((unsigned char) text.data[i]))
        return false;
    }
  *number = strtod (copy, NULL);
  return points <= 1 && points < text.len;
}

static bool
parse_share (struct eg_str text, struct eg_rule_value *value)
{
  return parse_decimal (text, &value->number) && value->number <= 1.0;
}

/* Takes @p suffix off the end of @p text; false if it is not there. */
static bool
cut_suffix (struct eg_str *text, const char *suffix)
{
  size_t len = strlen (suffix);

  if (text->len < len
      || memcmp (text->data + text->len - len, suffix, len) != 0)
    return false;
  text->len -= len;
  return true;
}

static bool
parse_rate (struct eg_str text, struct eg_rule_value *value)
{
  return cut_suffix (&text, "/s") && parse_decimal (text, &value->number);
}

static bool
parse_duration (struct eg_str text, struct eg_rule_value *value)
{
  /* "s" last, as it ends "us" and "ms" too. */
  static const struct
  {
    const char *suffix;
    int64_t unit_us;
  } units[] = {
      {"us", 1},
      {"ms", EG_US_PER_MS},
      {"m", 60 * EG_US_PER_S},
      {"h", 3600 * EG_US_PER_S},
      {"s", EG_US_PER_S},
  };

  for (size_t i = 0; i < sizeof units / sizeof units[0]; i++)
    if (cut_suffix (&text, units[i].suffix))
      return parse_integer (text, value)
             && !__builtin_mul_overflow (value->integer, units[i].unit_us,
                                         &value->integer);
  return false;
}

static bool
parse_yes_no (struct eg_str text, struct eg_rule_value *value)
{
  value->integer = eg_str_equal (text, EG_STR ("yes"));
  return value->integer || eg_str_equal (text, EG_STR ("no"));
}

static bool
parse_layers (struct eg_str text, struct eg_rule_value *value)
{
  struct eg_str first_text = eg_str_cut (&text, '-');
  int64_t first;
  int64_t last;

  if (!eg_str_to_int64 (first_text, &first) || !eg_str_to_int64 (text, &last)
      || first < 1 || last < first || last > LAYERS_MAX)
    return false;
  value->first = (uint32_t) first;
  value->last = (uint32_t) last;
  return true;
}

static bool
parse_hex (struct eg_str text, struct eg_rule_value *value)
{
  char copy[NUMBER_TEXT_BYTES];

  if (text.len == 0 || text.len > 16)
    return false;
  for (size_t i = 0; i < text.len; i++)
    if (!isxdigit ((unsigned char) text.data[i]))
      return false;
  eg_str_copy (text, copy, sizeof copy);
  value->bits = strtoull (copy, NULL, 16);
  return true;
}

static const struct
{
  bool (*parse) (struct eg_str text, struct eg_rule_value *value);
  const char *expected;
} types[EG_RULE_TYPE_COUNT] = {
    [EG_RULE_NAME] = {parse_name, "a name (letters, digits, - _ .) or *"},
    [EG_RULE_ADDRESS] = {parse_address, "an address (10.0.0.1:80)"},
    [EG_RULE_PATH] = {parse_path, "a path (/search)"},
    [EG_RULE_INTEGER] = {parse_integer, "a whole number"},
    [EG_RULE_FRACTION] = {parse_share, "a share from 0 to 1 (0.1)"},
    [EG_RULE_RATE] = {parse_rate, "a rate (50/s)"},
    [EG_RULE_DURATION] = {parse_duration, "a duration (200ms, 30s, 5m, 1h)"},
    [EG_RULE_BOOLEAN] = {parse_yes_no, "yes or no"},
    [EG_RULE_LAYERS] = {parse_layers, "layers (1-16)"},
    [EG_RULE_HEX] = {parse_hex, "1 to 16 hexadecimal digits"},
};

bool
eg_rule_value_parse (enum eg_rule_type type,
                     struct eg_str text,
                     struct eg_rule_value *value)
{
  *value = (struct eg_rule_value){.given = true, .text = text};
  return types[type].parse (text, value);
}

const char *
eg_rule_type_expected (enum eg_rule_type type)
{
  return types[type].expected;
}
