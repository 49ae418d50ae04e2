#include "policy/target.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/status.h"

static uint64_t
key_of (bool plain, struct eg_str name)
{
  return eg_hash_str (name) ^ (plain ? 1 : 0);
}

void
eg_target_table_finish (struct eg_target_table *self)
{
  size_t cursor = 0;
  struct eg_target *target;

  while ((target = eg_target_table_next (self, &cursor)))
    {
      eg_admission_free (target->admission);
      free (target);
    }
  eg_map_finish (&self->by_name);
}

struct eg_target *
eg_target_table_find (const struct eg_target_table *self,
                      bool plain,
                      struct eg_str name)
{
  return eg_map_get (&self->by_name, key_of (plain, name));
}

struct eg_target *
eg_target_table_add (struct eg_target_table *self,
                     bool plain,
                     struct eg_str name,
                     const struct eg_lifecycle_config *config)
{
  struct eg_target *target = eg_target_table_find (self, plain, name);

  if (target)
    return target;
  target = calloc (1, sizeof *target);
  EG_INVARIANT (target != NULL);
  eg_str_copy (name, target->name, sizeof target->name);
  target->plain = plain;
  eg_list_init (&target->waiting);
  target->admission = eg_admission_new (&config->admission);
  EG_INVARIANT (target->admission != NULL);
  eg_retry_budget_init (&target->retries, &config->retry);
  eg_map_put (&self->by_name, key_of (plain, name), target);
  return target;
}

struct eg_target *
eg_target_table_next (const struct eg_target_table *self, size_t *cursor)
{
  return eg_map_next (&self->by_name, cursor);
}
