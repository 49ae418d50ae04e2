#include "standin/once_history.h"

#include <stdlib.h>
#include <string.h>

#include "base/status.h"

#define HTTP_OK 200
#define HTTP_UNPROCESSABLE 422
#define NEVER_US INT64_MAX

/* Combined outcomes of all attempts of one request; index 1 of the arrays
   stands for the alternative body. */
struct summary
{
  bool sent[2];
  bool answered[2]; /* A response had status 200. */
  bool reused[2];   /* A response had status 422: key or ticket reused. */
  bool stated_yes;
  int64_t known_executed_us; /* When it was first known to be executed. */
};

static const char *const kind_names[EG_ONCE_KIND_COUNT] = {
    [EG_ONCE_KEY] = "key",
    [EG_ONCE_TICKET] = "ticket",
    [EG_ONCE_PLAIN] = "plain",
};

static const char *const ran_names[EG_ONCE_RAN_COUNT] = {
    [EG_ONCE_RAN_UNSTATED] = "unsaid",
    [EG_ONCE_RAN_NO] = "no",
    [EG_ONCE_RAN_UNKNOWN] = "unknown",
    [EG_ONCE_RAN_YES] = "yes",
};

static const char *const violation_names[EG_ONCE_VIOLATION_COUNT] = {
    [EG_ONCE_DUPLICATE_EXECUTION] = "ran-twice",
    [EG_ONCE_RESPONSE_WITHOUT_EXECUTION] = "answer-without-run",
    [EG_ONCE_YES_WITHOUT_EXECUTION] = "yes-without-run",
    [EG_ONCE_NO_BUT_EXECUTED] = "no-but-ran",
    [EG_ONCE_NO_AFTER_EXECUTION] = "no-after-run",
    [EG_ONCE_BODY_MISMATCH] = "answer-to-another-body",
    [EG_ONCE_CONFLICTING_RESPONSES] = "answers-differ",
    [EG_ONCE_KEY_REUSE_WITHOUT_CAUSE] = "422-without-cause",
    [EG_ONCE_KEY_REUSE_OF_SAME_BODY] = "422-to-the-body-that-ran",
    [EG_ONCE_UNKNOWN_EXECUTION] = "run-of-no-sending",
};

const char *
eg_once_kind_name (enum eg_once_kind kind)
{
  return kind_names[kind];
}

const char *
eg_once_ran_name (enum eg_once_ran ran)
{
  return ran_names[ran];
}

const char *
eg_once_violation_name (enum eg_once_violation violation)
{
  return violation_names[violation];
}

void
eg_once_history_init (struct eg_once_history *self, size_t n_requests)
{
  memset (self, 0, sizeof *self);
  self->n_requests = n_requests;
  self->requests = calloc (n_requests + 1, sizeof *self->requests);
  EG_INVARIANT (self->requests != NULL);
  for (size_t i = 0; i < n_requests; i++)
    self->requests[i].first_execution_us = -1;
}

void
eg_once_history_finish (struct eg_once_history *self)
{
  free (self->requests);
  free (self->attempts);
  free (self->executions);
  memset (self, 0, sizeof *self);
}

size_t
eg_once_history_add_attempt (struct eg_once_history *self,
                             size_t request,
                             size_t target,
                             bool other_body,
                             int64_t now_us)
{
  EG_INVARIANT (request < self->n_requests);
  if (self->n_attempts == self->attempts_capacity)
    {
      self->attempts_capacity = self->attempts_capacity * 2 + 64;
      self->attempts = realloc (self->attempts, self->attempts_capacity
                                                    * sizeof *self->attempts);
      EG_INVARIANT (self->attempts != NULL);
    }
  self->attempts[self->n_attempts] = (struct eg_once_attempt){
      .request = request,
      .target = target,
      .other_body = other_body,
      .started_us = now_us,
      .ended_us = -1,
  };
  return self->n_attempts++;
}

void
eg_once_history_end_attempt (struct eg_once_history *self,
                             size_t attempt,
                             const struct eg_once_outcome *outcome,
                             int64_t now_us)
{
  EG_INVARIANT (attempt < self->n_attempts);
  self->attempts[attempt].outcome = *outcome;
  self->attempts[attempt].ended_us = now_us;
}

void
eg_once_history_add_execution (struct eg_once_history *self,
                               size_t request,
                               size_t attempt,
                               int64_t now_us)
{
  if (attempt >= self->n_attempts || request >= self->n_requests
      || self->attempts[attempt].request != request)
    {
      self->unknown_executions++;
      return;
    }
  if (self->n_executions == self->executions_capacity)
    {
      self->executions_capacity = self->executions_capacity * 2 + 64;
      self->executions =
          realloc (self->executions,
                   self->executions_capacity * sizeof *self->executions);
      EG_INVARIANT (self->executions != NULL);
    }
  self->executions[self->n_executions++] = attempt;
  if (self->requests[request].executions == 0)
    self->requests[request].first_execution_us = now_us;
  self->requests[request].executions++;
}

static void
add_violation (struct eg_once_findings *findings,
               enum eg_once_violation violation,
               size_t request)
{
  if (findings->violations[violation]++ == 0)
    findings->first_request[violation] = request;
  findings->total++;
}

static void
update_summary (const struct eg_once_attempt *attempt, struct summary *summary)
{
  const struct eg_once_outcome *outcome = &attempt->outcome;
  bool was_executed =
      outcome->status == HTTP_OK || outcome->ran == EG_ONCE_RAN_YES;

  summary->sent[attempt->other_body] = true;
  if (outcome->status == HTTP_OK)
    summary->answered[attempt->other_body] = true;
  if (outcome->status == HTTP_UNPROCESSABLE)
    summary->reused[attempt->other_body] = true;
  if (outcome->ran == EG_ONCE_RAN_YES)
    summary->stated_yes = true;
  if (was_executed && attempt->ended_us < summary->known_executed_us)
    summary->known_executed_us = attempt->ended_us;
}

static struct summary *
new_summaries (const struct eg_once_history *self)
{
  struct summary *summaries = calloc (self->n_requests + 1, sizeof *summaries);

  EG_INVARIANT (summaries != NULL);
  for (size_t i = 0; i < self->n_requests; i++)
    summaries[i].known_executed_us = self->requests[i].first_execution_us >= 0
                                         ? self->requests[i].first_execution_us
                                         : NEVER_US;
  for (size_t i = 0; i < self->n_attempts; i++)
    update_summary (&self->attempts[i], &summaries[self->attempts[i].request]);
  return summaries;
}

static void
check_request (const struct eg_once_history *self,
               size_t index,
               const struct summary *summary,
               struct eg_once_findings *findings)
{
  uint32_t executions = self->requests[index].executions;
  bool answered = summary->answered[0] || summary->answered[1];
  bool reused = summary->reused[0] || summary->reused[1];

  if (executions > 1)
    add_violation (findings, EG_ONCE_DUPLICATE_EXECUTION, index);
  if (answered && executions == 0)
    add_violation (findings, EG_ONCE_RESPONSE_WITHOUT_EXECUTION, index);
  if (summary->stated_yes && executions == 0)
    add_violation (findings, EG_ONCE_YES_WITHOUT_EXECUTION, index);
  if (summary->answered[0] && summary->answered[1])
    add_violation (findings, EG_ONCE_CONFLICTING_RESPONSES, index);
  if (reused && !(summary->sent[0] && summary->sent[1]))
    add_violation (findings, EG_ONCE_KEY_REUSE_WITHOUT_CAUSE, index);
  for (int body = 0; body < 2; body++)
    if (summary->reused[body] && summary->answered[body])
      add_violation (findings, EG_ONCE_KEY_REUSE_OF_SAME_BODY, index);
}

static void
check_attempt (const struct eg_once_attempt *attempt,
               const struct summary *summary,
               struct eg_once_findings *findings)
{
  const struct eg_once_outcome *outcome = &attempt->outcome;

  if (outcome->status == HTTP_OK && !outcome->own_body)
    add_violation (findings, EG_ONCE_BODY_MISMATCH, attempt->request);
  if (outcome->ran == EG_ONCE_RAN_NO && outcome->status != HTTP_UNPROCESSABLE
      && attempt->started_us >= summary->known_executed_us)
    add_violation (findings, EG_ONCE_NO_AFTER_EXECUTION, attempt->request);
}

void
eg_once_history_check (const struct eg_once_history *self,
                       struct eg_once_findings *findings)
{
  struct summary *summaries = new_summaries (self);

  memset (findings, 0, sizeof *findings);
  for (size_t i = 0; i < EG_ONCE_VIOLATION_COUNT; i++)
    findings->first_request[i] = SIZE_MAX;
  for (size_t i = 0; i < self->n_requests; i++)
    check_request (self, i, &summaries[i], findings);
  for (size_t i = 0; i < self->n_attempts; i++)
    check_attempt (&self->attempts[i], &summaries[self->attempts[i].request],
                   findings);
  for (size_t i = 0; i < self->n_executions; i++)
    if (self->attempts[self->executions[i]].outcome.ran == EG_ONCE_RAN_NO)
      add_violation (findings, EG_ONCE_NO_BUT_EXECUTED,
                     self->attempts[self->executions[i]].request);
  for (uint64_t i = 0; i < self->unknown_executions; i++)
    add_violation (findings, EG_ONCE_UNKNOWN_EXECUTION, SIZE_MAX);
  free (summaries);
}
