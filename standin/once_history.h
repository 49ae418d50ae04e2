/**
 * @file
 * History of an at-most-once check: every attempt, its outcome and the recorded
 * executions, and a checker that compares them.
 */
#ifndef EG_STANDIN_ONCE_HISTORY_H
#define EG_STANDIN_ONCE_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** How the system recognises attempts of the same request. */
enum eg_once_kind
{
  EG_ONCE_KEY,    /**< By an idempotency key. */
  EG_ONCE_TICKET, /**< By a ticket that an entry VM issued. */
  EG_ONCE_PLAIN,  /**< It can't; each request has a single attempt. */
  EG_ONCE_KIND_COUNT
};

/** Whether a response states that the request was executed (field `ran`). */
enum eg_once_ran
{
  EG_ONCE_RAN_UNSTATED, /**< A 200, or no response at all. */
  EG_ONCE_RAN_NO,
  EG_ONCE_RAN_UNKNOWN,
  EG_ONCE_RAN_YES,
  EG_ONCE_RAN_COUNT
};

/** Capacity for a problem type, including the terminating zero byte. */
#define EG_ONCE_TYPE_BYTES 24

/** Outcome of an attempt. */
struct eg_once_outcome
{
  int status;           /**< HTTP status; 0 without a complete response. */
  enum eg_once_ran ran; /**< As stated by an error response. */
  bool own_body;        /**< Whether a 200 echoed this attempt's body. */
  char type[EG_ONCE_TYPE_BYTES]; /**< Problem type of an error response,
                                    or name of the transport error; else
                                    empty. */
};

/** One attempt to send a request. */
struct eg_once_attempt
{
  size_t request;
  size_t target;
  bool other_body;
  int64_t started_us;
  int64_t ended_us; /**< -1 while in flight. */
  struct eg_once_outcome outcome;
};

/** One request. */
struct eg_once_request
{
  enum eg_once_kind kind;
  uint32_t executions;
  int64_t first_execution_us; /**< When an execution was first read from a
                                  record; -1 if none was. */
};

/** Inconsistencies between responses and execution records. */
enum eg_once_violation
{
  /** A request was executed more than once. */
  EG_ONCE_DUPLICATE_EXECUTION,
  /** A 200 without an execution. */
  EG_ONCE_RESPONSE_WITHOUT_EXECUTION,
  /** `ran: yes` without an execution. */
  EG_ONCE_YES_WITHOUT_EXECUTION,
  /** `ran: no` to the attempt that was executed. */
  EG_ONCE_NO_BUT_EXECUTED,
  /**
   * `ran: no` to an attempt that started after the request was known to be
   * executed. 422 is excluded, as a different body is a different request.
   */
  EG_ONCE_NO_AFTER_EXECUTION,
  /** A 200 that echoes a body other than the one sent. */
  EG_ONCE_BODY_MISMATCH,
  /** A 200 to each of two different bodies. */
  EG_ONCE_CONFLICTING_RESPONSES,
  /** 422 although all attempts had the same body. */
  EG_ONCE_KEY_REUSE_WITHOUT_CAUSE,
  /** Both 422 and 200 to the same body. */
  EG_ONCE_KEY_REUSE_OF_SAME_BODY,
  /** A recorded execution that matches no attempt. */
  EG_ONCE_UNKNOWN_EXECUTION,
  EG_ONCE_VIOLATION_COUNT
};

/** All attempts and recorded executions. */
struct eg_once_history
{
  struct eg_once_request *requests;
  size_t n_requests;
  struct eg_once_attempt *attempts;
  size_t n_attempts;
  size_t attempts_capacity;
  size_t *executions; /**< Attempt of each execution, in the order in which they
                         were added. */
  size_t n_executions;
  size_t executions_capacity;
  uint64_t unknown_executions;
};

/** Violations found by a check. */
struct eg_once_findings
{
  uint64_t violations[EG_ONCE_VIOLATION_COUNT];
  uint64_t total;
  /** First request affected, by kind of violation; SIZE_MAX if there is none
      or it is unknown. */
  size_t first_request[EG_ONCE_VIOLATION_COUNT];
};

/** Initialises a history of @p n_requests requests, all of EG_ONCE_KEY. */
void eg_once_history_init (struct eg_once_history *self, size_t n_requests);

/** Frees the memory. */
void eg_once_history_finish (struct eg_once_history *self);

/** Adds an attempt started at @p now_us; returns its index. */
size_t eg_once_history_add_attempt (struct eg_once_history *self,
                                    size_t request,
                                    size_t target,
                                    bool other_body,
                                    int64_t now_us);

/** Stores the outcome of an attempt that ended at @p now_us. */
void eg_once_history_end_attempt (struct eg_once_history *self,
                                  size_t attempt,
                                  const struct eg_once_outcome *outcome,
                                  int64_t now_us);

/**
 * Adds an execution that was read from a record at @p now_us. It counts as an
 * unknown execution unless @p attempt exists and belongs to @p request.
 */
void eg_once_history_add_execution (struct eg_once_history *self,
                                    size_t request,
                                    size_t attempt,
                                    int64_t now_us);

/** Compares all responses with all executions; no attempt may be in flight. */
void eg_once_history_check (const struct eg_once_history *self,
                            struct eg_once_findings *findings);

/** Returns the name of a kind of request in reports. */
const char *eg_once_kind_name (enum eg_once_kind kind);

/** Returns the value of the field `ran`, as in responses and reports. */
const char *eg_once_ran_name (enum eg_once_ran ran);

/** Returns the name of a violation in reports. */
const char *eg_once_violation_name (enum eg_once_violation violation);

EG_END_DECLS

#endif
