#include "policy/overlay.h"

/* The live members of one failure domain. */
struct ring
{
  struct eg_member *const *members;
  size_t span; /* Members of the domain, live or not. */
  size_t size; /* Live members. */
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

/* Returns the live member at a rank, which must be below the size. */
static const struct eg_member *
ring_get (const struct ring *ring, size_t rank)
{
  for (size_t i = 0; i < ring->span; i++)
    if (ring->members[i]->state == EG_MEMBER_LIVE && rank-- == 0)
      return ring->members[i];
  return NULL;
}

/* Returns the rank of an id, or the rank that it would have if it were live. */
static size_t
ring_rank (const struct ring *ring, uint64_t id)
{
  size_t rank = 0;

  for (size_t i = 0; i < ring->span && ring->members[i]->id < id; i++)
    rank += ring->members[i]->state == EG_MEMBER_LIVE;
  return rank;
}

/* Finds the next failure domain with live members after that of @p ring, or the
   previous one; returns false if there is no other. */
static bool
find_neighbour (const struct eg_membership *membership,
                const struct ring *ring,
                bool before,
                struct ring *neighbour)
{
  struct ring first = {0};
  struct ring last = {0};
  struct ring previous = {0};
  struct ring next = {0};
  bool passed = false;

  for (size_t i = 0; i < membership->count; i += ring_at (membership, i).span)
    {
      struct ring other = ring_at (membership, i);

      if (other.members == ring->members)
        passed = true;
      if (other.size == 0 || other.members == ring->members)
        continue;
      if (first.size == 0)
        first = other;
      last = other;
      if (!passed)
        previous = other;
      else if (next.size == 0)
        next = other;
    }
  if (before)
    *neighbour = previous.size > 0 ? previous : last;
  else
    *neighbour = next.size > 0 ? next : first;
  return neighbour->size > 0;
}

/* Finds the nodes that watch the live member at a rank. */
static size_t
find_watchers (const struct eg_membership *membership,
               const struct ring *ring,
               size_t rank,
               uint64_t watchers[EG_OVERLAY_WATCHERS])
{
  struct ring next;
  size_t count = 0;

  for (size_t i = 1; i <= EG_OVERLAY_WATCHERS && i < ring->size; i++)
    watchers[count++] = ring_get (ring, (rank + i) % ring->size)->id;
  if (count == EG_OVERLAY_WATCHERS
      || !find_neighbour (membership, ring, false, &next))
    return count;
  for (size_t i = 0; i < next.size && count < EG_OVERLAY_WATCHERS; i++)
    watchers[count++] = ring_get (&next, (rank + i) % next.size)->id;
  return count;
}

static void
add_if_watched (struct eg_overlay *self,
                const struct eg_membership *membership,
                const struct ring *ring,
                size_t rank,
                uint64_t own)
{
  uint64_t watchers[EG_OVERLAY_WATCHERS];
  size_t count = find_watchers (membership, ring, rank, watchers);

  for (size_t i = 0; i < count; i++)
    if (watchers[i] == own && self->predecessor_count < EG_OVERLAY_WATCHED_MAX)
      self->predecessors[self->predecessor_count++] = ring_get (ring, rank)->id;
}

static void
set_neighbours (struct eg_overlay *self,
                const struct eg_membership *membership,
                const struct ring *ring,
                size_t rank)
{
  uint64_t own = ring_get (ring, rank)->id;
  struct ring before;

  self->successor_count =
      find_watchers (membership, ring, rank, self->successors);
  for (size_t i = 1; i <= EG_OVERLAY_WATCHERS && i < ring->size; i++)
    add_if_watched (self, membership, ring,
                    (rank + ring->size - i) % ring->size, own);
  if (!find_neighbour (membership, ring, true, &before)
      || before.size > EG_OVERLAY_WATCHERS)
    return;
  for (size_t i = 0; i < before.size; i++)
    add_if_watched (self, membership, &before, i, own);
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

/* Links to the domains at distances 1, 2, 4 and so on, not counting those
   without live members. */
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
      /* Only powers of two. */
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
  rank = ring_rank (&ring, own) % ring.size;
  set_neighbours (self, membership, &ring, rank);
  set_fingers (self, &ring, rank);
  set_domain_links (self, membership, ring.members[0]->domain, rank);
}

size_t
eg_overlay_watchers (const struct eg_membership *membership,
                     uint64_t subject,
                     uint64_t own,
                     uint64_t watchers[EG_OVERLAY_WATCHERS])
{
  uint64_t all[EG_OVERLAY_WATCHERS];
  struct ring ring;
  size_t count = 0;
  size_t found;

  if (!find_ring (membership, subject, &ring) || ring.size == 0)
    return 0;
  found = find_watchers (membership, &ring, ring_rank (&ring, subject), all);
  for (size_t i = 0; i < found; i++)
    if (all[i] != own && all[i] != subject)
      watchers[count++] = all[i];
  return count;
}
