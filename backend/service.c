#include "backend/service.h"

#include "http/json.h"

enum eg_status
eg_service_read_health (struct eg_str body,
                        int64_t now_us,
                        struct eg_server_report *report,
                        struct eg_error *error)
{
  int64_t running = 0;
  int64_t queued = 0;
  json_t *object = eg_json_parse (body, error);
  enum eg_status status = EG_INVALID;
  const struct eg_json_member members[] = {
      {"service", EG_JSON_TEXT, true, report->service, EG_NAME_BYTES},
      {"running", EG_JSON_INTEGER, true, &running, 0},
      {"queued", EG_JSON_INTEGER, true, &queued, 0},
      {"draining", EG_JSON_BOOLEAN, true, &report->draining, 0},
  };

  if (!object)
    goto out;
  status =
      eg_json_read (object, members, sizeof members / sizeof members[0], error);
  report->running = (uint32_t) running;
  report->queued = (uint32_t) queued;
  report->as_of_us = now_us;
out:
  json_decref (object);
  return status;
}
