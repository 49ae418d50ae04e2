/**
 * @file
 * The life of each request on one entry VM: admission, placement, attempts,
 * recovery in the middle of an answer, and the one final outcome.
 *
 * Events come in through functions; decisions come out of
 * eg_lifecycle_next_action(). Nothing here does I/O or reads a clock.
 */
#ifndef EG_POLICY_LIFECYCLE_H
#define EG_POLICY_LIFECYCLE_H

#include "base/decls.h"
#include "policy/admission.h"
#include "policy/limit.h"
#include "policy/outcome.h"
#include "policy/placement.h"
#include "policy/quarantine.h"
#include "policy/retry.h"
#include "policy/servers.h"

EG_BEGIN_DECLS

/** Settings of all decisions on one entry VM. */
struct eg_lifecycle_config
{
  struct eg_admission_config admission;
  struct eg_limit_rule default_limit;
  struct eg_retry_config retry;
  struct eg_quarantine_config quarantine;
  struct eg_placement_config placement;
  /**
   * Relative load that the most urgent class may add to a full server, whose
   * engine puts it first; classes between it and the last get a part.
   */
  double headroom;
  size_t requests_max;            /**< Requests held at once. */
  int64_t first_token_timeout_us; /**< Longest wait for the first token. */
  int64_t inter_token_timeout_us; /**< Longest wait between two tokens. */
  uint32_t prefixes_max; /**< Prefixes of prompts whose server is noted. */
  int64_t no_capacity_timeout_us; /**< Wait for a usable server at most. */
};

/** What a request asks for. */
struct eg_lifecycle_request
{
  uint64_t id; /**< Unique on this entry VM; not 0. */
  struct eg_str organisation;
  unsigned class_index;
  bool plain;           /**< Whether @c target names a plain service. */
  struct eg_str target; /**< Model, or name of a plain service. */
  uint64_t fingerprint;
  uint64_t prefix_hash;
  int64_t tokens_max; /**< Most that the answer may have; 0 for a service. */
  uint64_t cost;      /**< Expected work, in tokens; at least 1. */
  struct eg_outcome *outcome; /**< Told of attempts; outlives the request. */
  int64_t arrived_us;
  int64_t deadline_us; /**< The whole answer is due by then. */
  int64_t send_by_us;  /**< No attempt begins later; INT64_MAX for no bound. */
};

/** How an attempt failed. */
enum eg_attempt_cause
{
  EG_ATTEMPT_NOT_SENT,          /**< No connection could be made. */
  EG_ATTEMPT_REFUSED,           /**< The server said that nothing ran. */
  EG_ATTEMPT_CONNECTION_LOST,   /**< The connection broke off. */
  EG_ATTEMPT_STAGE_FAILED,      /**< The head told that a later stage failed. */
  EG_ATTEMPT_STAGE_UNREACHABLE, /**< The head could not reach a later stage. */
  EG_ATTEMPT_TIMED_OUT,         /**< Nothing came in time. */
  EG_ATTEMPT_INVALID_RESPONSE,  /**< The answer breaks the contract. */
};

/** A failed attempt. */
struct eg_attempt_failure
{
  enum eg_attempt_cause cause;
  struct eg_str server; /**< Address at fault; empty for the head. */
};

/** What is to be done. */
enum eg_action_kind
{
  EG_ACTION_START,      /**< Start an attempt on @c chain. */
  EG_ACTION_CANCEL,     /**< Stop an attempt whose result is not wanted. */
  EG_ACTION_FINISH,     /**< Tell the caller that the answer is whole. */
  EG_ACTION_REFUSE,     /**< Tell the caller that there is no whole answer. */
  EG_ACTION_QUARANTINE, /**< Tell peers of a quarantine. */
};

/** One decision. */
struct eg_action
{
  enum eg_action_kind kind;
  uint64_t request;
  uint32_t attempt;
  struct eg_chain chain;
  enum eg_refusal refusal;
  enum eg_ran ran;
  int64_t retry_after_us; /**< 0 where waiting does not help. */
  uint64_t fingerprint;
  int64_t until_us; /**< End of the quarantine. */
};

/** Numbers for metrics and for tests. */
struct eg_lifecycle_counts
{
  uint64_t arrived;
  uint64_t finished;
  uint64_t refused;
  uint64_t abandoned; /**< The caller left first. */
  uint64_t attempts;
  uint64_t retries;
  uint64_t resumed; /**< Attempts that went on in the middle of an answer. */
  uint64_t late_tokens; /**< Dropped, as their attempt was not the last. */
  uint64_t queued;      /**< Waiting now. */
  uint64_t running;     /**< With an attempt now. */
};

struct eg_lifecycle;

/**
 * Makes the state of one entry VM.
 * @param servers the table of backend servers; outlives this state.
 */
struct eg_lifecycle *eg_lifecycle_new (const struct eg_lifecycle_config *config,
                                       struct eg_servers *servers,
                                       uint64_t seed);

/** Frees the state. */
void eg_lifecycle_free (struct eg_lifecycle *self);

/** Takes new settings; requests that wait or run go on under them. */
void eg_lifecycle_configure (struct eg_lifecycle *self,
                             const struct eg_lifecycle_config *config);

/**
 * Says in which failure domain a plain service's servers go first.
 * @param failure_domain empty for this entry VM's own.
 */
void eg_lifecycle_set_preferred_domain (struct eg_lifecycle *self,
                                        struct eg_str service,
                                        struct eg_str failure_domain);

/** Takes in a request, which ends with exactly one FINISH or REFUSE. */
void eg_lifecycle_submit (struct eg_lifecycle *self,
                          const struct eg_lifecycle_request *info,
                          int64_t now_us);

/** Ends a request whose caller left; no FINISH or REFUSE follows. */
void
eg_lifecycle_cancel (struct eg_lifecycle *self, uint64_t id, int64_t now_us);

/**
 * Takes in a token that an attempt produced.
 * @param position counted from 1.
 * @return true if it is the next of the answer and goes to the caller.
 */
bool eg_lifecycle_token (struct eg_lifecycle *self,
                         uint64_t id,
                         uint32_t attempt,
                         int64_t position,
                         int64_t now_us);

/**
 * Reports that an attempt ended well.
 * @return true if its answer is the request's; false for an older attempt.
 */
bool eg_lifecycle_attempt_done (struct eg_lifecycle *self,
                                uint64_t id,
                                uint32_t attempt,
                                int64_t now_us);

/** Reports that an attempt failed. */
void eg_lifecycle_attempt_failed (struct eg_lifecycle *self,
                                  uint64_t id,
                                  uint32_t attempt,
                                  const struct eg_attempt_failure *failure,
                                  int64_t now_us);

/** Reports that a server was found silent: attempts on it fail. */
void eg_lifecycle_server_unresponsive (struct eg_lifecycle *self,
                                       uint32_t server,
                                       int64_t now_us);

/** Reports that the server table changed, so that waiting work may start. */
void eg_lifecycle_servers_changed (struct eg_lifecycle *self, int64_t now_us);

/** Lets time pass: deadlines, back-offs, silent attempts. */
void eg_lifecycle_tick (struct eg_lifecycle *self, int64_t now_us);

/** Forgets what idle organisations and gone servers leave behind. */
void eg_lifecycle_sweep (struct eg_lifecycle *self, int64_t now_us);

/** Refuses all new requests from now on; what is in flight goes on. */
void eg_lifecycle_stop (struct eg_lifecycle *self);

/** Takes the next decision; false if there is none. */
bool eg_lifecycle_next_action (struct eg_lifecycle *self,
                               struct eg_action *action);

/** Returns the counts. */
struct eg_lifecycle_counts
eg_lifecycle_counts (const struct eg_lifecycle *self);

/** Returns the limits of organisations, for rules to change. */
struct eg_limits *eg_lifecycle_limits (struct eg_lifecycle *self);

/**
 * Returns the limits of organisations within one class, for rules to change;
 * they go by the names that eg_lifecycle_class_limit_name() gives.
 */
struct eg_limits *eg_lifecycle_class_limits (struct eg_lifecycle *self);

/** Writes the name of an organisation's limit within a class. */
struct eg_str eg_lifecycle_class_limit_name (struct eg_str organisation,
                                             struct eg_str class_name,
                                             char *text,
                                             size_t capacity);

/** Returns the quarantine, for rules and peers to change. */
struct eg_quarantine *eg_lifecycle_quarantine (struct eg_lifecycle *self);

EG_END_DECLS

#endif
