#include "standin/engine_record.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/status.h"

#define BLOCK_ENTRIES 4096
#define MIN_CAPACITY 16
#define NS_PER_S INT64_C (1000000000)

struct eg_record_block
{
  struct eg_record_entry entries[BLOCK_ENTRIES];
};

static _Atomic int64_t last_sequence;

void
eg_record_init (struct eg_record *self, int64_t max)
{
  *self = (struct eg_record){.max = max};
}

void
eg_record_finish (struct eg_record *self)
{
  size_t blocks = ((size_t) self->count + BLOCK_ENTRIES - 1) / BLOCK_ENTRIES;

  for (size_t i = 0; i < blocks; i++)
    free (self->blocks[i]);
  for (size_t i = 0; i < self->request_count; i++)
    free (self->requests[i]);
  free (self->blocks);
  free (self->requests);
  *self = (struct eg_record){0};
}

static void *
grow (void *array, size_t *capacity, size_t item_bytes)
{
  *capacity = *capacity ? *capacity * 2 : MIN_CAPACITY;
  array = realloc (array, *capacity * item_bytes);
  EG_INVARIANT (array != NULL);
  return array;
}

static char *
quote_json (const char *text)
{
  json_t *value = json_string (text);
  char *quoted = json_dumps (value, JSON_ENCODE_ANY);

  EG_INVARIANT (quoted != NULL);
  json_decref (value);
  return quoted;
}

uint32_t
eg_record_add_request (struct eg_record *self, const char *request)
{
  if (self->request_count == self->request_capacity)
    self->requests =
        grow (self->requests, &self->request_capacity, sizeof (char *));
  self->requests[self->request_count] = quote_json (request);
  return (uint32_t) self->request_count++;
}

/*
 * Sequence numbers are monotonic time in nanoseconds, which orders the entries
 * of several processes. Entries of one process get distinct numbers: each is at
 * least the last one plus 1.
 */
static int64_t
next_sequence (void)
{
  int64_t last = atomic_load (&last_sequence);
  struct timespec now;
  int64_t next;

  clock_gettime (CLOCK_MONOTONIC, &now);
  do
    {
      next = now.tv_sec * NS_PER_S + now.tv_nsec;
      if (next <= last)
        next = last + 1;
    }
  while (!atomic_compare_exchange_weak (&last_sequence, &last, next));
  return next;
}

void
eg_record_append (struct eg_record *self, struct eg_record_entry entry)
{
  size_t block = (size_t) self->count / BLOCK_ENTRIES;
  size_t index = (size_t) self->count % BLOCK_ENTRIES;

  if (self->count >= self->max)
    {
      self->dropped++;
      return;
    }
  if (index == 0)
    {
      if (block == self->block_capacity)
        self->blocks = grow ((void *) self->blocks, &self->block_capacity,
                             sizeof (struct eg_record_block *));
      self->blocks[block] = malloc (sizeof **self->blocks);
      EG_INVARIANT (self->blocks[block] != NULL);
    }
  entry.sequence = next_sequence ();
  self->blocks[block]->entries[index] = entry;
  self->count++;
}

const struct eg_record_entry *
eg_record_at (const struct eg_record *self, int64_t index)
{
  EG_INVARIANT (index >= 0 && index < self->count);
  return &self->blocks[index / BLOCK_ENTRIES]->entries[index % BLOCK_ENTRIES];
}

void
eg_record_print (const struct eg_record *self,
                 int64_t index,
                 const char *server_json,
                 struct eg_buffer *out)
{
  const struct eg_record_entry *entry = eg_record_at (self, index);

  eg_buffer_printf (out,
                    "{\"request\":%s,\"attempt\":%" PRIu32
                    ",\"position\":%" PRIu32 ",\"first\":%u,\"last\":%u"
                    ",\"server\":%s,\"sequence\":%" PRId64 "}",
                    self->requests[entry->request], entry->attempt,
                    entry->position, entry->first, entry->last, server_json,
                    entry->sequence);
}
