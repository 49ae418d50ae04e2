/**
 * @file
 * What an engine ran: one entry for each token and range of layers.
 *
 * Appending is meant for the caller's lock; memory is bounded.
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
  int64_t max;     /**< Entries kept; later ones are only counted. */
  int64_t count;   /**< Entries kept so far. */
  int64_t dropped; /**< Entries that came after the bound. */
  char **requests; /**< The request names; entries hold their numbers. */
  size_t request_count;
  size_t request_capacity;
  struct eg_record_block **blocks;
  size_t block_capacity;
};

/** One token run by one range of layers. */
struct eg_record_entry
{
  uint32_t request; /**< From eg_record_add_request(). */
  uint32_t attempt;
  uint32_t position;
  uint16_t first;
  uint16_t last;
  int64_t sequence; /**< Rises with time, over all processes of a host. */
};

/** Makes an empty record of up to @p max entries. */
void eg_record_init (struct eg_record *self, int64_t max);

/** Frees all entries. */
void eg_record_finish (struct eg_record *self);

/** Numbers a request name for later entries. */
uint32_t eg_record_add_request (struct eg_record *self, const char *request);

/** Appends @p entry, with the next sequence number. */
void eg_record_append (struct eg_record *self, struct eg_record_entry entry);

/** Returns the entry at @p index, which is below the count. */
const struct eg_record_entry *eg_record_at (const struct eg_record *self,
                                            int64_t index);

/** Writes the entry at @p index as a JSON object. */
void eg_record_print (const struct eg_record *self,
                      int64_t index,
                      const char *server_json,
                      struct eg_buffer *out);

EG_END_DECLS

#endif
