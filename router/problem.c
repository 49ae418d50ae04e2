#include "router/problem.h"

#include <inttypes.h>

#include "base/clock.h"
#include "http/json.h"

int64_t
eg_problem_retry_after_s (const struct eg_problem *problem)
{
  return (problem->retry_after_us + EG_US_PER_S - 1) / EG_US_PER_S;
}

void
eg_problem_write (const struct eg_problem *problem, struct eg_buffer *json)
{
  const struct eg_refusal_info *info = eg_refusal_info (problem->refusal);

  eg_buffer_printf (json, "{\"type\":\"%s\",\"title\":\"%s\",\"status\":%d",
                    info->name, info->title, info->http_status);
  eg_buffer_append (json, EG_STR (",\"detail\":"));
  eg_json_append_string (json, eg_str_from (problem->detail));
  eg_buffer_append (json, EG_STR (",\"request_id\":"));
  eg_json_append_string (json, eg_str_from (problem->request_id));
  eg_buffer_printf (json, ",\"ran\":\"%s\"", eg_ran_name (problem->ran));
  if (problem->retry_after_us > 0)
    eg_buffer_printf (json, ",\"retry_after_ms\":%" PRId64,
                      problem->retry_after_us / EG_US_PER_MS);
  eg_buffer_append (json, EG_STR ("}"));
}
