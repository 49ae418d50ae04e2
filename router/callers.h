/**
 * @file
 * HTTP listener for clients.
 */
#ifndef EG_ROUTER_CALLERS_H
#define EG_ROUTER_CALLERS_H

#include "router/decision.h"

struct eg_callers;

/** Starts listening; NULL with @p error set on failure. */
struct eg_callers *eg_callers_new (const struct eg_router_settings *settings,
                                   struct eg_decision *decision,
                                   struct eg_error *error);

/** Stops listening and waits for the requests in progress. */
void eg_callers_free (struct eg_callers *self);

/** Returns the number of requests being served. */
unsigned eg_callers_active (struct eg_callers *self);

#endif
