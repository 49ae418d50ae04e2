/**
 * @file
 * Overlay network of the entry VMs: the few nodes that watch a node for
 * failure, and the links over which rumours reach all nodes in a logarithmic
 * number of hops.
 *
 * The live members of a failure domain form a ring, sorted by id. A node
 * links to the members at distances 1, 2, 4, 8 and so on, which are its
 * fingers, and to the member of its own rank in the failure domains at these
 * distances. A node is watched by the next three on the ring; in a smaller
 * ring, nodes of the next failure domain make up the number.
 */
#ifndef EG_POLICY_OVERLAY_H
#define EG_POLICY_OVERLAY_H

#include "policy/membership.h"

EG_BEGIN_DECLS

/** Number of nodes that watch each node. */
#define EG_OVERLAY_WATCHERS 3
/**
 * Maximum number of nodes that a node watches, in its own domain and the one
 * before it.
 */
#define EG_OVERLAY_WATCHED_MAX 6
/**
 * Maximum number of links within the failure domain, for up to 2^12 members.
 */
#define EG_OVERLAY_FINGERS_MAX 12
/** Maximum number of links to other failure domains, for up to 2^8 of them. */
#define EG_OVERLAY_DOMAIN_LINKS_MAX 8

/** Neighbours of a node, as member ids. */
struct eg_overlay
{
  size_t size; /**< Live members of the domain, with this node. */
  uint64_t successors[EG_OVERLAY_WATCHERS]; /**< Watch this node. */
  size_t successor_count;
  uint64_t predecessors[EG_OVERLAY_WATCHED_MAX]; /**< Watched by this node. */
  size_t predecessor_count;
  uint64_t fingers[EG_OVERLAY_FINGERS_MAX]; /**< At distance 2^index. */
  size_t finger_count;
  uint64_t domain_links[EG_OVERLAY_DOMAIN_LINKS_MAX];
  size_t domain_link_count;
};

/**
 * Computes the neighbours of the member @p own, which must be in @p
 * membership.
 */
void eg_overlay_init (struct eg_overlay *self,
                      const struct eg_membership *membership,
                      uint64_t own);

/**
 * Finds the other nodes that watch a member.
 * @param[out] watchers ids, without @p own and @p subject.
 * @return their number.
 */
size_t eg_overlay_watchers (const struct eg_membership *membership,
                            uint64_t subject,
                            uint64_t own,
                            uint64_t watchers[EG_OVERLAY_WATCHERS]);

EG_END_DECLS

#endif
