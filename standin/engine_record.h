/**
 * @file
 * Record of what an engine ran: one entry per token and range of layers.
 *
 * Not thread-safe: callers hold a lock. The number of entries is limited.
 */
#ifndef EG_STANDIN_ENGINE_RECORD_H
#define EG_STANDIN_ENGINE_RECORD_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "standin/fields.h"

EG_BEGIN_DECLS

struct eg_record_block;

/** An append-only list of entries. */
struct eg_record
{
  int64_t max;     /**< Limit of count; further entries are only counted. */
  int64_t count;   /**< Stored entries. */
  int64_t dropped; /**< Entries over the limit. */
  char **requests; /**< Request names as JSON strings, by index. */
  size_t request_count;
  size_t request_capacity;
  struct eg_record_block **blocks;
  size_t block_capacity;
};

/** Execution of one token by one range of layers. */
struct eg_record_entry
{
  uint32_t request; /**< From eg_record_add_request(). */
  uint32_t attempt;
  uint32_t position;
  uint16_t first;
  uint16_t last;
  int64_t sequence; /**< Increases with time, over all processes of a host. */
};

/** Initializes an empty record of at most @p max entries. */
void eg_record_init (struct eg_record *self, int64_t max);

/** Frees all entries. */
void eg_record_finish (struct eg_record *self);

/** Adds a request name and returns its index, for use in entries. */
uint32_t eg_record_add_request (struct eg_record *self, const char *request);

/** Appends @p entry with the next sequence number. */
void eg_record_append (struct eg_record *self, struct eg_record_entry entry);

/** Returns the entry at @p index, which must be below @c count. */
const struct eg_record_entry *eg_record_at (const struct eg_record *self,
                                            int64_t index);

/**
 * Appends the entry at @p index to @p out as a JSON object.
 * @param server_json the name of the engine as a JSON string.
 */
void eg_record_print (const struct eg_record *self,
                      int64_t index,
                      const char *server_json,
                      struct eg_buffer *out);

EG_END_DECLS

#endif
