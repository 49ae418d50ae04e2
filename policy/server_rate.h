/**
 * @file
 * The rate of requests that a server takes from all VMs together, and the share
 * of it that one VM may use.
 *
 * A server names its limit in its responses, as long as it has one. Each VM
 * takes a fixed share of it, computed from the list of VMs alone, so that the
 * shares sum up to no more than the limit whichever VMs can reach each other.
 * VMs tell each other the limits they know, so that one that gets few responses
 * from a server knows its limit too; nothing else depends on messages.
 *
 * Over any time t the shares of all VMs together let through at most
 * limit * t + EG_SERVER_RATE_BURST_S * limit + EG_SERVER_RATE_BURST_EXTRA
 * requests. A VM keeps at least one request of that burst, so if the limit is
 * too low for one each, only some of the VMs have a share; which ones differs
 * from server to server.
 */
#ifndef EG_POLICY_SERVER_RATE_H
#define EG_POLICY_SERVER_RATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Lowest limit: a server that takes less, or nothing, is asked by one request
 *  in ten seconds, as its response may lift the limit. */
#define EG_SERVER_RATE_MIN 0.1
/** Higher limits, in requests per second, are no limits. */
#define EG_SERVER_RATE_MAX 100000.0
/** Burst of all VMs together: seconds of the limit, and requests besides. */
#define EG_SERVER_RATE_BURST_S 1.5
#define EG_SERVER_RATE_BURST_EXTRA 3.0
/** Time after which a limit that is named no more is tried by one request. */
#define EG_SERVER_RATE_EXPIRY_US INT64_C (10000000)

/** The VMs that share a server's limit, as one of them knows them. */
struct eg_rate_sharers
{
  uint32_t vms;  /**< Number of VMs, at least 1. */
  uint32_t rank; /**< Number of VMs before this one, for this server. */
  /** This VM joined lately: others may not count it yet. It has no share. */
  bool is_new;
  /** The list is old: as many VMs again may have joined. The share is halved.
   */
  bool outdated;
  int64_t uptime_us; /**< Time since this VM started. */
};

/** Limit of one start of a server, as one VM knows it; zero means that there is
 *  none. */
struct eg_server_rate
{
  double limit_per_s; /**< 0: none. */
  /** When the server last named a limit, to this VM or to another one. */
  int64_t named_us;
  /** When it last named the present limit or a lower one. */
  int64_t lowest_us;
  int64_t ended_us; /**< When it was found to have no limit any more. */
  int64_t trial_us; /**< When a trial was last granted. */
  double tokens;    /**< Requests that may be sent, as of @c updated_us. */
  int64_t updated_us;
};

/**
 * Records that the server has named a limit, at @p named_us.
 *
 * A lower limit counts at once, a higher one once the present one has not been
 * named for a second, so that changing figures are read as the lowest of them.
 * @param per_s in requests per second, not negative.
 */
void eg_server_rate_named (struct eg_server_rate *self,
                           double per_s,
                           const struct eg_rate_sharers *sharers,
                           int64_t named_us,
                           int64_t now_us);

/**
 * Records a response without a limit, to a request sent at @p sent_us. It ends
 * the limit if the server has not named one since, nor within the last second.
 */
void eg_server_rate_not_named (struct eg_server_rate *self,
                               int64_t sent_us,
                               int64_t now_us);

/** Returns whether the server has a limit. */
bool eg_server_rate_is_limited (const struct eg_server_rate *self);

/** Returns the rate that this VM may use, in requests per second. */
double eg_server_rate_share (const struct eg_server_rate *self,
                             const struct eg_rate_sharers *sharers);

/** Returns the requests that this VM may send at once at most. */
double eg_server_rate_burst (const struct eg_server_rate *self,
                             const struct eg_rate_sharers *sharers);

/**
 * Returns the requests that this VM may send now; at least 1 means that it may
 * send one.
 */
double eg_server_rate_left (struct eg_server_rate *self,
                            const struct eg_rate_sharers *sharers,
                            int64_t now_us);

/**
 * Returns the time until this VM may send a request; 0: now.
 */
int64_t eg_server_rate_wait_us (struct eg_server_rate *self,
                                const struct eg_rate_sharers *sharers,
                                int64_t now_us);

/** Counts a request, whatever becomes of it at the server. */
void eg_server_rate_spend (struct eg_server_rate *self);

/** Takes back a request that was counted but has not reached the server. */
void eg_server_rate_refund (struct eg_server_rate *self);

EG_END_DECLS

#endif
