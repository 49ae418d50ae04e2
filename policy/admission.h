/**
 * @file
 * Bounded queues before one service: strict classes with a floor, and deficit
 * round robin among the organisations of a class.
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
  int priority; /**< A lower number is served first; then the first listed. */
  /** Share of the service kept for it while it waits, from 0 to 1; if all
      floors together exceed 1, they are scaled down to 1. */
  double floor;
  size_t queue_max; /**< Requests that may wait in this class. */
};

/** Settings of the queues before one service. */
struct eg_admission_config
{
  struct eg_admission_class classes[EG_CLASSES_MAX];
  size_t class_count;
  /** Requests of one organisation that may wait in one class. */
  size_t organisation_queue_max;
  uint64_t quantum; /**< Cost that one organisation gains each round. */
};

/** A request that waits; a value, copied in and out. */
struct eg_admission_item
{
  uint64_t request;
  unsigned class_index;
  struct eg_str organisation; /**< Copied by the queue. */
  uint64_t cost;              /**< Expected work, in tokens; at least 1. */
  int64_t arrived_us;
  int64_t deadline_us; /**< The first byte of the answer is due by then. */
};

/** Larger costs count as this one. */
#define EG_ADMISSION_COST_MAX (UINT64_C (1) << 32)

/**
 * The queues before one service.
 *
 * With M the largest cost and K the classes with a floor, a class with floor f
 * that waits all the time is served at least f * S - (K + 1) * M of any cost S
 * served meanwhile. All else goes to the waiting class of highest priority.
 * Within a class, see fair_queue.h for what organisations can rely on.
 */
struct eg_admission;

/** Makes empty queues; NULL if memory could not be had. */
struct eg_admission *
eg_admission_new (const struct eg_admission_config *config);

/** Frees the queues. */
void eg_admission_free (struct eg_admission *self);

/**
 * Takes new settings; waiting requests keep their place. Classes are matched
 * by name: requests of a class that no longer exists move to the end of the
 * last class listed, even beyond its bounds.
 * @return false if memory could not be had; the old settings then stay.
 */
bool eg_admission_configure (struct eg_admission *self,
                             const struct eg_admission_config *config);

/**
 * Queues @p item, or refuses it: its class or organisation has no room, or the
 * work ahead of it cannot be done by its deadline at the rate observed.
 * Its request number must not be waiting already.
 * @param[out] retry_after_us how long until asking again makes sense: for a
 *             full queue, until the work now ahead is done; for the deadline,
 *             until as much of it is done as was too much.
 * @return EG_REFUSAL_NONE, EG_REFUSAL_QUEUE_FULL or EG_REFUSAL_DEADLINE.
 */
enum eg_refusal eg_admission_offer (struct eg_admission *self,
                                    const struct eg_admission_item *item,
                                    int64_t now_us,
                                    int64_t *retry_after_us);

/**
 * Puts a request that was taken back at the head of its organisation's queue,
 * whatever the bounds; what it was charged is given back. If it was the last
 * one taken, everything is as before.
 */
void eg_admission_requeue (struct eg_admission *self,
                           const struct eg_admission_item *item);

/**
 * Takes the request to serve next. It does not look at the deadline: call
 * eg_admission_take_expired() first, until it returns false.
 * The organisation in @p item stays valid until the next call.
 * @return false if nothing waits.
 */
bool eg_admission_take (struct eg_admission *self,
                        int64_t now_us,
                        struct eg_admission_item *item);

/**
 * Takes the next request of a class that is more urgent than @p class_index,
 * for when there is room for such requests alone.
 * @return false if none waits.
 */
bool eg_admission_take_above (struct eg_admission *self,
                              unsigned class_index,
                              int64_t now_us,
                              struct eg_admission_item *item);

/** Takes one request whose deadline has passed; false if there is none. */
bool eg_admission_take_expired (struct eg_admission *self,
                                int64_t now_us,
                                struct eg_admission_item *item);

/** Removes a request whose caller left; false if it does not wait. */
bool eg_admission_remove (struct eg_admission *self, uint64_t request);

/**
 * Reports finished work, from which the rate is estimated, by the cost that
 * its item had, so that both are in the same units. Work that ends
 * while nothing waits does not count, since it says nothing of the capacity.
 */
void eg_admission_record_served (struct eg_admission *self,
                                 uint64_t cost,
                                 int64_t now_us);

/**
 * Estimates how long a new request would wait for its turn, in microseconds;
 * -1 while no rate has been observed.
 */
int64_t eg_admission_estimate (const struct eg_admission *self,
                               const struct eg_admission_item *item);

/** Returns how many requests wait in a class. */
size_t eg_admission_depth (const struct eg_admission *self,
                           unsigned class_index);

EG_END_DECLS

#endif
