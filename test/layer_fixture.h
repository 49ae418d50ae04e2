/**
 * @file
 * The engines of the users' sheets, for tests and measurements of layers.
 */
#ifndef EG_TEST_LAYER_FIXTURE_H
#define EG_TEST_LAYER_FIXTURE_H

#include "policy/layer_plan.h"

/** 80 layers over three kinds of accelerator. */
extern const struct eg_engine_model eg_reference_engine;

#endif
