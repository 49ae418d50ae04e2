/**
 * @file
 * Parses and validates clients' HTTP requests.
 */
#ifndef EG_ROUTER_CALLER_REQUEST_H
#define EG_ROUTER_CALLER_REQUEST_H

#include <civetweb.h>

#include "router/call.h"
#include "router/problem.h"
#include "router/settings.h"

/**
 * Reads `POST /v1/completions`.
 * @return false with @p problem and @p error set if the request is refused.
 */
bool eg_caller_read_completion (struct mg_connection *connection,
                                const struct eg_router_settings *settings,
                                struct eg_call *call,
                                struct eg_problem *problem,
                                struct eg_error *error);

/**
 * Reads a request to `/services/NAME/PATH`; returns as
 * eg_caller_read_completion().
 */
bool eg_caller_read_service (struct mg_connection *connection,
                             const struct eg_router_settings *settings,
                             struct eg_call *call,
                             struct eg_problem *problem,
                             struct eg_error *error);

/** Reads `POST /v1/tickets`; returns as eg_caller_read_completion(). */
bool eg_caller_read_ticket (struct mg_connection *connection,
                            const struct eg_router_settings *settings,
                            struct eg_call *call,
                            struct eg_problem *problem,
                            struct eg_error *error);

#endif
