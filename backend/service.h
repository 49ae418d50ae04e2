/**
 * @file
 * The protocol of plain services; the one place that knows it.
 */
#ifndef EG_BACKEND_SERVICE_H
#define EG_BACKEND_SERVICE_H

#include "base/decls.h"
#include "base/status.h"
#include "policy/servers.h"

EG_BEGIN_DECLS

/** Reads the answer of a plain service's `GET /health`. */
enum eg_status eg_service_read_health (struct eg_str body,
                                       int64_t now_us,
                                       struct eg_server_report *report,
                                       struct eg_error *error);

EG_END_DECLS

#endif
