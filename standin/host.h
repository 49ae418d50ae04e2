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
 * Starts the stand-ins of @p config and takes ownership of it.
 * @return NULL with a message if an address cannot be listened on.
 */
struct eg_host *eg_host_new (struct eg_config config, struct eg_error *error);

/** Stops all stand-ins and frees the host. */
void eg_host_free (struct eg_host *self);

EG_END_DECLS

#endif
