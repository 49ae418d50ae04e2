/**
 * @file
 * Monotonic and wall-clock time in microseconds.
 */
#ifndef EG_BASE_CLOCK_H
#define EG_BASE_CLOCK_H

#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

#define EG_US_PER_MS INT64_C (1000)
#define EG_US_PER_S INT64_C (1000000)

/**
 * Returns monotonic time in microseconds since an arbitrary epoch.
 * The clock keeps counting while the VM is suspended, so timeouts and deadlines
 * hold across a suspend.
 */
int64_t eg_clock_now_us (void);

/** Returns wall-clock time in microseconds since 1970-01-01 UTC. */
int64_t eg_clock_wall_us (void);

EG_END_DECLS

#endif
