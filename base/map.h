/**
 * @file
 * A hash table from 64-bit keys to pointers.
 */
#ifndef EG_BASE_MAP_H
#define EG_BASE_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

struct eg_map_slot;

/** The table; zero-initialised memory is an empty one. */
struct eg_map
{
  struct eg_map_slot *slots;
  size_t capacity; /**< A power of two, or 0. */
  size_t count;
};

/** Makes an empty table. */
void eg_map_init (struct eg_map *self);

/** Frees the table; what the values point to stays with its owner. */
void eg_map_finish (struct eg_map *self);

/** Returns the value under @p key, or NULL. */
void *eg_map_get (const struct eg_map *self, uint64_t key);

/** Puts @p value, which is not NULL, under @p key; replaces an earlier one. */
void eg_map_put (struct eg_map *self, uint64_t key, void *value);

/** Takes the value under @p key out and returns it, or NULL. */
void *eg_map_remove (struct eg_map *self, uint64_t key);

/**
 * Walks all values, in no stated order; the table must not change meanwhile.
 * @param[in,out] cursor 0 at the start.
 * @return the next value, or NULL at the end.
 */
void *eg_map_next (const struct eg_map *self, size_t *cursor);

EG_END_DECLS

#endif
