/**
 * @file
 * Reports of a run: tables, JSON and a plot.
 */
#ifndef EG_STANDIN_LOAD_REPORT_H
#define EG_STANDIN_LOAD_REPORT_H

#include <jansson.h>
#include <stdio.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "standin/load_results.h"

EG_BEGIN_DECLS

/** Returns the run as a new JSON object; docs/LOAD.md lists its keys. */
json_t *eg_load_report_json (const struct eg_load_results *results,
                             uint64_t seed);

/**
 * Appends a line `PATH VALUE` for each number of a report, so that shell
 * scripts can read it. Paths join keys by dots and number objects in arrays
 * from 0; arrays of numbers are omitted.
 */
void eg_load_report_values (json_t *report, struct eg_buffer *lines);

/** Prints the run as tables for a terminal. */
void eg_load_report_table (const struct eg_load_results *results, FILE *stream);

/** Appends a plot of the run as an SVG document. */
void eg_load_report_svg (const struct eg_load_results *results,
                         struct eg_buffer *svg);

/** Returns the mean of tokens received per second in the measured time. */
double eg_load_report_tokens_per_s (const struct eg_load_results *results);

/**
 * Tells whether the run followed the scenario: every fault was injected, and
 * the tool itself never stalled for long.
 */
bool eg_load_report_run_is_valid (const struct eg_load_results *results);

EG_END_DECLS

#endif
