/**
 * @file
 * The policy that the settings and the rules in force give.
 */
#ifndef EG_ROUTER_POLICY_H
#define EG_ROUTER_POLICY_H

#include "policy/lifecycle.h"
#include "policy/rules.h"
#include "router/settings.h"

/** Longest start of a path in a route, with its final zero. */
#define EG_ROUTE_PATH_BYTES 256
/** Name of the class of requests that name none, where there is one. */
#define EG_DEFAULT_CLASS_NAME "standard"

/** How calls of a plain service are treated. */
struct eg_route
{
  char service[EG_NAME_BYTES];
  char path[EG_ROUTE_PATH_BYTES]; /**< Start of the path; empty for all. */
  bool marked;     /**< Whether the rule says if calls may be repeated. */
  bool idempotent; /**< What it says. */
  char preferred[EG_NAME_BYTES]; /**< Failure domain, or empty. */
};

/** The policy. */
struct eg_policy
{
  struct eg_lifecycle_config config;
  int64_t class_deadline_us[EG_CLASSES_MAX];
  unsigned default_class;
  struct eg_route *routes;
  size_t route_count;
  struct eg_placement_link *links;
  struct eg_placement_accelerator *accelerators;
};

/**
 * Works out the policy.
 * @param rules NULL before any are read; rules that do not fit together, such
 *        as too many classes, are left out and logged.
 */
void eg_policy_init (struct eg_policy *self,
                     const struct eg_router_settings *settings,
                     const struct eg_rules *rules);

/** Frees the policy. */
void eg_policy_finish (struct eg_policy *self);

/** Finds a class by name, the default one for an empty name; -1 if none is. */
int eg_policy_class (const struct eg_policy *self, struct eg_str name);

/** Tells whether a call of a plain service may be repeated. */
bool eg_policy_is_idempotent (const struct eg_policy *self,
                              struct eg_str service,
                              struct eg_str method,
                              struct eg_str path);

/** Sets the limits, servers to drain and quarantines that rules name. */
void eg_policy_apply (const struct eg_policy *self,
                      const struct eg_rules *before,
                      const struct eg_rules *after,
                      struct eg_lifecycle *lifecycle,
                      struct eg_servers *servers,
                      int64_t now_us);

/** Sets the servers to drain, of which some may be new; rules may be NULL. */
void eg_policy_apply_drains (const struct eg_rules *rules,
                             struct eg_servers *servers);

#endif
