/**
 * @file
 * What is known of whether a request ran: the one place where `ran: no` is
 * decided, for idempotent and non-idempotent requests alike.
 */
#ifndef EG_POLICY_OUTCOME_H
#define EG_POLICY_OUTCOME_H

#include <stdbool.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** How a request may be repeated. */
enum eg_outcome_kind
{
  EG_OUTCOME_IDEMPOTENT,     /**< Running it again does no harm. */
  EG_OUTCOME_NON_IDEMPOTENT, /**< Without a key: each sending stands alone. */
  EG_OUTCOME_KEYED,          /**< All sendings with one key are one request. */
  EG_OUTCOME_TICKETED, /**< All sendings with one ticket are one request. */
  EG_OUTCOME_KIND_COUNT
};

/** What is known. */
enum eg_outcome_state
{
  EG_OUTCOME_NEW,        /**< An earlier sending may have run it. */
  EG_OUTCOME_READY,      /**< None of it ran, and this sending may run it. */
  EG_OUTCOME_DISPATCHED, /**< An attempt is with the thread that sends. */
  EG_OUTCOME_SENT,       /**< Bytes may have reached a backend server. */
  EG_OUTCOME_UNCERTAIN,  /**< An ended attempt may have run. */
  EG_OUTCOME_RETRYING,   /**< A further attempt, after one in doubt. */
  EG_OUTCOME_RAN,        /**< Some of it ran. */
  EG_OUTCOME_NOT_RUN,    /**< None of it ran, and none will. */
  EG_OUTCOME_CLOSED,     /**< Another sending may run it; this one will not. */
  EG_OUTCOME_STATE_COUNT
};

/** What happens to a request. */
enum eg_outcome_event
{
  EG_OUTCOME_EVENT_CLAIMED,           /**< The claim or the ticket is ours. */
  EG_OUTCOME_EVENT_CLAIMED_ELSEWHERE, /**< Another sending holds the claim. */
  EG_OUTCOME_EVENT_RAN_ELSEWHERE,     /**< Another sending ran it. */
  EG_OUTCOME_EVENT_BODY_MISMATCH,     /**< The key belongs to another body. */
  EG_OUTCOME_EVENT_DISPATCHED, /**< An attempt goes to the thread that sends. */
  EG_OUTCOME_EVENT_FIRST_BYTE, /**< The first byte is about to leave. */
  EG_OUTCOME_EVENT_NOT_SENT,   /**< The attempt ended before its first byte. */
  EG_OUTCOME_EVENT_NOT_RUN,    /**< The server promised that nothing ran. */
  EG_OUTCOME_EVENT_INCONCLUSIVE, /**< The attempt ended, and may have run. */
  EG_OUTCOME_EVENT_RAN,          /**< Some or all of an answer arrived. */
  EG_OUTCOME_EVENT_CLOSE, /**< The caller was answered, or the claim let go. */
  EG_OUTCOME_EVENT_COUNT
};

/** What is known of one request; memory of the caller. */
struct eg_outcome
{
  enum eg_outcome_kind kind;
  enum eg_outcome_state state;
};

/** Starts for a request that was just accepted. */
void eg_outcome_init (struct eg_outcome *self, enum eg_outcome_kind kind);

/**
 * Takes in one event.
 * An event that does not fit the state leaves at most more doubt.
 */
void eg_outcome_update (struct eg_outcome *self, enum eg_outcome_event event);

/** Returns what the caller may be told now. */
enum eg_ran eg_outcome_ran (const struct eg_outcome *self);

/**
 * Tells whether an attempt may be handed out now.
 * False for ever once a byte of a non-idempotent request may have left,
 * unless the server promised that nothing ran.
 */
bool eg_outcome_may_send (const struct eg_outcome *self);

EG_END_DECLS

#endif
