/**
 * @file
 * What operators and scrapers read of this node: metrics, state, servers.
 */
#ifndef EG_ROUTER_OPERATORS_STATUS_H
#define EG_ROUTER_OPERATORS_STATUS_H

#include "router/operators_answer.h"

/** `GET /metrics`: the Prometheus text format. */
eg_operators_handler eg_operators_get_metrics;
/** `GET /status`: this node. */
eg_operators_handler eg_operators_get_status;
/** `GET /version`: name and version in force, for other nodes too. */
eg_operators_handler eg_operators_get_version;
/** `GET /servers`: the backend servers. */
eg_operators_handler eg_operators_get_servers;

#endif
