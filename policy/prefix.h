/**
 * @file
 * Which head server is likely to hold the KV cache of a prompt's start.
 */
#ifndef EG_POLICY_PREFIX_H
#define EG_POLICY_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/**
 * A bounded table; the entry longest not noted makes room for a new one.
 * It holds hints: what it names may have evicted the prefix or be gone.
 */
struct eg_prefix_table;

/** Makes an empty table of at most @p entries_max; NULL without memory. */
struct eg_prefix_table *eg_prefix_table_new (uint32_t entries_max);

/** Frees the table. */
void eg_prefix_table_free (struct eg_prefix_table *self);

/** Notes that @p server holds the prefix; the latest server counts. */
void eg_prefix_table_put (struct eg_prefix_table *self,
                          uint64_t prefix_hash,
                          uint32_t server);

/** Returns the server noted for the prefix, or EG_SERVER_NONE. */
uint32_t eg_prefix_table_lookup (const struct eg_prefix_table *self,
                                 uint64_t prefix_hash);

/**
 * Takes in that @p server evicted the prefix.
 * @return false if another server, or none, is noted for it.
 */
bool eg_prefix_table_evict (struct eg_prefix_table *self,
                            uint64_t prefix_hash,
                            uint32_t server);

/** Forgets all prefixes of a server that restarted or is gone. */
void eg_prefix_table_remove_server (struct eg_prefix_table *self,
                                    uint32_t server);

/** Returns how many prefixes are noted. */
uint32_t eg_prefix_table_count (const struct eg_prefix_table *self);

EG_END_DECLS

#endif
