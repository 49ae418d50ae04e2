#include "standin/once_scenario.h"

#include <assert.h>
#include <string.h>

#include "base/clock.h"
#include "standin/load_fields.h"

#define MAX_TIME_MS 600000.0
#define MAX_REQUESTS 1e6
#define DEFAULT_DRAIN_US (10 * EG_US_PER_S)
#define DEFAULT_TIMEOUT_US (5 * EG_US_PER_S)
#define DEFAULT_REPEAT_US (800 * EG_US_PER_MS)
#define DEFAULT_DEADLINE_US (2 * EG_US_PER_S)

#define FIELD(member) offsetof (struct eg_once_scenario, member)

/* eg_load_scenario_read_targets() and its siblings take a pointer to the load
   scenario. */
static_assert (FIELD (base) == 0, "the load scenario must be the first member");

static const struct eg_load_field rows[] = {
    {"name", EG_LOAD_FIELD_STRING, true, FIELD (base.name), 1,
     EG_LOAD_NAME_BYTES, NULL},
    {"targets", EG_LOAD_FIELD_NESTED, true, 0, 0, 0,
     eg_load_scenario_read_targets},
    {"faults", EG_LOAD_FIELD_NESTED, false, 0, 0, 0,
     eg_load_scenario_read_faults},
    {"records", EG_LOAD_FIELD_NESTED, true, 0, 0, 0,
     eg_load_scenario_read_records},
    {"duration_ms", EG_LOAD_FIELD_TIME_MS, true, FIELD (base.duration_us), 1,
     MAX_TIME_MS, NULL},
    {"drain_ms", EG_LOAD_FIELD_TIME_MS, false, FIELD (base.drain_us), 0,
     MAX_TIME_MS, NULL},
    {"request_timeout_ms", EG_LOAD_FIELD_TIME_MS, false,
     FIELD (base.request_timeout_us), 1, MAX_TIME_MS, NULL},
    {"service", EG_LOAD_FIELD_STRING, true, FIELD (service), 1,
     EG_LOAD_NAME_BYTES, NULL},
    {"organisation", EG_LOAD_FIELD_STRING, true, FIELD (organisation), 1,
     EG_LOAD_NAME_BYTES, NULL},
    {"requests", EG_LOAD_FIELD_INTEGER, true, FIELD (requests), 1, MAX_REQUESTS,
     NULL},
    {"ticket_share", EG_LOAD_FIELD_NUMBER, false, FIELD (ticket_share), 0, 1,
     NULL},
    {"plain_share", EG_LOAD_FIELD_NUMBER, false, FIELD (plain_share), 0, 1,
     NULL},
    {"other_body_share", EG_LOAD_FIELD_NUMBER, false, FIELD (other_body_share),
     0, 1, NULL},
    {"duplicates", EG_LOAD_FIELD_BOOLEAN, false, FIELD (duplicates), 0, 0,
     NULL},
    {"repeats", EG_LOAD_FIELD_BOOLEAN, false, FIELD (repeats), 0, 0, NULL},
    {"repeat_ms", EG_LOAD_FIELD_TIME_MS, false, FIELD (repeat_us), 1,
     MAX_TIME_MS, NULL},
    {"deadline_ms", EG_LOAD_FIELD_TIME_MS, false, FIELD (deadline_us), 1,
     MAX_TIME_MS, NULL},
    {"record_interval_ms", EG_LOAD_FIELD_TIME_MS, false,
     FIELD (record_interval_us), 0, MAX_TIME_MS, NULL},
};

static const struct eg_load_fields table = {rows,
                                            sizeof (rows) / sizeof *(rows)};

static enum eg_status
check_scenario (const struct eg_once_scenario *self, struct eg_error *error)
{
  const struct eg_load_fault *faults = self->base.faults;

  if (self->base.n_targets == 0)
    return eg_error_set (error, EG_INVALID, "targets: must not be empty");
  if (self->ticket_share + self->plain_share > 1)
    return eg_error_set (
        error, EG_INVALID,
        "ticket_share and plain_share: the sum must not exceed 1");
  for (size_t i = 1; i < self->base.n_faults; i++)
    if (faults[i].at_us < faults[i - 1].at_us)
      return eg_error_set (
          error, EG_INVALID,
          "faults[%zu].at_ms: must not be earlier than the previous "
          "one",
          i);
  return EG_OK;
}

enum eg_status
eg_once_scenario_init_file (struct eg_once_scenario *self,
                            const char *path,
                            struct eg_error *error)
{
  enum eg_status status;
  json_error_t json_error;
  json_t *root;

  memset (self, 0, sizeof *self);
  self->base.drain_us = DEFAULT_DRAIN_US;
  self->base.request_timeout_us = DEFAULT_TIMEOUT_US;
  self->duplicates = true;
  self->repeats = true;
  self->repeat_us = DEFAULT_REPEAT_US;
  self->deadline_us = DEFAULT_DEADLINE_US;
  root = json_load_file (path, JSON_REJECT_DUPLICATES, &json_error);
  if (!root)
    return eg_error_set (error, EG_INVALID, "line %d: %s", json_error.line,
                         json_error.text);
  status = eg_load_fields_read (&table, root, "", self, error);
  if (status == EG_OK)
    status = check_scenario (self, error);
  json_decref (root);
  return status;
}

void
eg_once_scenario_finish (struct eg_once_scenario *self)
{
  eg_load_scenario_finish (&self->base);
}
