/**
 * @file
 * The version of the rules in force on each entry VM, asked of each at the
 * time.
 */
#ifndef EG_ROUTER_OPERATORS_NODES_H
#define EG_ROUTER_OPERATORS_NODES_H

#include "router/operators_answer.h"

/**
 * `GET /nodes`: `[{"node","address","failure_domain","state","version"}...]`,
 * this one first. The others are those of the platform's list; each is asked
 * for its version, without the token. Its operators' port is taken to be as far
 * from its callers' port as here. A node that does not answer in time has the
 * version null, and its address for a name.
 */
eg_operators_handler eg_operators_get_nodes;

#endif
