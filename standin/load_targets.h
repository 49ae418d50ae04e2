/**
 * @file
 * Chooses the entry VM of each request, as a balancer in front would.
 */
#ifndef EG_STANDIN_LOAD_TARGETS_H
#define EG_STANDIN_LOAD_TARGETS_H

#include "base/decls.h"
#include "base/random.h"
#include "standin/load_client.h"
#include "standin/load_scenario.h"

EG_BEGIN_DECLS

struct eg_load_targets;

/** Makes the chooser; all targets count as healthy at first. */
struct eg_load_targets *
eg_load_targets_new (const struct eg_load_scenario *scenario,
                     struct eg_load_client *client,
                     uint64_t seed);

/** Frees the chooser; its health checks must have ended. */
void eg_load_targets_free (struct eg_load_targets *self);

/** Starts the health checks that are due at @p now_us. */
void eg_load_targets_check (struct eg_load_targets *self, int64_t now_us);

/** Returns when the next health check is due. */
int64_t eg_load_targets_next_us (const struct eg_load_targets *self);

/**
 * Chooses among the healthy targets, or among all when none is.
 * @return the target's index.
 */
size_t eg_load_targets_choose (struct eg_load_targets *self);

/** Notes that @p index refused a connection; the next good check ends it. */
void eg_load_targets_refused (struct eg_load_targets *self, size_t index);

/** Tells whether the last word on @p index was good. */
bool eg_load_targets_is_healthy (const struct eg_load_targets *self,
                                 size_t index);

/** Returns how many requests @p index was chosen for. */
uint64_t eg_load_targets_chosen (const struct eg_load_targets *self,
                                 size_t index);

EG_END_DECLS

#endif
