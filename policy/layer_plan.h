/**
 * @file
 * Plans which server holds which layers.
 *
 * The loss of any one server should leave a complete path in its failure domain
 * wherever memory allows, and the remaining memory should hold the KV cache of
 * the running requests. A plan is improved one server at a time, so that a
 * change of the fleet moves few servers.
 */
#ifndef EG_POLICY_LAYER_PLAN_H
#define EG_POLICY_LAYER_PLAN_H

#include "policy/configuration.h"

EG_BEGIN_DECLS

/** Layers [from, to); empty if both are equal. */
struct eg_layer_range
{
  uint32_t from;
  uint32_t to;
};

/** A server, as seen by the planner. */
struct eg_plan_server
{
  const struct eg_accelerator *accelerator;
  struct eg_layer_range held;    /**< Held or being loaded. */
  struct eg_layer_range serving; /**< Served now, and not being dropped. */
  struct eg_layer_range planned; /**< Output: layers that it should hold. */
  struct eg_layer_range order;   /**< Output of eg_layer_moves_choose(). */
  uint32_t slots;                /**< Requests accepted as the first server. */
  uint32_t domain; /**< Failure domain, below EG_PLAN_DOMAINS_MAX. */
  bool fixed;      /**< Its layers must not change now. */
};

/** Maximum number of failure domains of one plan. */
#define EG_PLAN_DOMAINS_MAX 16

/**
 * Plans the layers of all servers of an engine service.
 * @return number of servers whose planned layers differ from the held ones.
 */
size_t eg_layer_plan_make (struct eg_plan_server *servers,
                           size_t count,
                           const struct eg_engine_model *engine);

/** Returns the number of layers that no server of a failure domain holds. */
uint32_t eg_layer_plan_missing (const struct eg_plan_server *servers,
                                size_t count,
                                const struct eg_engine_model *engine,
                                uint32_t domain);

EG_END_DECLS

#endif
