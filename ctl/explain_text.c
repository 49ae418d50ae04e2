#include <inttypes.h>
#include <string.h>

#include "ctl/explain.h"

/** An identifier in an answer, and what it means. */
struct meaning
{
  const char *id;
  const char *text;
};

static const struct meaning obstacles[] = {
    {"withdrawn", "its record has left the store"},
    {"leaving", "it is leaving"},
    {"suspect", "suspected to be down"},
    {"no-room", "it has refused a request for lack of room a moment ago"},
    {"not-reached", "this VM has lost its path to servers"},
    {"no-layers", "it holds no layers of the model"},
    {"paused", "it has asked for a pause"},
    {"server-limit", "this VM's share of its limit is used up"},
    {"servers-used-up", "the request may be sent to no further server"},
    {"path-candidates", "there are too many candidates"},
    {"path-domains", "there are too many failure domains"},
};

static const struct meaning causes[] = {
    {"trial", "another request like it is being tried"},
    {"asks-peers", "other VMs are being asked whether they reach servers"},
    {"others-first", "waiting requests go before it"},
    {"no-server", "no server has room for it, or no path is complete"},
    {"quarantined", "a request like it has crashed servers"},
    {"keys-too-old", "the configuration is too old to accept keys"},
    {"key-unknown", "the route needs a key; name an --organisation"},
    {"service-removed", "the configuration has no such service"},
};

static const char *
find_meaning (const struct meaning *meanings, size_t count, const char *id)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (meanings[i].id, id) == 0)
      return meanings[i].text;
  return NULL;
}

/* Appends an identifier and its meaning, if it is known. */
static void
append_meaning (struct eg_buffer *out,
                const struct meaning *meanings,
                size_t count,
                const char *id)
{
  const char *text = find_meaning (meanings, count, id);

  if (text)
    eg_buffer_printf (out, "%s (%s)", text, id);
  else
    eg_buffer_printf (out, "%s", id);
}

/* Appends a name without control characters, which a terminal would obey. */
static void
append_name (struct eg_buffer *out, const json_t *object, const char *member)
{
  const char *text = json_string_value (json_object_get (object, member));

  if (!text || !*text)
    text = "?";
  for (; *text; text++)
    {
      bool is_control = (unsigned char) *text < ' ' || *text == 0x7f;

      eg_buffer_append (out,
                        is_control ? EG_STR ("?") : (struct eg_str){text, 1});
    }
}

static int64_t
integer_of (const json_t *object, const char *member)
{
  return json_integer_value (json_object_get (object, member));
}

static double
number_of (const json_t *object, const char *member)
{
  return json_number_value (json_object_get (object, member));
}

static const char *
text_of (const json_t *object, const char *member)
{
  const char *text = json_string_value (json_object_get (object, member));

  return text ? text : "?";
}

static void
append_vm (struct eg_buffer *out, const json_t *vm)
{
  eg_buffer_printf (out, "VM: failure domain ");
  append_name (out, vm, "failure_domain");
  eg_buffer_printf (out,
                    ", %s, path to servers %s, configuration %" PRId64
                    " as of %" PRId64 " ms ago\n",
                    json_is_true (json_object_get (vm, "ready")) ? "ready"
                                                                 : "not ready",
                    text_of (vm, "reach"), integer_of (vm, "configuration"),
                    integer_of (vm, "configuration_age_ms"));
}

static void
append_request (struct eg_buffer *out, const json_t *request)
{
  eg_buffer_printf (out, "Route ");
  append_name (out, request, "route");
  eg_buffer_printf (out, " (%s), service ", text_of (request, "kind"));
  append_name (out, request, "service");
  if (json_is_string (json_object_get (request, "organisation")))
    {
      eg_buffer_printf (out, ", organisation ");
      append_name (out, request, "organisation");
    }
  eg_buffer_printf (
      out,
      "\nPriority %" PRId64 ", goal %" PRId64 " ms, deadline %" PRId64
      " ms, %" PRId64 " prompt tokens, %" PRId64 " answer tokens\n",
      integer_of (request, "priority"), integer_of (request, "goal_ms"),
      integer_of (request, "deadline_ms"),
      integer_of (request, "prompt_tokens"),
      integer_of (request, "answer_tokens"));
}

static void
append_queue (struct eg_buffer *out, const json_t *queue)
{
  if (!json_is_true (json_object_get (queue, "enabled")))
    {
      eg_buffer_printf (out, "Queue: off for this service\n");
      return;
    }
  eg_buffer_printf (
      out,
      "Queue: %" PRId64 " of %" PRId64 " places taken, %" PRId64
      " go before it; rank %.3g, work %.0f, may wait %" PRId64 " ms\n",
      integer_of (queue, "waiting"), integer_of (queue, "capacity"),
      integer_of (queue, "ahead"), number_of (queue, "rank"),
      number_of (queue, "work"), integer_of (queue, "wait_max_ms"));
}

/* Appends an age; one that is null is not known. */
static void
append_age (struct eg_buffer *out,
            const char *what,
            const json_t *stage,
            const char *member)
{
  const json_t *age = json_object_get (stage, member);

  if (json_is_integer (age))
    eg_buffer_printf (out, ", %s %" PRId64 " ms old", what,
                      (int64_t) json_integer_value (age));
  else
    eg_buffer_printf (out, ", no %s", what);
}

static void
append_stage (struct eg_buffer *out, const json_t *stage)
{
  const json_t *layers = json_object_get (stage, "layers");

  eg_buffer_printf (out, "      ");
  append_name (out, stage, "server");
  eg_buffer_printf (out, " ");
  append_name (out, stage, "address");
  if (layers)
    eg_buffer_printf (
        out, ": layers %" PRId64 " to %" PRId64 ", %.0f %% of memory free",
        (int64_t) json_integer_value (json_array_get (layers, 0)),
        (int64_t) json_integer_value (json_array_get (layers, 1)),
        100 * number_of (stage, "memory_free"));
  else
    eg_buffer_printf (out, ": plain");
  eg_buffer_printf (out, ", %.3g of %" PRId64 " slots taken",
                    number_of (stage, "running"), integer_of (stage, "slots"));
  append_age (out, "report", stage, "report_age_ms");
  append_age (out, "figures of other VMs", stage, "others_age_ms");
  eg_buffer_printf (out, "\n");
}

static void
append_missing (struct eg_buffer *out, const json_t *missing)
{
  int64_t from = json_integer_value (json_array_get (missing, 0));
  int64_t to = json_integer_value (json_array_get (missing, 1));

  if (to > from)
    eg_buffer_printf (out,
                      "no complete path: no usable server holds layers %" PRId64
                      " to %" PRId64 "\n",
                      from, to);
  else
    eg_buffer_printf (out, "no complete path: all layers are held, but no path "
                           "of allowed length runs them\n");
}

static void
append_option (struct eg_buffer *out, const json_t *option)
{
  const json_t *stages = json_object_get (option, "stages");
  const json_t *cost = json_object_get (option, "cost_ms");
  const json_t *first_event = json_object_get (option, "first_event_ms");
  const json_t *stage;
  size_t index;

  eg_buffer_printf (out, "  %c failure domain ",
                    json_is_true (json_object_get (option, "chosen")) ? '*'
                                                                      : ' ');
  append_name (out, option, "failure_domain");
  eg_buffer_printf (out, ": ");
  if (!stages)
    {
      append_missing (out, json_object_get (option, "missing_layers"));
      return;
    }
  if (cost)
    eg_buffer_printf (out, "cost %.0f ms, ", json_number_value (cost));
  eg_buffer_printf (out, "load %.2f", number_of (option, "load"));
  if (first_event)
    eg_buffer_printf (out, ", first event after %.0f ms",
                      json_number_value (first_event));
  if (json_object_get (option, "reason"))
    eg_buffer_printf (out, "; another one costs less");
  eg_buffer_printf (out, "\n");
  json_array_foreach (stages, index, stage) append_stage (out, stage);
}

static void
append_omitted (struct eg_buffer *out, const json_t *answer, const char *member)
{
  if (integer_of (answer, member) > 0)
    eg_buffer_printf (out, "    and %" PRId64 " more\n",
                      integer_of (answer, member));
}

static void
append_options (struct eg_buffer *out, const json_t *answer)
{
  const json_t *options = json_object_get (answer, "options");
  const json_t *option;
  size_t index;

  eg_buffer_printf (out, "Candidates%s\n",
                    json_array_size (options) > 0 ? ":" : ": none");
  json_array_foreach (options, index, option) append_option (out, option);
  append_omitted (out, answer, "options_omitted");
}

static void
append_rejected (struct eg_buffer *out, const json_t *answer)
{
  const json_t *rejected = json_object_get (answer, "rejected");
  const json_t *server;
  size_t index;

  if (json_array_size (rejected) == 0)
    return;
  eg_buffer_printf (out, "Servers not used:\n");
  json_array_foreach (rejected, index, server)
  {
    eg_buffer_printf (out, "    ");
    append_name (out, server, "server");
    eg_buffer_printf (out, " in ");
    append_name (out, server, "failure_domain");
    eg_buffer_printf (out, ": ");
    append_meaning (out, obstacles, sizeof obstacles / sizeof obstacles[0],
                    text_of (server, "reason"));
    eg_buffer_printf (out, "\n");
  }
  append_omitted (out, answer, "rejected_omitted");
}

static void
append_decision (struct eg_buffer *out, const json_t *decision)
{
  const char *action = text_of (decision, "action");

  eg_buffer_printf (out, "Decision: ");
  if (strcmp (action, "send") == 0)
    {
      bool by_peer = json_object_get (decision, "peer") != NULL;

      eg_buffer_printf (out, "would be sent to %s ",
                        by_peer ? "another VM," : "server");
      append_name (out, decision, by_peer ? "peer" : "server");
    }
  else if (strcmp (action, "wait") == 0)
    eg_buffer_printf (out, "would wait");
  else
    eg_buffer_printf (out, "would be rejected with status %" PRId64,
                      integer_of (decision, "status"));
  if (json_object_get (decision, "cause"))
    {
      eg_buffer_printf (out, ": ");
      append_meaning (out, causes, sizeof causes / sizeof causes[0],
                      text_of (decision, "cause"));
    }
  if (json_object_get (decision, "retry_after_ms"))
    eg_buffer_printf (out, "; Retry-After %g s",
                      number_of (decision, "retry_after_ms") / 1000);
  eg_buffer_printf (out, "\n");
}

void
eg_explain_write_text (const json_t *answer, struct eg_buffer *out)
{
  append_vm (out, json_object_get (answer, "vm"));
  append_request (out, json_object_get (answer, "request"));
  append_queue (out, json_object_get (answer, "queue"));
  append_options (out, answer);
  append_rejected (out, answer);
  append_decision (out, json_object_get (answer, "decision"));
}
