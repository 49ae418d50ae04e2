/**
 * @file
 * Decides whether this VM has lost its path to the backend servers, as opposed
 * to servers that are down.
 *
 * It answers the load of a VM that callers, the store and other VMs still reach
 * while its connections to servers hang, are reset or are refused: each request
 * would find out by itself, one time-out after the other, and each server would
 * be taken for dead.
 *
 * Only new connections tell: established ones may outlive a lost path, and the
 * silence of one server is its own. Failures of several servers without a
 * connection in between cause checks of further servers. A VM that reaches one
 * of them has a path; one that reaches none has lost it, whether or not the
 * servers are up. It has its path back after connections to several servers in
 * a row. All times are monotonic, in microseconds.
 */
#ifndef EG_POLICY_SERVER_REACH_H
#define EG_POLICY_SERVER_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Most servers remembered as failed or connected in a state. */
#define EG_REACH_SERVERS_MAX 8

/** What is known of the path to the servers. */
enum eg_reach_state
{
  EG_REACH_OK,
  EG_REACH_DOUBTFUL,  /**< Several servers failed; others are checked. */
  EG_REACH_LOST,      /**< No server can be connected to. */
  EG_REACH_RETURNING, /**< Lost, but the last check succeeded. */
  EG_REACH_STATES,
};

/** Distinct servers, by a hash of their identity. */
struct eg_reach_servers
{
  uint64_t hashes[EG_REACH_SERVERS_MAX];
  size_t count;
};

/** Path of one VM to its backend servers; zeroed: no doubt. */
struct eg_server_reach
{
  enum eg_reach_state state;
  int64_t since_us;     /**< Start of the state. */
  int64_t lost_us;      /**< When the path was last lost. */
  int64_t connected_us; /**< Start of the last connection established. */
  /** Since the last connection, and while doubtful since the doubt arose. */
  struct eg_reach_servers failed;
  int64_t first_failure_us;
  int64_t last_failure_us;
  struct eg_reach_servers connected; /**< In EG_REACH_RETURNING. */
  int64_t check_due_us;
};

/** Returns the name of a state, as used in logs. */
const char *eg_reach_state_name (enum eg_reach_state state);

/**
 * Takes note that a new connection to a server was established.
 * @param started_us when the connection was started.
 * @param servers number of servers known.
 */
void eg_server_reach_connected (struct eg_server_reach *self,
                                uint64_t server,
                                int64_t started_us,
                                size_t servers,
                                int64_t now_us);

/**
 * Takes note that a new connection was refused, or timed out.
 * @param started_us when the connection was started.
 */
void eg_server_reach_failed (struct eg_server_reach *self,
                             uint64_t server,
                             int64_t started_us,
                             size_t servers,
                             int64_t now_us);

/**
 * Returns how many servers to connect to now, to find out; call it on every
 * tick. They should differ from each other and be chosen at random, first among
 * those that are not suspected to be down.
 */
size_t eg_server_reach_check (struct eg_server_reach *self, int64_t now_us);

/**
 * Returns whether the path is lost: only servers that were connected to since
 * @c lost_us may be sent requests.
 */
bool eg_server_reach_is_lost (const struct eg_server_reach *self);

/**
 * Returns whether a server was connected to after @p since_us, so that what
 * happened then was not this VM's own loss of its path.
 */
bool eg_server_reach_is_proven (const struct eg_server_reach *self,
                                int64_t since_us);

EG_END_DECLS

#endif
