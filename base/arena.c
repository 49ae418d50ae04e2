#include "base/arena.h"

#include <stdalign.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/status.h"

/* Allocations of a quarter of a block or more get a block of their own, so
 * that at most a quarter of a block stays unused. */
#define BLOCK_BYTES 4096

struct eg_arena_block
{
  struct eg_arena_block *older;
  size_t used;
  size_t capacity;
  alignas (max_align_t) char bytes[];
};

static struct eg_arena_block *
add_block (struct eg_arena *self, size_t capacity)
{
  struct eg_arena_block *block = calloc (1, sizeof *block + capacity);

  EG_INVARIANT (block);
  block->capacity = capacity;
  /* A block with a single allocation has no space left: the block with space
   * stays the newest one. */
  if (capacity != BLOCK_BYTES && self->newest)
    {
      block->older = self->newest->older;
      self->newest->older = block;
    }
  else
    {
      block->older = self->newest;
      self->newest = block;
    }
  return block;
}

static void *
allocate (struct eg_arena *self, size_t bytes, size_t alignment)
{
  struct eg_arena_block *block = self->newest;
  size_t start = 0;

  if (block)
    start = (block->used + alignment - 1) / alignment * alignment;
  if (!block || start > block->capacity || bytes > block->capacity - start)
    {
      block = add_block (self, bytes >= BLOCK_BYTES / 4 ? bytes : BLOCK_BYTES);
      start = 0;
    }
  block->used = start + bytes;
  return block->bytes + start;
}

void
eg_arena_finish (struct eg_arena *self)
{
  while (self->newest)
    {
      struct eg_arena_block *block = self->newest;

      self->newest = block->older;
      free (block);
    }
}

void *
eg_arena_array (struct eg_arena *self, size_t count, size_t size)
{
  EG_INVARIANT (size == 0 || count <= SIZE_MAX / 2 / size);
  return allocate (self, count * size, alignof (max_align_t));
}

struct eg_str
eg_arena_copy (struct eg_arena *self, struct eg_str s)
{
  char *text = allocate (self, s.len + 1, 1);

  if (s.len > 0)
    memcpy (text, s.data, s.len);
  return (struct eg_str){text, s.len};
}
