#include "standin/load_report.h"

#define MAX_PATH_BYTES 128

static void
append_values (json_t *value, const char *path, struct eg_buffer *lines)
{
  char joined[MAX_PATH_BYTES];
  const char *key;
  json_t *member;
  size_t i;

  if (json_is_number (value))
    eg_buffer_printf (lines, "%s %.10g\n", path, json_number_value (value));
  json_array_foreach (value, i, member)
  {
    snprintf (joined, sizeof joined, "%s.%zu", path, i);
    if (json_is_object (member))
      append_values (member, joined, lines);
  }
  json_object_foreach (value, key, member)
  {
    snprintf (joined, sizeof joined, "%s%s%s", path, *path ? "." : "", key);
    append_values (member, joined, lines);
  }
}

void
eg_load_report_values (json_t *report, struct eg_buffer *lines)
{
  append_values (report, "", lines);
}
