#include "policy/rumours.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/map.h"

struct eg_rumours
{
  struct eg_map facts;
  uint32_t buckets[EG_PEER_BUCKETS];
};

static uint64_t
key_of (enum eg_rumour_kind kind, uint64_t subject)
{
  return eg_hash_mix (subject + (uint64_t) kind * EG_HASH_START);
}

static unsigned
bucket_of (const struct eg_rumour *rumour)
{
  return key_of (rumour->kind, rumour->subject) % EG_PEER_BUCKETS;
}

/* Turns the presence of a fact in the hash of its bucket over. */
static void
toggle (struct eg_rumours *self, const struct eg_rumour *rumour)
{
  uint64_t hash = key_of (rumour->kind, rumour->subject);

  hash = eg_hash_mix (hash ^ rumour->number);
  hash = eg_hash_mix (hash ^ rumour->state);
  self->buckets[bucket_of (rumour)] ^= (uint32_t) hash;
}

struct eg_rumours *
eg_rumours_new (void)
{
  struct eg_rumours *self = calloc (1, sizeof *self);

  if (self)
    eg_map_init (&self->facts);
  return self;
}

void
eg_rumours_free (struct eg_rumours *self)
{
  struct eg_rumour *fact;
  size_t cursor = 0;

  if (!self)
    return;
  while ((fact = eg_map_next (&self->facts, &cursor)))
    free (fact);
  eg_map_finish (&self->facts);
  free (self);
}

static bool
is_newer (const struct eg_rumour *rumour, const struct eg_rumour *known)
{
  if (rumour->number != known->number)
    return rumour->number > known->number;
  return rumour->state > known->state;
}

static bool
has_expired (const struct eg_rumour *rumour, int64_t wall_ms)
{
  return rumour->expires_ms != 0 && rumour->expires_ms <= wall_ms;
}

static void
forget (struct eg_rumours *self, struct eg_rumour *fact)
{
  toggle (self, fact);
  eg_map_remove (&self->facts, key_of (fact->kind, fact->subject));
  free (fact);
}

/* The order in which facts make room; those that never expire come last. */
static bool
goes_before (const struct eg_rumour *a, const struct eg_rumour *b)
{
  if ((a->expires_ms == 0) != (b->expires_ms == 0))
    return a->expires_ms != 0;
  if (a->expires_ms != b->expires_ms)
    return a->expires_ms < b->expires_ms;
  return a->number < b->number;
}

static void
make_room (struct eg_rumours *self)
{
  struct eg_rumour *first = NULL;
  struct eg_rumour *fact;
  size_t cursor = 0;

  if (self->facts.count < EG_RUMOURS_MAX)
    return;
  while ((fact = eg_map_next (&self->facts, &cursor)))
    if (!first || goes_before (fact, first))
      first = fact;
  if (first)
    forget (self, first);
}

bool
eg_rumours_apply (struct eg_rumours *self,
                  const struct eg_rumour *rumour,
                  int64_t wall_ms)
{
  uint64_t key = key_of (rumour->kind, rumour->subject);
  struct eg_rumour *known = eg_map_get (&self->facts, key);

  if (has_expired (rumour, wall_ms) || (known && !is_newer (rumour, known)))
    return false;
  if (known)
    toggle (self, known);
  else
    {
      make_room (self);
      known = malloc (sizeof *known);
      if (!known)
        return false;
      eg_map_put (&self->facts, key, known);
    }
  *known = *rumour;
  toggle (self, known);
  return true;
}

const struct eg_rumour *
eg_rumours_find (const struct eg_rumours *self,
                 enum eg_rumour_kind kind,
                 uint64_t subject)
{
  return eg_map_get (&self->facts, key_of (kind, subject));
}

void
eg_rumours_sweep (struct eg_rumours *self, int64_t wall_ms)
{
  struct eg_rumour *expired;

  /* The table must not change while it is walked. */
  do
    {
      struct eg_rumour *fact;
      size_t cursor = 0;

      expired = NULL;
      while (!expired && (fact = eg_map_next (&self->facts, &cursor)))
        if (has_expired (fact, wall_ms))
          expired = fact;
      if (expired)
        forget (self, expired);
    }
  while (expired);
}

void
eg_rumours_digest (const struct eg_rumours *self,
                   uint32_t buckets[EG_PEER_BUCKETS])
{
  for (size_t i = 0; i < EG_PEER_BUCKETS; i++)
    buckets[i] = self->buckets[i];
}

void
eg_rumours_foreach_differing (const struct eg_rumours *self,
                              const uint32_t theirs[EG_PEER_BUCKETS],
                              void (*visit) (void *context,
                                             const struct eg_rumour *rumour),
                              void *context)
{
  const struct eg_rumour *fact;
  size_t cursor = 0;

  while ((fact = eg_map_next (&self->facts, &cursor)))
    if (theirs[bucket_of (fact)] != self->buckets[bucket_of (fact)])
      visit (context, fact);
}
