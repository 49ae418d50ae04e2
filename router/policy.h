/**
 * @file
 * Policy compiled from the settings and the rules in force.
 */
#ifndef EG_ROUTER_POLICY_H
#define EG_ROUTER_POLICY_H

#include "policy/lifecycle.h"
#include "policy/rules.h"
#include "router/settings.h"

/** Capacity for the path prefix of a route, including the terminating NUL. */
#define EG_ROUTE_PATH_BYTES 256
/** Default class of requests, if the rules define it. */
#define EG_DEFAULT_CLASS_NAME "standard"

/** A route rule: options for calls to a plain service. */
struct eg_route
{
  char service[EG_NAME_BYTES];
  char path[EG_ROUTE_PATH_BYTES]; /**< Path prefix; empty matches all paths. */
  bool sets_idempotent;           /**< Whether the rule sets @c idempotent. */
  bool idempotent;                /**< Whether calls may be repeated. */
  char preferred[EG_NAME_BYTES];  /**< Preferred failure domain, or empty. */
};

/** The compiled policy. */
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
 * Compiles the policy.
 * @param rules NULL if none have been read yet; classes beyond EG_CLASSES_MAX
 *        are ignored and logged.
 */
void eg_policy_init (struct eg_policy *self,
                     const struct eg_router_settings *settings,
                     const struct eg_rules *rules);

/** Frees the members of the policy. */
void eg_policy_finish (struct eg_policy *self);

/**
 * Returns the index of a class, of the default class for an empty name, or -1
 * if there is no such class.
 */
int eg_policy_class (const struct eg_policy *self, struct eg_str name);

/** Returns whether a call to a plain service may be repeated. */
bool eg_policy_is_idempotent (const struct eg_policy *self,
                              struct eg_str service,
                              struct eg_str method,
                              struct eg_str path);

/**
 * Applies limits, drains, quarantines and preferred failure domains, and
 * reverts those of the rules before.
 */
void eg_policy_apply (const struct eg_policy *self,
                      const struct eg_rules *before,
                      const struct eg_rules *after,
                      struct eg_lifecycle *lifecycle,
                      struct eg_servers *servers,
                      int64_t now_us);

/**
 * Applies the drain rules again, after servers were added; @p rules may be
 * NULL.
 */
void eg_policy_apply_drains (const struct eg_rules *rules,
                             struct eg_servers *servers);

#endif
