/**
 * @file
 * Tells from the pace of a stream's events whether the run that delivers them
 * still makes progress.
 *
 * What is known of a server otherwise (a refused connection, an unanswered
 * probe, another VM's report) says whether it takes new work. Only the events
 * of a run show whether the server continues that run: a server that leaves
 * stops listening and completes the runs it has.
 */
#ifndef EG_POLICY_RUN_PROGRESS_H
#define EG_POLICY_RUN_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** What is known of the servers that a run depends on, in order of weight. */
enum eg_run_doubt
{
  /** One does not answer, refuses connections while it leaves, or is reported
   *  as down. */
  EG_DOUBT_SERVER_SUSPECT,
  /** One that was not leaving refuses connections: its process has ended. */
  EG_DOUBT_SERVER_ENDED,
  EG_RUN_DOUBTS,
};

/** Progress of one run of a stream; allocated by the caller. */
struct eg_run_progress
{
  bool begun;          /**< The run has delivered an event. */
  int64_t last_us;     /**< Time of the last event. */
  int64_t interval_us; /**< Moving average between events; 0: unknown. */
};

/** Initialises a run that has not delivered an event yet. */
void eg_run_progress_init (struct eg_run_progress *self);

/** Records that events were received. */
void eg_run_progress_received (struct eg_run_progress *self, int64_t now_us);

/** Records that events are received again after a pause not of the run. */
void eg_run_progress_resumed (struct eg_run_progress *self, int64_t now_us);

/**
 * Returns whether the run has begun and its next event is not overdue, so that
 * it must not be ended for @p doubt. The weaker the doubt, the longer the
 * silence that confirms it.
 */
bool eg_run_progress_is_live (const struct eg_run_progress *self,
                              enum eg_run_doubt doubt,
                              int64_t now_us);

EG_END_DECLS

#endif
