/**
 * @file
 * Metrics, status and backend servers of this node, for operators and scrapers.
 */
#ifndef EG_ROUTER_OPERATORS_STATUS_H
#define EG_ROUTER_OPERATORS_STATUS_H

#include "router/operators_answer.h"

/** `GET /metrics`: the Prometheus text format. */
eg_operators_handler eg_operators_get_metrics;
/** `GET /status`: status of this node. */
eg_operators_handler eg_operators_get_status;
/**
 * `GET /version`: name and version of the rules in force; also read by other
 * nodes.
 */
eg_operators_handler eg_operators_get_version;
/** `GET /servers`: the backend servers known to this node. */
eg_operators_handler eg_operators_get_servers;

#endif
