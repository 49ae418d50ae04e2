/**
 * @file
 * Finds the path of a request through servers that each hold a range of layers.
 *
 * Designed for many concurrent streams over servers of different speed and
 * memory. By construction every layer is run once and in order. The cost of a
 * path is the time that one request spends on it; the caller raises the
 * us_per_layer of servers whose memory fills up.
 */
#ifndef EG_POLICY_LAYER_PATH_H
#define EG_POLICY_LAYER_PATH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Maximum number of servers on a path; engines accept no more. */
#define EG_PATH_STAGES_MAX 32
/** Maximum number of candidates in one search. */
#define EG_PATH_CANDIDATES_MAX 256
/** Maximum number of failure domains in one search. */
#define EG_PATH_DOMAINS_MAX 16

/** A server that a path may use for any part of its layers. */
struct eg_path_candidate
{
  uint32_t server; /**< Index chosen by the caller. */
  uint32_t domain; /**< Failure domain, below EG_PATH_DOMAINS_MAX. */
  uint32_t from;   /**< First layer held, from 0. */
  uint32_t to;     /**< One past the last layer held. */
  double us_per_layer;
  double first_us; /**< Extra cost as the first server of a path. */
};

/** One stage of a path; runs layers [from, to). */
struct eg_path_stage
{
  uint32_t server;
  uint32_t from;
  uint32_t to;
};

/** Stages in order, which together run every layer once. */
struct eg_layer_path
{
  struct eg_path_stage stages[EG_PATH_STAGES_MAX];
  uint32_t count;
  double cost_us;
};

/** Cost of passing from one server to the next. */
struct eg_path_costs
{
  double hop_us;          /**< Within a failure domain. */
  double crossing_us;     /**< Between failure domains. */
  double remote_first_us; /**< Extra, if the first server is not in @c home. */
  uint32_t home;          /**< The entry VM's failure domain. */
};

/**
 * Finds the path of least cost through layers [0, @p layers).
 * @return false if there is none, or if it has more than EG_PATH_STAGES_MAX
 *         stages; @p path is then left unchanged.
 */
bool eg_layer_path_find (const struct eg_path_candidate *candidates,
                         size_t count,
                         uint32_t layers,
                         const struct eg_path_costs *costs,
                         struct eg_layer_path *path);

/**
 * Tells whether the stages run every layer once, in order, on distinct
 * servers.
 */
bool eg_layer_path_is_complete (const struct eg_layer_path *path,
                                uint32_t layers);

EG_END_DECLS

#endif
