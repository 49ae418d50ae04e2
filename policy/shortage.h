/**
 * @file
 * Decides when a caller that is refused for want of a server is to come back.
 *
 * It is meant for services whose servers are all full, or lack a part of the
 * model, for some seconds: the time to load layers elsewhere, or until a cut
 * ends. Such a shortage may last about as long again as it has lasted, so that
 * callers are told to wait longer the longer it goes on. Those that are refused
 * later come back later, over a span twice as long as that of their refusals,
 * rather than together.
 */
#ifndef EG_POLICY_SHORTAGE_H
#define EG_POLICY_SHORTAGE_H

#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Time without a refusal after which a served request ends a shortage. */
#define EG_SHORTAGE_QUIET_US 300000

/** The shortage of one service; zeroed: none. */
struct eg_shortage
{
  int64_t since_us; /**< First refusal; 0: none. */
  int64_t last_us;  /**< Last refusal. */
};

/** Takes note that a request was refused for want of a server. */
void eg_shortage_refused (struct eg_shortage *self, int64_t now_us);

/** Takes note that a server accepted a request. */
void eg_shortage_served (struct eg_shortage *self, int64_t now_us);

/**
 * Returns how long a caller is to wait.
 * @param shortest_us wait at the start of a shortage.
 * @param left_us time that the caller has left. At least half of it remains
 *   when it comes back, unless @p shortest_us is longer.
 */
int64_t eg_shortage_wait_us (const struct eg_shortage *self,
                             int64_t shortest_us,
                             int64_t left_us,
                             int64_t now_us);

EG_END_DECLS

#endif
