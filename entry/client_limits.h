/**
 * @file
 * Limits of inbound connections, from the settings `[clients]` and `[limits]`.
 */
#ifndef EG_ENTRY_CLIENT_LIMITS_H
#define EG_ENTRY_CLIENT_LIMITS_H

#include <stddef.h>

#include "entry/settings.h"

/** Purpose of a listener. */
enum eg_listener_kind
{
  EG_LISTEN_CALLERS,
  EG_LISTEN_READINESS,
  EG_LISTEN_PEERS, /**< Also serves metrics. */
  EG_LISTENERS,
};

/** Larger sizes of buffers are left to the kernel, which has this limit by
 *  default. */
#define EG_CLIENT_KERNEL_BYTES_MAX 212992

/** Why a connection was closed or a request rejected. */
enum eg_client_cause
{
  EG_CLIENT_MEMORY,              /**< Closed to free memory for others. */
  EG_CLIENT_MEMORY_REJECTED,     /**< Request rejected for want of memory. */
  EG_CLIENT_CONNECTIONS,         /**< Closed to accept another connection. */
  EG_CLIENT_CONNECTION_REJECTED, /**< No other connection could be closed. */
  EG_CLIENT_SLOW_SENDER,         /**< Request not sent in time. */
  EG_CLIENT_SLOW_READER,         /**< Response not read in time. */
  EG_CLIENT_HEAD_TOO_LARGE,
  EG_CLIENT_BODY_TOO_LARGE,
  EG_CLIENT_MALFORMED,
  EG_CLIENT_CAUSES,
};

/** Returns the name of a cause, as used in logs and metrics. */
const char *eg_client_cause_name (enum eg_client_cause cause);

/** Returns the bytes that inbound connections may hold together. */
size_t eg_client_budget (const struct eg_entry_settings *settings);

/** Returns the bytes that they may hold for the sake of one large request. */
size_t eg_client_alone_max (const struct eg_entry_settings *settings);

/** Returns how many inbound connections there may be on all ports. */
size_t eg_client_connections_max (const struct eg_entry_settings *settings);

/**
 * Returns how many connections the port of a kind may have.
 * @param peers present number of those of peers, which callers leave free.
 */
size_t eg_client_port_max (const struct eg_entry_settings *settings,
                           enum eg_listener_kind kind,
                           size_t peers);

/**
 * Returns the size of the kernel's buffers of a new connection; 0: the kernel
 * decides.
 * @param connections number of those that there are.
 */
size_t eg_client_kernel_bytes (const struct eg_entry_settings *settings,
                               size_t connections);

#endif
