/**
 * @file
 * The memory that inbound connections hold, within one budget, and which of
 * them to close first when the budget or the connections are exhausted.
 *
 * Recording what a connection holds takes constant time. Only a search for a
 * connection to close looks at all of them.
 */
#ifndef EG_POLICY_CLIENT_MEMORY_H
#define EG_POLICY_CLIENT_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/list.h"
#include "policy/client_pace.h"

EG_BEGIN_DECLS

/** A request that is this far behind the minimum rate is slow. Pauses of a
 *  sender on an ordinary link, such as the retransmission of a lost segment,
 *  are shorter. */
#define EG_CLIENT_SLOW_US INT64_C (500000)
/** A client that is this far behind in reading does not read its response. */
#define EG_CLIENT_UNREAD_US INT64_C (1000000)
/** Closing a connection that holds less frees no memory worth mentioning. */
#define EG_CLIENT_HELD_MIN 8192

/** What a connection waits for. */
enum eg_client_stage
{
  EG_CLIENT_RECEIVING, /**< For the rest of a request. */
  EG_CLIENT_READING,   /**< For its client to read a response. */
  EG_CLIENT_IDLE,      /**< For a request. */
  EG_CLIENT_WAITING,   /**< The request is complete, but not sent yet. */
  EG_CLIENT_SENT,      /**< The request has been sent to a server. */
};

/** One connection; embedded in it. */
struct eg_client_holder
{
  struct eg_list all;
  size_t held; /**< Bytes of memory. */
  /** Bytes of the request that are not received yet, as far as it is known. */
  size_t missing;
  enum eg_client_stage stage;
  /** Whether a call is in progress, so that the connection cannot be closed in
   *  the middle of another connection's event. */
  bool in_call;
  unsigned group;   /**< Port that it came in by. */
  uint32_t address; /**< Of the client. */
  /** Of the request or the response; of an idle one: when it became idle. */
  struct eg_client_pace pace;
};

/** All connections; allocated by the caller. */
struct eg_client_memory
{
  struct eg_list all;
  size_t budget; /**< In bytes. */
  /** Limit for a request that is the only large one, at least @c budget. */
  size_t alone_max;
  size_t held;
  size_t held_max; /**< Highest value of @c held so far. */
};

/** Initialises the memory without connections. */
void eg_client_memory_init (struct eg_client_memory *self);

/** Sets the limits; those in force may be exceeded until connections close. */
void eg_client_memory_set_budget (struct eg_client_memory *self,
                                  size_t budget,
                                  size_t alone_max);

/**
 * Adds a connection that holds nothing.
 * @param holder its group, address, stage and pace must be set.
 */
void eg_client_memory_add (struct eg_client_memory *self,
                           struct eg_client_holder *holder);

/** Removes a connection with all that it holds. */
void eg_client_memory_remove (struct eg_client_memory *self,
                              struct eg_client_holder *holder);

/** Records what a connection holds from now on. */
void eg_client_memory_hold (struct eg_client_memory *self,
                            struct eg_client_holder *holder,
                            size_t bytes);

/**
 * Decides whether a connection whose request is incomplete may hold more.
 *
 * If not, the connection to close first is returned: the slowest of those whose
 * request is incomplete, then one whose client does not read its response, then
 * the one whose request needs the most memory in all, the asking one included.
 * Connections in a call are left to eg_client_memory_find_excess().
 * @param extra number of additional bytes.
 * @param victim set if the result is false; @p holder itself: its request is to
 *   be rejected. Close or reject it before asking again.
 */
bool eg_client_memory_admit (const struct eg_client_memory *self,
                             struct eg_client_holder *holder,
                             size_t extra,
                             int64_t now_us,
                             struct eg_client_holder **victim);

/**
 * Finds the connection to close first while the budget is exceeded by what is
 * not asked for, such as responses; not to be called during another
 * connection's event. A connection whose request has been sent is the last.
 * @return NULL if the budget is kept or no connection holds much.
 */
struct eg_client_holder *
eg_client_memory_find_excess (const struct eg_client_memory *self,
                              int64_t now_us);

/**
 * Finds the connection of a group to close first so that another one can be
 * accepted. If one of several addresses has more than half of the connections,
 * it is one of that address. A connection whose request is complete is returned
 * only if its client does not read the response.
 * @return NULL if there is none.
 */
struct eg_client_holder *
eg_client_memory_find_slot (const struct eg_client_memory *self,
                            unsigned group,
                            int64_t now_us);

/**
 * Finds the connection of a group that was added first. For a port on which
 * each client sends a short request at once: whatever it sends after that, it
 * has had its time.
 * @return NULL if there is none.
 */
struct eg_client_holder *
eg_client_memory_find_oldest (const struct eg_client_memory *self,
                              unsigned group);

EG_END_DECLS

#endif
