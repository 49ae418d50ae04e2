#include "router/operators_answer.h"

#include "http/json.h"

void
eg_operators_set_error (struct eg_operators_answer *answer,
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
eg_operators_query (const struct eg_operators_deps *deps,
                    void (*write) (void *context,
                                   const struct eg_decision_view *view),
                    void *context,
                    struct eg_operators_answer *answer)
{
  if (!eg_decision_query (deps->decision, write, context))
    eg_operators_set_error (answer, 503, "busy", "the node is too busy");
}
