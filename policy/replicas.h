/**
 * @file
 * Index of interchangeable servers, so that a placement need not scan the whole
 * table: pools by service, model and version, and within a pool sets by layers,
 * failure domain and accelerator.
 */
#ifndef EG_POLICY_REPLICAS_H
#define EG_POLICY_REPLICAS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"
#include "policy/servers.h"

EG_BEGIN_DECLS

/** Maximum number of failure domains; servers in further ones get no work. */
#define EG_DOMAINS_MAX 64

struct eg_replica_pool;

/** Servers with the same layers, failure domain and accelerator type. */
struct eg_replica_set
{
  const struct eg_replica_pool *pool;
  uint32_t domain; /**< Index into eg_replicas::domains. */
  char accelerator[EG_NAME_BYTES];
  uint32_t first_layer;
  uint32_t last_layer;
  uint32_t *members; /**< Server indexes, unordered. */
  uint32_t count;
  uint32_t capacity;
  uint64_t slots;     /**< Total of the members that state theirs. */
  uint32_t unstated;  /**< Members that do not state their slots. */
  uint32_t slots_max; /**< Upper bound of the slots of a member. */
};

/** All servers of one version of a model, or of one plain service. */
struct eg_replica_pool
{
  char service[EG_NAME_BYTES];
  char model[EG_NAME_BYTES];    /**< Empty for a plain service. */
  char version[EG_NAME_BYTES];  /**< Empty for a plain service. */
  uint32_t layers;              /**< 0 for a plain service. */
  struct eg_replica_set **sets; /**< Sorted by layers, domain, accelerator. */
  size_t set_count;
  size_t set_capacity;
};

/** All pools; allocated by the caller. */
struct eg_replicas
{
  struct eg_replica_pool **pools;
  size_t pool_count;
  size_t pool_capacity;
  char domains[EG_DOMAINS_MAX][EG_NAME_BYTES];
  uint32_t domain_count;
};

/** Position of a server in its set; all zero if it is in none. */
struct eg_replica_ref
{
  struct eg_replica_set *set;
  uint32_t position;
  uint32_t slots;
};

/** Initialises an empty index. */
void eg_replicas_init (struct eg_replicas *self);

/** Frees all pools. */
void eg_replicas_finish (struct eg_replicas *self);

/**
 * Adds a server to the set that matches its report.
 * @return false when out of memory, or if there are too many failure domains.
 */
bool eg_replicas_insert (struct eg_replicas *self,
                         const struct eg_server *server,
                         uint32_t index,
                         struct eg_replica_ref *ref);

/**
 * Removes a server from its set; the last member takes its position.
 * @return that member, or EG_SERVER_NONE if none was moved.
 */
uint32_t eg_replicas_remove (struct eg_replica_ref *ref);

/**
 * Frees empty sets, and empty pools for whose model there is another pool. The
 * last pool of a model is kept, as a record that the model is known.
 */
void eg_replicas_sweep (struct eg_replicas *self);

/**
 * Tells whether a pool serves @p model of @p service. With a model, an empty
 * @p service matches any.
 */
bool eg_replica_pool_matches (const struct eg_replica_pool *pool,
                              struct eg_str service,
                              struct eg_str model);

/** Returns the replica index of a server table. */
const struct eg_replicas *eg_servers_replicas (const struct eg_servers *self);

/** Returns the set that contains a server, or NULL. */
const struct eg_replica_set *
eg_servers_replica_set (const struct eg_servers *self, uint32_t index);

EG_END_DECLS

#endif
