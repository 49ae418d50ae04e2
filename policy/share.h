/**
 * @file
 * The share of each organisation's rate limit that this entry VM may use.
 *
 * A limit is divided evenly among the entry VMs. An entry VM whose demand
 * exceeds its base share borrows from peers with less demand, for
 * EG_SHARE_LEASE_US at a time. The lender reduces its own rate before the
 * borrower raises its rate, and the loan expires at the borrower first, even if
 * messages are lost, delayed or repeated.
 */
#ifndef EG_POLICY_SHARE_H
#define EG_POLICY_SHARE_H

#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** Duration of a loan, from the time of the request. */
#define EG_SHARE_LEASE_US (10 * INT64_C (1000000))
/** Interval at which eg_shares_tick() updates the demand. */
#define EG_SHARE_TICK_US (1 * INT64_C (1000000))
/**
 * Largest fraction of the listed entry VMs that may count as dead. In any
 * network partition the shares of all entry VMs sum to at most the limit
 * divided by 1 minus this fraction.
 */
#define EG_SHARE_DEAD_FRACTION_MAX 0.1

struct eg_shares;

/** Creates an empty table; NULL if out of memory. */
struct eg_shares *eg_shares_new (void);

/** Frees the table; NULL is allowed. */
void eg_shares_free (struct eg_shares *self);

/** Sets the number of listed entry VMs, and how many of them are live. */
void eg_shares_set_nodes (struct eg_shares *self, size_t listed, size_t live);

/**
 * Sets the limit of an organisation over all entry VMs.
 * @param rate_per_s requests per second; 0 removes the limit.
 * @return false if out of memory.
 */
bool eg_shares_set_limit (struct eg_shares *self,
                          struct eg_str organisation,
                          double rate_per_s);

/**
 * Removes the limits that were not set since the last call. To be called after
 * the limits of new rules were set.
 */
void eg_shares_remove_unset (struct eg_shares *self);

/** Counts a request of an organisation towards its demand, admitted or not. */
void eg_shares_count_request (struct eg_shares *self,
                              struct eg_str organisation);

/** Returns the rate that this entry VM may admit, in requests per second; 0 if
 *  there is no limit. */
double eg_shares_rate (struct eg_shares *self,
                       struct eg_str organisation,
                       int64_t now_us);

/**
 * Updates the demand if EG_SHARE_TICK_US has passed.
 * @return true if it was updated, so that rates may have changed.
 */
bool eg_shares_tick (struct eg_shares *self, int64_t now_us);

/** Calls @p visit with the limit and the rate of each organisation. */
void eg_shares_visit (struct eg_shares *self,
                      int64_t now_us,
                      void (*visit) (void *context,
                                     struct eg_str organisation,
                                     double limit_per_s,
                                     double rate_per_s),
                      void *context);

/**
 * Fills in a request for the rates that this entry VM needs to borrow.
 * @param lender id of the peer that the message will be sent to.
 * @return false if it needs nothing.
 */
bool eg_shares_request (struct eg_shares *self,
                        uint64_t lender,
                        int64_t now_us,
                        struct eg_peer_message *message);

/**
 * Lends spare rate in reply to a request from a peer.
 * @param request the request.
 * @param[out] grant the reply.
 * @return false if there is nothing to lend.
 */
bool eg_shares_lend (struct eg_shares *self,
                     const struct eg_peer_message *request,
                     int64_t now_us,
                     struct eg_peer_message *grant);

/** Processes a grant; one that answers no pending request is ignored. */
void eg_shares_borrow (struct eg_shares *self,
                       const struct eg_peer_message *grant,
                       int64_t now_us);

EG_END_DECLS

#endif
