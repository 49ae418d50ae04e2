/**
 * @file
 * Configuration file of the stand-in process.
 */
#ifndef EG_STANDIN_CONFIG_H
#define EG_STANDIN_CONFIG_H

#include <jansson.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/status.h"
#include "standin/fields.h"

EG_BEGIN_DECLS

/** Settings of the platform stand-in: object store and VM list. */
struct eg_platform_config
{
  const char *listen;
  int64_t threads;
  int64_t latency_ms;   /**< Added to every call. */
  int64_t writes_per_s; /**< Rate limit; 0: unlimited. */
  int64_t reads_per_s;  /**< Rate limit; 0: unlimited. */
  json_t *vms;          /**< Initial VM list; NULL: empty. */
};

/** Settings of one engine stand-in. */
struct eg_engine_config
{
  const char *listen;
  int64_t threads; /**< 0: derived from slots and queue_max. */
  const char *server;
  const char *service;
  const char *model;
  const char *version;
  struct eg_layers layers;
  int64_t model_layers;
  const char *accelerator;
  int64_t slots;
  int64_t queue_max;
  int64_t token_us;         /**< Processing time of a generated token. */
  int64_t prefill_us;       /**< Processing time of an uncached token. */
  int64_t load_lag_ms;      /**< Age of load reports and cache events. */
  int64_t stage_timeout_ms; /**< Of a step at another stage. */
  int64_t kv_total;         /**< Capacity of the KV cache, in tokens. */
  int64_t cache_blocks;     /**< Capacity of the prefix cache, in blocks. */
  int64_t record_max;       /**< Most entries kept in the record. */
  bool checks_fencing;      /**< Whether stale orders are refused. */
};

/** Settings of one plain service stand-in. */
struct eg_service_config
{
  const char *listen;
  int64_t threads; /**< 0: derived from slots and queue_max. */
  const char *service;
  int64_t latency_ms;
  int64_t slots;
  int64_t queue_max;
  int64_t record_max;
};

/** Parsed configuration; @c root owns all strings. */
struct eg_config
{
  json_t *root;
  const char *admin; /**< Address of the admin listener; NULL: none. */
  bool has_platform;
  struct eg_platform_config platform;
  struct eg_engine_config *engines;
  size_t engine_count;
  struct eg_service_config *services;
  size_t service_count;
};

/**
 * Reads the configuration from the JSON file at @p path.
 *
 * Call eg_config_finish() whether or not this succeeds.
 * @return EG_OK, or EG_INVALID with the line or field at fault.
 */
enum eg_status eg_config_load (struct eg_config *self,
                               const char *path,
                               struct eg_error *error);

/**
 * Reads the configuration from @p root and takes ownership of it.
 *
 * Call eg_config_finish() whether or not this succeeds.
 * @return EG_OK, or EG_INVALID with the field at fault.
 */
enum eg_status
eg_config_read (struct eg_config *self, json_t *root, struct eg_error *error);

/** Frees the configuration's members. */
void eg_config_finish (struct eg_config *self);

/**
 * Validates a VM list, as the platform returns it.
 * @return EG_OK, or EG_INVALID with the field at fault.
 */
enum eg_status eg_config_check_vms (const json_t *vms, struct eg_error *error);

EG_END_DECLS

#endif
