/**
 * @file
 * Reports of an at-most-once check.
 */
#ifndef EG_STANDIN_ONCE_REPORT_H
#define EG_STANDIN_ONCE_REPORT_H

#include <jansson.h>
#include <stdio.h>

#include "base/decls.h"
#include "standin/once_run.h"

EG_BEGIN_DECLS

/** Returns the results as a new JSON object. */
json_t *eg_once_report_json (const struct eg_once_results *results,
                             uint64_t seed);

/** Prints the results as a table. */
void eg_once_report_table (const struct eg_once_results *results, FILE *stream);

/** Prints a line for each attempt, in the order in which they were sent. */
void eg_once_report_attempts (const struct eg_once_results *results,
                              FILE *stream);

EG_END_DECLS

#endif
