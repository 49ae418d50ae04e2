/**
 * @file
 * Assigns backend servers to the entry VMs of a failure domain for polling, by
 * rendezvous hashing among the live ones: if a node dies, only its own servers
 * move.
 */
#ifndef EG_POLICY_OWNERSHIP_H
#define EG_POLICY_OWNERSHIP_H

#include "policy/membership.h"

EG_BEGIN_DECLS

/**
 * Finds the entry VM that polls a server.
 * @param server hash of its address.
 * @return id of the owner; 0 if the failure domain has no live member.
 */
uint64_t eg_ownership_find (const struct eg_membership *membership,
                            struct eg_str failure_domain,
                            uint64_t server);

/**
 * Returns the interval in microseconds between two polls of a server, so that
 * the loads of a failure domain with @p servers servers stay within their part
 * of a node's traffic limit.
 * @param shortest_us interval with few servers.
 */
int64_t eg_ownership_poll_interval (size_t servers, int64_t shortest_us);

EG_END_DECLS

#endif
