/**
 * @file
 * Decides which requests of a service wait, and which are refused, while its
 * servers have no room for all of them.
 *
 * A request waits only while its goal can still be met. Those are served first
 * whose refusal would cost their callers most: by priority, and within a
 * priority by the cost per unit of work. Floors keep less urgent requests,
 * large requests and organisations from starvation, and an organisation that
 * has used much more than its share goes after the others of its priority.
 * docs/design/shedding.md has the alternatives and their effects.
 */
#ifndef EG_POLICY_SHEDDING_H
#define EG_POLICY_SHEDDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/service_rate.h"

EG_BEGIN_DECLS

/** Priorities from 0, the most urgent; larger ones count as the last. */
#define EG_SHED_PRIORITIES 10
/** Routes of a service told apart; further ones share the last entry. */
#define EG_SHED_ROUTES_MAX 16
/** Entries for organisations; a power of 2. Some share an entry if there are
 *  many. */
#define EG_SHED_ORGANISATIONS 256
/** Half-octaves of work told apart. */
#define EG_SHED_SIZES 64
/** Largest bound of a queue. Each step of a queue compares its requests. */
#define EG_WAIT_QUEUE_MAX 128

/** A request as input to the decision. */
struct eg_shed_request
{
  uint64_t id;           /**< Unique within a queue. */
  uint64_t route;        /**< Hash of the route's name. */
  uint64_t organisation; /**< Hash of the organisation's name. */
  unsigned priority;     /**< 0 is the highest. */
  int64_t arrived_us;
  int64_t goal_us;     /**< Time after its arrival by which it is on time. */
  int64_t deadline_us; /**< When its caller gives up. */
  /** Shortest time after which the caller comes back if it is refused. */
  int64_t return_us;
  double prompt_tokens;
  double answer_tokens; /**< As stated, or else the usual number. */
  /** Work of a prompt token, that of an answer token being 1. */
  double prompt_weight;
  bool prompt_read;    /**< The prompt's share of the work is done. */
  double answer_done;  /**< Share of the answer that is done, 0 to 1. */
  unsigned rejections; /**< How often it was refused before. */
  bool repeatable;     /**< It may be sent to a server more than once. */
  bool idempotent;
  /** Set by the queue, false at first: there was room for one that goes after
   *  it, so that it holds up no other. It needs more, or other servers. */
  bool passed;
};

/** Size classes of the requests of a route. */
enum eg_shed_size
{
  EG_SHED_ORDINARY,
  EG_SHED_LARGE,   /**< The fifth below the largest tenth. */
  EG_SHED_LARGEST, /**< The largest tenth. */
  EG_SHED_SIZE_CLASSES,
};

/** What becomes of a request. */
enum eg_shed_verdict
{
  EG_SHED_WAITS,
  EG_SHED_REPLACES, /**< It waits, and a victim has left the queue for it. */
  EG_SHED_LATE,     /**< Refused: it would not be served in time. */
  EG_SHED_FULL,     /**< Refused: the queue holds better ones. */
};

/** Requests decided and served, decayed with time. */
struct eg_shed_share
{
  double offered;
  double served;
};

/** What is known of a route. */
struct eg_shed_route
{
  uint64_t route;
  double sizes[EG_SHED_SIZES]; /**< Requests by work, decayed. */
  struct eg_shed_share all;
  struct eg_shed_share classes[EG_SHED_SIZE_CLASSES];
};

/** What is known of an organisation in a priority. */
struct eg_shed_organisation
{
  struct eg_shed_share share;
  double work; /**< Served, decayed. */
  unsigned priority;
};

/** What is known of a priority. */
struct eg_shed_priority
{
  struct eg_shed_share share;
  double work;          /**< Served, decayed. */
  size_t organisations; /**< That have sent requests recently. */
};

/** Place of a request in the order of service; the smaller goes first. */
struct eg_shed_place
{
  unsigned tier;
  unsigned priority;
  unsigned turn;
  double rank; /**< See eg_shed_rank(); the larger goes first. */
  uint64_t sequence;
};

/** A waiting request. */
struct eg_wait_slot
{
  struct eg_shed_request request;
  int64_t latest_us; /**< When it no longer waits. */
  int64_t next_us;   /**< Not taken before, unless it is the first. */
  int64_t tried_us;  /**< When it was put back; 0: never. */
  uint64_t sequence; /**< Order of arrival. */
  struct eg_shed_place place;
};

/** The waiting requests of a service. */
struct eg_wait_queue
{
  struct eg_wait_slot *slots; /**< Memory of the caller. */
  size_t capacity;
  size_t count;
  uint64_t sequence;
  struct eg_service_rate rate; /**< Work served while requests waited. */
  int64_t served_us;           /**< When the last one was served meanwhile. */
  int64_t decayed_us;
  struct eg_shed_priority priorities[EG_SHED_PRIORITIES];
  struct eg_shed_route routes[EG_SHED_ROUTES_MAX];
  size_t route_count;
  struct eg_shed_organisation organisations[EG_SHED_ORGANISATIONS];
};

/** Returns the work left, in answer tokens; at least 1. */
double eg_shed_work (const struct eg_shed_request *request);

/**
 * Returns the cost to the caller, per unit of work, of refusing a request now.
 * It grows with the time that the request has waited and with each refusal.
 */
double eg_shed_rank (const struct eg_shed_request *request, int64_t now_us);

/**
 * Returns until when a request may wait: half of its goal, and not so long that
 * its caller cannot come back after a refusal. A caller that cannot come back
 * even if it is refused on arrival loses nothing by waiting.
 */
int64_t eg_shed_latest_us (const struct eg_shed_request *request);

/** Initialises an empty queue of at most @p capacity requests. */
void eg_wait_queue_init (struct eg_wait_queue *self,
                         struct eg_wait_slot *slots,
                         size_t capacity);

/**
 * Adds a request that has no room, or refuses it.
 * @param[out] victim the request that has left the queue for it, if the result
 *   is EG_SHED_REPLACES.
 */
enum eg_shed_verdict eg_wait_queue_offer (struct eg_wait_queue *self,
                                          const struct eg_shed_request *request,
                                          int64_t now_us,
                                          struct eg_shed_request *victim);

/**
 * Returns whether no waiting request goes before @p request, which has just
 * arrived and may then be sent without waiting. Those that lack room which
 * others have do not count.
 */
bool eg_wait_queue_goes_first (struct eg_wait_queue *self,
                               const struct eg_shed_request *request,
                               int64_t now_us);

/**
 * Returns how many waiting requests go before @p request, which is about to
 * arrive. Those that lack room which others have do not count.
 */
size_t eg_wait_queue_count_ahead (struct eg_wait_queue *self,
                                  const struct eg_shed_request *request,
                                  int64_t now_us);

/**
 * Removes the request to be sent next; false if there is none. The first one is
 * taken again at each later time, so that no other gets the room that returns
 * before it.
 */
bool eg_wait_queue_take (struct eg_wait_queue *self,
                         int64_t now_us,
                         struct eg_shed_request *taken);

/**
 * Returns a request as it was taken, for which there is still no room.
 * @param next_us it is not taken again before, unless it is the first.
 * @return false if others have filled the queue meanwhile.
 */
bool eg_wait_queue_put_back (struct eg_wait_queue *self,
                             const struct eg_shed_request *request,
                             int64_t now_us,
                             int64_t next_us);

/** Removes a request, such as a cancelled one; false if it does not wait. */
bool
eg_wait_queue_remove (struct eg_wait_queue *self, uint64_t id, int64_t now_us);

/**
 * Removes a request that has waited as long as it may, or one that would not be
 * served in time at the present rate and whose caller can still come back.
 * @return false if there is none.
 */
bool eg_wait_queue_take_expired (struct eg_wait_queue *self,
                                 int64_t now_us,
                                 struct eg_shed_request *expired);

/**
 * Takes note of a request that a server has accepted.
 * @param waited it was offered before; else it has found room on its arrival.
 */
void eg_wait_queue_served (struct eg_wait_queue *self,
                           const struct eg_shed_request *request,
                           bool waited,
                           int64_t now_us);

/**
 * Returns when the caller of a refused request is to come back: when what waits
 * now will have been served, at the earliest after eg_shed_request::return_us,
 * and so that half of its time is left.
 */
int64_t eg_wait_queue_retry_after_us (struct eg_wait_queue *self,
                                      const struct eg_shed_request *request,
                                      int64_t now_us);

/** Returns the name of @p verdict, as used in logs and metrics. */
const char *eg_shed_verdict_name (enum eg_shed_verdict verdict);

EG_END_DECLS

#endif
