/**
 * @file
 * Fetches the engines' execution records after a run and audits them.
 */
#ifndef EG_STANDIN_LOAD_RECORDS_H
#define EG_STANDIN_LOAD_RECORDS_H

#include "base/decls.h"
#include "standin/load_client.h"
#include "standin/load_results.h"

EG_BEGIN_DECLS

/**
 * Fills in @c audit of @p results if the scenario names any records.
 * @return EG_INVALID if a record is malformed.
 */
enum eg_status eg_load_records_check (struct eg_load_client *client,
                                      struct eg_load_results *results,
                                      struct eg_error *error);

EG_END_DECLS

#endif
