/**
 * @file
 * Settings of the router daemon.
 */
#ifndef EG_ROUTER_SETTINGS_H
#define EG_ROUTER_SETTINGS_H

#include "base/settings.h"
#include "bus/worker.h"
#include "policy/request.h"

/** Capacity for the operators' token, including the terminating NUL. */
#define EG_OPERATORS_TOKEN_BYTES 128

/** The daemon's settings; eg_router_setting_table describes each. */
struct eg_router_settings
{
  char name[EG_NAME_BYTES];
  char failure_domain[EG_NAME_BYTES];
  char listen_callers[EG_ADDRESS_BYTES];
  char listen_operators[EG_ADDRESS_BYTES];
  char platform_address[EG_ADDRESS_BYTES];
  char log_level[16];
  char operators_token[EG_OPERATORS_TOKEN_BYTES];
  int64_t caller_threads;
  int64_t body_max;
  int64_t tokens_max;
  int64_t requests_max;
  int64_t queue_max;
  int64_t organisation_queue_max;
  int64_t organisation_rate;
  int64_t organisation_in_flight;
  int64_t deadline_ms;
  int64_t poll_interval_ms;
  int64_t poll_timeout_ms;
  int64_t connect_timeout_ms;
  int64_t first_token_silence_ms;
  int64_t token_silence_ms;
  int64_t vms_interval_ms;
  int64_t stop_grace_ms;
  int64_t default_slots;
  int64_t lease_ms;
  char bus_listen[EG_ADDRESS_BYTES];
  char bus_public_key[EG_BUS_KEY_BYTES];
  char bus_secret_key[EG_BUS_KEY_BYTES];
  int64_t bus_port_offset;
};

/** All settings of the daemon. */
extern const struct eg_setting_table eg_router_setting_table;

#endif
