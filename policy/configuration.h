/**
 * @file
 * An accepted configuration: routes, services, engines and organisations.
 *
 * It is immutable once built, and is replaced as a whole. Its strings have no
 * maximum length; each is followed by a zero byte and contains none.
 */
#ifndef EG_POLICY_CONFIGURATION_H
#define EG_POLICY_CONFIGURATION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/decls.h"
#include "base/hash_table.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Maximum number of layers of a model. */
#define EG_MODEL_LAYERS_MAX 256

/** Kind of the requests of a route; decides which may be retried. */
enum eg_route_kind
{
  EG_ROUTE_IDEMPOTENT,
  EG_ROUTE_NON_IDEMPOTENT,
  EG_ROUTE_STREAM, /**< Server-sent events; see eg_route::resumable. */
};

/** A service of a route. */
struct eg_route_target
{
  uint32_t service; /**< Index into eg_configuration::services. */
  uint32_t weight;
};

/** Routing of the requests for one host and path prefix. */
struct eg_route
{
  struct eg_str name;
  struct eg_str host;
  struct eg_str path_prefix;
  enum eg_route_kind kind;
  bool unusable;           /**< It has errors; its requests are refused. */
  bool resumable;          /**< A stream may resume on another server. */
  bool is_public;          /**< Needs no API key. */
  int64_t timeout_us;      /**< Maximum time of a request. */
  int64_t latency_goal_us; /**< An answer within it is on time. */
  int64_t event_gap_us;    /**< Maximum gap in a stream that is on time. */
  unsigned servers_max;    /**< Maximum number of servers per request. */
  unsigned priority;       /**< 0 is the highest. */
  struct eg_route_target *targets;
  size_t target_count;
  uint64_t weight_sum;
};

/** An accelerator type. */
struct eg_accelerator
{
  struct eg_str name;
  double memory_mb;
  double step_factor;    /**< Multiplies step times. */
  double prefill_factor; /**< Multiplies prefill times. */
};

/** Performance model of the engines of a service; times are for factor 1. */
struct eg_engine_model
{
  uint32_t layers; /**< 0: each server holds the whole model. */
  double layer_mb;
  double kv_bytes;        /**< KV cache of one token in all layers. */
  double kv_tokens;       /**< Stated capacity of the KV cache in tokens. */
  double step_us;         /**< One decoding step of one token. */
  double step_us_per_seq; /**< Added per other request in the step. */
  double prefill_tokens_per_us;
  double load_us;           /**< Time to load all layers. */
  double link_bytes_per_us; /**< Between two failure domains. */
  double activation_bytes;  /**< Sent per token between two servers. */
  uint32_t mean_prompt_tokens;
  uint32_t mean_answer_tokens;
  uint32_t concurrent_loads_max; /**< Further loads slow each other down. */
  int64_t report_lag_us;         /**< Delay of the engine's load reports. */
  const struct eg_accelerator *accelerators;
  size_t accelerator_count;
};

/** Settings of a service. */
struct eg_service_config
{
  struct eg_hash_node by_name;
  struct eg_str name;
  struct eg_str health_path;
  uint32_t connections_max;
  bool has_engine;
  struct eg_engine_model engine;
};

/** An organisation on whose behalf requests are made. */
struct eg_organisation
{
  struct eg_str name;
  bool unusable;    /**< Its name is not known; its requests are refused. */
  int64_t priority; /**< Of its requests; the route's if negative. */
};

/** Limits on the requests of clients. */
struct eg_caller_limits
{
  size_t head_bytes_max;
  size_t body_bytes_max;
  int64_t head_timeout_us;
  int64_t idle_timeout_us;
};

/** A configuration; allocated by the caller, but owns its tables. */
struct eg_configuration
{
  int64_t version;
  struct eg_route *routes;
  size_t route_count;
  struct eg_service_config *services;
  size_t service_count;
  struct eg_organisation *organisations;
  size_t organisation_count;
  struct eg_hash_table services_by_name;
  struct eg_hash_table keys; /**< Maps API keys to organisations. */
  bool has_organisations;
  bool keys_incomplete; /**< There are keys that could not be read. */
  struct eg_caller_limits limits;
  struct eg_arena arena; /**< Strings and arrays of the tables. */
  unsigned references;   /**< Besides the first owner's. */
};

/**
 * Initialises an empty configuration with room for the given numbers of
 * entries.
 */
void eg_configuration_init (struct eg_configuration *self,
                            size_t routes,
                            size_t services,
                            size_t organisations);

/** Frees the tables. */
void eg_configuration_finish (struct eg_configuration *self);

/** Takes a reference to a configuration that was allocated by malloc(). */
struct eg_configuration *eg_configuration_ref (struct eg_configuration *self);

/**
 * Drops a reference, or the first owner's claim, and frees the configuration
 * with the last one. Does nothing if @p self is NULL.
 */
void eg_configuration_unref (struct eg_configuration *self);

/**
 * Frees the API keys, by far the largest part of some configurations, when a
 * newer configuration has replaced this one. Requests that have begun use it
 * further, but look up no key.
 */
void eg_configuration_drop_keys (struct eg_configuration *self);

/**
 * Makes the service at the end of the table known by its name, which is set.
 * The first of several services of one name is found.
 */
void eg_configuration_index_service (struct eg_configuration *self);

/** Adds an API key of organisation @p index. */
void eg_configuration_add_key (struct eg_configuration *self,
                               struct eg_str key,
                               size_t index);

/** Returns the organisation that owns @p key, or NULL. */
const struct eg_organisation *
eg_configuration_find_key (const struct eg_configuration *self,
                           struct eg_str key);

/** What a configuration says of an API key. */
enum eg_key_ruling
{
  EG_KEY_VALID,
  EG_KEY_UNKNOWN,
  EG_KEY_UNDECIDED, /**< It belongs to what could not be read. */
};

/**
 * Decides on the key of a request.
 * @param key empty if the request has none.
 * @param[out] organisation that owns a valid key; NULL for other keys.
 */
enum eg_key_ruling
eg_configuration_rule_on_key (const struct eg_configuration *self,
                              struct eg_str key,
                              const struct eg_organisation **organisation);

/** Returns the index of a service, or SIZE_MAX. */
size_t eg_configuration_find_service (const struct eg_configuration *self,
                                      struct eg_str name);

/**
 * Returns the route of @p host with the longest prefix of @p path, or NULL.
 * The case of letters of @p host is ignored.
 */
const struct eg_route *
eg_configuration_route (const struct eg_configuration *self,
                        struct eg_str host,
                        struct eg_str path);

/** Chooses a service of a route by weight; returns its index. */
uint32_t eg_route_choose (const struct eg_route *route, uint64_t random);

/** Returns the accelerator type with a name, or NULL. */
const struct eg_accelerator *
eg_engine_accelerator (const struct eg_engine_model *engine,
                       struct eg_str name);

/** Returns how many of the layers fit into the memory of an accelerator. */
uint32_t eg_engine_layers_max (const struct eg_engine_model *engine,
                               const struct eg_accelerator *accelerator);

/**
 * Returns the KV cache capacity, in tokens times layers, of the memory that
 * @p layers layers leave free; 0 if none is left.
 */
double eg_engine_kv_capacity (const struct eg_engine_model *engine,
                              const struct eg_accelerator *accelerator,
                              uint32_t layers);

EG_END_DECLS

#endif
