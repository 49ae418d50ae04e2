#include "policy/quarantine.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/list.h"
#include "base/map.h"

/* The last death of one server. */
struct death
{
  uint64_t server;
  int64_t at_us;
};

/* What is remembered of one fingerprint. */
struct entry
{
  struct eg_list link; /* In @c suspects or @c held. */
  uint64_t fingerprint;
  int64_t until_us; /* End of the quarantine; 0 for a suspect. */
  unsigned death_count;
  struct death deaths[EG_QUARANTINE_CRASHES_MAX];
};

struct eg_quarantine
{
  struct eg_quarantine_config config;
  struct eg_map entries;   /* By fingerprint. */
  struct eg_list suspects; /* By their last death, the oldest first. */
  struct eg_list held;     /* By @c until_us, the soonest first. */
  int64_t now_us;          /* The latest time seen. */
};

uint64_t
eg_quarantine_fingerprint (struct eg_str organisation,
                           struct eg_str path,
                           struct eg_str body)
{
  uint64_t hash = eg_hash_add (EG_HASH_START, organisation);

  hash = eg_hash_add (hash, path);
  hash = eg_hash_add (hash, body);
  return eg_hash_mix (hash);
}

static unsigned
clamp_deaths (unsigned deaths_max)
{
  if (deaths_max < 1)
    return 1;
  if (deaths_max > EG_QUARANTINE_CRASHES_MAX)
    return EG_QUARANTINE_CRASHES_MAX;
  return deaths_max;
}

struct eg_quarantine *
eg_quarantine_new (const struct eg_quarantine_config *config)
{
  struct eg_quarantine *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  eg_map_init (&self->entries);
  self->config = *config;
  self->config.crashes_min = clamp_deaths (config->crashes_min);
  if (self->config.entries_max < 1)
    self->config.entries_max = 1;
  eg_list_init (&self->suspects);
  eg_list_init (&self->held);
  return self;
}

static struct entry *
entry_of (struct eg_list *link)
{
  return EG_CONTAINER_OF (link, struct entry, link);
}

static void
drop_entry (struct eg_quarantine *self, struct entry *entry)
{
  eg_list_remove (&entry->link);
  eg_map_remove (&self->entries, entry->fingerprint);
  free (entry);
}

static void
drop_first (struct eg_quarantine *self, struct eg_list *list)
{
  drop_entry (self, entry_of (list->next));
}

void
eg_quarantine_free (struct eg_quarantine *self)
{
  if (!self)
    return;
  while (!eg_list_is_empty (&self->suspects))
    drop_first (self, &self->suspects);
  while (!eg_list_is_empty (&self->held))
    drop_first (self, &self->held);
  eg_map_finish (&self->entries);
  free (self);
}

static struct entry *
find_entry (const struct eg_quarantine *self, uint64_t fingerprint)
{
  return eg_map_get (&self->entries, fingerprint);
}

/* Forgets quarantines that have ended and deaths that are too old. */
static void
expire (struct eg_quarantine *self, int64_t now_us)
{
  if (now_us > self->now_us)
    self->now_us = now_us;
  while (!eg_list_is_empty (&self->held)
         && entry_of (self->held.next)->until_us <= self->now_us)
    drop_first (self, &self->held);
  while (!eg_list_is_empty (&self->suspects))
    {
      const struct entry *oldest = entry_of (self->suspects.next);
      const struct death *last = &oldest->deaths[oldest->death_count - 1];

      if (self->now_us - last->at_us <= self->config.window_us)
        return;
      drop_first (self, &self->suspects);
    }
}

static void
make_room (struct eg_quarantine *self)
{
  if (self->entries.count < self->config.entries_max)
    return;
  if (!eg_list_is_empty (&self->suspects))
    drop_first (self, &self->suspects);
  else
    drop_first (self, &self->held);
}

static struct entry *
add_entry (struct eg_quarantine *self, uint64_t fingerprint)
{
  struct entry *entry;

  make_room (self);
  entry = calloc (1, sizeof *entry);
  if (!entry)
    return NULL;
  entry->fingerprint = fingerprint;
  eg_list_append (&self->suspects, &entry->link);
  eg_map_put (&self->entries, fingerprint, entry);
  return entry;
}

/* Keeps @c held in order; most quarantines end after all that stand. */
static void
hold (struct eg_quarantine *self, struct entry *entry, int64_t until_us)
{
  struct eg_list *after;

  eg_list_remove (&entry->link);
  entry->until_us = until_us;
  after = self->held.prev;
  while (after != &self->held && entry_of (after)->until_us > until_us)
    after = after->prev;
  eg_list_append (after->next, &entry->link);
}

/* Keeps the deaths in the order of their time, each server once. */
static void
record_death (struct eg_quarantine *self,
              struct entry *entry,
              uint64_t server,
              int64_t now_us)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < entry->death_count; i++)
    {
      const struct death *death = &entry->deaths[i];

      if (death->server != server
          && now_us - death->at_us <= self->config.window_us)
        entry->deaths[kept++] = *death;
    }
  entry->deaths[kept] = (struct death){server, now_us};
  entry->death_count = kept + 1;
}

bool
eg_quarantine_record_crash (struct eg_quarantine *self,
                            uint64_t fingerprint,
                            uint64_t server,
                            int64_t now_us)
{
  struct entry *entry;

  expire (self, now_us);
  entry = find_entry (self, fingerprint);
  if (!entry)
    entry = add_entry (self, fingerprint);
  if (!entry || entry->until_us)
    return false;
  record_death (self, entry, server, self->now_us);
  if (entry->death_count >= self->config.crashes_min)
    {
      hold (self, entry, self->now_us + self->config.duration_us);
      return true;
    }
  eg_list_remove (&entry->link);
  eg_list_append (&self->suspects, &entry->link);
  return false;
}

void
eg_quarantine_add (struct eg_quarantine *self,
                   uint64_t fingerprint,
                   int64_t until_us)
{
  struct entry *entry = find_entry (self, fingerprint);

  if (until_us <= self->now_us || (entry && entry->until_us >= until_us))
    return;
  if (!entry)
    {
      expire (self, self->now_us);
      entry = add_entry (self, fingerprint);
    }
  if (entry)
    hold (self, entry, until_us);
}

bool
eg_quarantine_remove (struct eg_quarantine *self, uint64_t fingerprint)
{
  struct entry *entry = find_entry (self, fingerprint);

  if (!entry || !entry->until_us)
    return false;
  drop_entry (self, entry);
  return true;
}

bool
eg_quarantine_is_active (const struct eg_quarantine *self,
                         uint64_t fingerprint,
                         int64_t now_us,
                         int64_t *retry_after_us)
{
  const struct entry *entry = find_entry (self, fingerprint);
  bool held = entry && entry->until_us > now_us;

  if (retry_after_us)
    *retry_after_us = held ? entry->until_us - now_us : 0;
  return held;
}

size_t
eg_quarantine_count (const struct eg_quarantine *self)
{
  return self->entries.count;
}
