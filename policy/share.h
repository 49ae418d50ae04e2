/**
 * @file
 * The part of each organisation's limit that this entry VM may use.
 *
 * A limit is divided evenly among the entry VMs. One that has more demand than
 * its part borrows from peers that have less, for EG_SHARE_LEASE_US at a time.
 * The lender gives up its part before the borrower has it, and the loan runs
 * out at the borrower first, whatever is lost, late or repeated.
 */
#ifndef EG_POLICY_SHARE_H
#define EG_POLICY_SHARE_H

#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** How long a loan lasts, from the time at which it was asked for. */
#define EG_SHARE_LEASE_US (10 * INT64_C (1000000))
/** How often eg_shares_tick() works out the demand. */
#define EG_SHARE_TICK_US (1 * INT64_C (1000000))
/**
 * Part of the named entry VMs that may count as gone. The parts of all nodes
 * sum to at most the limit divided by 1 minus this, however they are cut off.
 */
#define EG_SHARE_DEAD_FRACTION_MAX 0.1

struct eg_shares;

/** Makes an empty table; NULL if memory could not be had. */
struct eg_shares *eg_shares_new (void);

/** Frees the table. */
void eg_shares_free (struct eg_shares *self);

/** Sets how many entry VMs the list names, and how many of them live. */
void eg_shares_set_nodes (struct eg_shares *self, size_t named, size_t live);

/**
 * Sets the limit of an organisation, for all entry VMs together.
 * @param rate_per_s 0 removes it.
 * @return false if memory could not be had.
 */
bool eg_shares_set_limit (struct eg_shares *self,
                          struct eg_str organisation,
                          double rate_per_s);

/**
 * Removes the limits that were not set again since the last call, as after new
 * rules.
 */
void eg_shares_remove_unset (struct eg_shares *self);

/** Counts a request of an organisation, admitted or not. */
void eg_shares_count_request (struct eg_shares *self,
                              struct eg_str organisation);

/** Returns the rate that this node may admit; 0 without a limit. */
double eg_shares_rate (struct eg_shares *self,
                       struct eg_str organisation,
                       int64_t now_us);

/**
 * Works out the demand, when due.
 * @return true if it did: rates may have changed.
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
 * Writes what this node would borrow.
 * @param lender id of the peer that the message goes to.
 * @return false if it needs nothing.
 */
bool eg_shares_request (struct eg_shares *self,
                        uint64_t lender,
                        int64_t now_us,
                        struct eg_peer_message *message);

/**
 * Lends in answer to a SHARE_REQUEST.
 * @return false if there is nothing to lend.
 */
bool eg_shares_lend (struct eg_shares *self,
                     const struct eg_peer_message *want,
                     int64_t now_us,
                     struct eg_peer_message *grant);

/** Takes in a SHARE_GRANT; one that answers no open request is ignored. */
void eg_shares_borrow (struct eg_shares *self,
                       const struct eg_peer_message *grant,
                       int64_t now_us);

EG_END_DECLS

#endif
