/**
 * @file
 * A hash table of nodes that the caller embeds in its own structs, for things
 * found by name: several may share a hash. See map.h for things found by
 * number.
 */
#ifndef EG_BASE_HASH_TABLE_H
#define EG_BASE_HASH_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** The part of an entry that the table uses. */
struct eg_hash_node
{
  struct eg_hash_node *next;
  uint64_t hash;
};

/** Chains of nodes; the buckets grow and shrink with the count. */
struct eg_hash_table
{
  struct eg_hash_node **buckets;
  size_t bucket_count; /**< A power of two. */
  size_t count;
};

/** Makes an empty table; false if memory could not be had. */
bool eg_hash_table_init (struct eg_hash_table *self);

/** Frees the buckets; the nodes stay the caller's. */
void eg_hash_table_finish (struct eg_hash_table *self);

/** Adds @p node under @p hash, which should have its bits mixed. */
void eg_hash_table_insert (struct eg_hash_table *self,
                           struct eg_hash_node *node,
                           uint64_t hash);

/** Removes @p node, which must be in the table. */
void eg_hash_table_remove (struct eg_hash_table *self,
                           struct eg_hash_node *node);

/** Returns the first node under @p hash, or NULL. */
struct eg_hash_node *eg_hash_table_find (const struct eg_hash_table *self,
                                         uint64_t hash);

/** Returns the next node under the hash of @p node, or NULL. */
struct eg_hash_node *eg_hash_node_next (const struct eg_hash_node *node);

/**
 * Calls @p drop for each node and unlinks those for which it returns true;
 * @p drop may free such a node.
 */
void eg_hash_table_filter (struct eg_hash_table *self,
                           bool (*drop) (struct eg_hash_node *node,
                                         void *context),
                           void *context);

EG_END_DECLS

#endif
