/**
 * @file
 * Settings of the entry daemon.
 */
#ifndef EG_ENTRY_SETTINGS_H
#define EG_ENTRY_SETTINGS_H

#include "base/settings.h"

/** Size of a name, including the terminating NUL. */
#define EG_ENTRY_NAME_BYTES 64
/** Size of an address, including the terminating NUL. */
#define EG_ENTRY_ADDRESS_BYTES 32

/** Settings of the daemon; eg_entry_setting_table describes each of them. */
struct eg_entry_settings
{
  char name[EG_ENTRY_NAME_BYTES];
  char domain[EG_ENTRY_NAME_BYTES];
  bool first_start;
  char listen_callers[EG_ENTRY_ADDRESS_BYTES];
  char listen_readiness[EG_ENTRY_ADDRESS_BYTES];
  char listen_peers[EG_ENTRY_ADDRESS_BYTES];
  char store_address[EG_ENTRY_ADDRESS_BYTES];
  char log_level[16];
  int64_t memory_mb;
  int64_t descriptors;
  double link_mbps;
  double cpu_share;
  int64_t stop_grace_ms;
  bool revocation_bounded;
  int64_t revocation_ms;
  double retry_ratio;
  int64_t retry_window_ms;
  int64_t retry_extra;
  int64_t stall_ms;
  bool orders_fenced;
  char shedding_mode[8];
  int64_t shedding_requests;
  int64_t client_memory_mb;             /**< 0: derived from memory_mb. */
  int64_t client_connections;           /**< 0: derived from descriptors. */
  int64_t client_readiness_connections; /**< 0: derived from descriptors. */
  int64_t client_peer_connections;      /**< 0: derived from descriptors. */
  int64_t client_send_rate;
  int64_t client_read_rate;
};

/** All settings of the daemon. */
extern const struct eg_setting_table eg_entry_setting_table;

/**
 * Reads the settings from the file at @p path, and checks also what the table
 * does not describe.
 * @return EG_OK; otherwise the message names the file, key and expected value.
 */
enum eg_status eg_entry_settings_load (const char *path,
                                       struct eg_entry_settings *settings,
                                       struct eg_error *error);

#endif
