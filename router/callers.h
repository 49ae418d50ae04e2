/**
 * @file
 * The listener for callers.
 */
#ifndef EG_ROUTER_CALLERS_H
#define EG_ROUTER_CALLERS_H

#include "router/decision.h"

struct eg_callers;

/** Starts listening; NULL with a message if it cannot. */
struct eg_callers *eg_callers_new (const struct eg_router_settings *settings,
                                   struct eg_decision *decision,
                                   struct eg_error *error);

/** Stops listening, after the requests under way. */
void eg_callers_free (struct eg_callers *self);

/** Returns how many callers are being served. */
unsigned eg_callers_active (struct eg_callers *self);

#endif
