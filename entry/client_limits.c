#include "entry/client_limits.h"

#define BYTES_PER_MB (1U << 20)
/* Parts of the VM's memory: for what inbound connections hold, for the same if
 * one request needs most of it, and for each direction of the kernel's buffers.
 * The rest is for connections to servers, the fleet and the program itself. */
#define BUDGET_DIVISOR 2
#define ALONE_NUMERATOR 3
#define ALONE_DENOMINATOR 4
#define KERNEL_DIVISOR 16
/* An idle connection: its structure, and the kept buffer of a usual head. More
 * of them than the budget holds would leave nothing to close but these. */
#define CONNECTION_BYTES 6144
/* Fraction of the file descriptors available to inbound connections; each
 * request needs one more to a server. */
#define DESCRIPTORS_FRACTION 0.45
/* Fraction for those of other VMs, of which each one may keep some open. */
#define PEER_DESCRIPTORS_FRACTION 0.2
/* Part of the descriptors for the readiness port. Its connections are kept for
 * 100 ms at least, so that 64 of them admit 640 probes a second. */
#define READINESS_DIVISOR 32
#define READINESS_MIN 4
#define READINESS_MAX 64
/* Connections up to this number share the kernel's part among so many. A link
 * of 14 Mbit/s with a round trip of 50 ms needs 88 KB. */
#define FEW_CONNECTIONS 64
/* Least size of the kernel's buffers. */
#define KERNEL_BYTES_MIN 8192

const char *
eg_client_cause_name (enum eg_client_cause cause)
{
  static const char *const names[] = {
      [EG_CLIENT_MEMORY] = "memory",
      [EG_CLIENT_MEMORY_REJECTED] = "memory-rejected",
      [EG_CLIENT_CONNECTIONS] = "connections",
      [EG_CLIENT_CONNECTION_REJECTED] = "connection-rejected",
      [EG_CLIENT_SLOW_SENDER] = "slow-sender",
      [EG_CLIENT_SLOW_READER] = "slow-reader",
      [EG_CLIENT_HEAD_TOO_LARGE] = "head-too-large",
      [EG_CLIENT_BODY_TOO_LARGE] = "body-too-large",
      [EG_CLIENT_MALFORMED] = "malformed",
  };

  return names[cause];
}

static size_t
memory_bytes (const struct eg_entry_settings *settings)
{
  return (size_t) settings->memory_mb * BYTES_PER_MB;
}

size_t
eg_client_budget (const struct eg_entry_settings *settings)
{
  return settings->client_memory_mb > 0
             ? (size_t) settings->client_memory_mb * BYTES_PER_MB
             : memory_bytes (settings) / BUDGET_DIVISOR;
}

size_t
eg_client_alone_max (const struct eg_entry_settings *settings)
{
  return memory_bytes (settings) / ALONE_DENOMINATOR * ALONE_NUMERATOR;
}

size_t
eg_client_connections_max (const struct eg_entry_settings *settings)
{
  size_t by_memory = eg_client_budget (settings) / CONNECTION_BYTES;
  size_t max =
      settings->client_connections > 0
          ? (size_t) settings->client_connections
          : (size_t) (DESCRIPTORS_FRACTION * (double) settings->descriptors);

  return max < by_memory ? max : by_memory;
}

static size_t
count_readiness_max (const struct eg_entry_settings *settings)
{
  size_t derived = (size_t) settings->descriptors / READINESS_DIVISOR;

  if (settings->client_readiness_connections > 0)
    return (size_t) settings->client_readiness_connections;
  if (derived < READINESS_MIN)
    return READINESS_MIN;
  return derived > READINESS_MAX ? READINESS_MAX : derived;
}

size_t
eg_client_port_max (const struct eg_entry_settings *settings,
                    enum eg_listener_kind kind,
                    size_t peers)
{
  size_t all = eg_client_connections_max (settings);
  size_t readiness = count_readiness_max (settings);
  size_t peers_max =
      (size_t) (PEER_DESCRIPTORS_FRACTION * (double) settings->descriptors);
  size_t taken = readiness + peers;

  switch (kind)
    {
    case EG_LISTEN_READINESS:
      return readiness;
    case EG_LISTEN_PEERS:
      return settings->client_peer_connections > 0
                 ? (size_t) settings->client_peer_connections
                 : peers_max;
    default:
      return all > taken ? all - taken : 1;
    }
}

size_t
eg_client_kernel_bytes (const struct eg_entry_settings *settings,
                        size_t connections)
{
  size_t sharers = connections < FEW_CONNECTIONS
                       ? FEW_CONNECTIONS
                       : eg_client_connections_max (settings);
  size_t bytes = memory_bytes (settings) / KERNEL_DIVISOR / sharers;

  if (bytes < KERNEL_BYTES_MIN)
    return KERNEL_BYTES_MIN;
  return bytes > EG_CLIENT_KERNEL_BYTES_MAX ? 0 : bytes;
}
