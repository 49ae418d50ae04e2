/**
 * @file
 * Schedules the moves of a layer plan: a server drops a layer that is being
 * served only once another server serves it.
 */
#ifndef EG_POLICY_LAYER_MOVES_H
#define EG_POLICY_LAYER_MOVES_H

#include "policy/layer_plan.h"

/**
 * Sets @c order of each server to the layers to load now, or to an empty range.
 *
 * A move that would leave a layer unserved is widened to the union of the held
 * and the planned range if that fits in memory, and is deferred otherwise. In a
 * failure domain that has no complete path all moves start at once.
 * @param moves_max maximum number of servers in a failure domain that change
 * their layers at the same time.
 */
void eg_layer_moves_choose (struct eg_plan_server *servers,
                            size_t count,
                            const struct eg_engine_model *engine,
                            unsigned moves_max);

#endif
