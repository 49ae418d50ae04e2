/**
 * @file
 * Reference engine for tests and benchmarks of layer plans.
 */
#ifndef EG_TEST_LAYER_FIXTURE_H
#define EG_TEST_LAYER_FIXTURE_H

#include "policy/layer_plan.h"

/** An engine with 80 layers and three accelerator types. */
extern const struct eg_engine_model eg_reference_engine;

#endif
