/**
 * @file
 * The query of a request for an explanation, see entry/explain.h.
 */
#ifndef EG_ENTRY_EXPLAIN_QUERY_H
#define EG_ENTRY_EXPLAIN_QUERY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/status.h"

/** Describes the request to be explained. */
struct eg_explain_query
{
  struct eg_str host;         /**< May include a port. */
  struct eg_str path;         /**< May include a query. */
  struct eg_str organisation; /**< Empty: none. */
  uint32_t prompt_tokens;
  uint32_t answer_tokens; /**< The client's estimate; 0: none. */
  int64_t deadline_ms;    /**< Time-out of the client; negative: not given. */
  struct eg_buffer text;  /**< Holds the strings. */
};

/** Returns whether the target of a request asks for an explanation. */
bool eg_explain_is_target (struct eg_str target);

/**
 * Reads the query of a target; call eg_explain_query_finish() in any case.
 * @return false with a message that names the parameter, its value and what is
 *   expected.
 */
bool eg_explain_query_parse (struct eg_explain_query *self,
                             struct eg_str target,
                             struct eg_error *error);

/** Frees the strings. */
void eg_explain_query_finish (struct eg_explain_query *self);

#endif
