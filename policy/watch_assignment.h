/**
 * @file
 * Assigns the servers that each member of a group watches.
 *
 * Each server is watched by two members, so that the loss of one leaves none
 * unwatched. With 800 servers and 42 entry VMs in a failure domain, a member
 * watches no more than about 40 servers.
 */
#ifndef EG_POLICY_WATCH_ASSIGNMENT_H
#define EG_POLICY_WATCH_ASSIGNMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Number of members that watch each server. */
#define EG_WATCHERS_PER_SERVER 2

/**
 * Tells whether a member watches a server.
 * @param server hash of its name.
 * @param rank of the member, from 0.
 * @param members number of members; 0 counts as 1.
 */
bool
eg_watch_assignment_includes (uint64_t server, unsigned rank, unsigned members);

EG_END_DECLS

#endif
