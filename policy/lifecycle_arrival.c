#include <stdio.h>
#include <stdlib.h>

#include "base/status.h"
#include "policy/lifecycle_state.h"

#define STOPPING_RETRY_AFTER_US EG_US_PER_S

/* A newly started entry VM cannot tell unknown targets from ones whose servers
   have not reported yet. */
static bool
has_server_reports (const struct eg_lifecycle *self)
{
  for (uint32_t i = 0; i < eg_servers_count (self->servers); i++)
    if (eg_servers_get (self->servers, i)->reported)
      return true;
  return false;
}

/* Returns the relative load at which a server is full for a class. Engines run
   higher classes first, so these need not wait for a free slot: they may go to
   servers that are full for the classes below. */
static double
class_load_max (const struct eg_lifecycle *self, unsigned class_index)
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
  if (eg_request_choose_servers (self, request, now_us, &chain)
      == EG_PLACEMENT_UNKNOWN)
    return !has_server_reports (self) ? EG_REFUSAL_NO_CAPACITY
           : request->info.plain      ? EG_REFUSAL_UNKNOWN_SERVICE
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

/* A request counts against the limit of its organisation, and against that of
   the organisation within the class. */
static enum eg_refusal
acquire_limits (struct eg_lifecycle *self,
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

  refusal = eg_limits_acquire (self->limits, info->organisation, now_us,
                               retry_after_us);
  if (refusal != EG_REFUSAL_NONE)
    return refusal;
  refusal =
      eg_limits_acquire (self->class_limits, name, now_us, retry_after_us);
  if (refusal != EG_REFUSAL_NONE)
    eg_limits_release (self->limits, info->organisation);
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
  };
  enum eg_refusal refusal;

  refusal = find_target (self, request, now_us);
  if (refusal == EG_REFUSAL_NO_CAPACITY)
    *retry_after_us = EG_NO_CAPACITY_RETRY_AFTER_US;
  if (refusal != EG_REFUSAL_NONE)
    return refusal;
  /* The latest start that lets the response be complete by its deadline. */
  item.deadline_us =
      info->deadline_us
      - eg_target_expected_us (request->target, info->tokens_max, now_us);
  if (now_us >= item.deadline_us)
    return EG_REFUSAL_DEADLINE;
  /* Limits are checked last, so that a request refused for another reason does
     not use up any of them. */
  refusal = eg_admission_offer (request->target->admission, &item, now_us,
                                retry_after_us);
  if (refusal != EG_REFUSAL_NONE)
    return refusal;
  refusal = acquire_limits (self, request, now_us, retry_after_us);
  if (refusal != EG_REFUSAL_NONE)
    eg_admission_remove (request->target->admission, info->id);
  return refusal;
}

/* Checks that need neither a target nor a queue. */
static enum eg_refusal
check_request (struct eg_lifecycle *self,
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
      *retry_after_us = EG_NO_CAPACITY_RETRY_AFTER_US;
      return EG_REFUSAL_QUEUE_FULL;
    }
  if (now_us >= info->deadline_us)
    return EG_REFUSAL_DEADLINE;
  if (eg_quarantine_is_active (self->quarantine, info->fingerprint, now_us,
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
  request->phase = EG_REQUEST_QUEUED;
  return request;
}

void
eg_lifecycle_submit (struct eg_lifecycle *self,
                     const struct eg_lifecycle_request *info,
                     int64_t now_us)
{
  int64_t retry_after_us = 0;
  enum eg_refusal refusal;
  struct eg_request_state *request = NULL;

  self->counts.arrived++;
  refusal = check_request (self, info, now_us, &retry_after_us);
  if (refusal == EG_REFUSAL_NONE)
    {
      request = new_request (info);
      request->load_max = class_load_max (self, info->class_index);
      refusal = admit (self, request, now_us, &retry_after_us);
    }
  if (refusal != EG_REFUSAL_NONE)
    {
      eg_request_emit_refusal (self, info->id, refusal,
                               eg_outcome_ran (info->outcome), retry_after_us);
      free (request);
      return;
    }
  request->info.target = eg_str_from (request->target->name);
  eg_map_put (&self->requests, info->id, request);
  self->counts.queued++;
  eg_target_dispatch (self, request->target, now_us);
}

void
eg_lifecycle_cancel (struct eg_lifecycle *self, uint64_t id, int64_t now_us)
{
  struct eg_request_state *request = eg_map_get (&self->requests, id);
  struct eg_target *target;

  if (!request)
    return;
  target = request->target;
  self->counts.abandoned++;
  if (request->phase == EG_REQUEST_RUNNING)
    {
      eg_request_emit_cancel (self, request);
      eg_request_end_attempt (self, request, EG_SERVER_NONE, now_us);
    }
  else
    eg_request_unlink (self, request);
  eg_request_free (self, request);
  eg_target_dispatch (self, target, now_us);
}
