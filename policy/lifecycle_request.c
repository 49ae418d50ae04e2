#include "policy/lifecycle_state.h"

#include <stdlib.h>

void
eg_request_unlink (struct eg_lifecycle *self, struct eg_request_state *request)
{
  switch (request->phase)
    {
    case EG_REQUEST_QUEUED:
      eg_admission_remove (request->target->admission, request->info.id);
      self->counts.queued--;
      return;
    case EG_REQUEST_AWAITING_RETRY:
      eg_list_remove (&request->link);
      self->counts.queued--;
      return;
    case EG_REQUEST_RUNNING:
      eg_list_remove (&request->link);
      self->counts.running--;
      return;
    }
}

void
eg_request_emit_refusal (struct eg_lifecycle *self,
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

void
eg_request_free (struct eg_lifecycle *self, struct eg_request_state *request)
{
  struct eg_str organisation = eg_str_from (request->organisation);

  eg_limits_release (self->limits, organisation);
  eg_limits_release (self->class_limits, eg_str_from (request->class_limit));
  eg_map_remove (&self->requests, request->info.id);
  free (request);
}

void
eg_request_refuse (struct eg_lifecycle *self,
                   struct eg_request_state *request,
                   enum eg_refusal refusal,
                   int64_t retry_after_us)
{
  eg_request_emit_refusal (self, request->info.id, refusal,
                           eg_outcome_ran (request->info.outcome),
                           retry_after_us);
  eg_request_free (self, request);
}

void
eg_request_emit_cancel (struct eg_lifecycle *self,
                        const struct eg_request_state *request)
{
  struct eg_action action = {
      .kind = EG_ACTION_CANCEL,
      .request = request->info.id,
      .attempt = request->attempt,
      .chain = request->chain,
  };

  eg_action_queue_push (&self->actions, &action);
}
