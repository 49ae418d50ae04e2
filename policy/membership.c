#include "policy/membership.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define CAPACITY_START 16

uint64_t
eg_member_id (struct eg_str address)
{
  uint64_t id = eg_hash_str (address);

  return id ? id : 1;
}

void
eg_membership_finish (struct eg_membership *self)
{
  for (size_t i = 0; i < self->count; i++)
    free (self->members[i]);
  free (self->members);
  *self = (struct eg_membership){0};
}

struct eg_member *
eg_membership_find (const struct eg_membership *self, uint64_t id)
{
  for (size_t i = 0; i < self->count; i++)
    if (self->members[i]->id == id)
      return self->members[i];
  return NULL;
}

static bool
sorts_before (const struct eg_member *a, const struct eg_member *b)
{
  return a->domain != b->domain ? a->domain < b->domain : a->id < b->id;
}

static bool
insert (struct eg_membership *self, struct eg_member *member)
{
  size_t position = self->count;

  if (self->count == self->capacity)
    {
      size_t capacity = self->capacity ? self->capacity * 2 : CAPACITY_START;
      struct eg_member **grown =
          realloc (self->members, capacity * sizeof (void *));

      if (!grown)
        return false;
      self->members = grown;
      self->capacity = capacity;
    }
  while (position > 0 && sorts_before (member, self->members[position - 1]))
    {
      self->members[position] = self->members[position - 1];
      position--;
    }
  self->members[position] = member;
  self->count++;
  return true;
}

static void
remove_at (struct eg_membership *self, size_t position)
{
  free (self->members[position]);
  self->count--;
  memmove (self->members + position, self->members + position + 1,
           (self->count - position) * sizeof (void *));
}

struct eg_member *
eg_membership_add (struct eg_membership *self,
                   struct eg_str address,
                   struct eg_str failure_domain)
{
  uint64_t id = eg_member_id (address);
  struct eg_member *member = eg_membership_find (self, id);

  if (member)
    return member;
  member = calloc (1, sizeof *member);
  if (!member)
    return NULL;
  member->id = id;
  member->domain = eg_hash_str (failure_domain);
  member->state = EG_MEMBER_LIVE;
  if (eg_str_copy (address, member->address, sizeof member->address)
      && eg_str_copy (failure_domain, member->failure_domain,
                      sizeof member->failure_domain)
      && insert (self, member))
    return member;
  free (member);
  return NULL;
}

bool
eg_membership_apply_list (struct eg_membership *self,
                          const struct eg_listed_member *names,
                          size_t count,
                          uint64_t own)
{
  size_t before = self->count;
  bool forgotten = false;

  for (size_t i = 0; i < self->count; i++)
    self->members[i]->listed = false;
  for (size_t i = 0; i < count; i++)
    {
      struct eg_member *member =
          eg_membership_add (self, names[i].address, names[i].failure_domain);

      if (member)
        member->listed = true;
    }
  for (size_t i = self->count; i-- > 0;)
    {
      const struct eg_member *member = self->members[i];

      if (member->listed || member->id == own
          || member->state == EG_MEMBER_LIVE)
        continue;
      remove_at (self, i);
      forgotten = true;
    }
  return forgotten || self->count != before;
}

bool
eg_membership_apply (struct eg_membership *self, const struct eg_rumour *rumour)
{
  struct eg_member *member = eg_membership_find (self, rumour->subject);
  bool changed = !member;

  if (!member)
    member = eg_membership_add (self, eg_str_from (rumour->address),
                                eg_str_from (rumour->failure_domain));
  if (!member || member->id != rumour->subject)
    return false;
  changed |= member->state != (enum eg_member_state) rumour->state;
  member->state = (enum eg_member_state) rumour->state;
  member->incarnation = rumour->number;
  member->suspect = false;
  return changed;
}

void
eg_member_to_rumour (const struct eg_member *member, struct eg_rumour *rumour)
{
  *rumour = (struct eg_rumour){
      .kind = EG_RUMOUR_MEMBER,
      .state = member->state,
      .subject = member->id,
      .number = member->incarnation,
  };
  memcpy (rumour->address, member->address, sizeof rumour->address);
  memcpy (rumour->failure_domain, member->failure_domain,
          sizeof rumour->failure_domain);
}

struct eg_membership_counts
eg_membership_counts (const struct eg_membership *self)
{
  struct eg_membership_counts counts = {0};

  for (size_t i = 0; i < self->count; i++)
    {
      const struct eg_member *member = self->members[i];

      if (member->state == EG_MEMBER_LIVE && member->suspect)
        counts.suspect++;
      else if (member->state == EG_MEMBER_LIVE)
        counts.live++;
      else if (member->state == EG_MEMBER_DEAD)
        counts.dead++;
      counts.listed += member->listed;
    }
  return counts;
}
