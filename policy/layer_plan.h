/**
 * @file
 * Which server holds which layers.
 *
 * Load answered: the loss of any one server must leave a path in its failure
 * domain wherever memory allows, and what memory is left must hold the requests
 * under way. A plan is improved one server at a time, so that a change of the
 * fleet moves few servers.
 */
#ifndef EG_POLICY_LAYER_PLAN_H
#define EG_POLICY_LAYER_PLAN_H

#include "policy/configuration.h"

EG_BEGIN_DECLS

/** Layers from @c from to before @c to; equal numbers are none. */
struct eg_layer_range
{
  uint32_t from;
  uint32_t to;
};

/** One server as the planner sees it. */
struct eg_plan_server
{
  const struct eg_accelerator *accelerator;
  struct eg_layer_range held;    /**< What it holds or is loading. */
  struct eg_layer_range serving; /**< What it serves now and goes on to. */
  struct eg_layer_range planned; /**< Out: what it should hold. */
  struct eg_layer_range order;   /**< Out of eg_layer_moves_choose(). */
  uint32_t slots;  /**< Requests that it takes as the first of a path. */
  uint32_t domain; /**< Failure domain, below EG_PLAN_DOMAINS_MAX. */
  bool fixed;      /**< May not be given other layers now. */
};

/** Most failure domains of one plan. */
#define EG_PLAN_DOMAINS_MAX 16

/**
 * Plans all servers of one engine service.
 * @return how many servers get other layers than they hold.
 */
size_t eg_layer_plan_make (struct eg_plan_server *servers,
                           size_t count,
                           const struct eg_engine_model *engine);

/**
 * Returns how many layers of a failure domain no server holds.
 */
uint32_t eg_layer_plan_missing (const struct eg_plan_server *servers,
                                size_t count,
                                const struct eg_engine_model *engine,
                                uint32_t domain);

EG_END_DECLS

#endif
