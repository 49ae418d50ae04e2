#include "router/policy.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "router/defaults.h"

#define PERCENT 100.0
/* Longer than any process runs, but safe to add to a time. */
#define NO_EXPIRY_US (INT64_MAX / 4)

/* Compiles a rule of one verb into the policy. */
typedef void compile_function (struct eg_policy *self,
                               const struct eg_router_settings *settings,
                               const struct eg_rule *rule);

static void
compile_class (struct eg_policy *self,
               const struct eg_router_settings *settings,
               const struct eg_rule *rule)
{
  struct eg_admission_config *admission = &self->config.admission;
  struct eg_admission_class *target =
      &admission->classes[admission->class_count];
  const struct eg_rule_value *values = rule->values;

  if (admission->class_count == EG_CLASSES_MAX)
    {
      eg_log (EG_LOG_ERROR, "policy", "event=class-left-out line=%u max=%d",
              rule->line, EG_CLASSES_MAX);
      return;
    }
  *target = (struct eg_admission_class){
      .priority = (int) values[EG_CLASS_PRIORITY].integer,
      .floor = values[EG_CLASS_FLOOR].number,
      .queue_max = values[EG_CLASS_QUEUE].given
                       ? (size_t) values[EG_CLASS_QUEUE].integer
                       : (size_t) settings->queue_max,
  };
  eg_str_copy (values[EG_CLASS_NAME].text, target->name, sizeof target->name);
  self->class_deadline_us[admission->class_count++] =
      values[EG_CLASS_DEADLINE].integer;
}

static void
compile_limit (struct eg_policy *self,
               const struct eg_router_settings *settings,
               const struct eg_rule *rule)
{
  const struct eg_rule_value *values = rule->values;

  (void) settings;
  /* Limits of organisations and classes are set in eg_policy_apply(). */
  if (values[EG_LIMIT_CLASS].given
      || !eg_str_equal (values[EG_LIMIT_ORGANISATION].text, EG_STR ("*")))
    return;
  self->config.default_limit = (struct eg_limit_rule){
      .rate_per_s = values[EG_LIMIT_RATE].number,
      .burst = values[EG_LIMIT_BURST].given
                   ? (double) values[EG_LIMIT_BURST].integer
                   : values[EG_LIMIT_RATE].number,
      .in_flight_max = (uint32_t) values[EG_LIMIT_IN_FLIGHT].integer,
  };
}

static void
compile_route (struct eg_policy *self,
               const struct eg_router_settings *settings,
               const struct eg_rule *rule)
{
  struct eg_route *route = &self->routes[self->route_count++];
  const struct eg_rule_value *values = rule->values;

  (void) settings;
  eg_str_copy (values[EG_ROUTE_SERVICE].text, route->service,
               sizeof route->service);
  eg_str_copy (values[EG_ROUTE_PATH].text, route->path, sizeof route->path);
  eg_str_copy (values[EG_ROUTE_PREFER].text, route->preferred,
               sizeof route->preferred);
  route->sets_idempotent = values[EG_ROUTE_IDEMPOTENT].given;
  route->idempotent = values[EG_ROUTE_IDEMPOTENT].integer != 0;
}

static void
compile_link (struct eg_policy *self,
              const struct eg_router_settings *settings,
              const struct eg_rule *rule)
{
  struct eg_placement_config *placement = &self->config.placement;
  struct eg_placement_link *link = &self->links[placement->link_count++];

  (void) settings;
  eg_str_copy (rule->values[EG_LINK_FROM].text, link->from, sizeof link->from);
  eg_str_copy (rule->values[EG_LINK_TO].text, link->to, sizeof link->to);
  link->latency_us = rule->values[EG_LINK_LATENCY].integer;
}

static void
compile_accelerator (struct eg_policy *self,
                     const struct eg_router_settings *settings,
                     const struct eg_rule *rule)
{
  struct eg_placement_config *placement = &self->config.placement;
  struct eg_placement_accelerator *accelerator =
      &self->accelerators[placement->accelerator_count++];

  (void) settings;
  eg_str_copy (rule->values[EG_ACCELERATOR_NAME].text, accelerator->name,
               sizeof accelerator->name);
  accelerator->weight =
      (double) rule->values[EG_ACCELERATOR_WEIGHT].integer / PERCENT;
}

static compile_function *const compilers[EG_VERB_COUNT] = {
    [EG_VERB_CLASS] = compile_class,
    [EG_VERB_LIMIT] = compile_limit,
    [EG_VERB_ROUTE] = compile_route,
    [EG_VERB_LINK] = compile_link,
    [EG_VERB_ACCELERATOR] = compile_accelerator,
};

static size_t
count_verb (const struct eg_rules *rules, enum eg_rule_verb verb)
{
  size_t count = 0;

  for (size_t i = 0; rules && i < rules->count; i++)
    count += rules->rules[i].verb == verb;
  return count;
}

/* Returns the class named EG_DEFAULT_CLASS_NAME, or else the one with the
   lowest priority, which has the highest number. */
static unsigned
choose_default_class (const struct eg_admission_config *admission)
{
  unsigned chosen = 0;

  for (unsigned i = 0; i < admission->class_count; i++)
    {
      if (strcmp (admission->classes[i].name, EG_DEFAULT_CLASS_NAME) == 0)
        return i;
      if (admission->classes[i].priority > admission->classes[chosen].priority)
        chosen = i;
    }
  return chosen;
}

static void *
allocate (size_t count, size_t size)
{
  void *items = calloc (count + 1, size);

  EG_INVARIANT (items != NULL);
  return items;
}

void
eg_policy_init (struct eg_policy *self,
                const struct eg_router_settings *settings,
                const struct eg_rules *rules)
{
  memset (self, 0, sizeof *self);
  eg_defaults_lifecycle (settings, &self->config);
  if (count_verb (rules, EG_VERB_CLASS) > 0)
    self->config.admission.class_count = 0;
  self->routes =
      allocate (count_verb (rules, EG_VERB_ROUTE), sizeof *self->routes);
  self->links =
      allocate (count_verb (rules, EG_VERB_LINK), sizeof *self->links);
  self->accelerators = allocate (count_verb (rules, EG_VERB_ACCELERATOR),
                                 sizeof *self->accelerators);
  for (size_t i = 0; rules && i < rules->count; i++)
    if (compilers[rules->rules[i].verb])
      compilers[rules->rules[i].verb](self, settings, &rules->rules[i]);
  self->config.placement.links = self->links;
  self->config.placement.accelerators = self->accelerators;
  self->default_class = choose_default_class (&self->config.admission);
  for (size_t i = 0; i < EG_CLASSES_MAX; i++)
    if (self->class_deadline_us[i] == 0)
      self->class_deadline_us[i] = settings->deadline_ms * 1000;
}

void
eg_policy_finish (struct eg_policy *self)
{
  free (self->routes);
  free (self->links);
  free (self->accelerators);
  memset (self, 0, sizeof *self);
}

int
eg_policy_class (const struct eg_policy *self, struct eg_str name)
{
  const struct eg_admission_config *admission = &self->config.admission;

  if (name.len == 0)
    return (int) self->default_class;
  for (size_t i = 0; i < admission->class_count; i++)
    if (eg_str_equal (eg_str_from (admission->classes[i].name), name))
      return (int) i;
  return -1;
}

/* Returns the route with the longest matching path prefix among those that set
   whether calls are idempotent. */
static const struct eg_route *
find_idempotency_route (const struct eg_policy *self,
                        struct eg_str service,
                        struct eg_str path)
{
  const struct eg_route *best = NULL;

  for (size_t i = 0; i < self->route_count; i++)
    {
      const struct eg_route *route = &self->routes[i];

      if (!route->sets_idempotent
          || !eg_str_equal (eg_str_from (route->service), service)
          || !eg_str_starts_with (path, eg_str_from (route->path)))
        continue;
      if (!best || strlen (route->path) > strlen (best->path))
        best = route;
    }
  return best;
}

bool
eg_policy_is_idempotent (const struct eg_policy *self,
                         struct eg_str service,
                         struct eg_str method,
                         struct eg_str path)
{
  const struct eg_route *route = find_idempotency_route (self, service, path);

  if (route)
    return route->idempotent;
  return eg_str_equal (method, EG_STR ("GET"))
         || eg_str_equal (method, EG_STR ("HEAD"));
}

/* Applying and reverting rules. */

static void
apply_limit (struct eg_lifecycle *lifecycle,
             const struct eg_rule *rule,
             bool on)
{
  const struct eg_rule_value *values = rule->values;
  const struct eg_limit_rule limit = {
      .rate_per_s = values[EG_LIMIT_RATE].number,
      .burst = values[EG_LIMIT_BURST].given
                   ? (double) values[EG_LIMIT_BURST].integer
                   : values[EG_LIMIT_RATE].number,
      .in_flight_max = (uint32_t) values[EG_LIMIT_IN_FLIGHT].integer,
  };
  struct eg_limits *limits = eg_lifecycle_limits (lifecycle);
  struct eg_str name = values[EG_LIMIT_ORGANISATION].text;
  char text[2 * EG_NAME_BYTES];

  if (values[EG_LIMIT_CLASS].given)
    {
      limits = eg_lifecycle_class_limits (lifecycle);
      name = eg_lifecycle_class_limit_name (name, values[EG_LIMIT_CLASS].text,
                                            text, sizeof text);
    }
  else if (eg_str_equal (name, EG_STR ("*")))
    return;
  if (on)
    eg_limits_set (limits, name, &limit);
  else
    eg_limits_clear (limits, name);
}

static void
apply_drain (struct eg_servers *servers, const struct eg_rule *rule, bool on)
{
  uint32_t server =
      eg_servers_find (servers, rule->values[EG_DRAIN_SERVER].text);

  if (server != EG_SERVER_NONE)
    eg_servers_set_blocked (servers, server, EG_SERVER_DRAINED_BY_RULE, on);
}

static void
apply_quarantine (struct eg_lifecycle *lifecycle,
                  const struct eg_rule *rule,
                  bool on,
                  int64_t now_us)
{
  struct eg_quarantine *quarantine = eg_lifecycle_quarantine (lifecycle);
  uint64_t fingerprint = rule->values[EG_QUARANTINE_FINGERPRINT].bits;
  const struct eg_rule_value *duration = &rule->values[EG_QUARANTINE_FOR];

  if (on)
    eg_quarantine_add (quarantine, fingerprint,
                       duration->given ? now_us + duration->integer
                                       : NO_EXPIRY_US);
  else
    eg_quarantine_remove (quarantine, fingerprint);
}

static bool
has_line (const struct eg_rules *rules, const struct eg_rule *rule)
{
  for (size_t i = 0; rules && i < rules->count; i++)
    if (eg_str_equal (rules->rules[i].text, rule->text))
      return true;
  return false;
}

static void
apply_rule (const struct eg_rule *rule,
            bool on,
            bool unchanged,
            struct eg_lifecycle *lifecycle,
            struct eg_servers *servers,
            int64_t now_us)
{
  switch (rule->verb)
    {
    case EG_VERB_LIMIT:
      apply_limit (lifecycle, rule, on);
      return;
    case EG_VERB_DRAIN:
      apply_drain (servers, rule, on);
      return;
    case EG_VERB_QUARANTINE:
      /* The duration starts when the line was added, not at the last edit. */
      if (!unchanged)
        apply_quarantine (lifecycle, rule, on, now_us);
      return;
    case EG_VERB_RELEASE:
      if (on && !unchanged)
        eg_quarantine_remove (eg_lifecycle_quarantine (lifecycle),
                              rule->values[EG_RELEASE_FINGERPRINT].bits);
      return;
    default:
      return;
    }
}

/* Compares lines only for the verbs where it matters, as there may be thousands
   of rules. */
static bool
is_unchanged (const struct eg_rule *rule, const struct eg_rules *other)
{
  return (rule->verb == EG_VERB_QUARANTINE || rule->verb == EG_VERB_RELEASE)
         && has_line (other, rule);
}

void
eg_policy_apply (const struct eg_policy *self,
                 const struct eg_rules *before,
                 const struct eg_rules *after,
                 struct eg_lifecycle *lifecycle,
                 struct eg_servers *servers,
                 int64_t now_us)
{
  for (size_t i = 0; before && i < before->count; i++)
    apply_rule (&before->rules[i], false,
                is_unchanged (&before->rules[i], after), lifecycle, servers,
                now_us);
  eg_lifecycle_configure (lifecycle, &self->config);
  for (size_t i = 0; after && i < after->count; i++)
    apply_rule (&after->rules[i], true, is_unchanged (&after->rules[i], before),
                lifecycle, servers, now_us);
  for (size_t i = 0; i < self->route_count; i++)
    eg_lifecycle_set_preferred_domain (lifecycle,
                                       eg_str_from (self->routes[i].service),
                                       eg_str_from (self->routes[i].preferred));
}

void
eg_policy_apply_drains (const struct eg_rules *rules,
                        struct eg_servers *servers)
{
  for (size_t i = 0; rules && i < rules->count; i++)
    if (rules->rules[i].verb == EG_VERB_DRAIN)
      apply_drain (servers, &rules->rules[i], true);
}
