/**
 * @file
 * Intrusive hash table with chaining, for entries looked up by name. Several
 * nodes may have the same hash, and the caller compares the names. For lookup
 * by a unique 64-bit key see map.h.
 */
#ifndef EG_BASE_HASH_TABLE_H
#define EG_BASE_HASH_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Node that the caller embeds in its own struct. */
struct eg_hash_node
{
  struct eg_hash_node *next;
  uint64_t hash;
};

/** Hash table; the bucket array grows and shrinks with the node count. */
struct eg_hash_table
{
  struct eg_hash_node **buckets;
  size_t bucket_count; /**< A power of two. */
  size_t count;
};

/** Initialises an empty table; returns false on allocation failure. */
bool eg_hash_table_init (struct eg_hash_table *self);

/** Frees the bucket array; the caller still owns the nodes. */
void eg_hash_table_finish (struct eg_hash_table *self);

/** Inserts @p node under @p hash, whose low bits select the bucket. */
void eg_hash_table_insert (struct eg_hash_table *self,
                           struct eg_hash_node *node,
                           uint64_t hash);

/** Removes @p node, which must be in the table. */
void eg_hash_table_remove (struct eg_hash_table *self,
                           struct eg_hash_node *node);

/** Returns the first node with hash @p hash, or NULL. */
struct eg_hash_node *eg_hash_table_find (const struct eg_hash_table *self,
                                         uint64_t hash);

/** Returns the next node with the same hash as @p node, or NULL. */
struct eg_hash_node *eg_hash_node_next (const struct eg_hash_node *node);

/**
 * Calls @p drop for each node and removes those for which it returns true;
 * @p drop may free the nodes that it selects.
 */
void eg_hash_table_filter (struct eg_hash_table *self,
                           bool (*drop) (struct eg_hash_node *node,
                                         void *context),
                           void *context);

EG_END_DECLS

#endif
