#include "entry/settings.h"

#include <inttypes.h>
#include <string.h>

#include "policy/shedding.h"

#define FIELD(name) offsetof (struct eg_entry_settings, name)

static const struct eg_setting rows[] = {
    {"node.name", EG_SETTING_TEXT, "", 1, EG_ENTRY_NAME_BYTES, NULL,
     FIELD (name), "Name of this entry VM, unique in the deployment"},
    {"node.failure_domain", EG_SETTING_TEXT, "", 1, EG_ENTRY_NAME_BYTES, NULL,
     FIELD (domain), "Failure domain of this entry VM"},
    {"node.first_start", EG_SETTING_BOOLEAN, "", 0, 0, "false",
     FIELD (first_start),
     "Whether this is the first start of the whole system"},
    {"listen.callers", EG_SETTING_ADDRESS, "", 0, EG_ENTRY_ADDRESS_BYTES, NULL,
     FIELD (listen_callers), "Listen address for callers"},
    {"listen.readiness", EG_SETTING_ADDRESS, "", 0, EG_ENTRY_ADDRESS_BYTES,
     NULL, FIELD (listen_readiness),
     "Listen address for readiness probes of the load balancer"},
    {"listen.peers", EG_SETTING_ADDRESS, "", 0, EG_ENTRY_ADDRESS_BYTES, NULL,
     FIELD (listen_peers),
     "Listen address for other entry VMs and for /metrics"},
    {"store.address", EG_SETTING_ADDRESS, "", 0, EG_ENTRY_ADDRESS_BYTES, NULL,
     FIELD (store_address), "Address of the platform's object store"},
    {"log.level", EG_SETTING_TEXT, "", 1, 16, "info", FIELD (log_level),
     "Minimum severity to log: error, warning, notice, info or debug"},
    {"limits.memory_mb", EG_SETTING_INTEGER, "MB", 32, 1048576, NULL,
     FIELD (memory_mb), "Memory limit of the process"},
    {"limits.descriptors", EG_SETTING_INTEGER, "descriptors", 64, 10000000,
     NULL, FIELD (descriptors), "Limit of open file descriptors"},
    {"limits.link_mbps", EG_SETTING_NUMBER, "Mbit/s", 0, 10000000, "1000",
     FIELD (link_mbps), "Network bandwidth of this VM"},
    {"limits.cpu_share", EG_SETTING_NUMBER, "cores", 0, 1024, "1",
     FIELD (cpu_share), "CPU limit of the process"},
    {"stop.grace_ms", EG_SETTING_INTEGER, "ms", 0, 3600000, NULL,
     FIELD (stop_grace_ms), "Grace period of a graceful shutdown"},
    {"stop.grace_s", EG_SETTING_THOUSANDS, "s", 0, 3600000, NULL,
     FIELD (stop_grace_ms), "Grace period of a graceful shutdown"},
    {"keys.revocation_bounded", EG_SETTING_BOOLEAN, "", 0, 0, "true",
     FIELD (revocation_bounded),
     "Whether API keys are rejected once the configuration is too old"},
    {"keys.revocation_ms", EG_SETTING_INTEGER, "ms", 100, 3600000, NULL,
     FIELD (revocation_ms),
     "Time within which a revoked API key must stop working"},
    {"retry.ratio", EG_SETTING_NUMBER, "", 0, 100, NULL, FIELD (retry_ratio),
     "Retries allowed per request, over all entry VMs"},
    {"retry.window_ms", EG_SETTING_INTEGER, "ms", 100, 3600000, NULL,
     FIELD (retry_window_ms), "Time window of the retry budget"},
    {"retry.window_s", EG_SETTING_THOUSANDS, "s", 100, 3600000, NULL,
     FIELD (retry_window_ms), "Time window of the retry budget"},
    {"retry.extra", EG_SETTING_INTEGER, "requests", 0, 10000000, NULL,
     FIELD (retry_extra), "Additional retries per window beyond the ratio"},
    {"engines.stall_ms", EG_SETTING_INTEGER, "ms", 1, 3600000, "2000",
     FIELD (stall_ms),
     "Time-out after which engines abort work waiting for a dead server"},
    {"engines.fenced", EG_SETTING_BOOLEAN, "", 0, 0, "false",
     FIELD (orders_fenced),
     "Whether engines check the fencing tokens of orders"},
    {"shedding.mode", EG_SETTING_TEXT, "", 1, 8, "auto", FIELD (shedding_mode),
     "Whether requests wait for room in the order of their priority and work: "
     "on, off, or auto: for services whose routes differ"},
    {"shedding.queue_requests", EG_SETTING_INTEGER, "requests", 1,
     EG_WAIT_QUEUE_MAX, "32", FIELD (shedding_requests),
     "Most requests that wait for room on the servers of one service"},
    {"clients.memory_mb", EG_SETTING_INTEGER, "MB", 0, 1048576, "0",
     FIELD (client_memory_mb),
     "Memory for what inbound connections hold, at most 3/4 of "
     "limits.memory_mb; 0: half of it"},
    {"clients.connections", EG_SETTING_INTEGER, "connections", 0, 10000000, "0",
     FIELD (client_connections),
     "Most inbound connections of all ports, at most 0.9 of "
     "limits.descriptors; 0: 0.45 of them"},
    {"clients.readiness_connections", EG_SETTING_INTEGER, "connections", 0,
     1024, "0", FIELD (client_readiness_connections),
     "Most connections of the readiness port, which are reserved for it; 0: "
     "1/32 of limits.descriptors, from 4 to 64"},
    {"clients.peer_connections", EG_SETTING_INTEGER, "connections", 0, 10000000,
     "0", FIELD (client_peer_connections),
     "Most connections of the port for other entry VMs, at most 0.9 of "
     "limits.descriptors; 0: 0.2 of them"},
    {"clients.min_send_bytes_per_s", EG_SETTING_INTEGER, "bytes/s", 0, 16384,
     "1024", FIELD (client_send_rate),
     "Rate that a client must not stay below for idleTimeoutMs while it sends "
     "a body; 0: one byte within that time suffices"},
    {"clients.min_read_bytes_per_s", EG_SETTING_INTEGER, "bytes/s", 0, 16384,
     "1024", FIELD (client_read_rate),
     "Rate that a client must not stay below for idleTimeoutMs while it reads "
     "a response; 0: one byte within that time suffices"},
};

const struct eg_setting_table eg_entry_setting_table = {
    rows, sizeof rows / sizeof rows[0]};

/* Returns the line of a key of the section [clients]; 0: not found. */
static unsigned
find_client_line (const char *path, const char *key)
{
  FILE *file = fopen (path, "r");
  bool in_section = false;
  unsigned found = 0;
  char line[256];

  for (unsigned number = 1;
       file && found == 0 && fgets (line, sizeof line, file); number++)
    {
      const char *text = line + strspn (line, " \t");

      if (*text == '[')
        in_section = strncmp (text, "[clients]", strlen ("[clients]")) == 0;
      else if (in_section && strncmp (text, key, strlen (key)) == 0)
        found = number;
    }
  if (file)
    fclose (file);
  return found;
}

/* Checks the bounds that other settings give. */
static enum eg_status
check_clients (const char *path,
               const struct eg_entry_settings *settings,
               struct eg_error *error)
{
  const struct
  {
    const char *key;
    int64_t value;
    int64_t max;
    const char *of;
  } bounds[] = {
      {"memory_mb", settings->client_memory_mb, settings->memory_mb * 3 / 4,
       "3/4 of limits.memory_mb"},
      {"connections", settings->client_connections,
       settings->descriptors * 9 / 10, "0.9 of limits.descriptors"},
      {"peer_connections", settings->client_peer_connections,
       settings->descriptors * 9 / 10, "0.9 of limits.descriptors"},
  };

  for (size_t i = 0; i < sizeof bounds / sizeof bounds[0]; i++)
    if (bounds[i].value > bounds[i].max)
      return eg_error_set (error, EG_INVALID,
                           "%s:%u: clients.%s: expected at most %" PRId64
                           " (%s), found %" PRId64,
                           path, find_client_line (path, bounds[i].key),
                           bounds[i].key, bounds[i].max, bounds[i].of,
                           bounds[i].value);
  return EG_OK;
}

enum eg_status
eg_entry_settings_load (const char *path,
                        struct eg_entry_settings *settings,
                        struct eg_error *error)
{
  static const char *const modes[] = {"auto", "on", "off"};
  enum eg_status status =
      eg_settings_load (&eg_entry_setting_table, path, settings, error);

  if (status != EG_OK)
    return status;
  status = check_clients (path, settings, error);
  if (status != EG_OK)
    return status;
  for (size_t i = 0; i < sizeof modes / sizeof modes[0]; i++)
    if (strcmp (settings->shedding_mode, modes[i]) == 0)
      return EG_OK;
  return eg_error_set (error, EG_INVALID,
                       "%s: shedding.mode: expected auto, on or off, found "
                       "\"%s\"",
                       path, settings->shedding_mode);
}
