/**
 * @file
 * Remembers which first-stage server probably has a prompt prefix in its KV
 * cache.
 */
#ifndef EG_POLICY_PREFIX_H
#define EG_POLICY_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/**
 * A bounded table that evicts the least recently set entry. Entries are hints:
 * the server may have evicted the prefix or be gone.
 */
struct eg_prefix_table;

/**
 * Creates a table of at most @p entries_max entries; NULL when out of memory.
 */
struct eg_prefix_table *eg_prefix_table_new (uint32_t entries_max);

/** Frees the table; NULL is allowed. */
void eg_prefix_table_free (struct eg_prefix_table *self);

/** Records that @p server holds the prefix, replacing an earlier server. */
void eg_prefix_table_put (struct eg_prefix_table *self,
                          uint64_t prefix_hash,
                          uint32_t server);

/** Returns the server recorded for the prefix, or EG_SERVER_NONE. */
uint32_t eg_prefix_table_lookup (const struct eg_prefix_table *self,
                                 uint64_t prefix_hash);

/**
 * Removes the prefix after @p server has evicted it.
 * @return false if no server, or another one, is recorded for it.
 */
bool eg_prefix_table_evict (struct eg_prefix_table *self,
                            uint64_t prefix_hash,
                            uint32_t server);

/** Removes all prefixes of a server that restarted or is gone. */
void eg_prefix_table_remove_server (struct eg_prefix_table *self,
                                    uint32_t server);

/** Returns the number of recorded prefixes. */
uint32_t eg_prefix_table_count (const struct eg_prefix_table *self);

EG_END_DECLS

#endif
