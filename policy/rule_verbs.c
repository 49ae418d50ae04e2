#include "policy/rule_verbs.h"

#include <string.h>

static const struct eg_rule_verb_info verbs[EG_VERB_COUNT] = {
    [EG_VERB_CLASS] =
        {"class",
         "A traffic class, named by callers in X-Class",
         {
             [EG_CLASS_NAME] = {"name", EG_RULE_NAME, true, true,
                                "Name of the class"},
             [EG_CLASS_PRIORITY] = {"priority", EG_RULE_INTEGER, true, false,
                                    "Lower goes first"},
             [EG_CLASS_FLOOR] = {"floor", EG_RULE_FRACTION, false, false,
                                 "Share of the service kept for the class"},
             [EG_CLASS_QUEUE] = {"queue", EG_RULE_INTEGER, false, false,
                                 "Requests that may wait for one target"},
             [EG_CLASS_DEADLINE] = {"deadline", EG_RULE_DURATION, false, false,
                                    "Budget of a request that names none"},
         },
         5},
    [EG_VERB_LIMIT] =
        {"limit",
         "A limit on one organisation, over all entry VMs",
         {
             [EG_LIMIT_ORGANISATION] = {"organisation", EG_RULE_NAME, true,
                                        true, "Organisation; * for all others"},
             [EG_LIMIT_CLASS] = {"class", EG_RULE_NAME, false, true,
                                 "Class; all of them if not given"},
             [EG_LIMIT_RATE] = {"rate", EG_RULE_RATE, false, false,
                                "Requests a second"},
             [EG_LIMIT_BURST] = {"burst", EG_RULE_INTEGER, false, false,
                                 "Requests that may come at once"},
             [EG_LIMIT_IN_FLIGHT] = {"in-flight", EG_RULE_INTEGER, false, false,
                                     "Requests under way at once"},
         },
         5},
    [EG_VERB_ROUTE] =
        {"route",
         "How calls of a plain service are treated",
         {
             [EG_ROUTE_SERVICE] = {"service", EG_RULE_NAME, true, true,
                                   "Name of the service"},
             [EG_ROUTE_PATH] = {"path", EG_RULE_PATH, false, true,
                                "Start of the path; all of them if not given"},
             [EG_ROUTE_IDEMPOTENT] = {"idempotent", EG_RULE_BOOLEAN, false,
                                      false, "Whether a call may be repeated"},
             [EG_ROUTE_PREFER] = {"prefer", EG_RULE_NAME, false, false,
                                  "Failure domain to go to first"},
         },
         4},
    [EG_VERB_DRAIN] =
        {"drain",
         "A backend server that gets no new work",
         {
             [EG_DRAIN_SERVER] = {"server", EG_RULE_ADDRESS, true, true,
                                  "Address of the backend server"},
         },
         1},
    [EG_VERB_QUARANTINE] =
        {"quarantine",
         "A request that is refused, as it crashes servers",
         {
             [EG_QUARANTINE_FINGERPRINT] = {"fingerprint", EG_RULE_HEX, true,
                                            true, "From the log or the alarm"},
             [EG_QUARANTINE_FOR] = {"for", EG_RULE_DURATION, false, false,
                                    "How long; until the line goes if not "
                                    "given"},
         },
         2},
    [EG_VERB_RELEASE] =
        {"release",
         "A request that is let go, though it crashed servers",
         {
             [EG_RELEASE_FINGERPRINT] = {"fingerprint", EG_RULE_HEX, true, true,
                                         "From the log or the alarm"},
         },
         1},
    [EG_VERB_CAPACITY] =
        {"capacity",
         "Servers that a model wants",
         {
             [EG_CAPACITY_SERVICE] = {"service", EG_RULE_NAME, true, true,
                                      "Service whose servers are ordered"},
             [EG_CAPACITY_MODEL] = {"model", EG_RULE_NAME, true, true,
                                    "Name of the model"},
             [EG_CAPACITY_VERSION] = {"version", EG_RULE_NAME, true, true,
                                      "Version of the model"},
             [EG_CAPACITY_LAYERS] = {"layers", EG_RULE_LAYERS, true, true,
                                     "Range of layers on each server"},
             [EG_CAPACITY_COUNT] = {"count", EG_RULE_INTEGER, true, false,
                                    "Servers wanted"},
             [EG_CAPACITY_FAILURE_DOMAIN] = {"failure-domain", EG_RULE_NAME,
                                             false, true,
                                             "Where; each one if not given"},
         },
         6},
    [EG_VERB_LINK] =
        {"link",
         "The latency between two failure domains, one way",
         {
             [EG_LINK_FROM] = {"from", EG_RULE_NAME, true, true,
                               "Failure domain"},
             [EG_LINK_TO] = {"to", EG_RULE_NAME, true, true, "Failure domain"},
             [EG_LINK_LATENCY] = {"latency", EG_RULE_DURATION, true, false,
                                  "Time for one byte"},
         },
         3},
    [EG_VERB_ACCELERATOR] =
        {"accelerator",
         "The speed of one kind of accelerator",
         {
             [EG_ACCELERATOR_NAME] = {"name", EG_RULE_NAME, true, true,
                                      "As servers report it"},
             [EG_ACCELERATOR_WEIGHT] = {"weight", EG_RULE_INTEGER, true, false,
                                        "In percent of the reference"},
         },
         2},
};

const struct eg_rule_verb_info *
eg_rule_verb_info (enum eg_rule_verb verb)
{
  return &verbs[verb];
}

enum eg_rule_verb
eg_rule_verb_find (struct eg_str name)
{
  for (int i = 0; i < EG_VERB_COUNT; i++)
    if (eg_str_equal (eg_str_from (verbs[i].name), name))
      return (enum eg_rule_verb) i;
  return EG_VERB_COUNT;
}

int
eg_rule_key_find (enum eg_rule_verb verb, struct eg_str name)
{
  for (size_t i = 0; i < verbs[verb].key_count; i++)
    if (eg_str_equal (eg_str_from (verbs[verb].keys[i].name), name))
      return (int) i;
  return -1;
}

static void
write_key (struct eg_buffer *text, const struct eg_rule_key *key)
{
  eg_buffer_printf (text, "| `%s` | %s | %s | %s |\n", key->name,
                    eg_rule_type_expected (key->type),
                    key->required ? "yes" : "no", key->help);
}

void
eg_rule_verbs_write_reference (struct eg_buffer *text)
{
  for (int i = 0; i < EG_VERB_COUNT; i++)
    {
      eg_buffer_printf (text,
                        "## %s\n\n%s.\n\n"
                        "| key | takes | required | meaning |\n"
                        "| --- | --- | --- | --- |\n",
                        verbs[i].name, verbs[i].help);
      for (size_t k = 0; k < verbs[i].key_count; k++)
        write_key (text, &verbs[i].keys[k]);
      eg_buffer_printf (text, "\n");
    }
}
