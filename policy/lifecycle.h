/**
 * @file
 * Request lifecycle on one entry VM: admission, placement, attempts, recovery
 * in the middle of a response, and exactly one final outcome.
 *
 * Events are reported by function calls; the resulting actions are read with
 * eg_lifecycle_next_action(). This module does no I/O and reads no clock.
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

/** Policy settings of one entry VM. */
struct eg_lifecycle_config
{
  struct eg_admission_config admission;
  struct eg_limit_rule default_limit;
  struct eg_retry_config retry;
  struct eg_quarantine_config quarantine;
  struct eg_placement_config placement;
  /**
   * Load above capacity that the highest-priority class may put on a full
   * server, relative to its capacity, since the server's engine runs that class
   * first. Lower classes get a proportional part, and the lowest none.
   */
  double headroom;
  size_t requests_max;            /**< Most requests queued or running. */
  int64_t first_token_timeout_us; /**< Longest wait for the first token. */
  int64_t inter_token_timeout_us; /**< Longest wait between two tokens. */
  uint32_t prefixes_max; /**< Most prompt prefixes whose server is recorded. */
  int64_t no_capacity_timeout_us; /**< Longest wait for a usable server. */
};

/** A new request. */
struct eg_lifecycle_request
{
  uint64_t id; /**< Unique on this entry VM; not 0. */
  struct eg_str organisation;
  unsigned class_index;
  bool plain;                 /**< Whether @c target names a plain service. */
  struct eg_str target;       /**< Name of the model or plain service. */
  uint64_t fingerprint;       /**< From eg_quarantine_fingerprint(). */
  uint64_t prefix_hash;       /**< Hash of the prompt's prefix; 0 for none. */
  int64_t tokens_max;         /**< Output limit; 0 for a plain service. */
  uint64_t cost;              /**< Expected work in tokens; at least 1. */
  struct eg_outcome *outcome; /**< Updated here; must outlive the request. */
  int64_t arrived_us;
  int64_t deadline_us; /**< When the complete response is due. */
  int64_t send_by_us;  /**< No attempt begins later; INT64_MAX for no limit. */
};

/** How an attempt failed. */
enum eg_attempt_cause
{
  EG_ATTEMPT_NOT_SENT,        /**< No connection was established. */
  EG_ATTEMPT_REFUSED,         /**< The server reported that nothing ran. */
  EG_ATTEMPT_CONNECTION_LOST, /**< The connection was lost. */
  EG_ATTEMPT_STAGE_FAILED,    /**< The first server reported that a later stage
                                 failed. */
  EG_ATTEMPT_STAGE_UNREACHABLE, /**< The first server could not reach a later
                                   stage. */
  EG_ATTEMPT_TIMED_OUT,         /**< No response or token within the timeout. */
  EG_ATTEMPT_INVALID_RESPONSE,  /**< The response violates the protocol. */
};

/** A failed attempt. */
struct eg_attempt_failure
{
  enum eg_attempt_cause cause;
  /** Address of the server that failed; empty for the chain's first. */
  struct eg_str server;
};

/** What the caller must do. */
enum eg_action_kind
{
  EG_ACTION_START,  /**< Start an attempt on @c chain. */
  EG_ACTION_CANCEL, /**< Cancel an attempt whose result is not needed. */
  EG_ACTION_FINISH, /**< Tell the client that the response is complete. */
  EG_ACTION_REFUSE, /**< Tell the client that there is no complete response. */
  EG_ACTION_QUARANTINE, /**< Notify peers of a quarantine. */
};

/** One action. */
struct eg_action
{
  enum eg_action_kind kind;
  uint64_t request;
  uint32_t attempt;
  struct eg_chain chain;
  enum eg_refusal refusal;
  enum eg_ran ran;
  int64_t retry_after_us; /**< 0 if trying again does not help. */
  uint64_t fingerprint;
  int64_t until_us; /**< End of the quarantine. */
};

/** Counters for metrics and tests. */
struct eg_lifecycle_counts
{
  uint64_t arrived;
  uint64_t finished;
  uint64_t refused;
  uint64_t abandoned; /**< Cancelled by the client. */
  uint64_t attempts;
  uint64_t retries;
  uint64_t resumed;     /**< Attempts that continued a partial response. */
  uint64_t late_tokens; /**< Tokens dropped: old attempt, or out of order. */
  uint64_t queued;      /**< Queued or waiting for a retry now. */
  uint64_t running;     /**< With a running attempt now. */
};

/** The request state of one entry VM. */
struct eg_lifecycle;

/**
 * Creates the state of one entry VM.
 * @param servers the table of backend servers; must outlive this state.
 * @return NULL if out of memory.
 */
struct eg_lifecycle *eg_lifecycle_new (const struct eg_lifecycle_config *config,
                                       struct eg_servers *servers,
                                       uint64_t seed);

/** Frees the state. */
void eg_lifecycle_free (struct eg_lifecycle *self);

/** Applies new settings, to queued and running requests as well. */
void eg_lifecycle_configure (struct eg_lifecycle *self,
                             const struct eg_lifecycle_config *config);

/**
 * Sets the failure domain whose servers are preferred for a plain service.
 * @param failure_domain empty for this entry VM's own.
 */
void eg_lifecycle_set_preferred_domain (struct eg_lifecycle *self,
                                        struct eg_str service,
                                        struct eg_str failure_domain);

/** Adds a request, which ends with exactly one FINISH or REFUSE action. */
void eg_lifecycle_submit (struct eg_lifecycle *self,
                          const struct eg_lifecycle_request *info,
                          int64_t now_us);

/** Ends a request whose client disconnected; no FINISH or REFUSE follows. */
void
eg_lifecycle_cancel (struct eg_lifecycle *self, uint64_t id, int64_t now_us);

/**
 * Reports a token that an attempt produced.
 * @param position position of the token in the response, starting at 1.
 * @return true if it is the next token of the response and must be sent to the
 *         client.
 */
bool eg_lifecycle_token (struct eg_lifecycle *self,
                         uint64_t id,
                         uint32_t attempt,
                         int64_t position,
                         int64_t now_us);

/**
 * Reports that an attempt succeeded.
 * @return true if its response is the request's; false for an older attempt.
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

/** Reports that a server is unresponsive; all attempts on it fail. */
void eg_lifecycle_server_unresponsive (struct eg_lifecycle *self,
                                       uint32_t server,
                                       int64_t now_us);

/** Reports that the server table changed, so that queued requests may start. */
void eg_lifecycle_servers_changed (struct eg_lifecycle *self, int64_t now_us);

/** Processes deadlines, back-offs and timeouts; call it periodically. */
void eg_lifecycle_tick (struct eg_lifecycle *self, int64_t now_us);

/** Frees the state of idle organisations and removed servers. */
void eg_lifecycle_sweep (struct eg_lifecycle *self, int64_t now_us);

/** Refuses all new requests from now on; those in flight continue. */
void eg_lifecycle_stop (struct eg_lifecycle *self);

/** Removes the next action; false if there is none. */
bool eg_lifecycle_next_action (struct eg_lifecycle *self,
                               struct eg_action *action);

/** Returns the counters. */
struct eg_lifecycle_counts
eg_lifecycle_counts (const struct eg_lifecycle *self);

/** Returns the limits per organisation, for the rules to modify. */
struct eg_limits *eg_lifecycle_limits (struct eg_lifecycle *self);

/**
 * Returns the limits per organisation and class, for the rules to modify; keyed
 * by the names from eg_lifecycle_class_limit_name().
 */
struct eg_limits *eg_lifecycle_class_limits (struct eg_lifecycle *self);

/** Formats the name of an organisation's limit within a class. */
struct eg_str eg_lifecycle_class_limit_name (struct eg_str organisation,
                                             struct eg_str class_name,
                                             char *text,
                                             size_t capacity);

/** Returns the quarantine, for rules and peers to modify. */
struct eg_quarantine *eg_lifecycle_quarantine (struct eg_lifecycle *self);

EG_END_DECLS

#endif
