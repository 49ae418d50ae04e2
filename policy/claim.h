/**
 * @file
 * State machine for one submission of a request with an idempotency key. It
 * acquires the claim in the platform's store, lets the request run at most
 * once, and stores the answer for repeated submissions.
 *
 * The module does no I/O: it takes events and returns actions, which the owner
 * must carry out in the given order. At most one store operation is
 * outstanding.
 */
#ifndef EG_POLICY_CLAIM_H
#define EG_POLICY_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "base/random.h"
#include "policy/claim_record.h"
#include "policy/outcome.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Maximum number of actions returned for one event. */
#define EG_CLAIM_ACTIONS_MAX 2
/** Returned by eg_claim_wake_us() when no timer is needed. */
#define EG_CLAIM_NO_WAKE INT64_MAX

/** Settings of claims; must be the same on all entry VMs. */
struct eg_claim_config
{
  int64_t dispatch_max_us;   /**< Latest dispatch, from the start. */
  int64_t wait_max_us;       /**< Longest wait for another submission. */
  int64_t backoff_min_us;    /**< Delay before the first retry. */
  int64_t backoff_max_us;    /**< Longest delay before a retry. */
  int64_t background_max_us; /**< Time to finish or release after the answer. */
  int64_t retry_after_us;  /**< Retry-After of refusals that may be retried. */
  size_t answer_bytes_max; /**< Longer answers are not stored. */
};

/** Types of input events. */
enum eg_claim_event_type
{
  EG_CLAIM_EVENT_START,
  EG_CLAIM_EVENT_WRITTEN,  /**< The write succeeded; carries the version. */
  EG_CLAIM_EVENT_CONFLICT, /**< The write's condition failed (412). */
  EG_CLAIM_EVENT_FOUND,    /**< The read returned a record and its version. */
  EG_CLAIM_EVENT_MISSING,  /**< The read found no object (404). */
  EG_CLAIM_EVENT_NO_REPLY, /**< No reply, or an inconclusive one. */
  EG_CLAIM_EVENT_TIME,     /**< The time of eg_claim_wake_us() was reached. */
  EG_CLAIM_EVENT_ANSWERED, /**< The complete answer was received. */
  EG_CLAIM_EVENT_IN_DOUBT, /**< The attempt failed, but may have run. */
  EG_CLAIM_EVENT_REFUSE,   /**< The owner abandons the unsent request. */
  EG_CLAIM_EVENT_COUNT
};

/** One input event. */
struct eg_claim_event
{
  enum eg_claim_event_type type;
  uint32_t operation; /**< Store events: that of the action. */
  uint64_t version;   /**< WRITTEN and FOUND. */
  const struct eg_claim_record *record; /**< FOUND. */
  struct eg_claim_answer answer;        /**< ANSWERED; copied. */
  enum eg_refusal refusal;              /**< REFUSE. */
};

/** Types of actions for the owner of the claim. */
enum eg_claim_action_type
{
  EG_CLAIM_ACTION_GET,       /**< Read the claim object. */
  EG_CLAIM_ACTION_PUT_NEW,   /**< Write it with `If-None-Match: *`. */
  EG_CLAIM_ACTION_PUT_MATCH, /**< Write it with `If-Match` and version. */
  EG_CLAIM_ACTION_DISPATCH,  /**< The request may be placed and sent. */
  EG_CLAIM_ACTION_ANSWER,    /**< Return the stored answer to the client. */
  EG_CLAIM_ACTION_REFUSE,    /**< Refuse, before any later action is begun. */
};

/** One action. */
struct eg_claim_action
{
  enum eg_claim_action_type type;
  uint32_t operation; /**< GET and PUT; the reply event carries it. */
  uint64_t version;   /**< PUT_MATCH. */
  const struct eg_claim_record *record; /**< PUT; valid until the next event. */
  struct eg_claim_answer answer; /**< ANSWER; valid as long as the event's. */
  enum eg_refusal refusal;
  enum eg_ran ran;
  int64_t retry_after_us; /**< REFUSE; 0 if a retry cannot help. */
};

/** The actions returned for one event. */
struct eg_claim_actions
{
  size_t count;
  struct eg_claim_action items[EG_CLAIM_ACTIONS_MAX];
};

/** Phases of a claim. */
enum eg_claim_phase
{
  EG_CLAIM_PHASE_ACQUIRING, /**< Writing or waiting for the claim. */
  EG_CLAIM_PHASE_HELD,      /**< The request may run. */
  EG_CLAIM_PHASE_FINISHING, /**< Answered; storing the outcome. */
  EG_CLAIM_PHASE_RELEASING, /**< Refused; releasing the claim. */
  EG_CLAIM_PHASE_CLOSED,    /**< No further actions. */
};

/** One submission; allocated by the owner, fields are private. */
struct eg_claim
{
  const struct eg_claim_config *config;
  struct eg_outcome *outcome;
  struct eg_claim_record record; /**< Content of the next write. */
  struct eg_buffer answer;       /**< Stored content type and body. */
  enum eg_claim_phase phase;
  enum eg_claim_phase
      operation_phase; /**< Phase in which the operation began. */
  bool writable;       /**< Whether @c version is known to be current. */
  bool held_by_other;  /**< Whether the last read showed another holder. */
  uint32_t operation;  /**< The outstanding one; 0 for none. */
  uint32_t operations; /**< Number begun so far. */
  uint64_t version;    /**< For the next write; 0 if there is no object. */
  uint64_t replaced_version; /**< Version that our claim write replaces. */
  int64_t dispatch_by_us;    /**< No first byte is sent after it. */
  int64_t stale_us;          /**< Refusals after it do not say "not run". */
  int64_t answer_by_us;      /**< The client is refused by then. */
  int64_t give_up_us;        /**< End of the background writes. */
  int64_t retry_us;          /**< Next read or write after a failure. */
  int64_t backoff_us;        /**< Delay before the next retry. */
};

/** Parameters of one submission. */
struct eg_claim_start
{
  struct eg_claim_nonce nonce;
  uint64_t fingerprint;
  int64_t now_us;
  int64_t claimed_wall_us; /**< Wall clock, for operators only. */
  int64_t deadline_us;     /**< The client is refused by then at the latest. */
};

/**
 * Initialises a claim; EG_CLAIM_EVENT_START starts it.
 * @param config must outlive the claim.
 * @param outcome outcome of the same request, of kind EG_OUTCOME_KEYED; this
 *        module updates it with claim events, the owner with attempts.
 */
void eg_claim_init (struct eg_claim *self,
                    const struct eg_claim_config *config,
                    struct eg_outcome *outcome,
                    const struct eg_claim_start *start);

/** Frees the memory owned by the claim. */
void eg_claim_finish (struct eg_claim *self);

/** Processes one event; @p actions receives the resulting actions in order. */
void eg_claim_update (struct eg_claim *self,
                      const struct eg_claim_event *event,
                      int64_t now_us,
                      struct eg_random *random,
                      struct eg_claim_actions *actions);

/** Returns when EG_CLAIM_EVENT_TIME is due, or EG_CLAIM_NO_WAKE. */
int64_t eg_claim_wake_us (const struct eg_claim *self);

/**
 * Returns whether an attempt may be started now. Call it before each attempt;
 * the sending thread compares the current time with eg_claim_send_by_us() once
 * more right before the first byte.
 */
bool eg_claim_may_send (const struct eg_claim *self, int64_t now_us);

/** Returns the time from which on no first byte may be sent. */
int64_t eg_claim_send_by_us (const struct eg_claim *self);

/** Returns whether nothing is left to do, so that the claim can be freed. */
bool eg_claim_is_closed (const struct eg_claim *self);

EG_END_DECLS

#endif
