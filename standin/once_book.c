#include "standin/once_book.h"

#include <stdlib.h>
#include <string.h>

#include "base/status.h"

#define STATUS_ANSWERED 200
#define STATUS_REUSED 422
#define NEVER_US INT64_MAX

/* Combined outcomes of all attempts of one request; index 1 of the arrays
   stands for the alternative body. */
struct summary
{
  bool sent[2];
  bool answered[2];
  bool reused[2];
  bool said_yes;
  int64_t known_us; /* When it was first known to be executed. */
};

static const char *const kind_names[EG_ONCE_KINDS] = {
    [EG_ONCE_KEY] = "key",
    [EG_ONCE_TICKET] = "ticket",
    [EG_ONCE_PLAIN] = "plain",
};

static const char *const ran_names[EG_ONCE_RANS] = {
    [EG_ONCE_RAN_UNSAID] = "unsaid",
    [EG_ONCE_RAN_NO] = "no",
    [EG_ONCE_RAN_UNKNOWN] = "unknown",
    [EG_ONCE_RAN_YES] = "yes",
};

static const char *const violation_names[EG_ONCE_VIOLATIONS] = {
    [EG_ONCE_RAN_TWICE] = "ran-twice",
    [EG_ONCE_ANSWER_NO_RUN] = "answer-without-run",
    [EG_ONCE_YES_NO_RUN] = "yes-without-run",
    [EG_ONCE_NO_BUT_RAN] = "no-but-ran",
    [EG_ONCE_NO_AFTER_RUN] = "no-after-run",
    [EG_ONCE_OTHERS_ANSWER] = "answer-to-another-body",
    [EG_ONCE_ANSWERS_DIFFER] = "answers-differ",
    [EG_ONCE_REUSED_NO_CAUSE] = "422-without-cause",
    [EG_ONCE_REUSED_BUT_TAKEN] = "422-to-the-body-that-ran",
    [EG_ONCE_FOREIGN_RUN] = "run-of-no-sending",
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
eg_once_book_init (struct eg_once_book *self, size_t n_requests)
{
  memset (self, 0, sizeof *self);
  self->n_requests = n_requests;
  self->requests = calloc (n_requests + 1, sizeof *self->requests);
  EG_INVARIANT (self->requests != NULL);
  for (size_t i = 0; i < n_requests; i++)
    self->requests[i].run_seen_us = -1;
}

void
eg_once_book_finish (struct eg_once_book *self)
{
  free (self->requests);
  free (self->sendings);
  free (self->runs);
  memset (self, 0, sizeof *self);
}

size_t
eg_once_book_send (struct eg_once_book *self,
                   size_t request,
                   size_t target,
                   bool other_body,
                   int64_t now_us)
{
  EG_INVARIANT (request < self->n_requests);
  if (self->n_sendings == self->capacity)
    {
      self->capacity = self->capacity * 2 + 64;
      self->sendings =
          realloc (self->sendings, self->capacity * sizeof *self->sendings);
      EG_INVARIANT (self->sendings != NULL);
    }
  self->sendings[self->n_sendings] = (struct eg_once_sending){
      .request = request,
      .target = target,
      .other_body = other_body,
      .started_us = now_us,
      .ended_us = -1,
  };
  return self->n_sendings++;
}

void
eg_once_book_end (struct eg_once_book *self,
                  size_t sending,
                  const struct eg_once_end *end,
                  int64_t now_us)
{
  EG_INVARIANT (sending < self->n_sendings);
  self->sendings[sending].end = *end;
  self->sendings[sending].ended_us = now_us;
}

void
eg_once_book_run (struct eg_once_book *self,
                  size_t request,
                  size_t sending,
                  int64_t now_us)
{
  if (sending >= self->n_sendings || request >= self->n_requests
      || self->sendings[sending].request != request)
    {
      self->foreign_runs++;
      return;
    }
  if (self->n_runs == self->runs_capacity)
    {
      self->runs_capacity = self->runs_capacity * 2 + 64;
      self->runs =
          realloc (self->runs, self->runs_capacity * sizeof *self->runs);
      EG_INVARIANT (self->runs != NULL);
    }
  self->runs[self->n_runs++] = sending;
  if (self->requests[request].runs == 0)
    self->requests[request].run_seen_us = now_us;
  self->requests[request].runs++;
}

static void
found (struct eg_once_findings *findings,
       enum eg_once_violation violation,
       size_t request)
{
  if (findings->violations[violation]++ == 0)
    findings->first_request[violation] = request;
  findings->total++;
}

static void
summarise (const struct eg_once_sending *sending, struct summary *summary)
{
  const struct eg_once_end *end = &sending->end;
  bool ran = end->status == STATUS_ANSWERED || end->ran == EG_ONCE_RAN_YES;

  summary->sent[sending->other_body] = true;
  if (end->status == STATUS_ANSWERED)
    summary->answered[sending->other_body] = true;
  if (end->status == STATUS_REUSED)
    summary->reused[sending->other_body] = true;
  if (end->ran == EG_ONCE_RAN_YES)
    summary->said_yes = true;
  if (ran && sending->ended_us < summary->known_us)
    summary->known_us = sending->ended_us;
}

static struct summary *
summarise_all (const struct eg_once_book *self)
{
  struct summary *all = calloc (self->n_requests + 1, sizeof *all);

  EG_INVARIANT (all != NULL);
  for (size_t i = 0; i < self->n_requests; i++)
    all[i].known_us = self->requests[i].run_seen_us >= 0
                          ? self->requests[i].run_seen_us
                          : NEVER_US;
  for (size_t i = 0; i < self->n_sendings; i++)
    summarise (&self->sendings[i], &all[self->sendings[i].request]);
  return all;
}

static void
check_request (const struct eg_once_book *self,
               size_t index,
               const struct summary *summary,
               struct eg_once_findings *findings)
{
  uint32_t runs = self->requests[index].runs;
  bool answered = summary->answered[0] || summary->answered[1];
  bool reused = summary->reused[0] || summary->reused[1];

  if (runs > 1)
    found (findings, EG_ONCE_RAN_TWICE, index);
  if (answered && runs == 0)
    found (findings, EG_ONCE_ANSWER_NO_RUN, index);
  if (summary->said_yes && runs == 0)
    found (findings, EG_ONCE_YES_NO_RUN, index);
  if (summary->answered[0] && summary->answered[1])
    found (findings, EG_ONCE_ANSWERS_DIFFER, index);
  if (reused && !(summary->sent[0] && summary->sent[1]))
    found (findings, EG_ONCE_REUSED_NO_CAUSE, index);
  for (int body = 0; body < 2; body++)
    if (summary->reused[body] && summary->answered[body])
      found (findings, EG_ONCE_REUSED_BUT_TAKEN, index);
}

static void
check_sending (const struct eg_once_sending *sending,
               const struct summary *summary,
               struct eg_once_findings *findings)
{
  const struct eg_once_end *end = &sending->end;

  if (end->status == STATUS_ANSWERED && !end->own_body)
    found (findings, EG_ONCE_OTHERS_ANSWER, sending->request);
  if (end->ran == EG_ONCE_RAN_NO && end->status != STATUS_REUSED
      && sending->started_us >= summary->known_us)
    found (findings, EG_ONCE_NO_AFTER_RUN, sending->request);
}

void
eg_once_book_check (const struct eg_once_book *self,
                    struct eg_once_findings *findings)
{
  struct summary *all = summarise_all (self);

  memset (findings, 0, sizeof *findings);
  for (size_t i = 0; i < EG_ONCE_VIOLATIONS; i++)
    findings->first_request[i] = SIZE_MAX;
  for (size_t i = 0; i < self->n_requests; i++)
    check_request (self, i, &all[i], findings);
  for (size_t i = 0; i < self->n_sendings; i++)
    check_sending (&self->sendings[i], &all[self->sendings[i].request],
                   findings);
  for (size_t i = 0; i < self->n_runs; i++)
    if (self->sendings[self->runs[i]].end.ran == EG_ONCE_RAN_NO)
      found (findings, EG_ONCE_NO_BUT_RAN,
             self->sendings[self->runs[i]].request);
  for (uint64_t i = 0; i < self->foreign_runs; i++)
    found (findings, EG_ONCE_FOREIGN_RUN, SIZE_MAX);
  free (all);
}
