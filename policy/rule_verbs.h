/**
 * @file
 * Table of rule verbs and their keys. The parser, the checks, the help and the
 * reference page are all derived from it.
 */
#ifndef EG_POLICY_RULE_VERBS_H
#define EG_POLICY_RULE_VERBS_H

#include "base/buffer.h"
#include "base/decls.h"
#include "policy/rule_value.h"

EG_BEGIN_DECLS

/** Maximum number of keys of a verb. */
#define EG_RULE_KEYS_MAX 8

/** Rule verbs. */
enum eg_rule_verb
{
  EG_VERB_CLASS,
  EG_VERB_LIMIT,
  EG_VERB_ROUTE,
  EG_VERB_DRAIN,
  EG_VERB_QUARANTINE,
  EG_VERB_RELEASE,
  EG_VERB_CAPACITY,
  EG_VERB_LINK,
  EG_VERB_ACCELERATOR,
  EG_VERB_COUNT
};

/** One key of a verb. */
struct eg_rule_key
{
  const char *name;
  enum eg_rule_type type;
  bool required;
  /** Two rules that agree in all such keys contradict each other. */
  bool identity;
  const char *help;
};

/** One verb. */
struct eg_rule_verb_info
{
  const char *name;
  const char *help;
  struct eg_rule_key keys[EG_RULE_KEYS_MAX];
  size_t key_count;
};

/* Indexes of the keys of each verb in eg_rule_verb_info.keys. */
enum
{
  EG_CLASS_NAME,
  EG_CLASS_PRIORITY,
  EG_CLASS_FLOOR,
  EG_CLASS_QUEUE,
  EG_CLASS_DEADLINE,
};
enum
{
  EG_LIMIT_ORGANISATION,
  EG_LIMIT_CLASS,
  EG_LIMIT_RATE,
  EG_LIMIT_BURST,
  EG_LIMIT_IN_FLIGHT,
};
enum
{
  EG_ROUTE_SERVICE,
  EG_ROUTE_PATH,
  EG_ROUTE_IDEMPOTENT,
  EG_ROUTE_PREFER,
};
enum
{
  EG_DRAIN_SERVER,
};
enum
{
  EG_QUARANTINE_FINGERPRINT,
  EG_QUARANTINE_FOR,
};
enum
{
  EG_RELEASE_FINGERPRINT,
};
enum
{
  EG_CAPACITY_SERVICE,
  EG_CAPACITY_MODEL,
  EG_CAPACITY_VERSION,
  EG_CAPACITY_LAYERS,
  EG_CAPACITY_COUNT,
  EG_CAPACITY_FAILURE_DOMAIN,
};
enum
{
  EG_LINK_FROM,
  EG_LINK_TO,
  EG_LINK_LATENCY,
};
enum
{
  EG_ACCELERATOR_NAME,
  EG_ACCELERATOR_WEIGHT,
};

/** Returns the table entry of @p verb. */
const struct eg_rule_verb_info *eg_rule_verb_info (enum eg_rule_verb verb);

/** Returns the verb with this name; EG_VERB_COUNT if there is none. */
enum eg_rule_verb eg_rule_verb_find (struct eg_str name);

/** Returns the index of a key of @p verb by name; -1 if there is none. */
int eg_rule_key_find (enum eg_rule_verb verb, struct eg_str name);

/** Appends the reference of all verbs and keys as Markdown. */
void eg_rule_verbs_write_reference (struct eg_buffer *text);

EG_END_DECLS

#endif
