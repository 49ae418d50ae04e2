#include "policy/configuration.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/hash.h"
#include "base/list.h"
#include "base/status.h"

/** An API key in the hash table. */
struct key_entry
{
  struct eg_hash_node node;
  size_t organisation;
  size_t len;
  char text[];
};

static void *
new_array (size_t count, size_t size)
{
  void *array = calloc (count ? count : 1, size);

  EG_INVARIANT (array);
  return array;
}

void
eg_configuration_init (struct eg_configuration *self,
                       size_t routes,
                       size_t services,
                       size_t organisations)
{
  memset (self, 0, sizeof *self);
  self->routes = new_array (routes, sizeof *self->routes);
  self->services = new_array (services, sizeof *self->services);
  self->organisations = new_array (organisations, sizeof *self->organisations);
  EG_INVARIANT (eg_hash_table_init (&self->services_by_name));
  EG_INVARIANT (eg_hash_table_init (&self->keys));
}

static bool
free_key (struct eg_hash_node *node, void *context)
{
  (void) context;
  free (EG_CONTAINER_OF (node, struct key_entry, node));
  return true;
}

void
eg_configuration_drop_keys (struct eg_configuration *self)
{
  if (self->keys.buckets)
    eg_hash_table_filter (&self->keys, free_key, NULL);
}

void
eg_configuration_finish (struct eg_configuration *self)
{
  eg_configuration_drop_keys (self);
  eg_hash_table_finish (&self->keys);
  eg_hash_table_finish (&self->services_by_name);
  free (self->routes);
  free (self->services);
  free (self->organisations);
  eg_arena_finish (&self->arena);
  memset (self, 0, sizeof *self);
}

struct eg_configuration *
eg_configuration_ref (struct eg_configuration *self)
{
  self->references++;
  return self;
}

void
eg_configuration_unref (struct eg_configuration *self)
{
  if (!self || self->references-- > 0)
    return;
  eg_configuration_finish (self);
  free (self);
}

void
eg_configuration_add_key (struct eg_configuration *self,
                          struct eg_str key,
                          size_t index)
{
  struct key_entry *entry = malloc (sizeof *entry + key.len);

  EG_INVARIANT (entry);
  entry->organisation = index;
  entry->len = key.len;
  memcpy (entry->text, key.data, key.len);
  eg_hash_table_insert (&self->keys, &entry->node,
                        eg_hash_mix (eg_hash_str (key)));
}

const struct eg_organisation *
eg_configuration_find_key (const struct eg_configuration *self,
                           struct eg_str key)
{
  struct eg_hash_node *node =
      eg_hash_table_find (&self->keys, eg_hash_mix (eg_hash_str (key)));

  for (; node; node = eg_hash_node_next (node))
    {
      const struct key_entry *entry =
          EG_CONTAINER_OF (node, struct key_entry, node);

      if (eg_str_equal ((struct eg_str){entry->text, entry->len}, key))
        return &self->organisations[entry->organisation];
    }
  return NULL;
}

enum eg_key_ruling
eg_configuration_rule_on_key (const struct eg_configuration *self,
                              struct eg_str key,
                              const struct eg_organisation **organisation)
{
  const struct eg_organisation *owner =
      key.len > 0 ? eg_configuration_find_key (self, key) : NULL;

  *organisation = NULL;
  if (!owner)
    return key.len > 0 && self->keys_incomplete ? EG_KEY_UNDECIDED
                                                : EG_KEY_UNKNOWN;
  if (owner->unusable)
    return EG_KEY_UNDECIDED;
  *organisation = owner;
  return EG_KEY_VALID;
}

void
eg_configuration_index_service (struct eg_configuration *self)
{
  struct eg_service_config *service = &self->services[self->service_count - 1];

  if (eg_configuration_find_service (self, service->name) == SIZE_MAX)
    eg_hash_table_insert (&self->services_by_name, &service->by_name,
                          eg_hash_mix (eg_hash_str (service->name)));
}

size_t
eg_configuration_find_service (const struct eg_configuration *self,
                               struct eg_str name)
{
  struct eg_hash_node *node = eg_hash_table_find (
      &self->services_by_name, eg_hash_mix (eg_hash_str (name)));

  for (; node; node = eg_hash_node_next (node))
    {
      const struct eg_service_config *service =
          EG_CONTAINER_OF (node, struct eg_service_config, by_name);

      if (eg_str_equal (service->name, name))
        return (size_t) (service - self->services);
    }
  return SIZE_MAX;
}

static bool
is_same_host (struct eg_str a, struct eg_str b)
{
  return a.len == b.len && strncasecmp (a.data, b.data, a.len) == 0;
}

const struct eg_route *
eg_configuration_route (const struct eg_configuration *self,
                        struct eg_str host,
                        struct eg_str path)
{
  const struct eg_route *best = NULL;
  size_t best_len = 0;

  for (size_t i = 0; i < self->route_count; i++)
    {
      const struct eg_route *route = &self->routes[i];

      if (route->path_prefix.len > best_len
          && eg_str_starts_with (path, route->path_prefix)
          && is_same_host (route->host, host))
        {
          best = route;
          best_len = route->path_prefix.len;
        }
    }
  return best;
}

uint32_t
eg_route_choose (const struct eg_route *route, uint64_t random)
{
  uint64_t point = route->weight_sum ? random % route->weight_sum : 0;

  for (size_t i = 0; i < route->target_count; i++)
    {
      if (point < route->targets[i].weight)
        return route->targets[i].service;
      point -= route->targets[i].weight;
    }
  return route->targets[0].service;
}

const struct eg_accelerator *
eg_engine_accelerator (const struct eg_engine_model *engine, struct eg_str name)
{
  for (size_t i = 0; i < engine->accelerator_count; i++)
    if (eg_str_equal (engine->accelerators[i].name, name))
      return &engine->accelerators[i];
  return NULL;
}

uint32_t
eg_engine_layers_max (const struct eg_engine_model *engine,
                      const struct eg_accelerator *accelerator)
{
  double layers_max = accelerator->memory_mb / engine->layer_mb;

  return layers_max < engine->layers ? (uint32_t) layers_max : engine->layers;
}

double
eg_engine_kv_capacity (const struct eg_engine_model *engine,
                       const struct eg_accelerator *accelerator,
                       uint32_t layers)
{
  const double bytes_per_mb = 1e6;
  double left_mb = accelerator->memory_mb - layers * engine->layer_mb;

  if (left_mb <= 0 || engine->kv_bytes <= 0)
    return 0;
  return left_mb * bytes_per_mb / (engine->kv_bytes / engine->layers);
}
