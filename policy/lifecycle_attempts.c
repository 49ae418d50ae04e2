#include "policy/lifecycle_state.h"

/* Returns the request if @p attempt is its running attempt; otherwise NULL. */
static struct eg_request_state *
running_attempt (const struct eg_lifecycle *self, uint64_t id, uint32_t attempt)
{
  struct eg_request_state *request = eg_map_get (&self->requests, id);

  if (!request || request->phase != EG_REQUEST_RUNNING
      || request->attempt != attempt)
    return NULL;
  return request;
}

bool
eg_lifecycle_token (struct eg_lifecycle *self,
                    uint64_t id,
                    uint32_t attempt,
                    int64_t position,
                    int64_t now_us)
{
  struct eg_request_state *request = running_attempt (self, id, attempt);

  if (!request || position != request->tokens_sent + 1)
    {
      self->counts.late_tokens++;
      return false;
    }
  for (size_t i = 0; request->attempt_progressed && i < request->chain.count;
       i++)
    eg_servers_observe_latency (self->servers, request->chain.stages[i].server,
                                (now_us - request->progress_us)
                                    / (int64_t) request->chain.count);
  if (request->attempt_progressed)
    eg_target_observe_token_interval (request->target,
                                      now_us - request->progress_us, now_us);
  eg_outcome_update (request->info.outcome, EG_OUTCOME_EVENT_RAN);
  request->tokens_sent++;
  request->progress_us = now_us;
  request->attempt_progressed = true;
  return true;
}

bool
eg_lifecycle_attempt_done (struct eg_lifecycle *self,
                           uint64_t id,
                           uint32_t attempt,
                           int64_t now_us)
{
  struct eg_request_state *request = running_attempt (self, id, attempt);
  struct eg_action action = {.kind = EG_ACTION_FINISH, .request = id};
  struct eg_target *target;

  if (!request)
    return false;
  target = request->target;
  if (request->info.plain)
    eg_servers_observe_latency (self->servers, request->chain.stages[0].server,
                                now_us - request->progress_us);
  if (request->info.prefix_hash != 0)
    eg_prefix_table_put (self->prefixes, request->info.prefix_hash,
                         request->chain.stages[0].server);
  eg_request_end_attempt (self, request, EG_SERVER_NONE, now_us);
  eg_outcome_update (request->info.outcome, EG_OUTCOME_EVENT_RAN);
  if (request->info.tokens_max > 0)
    eg_target_observe_output_length (target, request->tokens_sent,
                                     request->info.tokens_max);
  eg_admission_record_served (target->admission, request->info.cost, now_us);
  self->counts.finished++;
  action.attempt = attempt;
  action.ran = EG_RAN_YES;
  eg_action_queue_push (&self->actions, &action);
  eg_request_free (self, request);
  eg_target_dispatch (self, target, now_us);
  return true;
}

static const struct
{
  enum eg_outcome_event event;
  bool crash; /* Whether the request may have crashed the server. */
} cause_effects[] = {
    [EG_ATTEMPT_NOT_SENT] = {EG_OUTCOME_EVENT_NOT_SENT, false},
    [EG_ATTEMPT_REFUSED] = {EG_OUTCOME_EVENT_NOT_RUN, false},
    [EG_ATTEMPT_CONNECTION_LOST] = {EG_OUTCOME_EVENT_INCONCLUSIVE, true},
    [EG_ATTEMPT_STAGE_FAILED] = {EG_OUTCOME_EVENT_INCONCLUSIVE, true},
    [EG_ATTEMPT_STAGE_UNREACHABLE] = {EG_OUTCOME_EVENT_INCONCLUSIVE, false},
    [EG_ATTEMPT_TIMED_OUT] = {EG_OUTCOME_EVENT_INCONCLUSIVE, false},
    [EG_ATTEMPT_INVALID_RESPONSE] = {EG_OUTCOME_EVENT_INCONCLUSIVE, false},
};

static void
report_crash (struct eg_lifecycle *self,
              struct eg_request_state *request,
              uint32_t server,
              int64_t now_us)
{
  struct eg_action action = {
      .kind = EG_ACTION_QUARANTINE,
      .fingerprint = request->info.fingerprint,
      .until_us = now_us + self->config.quarantine.duration_us,
  };

  request->crashes++;
  if (server != EG_SERVER_NONE)
    eg_prefix_table_remove_server (self->prefixes, server);
  if (eg_quarantine_record_crash (self->quarantine, request->info.fingerprint,
                                  server, now_us))
    eg_action_queue_push (&self->actions, &action);
}

/* Schedules a retry or refuses the request, after its attempt failed. */
static void
retry_or_refuse (struct eg_lifecycle *self,
                 struct eg_request_state *request,
                 enum eg_refusal refusal,
                 int64_t now_us)
{
  struct eg_retry_context context = {
      .ran = eg_outcome_ran (request->info.outcome),
      .idempotent = request->info.outcome->kind == EG_OUTCOME_IDEMPOTENT,
      .attempts = request->attempt,
      .now_us = now_us,
      .deadline_us = request->info.deadline_us,
  };
  int64_t retry_after_us = 0;
  int64_t delay_us = 0;

  if (eg_quarantine_is_active (self->quarantine, request->info.fingerprint,
                               now_us, &retry_after_us))
    eg_request_refuse (self, request, EG_REFUSAL_QUARANTINED, retry_after_us);
  else if (!eg_outcome_may_send (request->info.outcome)
           || now_us >= request->info.send_by_us
           || !eg_retry_budget_spend (&request->target->retries, &context,
                                      &self->random, &delay_us))
    eg_request_refuse (self, request, refusal, EG_NO_CAPACITY_RETRY_AFTER_US);
  else
    {
      request->phase = EG_REQUEST_AWAITING_RETRY;
      request->retry_at_us = now_us + delay_us;
      eg_list_append (&request->target->retry_queue, &request->link);
      self->counts.queued++;
    }
}

void
eg_request_fail_attempt (struct eg_lifecycle *self,
                         struct eg_request_state *request,
                         enum eg_attempt_cause cause,
                         uint32_t server,
                         int64_t now_us)
{
  struct eg_target *target = request->target;

  eg_outcome_update (request->info.outcome, cause_effects[cause].event);
  if (cause_effects[cause].crash)
    report_crash (self, request, server, now_us);
  eg_request_end_attempt (self, request, server, now_us);
  eg_request_exclude_server (request, server);
  retry_or_refuse (self, request, EG_REFUSAL_BACKEND_FAILED, now_us);
  eg_target_dispatch (self, target, now_us);
}

void
eg_lifecycle_attempt_failed (struct eg_lifecycle *self,
                             uint64_t id,
                             uint32_t attempt,
                             const struct eg_attempt_failure *failure,
                             int64_t now_us)
{
  struct eg_request_state *request = running_attempt (self, id, attempt);
  uint32_t server;

  if (!request)
    return;
  server = request->chain.stages[0].server;
  if (failure->server.len > 0)
    server = eg_servers_find (self->servers, failure->server);
  eg_request_fail_attempt (self, request, failure->cause, server, now_us);
}

static bool
chain_includes (const struct eg_chain *chain, uint32_t server)
{
  for (size_t i = 0; i < chain->count; i++)
    if (chain->stages[i].server == server)
      return true;
  return false;
}

void
eg_lifecycle_server_unresponsive (struct eg_lifecycle *self,
                                  uint32_t server,
                                  int64_t now_us)
{
  struct eg_list *link = self->running.next;

  /* Attempts started during the loop are appended to the list, and do not use
     the server. */
  while (link != &self->running)
    {
      struct eg_request_state *request = eg_request_from_link (link);

      link = link->next;
      if (!chain_includes (&request->chain, server))
        continue;
      eg_request_emit_cancel (self, request);
      eg_request_fail_attempt (self, request, EG_ATTEMPT_TIMED_OUT, server,
                               now_us);
    }
}

void
eg_lifecycle_servers_changed (struct eg_lifecycle *self, int64_t now_us)
{
  size_t cursor = 0;
  struct eg_target *target;

  while ((target = eg_target_table_next (&self->targets, &cursor)))
    eg_target_dispatch (self, target, now_us);
}
