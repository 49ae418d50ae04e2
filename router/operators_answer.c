#include "router/operators_answer.h"

#include "http/json.h"

void
eg_operators_refuse (struct eg_operators_answer *answer,
                     int status,
                     const char *name,
                     const char *detail)
{
  answer->status = status;
  answer->content_type = NULL;
  eg_buffer_clear (&answer->body);
  eg_buffer_printf (&answer->body, "{\"error\":\"%s\",\"detail\":", name);
  eg_json_append_string (&answer->body, eg_str_from (detail));
  eg_buffer_append (&answer->body, EG_STR ("}"));
}

void
eg_operators_inquire (const struct eg_operators_parts *parts,
                      void (*write) (void *context,
                                     const struct eg_decision_view *view),
                      void *context,
                      struct eg_operators_answer *answer)
{
  if (!eg_decision_inquire (parts->decision, write, context))
    eg_operators_refuse (answer, 503, "busy", "the node is too busy");
}
