/**
 * @file
 * Answers to operators' requests. Handlers run on the threads of the operators'
 * listener.
 */
#ifndef EG_ROUTER_OPERATORS_ANSWER_H
#define EG_ROUTER_OPERATORS_ANSWER_H

#include "base/buffer.h"
#include "router/decision.h"

/** Dependencies of the handlers. */
struct eg_operators_deps
{
  const struct eg_router_settings *settings;
  struct eg_decision *decision;
};

/** An answer; if zero-initialised, an empty JSON answer with status 200. */
struct eg_operators_answer
{
  int status;               /**< HTTP status; 0 means 200. */
  const char *content_type; /**< NULL means application/json. */
  struct eg_buffer body;
};

/** Handles a request with the given body and fills @p answer. */
typedef void eg_operators_handler (const struct eg_operators_deps *deps,
                                   struct eg_str body,
                                   struct eg_operators_answer *answer);

/** Replaces the answer by an error: `{"error": NAME, "detail": TEXT}`. */
void eg_operators_set_error (struct eg_operators_answer *answer,
                             int status,
                             const char *name,
                             const char *detail);

/** Runs @p write on the decision thread; answers 503 if that is too busy. */
void eg_operators_query (const struct eg_operators_deps *deps,
                         void (*write) (void *context,
                                        const struct eg_decision_view *view),
                         void *context,
                         struct eg_operators_answer *answer);

#endif
