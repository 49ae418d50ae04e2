#include "policy/quarantine.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/list.h"
#include "base/map.h"

/* The last crash of one server. */
struct crash
{
  uint64_t server;
  int64_t at_us;
};

/* A suspected or quarantined fingerprint. */
struct entry
{
  struct eg_list link; /* In @c suspects or @c quarantined. */
  uint64_t fingerprint;
  int64_t until_us; /* End of the quarantine; 0 for a suspect. */
  unsigned crash_count;
  struct crash crashes[EG_QUARANTINE_CRASHES_MAX];
};

struct eg_quarantine
{
  struct eg_quarantine_config config;
  struct eg_map entries;      /* Keyed by fingerprint. */
  struct eg_list suspects;    /* By last crash, the oldest first. */
  struct eg_list quarantined; /* By @c until_us, the earliest first. */
  int64_t now_us;             /* Latest time passed in. */
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
clamp_crashes (unsigned crashes_min)
{
  if (crashes_min < 1)
    return 1;
  if (crashes_min > EG_QUARANTINE_CRASHES_MAX)
    return EG_QUARANTINE_CRASHES_MAX;
  return crashes_min;
}

struct eg_quarantine *
eg_quarantine_new (const struct eg_quarantine_config *config)
{
  struct eg_quarantine *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  eg_map_init (&self->entries);
  self->config = *config;
  self->config.crashes_min = clamp_crashes (config->crashes_min);
  if (self->config.entries_max < 1)
    self->config.entries_max = 1;
  eg_list_init (&self->suspects);
  eg_list_init (&self->quarantined);
  return self;
}

static struct entry *
entry_from_link (struct eg_list *link)
{
  return EG_CONTAINER_OF (link, struct entry, link);
}

static void
remove_entry (struct eg_quarantine *self, struct entry *entry)
{
  eg_list_remove (&entry->link);
  eg_map_remove (&self->entries, entry->fingerprint);
  free (entry);
}

static void
remove_first (struct eg_quarantine *self, struct eg_list *list)
{
  remove_entry (self, entry_from_link (list->next));
}

void
eg_quarantine_free (struct eg_quarantine *self)
{
  if (!self)
    return;
  while (!eg_list_is_empty (&self->suspects))
    remove_first (self, &self->suspects);
  while (!eg_list_is_empty (&self->quarantined))
    remove_first (self, &self->quarantined);
  eg_map_finish (&self->entries);
  free (self);
}

static struct entry *
find_entry (const struct eg_quarantine *self, uint64_t fingerprint)
{
  return eg_map_get (&self->entries, fingerprint);
}

/* Removes quarantines that have ended and suspects whose last crash is too
   old. */
static void
expire (struct eg_quarantine *self, int64_t now_us)
{
  if (now_us > self->now_us)
    self->now_us = now_us;
  while (!eg_list_is_empty (&self->quarantined)
         && entry_from_link (self->quarantined.next)->until_us <= self->now_us)
    remove_first (self, &self->quarantined);
  while (!eg_list_is_empty (&self->suspects))
    {
      const struct entry *oldest = entry_from_link (self->suspects.next);
      const struct crash *last = &oldest->crashes[oldest->crash_count - 1];

      if (self->now_us - last->at_us <= self->config.window_us)
        return;
      remove_first (self, &self->suspects);
    }
}

static void
evict_if_full (struct eg_quarantine *self)
{
  if (self->entries.count < self->config.entries_max)
    return;
  if (!eg_list_is_empty (&self->suspects))
    remove_first (self, &self->suspects);
  else
    remove_first (self, &self->quarantined);
}

static struct entry *
add_entry (struct eg_quarantine *self, uint64_t fingerprint)
{
  struct entry *entry;

  evict_if_full (self);
  entry = calloc (1, sizeof *entry);
  if (!entry)
    return NULL;
  entry->fingerprint = fingerprint;
  eg_list_append (&self->suspects, &entry->link);
  eg_map_put (&self->entries, fingerprint, entry);
  return entry;
}

/* Inserts in the order of @c until_us, searching from the end since most new
   quarantines end last. */
static void
start_quarantine (struct eg_quarantine *self,
                  struct entry *entry,
                  int64_t until_us)
{
  struct eg_list *position;

  eg_list_remove (&entry->link);
  entry->until_us = until_us;
  position = self->quarantined.prev;
  while (position != &self->quarantined
         && entry_from_link (position)->until_us > until_us)
    position = position->prev;
  eg_list_append (position->next, &entry->link);
}

/* Keeps the crashes in the order of time, with one entry per server. */
static void
record_crash (struct eg_quarantine *self,
              struct entry *entry,
              uint64_t server,
              int64_t now_us)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < entry->crash_count; i++)
    {
      const struct crash *crash = &entry->crashes[i];

      if (crash->server != server
          && now_us - crash->at_us <= self->config.window_us)
        entry->crashes[kept++] = *crash;
    }
  entry->crashes[kept] = (struct crash){server, now_us};
  entry->crash_count = kept + 1;
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
  record_crash (self, entry, server, self->now_us);
  if (entry->crash_count >= self->config.crashes_min)
    {
      start_quarantine (self, entry, self->now_us + self->config.duration_us);
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
    start_quarantine (self, entry, until_us);
}

bool
eg_quarantine_remove (struct eg_quarantine *self, uint64_t fingerprint)
{
  struct entry *entry = find_entry (self, fingerprint);

  if (!entry || !entry->until_us)
    return false;
  remove_entry (self, entry);
  return true;
}

bool
eg_quarantine_is_active (const struct eg_quarantine *self,
                         uint64_t fingerprint,
                         int64_t now_us,
                         int64_t *retry_after_us)
{
  const struct entry *entry = find_entry (self, fingerprint);
  bool active = entry && entry->until_us > now_us;

  if (retry_after_us)
    *retry_after_us = active ? entry->until_us - now_us : 0;
  return active;
}

size_t
eg_quarantine_count (const struct eg_quarantine *self)
{
  return self->entries.count;
}
