#include "base/hash_table.h"

#include <stdlib.h>

#include "base/status.h"

#define BUCKETS_MIN 16
/* The bucket array shrinks when count < bucket_count / SHRINK_RATIO. */
#define SHRINK_RATIO 8

bool
eg_hash_table_init (struct eg_hash_table *self)
{
  self->count = 0;
  self->bucket_count = BUCKETS_MIN;
  self->buckets = calloc (self->bucket_count, sizeof (struct eg_hash_node *));
  return self->buckets != NULL;
}

void
eg_hash_table_finish (struct eg_hash_table *self)
{
  free (self->buckets);
  self->buckets = NULL;
  self->count = 0;
}

static struct eg_hash_node **
bucket_of (const struct eg_hash_table *self, uint64_t hash)
{
  return &self->buckets[hash & (self->bucket_count - 1)];
}

static void
link_node (struct eg_hash_table *self, struct eg_hash_node *node)
{
  struct eg_hash_node **bucket = bucket_of (self, node->hash);

  node->next = *bucket;
  *bucket = node;
}

/* On allocation failure the old buckets stay in use: lookups get slower, but
   remain correct. */
static void
resize (struct eg_hash_table *self, size_t bucket_count)
{
  struct eg_hash_table old = *self;
  struct eg_hash_node **buckets =
      calloc (bucket_count, sizeof (struct eg_hash_node *));

  if (!buckets)
    return;
  self->buckets = buckets;
  self->bucket_count = bucket_count;
  for (size_t i = 0; i < old.bucket_count; i++)
    while (old.buckets[i])
      {
        struct eg_hash_node *node = old.buckets[i];

        old.buckets[i] = node->next;
        link_node (self, node);
      }
  free (old.buckets);
}

static void
shrink (struct eg_hash_table *self)
{
  size_t bucket_count = self->bucket_count;

  while (bucket_count > BUCKETS_MIN
         && self->count < bucket_count / SHRINK_RATIO)
    bucket_count /= 2;
  if (bucket_count < self->bucket_count)
    resize (self, bucket_count);
}

void
eg_hash_table_insert (struct eg_hash_table *self,
                      struct eg_hash_node *node,
                      uint64_t hash)
{
  if (self->count >= self->bucket_count)
    resize (self, self->bucket_count * 2);
  node->hash = hash;
  link_node (self, node);
  self->count++;
}

void
eg_hash_table_remove (struct eg_hash_table *self, struct eg_hash_node *node)
{
  struct eg_hash_node **link = bucket_of (self, node->hash);

  while (*link && *link != node)
    link = &(*link)->next;
  EG_INVARIANT (*link == node);
  *link = node->next;
  self->count--;
  shrink (self);
}

struct eg_hash_node *
eg_hash_table_find (const struct eg_hash_table *self, uint64_t hash)
{
  struct eg_hash_node *node = *bucket_of (self, hash);

  while (node && node->hash != hash)
    node = node->next;
  return node;
}

struct eg_hash_node *
eg_hash_node_next (const struct eg_hash_node *node)
{
  struct eg_hash_node *next = node->next;

  while (next && next->hash != node->hash)
    next = next->next;
  return next;
}

void
eg_hash_table_filter (struct eg_hash_table *self,
                      bool (*drop) (struct eg_hash_node *node, void *context),
                      void *context)
{
  for (size_t i = 0; i < self->bucket_count; i++)
    {
      struct eg_hash_node **link = &self->buckets[i];

      while (*link)
        {
          struct eg_hash_node *node = *link;
          struct eg_hash_node *next = node->next;

          if (!drop (node, context))
            {
              link = &node->next;
              continue;
            }
          *link = next;
          self->count--;
        }
    }
  shrink (self);
}
