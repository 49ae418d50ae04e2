/**
 * @file
 * Which entry VM of a failure domain polls a backend server: rendezvous hashing
 * among the live ones, so that a death moves only the dead node's servers.
 */
#ifndef EG_POLICY_OWNERSHIP_H
#define EG_POLICY_OWNERSHIP_H

#include "policy/membership.h"

EG_BEGIN_DECLS

/**
 * Finds the owner of a server.
 * @param server hash of its address.
 * @return id of the owner; 0 if the failure domain has no live member.
 */
uint64_t eg_ownership_find (const struct eg_membership *membership,
                            struct eg_str failure_domain,
                            uint64_t server);

/**
 * Returns how long to wait between two polls of a server, so that the loads of
 * a failure domain with @p servers of them take no more than their part of the
 * bytes allowed to a node.
 * @param shortest_us the interval where there are few servers.
 */
int64_t eg_ownership_poll_interval (size_t servers, int64_t shortest_us);

EG_END_DECLS

#endif
