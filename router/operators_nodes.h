/**
 * @file
 * Status of all entry VMs and the version of the rules in force on each.
 */
#ifndef EG_ROUTER_OPERATORS_NODES_H
#define EG_ROUTER_OPERATORS_NODES_H

#include "router/operators_answer.h"

/**
 * `GET /nodes`: `[{"node","address","failure_domain","state","version"}...]`,
 * starting with this node. The others are taken from the platform's list and
 * queried with `GET /version`, which needs no token. The difference between a
 * node's ports for operators and for clients is assumed to be the same as here.
 * A node that does not answer in time has the version null and its address as
 * name.
 */
eg_operators_handler eg_operators_get_nodes;

#endif
