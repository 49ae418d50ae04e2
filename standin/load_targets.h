/**
 * @file
 * Chooses the entry VM of each request, as an external load balancer would.
 */
#ifndef EG_STANDIN_LOAD_TARGETS_H
#define EG_STANDIN_LOAD_TARGETS_H

#include "base/decls.h"
#include "base/random.h"
#include "standin/load_client.h"
#include "standin/load_scenario.h"

EG_BEGIN_DECLS

struct eg_load_targets;

/** Creates a balancer; all targets are initially healthy. */
struct eg_load_targets *
eg_load_targets_new (const struct eg_load_scenario *scenario,
                     struct eg_load_client *client,
                     uint64_t seed);

/** Frees the balancer; no health check may be in flight. */
void eg_load_targets_free (struct eg_load_targets *self);

/** Starts health checks of all targets if they are due at @p now_us. */
void eg_load_targets_check_health (struct eg_load_targets *self,
                                   int64_t now_us);

/** Returns when health checks are next due, or INT64_MAX if disabled. */
int64_t eg_load_targets_next_us (const struct eg_load_targets *self);

/**
 * Chooses among the healthy targets, or among all if none is healthy.
 * @return index of the target.
 */
size_t eg_load_targets_choose (struct eg_load_targets *self);

/**
 * Chooses another target for a request that target @p refused has refused: the
 * next healthy one, or the next one if there is no other healthy one.
 * @return index of the target; @p refused if there is only one.
 */
size_t eg_load_targets_choose_other (struct eg_load_targets *self,
                                     size_t refused);

/** Marks target @p index as unhealthy after a refused connection, until its
    next successful check; ignored if health checks are disabled. */
void eg_load_targets_mark_refused (struct eg_load_targets *self, size_t index);

/** Tells whether target @p index is healthy. */
bool eg_load_targets_is_healthy (const struct eg_load_targets *self,
                                 size_t index);

/** Returns the number of times that target @p index was chosen. */
uint64_t eg_load_targets_chosen (const struct eg_load_targets *self,
                                 size_t index);

EG_END_DECLS

#endif
