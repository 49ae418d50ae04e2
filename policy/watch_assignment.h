/**
 * @file
 * Which members of a group watch which servers.
 *
 * Load answered: at 800 servers and 42 entry VMs of a failure domain no member
 * watches more than some 40 servers, and each server is watched by two, so that
 * the loss of one member leaves none unwatched.
 */
#ifndef EG_POLICY_WATCH_ASSIGNMENT_H
#define EG_POLICY_WATCH_ASSIGNMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** How many members watch each server. */
#define EG_WATCHERS_PER_SERVER 2

/**
 * Tells whether a member watches a server.
 * @param server hash of its name.
 * @param rank of the member, from 0.
 * @param members how many there are; 0 counts as 1.
 */
bool
eg_watch_assignment_includes (uint64_t server, unsigned rank, unsigned members);

EG_END_DECLS

#endif
