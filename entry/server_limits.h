/**
 * @file
 * Limits that backend servers name: which requests they allow, and what VMs
 * tell each other of them. See policy/server_rate.
 */
#ifndef EG_ENTRY_SERVER_LIMITS_H
#define EG_ENTRY_SERVER_LIMITS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

struct eg_backend;
struct eg_entry;
struct eg_server_notice;

/** Takes note of a limit in a response of a server. */
void eg_server_limits_named (struct eg_entry *entry,
                             struct eg_backend *backend,
                             double limit_per_s,
                             int64_t now_us);

/**
 * Takes note of a response to a client's request that was sent at @p sent_us;
 * one that names no limit may end it.
 */
void eg_server_limits_responded (struct eg_backend *backend,
                                 const struct eg_server_notice *notice,
                                 int64_t sent_us,
                                 int64_t now_us);

/** Returns the part of a server's burst that this VM has left; 1: no limit. */
double eg_server_limits_left (struct eg_entry *entry,
                              struct eg_backend *backend,
                              int64_t now_us);

/** Returns whether a server's limit allows this VM to send a request now. */
bool eg_server_limits_may_send (struct eg_entry *entry,
                                struct eg_backend *backend,
                                int64_t now_us);

/**
 * Takes a request out of this VM's share of the limit of a server of
 * @p service, for a peer to send it there; see eg_server_rate_refund().
 * @return the server of whose limit most is left; NULL: none has a limit that
 *         leaves a request.
 */
struct eg_backend *eg_server_limits_lend (struct eg_entry *entry,
                                          struct eg_str service,
                                          int64_t now_us);

/**
 * Returns the time until a server may take a request of @p service for itself
 * or as the first of a path; 0 if one takes it now, or there is none. Both
 * pauses and limits count.
 * @param[out] limited whether a limit of a server is among the reasons.
 */
int64_t eg_server_limits_wait_us (struct eg_entry *entry,
                                  struct eg_str service,
                                  int64_t now_us,
                                  bool *limited);

/** Returns the number of servers that have a limit. */
size_t eg_server_limits_count (const struct eg_entry *entry);

/** Maximum number of limits in a message, some 50 bytes each. */
#define EG_LIMITS_PER_MESSAGE_MAX 64

/**
 * Lists limits that this VM knows, with their age: at most
 * EG_LIMITS_PER_MESSAGE_MAX.
 * @param skipped number of limited servers to leave out first.
 */
json_t *eg_server_limits_list (const struct eg_entry *entry,
                               size_t skipped,
                               int64_t now_us);

/** Applies a list of another VM. */
void eg_server_limits_apply (struct eg_entry *entry,
                             const json_t *list,
                             int64_t now_us);

#endif
