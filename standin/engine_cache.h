/**
 * @file
 * The prefix cache of an engine, and its late events with gaps.
 *
 * A prompt is cut into blocks; a block's hash covers all up to its end.
 */
#ifndef EG_STANDIN_ENGINE_CACHE_H
#define EG_STANDIN_ENGINE_CACHE_H

#include <jansson.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Bytes of a prompt that count as one token. */
#define EG_PROMPT_TOKEN_BYTES 4

/** Prompt tokens in one block. */
#define EG_CACHE_BLOCK_TOKENS 16

#define EG_CACHE_BUCKETS 1024
#define EG_CACHE_EVENT_CAPACITY 4096

struct eg_cache_block;
LIST_HEAD (eg_cache_bucket, eg_cache_block);
TAILQ_HEAD (eg_cache_lru, eg_cache_block);

/** A block that came or went. */
struct eg_cache_event
{
  int64_t sequence;
  int64_t at_us;
  uint64_t hash;
  bool is_added;
};

/** The blocks held, least recently used first, and the latest events. */
struct eg_engine_cache
{
  int64_t capacity;
  int64_t count;
  struct eg_cache_bucket buckets[EG_CACHE_BUCKETS];
  struct eg_cache_lru lru;
  struct eg_cache_event events[EG_CACHE_EVENT_CAPACITY];
  int64_t event_count;
  int64_t sequence; /**< Of the last event, published or not. */
};

/** Makes an empty cache of up to @p capacity blocks. */
void eg_engine_cache_init (struct eg_engine_cache *self, int64_t capacity);

/** Frees all blocks, as a death does; the sequence goes on. */
void eg_engine_cache_clear (struct eg_engine_cache *self);

/**
 * Uses a prompt: its blocks are in the cache afterwards.
 * @return how many of its tokens were there before.
 */
int64_t eg_engine_cache_use (struct eg_engine_cache *self,
                             struct eg_str prompt,
                             int64_t now_us);

/** Returns the events after @p sequence that happened up to @p until_us. */
json_t *eg_engine_cache_events (const struct eg_engine_cache *self,
                                int64_t sequence,
                                int64_t until_us);

EG_END_DECLS

#endif
