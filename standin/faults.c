#include "standin/faults.h"

#include <string.h>

#include "standin/config.h"
#include "standin/fields.h"

#define MAX_FIELDS 2
#define SERVER_KINDS (EG_STANDIN_ENGINE | EG_STANDIN_SERVICE)

/* Target of the fields in the table. */
struct parsed_fault
{
  const char *name;
  struct eg_fault fault;
};

static const struct eg_field name_field = {
    "fault", EG_FIELD_STRING,   true,
    1,       EG_FIELD_NAME_MAX, offsetof (struct parsed_fault, name)};

static const struct fault_row
{
  const char *name;
  enum eg_fault_kind kind;
  int standins;
  struct eg_field field; /* Parameter; no name: the fault has none. */
} rows[] = {
    {"die",
     EG_FAULT_DIE,
     EG_STANDIN_ENGINE,
     {"after_tokens", EG_FIELD_INTEGER, false, 0, EG_FIELD_INTEGER_MAX,
      offsetof (struct parsed_fault, fault.after_tokens)}},
    {"die", EG_FAULT_DIE, EG_STANDIN_SERVICE, {0}},
    {"revive", EG_FAULT_REVIVE, SERVER_KINDS, {0}},
    {"hang", EG_FAULT_HANG, SERVER_KINDS, {0}},
    {"slow",
     EG_FAULT_SLOW,
     SERVER_KINDS,
     {"factor", EG_FIELD_NUMBER, true, 0, 1000000,
      offsetof (struct parsed_fault, fault.factor)}},
    {"slow",
     EG_FAULT_SLOW,
     EG_STANDIN_PLATFORM,
     {"ms", EG_FIELD_INTEGER, true, 0, 600000,
      offsetof (struct parsed_fault, fault.ms)}},
    {"load-lag",
     EG_FAULT_LOAD_LAG,
     EG_STANDIN_ENGINE,
     {"ms", EG_FIELD_INTEGER, true, 0, 10000,
      offsetof (struct parsed_fault, fault.ms)}},
    {"drain", EG_FAULT_DRAIN, SERVER_KINDS, {0}},
    {"crash-on",
     EG_FAULT_CRASH_ON,
     EG_STANDIN_ENGINE,
     {"prompt", EG_FIELD_STRING, true, 0, EG_FIELD_LONG_STRING_MAX,
      offsetof (struct parsed_fault, fault.prompt)}},
    {"lose-reply",
     EG_FAULT_LOSE_REPLY,
     EG_STANDIN_SERVICE | EG_STANDIN_PLATFORM,
     {"count", EG_FIELD_INTEGER, true, 1, EG_FIELD_INTEGER_MAX,
      offsetof (struct parsed_fault, fault.count)}},
    {"down", EG_FAULT_DOWN, EG_STANDIN_PLATFORM, {0}},
    {"silent", EG_FAULT_SILENT, EG_STANDIN_PLATFORM, {0}},
    {"vms",
     EG_FAULT_VMS,
     EG_STANDIN_PLATFORM,
     {"vms", EG_FIELD_ARRAY, true, 0, 0,
      offsetof (struct parsed_fault, fault.vms)}},
};

static const struct fault_row *
find_row (const char *name, enum eg_standin_kind kind)
{
  for (size_t i = 0; name && i < sizeof rows / sizeof *rows; i++)
    if ((rows[i].standins & kind) && strcmp (rows[i].name, name) == 0)
      return &rows[i];
  return NULL;
}

enum eg_status
eg_fault_read (struct eg_fault *self,
               const json_t *object,
               enum eg_standin_kind kind,
               struct eg_error *error)
{
  const char *name = json_string_value (json_object_get (object, "fault"));
  const struct fault_row *row = find_row (name, kind);
  struct eg_field fields[MAX_FIELDS] = {name_field};
  struct parsed_fault parsed_fault = {.fault = {.after_tokens = -1}};
  size_t count = 1;

  if (!name)
    return eg_error_set (error, EG_INVALID,
                         "fault: field \"fault\" must be a string");
  if (!row)
    return eg_error_set (error, EG_INVALID,
                         "fault: \"%.64s\" is not supported by this stand-in",
                         name);
  if (row->field.name)
    fields[count++] = row->field;
  if (eg_fields_read (fields, count, object, &parsed_fault, "fault", error)
      != EG_OK)
    return EG_INVALID;
  if (parsed_fault.fault.vms
      && eg_config_check_vms (parsed_fault.fault.vms, error) != EG_OK)
    return EG_INVALID;
  *self = parsed_fault.fault;
  self->kind = row->kind;
  return EG_OK;
}
