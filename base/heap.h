/**
 * @file
 * Intrusive binary min-heap.
 */
#ifndef EG_BASE_HEAP_H
#define EG_BASE_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Node that the caller embeds in its own struct; lowest key first. */
struct eg_heap_node
{
  int64_t key;
  uint64_t order; /**< Breaks ties between equal keys; lowest first. */
  size_t index;   /**< Position in the node array. */
};

/** Heap; the node array grows and shrinks with the count. */
struct eg_heap
{
  struct eg_heap_node **nodes;
  size_t count;
  size_t capacity;
};

/** Initialises an empty heap. */
void eg_heap_init (struct eg_heap *self);

/** Frees the node array; the caller still owns the nodes. */
void eg_heap_finish (struct eg_heap *self);

/** Inserts @p node by its key; returns false on allocation failure. */
bool eg_heap_insert (struct eg_heap *self, struct eg_heap_node *node);

/** Removes @p node, which must be in the heap. */
void eg_heap_remove (struct eg_heap *self, struct eg_heap_node *node);

/** Restores the heap order after the key of @p node has changed. */
void eg_heap_update (struct eg_heap *self, struct eg_heap_node *node);

/** Restores the heap order after any number of keys have changed. */
void eg_heap_rebuild (struct eg_heap *self);

/** Returns the node with the lowest key, or NULL. */
struct eg_heap_node *eg_heap_first (const struct eg_heap *self);

EG_END_DECLS

#endif
