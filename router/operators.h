/**
 * @file
 * HTTP listener for operators and metrics.
 */
#ifndef EG_ROUTER_OPERATORS_H
#define EG_ROUTER_OPERATORS_H

#include "router/decision.h"

struct eg_operators;

/** Starts listening; NULL with @p error set on failure. */
struct eg_operators *
eg_operators_new (const struct eg_router_settings *settings,
                  struct eg_decision *decision,
                  struct eg_error *error);

/** Stops listening and waits for the requests in progress. */
void eg_operators_free (struct eg_operators *self);

#endif
