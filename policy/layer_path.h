/**
 * @file
 * The path of one request through servers that each hold a range of layers.
 *
 * Load answered: many streams at once over servers of mixed speed and memory.
 * Every layer is run once and in order by construction; a path costs the time
 * that one request spends on it, and more on servers whose memory fills up.
 */
#ifndef EG_POLICY_LAYER_PATH_H
#define EG_POLICY_LAYER_PATH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Most servers on one path; what the engines accept. */
#define EG_PATH_STAGES_MAX 32
/** Most servers among which one path is sought. */
#define EG_PATH_CANDIDATES_MAX 256
/** Most failure domains that one path search tells apart. */
#define EG_PATH_DOMAINS_MAX 16

/** A server that a path may use for any part of its layers. */
struct eg_path_candidate
{
  uint32_t server; /**< The caller's index. */
  uint32_t domain; /**< Failure domain, below EG_PATH_DOMAINS_MAX. */
  uint32_t from;   /**< First layer held, from 0. */
  uint32_t to;     /**< One behind the last layer held. */
  double us_per_layer;
  double first_us; /**< Added where it is the first of a path. */
};

/** One part of a path. */
struct eg_path_stage
{
  uint32_t server;
  uint32_t from;
  uint32_t to;
};

/** Parts in order, which together hold every layer once. */
struct eg_layer_path
{
  struct eg_path_stage stages[EG_PATH_STAGES_MAX];
  uint32_t count;
  double cost_us;
};

/** What passing from one server to the next costs. */
struct eg_path_costs
{
  double hop_us;      /**< Within a failure domain. */
  double crossing_us; /**< Between failure domains. */
  double far_head_us; /**< A first server outside @c home. */
  uint32_t home;      /**< The entry VM's failure domain. */
};

/**
 * Finds the path of least cost through layers 0 to @p layers.
 * @return false if no path exists; @p path is then untouched.
 */
bool eg_layer_path_find (const struct eg_path_candidate *candidates,
                         size_t count,
                         uint32_t layers,
                         const struct eg_path_costs *costs,
                         struct eg_layer_path *path);

/** Tells whether the parts hold every layer once, in order, on distinct
    servers. */
bool eg_layer_path_is_complete (const struct eg_layer_path *path,
                                uint32_t layers);

EG_END_DECLS

#endif
