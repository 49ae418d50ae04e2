/**
 * @file
 * Prefix cache of an engine, with an event log that is delayed and has gaps.
 *
 * Prompts are split into blocks; a block's hash covers the prompt up to its
 * end.
 */
#ifndef EG_STANDIN_ENGINE_CACHE_H
#define EG_STANDIN_ENGINE_CACHE_H

#include <jansson.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Bytes of a prompt per token. */
#define EG_PROMPT_TOKEN_BYTES 4

/** Prompt tokens per block. */
#define EG_CACHE_BLOCK_TOKENS 16

#define EG_CACHE_BUCKETS 1024
#define EG_CACHE_EVENT_CAPACITY 4096

struct eg_cache_block;
LIST_HEAD (eg_cache_bucket, eg_cache_block);
TAILQ_HEAD (eg_cache_lru, eg_cache_block);

/** Insertion or eviction of a block. */
struct eg_cache_event
{
  int64_t sequence;
  int64_t at_us;
  uint64_t hash;
  bool is_added;
};

/** Cached blocks and a ring buffer of the latest events. */
struct eg_engine_cache
{
  int64_t capacity;
  int64_t count;
  struct eg_cache_bucket buckets[EG_CACHE_BUCKETS];
  struct eg_cache_lru lru; /**< Least recently used first. */
  struct eg_cache_event events[EG_CACHE_EVENT_CAPACITY];
  int64_t event_count; /**< Events logged since the last crash. */
  int64_t sequence;    /**< Of the last event, whether or not it was logged. */
};

/** Initializes an empty cache of at most @p capacity blocks. */
void eg_engine_cache_init (struct eg_engine_cache *self, int64_t capacity);

/** Drops all blocks and events after a crash; sequence numbers continue. */
void eg_engine_cache_clear (struct eg_engine_cache *self);

/**
 * Looks up the prefix of a prompt and adds the blocks that are missing.
 * @return the number of its leading tokens that were cached.
 */
int64_t eg_engine_cache_use (struct eg_engine_cache *self,
                             struct eg_str prompt,
                             int64_t now_us);

/** Returns the logged events after @p sequence, up to the time @p until_us. */
json_t *eg_engine_cache_events (const struct eg_engine_cache *self,
                                int64_t sequence,
                                int64_t until_us);

EG_END_DECLS

#endif
