/**
 * @file
 * Refusals in the format sent to clients, `application/problem+json`.
 */
#ifndef EG_ROUTER_PROBLEM_H
#define EG_ROUTER_PROBLEM_H

#include "base/buffer.h"
#include "policy/request.h"

/** A refusal. */
struct eg_problem
{
  enum eg_refusal refusal;
  enum eg_ran ran;
  int64_t retry_after_us; /**< 0 if a retry would not help. */
  const char *detail;     /**< Explanation of this occurrence; may be empty. */
  const char *request_id;
};

/** Appends the problem as a JSON object. */
void eg_problem_write (const struct eg_problem *problem,
                       struct eg_buffer *json);

/** Returns the value of the `Retry-After` header, in seconds, or 0. */
int64_t eg_problem_retry_after_s (const struct eg_problem *problem);

#endif
