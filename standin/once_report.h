/**
 * @file
 * Reports of a check of "at most once".
 */
#ifndef EG_STANDIN_ONCE_REPORT_H
#define EG_STANDIN_ONCE_REPORT_H

#include <jansson.h>
#include <stdio.h>

#include "base/decls.h"
#include "standin/once_run.h"

EG_BEGIN_DECLS

/** Returns all results as a new reference. */
json_t *eg_once_report_json (const struct eg_once_results *results,
                             uint64_t seed);

/** Prints the results as a table. */
void eg_once_report_table (const struct eg_once_results *results, FILE *stream);

/** Prints a line for each sending, in the order in which they left. */
void eg_once_report_sendings (const struct eg_once_results *results,
                              FILE *stream);

EG_END_DECLS

#endif
