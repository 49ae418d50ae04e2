/**
 * @file
 * Reference engine model for tests and benchmarks of layer plans.
 */
#ifndef EG_TEST_LAYER_FIXTURE_H
#define EG_TEST_LAYER_FIXTURE_H

#include "policy/layer_plan.h"

/** A model with 80 layers, and three accelerator types. */
extern const struct eg_engine_model eg_reference_engine;

#endif
