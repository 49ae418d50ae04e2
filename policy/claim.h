/**
 * @file
 * One sending of a request with an idempotency key: takes the claim in the
 * platform's store, lets the request run at most once, and keeps its answer.
 *
 * Events go in, actions come out, in the order in which they must be carried
 * out. At most one store operation is outstanding.
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

/** Most actions that one event brings. */
#define EG_CLAIM_ACTIONS_MAX 2
/** No time: nothing to wake for. */
#define EG_CLAIM_NO_WAKE INT64_MAX

/** Settings of claims; the same on all entry VMs. */
struct eg_claim_config
{
  int64_t dispatch_max_us;   /**< From the start; no dispatch after it. */
  int64_t wait_max_us;       /**< To wait for another sending to finish. */
  int64_t backoff_min_us;    /**< Before the first further read. */
  int64_t backoff_max_us;    /**< Before any further read. */
  int64_t background_max_us; /**< To finish or release after the answer. */
  int64_t retry_after_us;    /**< Told to callers where waiting helps. */
  size_t answer_bytes_max;   /**< A longer answer is not kept. */
};

/** What happens to a claim. */
enum eg_claim_event_type
{
  EG_CLAIM_EVENT_START,
  EG_CLAIM_EVENT_WRITTEN,  /**< The store took the write; gives a version. */
  EG_CLAIM_EVENT_CONFLICT, /**< The store refused the condition (412). */
  EG_CLAIM_EVENT_FOUND,    /**< The read gave a record and its version. */
  EG_CLAIM_EVENT_MISSING,  /**< The read found no object (404). */
  EG_CLAIM_EVENT_NO_REPLY, /**< No reply, or none that says what happened. */
  EG_CLAIM_EVENT_TIME,     /**< eg_claim_wake_us() has come. */
  EG_CLAIM_EVENT_ANSWERED, /**< The whole answer is here. */
  EG_CLAIM_EVENT_IN_DOUBT, /**< The attempt ended, and may have run. */
  EG_CLAIM_EVENT_REFUSE,   /**< The request is given up; nothing was sent. */
  EG_CLAIM_EVENT_COUNT
};

/** One event. */
struct eg_claim_event
{
  enum eg_claim_event_type type;
  uint32_t operation; /**< Of the action that a store event replies to. */
  uint64_t version;   /**< Of WRITTEN and FOUND. */
  const struct eg_claim_record *record; /**< Of FOUND. */
  struct eg_claim_answer answer;        /**< Of ANSWERED; copied. */
  enum eg_refusal refusal;              /**< Of REFUSE. */
};

/** What the caller of this module must do. */
enum eg_claim_action_type
{
  EG_CLAIM_ACTION_GET,       /**< Read the object. */
  EG_CLAIM_ACTION_PUT_NEW,   /**< Write it with `If-None-Match: *`. */
  EG_CLAIM_ACTION_PUT_MATCH, /**< Write it with `If-Match` and version. */
  EG_CLAIM_ACTION_DISPATCH,  /**< The request may be placed and sent. */
  EG_CLAIM_ACTION_ANSWER,    /**< Give the caller the stored answer. */
  EG_CLAIM_ACTION_REFUSE,    /**< Refuse; before any action after it. */
};

/** One action. */
struct eg_claim_action
{
  enum eg_claim_action_type type;
  uint32_t operation; /**< Of GET and PUT; their reply carries it. */
  uint64_t version;   /**< Of PUT_MATCH. */
  const struct eg_claim_record *record; /**< Of PUT; until the next event. */
  struct eg_claim_answer answer; /**< Of ANSWER; as long as the event's. */
  enum eg_refusal refusal;
  enum eg_ran ran;
  int64_t retry_after_us; /**< Of REFUSE; 0 where waiting does not help. */
};

/** The actions that one event brings. */
struct eg_claim_actions
{
  size_t count;
  struct eg_claim_action items[EG_CLAIM_ACTIONS_MAX];
};

/** What a claim is about to do. */
enum eg_claim_phase
{
  EG_CLAIM_PHASE_ACQUIRING,
  EG_CLAIM_PHASE_HELD,
  EG_CLAIM_PHASE_FINISHING, /**< The caller has its answer. */
  EG_CLAIM_PHASE_RELEASING, /**< The caller has its refusal. */
  EG_CLAIM_PHASE_CLOSED,    /**< Nothing more will come. */
};

/** One sending; memory of the caller, fields of this module. */
struct eg_claim
{
  const struct eg_claim_config *config;
  struct eg_outcome *outcome;
  struct eg_claim_record record; /**< What the next write says. */
  struct eg_buffer answer;       /**< Content type and body to be kept. */
  enum eg_claim_phase phase;
  enum eg_claim_phase operation_phase; /**< When the operation was begun. */
  bool writable;       /**< Whether the next write's condition is known. */
  bool foreign;        /**< Whether another sending was last seen to hold it. */
  uint32_t operation;  /**< Outstanding; 0 for none. */
  uint32_t operations; /**< Begun so far. */
  uint64_t version;    /**< For the next write; 0 where there is no object. */
  uint64_t taken_over; /**< Released version that a claim of ours names. */
  int64_t dispatch_by_us;
  int64_t stale_us;
  int64_t answer_by_us;
  int64_t give_up_us;
  int64_t retry_us; /**< When to read again; no operation is outstanding. */
  int64_t backoff_us;
};

/** What one sending is made from. */
struct eg_claim_start
{
  struct eg_claim_nonce nonce;
  uint64_t fingerprint;
  int64_t now_us;
  int64_t claimed_wall_us;
  int64_t deadline_us; /**< The caller is refused by then at the latest. */
};

/**
 * Prepares a claim; EG_CLAIM_EVENT_START sets it going.
 * @param config must outlive the claim.
 * @param outcome of the same request, of kind EG_OUTCOME_KEYED; this module
 *        tells it of claims, its owner tells it of attempts.
 */
void eg_claim_init (struct eg_claim *self,
                    const struct eg_claim_config *config,
                    struct eg_outcome *outcome,
                    const struct eg_claim_start *start);

/** Frees what the claim holds. */
void eg_claim_finish (struct eg_claim *self);

/** Takes in one event; @p actions gets what must be done, in order. */
void eg_claim_update (struct eg_claim *self,
                      const struct eg_claim_event *event,
                      int64_t now_us,
                      struct eg_random *random,
                      struct eg_claim_actions *actions);

/** Returns when EG_CLAIM_EVENT_TIME is due, or EG_CLAIM_NO_WAKE. */
int64_t eg_claim_wake_us (const struct eg_claim *self);

/**
 * Tells whether an attempt may be handed out now; to be asked before each,
 * and by the sending thread again right before the first byte, with the time
 * of then and eg_claim_send_by_us().
 */
bool eg_claim_may_send (const struct eg_claim *self, int64_t now_us);

/** Returns the time after which no first byte may leave. */
int64_t eg_claim_send_by_us (const struct eg_claim *self);

/** Tells whether the claim can be finished: nothing is left to do. */
bool eg_claim_is_closed (const struct eg_claim *self);

EG_END_DECLS

#endif
