#include "base/status.h"
#include "policy/lifecycle_state.h"

static void
expire_queued (struct eg_lifecycle *self,
               struct eg_target *target,
               int64_t now_us)
{
  struct eg_list *link = target->retry_queue.next;
  struct eg_admission_item item;

  while (link != &target->retry_queue)
    {
      struct eg_request_state *request = eg_request_from_link (link);

      link = link->next;
      if (now_us < request->info.deadline_us)
        continue;
      eg_list_remove (&request->link);
      self->counts.queued--;
      eg_request_refuse (self, request, EG_REFUSAL_DEADLINE, 0);
    }
  while (eg_admission_take_expired (target->admission, now_us, &item))
    {
      struct eg_request_state *request =
          eg_map_get (&self->requests, item.request);

      EG_INVARIANT (request != NULL);
      self->counts.queued--;
      eg_request_refuse (self, request, EG_REFUSAL_DEADLINE, 0);
    }
}

/* Refuses all queued requests of a target that has had no usable server for too
   long. */
static void
refuse_without_capacity (struct eg_lifecycle *self,
                         struct eg_target *target,
                         int64_t now_us)
{
  struct eg_admission_item item;
  struct eg_list *link;

  if (target->no_capacity_since_us == 0
      || now_us - target->no_capacity_since_us
             < self->config.no_capacity_timeout_us)
    return;
  while ((link = eg_list_pop_front (&target->retry_queue)))
    {
      self->counts.queued--;
      eg_request_refuse (self, eg_request_from_link (link),
                         EG_REFUSAL_NO_CAPACITY, EG_NO_CAPACITY_RETRY_AFTER_US);
    }
  while (eg_admission_take (target->admission, now_us, &item))
    {
      struct eg_request_state *request =
          eg_map_get (&self->requests, item.request);

      EG_INVARIANT (request != NULL);
      self->counts.queued--;
      eg_request_refuse (self, request, EG_REFUSAL_NO_CAPACITY,
                         EG_NO_CAPACITY_RETRY_AFTER_US);
    }
}

static bool
is_timed_out (const struct eg_lifecycle *self,
              const struct eg_request_state *request,
              int64_t now_us)
{
  int64_t timeout_us = request->attempt_progressed
                           ? self->config.inter_token_timeout_us
                           : self->config.first_token_timeout_us;

  return !request->info.plain && now_us - request->progress_us > timeout_us;
}

static void
check_running (struct eg_lifecycle *self, int64_t now_us)
{
  struct eg_list *link = self->running.next;

  while (link != &self->running)
    {
      struct eg_request_state *request = eg_request_from_link (link);

      link = link->next;
      if (now_us >= request->info.deadline_us)
        {
          eg_request_emit_cancel (self, request);
          eg_request_end_attempt (self, request, EG_SERVER_NONE, now_us);
          eg_outcome_update (request->info.outcome,
                             EG_OUTCOME_EVENT_INCONCLUSIVE);
          eg_request_refuse (self, request, EG_REFUSAL_DEADLINE, 0);
        }
      else if (is_timed_out (self, request, now_us))
        {
          eg_request_emit_cancel (self, request);
          eg_request_fail_attempt (self, request, EG_ATTEMPT_TIMED_OUT,
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
      expire_queued (self, target, now_us);
      eg_target_dispatch (self, target, now_us);
      refuse_without_capacity (self, target, now_us);
    }
}
