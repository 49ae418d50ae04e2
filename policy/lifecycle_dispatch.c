#include <string.h>

#include "base/status.h"
#include "policy/lifecycle_state.h"

#define NO_CLASS (-1)

static void
start_attempt (struct eg_lifecycle *self,
               struct eg_request_state *request,
               const struct eg_chain *chain,
               int64_t now_us)
{
  struct eg_action action = {.kind = EG_ACTION_START};

  request->phase = EG_REQUEST_RUNNING;
  request->chain = *chain;
  request->attempt++;
  request->progress_us = now_us;
  request->attempt_progressed = false;
  eg_list_append (&self->running, &request->link);
  for (size_t i = 0; i < chain->count; i++)
    eg_servers_begin_attempt (self->servers, chain->stages[i].server, now_us);
  eg_outcome_update (request->info.outcome, EG_OUTCOME_EVENT_DISPATCHED);
  self->counts.running++;
  self->counts.attempts++;
  if (request->attempt == 1)
    eg_retry_budget_earn (&request->target->retries);
  else
    self->counts.retries++;
  if (request->tokens_sent > 0)
    self->counts.resumed++;
  action.request = request->info.id;
  action.attempt = request->attempt;
  action.chain = *chain;
  eg_action_queue_push (&self->actions, &action);
}

void
eg_request_end_attempt (struct eg_lifecycle *self,
                        struct eg_request_state *request,
                        uint32_t failed_server,
                        int64_t now_us)
{
  eg_request_unlink (self, request);
  for (size_t i = 0; i < request->chain.count; i++)
    {
      uint32_t server = request->chain.stages[i].server;

      eg_servers_end_attempt (self->servers, server, server == failed_server,
                              now_us);
    }
}

void
eg_request_exclude_server (struct eg_request_state *request, uint32_t server)
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

/* All requests in flight on a server that crashes are suspected of having
   caused it. From then on, suspects do not share a server, so that the next
   crash identifies the one at fault. */
static void
exclude_suspect_servers (const struct eg_lifecycle *self,
                         const struct eg_request_state *request,
                         struct eg_placement_query *query)
{
  if (request->crashes == 0)
    return;
  for (struct eg_list *link = self->running.next; link != &self->running;
       link = link->next)
    {
      const struct eg_request_state *other = eg_request_from_link (link);

      for (size_t i = 0; other->crashes > 0 && i < other->chain.count; i++)
        if (query->excluded_count < EG_EXCLUDED_MAX)
          query->excluded[query->excluded_count++] =
              other->chain.stages[i].server;
    }
}

enum eg_placement_result
eg_request_choose_servers (struct eg_lifecycle *self,
                           struct eg_request_state *request,
                           int64_t now_us,
                           struct eg_chain *chain)
{
  struct eg_placement_query query = {.prefix_hash = request->info.prefix_hash};
  struct eg_placement_config placement = self->config.placement;
  enum eg_placement_result result;
  size_t suspects;

  if (request->target && *request->target->preferred_domain)
    memcpy (placement.failure_domain, request->target->preferred_domain,
            sizeof placement.failure_domain);
  query.load_max = request->load_max;
  if (request->info.plain)
    query.service = request->info.target;
  else
    query.model = request->info.target;
  memcpy (query.excluded, request->excluded, sizeof query.excluded);
  query.excluded_count = request->excluded_count;
  exclude_suspect_servers (self, request, &query);
  suspects = query.excluded_count - request->excluded_count;
  result = eg_placement_choose (&placement, self->servers, &query,
                                &self->random, now_us, chain);
  /* If the other suspects occupy every server, wait until one of them ends. */
  if (result == EG_PLACEMENT_NONE && suspects > 0)
    return EG_PLACEMENT_BUSY;
  if (result != EG_PLACEMENT_NONE || query.excluded_count == 0)
    return result;
  /* If only excluded servers are left, try them again. */
  request->excluded_count = 0;
  query.excluded_count = 0;
  return eg_placement_choose (&placement, self->servers, &query, &self->random,
                              now_us, chain);
}

static void
update_capacity (struct eg_target *target,
                 enum eg_placement_result result,
                 int64_t now_us)
{
  if (result == EG_PLACEMENT_FOUND || result == EG_PLACEMENT_BUSY)
    target->no_capacity_since_us = 0;
  else if (target->no_capacity_since_us == 0)
    target->no_capacity_since_us = now_us;
}

/* Starts retries whose back-off is over. They are dispatched before the queue,
   since their clients have waited longest. Returns the class that could not be
   placed, or NO_CLASS. */
static int
dispatch_retries (struct eg_lifecycle *self,
                  struct eg_target *target,
                  int64_t now_us)
{
  struct eg_list *link = target->retry_queue.next;

  while (link != &target->retry_queue)
    {
      /* The analyzer does not see that a freed request is out of the list.
         NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
      struct eg_request_state *request = eg_request_from_link (link);
      struct eg_chain chain;
      enum eg_placement_result result;

      link = link->next;
      if (request->retry_at_us > now_us || now_us >= request->info.deadline_us)
        continue;
      result = eg_request_choose_servers (self, request, now_us, &chain);
      update_capacity (target, result, now_us);
      /* A suspect may find no server where other requests do. */
      if (result != EG_PLACEMENT_FOUND && request->crashes > 0)
        continue;
      if (result != EG_PLACEMENT_FOUND)
        return (int) request->info.class_index;
      eg_request_unlink (self, request);
      start_attempt (self, request, &chain, now_us);
    }
  return NO_CLASS;
}

/* Dequeues the next request. If a class could not be placed, only requests of
   higher classes are considered, since these may go to servers that are full
   for the others. */
static bool
take_next (struct eg_target *target,
           int blocked_class,
           int64_t now_us,
           struct eg_admission_item *item)
{
  if (blocked_class == NO_CLASS)
    return eg_admission_take (target->admission, now_us, item);
  return eg_admission_take_above (target->admission, (unsigned) blocked_class,
                                  now_us, item);
}

static void
dispatch_queue (struct eg_lifecycle *self,
                struct eg_target *target,
                int blocked_class,
                int64_t now_us)
{
  struct eg_admission_item item;

  while (take_next (target, blocked_class, now_us, &item))
    {
      struct eg_request_state *request =
          eg_map_get (&self->requests, item.request);
      struct eg_chain chain;
      enum eg_placement_result result;

      EG_INVARIANT (request != NULL);
      if (now_us >= request->info.deadline_us)
        {
          self->counts.queued--;
          eg_request_refuse (self, request, EG_REFUSAL_DEADLINE, 0);
          continue;
        }
      result = eg_request_choose_servers (self, request, now_us, &chain);
      update_capacity (target, result, now_us);
      if (result != EG_PLACEMENT_FOUND)
        {
          eg_admission_requeue (target->admission, &item);
          blocked_class = (int) item.class_index;
          continue;
        }
      self->counts.queued--;
      start_attempt (self, request, &chain, now_us);
    }
}

void
eg_target_dispatch (struct eg_lifecycle *self,
                    struct eg_target *target,
                    int64_t now_us)
{
  int blocked_class = dispatch_retries (self, target, now_us);

  /* The class may have been removed from the rules. */
  if (blocked_class >= (int) self->config.admission.class_count)
    return;
  dispatch_queue (self, target, blocked_class, now_us);
}
