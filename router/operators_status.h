/**
 * @file
 * What operators and scrapers read: metrics, this node, all nodes, servers.
 */
#ifndef EG_ROUTER_OPERATORS_STATUS_H
#define EG_ROUTER_OPERATORS_STATUS_H

#include "router/operators_answer.h"

/** `GET /metrics`: the Prometheus text format. */
eg_operators_handler eg_operators_get_metrics;
/** `GET /status`: this node. */
eg_operators_handler eg_operators_get_status;
/** `GET /nodes`: the version in force on each entry VM that is known. */
eg_operators_handler eg_operators_get_nodes;
/** `GET /servers`: the backend servers. */
eg_operators_handler eg_operators_get_servers;

#endif
