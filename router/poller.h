/**
 * @file
 * Schedule of load polls, and detection of unresponsive backend servers.
 */
#ifndef EG_ROUTER_POLLER_H
#define EG_ROUTER_POLLER_H

#include "backend/worker.h"
#include "policy/servers.h"

/** Consecutive timeouts after which a server counts as unresponsive. */
#define EG_POLLER_TIMEOUTS_MAX 2

struct eg_poll_state;

/** Poll interval for each server. */
struct eg_poll_plan
{
  /**
   * Returns the interval in microseconds; 0 if this node does not poll the
   * server now.
   */
  int64_t (*interval_us) (void *context, uint32_t server, int64_t now_us);
  void *context;
};

/** The schedule; valid if zero-initialised. */
struct eg_poller
{
  struct eg_poll_state *states; /**< By server index. */
  uint32_t count;
  uint32_t cursor; /**< Next index to check for a due poll. */
  int64_t interval_us;
  struct eg_poll_plan plan; /**< If unset, interval_us is used. */
};

/** Frees the schedule and resets it. */
void eg_poller_finish (struct eg_poller *self);

/**
 * Returns a command for the next poll that is due; call it until it returns
 * NULL.
 */
struct eg_backend_command *eg_poller_next (struct eg_poller *self,
                                           const struct eg_servers *servers,
                                           int64_t now_us);

/** Reports that a poll could not be submitted; the next one is due as usual. */
void eg_poller_send_failed (struct eg_poller *self, uint32_t server);

/**
 * Reports the end of a poll.
 * @param event of kind LOAD or POLL_FAILED.
 * @return true if the server is unresponsive.
 */
bool eg_poller_poll_done (struct eg_poller *self,
                          uint32_t server,
                          const struct eg_backend_event *event);

#endif
