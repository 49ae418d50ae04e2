/**
 * @file
 * Which class is served next: strict priority, with a floor for some classes.
 *
 * A class with a floor f earns f of each cost that is served to another class
 * while it waits. One that has earned more than it got this way goes first.
 */
#ifndef EG_POLICY_CLASS_SCHEDULER_H
#define EG_POLICY_CLASS_SCHEDULER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** The order among the classes of one queue; memory of the caller. */
struct eg_class_scheduler
{
  size_t count;
  int priorities[EG_CLASSES_MAX];
  double floors[EG_CLASSES_MAX];
  double credits[EG_CLASSES_MAX]; /**< Cost owed, or got ahead if below 0. */
  bool waiting[EG_CLASSES_MAX];
  unsigned ranked[EG_CLASSES_MAX]; /**< Classes, the first served first. */
};

/** Makes an order of no classes. */
void eg_class_scheduler_init (struct eg_class_scheduler *self);

/** Adds a class with nothing waiting, which gets the next index. */
void eg_class_scheduler_add (struct eg_class_scheduler *self,
                             int priority,
                             double floor);

/** Scales the floors down to a sum of 1, if it is more, once all are added. */
void eg_class_scheduler_normalize_floors (struct eg_class_scheduler *self);

/** Says whether a class has requests waiting; without, it is owed nothing. */
void eg_class_scheduler_set_waiting (struct eg_class_scheduler *self,
                                     unsigned index,
                                     bool waiting);

/**
 * Finds the class to serve next.
 * @param[out] owed whether its turn comes from its floor.
 * @return false if nothing waits.
 */
bool eg_class_scheduler_choose (const struct eg_class_scheduler *self,
                                unsigned *index,
                                bool *owed);

/**
 * Finds the most urgent class that waits and goes before class @p than,
 * whatever others are owed.
 */
bool eg_class_scheduler_choose_above (const struct eg_class_scheduler *self,
                                      unsigned than,
                                      unsigned *index);

/** Accounts for @p cost served to a class, which still counts as waiting. */
void eg_class_scheduler_charge (struct eg_class_scheduler *self,
                                unsigned index,
                                bool owed,
                                uint64_t cost);

EG_END_DECLS

#endif
