/**
 * @file
 * The file that lists the stand-ins of a process.
 */
#ifndef EG_STANDIN_CONFIG_H
#define EG_STANDIN_CONFIG_H

#include <jansson.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/status.h"
#include "standin/fields.h"

EG_BEGIN_DECLS

/** The platform: object store and VM list. */
struct eg_platform_config
{
  const char *listen;
  int64_t threads;
  int64_t latency_ms;
  int64_t writes_per_s; /**< 0: no bound. */
  int64_t reads_per_s;  /**< 0: no bound. */
  json_t *vms;
};

/** One model engine. */
struct eg_engine_config
{
  const char *listen;
  int64_t threads; /**< 0: follows from slots and queue_max. */
  const char *server;
  const char *service;
  const char *model;
  const char *version;
  struct eg_layers layers;
  int64_t model_layers;
  const char *accelerator;
  int64_t slots;
  int64_t queue_max;
  int64_t token_us;
  int64_t prefill_us;
  int64_t load_lag_ms;
  int64_t stage_timeout_ms;
  int64_t kv_total;     /**< In tokens. */
  int64_t cache_blocks; /**< Prompt blocks kept in the prefix cache. */
  int64_t record_max;
  bool checks_fencing;
};

/** One plain service. */
struct eg_service_config
{
  const char *listen;
  int64_t threads; /**< 0: follows from slots and queue_max. */
  const char *service;
  int64_t latency_ms;
  int64_t slots;
  int64_t queue_max;
  int64_t record_max;
};

/** All stand-ins of one process; texts belong to @c root. */
struct eg_config
{
  json_t *root;
  const char *admin; /**< NULL where there is none. */
  bool has_platform;
  struct eg_platform_config platform;
  struct eg_engine_config *engines;
  size_t engine_count;
  struct eg_service_config *services;
  size_t service_count;
};

/** Reads the file at @p path. Finish @p self whatever the outcome. */
enum eg_status eg_config_load (struct eg_config *self,
                               const char *path,
                               struct eg_error *error);

/** Reads @p root, taking it over. Finish @p self whatever the outcome. */
enum eg_status
eg_config_read (struct eg_config *self, json_t *root, struct eg_error *error);

/** Frees what the configuration holds. */
void eg_config_finish (struct eg_config *self);

/** Checks a list of VMs, as the platform answers it. */
enum eg_status eg_config_check_vms (const json_t *vms, struct eg_error *error);

EG_END_DECLS

#endif
