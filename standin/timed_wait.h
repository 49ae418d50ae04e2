/**
 * @file
 * Sleeping and timed waits, in microseconds of the monotonic clock.
 */
#ifndef EG_STANDIN_TIMED_WAIT_H
#define EG_STANDIN_TIMED_WAIT_H

#include <pthread.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Sleeps until eg_clock_now_us() reaches @p until_us. */
void eg_sleep_until (int64_t until_us);

/** Waits for @p condition for at most @p timeout_us; @p lock must be held. */
void eg_cond_wait_for (pthread_cond_t *condition,
                       pthread_mutex_t *lock,
                       int64_t timeout_us);

EG_END_DECLS

#endif
