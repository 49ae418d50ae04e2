/**
 * @file
 * Servers that can take the place of one another, so that a placement need
 * not look at the whole table: pools by service, model and version, and in
 * each pool sets by layers, failure domain and accelerator.
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

/** Most failure domains that are told apart; servers of others get no work. */
#define EG_DOMAINS_MAX 64

struct eg_replica_pool;

/** Servers with the same layers, failure domain and kind of accelerator. */
struct eg_replica_set
{
  const struct eg_replica_pool *pool;
  uint32_t domain; /**< Number of the failure domain. */
  char accelerator[EG_NAME_BYTES];
  uint32_t first_layer;
  uint32_t last_layer;
  uint32_t *members; /**< Indexes of servers, in no order. */
  uint32_t count;
  uint32_t capacity;
  uint64_t slots;     /**< Sum over the members that state theirs. */
  uint32_t unstated;  /**< Members that do not. */
  uint32_t slots_max; /**< No member states more. */
};

/** All servers of one version of a model, or of one plain service. */
struct eg_replica_pool
{
  char service[EG_NAME_BYTES];
  char model[EG_NAME_BYTES];    /**< Empty for a plain service. */
  char version[EG_NAME_BYTES];  /**< Empty for a plain service. */
  uint32_t layers;              /**< 0 for a plain service. */
  struct eg_replica_set **sets; /**< By layers, domain, accelerator. */
  size_t set_count;
  size_t set_capacity;
};

/** All pools; memory of the caller. */
struct eg_replicas
{
  struct eg_replica_pool **pools;
  size_t pool_count;
  size_t pool_capacity;
  char domains[EG_DOMAINS_MAX][EG_NAME_BYTES];
  uint32_t domain_count;
};

/** Where one server stands; all zero while it stands nowhere. */
struct eg_replica_ref
{
  struct eg_replica_set *set;
  uint32_t position;
  uint32_t slots;
};

/** Starts without pools. */
void eg_replicas_init (struct eg_replicas *self);

/** Frees all pools. */
void eg_replicas_finish (struct eg_replicas *self);

/**
 * Puts a server into the set that its report asks for.
 * @return false if memory could not be had or there are too many domains.
 */
bool eg_replicas_insert (struct eg_replicas *self,
                         const struct eg_server *server,
                         uint32_t index,
                         struct eg_replica_ref *place);

/**
 * Takes a server out.
 * @return the server that moved to its position, or EG_SERVER_NONE.
 */
uint32_t eg_replicas_remove (struct eg_replica_ref *place);

/**
 * Frees empty sets, and empty pools of which another version is known; the
 * last pool of a model stays, as it tells that the model was seen.
 */
void eg_replicas_sweep (struct eg_replicas *self);

/** Tells whether a pool serves @p model of @p service, if that is not empty. */
bool eg_replica_pool_matches (const struct eg_replica_pool *pool,
                              struct eg_str service,
                              struct eg_str model);

/** Returns the pools of a table of servers. */
const struct eg_replicas *eg_servers_replicas (const struct eg_servers *self);

/** Returns the set that a server stands in, or NULL. */
const struct eg_replica_set *
eg_servers_replica_set (const struct eg_servers *self, uint32_t index);

EG_END_DECLS

#endif
