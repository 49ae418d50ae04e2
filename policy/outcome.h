/**
 * @file
 * State machine that tracks whether a request may have run. It is the only
 * place that decides on `ran: no`, for idempotent and non-idempotent requests
 * alike.
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
  EG_OUTCOME_IDEMPOTENT,     /**< It is safe to run it again. */
  EG_OUTCOME_NON_IDEMPOTENT, /**< Without a key: each submission is a separate
                                request. */
  EG_OUTCOME_KEYED,    /**< All submissions with one key are one request. */
  EG_OUTCOME_TICKETED, /**< All submissions with one ticket are one request. */
  EG_OUTCOME_KIND_COUNT
};

/** State of a request; a submission is one arrival of it at an entry VM. */
enum eg_outcome_state
{
  /** Initial state with a key or ticket: an earlier submission may have run
      it. */
  EG_OUTCOME_NEW,
  EG_OUTCOME_READY, /**< No part of it ran, and this submission may run it. */
  EG_OUTCOME_DISPATCHED, /**< An attempt was passed to the sender. */
  EG_OUTCOME_SENT,       /**< Bytes of it may have reached a backend server. */
  EG_OUTCOME_UNCERTAIN,  /**< An attempt that has ended may have run. */
  EG_OUTCOME_RETRYING,   /**< Another attempt follows one that may have run. */
  EG_OUTCOME_RAN,        /**< Some or all of it ran. */
  EG_OUTCOME_NOT_RUN,    /**< No part of it ran or will run. */
  EG_OUTCOME_CLOSED, /**< This submission will not run it, but another may. */
  EG_OUTCOME_STATE_COUNT
};

/** Events that change the state; a claim includes a ticket here. */
enum eg_outcome_event
{
  EG_OUTCOME_EVENT_CLAIMED,           /**< This submission holds the claim. */
  EG_OUTCOME_EVENT_CLAIMED_ELSEWHERE, /**< Another one holds it. */
  EG_OUTCOME_EVENT_RAN_ELSEWHERE,     /**< Another one has run it. */
  EG_OUTCOME_EVENT_BODY_MISMATCH, /**< The key was used with another body. */
  EG_OUTCOME_EVENT_DISPATCHED,    /**< An attempt is passed to the sender. */
  EG_OUTCOME_EVENT_FIRST_BYTE,    /**< The first byte is about to be sent. */
  EG_OUTCOME_EVENT_NOT_SENT, /**< The attempt ended before its first byte was
                                sent. */
  EG_OUTCOME_EVENT_NOT_RUN,  /**< The server guaranteed that nothing ran. */
  EG_OUTCOME_EVENT_INCONCLUSIVE, /**< The attempt ended and may have run. */
  EG_OUTCOME_EVENT_RAN,          /**< Some or all of a response arrived. */
  EG_OUTCOME_EVENT_CLOSE, /**< The client got a response, or the claim was
                             released. */
  EG_OUTCOME_EVENT_COUNT
};

/** Outcome of one request; allocated by the caller. */
struct eg_outcome
{
  enum eg_outcome_kind kind;
  enum eg_outcome_state state;
};

/** Initialises the outcome of a request that was just accepted. */
void eg_outcome_init (struct eg_outcome *self, enum eg_outcome_kind kind);

/**
 * Applies one event.
 * An event that does not fit the state can only make the outcome less certain.
 */
void eg_outcome_update (struct eg_outcome *self, enum eg_outcome_event event);

/** Returns whether the request ran, as the client may be told now. */
enum eg_ran eg_outcome_ran (const struct eg_outcome *self);

/**
 * Returns whether an attempt may be sent now.
 * For a non-idempotent request this stays false once a byte of it may have been
 * sent, unless the server guaranteed that nothing ran.
 */
bool eg_outcome_may_send (const struct eg_outcome *self);

EG_END_DECLS

#endif
