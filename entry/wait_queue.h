/**
 * @file
 * Requests that wait for room on a server before they begin.
 *
 * Each service has a queue, see policy/shedding.h. A request that is refused by
 * it, or leaves it without having found room, has not run.
 */
#ifndef EG_ENTRY_WAIT_QUEUE_H
#define EG_ENTRY_WAIT_QUEUE_H

#include "base/buffer.h"
#include "base/list.h"
#include "policy/resend.h"
#include "policy/shedding.h"

struct eg_call;
struct eg_entry;
struct eg_service_wait;

/** Refused requests remembered, so that a copy gains rank; a power of 2. */
#define EG_WAIT_REFUSED_MAX 256

/** What has become of requests, by which they are counted. */
enum eg_wait_event
{
  EG_WAIT_QUEUED,    /**< Waits. */
  EG_WAIT_SERVED,    /**< Has found room after it had waited. */
  EG_WAIT_LATE,      /**< Refused: it would not be served in time. */
  EG_WAIT_FULL,      /**< Refused: the queue holds better ones. */
  EG_WAIT_DISPLACED, /**< Refused for a better one, after it had waited. */
  EG_WAIT_EXPIRED,   /**< Refused: it has waited as long as it may. */
  EG_WAIT_LEFT,      /**< Ended otherwise while it waited. */
  EG_WAIT_EVENTS,
};

/** What a call keeps about its wait; zeroed: none. */
struct eg_call_wait
{
  struct eg_list link; /**< In eg_wait_queues::waiting while @c queued. */
  bool queued;
  bool known;   /**< @c request is set: shedding is on for its service. */
  bool offered; /**< The queue has counted it. */
  bool served;  /**< A server has accepted it. */
  const char *verdict; /**< The last one; NULL: none was needed. */
  int64_t queued_us;   /**< Since when it waits. */
  int64_t waited_us;   /**< Before that. */
  struct eg_shed_request request;
};

/** A request that was refused. */
struct eg_wait_refused
{
  uint64_t fingerprint;
  unsigned count;
  int64_t last_us;
};

/** What all queues of the daemon share. */
struct eg_wait_queues
{
  struct eg_list waiting;  /**< Calls that wait. */
  struct eg_list services; /**< Queues of services. */
  uint64_t next_id;
  struct eg_wait_refused refused[EG_WAIT_REFUSED_MAX];
  uint64_t counts[EG_SHED_PRIORITIES][EG_WAIT_EVENTS];
};

/** Initialises empty queues. */
void eg_wait_queues_init (struct eg_wait_queues *self);

/**
 * Frees the queue of a service that the configuration has dropped; NULL is
 * allowed.
 * @return false if requests wait in it: it is kept until they have ended.
 */
bool eg_service_wait_drop (struct eg_service_wait *self);

/**
 * Sends the waiting requests for which there is room, in the order of their
 * queue, and refuses those that cannot be served in time; call it on every
 * tick, after begun streams that wait were tried.
 */
void eg_wait_queues_check (struct eg_entry *entry, int64_t now_us);

/** Appends the counters as text. */
void eg_wait_queues_print (const struct eg_entry *entry, struct eg_buffer *out);

/**
 * Takes a request that has just arrived. If others that wait go before it, it
 * waits too.
 * @return whether the call waits or has ended; else it is to be sent.
 */
bool eg_call_wait_arrive (struct eg_call *call, int64_t now_us);

/**
 * Lets a request wait that has not run and cannot be sent now.
 * @param limit what rules out a send.
 * @return false if it is to be refused.
 */
bool eg_call_wait_hold (struct eg_call *call,
                        enum eg_resend_limit limit,
                        int64_t now_us);

/** Takes note that a server has accepted the request. */
void eg_call_wait_served (struct eg_call *call, int64_t now_us);

/** Removes a call that ends from its queue. */
void eg_call_wait_leave (struct eg_call *call);

/**
 * Returns after which time a refused caller finds the queue @p self served;
 * NULL: the one of its service.
 * @param shortest_us the least time to return.
 */
int64_t eg_call_wait_return_us (const struct eg_call *call,
                                struct eg_service_wait *self,
                                int64_t shortest_us,
                                int64_t now_us);

/** What would become of a request that has just arrived. */
struct eg_wait_preview
{
  /** A copy of the queue of its service; NULL: it would not be queued. */
  struct eg_service_wait *wait;
  bool enabled; /**< Shedding is on for its service. */
  bool queues;  /**< Others go before it, so that it would be queued at once. */
  size_t waiting;
  size_t capacity;
  size_t ahead; /**< Waiting requests that go before it. */
};

/**
 * Finds out as eg_call_wait_arrive() does, on a copy of the queue. Sets
 * eg_call::wait of @p call.
 */
void eg_wait_preview_init (struct eg_wait_preview *self,
                           struct eg_call *call,
                           int64_t now_us);

/** Frees the copy. */
void eg_wait_preview_finish (struct eg_wait_preview *self);

/**
 * Returns what becomes of the request if it is offered to the copy.
 * @param limit what rules out a send; EG_LIMIT_NONE: others go before it.
 * @return false if it would be refused.
 */
bool eg_wait_preview_offer (struct eg_wait_preview *self,
                            struct eg_call *call,
                            enum eg_resend_limit limit,
                            int64_t now_us);

/** Appends the inputs and the verdict to the log line of a request. */
void eg_call_wait_write (const struct eg_call *call, struct eg_buffer *out);

#endif
