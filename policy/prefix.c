#include "policy/prefix.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"
#include "policy/servers.h"

/* No entry. */
#define NONE UINT32_MAX

struct entry
{
  uint64_t hash;
  uint32_t server;
  uint32_t next; /* In its bucket, or in the free list. */
  uint32_t newer;
  uint32_t older;
};

struct eg_prefix_table
{
  struct entry *entries;
  uint32_t *buckets;
  uint32_t entries_max;
  uint32_t bucket_mask;
  uint32_t count;
  uint32_t free_first;
  uint32_t newest;
  uint32_t oldest;
};

struct eg_prefix_table *
eg_prefix_table_new (uint32_t entries_max)
{
  struct eg_prefix_table *self = calloc (1, sizeof *self);
  uint32_t bucket_count = 1;

  EG_INVARIANT (entries_max > 0 && entries_max <= INT32_MAX);
  if (!self)
    return NULL;
  while (bucket_count < entries_max)
    bucket_count *= 2;
  self->entries = calloc (entries_max, sizeof *self->entries);
  self->buckets = malloc (bucket_count * sizeof *self->buckets);
  if (!self->entries || !self->buckets)
    {
      eg_prefix_table_free (self);
      return NULL;
    }
  memset (self->buckets, 0xff, bucket_count * sizeof *self->buckets);
  for (uint32_t i = 0; i < entries_max; i++)
    self->entries[i].next = i + 1 < entries_max ? i + 1 : NONE;
  self->entries_max = entries_max;
  self->bucket_mask = bucket_count - 1;
  self->newest = NONE;
  self->oldest = NONE;
  return self;
}

void
eg_prefix_table_free (struct eg_prefix_table *self)
{
  if (!self)
    return;
  free (self->entries);
  free (self->buckets);
  free (self);
}

static uint32_t *
bucket_of (const struct eg_prefix_table *self, uint64_t hash)
{
  return &self->buckets[eg_hash_mix (hash) & self->bucket_mask];
}

static uint32_t
find (const struct eg_prefix_table *self, uint64_t hash)
{
  uint32_t at = *bucket_of (self, hash);

  while (at != NONE && self->entries[at].hash != hash)
    at = self->entries[at].next;
  return at;
}

static void
unlink_age (struct eg_prefix_table *self, uint32_t at)
{
  const struct entry *entry = &self->entries[at];

  if (entry->newer == NONE)
    self->newest = entry->older;
  else
    self->entries[entry->newer].older = entry->older;
  if (entry->older == NONE)
    self->oldest = entry->newer;
  else
    self->entries[entry->older].newer = entry->newer;
}

static void
link_newest (struct eg_prefix_table *self, uint32_t at)
{
  struct entry *entry = &self->entries[at];

  entry->newer = NONE;
  entry->older = self->newest;
  if (self->newest == NONE)
    self->oldest = at;
  else
    self->entries[self->newest].newer = at;
  self->newest = at;
}

static void
remove_entry (struct eg_prefix_table *self, uint32_t at)
{
  struct entry *entry = &self->entries[at];
  uint32_t *link = bucket_of (self, entry->hash);

  while (*link != at)
    link = &self->entries[*link].next;
  *link = entry->next;
  unlink_age (self, at);
  entry->next = self->free_first;
  self->free_first = at;
  self->count--;
}

static uint32_t
add_entry (struct eg_prefix_table *self, uint64_t hash)
{
  uint32_t *bucket = bucket_of (self, hash);
  struct entry *entry;
  uint32_t at;

  if (self->free_first == NONE)
    remove_entry (self, self->oldest);
  at = self->free_first;
  entry = &self->entries[at];
  self->free_first = entry->next;
  entry->hash = hash;
  entry->next = *bucket;
  *bucket = at;
  self->count++;
  return at;
}

void
eg_prefix_table_put (struct eg_prefix_table *self,
                     uint64_t prefix_hash,
                     uint32_t server)
{
  uint32_t at = find (self, prefix_hash);

  if (at == NONE)
    at = add_entry (self, prefix_hash);
  else
    unlink_age (self, at);
  link_newest (self, at);
  self->entries[at].server = server;
}

uint32_t
eg_prefix_table_lookup (const struct eg_prefix_table *self,
                        uint64_t prefix_hash)
{
  uint32_t at = find (self, prefix_hash);

  return at == NONE ? EG_SERVER_NONE : self->entries[at].server;
}

bool
eg_prefix_table_evict (struct eg_prefix_table *self,
                       uint64_t prefix_hash,
                       uint32_t server)
{
  uint32_t at = find (self, prefix_hash);

  if (at == NONE || self->entries[at].server != server)
    return false;
  remove_entry (self, at);
  return true;
}

void
eg_prefix_table_remove_server (struct eg_prefix_table *self, uint32_t server)
{
  uint32_t at = self->oldest;

  while (at != NONE)
    {
      uint32_t newer = self->entries[at].newer;

      if (self->entries[at].server == server)
        remove_entry (self, at);
      at = newer;
    }
}

uint32_t
eg_prefix_table_count (const struct eg_prefix_table *self)
{
  return self->count;
}
