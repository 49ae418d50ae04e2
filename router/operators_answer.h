/**
 * @file
 * What the operators' requests are answered with; each handler runs on a thread
 * of the listener.
 */
#ifndef EG_ROUTER_OPERATORS_ANSWER_H
#define EG_ROUTER_OPERATORS_ANSWER_H

#include "base/buffer.h"
#include "router/decision.h"

/** What handlers work with. */
struct eg_operators_parts
{
  const struct eg_router_settings *settings;
  struct eg_decision *decision;
};

/** An answer; zero-initialised memory is an empty 200 in JSON. */
struct eg_operators_answer
{
  int status;               /**< 0 stands for 200. */
  const char *content_type; /**< NULL stands for JSON. */
  struct eg_buffer body;
};

/** Answers one request. */
typedef void eg_operators_handler (const struct eg_operators_parts *parts,
                                   struct eg_str body,
                                   struct eg_operators_answer *answer);

/** Makes the answer an error: `{"error": NAME, "detail": TEXT}`. */
void eg_operators_refuse (struct eg_operators_answer *answer,
                          int status,
                          const char *name,
                          const char *detail);

/** Runs @p write on the decision thread; a 503 if that is too busy. */
void eg_operators_inquire (const struct eg_operators_parts *parts,
                           void (*write) (void *context,
                                          const struct eg_decision_view *view),
                           void *context,
                           struct eg_operators_answer *answer);

#endif
