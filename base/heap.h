/**
 * @file
 * A binary min-heap of nodes that the caller embeds in its own structs.
 */
#ifndef EG_BASE_HEAP_H
#define EG_BASE_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** The part of an entry that the heap uses; the lowest key comes first. */
struct eg_heap_node
{
  int64_t key;
  uint64_t order; /**< Decides between equal keys; the lower comes first. */
  size_t index;
};

/** An array in heap order; it grows and shrinks with the count. */
struct eg_heap
{
  struct eg_heap_node **nodes;
  size_t count;
  size_t capacity;
};

/** Makes an empty heap. */
void eg_heap_init (struct eg_heap *self);

/** Frees the array; the nodes stay the caller's. */
void eg_heap_finish (struct eg_heap *self);

/** Adds @p node by its key; false if memory could not be had. */
bool eg_heap_insert (struct eg_heap *self, struct eg_heap_node *node);

/** Removes @p node, which must be in the heap. */
void eg_heap_remove (struct eg_heap *self, struct eg_heap_node *node);

/** Restores the order after the key of @p node has changed. */
void eg_heap_update (struct eg_heap *self, struct eg_heap_node *node);

/** Restores the order after many keys have changed. */
void eg_heap_rebuild (struct eg_heap *self);

/** Returns the node with the lowest key, or NULL. */
struct eg_heap_node *eg_heap_first (const struct eg_heap *self);

EG_END_DECLS

#endif
