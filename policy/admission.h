/**
 * @file
 * Admission control for one service: bounded queues, strict priority between
 * classes with a guaranteed minimum share (floor), and deficit round robin
 * between the organisations of a class.
 */
#ifndef EG_POLICY_ADMISSION_H
#define EG_POLICY_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** One traffic class. */
struct eg_admission_class
{
  char name[EG_NAME_BYTES];
  int priority; /**< Lower is served first; ties go to the first listed. */
  /** Minimum share of the service while requests are queued, from 0 to 1;
      floors that add up to more than 1 are scaled down to a sum of 1. */
  double floor;
  size_t queue_max; /**< Most requests queued in this class. */
};

/** Settings of the admission queues of one service. */
struct eg_admission_config
{
  struct eg_admission_class classes[EG_CLASSES_MAX];
  size_t class_count;
  /** Most requests of one organisation queued in one class. */
  size_t organisation_queue_max;
  uint64_t quantum; /**< Cost credited to each organisation per round. */
};

/** A queued request; passed by value. */
struct eg_admission_item
{
  uint64_t request;
  unsigned class_index;
  struct eg_str organisation; /**< Name; copied by the queue. */
  uint64_t cost;              /**< Expected work in tokens; at least 1. */
  int64_t arrived_us;
  int64_t deadline_us; /**< Latest time to start it. */
};

/** Costs are clamped to this maximum. */
#define EG_ADMISSION_COST_MAX (UINT64_C (1) << 32)

/**
 * The admission queues of one service.
 *
 * Let M be the largest cost and K the number of classes with a floor. While a
 * class with floor f is backlogged and the service completes a total cost S,
 * the class receives at least f * S - (K + 1) * M. The rest goes to the
 * backlogged class of highest priority. For the fairness bounds between the
 * organisations of a class, see fair_queue.h.
 */
struct eg_admission;

/** Creates empty queues; NULL if out of memory. */
struct eg_admission *
eg_admission_new (const struct eg_admission_config *config);

/** Frees the queues. */
void eg_admission_free (struct eg_admission *self);

/**
 * Applies new settings; queued requests keep their position. Classes are
 * matched by name: requests of a class that no longer exists move to the end
 * of the last class listed, even if that exceeds its limits.
 * @return false if out of memory; the old settings then stay in force.
 */
bool eg_admission_configure (struct eg_admission *self,
                             const struct eg_admission_config *config);

/**
 * Queues @p item, or refuses it because its class or organisation has reached
 * its queue limit, or because the observed service rate is too low to start it
 * by its deadline. No request with the same number may be queued already.
 * @param[out] retry_after_us when to try again, in microseconds from now: for a
 *             full queue, the estimated wait of the request; for the deadline,
 *             the part of this wait by which the request would be late; 0 if
 *             the request was queued.
 * @return EG_REFUSAL_NONE, EG_REFUSAL_QUEUE_FULL or EG_REFUSAL_DEADLINE.
 */
enum eg_refusal eg_admission_offer (struct eg_admission *self,
                                    const struct eg_admission_item *item,
                                    int64_t now_us,
                                    int64_t *retry_after_us);

/**
 * Returns a dequeued request to the head of its organisation's queue,
 * regardless of the queue limits, and refunds its cost. If it was the last
 * request dequeued, the scheduling state is restored exactly.
 */
void eg_admission_requeue (struct eg_admission *self,
                           const struct eg_admission_item *item);

/**
 * Dequeues the request to serve next. Deadlines are not checked: call
 * eg_admission_take_expired() first, until it returns false.
 * The organisation in @p item stays valid until the next call.
 * @return false if the queues are empty.
 */
bool eg_admission_take (struct eg_admission *self,
                        int64_t now_us,
                        struct eg_admission_item *item);

/**
 * Dequeues the next request of a class with a higher priority than
 * @p class_index, for when only such requests can be placed.
 * @return false if no such request is queued.
 */
bool eg_admission_take_above (struct eg_admission *self,
                              unsigned class_index,
                              int64_t now_us,
                              struct eg_admission_item *item);

/** Dequeues one request whose deadline has passed; false if there is none. */
bool eg_admission_take_expired (struct eg_admission *self,
                                int64_t now_us,
                                struct eg_admission_item *item);

/** Removes a request, such as a cancelled one; false if it is not queued. */
bool eg_admission_remove (struct eg_admission *self, uint64_t request);

/**
 * Reports a completed request for the estimate of the service rate.
 * Completions while the queues are empty are ignored, since they say nothing
 * about the capacity.
 * @param cost the cost of its item, so that the rate and the queued costs are
 *             in the same unit.
 */
void eg_admission_record_served (struct eg_admission *self,
                                 uint64_t cost,
                                 int64_t now_us);

/**
 * Estimates how long a new request would be queued, in microseconds; -1 while
 * no service rate has been observed.
 */
int64_t eg_admission_estimate (const struct eg_admission *self,
                               const struct eg_admission_item *item);

/** Returns the number of requests queued in a class. */
size_t eg_admission_depth (const struct eg_admission *self,
                           unsigned class_index);

EG_END_DECLS

#endif
