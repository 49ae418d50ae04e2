/**
 * @file
 * Chooses servers for a request from what the fleet knows.
 */
#ifndef EG_ENTRY_PLACEMENT_H
#define EG_ENTRY_PLACEMENT_H

#include "entry/fleet.h"
#include "policy/configuration.h"
#include "policy/layer_path.h"

struct eg_entry;

/** What placement has to know of a request. */
struct eg_placement_request
{
  const struct eg_service_config *service;
  uint32_t prompt_tokens;
  uint32_t answer_tokens;
  /** Servers that the request was sent to already. */
  struct eg_backend *const *used;
  size_t used_count;
  bool only_used;  /**< No other first server may be used. */
  bool avoid_used; /**< Another first server is wanted where there is one. */
};

/** Where a request runs. */
struct eg_placement
{
  struct eg_backend *stages[EG_PATH_STAGES_MAX]; /**< The first takes it. */
  struct eg_layer_range layers[EG_PATH_STAGES_MAX];
  uint32_t count;
  double load; /**< Of the fullest server: 1 is full. */
};

/** Why there is no place. */
enum eg_placement_result
{
  EG_PLACED,
  EG_PLACE_NONE, /**< No server, or no whole path, is there. */
};

/** Chooses a server, or a path of servers for a model in layers. */
enum eg_placement_result
eg_placement_choose (struct eg_entry *entry,
                     const struct eg_placement_request *need,
                     int64_t now_us,
                     struct eg_placement *choice);

/**
 * Chooses another path for a request under way that keeps its first part, and
 * of the others as many as can go on.
 * @return whether there is one.
 */
bool eg_placement_move (struct eg_entry *entry,
                        const struct eg_placement_request *need,
                        const struct eg_placement *present,
                        int64_t now_us,
                        struct eg_placement *choice);

#endif
