/**
 * @file
 * Default policy configuration, parts of which the rules override.
 */
#ifndef EG_ROUTER_DEFAULTS_H
#define EG_ROUTER_DEFAULTS_H

#include "policy/lifecycle.h"
#include "router/settings.h"

/** Fills @p config with the defaults and the daemon's settings. */
void eg_defaults_lifecycle (const struct eg_router_settings *settings,
                            struct eg_lifecycle_config *config);

#endif
