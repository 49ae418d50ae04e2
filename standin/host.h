/**
 * @file
 * All stand-ins of one process.
 */
#ifndef EG_STANDIN_HOST_H
#define EG_STANDIN_HOST_H

#include "base/decls.h"
#include "base/status.h"
#include "standin/config.h"

EG_BEGIN_DECLS

struct eg_host;

/**
 * Starts what @p config lists and takes it over.
 * @return NULL if an address can't be had.
 */
struct eg_host *eg_host_new (struct eg_config config, struct eg_error *error);

/** Stops all stand-ins. */
void eg_host_free (struct eg_host *self);

EG_END_DECLS

#endif
