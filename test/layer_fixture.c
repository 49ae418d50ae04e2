#include "test/layer_fixture.h"

static const struct eg_accelerator accelerators[] = {
    {{"a100s", 5}, 36000, 3.1, 3.2},
    {{"l4", 2}, 21600, 16, 8.2},
    {{"t4", 2}, 14400, 15, 15}};

const struct eg_engine_model eg_reference_engine = {
    .layers = 80,
    .layer_mb = 1750,
    .kv_bytes = 426000,
    .kv_tokens = 100000,
    .mean_prompt_tokens = 800,
    .mean_answer_tokens = 150,
    .accelerators = accelerators,
    .accelerator_count = 3,
};
