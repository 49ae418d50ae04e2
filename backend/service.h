/**
 * @file
 * Messages of the plain service protocol; all code that depends on it is here.
 */
#ifndef EG_BACKEND_SERVICE_H
#define EG_BACKEND_SERVICE_H

#include "base/decls.h"
#include "base/status.h"
#include "policy/servers.h"

EG_BEGIN_DECLS

/**
 * Parses the response of a plain service to `GET /health`.
 * @param now_us monotonic time at which it was received.
 * @return EG_OK, or EG_INVALID with a message.
 */
enum eg_status eg_service_read_health (struct eg_str body,
                                       int64_t now_us,
                                       struct eg_server_report *report,
                                       struct eg_error *error);

EG_END_DECLS

#endif
