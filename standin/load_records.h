/**
 * @file
 * Fetches the engines' execution records after a run and has them checked.
 */
#ifndef EG_STANDIN_LOAD_RECORDS_H
#define EG_STANDIN_LOAD_RECORDS_H

#include "base/decls.h"
#include "standin/load_client.h"
#include "standin/load_results.h"

EG_BEGIN_DECLS

/** Fills @c audit of @p results, if the scenario asks for it. */
enum eg_status eg_load_records_check (struct eg_load_client *client,
                                      struct eg_load_results *results,
                                      struct eg_error *error);

EG_END_DECLS

#endif
