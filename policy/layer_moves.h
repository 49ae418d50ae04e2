/**
 * @file
 * Which of a plan's moves may begin now: a layer that is still served must not
 * be given up before another server serves it.
 */
#ifndef EG_POLICY_LAYER_MOVES_H
#define EG_POLICY_LAYER_MOVES_H

#include "policy/layer_plan.h"

/**
 * Sets @c order of each server: the layers to order now, or an empty range.
 *
 * A move that would uncover a layer is turned into the range that holds both,
 * if memory allows, and otherwise waits. Where a failure domain has no path
 * anyway all moves begin at once.
 * @param at_once most servers with layers that move in one failure domain.
 */
void eg_layer_moves_choose (struct eg_plan_server *servers,
                            size_t count,
                            const struct eg_engine_model *engine,
                            unsigned at_once);

#endif
