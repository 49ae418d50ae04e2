/**
 * @file
 * Reads the execution records of services, again and again while they grow.
 */
#ifndef EG_STANDIN_ONCE_RECORDS_H
#define EG_STANDIN_ONCE_RECORDS_H

#include "base/decls.h"
#include "standin/load_client.h"
#include "standin/once_book.h"
#include "standin/once_scenario.h"

EG_BEGIN_DECLS

struct eg_once_records;

/**
 * Makes a reader of all records that the scenario names; they must show no POST
 * before the run.
 * @param run name of this run, which starts all request ids.
 */
struct eg_once_records *
eg_once_records_new (const struct eg_once_scenario *scenario,
                     const char *run,
                     struct eg_load_client *client,
                     struct eg_once_book *book,
                     int64_t start_us);

/** Frees the reader; its exchanges must have ended. */
void eg_once_records_free (struct eg_once_records *self);

/** Starts reading each record that is not being read. */
void eg_once_records_read (struct eg_once_records *self);

/** Returns how many records are being read. */
size_t eg_once_records_active (const struct eg_once_records *self);

/** Tells whether the last reading of every record gave all that ran. */
bool eg_once_records_are_whole (const struct eg_once_records *self);

/** Writes the request id of a sending, by which its run is known. */
void eg_once_records_write_id (const char *run,
                               size_t sending,
                               char *id,
                               size_t capacity);

/** Writes the path of a request at its service. */
void eg_once_records_write_path (const char *run,
                                 size_t request,
                                 char *path,
                                 size_t capacity);

EG_END_DECLS

#endif
