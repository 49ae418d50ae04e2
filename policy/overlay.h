/**
 * @file
 * Which entry VMs a node sends to: a few that watch it, and links over which
 * rumours reach everyone in a logarithmic number of steps.
 *
 * The live members of a failure domain form a ring, sorted by id. A node links
 * to those at distances 1, 2, 4, 8 and so on, and to the member of its own rank
 * in the failure domains at such distances. The next three on the ring watch a
 * node; where the ring has fewer, nodes of the next failure domain make up for
 * them.
 */
#ifndef EG_POLICY_OVERLAY_H
#define EG_POLICY_OVERLAY_H

#include "policy/membership.h"

EG_BEGIN_DECLS

/** Nodes that watch a node. */
#define EG_OVERLAY_WATCHERS 3
/** Most nodes that a node watches, of its own and the domain before it. */
#define EG_OVERLAY_WATCHED_MAX 6
/** Most links within the failure domain, for up to 2^12 members. */
#define EG_OVERLAY_FINGERS_MAX 12
/** Most links to other failure domains, for up to 2^8 of them. */
#define EG_OVERLAY_DOMAIN_LINKS_MAX 8

/** The places of a node among the others; ids of members. */
struct eg_overlay
{
  size_t size; /**< Live members of the domain, this node among them. */
  uint64_t successors[EG_OVERLAY_WATCHERS]; /**< Who watches this node. */
  size_t successor_count;
  uint64_t predecessors[EG_OVERLAY_WATCHED_MAX]; /**< Whom this node watches. */
  size_t predecessor_count;
  uint64_t fingers[EG_OVERLAY_FINGERS_MAX]; /**< At distance 2^index. */
  size_t finger_count;
  uint64_t domain_links[EG_OVERLAY_DOMAIN_LINKS_MAX];
  size_t domain_link_count;
};

/** Works out the places of the member @p own, which is in @p membership. */
void eg_overlay_init (struct eg_overlay *self,
                      const struct eg_membership *membership,
                      uint64_t own);

/**
 * Finds who else watches a member of the failure domain.
 * @param[out] watchers ids, with neither @p own nor @p subject among them.
 * @return how many there are.
 */
size_t eg_overlay_watchers (const struct eg_membership *membership,
                            uint64_t subject,
                            uint64_t own,
                            uint64_t watchers[EG_OVERLAY_WATCHERS]);

EG_END_DECLS

#endif
