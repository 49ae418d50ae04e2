/**
 * @file
 * Injects the faults of a scenario at their scheduled times.
 */
#ifndef EG_STANDIN_LOAD_FAULTS_H
#define EG_STANDIN_LOAD_FAULTS_H

#include "base/decls.h"
#include "standin/load_client.h"
#include "standin/load_results.h"

EG_BEGIN_DECLS

struct eg_load_fault_injector;

/** Creates an injector; outcomes are stored in the faults of @p results. */
struct eg_load_fault_injector *
eg_load_fault_injector_new (const struct eg_load_scenario *scenario,
                            struct eg_load_client *client,
                            struct eg_load_results *results);

/** Frees the injector; no exchange of it may be in flight. */
void eg_load_fault_injector_free (struct eg_load_fault_injector *self);

/** Injects the faults that are due at @p now_us. */
void eg_load_fault_injector_run (struct eg_load_fault_injector *self,
                                 int64_t now_us);

/** Returns when the next fault is due, or INT64_MAX if there is none. */
int64_t
eg_load_fault_injector_next_us (const struct eg_load_fault_injector *self);

/**
 * Reads a process id from the file at @p path.
 * @return EG_NOT_FOUND if the file cannot be opened, EG_INVALID if it contains
 *   anything but a process id of 2 or more.
 */
enum eg_status
eg_load_fault_read_pid (const char *path, int64_t *pid, struct eg_error *error);

EG_END_DECLS

#endif
