/**
 * @file
 * The state of the request lifecycle, shared by the files that make it up;
 * for them alone.
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
/** Bytes of organisation, slash and class. */
#define EG_CLASS_LIMIT_BYTES (2 * EG_NAME_BYTES)

/** Where a request is kept. */
enum eg_request_phase
{
  EG_REQUEST_QUEUED,  /**< In the target's admission queue. */
  EG_REQUEST_WAITING, /**< In the target's list of attempts to be repeated. */
  EG_REQUEST_RUNNING, /**< In the list of running attempts. */
};

/** One request. */
struct eg_request_state
{
  struct eg_lifecycle_request info;
  char organisation[EG_NAME_BYTES];
  char class_limit[EG_CLASS_LIMIT_BYTES];
  struct eg_target *target;
  double load_max; /**< Relative load that counts as full for its class. */
  enum eg_request_phase phase;
  uint32_t attempt;
  int64_t committed; /**< Tokens handed to the caller. */
  struct eg_chain chain;
  int64_t progress_us; /**< When the attempt began or last gave a token. */
  bool attempt_progressed;
  int64_t retry_at_us;
  unsigned deaths; /**< Servers that died with an attempt of it in flight. */
  uint32_t excluded[EG_EXCLUDED_MAX];
  size_t excluded_count;
  struct eg_list link; /**< In the list of its phase. */
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

/** Returns the request that a link belongs to. */
static inline struct eg_request_state *
eg_request_of (struct eg_list *link)
{
  return EG_CONTAINER_OF (link, struct eg_request_state, link);
}

/** Takes the request out of what its phase keeps it in. */
void eg_request_leave_phase (struct eg_lifecycle *self,
                             struct eg_request_state *request);

/** Gives the decision to refuse. */
void eg_request_push_refusal (struct eg_lifecycle *self,
                              uint64_t id,
                              enum eg_refusal refusal,
                              enum eg_ran ran,
                              int64_t retry_after_us);

/** Refuses a request that has left its phase, and frees it. */
void eg_request_refuse (struct eg_lifecycle *self,
                        struct eg_request_state *request,
                        enum eg_refusal refusal,
                        int64_t retry_after_us);

/** Frees a request that has left its phase. */
void eg_request_forget (struct eg_lifecycle *self,
                        struct eg_request_state *request);

/** Gives the decision to cancel the running attempt. */
void eg_request_push_cancel (struct eg_lifecycle *self,
                             const struct eg_request_state *request);

/** Counts the end of an attempt on each of its servers. */
void eg_request_end_attempt (struct eg_lifecycle *self,
                             struct eg_request_state *request,
                             uint32_t failed_server,
                             int64_t now_us);

/** Keeps further attempts off a server. */
void eg_request_exclude (struct eg_request_state *request, uint32_t server);

/** Chooses where the next attempt would run. */
enum eg_placement_result eg_request_choose (struct eg_lifecycle *self,
                                            struct eg_request_state *request,
                                            int64_t now_us,
                                            struct eg_chain *chain);

/** Starts what waits for a target, as far as there is room. */
void eg_target_dispatch (struct eg_lifecycle *self,
                         struct eg_target *target,
                         int64_t now_us);

/** Ends a failed attempt, and retries or refuses its request. */
void eg_request_fail_attempt (struct eg_lifecycle *self,
                              struct eg_request_state *request,
                              enum eg_attempt_cause cause,
                              uint32_t server,
                              int64_t now_us);

EG_END_DECLS

#endif
