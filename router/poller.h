/**
 * @file
 * When each backend server is asked for its load, and which of them have
 * fallen silent.
 */
#ifndef EG_ROUTER_POLLER_H
#define EG_ROUTER_POLLER_H

#include "backend/worker.h"
#include "policy/servers.h"

/** Polls without an answer after which a server counts as silent. */
#define EG_POLLER_MISSES_MAX 2

struct eg_poll_state;

/** Says how often a server is to be polled by this node. */
struct eg_poll_plan
{
  /** Returns the interval in microseconds; 0 if it need not be polled now. */
  int64_t (*interval_us) (void *context, uint32_t server, int64_t now_us);
  void *context;
};

/** The schedule; zero-initialised memory is an empty one. */
struct eg_poller
{
  struct eg_poll_state *states; /**< By server index. */
  uint32_t count;
  uint32_t cursor; /**< Where the search for due polls goes on. */
  int64_t interval_us;
  struct eg_poll_plan plan; /**< Without one, interval_us is for all. */
};

/** Frees the schedule. */
void eg_poller_finish (struct eg_poller *self);

/**
 * Returns the next poll that is due as a command, or NULL; to be called until
 * it returns NULL.
 */
struct eg_backend_command *eg_poller_next (struct eg_poller *self,
                                           const struct eg_servers *servers,
                                           int64_t now_us);

/** Takes in that a poll was not sent; the next one is due as usual. */
void eg_poller_not_sent (struct eg_poller *self, uint32_t server);

/**
 * Takes in the end of a poll.
 * @param event LOAD or POLL_FAILED.
 * @return true if the server has fallen silent.
 */
bool eg_poller_ended (struct eg_poller *self,
                      uint32_t server,
                      const struct eg_backend_event *event);

#endif
