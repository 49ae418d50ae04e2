#include "policy/replicas.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 8

/* Makes room for one more pointer. */
static bool
grow_pointers (void ***items, size_t count, size_t *capacity)
{
  size_t larger = *capacity ? *capacity * 2 : FIRST_CAPACITY;
  void **moved;

  if (count < *capacity)
    return true;
  moved = realloc ((void *) *items, larger * sizeof **items);
  if (!moved)
    return false;
  *items = moved;
  *capacity = larger;
  return true;
}

void
eg_replicas_init (struct eg_replicas *self)
{
  memset (self, 0, sizeof *self);
}

static void
free_set (struct eg_replica_set *set)
{
  free (set->members);
  free (set);
}

static void
free_pool (struct eg_replica_pool *pool)
{
  for (size_t i = 0; i < pool->set_count; i++)
    free_set (pool->sets[i]);
  free ((void *) pool->sets);
  free (pool);
}

void
eg_replicas_finish (struct eg_replicas *self)
{
  for (size_t i = 0; i < self->pool_count; i++)
    free_pool (self->pools[i]);
  free ((void *) self->pools);
  eg_replicas_init (self);
}

/* Returns the number of a domain, EG_DOMAINS_MAX if there is no more room. */
static uint32_t
intern_domain (struct eg_replicas *self, const char *name)
{
  uint32_t i = 0;

  while (i < self->domain_count && strcmp (self->domains[i], name) != 0)
    i++;
  if (i == self->domain_count && i < EG_DOMAINS_MAX)
    memcpy (self->domains[self->domain_count++], name, EG_NAME_BYTES);
  return i;
}

static const char *
version_of (const struct eg_server_report *report)
{
  return report->model[0] ? report->version : "";
}

static bool
pool_fits (const struct eg_replica_pool *pool,
           const struct eg_server_report *report)
{
  return pool->layers == report->model_layers
         && strcmp (pool->model, report->model) == 0
         && strcmp (pool->version, version_of (report)) == 0
         && strcmp (pool->service, report->service) == 0;
}

static struct eg_replica_pool *
find_or_add_pool (struct eg_replicas *self,
                  const struct eg_server_report *report)
{
  struct eg_replica_pool *pool;

  for (size_t i = 0; i < self->pool_count; i++)
    if (pool_fits (self->pools[i], report))
      return self->pools[i];
  if (!grow_pointers ((void ***) &self->pools, self->pool_count,
                      &self->pool_capacity))
    return NULL;
  pool = calloc (1, sizeof *pool);
  if (!pool)
    return NULL;
  eg_str_copy (eg_str_from (report->service), pool->service, EG_NAME_BYTES);
  eg_str_copy (eg_str_from (report->model), pool->model, EG_NAME_BYTES);
  eg_str_copy (eg_str_from (version_of (report)), pool->version, EG_NAME_BYTES);
  pool->layers = report->model_layers;
  self->pools[self->pool_count++] = pool;
  return pool;
}

static int
compare_numbers (uint32_t a, uint32_t b)
{
  return (a > b) - (a < b);
}

/* Orders a set against a report by layers, domain and accelerator. */
static int
compare_set (const struct eg_replica_set *set,
             const struct eg_server_report *report,
             uint32_t domain)
{
  int order = compare_numbers (set->first_layer, report->first_layer);

  if (order == 0)
    order = compare_numbers (set->last_layer, report->last_layer);
  if (order == 0)
    order = compare_numbers (set->domain, domain);
  if (order == 0)
    order = strcmp (set->accelerator, report->accelerator);
  return order;
}

static struct eg_replica_set *
new_set (const struct eg_replica_pool *pool,
         const struct eg_server_report *report,
         uint32_t domain)
{
  struct eg_replica_set *set = calloc (1, sizeof *set);

  if (!set)
    return NULL;
  set->pool = pool;
  set->domain = domain;
  set->first_layer = report->first_layer;
  set->last_layer = report->last_layer;
  eg_str_copy (eg_str_from (report->accelerator), set->accelerator,
               EG_NAME_BYTES);
  return set;
}

static struct eg_replica_set *
find_or_add_set (struct eg_replica_pool *pool,
                 const struct eg_server_report *report,
                 uint32_t domain)
{
  struct eg_replica_set *set;
  size_t at = 0;
  int order = 1;

  while (at < pool->set_count)
    {
      order = compare_set (pool->sets[at], report, domain);
      if (order >= 0)
        break;
      at++;
    }
  if (at < pool->set_count && order == 0)
    return pool->sets[at];
  if (!grow_pointers ((void ***) &pool->sets, pool->set_count,
                      &pool->set_capacity))
    return NULL;
  set = new_set (pool, report, domain);
  if (!set)
    return NULL;
  memmove ((void *) (pool->sets + at + 1), (const void *) (pool->sets + at),
           (pool->set_count - at) * sizeof (struct eg_replica_set *));
  pool->sets[at] = set;
  pool->set_count++;
  return set;
}

static bool
grow_members (struct eg_replica_set *set)
{
  uint32_t larger = set->capacity ? set->capacity * 2 : FIRST_CAPACITY;
  uint32_t *moved;

  if (set->count < set->capacity)
    return true;
  moved = realloc (set->members, larger * sizeof *moved);
  if (!moved)
    return false;
  set->members = moved;
  set->capacity = larger;
  return true;
}

bool
eg_replicas_insert (struct eg_replicas *self,
                    const struct eg_server *server,
                    uint32_t index,
                    struct eg_replica_ref *place)
{
  const struct eg_server_report *report = &server->report;
  uint32_t domain = intern_domain (self, server->failure_domain);
  struct eg_replica_pool *pool;
  struct eg_replica_set *set;

  if (domain == EG_DOMAINS_MAX)
    return false;
  pool = find_or_add_pool (self, report);
  set = pool ? find_or_add_set (pool, report, domain) : NULL;
  if (!set || !grow_members (set))
    return false;
  if (set->count == 0)
    set->slots_max = 0;
  *place = (struct eg_replica_ref){set, set->count, report->slots};
  set->members[set->count++] = index;
  set->slots += report->slots;
  set->unstated += report->slots == 0;
  if (set->slots_max < report->slots)
    set->slots_max = report->slots;
  return true;
}

uint32_t
eg_replicas_remove (struct eg_replica_ref *place)
{
  struct eg_replica_set *set = place->set;
  uint32_t position = place->position;
  uint32_t moved = EG_SERVER_NONE;

  if (!set)
    return moved;
  set->slots -= place->slots;
  set->unstated -= place->slots == 0;
  set->count--;
  if (position < set->count)
    {
      moved = set->members[set->count];
      set->members[position] = moved;
    }
  memset (place, 0, sizeof *place);
  return moved;
}

static void
sweep_sets (struct eg_replica_pool *pool)
{
  size_t kept = 0;

  for (size_t i = 0; i < pool->set_count; i++)
    {
      if (pool->sets[i]->count > 0)
        pool->sets[kept++] = pool->sets[i];
      else
        free_set (pool->sets[i]);
    }
  pool->set_count = kept;
}

/* Tells whether another pool keeps the model or service known. */
static bool
is_superseded (const struct eg_replicas *self,
               const struct eg_replica_pool *pool)
{
  for (size_t i = 0; i < self->pool_count; i++)
    if (self->pools[i] != pool
        && strcmp (self->pools[i]->service, pool->service) == 0
        && strcmp (self->pools[i]->model, pool->model) == 0)
      return true;
  return false;
}

void
eg_replicas_sweep (struct eg_replicas *self)
{
  size_t i = 0;

  while (i < self->pool_count)
    {
      struct eg_replica_pool *pool = self->pools[i];

      sweep_sets (pool);
      if (pool->set_count > 0 || !is_superseded (self, pool))
        {
          i++;
          continue;
        }
      free_pool (pool);
      self->pools[i] = self->pools[--self->pool_count];
    }
}

bool
eg_replica_pool_matches (const struct eg_replica_pool *pool,
                         struct eg_str service,
                         struct eg_str model)
{
  return eg_str_equal (eg_str_from (pool->model), model)
         && ((service.len == 0 && model.len > 0)
             || eg_str_equal (eg_str_from (pool->service), service));
}
