/**
 * @file
 * Hash map from 64-bit keys to pointers, with open addressing.
 */
#ifndef EG_BASE_MAP_H
#define EG_BASE_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

struct eg_map_slot;

/** A map; zero-initialised memory is a valid empty map. */
struct eg_map
{
  struct eg_map_slot *slots;
  size_t capacity; /**< A power of two, or 0. */
  size_t count;
};

/** Initialises an empty map. */
void eg_map_init (struct eg_map *self);

/** Frees the map, but not what its values point to. */
void eg_map_finish (struct eg_map *self);

/** Returns the value for @p key, or NULL. */
void *eg_map_get (const struct eg_map *self, uint64_t key);

/** Sets the value for @p key; @p value must not be NULL. */
void eg_map_put (struct eg_map *self, uint64_t key, void *value);

/** Removes @p key and returns its value, or NULL if there was none. */
void *eg_map_remove (struct eg_map *self, uint64_t key);

/**
 * Iterates over all values in unspecified order; the map must not be modified
 * meanwhile.
 * @param[in,out] cursor iteration state; 0 to start.
 * @return the next value, or NULL at the end.
 */
void *eg_map_next (const struct eg_map *self, size_t *cursor);

EG_END_DECLS

#endif
