#include "standin/engine_cache.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"

#define BLOCK_BYTES ((size_t) EG_CACHE_BLOCK_TOKENS * EG_PROMPT_TOKEN_BYTES)
#define HASH_TEXT_BYTES 17

/* Every event whose sequence number is a multiple of this is left out, so that
   clients have to handle gaps. */
#define GAP_INTERVAL 7

struct eg_cache_block
{
  uint64_t hash;
  LIST_ENTRY (eg_cache_block) bucket_link;
  TAILQ_ENTRY (eg_cache_block) lru_link;
};

void
eg_engine_cache_init (struct eg_engine_cache *self, int64_t capacity)
{
  memset (self, 0, sizeof *self);
  self->capacity = capacity;
  for (int i = 0; i < EG_CACHE_BUCKETS; i++)
    LIST_INIT (&self->buckets[i]);
  TAILQ_INIT (&self->lru);
}

static void
remove_block (struct eg_engine_cache *self, struct eg_cache_block *block)
{
  LIST_REMOVE (block, bucket_link);
  TAILQ_REMOVE (&self->lru, block, lru_link);
  free (block);
  self->count--;
}

void
eg_engine_cache_clear (struct eg_engine_cache *self)
{
  struct eg_cache_block *block;

  while ((block = TAILQ_FIRST (&self->lru)) != NULL)
    remove_block (self, block);
  self->event_count = 0;
}

static void
append_event (struct eg_engine_cache *self,
              uint64_t hash,
              bool is_added,
              int64_t now_us)
{
  self->sequence++;
  if (self->sequence % GAP_INTERVAL == 0)
    return;
  self->events[self->event_count % EG_CACHE_EVENT_CAPACITY] =
      (struct eg_cache_event){self->sequence, now_us, hash, is_added};
  self->event_count++;
}

static struct eg_cache_block *
find_block (struct eg_engine_cache *self, uint64_t hash)
{
  struct eg_cache_block *block;

  LIST_FOREACH (block, &self->buckets[hash % EG_CACHE_BUCKETS], bucket_link)
  if (block->hash == hash)
    return block;
  return NULL;
}

static void
add_block (struct eg_engine_cache *self, uint64_t hash, int64_t now_us)
{
  struct eg_cache_block *block = calloc (1, sizeof *block);

  EG_INVARIANT (block != NULL);
  if (self->count >= self->capacity)
    {
      struct eg_cache_block *lru_block = TAILQ_FIRST (&self->lru);

      append_event (self, lru_block->hash, false, now_us);
      remove_block (self, lru_block);
    }
  block->hash = hash;
  LIST_INSERT_HEAD (&self->buckets[hash % EG_CACHE_BUCKETS], block,
                    bucket_link);
  TAILQ_INSERT_TAIL (&self->lru, block, lru_link);
  self->count++;
  append_event (self, hash, true, now_us);
}

int64_t
eg_engine_cache_use (struct eg_engine_cache *self,
                     struct eg_str prompt,
                     int64_t now_us)
{
  uint64_t state = EG_HASH_START;
  bool is_prefix = true;
  int64_t cached = 0;

  if (self->capacity == 0)
    return 0;
  for (size_t at = 0; at + BLOCK_BYTES <= prompt.len; at += BLOCK_BYTES)
    {
      struct eg_str chunk = {prompt.data + at, BLOCK_BYTES};
      struct eg_cache_block *block;
      uint64_t hash;

      state = eg_hash_add (state, chunk);
      hash = eg_hash_mix (state);
      block = find_block (self, hash);
      is_prefix = is_prefix && block;
      if (is_prefix)
        cached += EG_CACHE_BLOCK_TOKENS;
      if (!block)
        {
          add_block (self, hash, now_us);
          continue;
        }
      TAILQ_REMOVE (&self->lru, block, lru_link);
      TAILQ_INSERT_TAIL (&self->lru, block, lru_link);
    }
  return cached;
}

json_t *
eg_engine_cache_events (const struct eg_engine_cache *self,
                        int64_t sequence,
                        int64_t until_us)
{
  json_t *events = json_array ();
  int64_t first = self->event_count > EG_CACHE_EVENT_CAPACITY
                      ? self->event_count - EG_CACHE_EVENT_CAPACITY
                      : 0;

  for (int64_t i = first; i < self->event_count; i++)
    {
      const struct eg_cache_event *event =
          &self->events[i % EG_CACHE_EVENT_CAPACITY];
      char hash[HASH_TEXT_BYTES];

      if (event->sequence <= sequence || event->at_us > until_us)
        continue;
      snprintf (hash, sizeof hash, "%016" PRIx64, event->hash);
      json_array_append_new (
          events,
          json_pack ("{s:I,s:s,s:s}", "sequence", event->sequence, "event",
                     event->is_added ? "added" : "evicted", "hash", hash));
    }
  return events;
}
