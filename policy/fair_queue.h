/**
 * @file
 * Queue of one class: deficit round robin between organisations.
 *
 * In each round an organisation is credited with a quantum of cost and is
 * served while its deficit covers the request at the head of its queue. Rounds
 * are not iterated: the round in which an organisation can next be served is
 * computed, and a heap orders the organisations by it, so that a request of any
 * cost is dequeued in O(log organisations).
 *
 * For two organisations that are both backlogged, the costs served differ by
 * less than quantum + the largest cost since both became backlogged, and by
 * less than quantum + twice the largest cost in any interval.
 */
#ifndef EG_POLICY_FAIR_QUEUE_H
#define EG_POLICY_FAIR_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/hash_table.h"
#include "base/heap.h"
#include "base/list.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Organisations are grouped by the bit length of their queued cost. */
#define EG_FAIR_QUEUE_BUCKETS 65

/** A queued request; allocated by the caller. */
struct eg_fair_request
{
  struct eg_list link;
  struct eg_fair_organisation *organisation;
  uint64_t cost;
};

/** An organisation with queued requests. */
struct eg_fair_organisation
{
  struct eg_hash_node node;
  /** Key: next round in which it is served; order: position in the round. */
  struct eg_heap_node heap_node;
  struct eg_list requests;
  size_t count;
  uint64_t queued_cost;
  uint64_t deficit;       /**< Cost that it may be served. */
  int64_t credited_round; /**< Last round credited to @c deficit. */
  size_t name_len;
  char name[];
};

/** State of an organisation before a take, to undo it. */
struct eg_fair_snapshot
{
  uint64_t order;
  uint64_t deficit;
  int64_t credited_round;
};

/** The queue of one class. */
struct eg_fair_queue
{
  struct eg_hash_table organisations;
  struct eg_heap heap; /**< Organisations by next round. */
  uint64_t quantum;
  int64_t round; /**< Current round. */
  uint64_t next_order;
  size_t count;
  uint64_t queued_cost;
  size_t bucket_counts[EG_FAIR_QUEUE_BUCKETS];
  uint64_t bucket_costs[EG_FAIR_QUEUE_BUCKETS];
};

/** Initialises an empty queue; false if out of memory. */
bool eg_fair_queue_init (struct eg_fair_queue *self, uint64_t quantum);

/** Frees the queue, which must be empty. */
void eg_fair_queue_finish (struct eg_fair_queue *self);

/** Changes the quantum, starting with the current round. */
void eg_fair_queue_set_quantum (struct eg_fair_queue *self, uint64_t quantum);

/** Finds an organisation; NULL if it has no queued requests. */
struct eg_fair_organisation *
eg_fair_queue_find (const struct eg_fair_queue *self, struct eg_str name);

/**
 * Appends @p request to the queue of its organisation.
 * @return false if out of memory.
 */
bool eg_fair_queue_push (struct eg_fair_queue *self,
                         struct eg_str organisation,
                         struct eg_fair_request *request);

/**
 * Puts @p request back at the head of its organisation's queue and refunds its
 * cost.
 * @param snapshot from eg_fair_queue_take(), or NULL if other requests were
 * taken since.
 * @return false if out of memory.
 */
bool eg_fair_queue_requeue (struct eg_fair_queue *self,
                            struct eg_str organisation,
                            struct eg_fair_request *request,
                            const struct eg_fair_snapshot *snapshot);

/**
 * Dequeues the next request; the queue must not be empty.
 * @param[out] snapshot state to pass to eg_fair_queue_requeue().
 * @param[out] emptied the organisation if it has no queued requests left, to be
 *             freed by the caller; otherwise NULL.
 */
struct eg_fair_request *
eg_fair_queue_take (struct eg_fair_queue *self,
                    struct eg_fair_snapshot *snapshot,
                    struct eg_fair_organisation **emptied);

/**
 * Removes one request without charging its cost.
 * @return the organisation if it has no queued requests left, to be freed by
 *         the caller; otherwise NULL.
 */
struct eg_fair_organisation *
eg_fair_queue_remove (struct eg_fair_queue *self,
                      struct eg_fair_request *request);

/**
 * Estimates the cost served before a new request of @p cost. Each organisation
 * counts with its queued cost, up to the cost that the request's own
 * organisation is served until then.
 */
uint64_t eg_fair_queue_cost_ahead (const struct eg_fair_queue *self,
                                   struct eg_str organisation,
                                   uint64_t cost);

EG_END_DECLS

#endif
