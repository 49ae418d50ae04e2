#include "policy/lifecycle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/list.h"
#include "base/map.h"
#include "base/status.h"
#include "policy/action_queue.h"
#include "policy/target.h"

#define NO_CAPACITY_RETRY_AFTER_US EG_US_PER_S
#define STOPPING_RETRY_AFTER_US EG_US_PER_S

/* Organisation, a slash and the class. */
#define CLASS_LIMIT_BYTES (2 * EG_NAME_BYTES)

enum request_phase
{
  PHASE_QUEUED,  /* In the target's admission queue. */
  PHASE_WAITING, /* In the target's list of attempts to be repeated. */
  PHASE_RUNNING, /* In the list of running attempts. */
};

struct eg_request_state
{
  struct eg_lifecycle_request info;
  char organisation[EG_NAME_BYTES];
  char class_limit[CLASS_LIMIT_BYTES];
  struct eg_target *target;
  double load_max; /* Relative load that counts as full for its class. */
  enum request_phase phase;
  uint32_t attempt;
  int64_t committed; /* Tokens handed to the caller. */
  struct eg_chain chain;
  enum eg_ran ran;     /* The most that any attempt so far may have done. */
  int64_t progress_us; /* When the attempt began or last gave a token. */
  bool attempt_progressed;
  int64_t retry_at_us;
  unsigned deaths; /* Servers that died with an attempt of it in flight. */
  uint32_t excluded[EG_EXCLUDED_MAX];
  size_t excluded_count;
  struct eg_list link; /* In the list of its phase. */
};

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

struct eg_lifecycle *
eg_lifecycle_new (const struct eg_lifecycle_config *config,
                  struct eg_servers *servers,
                  uint64_t seed)
{
  static const struct eg_limit_rule no_limit = {0};
  struct eg_lifecycle *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  self->config = *config;
  self->servers = servers;
  eg_list_init (&self->running);
  eg_random_init (&self->random, seed);
  self->limits = eg_limits_new (&config->default_limit);
  self->class_limits = eg_limits_new (&no_limit);
  self->quarantine = eg_quarantine_new (&config->quarantine);
  self->prefixes = eg_prefix_table_new (config->prefixes_max);
  self->config.placement.prefixes = self->prefixes;
  if (self->limits && self->class_limits && self->quarantine && self->prefixes)
    return self;
  eg_lifecycle_free (self);
  return NULL;
}

void
eg_lifecycle_free (struct eg_lifecycle *self)
{
  size_t cursor = 0;
  struct eg_request_state *request;

  if (!self)
    return;
  while ((request = eg_map_next (&self->requests, &cursor)))
    free (request);
  eg_map_finish (&self->requests);
  eg_target_table_finish (&self->targets);
  eg_limits_free (self->limits);
  eg_limits_free (self->class_limits);
  eg_quarantine_free (self->quarantine);
  eg_prefix_table_free (self->prefixes);
  eg_action_queue_finish (&self->actions);
  free (self);
}

static struct eg_request_state *
request_of (struct eg_list *link)
{
  return EG_CONTAINER_OF (link, struct eg_request_state, link);
}

/* Takes the request out of what its phase keeps it in. */
static void
leave_phase (struct eg_lifecycle *self, struct eg_request_state *request)
{
  switch (request->phase)
    {
    case PHASE_QUEUED:
      eg_admission_remove (request->target->admission, request->info.id);
      self->counts.queued--;
      return;
    case PHASE_WAITING:
      eg_list_remove (&request->link);
      self->counts.queued--;
      return;
    case PHASE_RUNNING:
      eg_list_remove (&request->link);
      self->counts.running--;
      return;
    }
}

/* Outcomes. */

static void
push_refusal (struct eg_lifecycle *self,
              uint64_t id,
              enum eg_refusal refusal,
              enum eg_ran ran,
              int64_t retry_after_us)
{
  struct eg_action action = {
      .kind = EG_ACTION_REFUSE,
      .request = id,
      .refusal = refusal,
      .ran = ran,
      .retry_after_us = retry_after_us,
  };

  self->counts.refused++;
  eg_action_queue_push (&self->actions, &action);
}

/* Forgets a request that has left its phase. */
static void
forget (struct eg_lifecycle *self, struct eg_request_state *request)
{
  struct eg_str organisation = eg_str_from (request->organisation);

  eg_limits_end (self->limits, organisation);
  eg_limits_end (self->class_limits, eg_str_from (request->class_limit));
  eg_map_remove (&self->requests, request->info.id);
  free (request);
}

static void
refuse (struct eg_lifecycle *self,
        struct eg_request_state *request,
        enum eg_refusal refusal,
        int64_t retry_after_us)
{
  push_refusal (self, request->info.id, refusal,
                eg_outcome_ran (request->info.outcome), retry_after_us);
  forget (self, request);
}

static void
push_cancel (struct eg_lifecycle *self, const struct eg_request_state *request)
{
  struct eg_action action = {
      .kind = EG_ACTION_CANCEL,
      .request = request->info.id,
      .attempt = request->attempt,
      .chain = request->chain,
  };

  eg_action_queue_push (&self->actions, &action);
}

/* Attempts. */

static void
start_attempt (struct eg_lifecycle *self,
               struct eg_request_state *request,
               const struct eg_chain *chain,
               int64_t now_us)
{
  struct eg_action action = {.kind = EG_ACTION_START};

  request->phase = PHASE_RUNNING;
  request->chain = *chain;
  request->attempt++;
  request->progress_us = now_us;
  request->attempt_progressed = false;
  eg_list_append (&self->running, &request->link);
  for (size_t i = 0; i < chain->count; i++)
    eg_servers_begin (self->servers, chain->stages[i].server, now_us);
  eg_outcome_update (request->info.outcome, EG_OUTCOME_EVENT_HANDED);
  self->counts.running++;
  self->counts.attempts++;
  if (request->attempt == 1)
    eg_retry_budget_earn (&request->target->retries);
  else
    self->counts.retries++;
  if (request->committed > 0)
    self->counts.resumed++;
  action.request = request->info.id;
  action.attempt = request->attempt;
  action.chain = *chain;
  eg_action_queue_push (&self->actions, &action);
}

/* Counts the end of an attempt on each of its servers. */
static void
end_attempt (struct eg_lifecycle *self,
             struct eg_request_state *request,
             uint32_t failed_server,
             int64_t now_us)
{
  leave_phase (self, request);
  for (size_t i = 0; i < request->chain.count; i++)
    {
      uint32_t server = request->chain.stages[i].server;

      eg_servers_end (self->servers, server, server == failed_server, now_us);
    }
}

static void
exclude (struct eg_request_state *request, uint32_t server)
{
  if (server == EG_SERVER_NONE)
    return;
  for (size_t i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == server)
      return;
  if (request->excluded_count == EG_EXCLUDED_MAX)
    {
      memmove (request->excluded, request->excluded + 1,
               sizeof request->excluded - sizeof request->excluded[0]);
      request->excluded_count--;
    }
  request->excluded[request->excluded_count++] = server;
}

/* A server that dies takes innocent requests with it. Those that it may have
   died of run apart from each other from then on, so that the next death
   shows which of them it was. */
static void
exclude_suspects (const struct eg_lifecycle *self,
                  const struct eg_request_state *request,
                  struct eg_placement_query *query)
{
  if (request->deaths == 0)
    return;
  for (struct eg_list *link = self->running.next; link != &self->running;
       link = link->next)
    {
      const struct eg_request_state *other = request_of (link);

      for (size_t i = 0; other->deaths > 0 && i < other->chain.count; i++)
        if (query->excluded_count < EG_EXCLUDED_MAX)
          query->excluded[query->excluded_count++] =
              other->chain.stages[i].server;
    }
}

static enum eg_placement_result
choose (struct eg_lifecycle *self,
        struct eg_request_state *request,
        int64_t now_us,
        struct eg_chain *chain)
{
  struct eg_placement_query query = {.prefix_hash = request->info.prefix_hash};
  struct eg_placement_config placement = self->config.placement;
  enum eg_placement_result result;
  size_t suspects;

  if (request->target && *request->target->preferred)
    memcpy (placement.failure_domain, request->target->preferred,
            sizeof placement.failure_domain);
  query.load_max = request->load_max;
  if (request->info.plain)
    query.service = request->info.target;
  else
    query.model = request->info.target;
  memcpy (query.excluded, request->excluded, sizeof query.excluded);
  query.excluded_count = request->excluded_count;
  exclude_suspects (self, request, &query);
  suspects = query.excluded_count - request->excluded_count;
  result = eg_placement_choose (&placement, self->servers, &query,
                                &self->random, now_us, chain);
  /* Where the others leave no server, a suspect waits until one of them ends.
   */
  if (result == EG_PLACEMENT_NONE && suspects > 0)
    return EG_PLACEMENT_BUSY;
  if (result != EG_PLACEMENT_NONE || query.excluded_count == 0)
    return result;
  /* Better a server that failed once than none at all. */
  request->excluded_count = 0;
  query.excluded_count = 0;
  return eg_placement_choose (&placement, self->servers, &query, &self->random,
                              now_us, chain);
}

/* Dispatch. */

static void
note_capacity (struct eg_target *target,
               enum eg_placement_result result,
               int64_t now_us)
{
  if (result == EG_PLACEMENT_FOUND || result == EG_PLACEMENT_BUSY)
    target->no_capacity_since_us = 0;
  else if (target->no_capacity_since_us == 0)
    target->no_capacity_since_us = now_us;
}

/* Starts the attempts whose back-off is over; they go before the queue, as
   their callers have waited longest. Returns false where no room was left. */
static bool
dispatch_waiting (struct eg_lifecycle *self,
                  struct eg_target *target,
                  int64_t now_us)
{
  struct eg_list *link = target->waiting.next;

  while (link != &target->waiting)
    {
      /* The analyzer does not follow a request out of its list.
         NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
      struct eg_request_state *request = request_of (link);
      struct eg_chain chain;
      enum eg_placement_result result;

      link = link->next;
      if (request->retry_at_us > now_us || now_us >= request->info.deadline_us)
        continue;
      result = choose (self, request, now_us, &chain);
      note_capacity (target, result, now_us);
      /* What keeps a suspect waiting need not stop the others. */
      if (result != EG_PLACEMENT_FOUND && request->deaths > 0)
        continue;
      if (result != EG_PLACEMENT_FOUND)
        return false;
      leave_phase (self, request);
      start_attempt (self, request, &chain, now_us);
    }
  return true;
}

static void
dispatch_queue (struct eg_lifecycle *self,
                struct eg_target *target,
                int64_t now_us)
{
  struct eg_admission_item item;

  while (eg_admission_take (target->admission, now_us, &item))
    {
      struct eg_request_state *request =
          eg_map_get (&self->requests, item.request);
      struct eg_chain chain;
      enum eg_placement_result result;

      EG_INVARIANT (request != NULL);
      if (now_us >= request->info.deadline_us)
        {
          self->counts.queued--;
          refuse (self, request, EG_REFUSAL_DEADLINE, 0);
          continue;
        }
      result = choose (self, request, now_us, &chain);
      note_capacity (target, result, now_us);
      if (result != EG_PLACEMENT_FOUND)
        {
          eg_admission_return (target->admission, &item);
          return;
        }
      self->counts.queued--;
      start_attempt (self, request, &chain, now_us);
    }
}

static void
dispatch (struct eg_lifecycle *self, struct eg_target *target, int64_t now_us)
{
  if (dispatch_waiting (self, target, now_us))
    dispatch_queue (self, target, now_us);
}

/* Arrival. */

/* A node that has just started cannot tell what exists. */
static bool
knows_any_server (const struct eg_lifecycle *self)
{
  for (uint32_t i = 0; i < eg_servers_count (self->servers); i++)
    if (eg_servers_get (self->servers, i)->reported)
      return true;
  return false;
}

/* An engine runs urgent work first, so such work need not wait for a slot to
   fall free: it may go to servers that are full for the classes below it. */
static double
load_max_of (const struct eg_lifecycle *self, unsigned class_index)
{
  const struct eg_admission_config *admission = &self->config.admission;
  int priority = admission->classes[class_index].priority;
  size_t below = 0;

  for (size_t i = 0; i < admission->class_count; i++)
    below += admission->classes[i].priority > priority;
  if (below == 0)
    return 1.0;
  return 1.0
         + self->config.headroom * (double) below
               / (double) (admission->class_count - 1);
}

static enum eg_refusal
find_target (struct eg_lifecycle *self,
             struct eg_request_state *request,
             int64_t now_us)
{
  struct eg_chain chain;

  request->target = eg_target_table_find (&self->targets, request->info.plain,
                                          request->info.target);
  if (request->target)
    return EG_REFUSAL_NONE;
  if (choose (self, request, now_us, &chain) == EG_PLACEMENT_UNKNOWN)
    return !knows_any_server (self) ? EG_REFUSAL_NO_CAPACITY
           : request->info.plain    ? EG_REFUSAL_UNKNOWN_SERVICE
                                    : EG_REFUSAL_UNKNOWN_MODEL;
  request->target = eg_target_table_add (&self->targets, request->info.plain,
                                         request->info.target, &self->config);
  return EG_REFUSAL_NONE;
}

struct eg_str
eg_lifecycle_class_limit_name (struct eg_str organisation,
                               struct eg_str class_name,
                               char *text,
                               size_t capacity)
{
  snprintf (text, capacity, "%.*s/%.*s", EG_STR_ARGS (organisation),
            EG_STR_ARGS (class_name));
  return eg_str_from (text);
}

/* A request counts against its organisation, and within its class. */
static enum eg_refusal
begin_limits (struct eg_lifecycle *self,
              struct eg_request_state *request,
              int64_t now_us,
              int64_t *retry_after_us)
{
  const struct eg_lifecycle_request *info = &request->info;
  const char *class_name =
      self->config.admission.classes[info->class_index].name;
  struct eg_str name = eg_lifecycle_class_limit_name (
      info->organisation, eg_str_from (class_name), request->class_limit,
      sizeof request->class_limit);
  enum eg_refusal refusal;

  refusal = eg_limits_begin (self->limits, info->organisation, now_us,
                             retry_after_us);
  if (refusal != EG_REFUSAL_NONE)
    return refusal;
  refusal = eg_limits_begin (self->class_limits, name, now_us, retry_after_us);
  if (refusal != EG_REFUSAL_NONE)
    eg_limits_end (self->limits, info->organisation);
  return refusal;
}

static enum eg_refusal
admit (struct eg_lifecycle *self,
       struct eg_request_state *request,
       int64_t now_us,
       int64_t *retry_after_us)
{
  const struct eg_lifecycle_request *info = &request->info;
  struct eg_admission_item item = {
      .request = info->id,
      .class_index = info->class_index,
      .organisation = info->organisation,
      .cost = info->cost,
      .arrived_us = info->arrived_us,
      .deadline_us = info->deadline_us,
  };
  enum eg_refusal refusal;

  refusal = find_target (self, request, now_us);
  if (refusal == EG_REFUSAL_NO_CAPACITY)
    *retry_after_us = NO_CAPACITY_RETRY_AFTER_US;
  if (refusal != EG_REFUSAL_NONE)
    return refusal;
  /* Limits come last, so that what is refused anyway costs no share of them. */
  refusal = eg_admission_offer (request->target->admission, &item, now_us,
                                retry_after_us);
  if (refusal != EG_REFUSAL_NONE)
    return refusal;
  refusal = begin_limits (self, request, now_us, retry_after_us);
  if (refusal != EG_REFUSAL_NONE)
    eg_admission_remove (request->target->admission, info->id);
  return refusal;
}

/* Refusals that need no more than the request itself. */
static enum eg_refusal
check_arrival (struct eg_lifecycle *self,
               const struct eg_lifecycle_request *info,
               int64_t now_us,
               int64_t *retry_after_us)
{
  if (self->stopping)
    {
      *retry_after_us = STOPPING_RETRY_AFTER_US;
      return EG_REFUSAL_STOPPING;
    }
  if (self->requests.count >= self->config.requests_max)
    {
      *retry_after_us = NO_CAPACITY_RETRY_AFTER_US;
      return EG_REFUSAL_QUEUE_FULL;
    }
  if (now_us >= info->deadline_us)
    return EG_REFUSAL_DEADLINE;
  if (eg_quarantine_holds (self->quarantine, info->fingerprint, now_us,
                           retry_after_us))
    return EG_REFUSAL_QUARANTINED;
  return EG_REFUSAL_NONE;
}

static struct eg_request_state *
new_request (const struct eg_lifecycle_request *info)
{
  struct eg_request_state *request = calloc (1, sizeof *request);

  EG_INVARIANT (request != NULL);
  request->info = *info;
  eg_str_copy (info->organisation, request->organisation,
               sizeof request->organisation);
  request->info.organisation = eg_str_from (request->organisation);
  request->phase = PHASE_QUEUED;
  return request;
}

void
eg_lifecycle_arrive (struct eg_lifecycle *self,
                     const struct eg_lifecycle_request *info,
                     int64_t now_us)
{
  int64_t retry_after_us = 0;
  enum eg_refusal refusal;
  struct eg_request_state *request = NULL;

  self->counts.arrived++;
  refusal = check_arrival (self, info, now_us, &retry_after_us);
  if (refusal == EG_REFUSAL_NONE)
    {
      request = new_request (info);
      request->load_max = load_max_of (self, info->class_index);
      refusal = admit (self, request, now_us, &retry_after_us);
    }
  if (refusal != EG_REFUSAL_NONE)
    {
      push_refusal (self, info->id, refusal, eg_outcome_ran (info->outcome),
                    retry_after_us);
      free (request);
      return;
    }
  request->info.target = eg_str_from (request->target->name);
  eg_map_put (&self->requests, info->id, request);
  self->counts.queued++;
  dispatch (self, request->target, now_us);
}

void
eg_lifecycle_abandon (struct eg_lifecycle *self, uint64_t id, int64_t now_us)
{
  struct eg_request_state *request = eg_map_get (&self->requests, id);
  struct eg_target *target;

  if (!request)
    return;
  target = request->target;
  self->counts.abandoned++;
  if (request->phase == PHASE_RUNNING)
    {
      push_cancel (self, request);
      end_attempt (self, request, EG_SERVER_NONE, now_us);
    }
  else
    leave_phase (self, request);
  forget (self, request);
  dispatch (self, target, now_us);
}

/* Progress and end of attempts. */

/* Returns the request if @p attempt is the one that runs. */
static struct eg_request_state *
running_attempt (const struct eg_lifecycle *self, uint64_t id, uint32_t attempt)
{
  struct eg_request_state *request = eg_map_get (&self->requests, id);

  if (!request || request->phase != PHASE_RUNNING
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

  if (!request || position != request->committed + 1)
    {
      self->counts.late_tokens++;
      return false;
    }
  for (size_t i = 0; request->attempt_progressed && i < request->chain.count;
       i++)
    eg_servers_observe (self->servers, request->chain.stages[i].server,
                        (now_us - request->progress_us)
                            / (int64_t) request->chain.count);
  eg_outcome_update (request->info.outcome, EG_OUTCOME_EVENT_RAN);
  request->committed++;
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
    eg_servers_observe (self->servers, request->chain.stages[0].server,
                        now_us - request->progress_us);
  if (request->info.prefix_hash != 0)
    eg_prefix_table_note (self->prefixes, request->info.prefix_hash,
                          request->chain.stages[0].server);
  end_attempt (self, request, EG_SERVER_NONE, now_us);
  eg_outcome_update (request->info.outcome, EG_OUTCOME_EVENT_RAN);
  eg_admission_served (target->admission, request->info.cost, now_us);
  self->counts.finished++;
  action.attempt = attempt;
  action.ran = EG_RAN_YES;
  eg_action_queue_push (&self->actions, &action);
  forget (self, request);
  dispatch (self, target, now_us);
  return true;
}

static const struct
{
  enum eg_outcome_event event;
  bool death; /* Whether the server may have died of the request. */
} causes[] = {
    [EG_ATTEMPT_NOT_SENT] = {EG_OUTCOME_EVENT_NOT_SENT, false},
    [EG_ATTEMPT_REFUSED] = {EG_OUTCOME_EVENT_NOT_RUN, false},
    [EG_ATTEMPT_BROKEN] = {EG_OUTCOME_EVENT_LOST, true},
    [EG_ATTEMPT_STAGE] = {EG_OUTCOME_EVENT_LOST, true},
    [EG_ATTEMPT_SILENT] = {EG_OUTCOME_EVENT_LOST, false},
    [EG_ATTEMPT_INVALID] = {EG_OUTCOME_EVENT_LOST, false},
};

static void
report_death (struct eg_lifecycle *self,
              struct eg_request_state *request,
              uint32_t server,
              int64_t now_us)
{
  struct eg_action action = {
      .kind = EG_ACTION_QUARANTINE,
      .fingerprint = request->info.fingerprint,
      .until_us = now_us + self->config.quarantine.duration_us,
  };

  request->deaths++;
  if (server != EG_SERVER_NONE)
    eg_prefix_table_forget (self->prefixes, server);
  if (eg_quarantine_death (self->quarantine, request->info.fingerprint, server,
                           now_us))
    eg_action_queue_push (&self->actions, &action);
}

/* Decides what follows a failed attempt that has been ended. */
static void
retry_or_refuse (struct eg_lifecycle *self,
                 struct eg_request_state *request,
                 enum eg_refusal refusal,
                 int64_t now_us)
{
  struct eg_retry_question question = {
      .ran = eg_outcome_ran (request->info.outcome),
      .idempotent = request->info.outcome->kind == EG_OUTCOME_IDEMPOTENT,
      .attempts = request->attempt,
      .now_us = now_us,
      .deadline_us = request->info.deadline_us,
  };
  int64_t retry_after_us = 0;
  int64_t delay_us = 0;

  if (eg_quarantine_holds (self->quarantine, request->info.fingerprint, now_us,
                           &retry_after_us))
    refuse (self, request, EG_REFUSAL_QUARANTINED, retry_after_us);
  else if (!eg_outcome_may_send (request->info.outcome)
           || now_us >= request->info.send_by_us
           || !eg_retry_budget_spend (&request->target->retries, &question,
                                      &self->random, &delay_us))
    refuse (self, request, refusal, NO_CAPACITY_RETRY_AFTER_US);
  else
    {
      request->phase = PHASE_WAITING;
      request->retry_at_us = now_us + delay_us;
      eg_list_append (&request->target->waiting, &request->link);
      self->counts.queued++;
    }
}

static void
fail_attempt (struct eg_lifecycle *self,
              struct eg_request_state *request,
              enum eg_attempt_cause cause,
              uint32_t server,
              int64_t now_us)
{
  struct eg_target *target = request->target;

  eg_outcome_update (request->info.outcome, causes[cause].event);
  if (causes[cause].death)
    report_death (self, request, server, now_us);
  end_attempt (self, request, server, now_us);
  exclude (request, server);
  retry_or_refuse (self, request, EG_REFUSAL_BACKEND_FAILED, now_us);
  dispatch (self, target, now_us);
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
  fail_attempt (self, request, failure->cause, server, now_us);
}

static bool
chain_has (const struct eg_chain *chain, uint32_t server)
{
  for (size_t i = 0; i < chain->count; i++)
    if (chain->stages[i].server == server)
      return true;
  return false;
}

void
eg_lifecycle_server_silent (struct eg_lifecycle *self,
                            uint32_t server,
                            int64_t now_us)
{
  struct eg_list *link = self->running.next;

  /* Attempts that start meanwhile join at the end and avoid the server. */
  while (link != &self->running)
    {
      struct eg_request_state *request = request_of (link);

      link = link->next;
      if (!chain_has (&request->chain, server))
        continue;
      push_cancel (self, request);
      fail_attempt (self, request, EG_ATTEMPT_SILENT, server, now_us);
    }
}

void
eg_lifecycle_servers_changed (struct eg_lifecycle *self, int64_t now_us)
{
  size_t cursor = 0;
  struct eg_target *target;

  while ((target = eg_target_table_next (&self->targets, &cursor)))
    dispatch (self, target, now_us);
}

/* Time. */

static void
expire_waiting (struct eg_lifecycle *self,
                struct eg_target *target,
                int64_t now_us)
{
  struct eg_list *link = target->waiting.next;
  struct eg_admission_item item;

  while (link != &target->waiting)
    {
      struct eg_request_state *request = request_of (link);

      link = link->next;
      if (now_us < request->info.deadline_us)
        continue;
      eg_list_remove (&request->link);
      self->counts.queued--;
      refuse (self, request, EG_REFUSAL_DEADLINE, 0);
    }
  while (eg_admission_take_expired (target->admission, now_us, &item))
    {
      struct eg_request_state *request =
          eg_map_get (&self->requests, item.request);

      EG_INVARIANT (request != NULL);
      self->counts.queued--;
      refuse (self, request, EG_REFUSAL_DEADLINE, 0);
    }
}

/* A target without servers for long gives its callers their answer now. */
static void
refuse_without_capacity (struct eg_lifecycle *self,
                         struct eg_target *target,
                         int64_t now_us)
{
  struct eg_admission_item item;
  struct eg_list *link;

  if (target->no_capacity_since_us == 0
      || now_us - target->no_capacity_since_us
             < self->config.no_capacity_patience_us)
    return;
  while ((link = eg_list_take (&target->waiting)))
    {
      self->counts.queued--;
      refuse (self, request_of (link), EG_REFUSAL_NO_CAPACITY,
              NO_CAPACITY_RETRY_AFTER_US);
    }
  while (eg_admission_take (target->admission, now_us, &item))
    {
      struct eg_request_state *request =
          eg_map_get (&self->requests, item.request);

      EG_INVARIANT (request != NULL);
      self->counts.queued--;
      refuse (self, request, EG_REFUSAL_NO_CAPACITY,
              NO_CAPACITY_RETRY_AFTER_US);
    }
}

static bool
is_silent (const struct eg_lifecycle *self,
           const struct eg_request_state *request,
           int64_t now_us)
{
  int64_t allowed_us = request->attempt_progressed
                           ? self->config.token_silence_us
                           : self->config.first_token_silence_us;

  return !request->info.plain && now_us - request->progress_us > allowed_us;
}

static void
check_running (struct eg_lifecycle *self, int64_t now_us)
{
  struct eg_list *link = self->running.next;

  while (link != &self->running)
    {
      struct eg_request_state *request = request_of (link);

      link = link->next;
      if (now_us >= request->info.deadline_us)
        {
          push_cancel (self, request);
          end_attempt (self, request, EG_SERVER_NONE, now_us);
          eg_outcome_update (request->info.outcome, EG_OUTCOME_EVENT_LOST);
          refuse (self, request, EG_REFUSAL_DEADLINE, 0);
        }
      else if (is_silent (self, request, now_us))
        {
          push_cancel (self, request);
          fail_attempt (self, request, EG_ATTEMPT_SILENT,
                        request->chain.stages[0].server, now_us);
        }
    }
}

void
eg_lifecycle_tick (struct eg_lifecycle *self, int64_t now_us)
{
  size_t cursor = 0;
  struct eg_target *target;

  check_running (self, now_us);
  while ((target = eg_target_table_next (&self->targets, &cursor)))
    {
      expire_waiting (self, target, now_us);
      dispatch (self, target, now_us);
      refuse_without_capacity (self, target, now_us);
    }
}

void
eg_lifecycle_configure (struct eg_lifecycle *self,
                        const struct eg_lifecycle_config *config)
{
  size_t cursor = 0;
  struct eg_target *target;

  self->config = *config;
  self->config.placement.prefixes = self->prefixes;
  eg_limits_set_fallback (self->limits, &config->default_limit);
  while ((target = eg_target_table_next (&self->targets, &cursor)))
    eg_admission_configure (target->admission, &config->admission);
}

void
eg_lifecycle_prefer (struct eg_lifecycle *self,
                     struct eg_str service,
                     struct eg_str failure_domain)
{
  struct eg_target *target =
      eg_target_table_add (&self->targets, true, service, &self->config);

  eg_str_copy (failure_domain, target->preferred, sizeof target->preferred);
}

void
eg_lifecycle_sweep (struct eg_lifecycle *self, int64_t now_us)
{
  eg_limits_sweep (self->limits, now_us);
  eg_limits_sweep (self->class_limits, now_us);
  eg_servers_sweep (self->servers, now_us);
}

void
eg_lifecycle_stop (struct eg_lifecycle *self)
{
  self->stopping = true;
}

bool
eg_lifecycle_next_action (struct eg_lifecycle *self, struct eg_action *action)
{
  return eg_action_queue_pop (&self->actions, action);
}

int64_t
eg_lifecycle_committed (const struct eg_lifecycle *self, uint64_t id)
{
  struct eg_request_state *request = eg_map_get (&self->requests, id);

  return request ? request->committed : 0;
}

struct eg_lifecycle_counts
eg_lifecycle_counts (const struct eg_lifecycle *self)
{
  return self->counts;
}

struct eg_limits *
eg_lifecycle_limits (struct eg_lifecycle *self)
{
  return self->limits;
}

struct eg_limits *
eg_lifecycle_class_limits (struct eg_lifecycle *self)
{
  return self->class_limits;
}

struct eg_quarantine *
eg_lifecycle_quarantine (struct eg_lifecycle *self)
{
  return self->quarantine;
}
