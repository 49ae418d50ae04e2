/**
 * @file
 * One accepted configuration: routes, services, engines and organisations.
 *
 * It is built once, never changed afterwards, and replaced as a whole.
 */
#ifndef EG_POLICY_CONFIGURATION_H
#define EG_POLICY_CONFIGURATION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/hash_table.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Longest name of a service, a route or an organisation, with its zero. */
#define EG_CONFIG_NAME_BYTES 64
/** Longest host name or path prefix, with its final zero. */
#define EG_CONFIG_PATH_BYTES 256
/** Most services among which one route splits its requests. */
#define EG_ROUTE_TARGETS_MAX 8
/** Most kinds of accelerator of one engine. */
#define EG_ACCELERATORS_MAX 8
/** Most layers of a model. */
#define EG_MODEL_LAYERS_MAX 256

/** What may be repeated. */
enum eg_route_kind
{
  EG_ROUTE_IDEMPOTENT,
  EG_ROUTE_NON_IDEMPOTENT,
  EG_ROUTE_STREAM, /**< Server-sent events; see eg_route::resumable. */
};

/** One of the services of a route. */
struct eg_route_target
{
  uint32_t service; /**< Index into the services. */
  uint32_t weight;
};

/** Where requests of one host and path prefix go. */
struct eg_route
{
  char name[EG_CONFIG_NAME_BYTES];
  char host[EG_CONFIG_PATH_BYTES];
  char path_prefix[EG_CONFIG_PATH_BYTES];
  enum eg_route_kind kind;
  bool resumable;          /**< A stream may go on at another server. */
  bool is_public;          /**< Needs no key. */
  int64_t timeout_us;      /**< Longest wait that the operator wants. */
  int64_t latency_goal_us; /**< Within it an answer is on time. */
  int64_t event_gap_us;    /**< Longest pause of a stream that is on time. */
  unsigned servers_max;    /**< Most servers for one request. */
  unsigned priority;       /**< 0 is first. */
  struct eg_route_target targets[EG_ROUTE_TARGETS_MAX];
  uint32_t target_count;
  uint32_t weight_sum;
};

/** One kind of accelerator. */
struct eg_accelerator
{
  char name[EG_CONFIG_NAME_BYTES];
  double memory_mb;
  double step_factor;    /**< On times of steps and of context. */
  double prefill_factor; /**< On times of reading prompts. */
};

/** How the engines of a service work; times are those of factor 1. */
struct eg_engine_model
{
  uint32_t layers; /**< 0: each server holds the whole model. */
  double layer_mb;
  double kv_bytes; /**< Of one token in all layers. */
  double kv_tokens;
  double step_us;         /**< One step of one token. */
  double step_us_per_seq; /**< For each other request that is writing. */
  double prefill_tokens_per_us;
  double load_us;                /**< Loading all layers. */
  double link_bytes_per_us;      /**< Between two failure domains. */
  double activation_bytes;       /**< Of one token between two servers. */
  uint32_t mean_prompt_tokens;   /**< Mean tokens of a prompt. */
  uint32_t mean_answer_tokens;   /**< Mean tokens of an answer. */
  uint32_t concurrent_loads_max; /**< More loads than these slow each other. */
  int64_t report_lag_us;
  struct eg_accelerator accelerators[EG_ACCELERATORS_MAX];
  uint32_t accelerator_count;
};

/** One service. */
struct eg_service_config
{
  char name[EG_CONFIG_NAME_BYTES];
  char health_path[EG_CONFIG_PATH_BYTES];
  uint32_t connections_max;
  bool has_engine;
  struct eg_engine_model engine;
};

/** Who requests are made for. */
struct eg_organisation
{
  char name[EG_CONFIG_NAME_BYTES];
  int64_t priority; /**< Of its requests; negative: that of the route. */
};

/** What callers may send. */
struct eg_caller_limits
{
  size_t head_bytes_max;
  size_t body_bytes_max;
  int64_t head_timeout_us;
  int64_t idle_timeout_us;
};

/** One configuration; memory of the caller, tables its own. */
struct eg_configuration
{
  int64_t version;
  struct eg_route *routes;
  size_t route_count;
  struct eg_service_config *services;
  size_t service_count;
  struct eg_organisation *organisations;
  size_t organisation_count;
  struct eg_hash_table keys; /**< API keys to organisations. */
  bool has_organisations;
  struct eg_caller_limits limits;
};

/** Prepares an empty configuration with room for so many entries. */
void eg_configuration_init (struct eg_configuration *self,
                            size_t routes,
                            size_t services,
                            size_t organisations);

/** Frees the tables. */
void eg_configuration_finish (struct eg_configuration *self);

/** Adds an API key of organisation @p index. */
void eg_configuration_add_key (struct eg_configuration *self,
                               struct eg_str key,
                               size_t index);

/** Returns the organisation that holds @p key, or NULL. */
const struct eg_organisation *
eg_configuration_find_key (const struct eg_configuration *self,
                           struct eg_str key);

/** Returns the index of a service, or SIZE_MAX. */
size_t eg_configuration_find_service (const struct eg_configuration *self,
                                      struct eg_str name);

/** Returns the route of the longest prefix that begins @p path, or NULL. */
const struct eg_route *
eg_configuration_route (const struct eg_configuration *self,
                        struct eg_str host,
                        struct eg_str path);

/** Chooses one of the services of a route by weight. */
uint32_t eg_route_choose (const struct eg_route *route, uint64_t random);

/** Returns the accelerator of that name, or NULL. */
const struct eg_accelerator *
eg_engine_accelerator (const struct eg_engine_model *engine,
                       struct eg_str name);

/** Returns how many layers fit into the memory of an accelerator. */
uint32_t eg_engine_layers_max (const struct eg_engine_model *engine,
                               const struct eg_accelerator *accelerator);

/**
 * Returns how many tokens x layers fit beside @p layers layers.
 */
double eg_engine_kv_capacity (const struct eg_engine_model *engine,
                              const struct eg_accelerator *accelerator,
                              uint32_t layers);

EG_END_DECLS

#endif
