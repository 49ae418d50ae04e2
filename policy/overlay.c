#include "policy/overlay.h"

/* The live members of one failure domain. */
struct ring
{
  struct eg_member *const *members;
  size_t span; /* Members of the domain in the table, live or not. */
  size_t size; /* Live ones. */
};

static struct ring
ring_at (const struct eg_membership *membership, size_t start)
{
  struct ring ring = {.members = membership->members + start};
  uint64_t domain = membership->members[start]->domain;

  while (start + ring.span < membership->count
         && ring.members[ring.span]->domain == domain)
    {
      ring.size += ring.members[ring.span]->state == EG_MEMBER_LIVE;
      ring.span++;
    }
  return ring;
}

/* Returns the live member with a rank, which must be below the size. */
static const struct eg_member *
ring_get (const struct ring *ring, size_t rank)
{
  for (size_t i = 0; i < ring->span; i++)
    if (ring->members[i]->state == EG_MEMBER_LIVE && rank-- == 0)
      return ring->members[i];
  return NULL;
}

/* Returns the rank at which an id stands, or would stand. */
static size_t
ring_rank (const struct ring *ring, uint64_t id)
{
  size_t rank = 0;

  for (size_t i = 0; i < ring->span && ring->members[i]->id < id; i++)
    rank += ring->members[i]->state == EG_MEMBER_LIVE;
  return rank;
}

static void
set_neighbours (struct eg_overlay *self, const struct ring *ring, size_t rank)
{
  for (size_t i = 1; i <= EG_OVERLAY_WATCHERS && i < ring->size; i++)
    {
      size_t before = (rank + ring->size - i) % ring->size;

      self->successors[self->successor_count++] =
          ring_get (ring, (rank + i) % ring->size)->id;
      self->predecessors[self->predecessor_count++] =
          ring_get (ring, before)->id;
    }
}

static void
set_fingers (struct eg_overlay *self, const struct ring *ring, size_t rank)
{
  for (size_t distance = 1;
       distance < ring->size && self->finger_count < EG_OVERLAY_FINGERS_MAX;
       distance *= 2)
    self->fingers[self->finger_count++] =
        ring_get (ring, (rank + distance) % ring->size)->id;
}

/* Links to the domains at distances that double, leaving out those that have
   no live member. */
static void
set_domain_links (struct eg_overlay *self,
                  const struct eg_membership *membership,
                  uint64_t own_domain,
                  size_t rank)
{
  size_t domain_count = 0;
  size_t own = 0;
  size_t index = 0;

  for (size_t i = 0; i < membership->count; i += ring_at (membership, i).span)
    if (ring_at (membership, i).size > 0)
      {
        if (membership->members[i]->domain == own_domain)
          own = domain_count;
        domain_count++;
      }
  for (size_t i = 0; i < membership->count; i += ring_at (membership, i).span)
    {
      struct ring ring = ring_at (membership, i);
      size_t distance;

      if (ring.size == 0 || domain_count == 0)
        continue;
      distance = (index++ + domain_count - own) % domain_count;
      /* A power of two. */
      if (distance > 0 && (distance & (distance - 1)) == 0
          && self->domain_link_count < EG_OVERLAY_DOMAIN_LINKS_MAX)
        self->domain_links[self->domain_link_count++] =
            ring_get (&ring, rank % ring.size)->id;
    }
}

static bool
find_ring (const struct eg_membership *membership,
           uint64_t id,
           struct ring *ring)
{
  const struct eg_member *member = eg_membership_find (membership, id);

  for (size_t i = 0; member && i < membership->count; i += ring->span)
    {
      *ring = ring_at (membership, i);
      if (membership->members[i]->domain == member->domain)
        return true;
    }
  return false;
}

void
eg_overlay_init (struct eg_overlay *self,
                 const struct eg_membership *membership,
                 uint64_t own)
{
  struct ring ring;
  size_t rank;

  *self = (struct eg_overlay){0};
  if (!find_ring (membership, own, &ring) || ring.size == 0)
    return;
  self->size = ring.size;
  rank = ring_rank (&ring, own);
  set_neighbours (self, &ring, rank);
  set_fingers (self, &ring, rank);
  set_domain_links (self, membership, ring.members[0]->domain, rank);
}

size_t
eg_overlay_watchers (const struct eg_membership *membership,
                     uint64_t subject,
                     uint64_t own,
                     uint64_t watchers[EG_OVERLAY_WATCHERS])
{
  struct ring ring;
  size_t count = 0;
  size_t rank;

  if (!find_ring (membership, subject, &ring) || ring.size == 0)
    return 0;
  rank = ring_rank (&ring, subject);
  for (size_t i = 1; i <= EG_OVERLAY_WATCHERS && i < ring.size; i++)
    {
      uint64_t id = ring_get (&ring, (rank + i) % ring.size)->id;

      if (id != own && id != subject)
        watchers[count++] = id;
    }
  return count;
}
