/**
 * @file
 * Internal state of the request lifecycle; private to lifecycle*.c.
 */
#ifndef EG_POLICY_LIFECYCLE_STATE_H
#define EG_POLICY_LIFECYCLE_STATE_H

#include "base/clock.h"
#include "base/decls.h"
#include "base/list.h"
#include "base/map.h"
#include "policy/action_queue.h"
#include "policy/lifecycle.h"
#include "policy/target.h"

EG_BEGIN_DECLS

#define EG_NO_CAPACITY_RETRY_AFTER_US EG_US_PER_S
/** Size in bytes of a buffer for `ORGANISATION/CLASS`. */
#define EG_CLASS_LIMIT_BYTES (2 * EG_NAME_BYTES)

/** Which queue or list holds a request. */
enum eg_request_phase
{
  EG_REQUEST_QUEUED,         /**< In the target's admission queue. */
  EG_REQUEST_AWAITING_RETRY, /**< In the target's retry queue. */
  EG_REQUEST_RUNNING,        /**< In the list of running attempts. */
};

/** One request. */
struct eg_request_state
{
  struct eg_lifecycle_request info;
  char organisation[EG_NAME_BYTES];
  char class_limit[EG_CLASS_LIMIT_BYTES]; /**< Key of its class limit. */
  struct eg_target *target;
  double load_max; /**< Load from which servers count as full for its class. */
  enum eg_request_phase phase;
  uint32_t attempt;
  int64_t tokens_sent; /**< Tokens sent to the client. */
  struct eg_chain chain;
  int64_t progress_us; /**< When the attempt began or its last token came. */
  bool attempt_progressed; /**< Whether the attempt produced a token. */
  int64_t retry_at_us;
  unsigned crashes; /**< Servers that crashed during an attempt of it. */
  uint32_t excluded[EG_EXCLUDED_MAX];
  size_t excluded_count;
  struct eg_list link; /**< In the list for its phase. */
};

/** All requests of one entry VM. */
struct eg_lifecycle
{
  struct eg_lifecycle_config config;
  struct eg_servers *servers;
  struct eg_random random;
  struct eg_limits *limits;
  struct eg_limits *class_limits;
  struct eg_quarantine *quarantine;
  struct eg_prefix_table *prefixes;
  struct eg_target_table targets;
  struct eg_map requests;
  struct eg_list running;
  struct eg_action_queue actions;
  struct eg_lifecycle_counts counts;
  bool stopping;
};

/** Returns the request that contains @p link. */
static inline struct eg_request_state *
eg_request_from_link (struct eg_list *link)
{
  return EG_CONTAINER_OF (link, struct eg_request_state, link);
}

/** Removes the request from the queue or list for its phase. */
void eg_request_unlink (struct eg_lifecycle *self,
                        struct eg_request_state *request);

/** Emits the action to refuse a request. */
void eg_request_emit_refusal (struct eg_lifecycle *self,
                              uint64_t id,
                              enum eg_refusal refusal,
                              enum eg_ran ran,
                              int64_t retry_after_us);

/** Refuses and frees a request that is in no queue or list. */
void eg_request_refuse (struct eg_lifecycle *self,
                        struct eg_request_state *request,
                        enum eg_refusal refusal,
                        int64_t retry_after_us);

/** Frees a request that is in no queue or list, and releases its limits. */
void eg_request_free (struct eg_lifecycle *self,
                      struct eg_request_state *request);

/** Emits the action to cancel the running attempt. */
void eg_request_emit_cancel (struct eg_lifecycle *self,
                             const struct eg_request_state *request);

/** Ends the running attempt, and records its end on each of its servers. */
void eg_request_end_attempt (struct eg_lifecycle *self,
                             struct eg_request_state *request,
                             uint32_t failed_server,
                             int64_t now_us);

/** Excludes a server from further attempts. */
void eg_request_exclude_server (struct eg_request_state *request,
                                uint32_t server);

/** Chooses the servers for the next attempt. */
enum eg_placement_result
eg_request_choose_servers (struct eg_lifecycle *self,
                           struct eg_request_state *request,
                           int64_t now_us,
                           struct eg_chain *chain);

/** Starts requests that wait for a target, as far as servers have capacity. */
void eg_target_dispatch (struct eg_lifecycle *self,
                         struct eg_target *target,
                         int64_t now_us);

/** Ends a failed attempt, and schedules a retry or refuses the request. */
void eg_request_fail_attempt (struct eg_lifecycle *self,
                              struct eg_request_state *request,
                              enum eg_attempt_cause cause,
                              uint32_t server,
                              int64_t now_us);

EG_END_DECLS

#endif
