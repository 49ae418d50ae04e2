/**
 * @file
 * Waiting requests of one class: deficit round robin among organisations.
 *
 * In each round an organisation gains a quantum of cost and is served while
 * its deficit covers the request at the head of its queue. Rounds are not
 * walked through: the round in which an organisation comes to its turn is
 * computed, and a heap orders organisations by it, so that a request of any
 * cost is taken in O(log organisations).
 *
 * Of two organisations that both wait all the time, the costs served differ by
 * less than quantum + the largest cost since both began, and by less than
 * quantum + twice the largest cost in any interval.
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

/** Organisations are counted by the logarithm of the cost they wait for. */
#define EG_FAIR_QUEUE_BUCKETS 65

/** A waiting request; memory of the caller. */
struct eg_fair_request
{
  struct eg_list link;
  struct eg_fair_organisation *organisation;
  uint64_t cost;
};

/** An organisation that has requests waiting. */
struct eg_fair_organisation
{
  struct eg_hash_node node;
  struct eg_heap_node turn; /**< Key: round; order: place in the round. */
  struct eg_list requests;
  size_t count;
  uint64_t waiting_cost;
  uint64_t deficit;
  int64_t granted_round; /**< Last round whose quantum is in @c deficit. */
  size_t name_len;
  char name[];
};

/** What is needed to undo a take. */
struct eg_fair_snapshot
{
  uint64_t order;
  uint64_t deficit;
  int64_t granted_round;
};

/** The queue of one class. */
struct eg_fair_queue
{
  struct eg_hash_table organisations;
  struct eg_heap turns;
  uint64_t quantum;
  int64_t round;
  uint64_t next_order;
  size_t count;
  uint64_t waiting_cost;
  size_t bucket_counts[EG_FAIR_QUEUE_BUCKETS];
  uint64_t bucket_costs[EG_FAIR_QUEUE_BUCKETS];
};

/** Makes an empty queue; false if memory could not be had. */
bool eg_fair_queue_init (struct eg_fair_queue *self, uint64_t quantum);

/** Frees the queue, which must be empty. */
void eg_fair_queue_finish (struct eg_fair_queue *self);

/** Changes the quantum from this round on. */
void eg_fair_queue_set_quantum (struct eg_fair_queue *self, uint64_t quantum);

/** Finds an organisation with requests waiting, or returns NULL. */
struct eg_fair_organisation *
eg_fair_queue_find (const struct eg_fair_queue *self, struct eg_str name);

/**
 * Queues @p request behind the others of its organisation.
 * @return false if memory could not be had.
 */
bool eg_fair_queue_push (struct eg_fair_queue *self,
                         struct eg_str organisation,
                         struct eg_fair_request *request);

/**
 * Puts @p request back before the others of its organisation, which gets the
 * cost back.
 * @param turn from eg_fair_queue_take(), or NULL if others came between.
 * @return false if memory could not be had.
 */
bool eg_fair_queue_requeue (struct eg_fair_queue *self,
                            struct eg_str organisation,
                            struct eg_fair_request *request,
                            const struct eg_fair_snapshot *turn);

/**
 * Takes the request whose turn it is out of the queue, which must not be
 * empty.
 * @param[out] turn for eg_fair_queue_requeue().
 * @param[out] emptied the organisation if nothing of it waits any longer, to
 *             be freed by the caller; otherwise NULL.
 */
struct eg_fair_request *
eg_fair_queue_take (struct eg_fair_queue *self,
                    struct eg_fair_snapshot *turn,
                    struct eg_fair_organisation **emptied);

/**
 * Removes one request; nothing is charged for it.
 * @return the organisation if nothing of it waits any longer, to be freed by
 *         the caller; otherwise NULL.
 */
struct eg_fair_organisation *
eg_fair_queue_remove (struct eg_fair_queue *self,
                      struct eg_fair_request *request);

/**
 * Estimates the cost served before a new request of @p cost. An organisation
 * counts with what it waits for, up to what the new request's organisation
 * is served until then.
 */
uint64_t eg_fair_queue_cost_ahead (const struct eg_fair_queue *self,
                                   struct eg_str organisation,
                                   uint64_t cost);

EG_END_DECLS

#endif
