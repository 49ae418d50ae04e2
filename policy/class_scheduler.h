/**
 * @file
 * Scheduler between classes: strict priority, with a guaranteed minimum share
 * (floor) for some classes.
 *
 * While a class with floor f is backlogged, it is credited with f times each
 * cost served to another class. A class with positive credit is served first.
 */
#ifndef EG_POLICY_CLASS_SCHEDULER_H
#define EG_POLICY_CLASS_SCHEDULER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Scheduling state of the classes of one service; allocated by the caller. */
struct eg_class_scheduler
{
  size_t count;
  int priorities[EG_CLASSES_MAX];
  double floors[EG_CLASSES_MAX];
  double credits[EG_CLASSES_MAX];  /**< Cost owed; negative if overdrawn. */
  bool waiting[EG_CLASSES_MAX];    /**< Whether the class is backlogged. */
  unsigned ranked[EG_CLASSES_MAX]; /**< Classes by descending priority. */
};

/** Initialises a scheduler without classes. */
void eg_class_scheduler_init (struct eg_class_scheduler *self);

/** Adds an idle class under the next free index. */
void eg_class_scheduler_add (struct eg_class_scheduler *self,
                             int priority,
                             double floor);

/** Scales floors that add up to more than 1 down to a sum of 1; call it once
    all classes are added. */
void eg_class_scheduler_normalize_floors (struct eg_class_scheduler *self);

/** Sets whether a class has queued requests; an idle class loses its credit. */
void eg_class_scheduler_set_waiting (struct eg_class_scheduler *self,
                                     unsigned index,
                                     bool waiting);

/**
 * Finds the class to serve next.
 * @param[out] owed whether it was chosen for its credit, not for its priority.
 * @return false if no class has queued requests.
 */
bool eg_class_scheduler_choose (const struct eg_class_scheduler *self,
                                unsigned *index,
                                bool *owed);

/**
 * Finds the backlogged class of highest priority among those with a higher
 * priority than class @p class_index, regardless of credits.
 * @return false if there is none.
 */
bool eg_class_scheduler_choose_above (const struct eg_class_scheduler *self,
                                      unsigned class_index,
                                      unsigned *index);

/** Accounts for @p cost served to a class that is still marked as waiting. */
void eg_class_scheduler_charge (struct eg_class_scheduler *self,
                                unsigned index,
                                bool owed,
                                uint64_t cost);

EG_END_DECLS

#endif
