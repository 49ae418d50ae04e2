/**
 * @file
 * Schedules the moves of a layer plan: a server does not drop a layer that it
 * serves until another server serves it too.
 */
#ifndef EG_POLICY_LAYER_MOVES_H
#define EG_POLICY_LAYER_MOVES_H

#include "policy/layer_plan.h"

/**
 * Sets @c order of each server to the layers to load now, or to an empty range.
 *
 * A move that would leave a layer unserved is widened to the union of the held
 * and the planned range if that fits in memory, and is deferred otherwise.
 * Servers that hold no layers start at once, and so do all moves in a failure
 * domain that has no complete path, regardless of @p moves_max.
 * @param moves_max maximum number of servers in a failure domain that change
 * their layers at the same time.
 */
void eg_layer_moves_choose (struct eg_plan_server *servers,
                            size_t count,
                            const struct eg_engine_model *engine,
                            unsigned moves_max);

#endif
