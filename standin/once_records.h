/**
 * @file
 * Polls the execution records of services and adds new executions to the
 * history.
 */
#ifndef EG_STANDIN_ONCE_RECORDS_H
#define EG_STANDIN_ONCE_RECORDS_H

#include "base/decls.h"
#include "standin/load_client.h"
#include "standin/once_history.h"
#include "standin/once_scenario.h"

EG_BEGIN_DECLS

struct eg_once_records;

/**
 * Creates a reader of all records that the scenario names. The records must not
 * contain a POST from before the run.
 * @param run_name prefix of all request ids of this run; borrowed.
 * @param start_us clock time at the start of the run.
 */
struct eg_once_records *
eg_once_records_new (const struct eg_once_scenario *scenario,
                     const char *run_name,
                     struct eg_load_client *client,
                     struct eg_once_history *history,
                     int64_t start_us);

/** Frees the reader; no exchange of it may be in flight. */
void eg_once_records_free (struct eg_once_records *self);

/** Starts a read of each record without a read in progress. */
void eg_once_records_read (struct eg_once_records *self);

/** Returns the number of reads in progress. */
size_t eg_once_records_active (const struct eg_once_records *self);

/** Tells whether the last read of every record returned all executions. */
bool eg_once_records_are_complete (const struct eg_once_records *self);

/** Formats the request id of an attempt, which identifies its execution. */
void eg_once_records_format_request_id (const char *run_name,
                                        size_t attempt,
                                        char *id,
                                        size_t capacity);

/** Formats the path of a request at its service. */
void eg_once_records_format_path (const char *run_name,
                                  size_t request,
                                  char *path,
                                  size_t capacity);

EG_END_DECLS

#endif
