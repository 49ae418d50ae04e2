/**
 * @file
 * Memory that is allocated piece by piece and freed as a whole.
 */
#ifndef EG_BASE_ARENA_H
#define EG_BASE_ARENA_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

struct eg_arena_block;

/** An arena; zero-initialised memory is a valid empty arena. */
struct eg_arena
{
  struct eg_arena_block *newest;
};

/** Frees all memory and leaves the arena empty. */
void eg_arena_finish (struct eg_arena *self);

/**
 * Allocates an array of zero bytes that is suitably aligned for any type and
 * stays at its address until the arena is finished.
 */
void *eg_arena_array (struct eg_arena *self, size_t count, size_t size);

/** Copies @p s; the copy is followed by a zero byte. */
struct eg_str eg_arena_copy (struct eg_arena *self, struct eg_str s);

EG_END_DECLS

#endif
